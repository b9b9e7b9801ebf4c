/* State of membership and the functions that its files call in each other. Private to them. */
#ifndef SW_CORE_MEMBERSHIP_INTERNAL_H
#define SW_CORE_MEMBERSHIP_INTERNAL_H

#include "core/membership.h"

/* Buckets of the anti-entropy digest; a member's bucket is its id modulo this. */
#define MEMBERSHIP_BUCKETS 32

/* Messages carry the age of the last contact with each zone. One more entry stands for the
 * platform's store. */
#define MEMBERSHIP_STORE     MEMBERSHIP_ZONES_MAX
#define MEMBERSHIP_AGE_COUNT (MEMBERSHIP_ZONES_MAX + 1)

/* Record of one member. */
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
    bool absent;           /* see struct member; not sent to others */
    bool queued;           /* is in the queue of updates */
    uint8_t transmissions; /* number of times that its newest update was sent */
};

/* A member of this zone that is suspect until the deadline. */
struct suspicion {
    uint64_t id;
    time_ns deadline;
    bool deferred; /* past its first deadline, while no majority was reachable */
};

/* A probe of this daemon that waits for its reply. */
struct probe {
    uint64_t target;
    uint32_t sequence;
    bool other_zone; /* of a member of another zone: a missing reply raises no suspicion */
    time_ns sent_at;
    time_ns due; /* next step: request other members to probe; at give_up: suspect the target */
    time_ns give_up;
};

/* A probe made on request of another member. */
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
    bool importing_list; /* importing the member list of a peer; its records are not queued as
                            updates */
    uint32_t complete_live_members; /* live members when a reply last showed the list to be
                                       complete; 0: it did not */
    uint32_t next_sequence;

    GArray *records; /* struct member_record, by id */
    uint16_t live_in_zone[MEMBERSHIP_ZONES_MAX];
    uint32_t dead; /* dead members that are kept */
    uint32_t digests[MEMBERSHIP_BUCKETS];

    time_ns zone_last_contact[MEMBERSHIP_AGE_COUNT]; /* when the last request with a reply was sent;
                                                        0: never */
    time_ns zone_lone_at[MEMBERSHIP_ZONES_MAX];      /* when it last had one live member */
    uint64_t zones_reachable; /* bit per zone, as last reported to the caller */
    uint64_t zones_absent;    /* bit per zone that has an absent member */
    uint64_t relay_zones;     /* bit per zone for which this daemon is a relay */
    bool queries_store;
    bool relays_stale; /* relay_zones must be computed again */

    GArray *ring; /* uint64_t ids of the own zone's live members, shuffled */
    guint ring_next;

    GQueue queue;      /* updates to send: uint64_t * ids, fewest transmissions first */
    bool push_pending; /* updates wait for the next push */
    time_ns last_push;

    GArray *probes;        /* struct probe */
    GArray *helped_probes; /* struct helped_probe */
    GArray *suspicions;    /* struct suspicion */
    uint64_t suspicions_raised;

    struct configuration_mark newest;

    struct member_address *seeds;
    size_t seeds_count;

    time_ns next_probe;
    time_ns next_sync;
    time_ns next_sweep; /* removal of tombstones and of members in unreachable zones */
};

/* membership_table.c: records, counts and digests */

/* The record of an id, or NULL. Valid until the next insertion or removal. */
struct member_record *membership_record(const struct membership *membership, uint64_t id);
struct member_record *membership_record_at(const struct membership *membership, size_t index);
struct member_record *membership_self_record(const struct membership *membership);

/* Inserts a record and adds it to the counts. */
struct member_record *membership_insert(struct membership *membership,
                                        const struct member_record *record);
void membership_remove_at(struct membership *membership, size_t index);

/* To be called before and after every change of a record: removes it from counts and digests, and
 * adds it again. */
void membership_count_out(struct membership *membership, const struct member_record *record);
void membership_count_in(struct membership *membership, const struct member_record *record);

bool member_record_live(const struct member_record *record);
struct member member_of_record(const struct member_record *record);

/* A random number below `bound`, which is not 0. */
uint32_t membership_random(struct membership *membership, uint32_t bound);

/* A random live member of a zone except this daemon, all equally likely. NULL if there is none. */
struct member_record *membership_random_in_zone(struct membership *membership, uint16_t zone);

/* membership_merge.c: updates received from others */

/* Merges an update about a member. True if it was newer than the record. */
bool membership_merge(struct membership *membership, const struct gossip_member *update,
                      time_ns now, struct membership_actions *actions);

/* Sets a member's state and queues the update. */
void membership_set_state(struct membership *membership, struct member_record *record,
                          enum member_state state, time_ns now, struct membership_actions *actions);

/* Increments this daemon's incarnation and queues its record as an update. */
void membership_announce_self(struct membership *membership);

/* Merges a configuration announced by `sender`. `holder`: it is in force there. */
void membership_merge_configuration(struct membership *membership, struct configuration_mark mark,
                                    const struct gossip_member *sender, bool holder,
                                    struct membership_actions *actions);

/* membership_gossip.c: construction of datagrams */

/* Queues the record as a new update, to be sent first. */
void membership_enqueue(struct membership *membership, struct member_record *record);

/* A message of a kind with this daemon as sender and no updates. */
void membership_begin(struct membership *membership, enum gossip_kind kind,
                      struct gossip_message *out);

/* Fills the message with as many updates as fit, beginning with `first` if not NULL, and sends
 * it. */
void membership_send(struct membership *membership, struct gossip_message *message,
                     const struct member_record *first, struct member_address to,
                     struct membership_actions *actions);

/* Sends the message without queued updates. */
void membership_send_plain(struct gossip_message *message, struct member_address to,
                           struct membership_actions *actions);

/* Encoded size of a message or an update in bytes. */
size_t membership_message_size(const struct gossip_message *message);
size_t membership_update_size(const struct gossip_member *update);

/* Converts a record to an update. */
struct gossip_member membership_update_of(const struct member_record *record);

struct member_address member_record_address(const struct member_record *record);

/* Sends queued updates to some members without delay, at most once per push_interval. */
void membership_push(struct membership *membership, time_ns now,
                     struct membership_actions *actions);
time_ns membership_push_due(const struct membership *membership);

/* Appends an action about a member. */
void membership_report(struct membership_actions *actions, enum membership_action_kind kind,
                       const struct member_record *record);
struct membership_action *membership_actions_add(struct membership_actions *actions,
                                                 enum membership_action_kind kind);

/* membership_probe.c: probes and suspicions */

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

/* Adjusts deadlines after a time in which this process did not run. */
void membership_skip_pause(struct membership *membership, time_ns pause);

/* membership_zones.c: contact with other zones, and relays */

/* Adds the ages of the last contact with each zone. */
void membership_add_zones(const struct membership *membership, time_ns now,
                          struct gossip_message *out);

/* Applies the zone ages in the reply to a probe. They count from `sent_at`, the time at which the
 * probe was sent, so that neither a late reply nor a pause of this process makes an old contact
 * look recent. */
void membership_update_zones(struct membership *membership, const struct gossip_message *message,
                             time_ns sent_at);
void membership_zones_tick(struct membership *membership, time_ns now,
                           struct membership_actions *actions);

/* Determines which members are the only ones of their zones and without contact. */
void membership_absence_tick(struct membership *membership, time_ns now,
                             struct membership_actions *actions);
void membership_update_relays(struct membership *membership);

/* membership_sync.c: anti-entropy */

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
