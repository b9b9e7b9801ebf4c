/* Shared by the files of membership only: its state, and the steps that they call in each other. */
#ifndef SW_CORE_MEMBERSHIP_INTERNAL_H
#define SW_CORE_MEMBERSHIP_INTERNAL_H

#include "core/membership.h"

/* Buckets of the anti-entropy digest; a member's bucket is its id modulo this. */
#define MEMBERSHIP_BUCKETS 32

/* Ages of zones travel with one more entry: the platform's store, as if it were a zone. */
#define MEMBERSHIP_STORE     MEMBERSHIP_ZONES_MAX
#define MEMBERSHIP_AGE_COUNT (MEMBERSHIP_ZONES_MAX + 1)

/* What is kept of one member. State per member: sizeof(struct member_record). */
struct member_record {
    uint64_t id;
    uint64_t start;
    struct configuration_mark configuration;
    time_ns changed_at; /* when its state last changed here */
    uint32_t incarnation;
    uint32_t address;
    uint16_t port;
    uint16_t zone;
    uint16_t region;
    uint8_t state; /* enum member_state */
    bool leaving;
    bool absent;           /* see struct member; not told to others */
    bool queued;           /* stands in the queue of updates */
    uint8_t transmissions; /* times its newest update was sent */
};

/* A member of the own zone that is held suspect until the deadline. */
struct suspicion {
    uint64_t id;
    time_ns deadline;
    bool held; /* past its first deadline, while a majority was out of reach */
};

/* A probe of this daemon that awaits its answer. */
struct probe {
    uint64_t target;
    uint32_t sequence;
    bool far; /* of a member of another zone: no answer raises no suspicion */
    time_ns sent_at;
    time_ns due; /* of the next step: ask others; then, at give_up, suspect */
    time_ns give_up;
};

/* A probe made for another member. */
struct helped_probe {
    struct member_address origin;
    uint32_t origin_sequence;
    uint32_t sequence;
    uint64_t target;
    time_ns expires;
};

/* All state of one daemon's membership. Owned by the control thread. */
struct membership {
    struct membership_options options;
    uint64_t random;
    time_ns started;
    uint64_t self_id;
    uint16_t self_zone;
    bool left;
    bool superseded;
    bool synced;
    bool learning; /* a fresh daemon takes in a peer's list: that is no news to anyone else */
    uint32_t complete_with; /* live members when a reply last found the list whole; 0: it did not */
    uint32_t next_sequence;

    GArray *records; /* struct member_record, by id */
    uint16_t live_in_zone[MEMBERSHIP_ZONES_MAX];
    uint32_t dead; /* that are remembered */
    uint32_t digests[MEMBERSHIP_BUCKETS];

    time_ns zone_heard[MEMBERSHIP_AGE_COUNT];   /* when what it last answered was asked; 0: never */
    time_ns zone_lone_at[MEMBERSHIP_ZONES_MAX]; /* when it last had one live member */
    uint64_t zones_reachable;                   /* bit per zone, as last told to the shell */
    uint64_t zones_absent;                      /* bit per zone that has an absent member */
    uint64_t relay_zones;                       /* bit per zone that this daemon speaks to */
    bool asks_store;
    bool relays_stale; /* relay_zones must be worked out anew */

    GArray *ring; /* uint64_t ids of the own zone's live members, shuffled */
    guint ring_next;

    GQueue queue; /* updates to pass on: uint64_t * ids, fewest transmissions first */
    bool news;    /* something awaits the next push */
    time_ns last_push;

    GArray *probes;        /* struct probe */
    GArray *helped_probes; /* struct helped_probe */
    GArray *suspicions;    /* struct suspicion */
    uint64_t suspicions_raised;

    struct configuration_mark heard;

    struct member_address *seeds;
    size_t seeds_count;

    time_ns next_probe;
    time_ns next_sync;
    time_ns next_sweep; /* of tombstones and zones */
};

/* -- membership_table.c: records, counts and digests -- */

/* The record of an id, or NULL. Valid until the next insertion or removal. */
struct member_record *membership_record(const struct membership *membership, uint64_t id);
struct member_record *membership_record_at(const struct membership *membership, size_t index);
struct member_record *membership_self_record(const struct membership *membership);

/* Inserts a record and counts it. */
struct member_record *membership_insert(struct membership *membership,
                                        const struct member_record *record);
void membership_remove_at(struct membership *membership, size_t index);

/* To be called around every change of a record: takes it out of counts and digests, and in again.
 */
void membership_discount(struct membership *membership, const struct member_record *record);
void membership_count_in(struct membership *membership, const struct member_record *record);

bool member_record_live(const struct member_record *record);
struct member member_of_record(const struct member_record *record);

/* A random number below `bound`, which is not 0. */
uint32_t membership_random(struct membership *membership, uint32_t bound);

/* A random live member of a zone, each as likely as the others; NULL if there is none but this. */
struct member_record *membership_random_in_zone(struct membership *membership, uint16_t zone);

/* -- membership_merge.c: what others say -- */

/* Takes in what another daemon says of a member. Returns true if it was news. */
bool membership_merge(struct membership *membership, const struct gossip_member *update,
                      time_ns now, struct membership_actions *actions);

/* Sets a member's state and passes that on. */
void membership_set_state(struct membership *membership, struct member_record *record,
                          enum member_state state, time_ns now, struct membership_actions *actions);

/* Raises this daemon's incarnation and passes its record on. */
void membership_announce_self(struct membership *membership);

/* Takes in a configuration that another told of; `holder`: it has it in force. */
void membership_merge_configuration(struct membership *membership, struct configuration_mark mark,
                                    const struct gossip_member *teller, bool holder,
                                    struct membership_actions *actions);

/* -- membership_gossip.c: making of datagrams -- */

/* Appends a record to the updates to be passed on, as fresh news. */
void membership_enqueue(struct membership *membership, struct member_record *record);

/* A message of a kind with this daemon as sender and no updates. */
void membership_begin(struct membership *membership, enum gossip_kind kind,
                      struct gossip_message *out);

/* Fills the message with updates as they fit, `first` (if any) before others, and sends it. */
void membership_send(struct membership *membership, struct gossip_message *message,
                     const struct member_record *first, struct member_address to,
                     struct membership_actions *actions);

/* Sends the message without updates of the queue. */
void membership_send_plain(struct gossip_message *message, struct member_address to,
                           struct membership_actions *actions);

/* Encoded size of a message or an update, in octets. */
size_t membership_message_size(const struct gossip_message *message);
size_t membership_update_size(const struct gossip_member *update);

/* The record in the form that travels. */
struct gossip_member membership_update_of(const struct member_record *record);

struct member_address member_record_address(const struct member_record *record);

/* Tells news at once to some members; keeps to push_interval. */
void membership_push(struct membership *membership, time_ns now,
                     struct membership_actions *actions);
time_ns membership_push_due(const struct membership *membership);

/* Appends an action about a member. */
void membership_report(struct membership_actions *actions, enum membership_action_kind kind,
                       const struct member_record *record);
struct membership_action *membership_actions_add(struct membership_actions *actions,
                                                 enum membership_action_kind kind);

/* -- membership_probe.c: probes, suspicions and relays -- */

void membership_probe_tick(struct membership *membership, time_ns now,
                           struct membership_actions *actions);
time_ns membership_probe_wakeup(const struct membership *membership);
void membership_ring_add(struct membership *membership, uint64_t id);
void membership_suspicion_start(struct membership *membership, uint64_t id, time_ns now);
void membership_suspicion_end(struct membership *membership, uint64_t id);
void membership_receive_ping(struct membership *membership, const struct gossip_message *message,
                             struct member_address from, time_ns now,
                             struct membership_actions *actions);
void membership_receive_ping_request(struct membership *membership,
                                     const struct gossip_message *message,
                                     struct member_address from, time_ns now,
                                     struct membership_actions *actions);
void membership_receive_ack(struct membership *membership, const struct gossip_message *message,
                            struct member_address from, time_ns now,
                            struct membership_actions *actions);

/* Forgives a time in which this process did not run. */
void membership_forgive_pause(struct membership *membership, time_ns pause);

/* -- membership_zones.c: which zones are heard of, and by whom -- */

/* Adds the ages of the zones heard of. */
void membership_add_zones(const struct membership *membership, time_ns now,
                          struct gossip_message *out);

/* Takes what the answer to a probe says of zones. The probe was sent at `asked_at`, so that neither
 * a late answer nor a pause of this process makes old news look fresh. */
void membership_hear_zones(struct membership *membership, const struct gossip_message *message,
                           time_ns asked_at);
void membership_zones_tick(struct membership *membership, time_ns now,
                           struct membership_actions *actions);

/* Finds which members are alone in their zones and out of reach. */
void membership_absence_tick(struct membership *membership, time_ns now,
                             struct membership_actions *actions);
void membership_work_out_relays(struct membership *membership);

/* -- membership_sync.c: anti-entropy -- */

void membership_sync_tick(struct membership *membership, time_ns now,
                          struct membership_actions *actions);
void membership_sync_with(struct membership *membership, struct member_address to,
                          struct membership_actions *actions);
void membership_receive_sync(struct membership *membership, const struct gossip_message *message,
                             struct member_address from, time_ns now,
                             struct membership_actions *actions);
void membership_receive_sync_reply(struct membership *membership,
                                   const struct gossip_message *message, struct member_address from,
                                   time_ns now, struct membership_actions *actions);

#endif
