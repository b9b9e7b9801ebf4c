/* Membership of daemons by gossip (SWIM with zones). The members of a zone probe each other, and
 * only they decide that one of them is dead. A few relays per pair of zones pass updates on and
 * keep track of which zones are reachable. So a partition of a zone or region takes a few messages
 * and raises no suspicion of its members. Pure: time, datagrams and a random seed are inputs;
 * datagrams and changes are outputs. See docs/design/membership.md. */
#ifndef SW_CORE_MEMBERSHIP_H
#define SW_CORE_MEMBERSHIP_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

/* Maximum encoded size of a datagram that membership makes, in bytes. */
#define MEMBERSHIP_DATAGRAM_MAX 1200

/* Maximum number of zones of a deployment, numbered from 0. */
#define MEMBERSHIP_ZONES_MAX 63

/* Address of a daemon's gossip listener: IPv4 address and port, host byte order. */
struct member_address {
    uint32_t address;
    uint16_t port;
};

/* A configuration as named in gossip: its version and the first 8 bytes of its content hash. */
struct configuration_mark {
    uint64_t version;
    uint64_t hash;
};

/* What is known of one daemon. A copy that the caller may keep. */
struct member {
    uint64_t id;
    uint64_t start;       /* start number of its process */
    uint32_t incarnation; /* counts the daemon's own announcements within one start */
    struct member_address address;
    uint16_t zone;
    uint16_t region;
    enum member_state state;
    bool leaving; /* takes no new work and will leave */
    bool absent;  /* the only member of a zone without contact: not dead, but replaced as owner */
    struct configuration_mark
        configuration; /* last known to be in force there; hash 0: not known */
};

/* Value of the field "deployment" in every gossip datagram: daemons of versions without named
 * deployments drop other values. */
#define MEMBERSHIP_DEPLOYMENT_FIXED 1u

/* Fixed settings, times in nanoseconds. membership_options_default() sets all of them. */
struct membership_options {
    uint32_t deployment; /* see core/deployment.h; datagrams of other deployments are dropped */
    uint64_t random_seed;
    time_ns probe_period; /* one member of the zone is probed per period */
    time_ns probe_wait; /* without a reply after this time, other members are requested to probe */
    uint32_t probe_helpers;    /* number of members that receive such a request */
    uint32_t suspicion_factor; /* time-out in periods = factor x log10(members of the zone + 10) */
    uint32_t relays;           /* members of a zone that exchange messages with each other zone */
    time_ns zone_timeout; /* a zone without contact for longer is unreachable, and its only member
                             absent */
    uint32_t transmit_factor; /* an update is sent factor x log2(members of the zone + 1) times */
    uint32_t push_fanout;  /* members to which updates are pushed without delay, besides the updates
                              in other messages */
    time_ns push_interval; /* minimum time between two pushes */
    time_ns sync_interval; /* time between two rounds of anti-entropy */
    time_ns sync_retry;    /* the same while the member list is incomplete */
    time_ns settle_time;   /* for this time after its start a daemon contacts its seeds every
                              sync_retry */
    uint32_t sync_datagrams; /* maximum datagrams of records sent in reply to one sync */
    time_ns tombstone_time;  /* time for which dead and left members are kept */
    time_ns forget_time;     /* members of a zone that is unreachable for longer are removed */
};

/* Identity of this daemon. */
struct membership_self {
    uint64_t id;
    uint64_t start; /* higher than that of any earlier process with the same id */
    struct member_address address;
    uint16_t zone;
    uint16_t region;
};

enum membership_action_kind {
    MEMBERSHIP_ACTION_SEND,             /* send message to the address, best effort */
    MEMBERSHIP_ACTION_MEMBER_JOINED,    /* new, or alive again after dead or left */
    MEMBERSHIP_ACTION_MEMBER_RESTARTED, /* a new process with the same id */
    MEMBERSHIP_ACTION_MEMBER_CHANGED,   /* state or leaving mark changed without a restart */
    MEMBERSHIP_ACTION_MEMBER_REMOVED,   /* dead, left, or removed from the list */
    MEMBERSHIP_ACTION_ZONE_CHANGED,     /* the zone became reachable or unreachable from here */
    MEMBERSHIP_ACTION_CONFIGURATION_ANNOUNCED, /* a version newer than that in force exists */
    MEMBERSHIP_ACTION_SUPERSEDED               /* a later process runs with this daemon's id */
};

/* An output: something to send or to report. */
struct membership_action {
    enum membership_action_kind kind;
    struct member_address to;                /* SEND */
    struct gossip_message message;           /* SEND; owned by the list of actions */
    struct member member;                    /* MEMBER_*; CONFIGURATION_ANNOUNCED: the sender */
    uint16_t zone;                           /* ZONE_CHANGED */
    bool reachable;                          /* ZONE_CHANGED */
    struct configuration_mark configuration; /* CONFIGURATION_HEARD */
    bool holder; /* CONFIGURATION_ANNOUNCED: the member has it in force and can supply it */
};

/* An ordered list of actions. Owns their messages. */
struct membership_actions;

struct membership_actions *membership_actions_new(void);
void membership_actions_free(struct membership_actions *actions);
size_t membership_actions_count(const struct membership_actions *actions);
const struct membership_action *membership_actions_get(const struct membership_actions *actions,
                                                       size_t index);
/* Empties the list for reuse. */
void membership_actions_clear(struct membership_actions *actions);

/* The member list and its protocol state. Used by one thread only, the control thread. */
struct membership;

/* Sets defaults, for zones of up to several hundred members. */
void membership_options_default(struct membership_options *options);

/* Id of the daemon with this name. */
uint64_t membership_id_of_name(const char *name);

struct membership *membership_new(const struct membership_options *options,
                                  const struct membership_self *self, time_ns now);
void membership_free(struct membership *membership);

/* Sets addresses to contact while no member is known, and from time to time later: from the
 * settings and the list of machines. They are hints only: an address becomes a member after it has
 * replied. */
void membership_set_seeds(struct membership *membership, const struct member_address *seeds,
                          size_t count);

/* Handles a received datagram. */
void membership_receive(struct membership *membership, const struct gossip_message *message,
                        struct member_address from, time_ns now,
                        struct membership_actions *actions);

/* Performs all due work. To be called at membership_next_wakeup(); may be called at any time. */
void membership_tick(struct membership *membership, time_ns now,
                     struct membership_actions *actions);

/* Time at which membership_tick() must be called next. */
time_ns membership_next_wakeup(const struct membership *membership);

/* True once another, later process was seen with this daemon's id. This one then sends nothing
 * more. */
bool membership_superseded(const struct membership *membership);

/* Sets or clears this daemon's leaving mark and announces the change without delay. */
void membership_set_leaving(struct membership *membership, bool leaving, time_ns now,
                            struct membership_actions *actions);

/* Planned shutdown: announces that this daemon has left. Nothing is sent afterwards. */
void membership_leave(struct membership *membership, time_ns now,
                      struct membership_actions *actions);

/* Sets the configuration in force here and announces without delay that this daemon can supply
 * it. */
void membership_set_configuration(struct membership *membership, struct configuration_mark in_force,
                                  time_ns now, struct membership_actions *actions);

/* Announces a configuration known from elsewhere (the store, a publisher) to the members, with the
 * next datagrams. */
void membership_announce_configuration(struct membership *membership,
                                       struct configuration_mark mark);

/* Records that the platform's store, in reply to a request sent at `sent_at`, named no
 * configuration newer than the newest one known here. The time is passed on within the zone, so
 * that few of its members need to query the store. */
void membership_record_store_reply(struct membership *membership, time_ns sent_at);

/* True if this daemon is one of the few of its zone that query the store for all of it. */
bool membership_queries_store(const struct membership *membership);

/* The time at which the newest configuration known here was last confirmed to be the newest. By the
 * store: as known in this zone. By peers: by more than half of the known members, counted by zones,
 * which a daemon without peers never has. 0: never. */
time_ns membership_store_confirmed_at(const struct membership *membership);
time_ns membership_peers_confirmed_at(const struct membership *membership, time_ns now);

/* The newest configuration announced to this daemon. */
struct configuration_mark membership_newest_configuration(const struct membership *membership);

/* This daemon's own record. */
struct member membership_self(const struct membership *membership);

/* Known members, including this daemon and tombstones. Indexes run from 0 to count - 1 in the order
 * of ids and stay valid until the next receive or tick. */
size_t membership_count(const struct membership *membership);
struct member membership_get(const struct membership *membership, size_t index);

/* Finds a member by id. False if it is unknown. */
bool membership_find(const struct membership *membership, uint64_t id, struct member *out);

/* True if a member of the zone replied within zone_timeout to this daemon or another one of its
 * zone. A daemon's own zone is also reachable if it is the only member there. */
bool membership_zone_reachable(const struct membership *membership, uint16_t zone, time_ns now);

/* Counts members. `reachable`: alive or suspect members of zones with contact within `within`.
 * `known`: all alive or suspect members, and the dead ones that are kept. */
void membership_count_reachable(const struct membership *membership, time_ns now, time_ns within,
                                size_t *reachable, size_t *known);

/* True if more than half of the known members are reachable, see membership_count_reachable(). */
bool membership_majority_reachable(const struct membership *membership, time_ns now,
                                   time_ns within);

/* True once the member list was compared with a peer's and found complete or nearly so. */
bool membership_synced(const struct membership *membership);

/* Memory in use in bytes, and suspicions raised by this daemon since its start. */
size_t membership_memory(const struct membership *membership);
uint64_t membership_suspicions(const struct membership *membership);

#endif
