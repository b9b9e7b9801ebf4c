/* Sharing of one database's slots among the owners of its group. Each owner has a fixed part, its
 * home slots, by its place among the owners; an owner that needs more borrows what another does not
 * need. A loan is a lease: the borrower may use it for a time that counts from when it sent the ask
 * that was granted, the lender counts it as lent for longer, from when it received that ask. So the
 * owners together never use more than the slots, whatever is lost, late or cut off, while they
 * agree on the places; and without messages the fixed parts come back by themselves. When places
 * change, a part that grows is used in full only after a time in which the others learn of it. See
 * docs/design/overload.md. */
#ifndef SW_CORE_SLOT_SHARE_H
#define SW_CORE_SLOT_SHARE_H

#include <glib.h>

#include "core/types.h"

/* Owners of a group, at most; and those that a daemon keeps account of: past ones count until their
 * loans have ended. */
#define SLOT_SHARE_OWNERS_MAX 9
#define SLOT_SHARE_PEERS_MAX  (2 * SLOT_SHARE_OWNERS_MAX)

/* So many of the last asks and grants to one owner are remembered. */
#define SLOT_SHARE_REMEMBERED 8

/* What one owner tells another. */
struct slot_share_message {
    bool asks;            /* ASK: of a borrower; else GRANT: of a lender */
    uint64_t incarnation; /* of the sender, and of the receiver as the sender knows it; 0: none */
    uint64_t to_incarnation;
    uint64_t number;  /* of the sender's asks, or grants, to the receiver; grows */
    uint64_t answers; /* of an ASK: last grant that was taken; of a GRANT: last ask received */
    uint32_t slots;   /* of an ASK: wanted in all; of a GRANT: lent in all */
    uint32_t in_use;  /* of an ASK: borrowed slots that statements may hold, at most */
};

/* A message to send. */
struct slot_share_action {
    uint64_t to; /* owner's id */
    struct slot_share_message message;
};

/* Loans between this owner and another. */
struct slot_share_peer {
    uint64_t id;
    bool present;         /* an owner now */
    uint64_t incarnation; /* by its last message; 0: none yet */
    /* As the borrower. */
    uint64_t ask_number;
    time_ns asked_at[SLOT_SHARE_REMEMBERED]; /* by the number of the ask */
    uint64_t grant_taken;
    uint32_t borrowed;
    uint32_t borrowed_in_use; /* at most so many statements hold borrowed slots */
    time_ns borrowed_until;
    uint32_t told_wanted;
    uint32_t told_in_use;
    /* As the lender. */
    uint64_t ask_taken;
    time_ns ask_taken_at;
    uint64_t grant_number;
    time_ns granted_at;
    uint32_t wanted;
    uint32_t granted[SLOT_SHARE_REMEMBERED]; /* by the number of the grant */
    uint32_t lent;                           /* may be in use, at most */
    time_ns lent_until;
};

/* One database's slots at one owner. Guarded as the database's admission is. */
struct slot_share {
    uint64_t incarnation; /* this one's; messages to an earlier one are told by it */
    uint32_t slots;
    time_ns gap; /* between messages to one owner, unless asked */
    time_ns ask_interval;
    uint32_t home;
    uint32_t home_before; /* counts until home_from, if it is less */
    time_ns home_from;
    time_ns home_until; /* of a place that was lost */
    bool placed;        /* this daemon is an owner */
    uint32_t demand;    /* highest in the present span of time, and in the one before */
    uint32_t demand_before;
    time_ns demand_since;
    uint32_t peer_count;
    struct slot_share_peer peers[SLOT_SHARE_PEERS_MAX];
};

/* What the owner's admission does now. */
struct slot_share_load {
    uint32_t in_flight;
    uint32_t demand; /* most requests that ran or were queued at once since the last call */
};

/* Begins without a place. `incarnation` is a number that was never used before; not 0. */
void slot_share_init(struct slot_share *share, uint32_t slots, uint64_t incarnation);

/* Spaces messages by the databases whose slots this daemon shares in all, so that their rate stays
 * bounded however many these are. */
void slot_share_set_database_count(struct slot_share *share, uint32_t databases);

/* Tells the owners, in the order of their places, and this daemon's place, or -1. `turn` is a
 * number of the database: it moves the remainder of the division on, so that it falls to each place
 * in turn. */
void slot_share_set_place(struct slot_share *share, const uint64_t *owners, uint32_t count,
                          int32_t place, uint32_t turn, time_ns now);

/* Slots that this owner's statements may hold now, in all. */
uint32_t slot_share_limit(const struct slot_share *share, time_ns now);

/* Takes a message of another owner, and appends struct slot_share_action to `actions`. */
void slot_share_receive(struct slot_share *share, uint64_t from,
                        const struct slot_share_message *message,
                        const struct slot_share_load *load, time_ns now, GArray *actions);

/* Does what is due: asks, grants, calls back; to be called every SLOT_SHARE_TICK or so while
 * slot_share_is_active, and after a request was queued. */
void slot_share_tick(struct slot_share *share, const struct slot_share_load *load, time_ns now,
                     GArray *actions);

#define SLOT_SHARE_TICK (10 * NANOSECONDS_PER_MILLISECOND)

/* True if time alone may change something. */
bool slot_share_is_active(const struct slot_share *share, time_ns now);

#endif
