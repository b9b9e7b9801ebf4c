/* Membership of daemons by gossip (SWIM with zones). The members of a zone probe each other
 * densely and alone decide that one of them is dead; a few relays per pair of zones carry news
 * across and keep track of which zones can be reached. A cut of a zone or region therefore costs a
 * few numbers and no flood of suspicions. Pure: time, datagrams and random seed come in, datagrams
 * and changes go out. See docs/design/membership.md. */
#ifndef SW_CORE_MEMBERSHIP_H
#define SW_CORE_MEMBERSHIP_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

/* No datagram that membership makes is longer when encoded, in octets. */
#define MEMBERSHIP_DATAGRAM_MAX 1200

/* Zones that one deployment may have, numbered from 0. */
#define MEMBERSHIP_ZONES_MAX 63

/* Where a daemon's gossip listener is: IPv4 address and port, host order. */
struct member_address {
    uint32_t address;
    uint16_t port;
};

/* A configuration as gossip names it: its version and the first 8 octets of its content hash. */
struct configuration_mark {
    uint64_t version;
    uint64_t hash;
};

/* What is known of one daemon. A copy; the caller may keep it. */
struct member {
    uint64_t id;
    uint64_t start;       /* start number of its process */
    uint32_t incarnation; /* raised by the daemon itself within one start */
    struct member_address address;
    uint16_t zone;
    uint16_t region;
    enum member_state state;
    bool leaving; /* takes no new work and will leave */
    bool absent;  /* alone in its zone and not heard of: not dead, but replaced as owner */
    struct configuration_mark configuration; /* last known in force there; hash 0: not known */
};

/* Field "deployment" of every gossip datagram: daemons from before deployments had names drop other
 * values. */
#define MEMBERSHIP_DEPLOYMENT_FIXED 1u

/* Fixed settings. All times in nanoseconds; membership_options_default fills all but self's. */
struct membership_options {
    uint32_t deployment; /* identity, see core/deployment.h; datagrams of others are dropped */
    uint64_t random_seed;
    time_ns probe_period;      /* one member of the zone is probed per period */
    time_ns probe_wait;        /* after this without an answer, others are asked to probe */
    uint32_t probe_helpers;    /* how many others are asked */
    uint32_t suspicion_factor; /* time-out in periods = factor x log10(members of the zone + 10) */
    uint32_t relays;           /* members of a zone that speak to each other zone */
    time_ns zone_timeout;      /* a zone unheard of for longer is unreachable, and its only member
                                  absent */
    uint32_t transmit_factor;  /* one update is sent factor x log2(members of the zone + 1) times */
    uint32_t push_fanout;      /* members told at once of news, besides the piggyback */
    time_ns push_interval;     /* between two pushes, at least */
    time_ns sync_interval;     /* between two rounds of anti-entropy */
    time_ns sync_retry;        /* the same while the member list is not yet complete */
    time_ns settle_time;       /* a fresh daemon tries its seeds at sync_retry for so long */
    uint32_t sync_datagrams;   /* records sent in answer to one sync, in datagrams at most */
    time_ns tombstone_time;    /* dead and left members are remembered for this long */
    time_ns forget_time;       /* members of a zone that is unreachable for longer are dropped */
};

/* This daemon, as it presents itself. */
struct membership_self {
    uint64_t id;
    uint64_t start; /* higher than that of any earlier process of the same id */
    struct member_address address;
    uint16_t zone;
    uint16_t region;
};

enum membership_action_kind {
    MEMBERSHIP_ACTION_SEND,                    /* send message to the address, best effort */
    MEMBERSHIP_ACTION_MEMBER_JOINED,           /* first heard of, or back from dead or left */
    MEMBERSHIP_ACTION_MEMBER_RESTARTED,        /* a new process under the same id */
    MEMBERSHIP_ACTION_MEMBER_CHANGED,          /* state or leaving mark changed otherwise */
    MEMBERSHIP_ACTION_MEMBER_REMOVED,          /* dead, left or forgotten */
    MEMBERSHIP_ACTION_ZONE_CHANGED,            /* zone became reachable or unreachable from here */
    MEMBERSHIP_ACTION_CONFIGURATION_ANNOUNCED, /* one newer than in force here exists */
    MEMBERSHIP_ACTION_SUPERSEDED               /* a later process runs under this daemon's id */
};

/* What the shell must do or may want to know. */
struct membership_action {
    enum membership_action_kind kind;
    struct member_address to;                /* SEND */
    struct gossip_message message;           /* SEND; owned by the list */
    struct member member;                    /* MEMBER_*; CONFIGURATION_HEARD: who told */
    uint16_t zone;                           /* ZONE_CHANGED */
    bool reachable;                          /* ZONE_CHANGED */
    struct configuration_mark configuration; /* CONFIGURATION_HEARD */
    bool holder; /* CONFIGURATION_HEARD: the member has it in force and can give it */
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

/* The member list and its protocol state. One thread only: the control thread. */
struct membership;

/* Fills in settings for zones of up to some hundred members. */
void membership_options_default(struct membership_options *options);

/* Id of the daemon of a name. */
uint64_t membership_id_of_name(const char *name);

struct membership *membership_new(const struct membership_options *options,
                                  const struct membership_self *self, time_ns now);
void membership_free(struct membership *membership);

/* Sets the addresses to try while nobody is known, and now and then later: settings and the machine
 * list. They are hints: no member is taken from them before it has answered. */
void membership_set_seeds(struct membership *membership, const struct member_address *seeds,
                          size_t count);

/* Takes one datagram. */
void membership_receive(struct membership *membership, const struct gossip_message *message,
                        struct member_address from, time_ns now,
                        struct membership_actions *actions);

/* Does what is due. To be called at membership_next_wakeup, or at any time. */
void membership_tick(struct membership *membership, time_ns now,
                     struct membership_actions *actions);

/* When membership_tick must be called next. */
time_ns membership_next_wakeup(const struct membership *membership);

/* True once another, later process was seen under this daemon's id; this one then keeps silent. */
bool membership_superseded(const struct membership *membership);

/* Marks this daemon as leaving, or takes the mark back, and tells others at once. */
void membership_set_leaving(struct membership *membership, bool leaving, time_ns now,
                            struct membership_actions *actions);

/* The planned end: tells others that this daemon has left. Nothing is sent afterwards. */
void membership_leave(struct membership *membership, time_ns now,
                      struct membership_actions *actions);

/* States the configuration in force here, and tells others at once that it can be had here. */
void membership_set_configuration(struct membership *membership, struct configuration_mark in_force,
                                  time_ns now, struct membership_actions *actions);

/* Makes a configuration heard of elsewhere (the store, a publisher) known to the members, with the
 * next datagrams. */
void membership_announce_configuration(struct membership *membership,
                                       struct configuration_mark heard);

/* The platform's store, asked at `asked_at`, has answered and named no configuration that is newer
 * than the newest heard of here. Members of the zone learn of it, so that few need to ask. */
void membership_record_store_reply(struct membership *membership, time_ns asked_at);

/* True if this daemon is one of the few of its zone that ask the store for all. */
bool membership_queries_store(const struct membership *membership);

/* When the newest configuration heard of was last known to be the newest: by the store as told in
 * this zone; and by more than half of the known members, counted by zones; a lone daemon has no
 * such peers. 0: never. */
time_ns membership_store_confirmed_at(const struct membership *membership);
time_ns membership_peers_confirmed_at(const struct membership *membership, time_ns now);

/* The newest configuration heard of. */
struct configuration_mark membership_newest_configuration(const struct membership *membership);

/* This daemon as others see it. */
struct member membership_self(const struct membership *membership);

/* Members known, this daemon and tombstones included: indexes run from 0 to count - 1 in the order
 * of ids and hold until the next receive or tick. */
size_t membership_count(const struct membership *membership);
struct member membership_get(const struct membership *membership, size_t index);

/* Finds a member by id. False if it is not known. */
bool membership_find(const struct membership *membership, uint64_t id, struct member *out);

/* True if someone of the zone answered within zone_timeout, to this daemon or another of its zone.
 * The own zone counts as reachable also when this daemon is alone in it. */
bool membership_zone_reachable(const struct membership *membership, uint16_t zone, time_ns now);

/* Counts the members that live in reach: alive or suspect, in a zone heard of within `within`; and
 * those known at all: the same without regard to zones, and the dead that are remembered. */
void membership_count_reachable(const struct membership *membership, time_ns now, time_ns within,
                                size_t *reachable, size_t *known);

/* True if more than half of the known members are in reach, see membership_count_reachable. */
bool membership_majority_reachable(const struct membership *membership, time_ns now,
                                   time_ns within);

/* True once the member list was compared with a peer's and lacked next to nothing of it. */
bool membership_synced(const struct membership *membership);

/* Octets of memory held, and suspicions raised here so far. */
size_t membership_memory(const struct membership *membership);
uint64_t membership_suspicions(const struct membership *membership);

#endif
