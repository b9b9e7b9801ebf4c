/* Sharing of one database's slots among the owners of its group. Each owner has a fixed part, its
 * home slots, determined by its position among the owners. An owner that needs more borrows slots
 * that another does not need. A loan is a lease: the borrower may use it for a time that counts
 * from when it sent the granted request; the lender counts it as lent for longer, from when it
 * received that request. So while the owners agree on their positions, they together never use more
 * than the slots, whatever messages are lost or late and whatever the partitions; and without
 * messages the fixed parts are restored. When positions change, a part that grows is used in full
 * only after a time in which the other owners learn of the change. See docs/design/overload.md. */
#ifndef SW_CORE_SLOT_SHARE_H
#define SW_CORE_SLOT_SHARE_H

#include <glib.h>

#include "core/types.h"

/* Maximum number of owners of a group, and of owners with an account here: former owners keep
 * theirs until their loans have ended. */
#define SLOT_SHARE_OWNERS_MAX 9
#define SLOT_SHARE_PEERS_MAX  (2 * SLOT_SHARE_OWNERS_MAX)

/* Number of requests and grants per owner that are remembered. */
#define SLOT_SHARE_REMEMBERED 8

/* Message from one owner to another. */
struct slot_share_message {
    bool asks;            /* true: request of a borrower; false: grant of a lender */
    uint64_t incarnation; /* of the sender, and of the receiver as known to the sender; 0: none */
    uint64_t to_incarnation;
    uint64_t number;  /* of the sender's requests, or grants, to this receiver; increases */
    uint64_t answers; /* request: last grant received; grant: last request received */
    uint32_t slots;   /* request: total wanted; grant: total lent */
    uint32_t in_use;  /* request: maximum number of borrowed slots that statements may hold */
};

/* A message to send. */
struct slot_share_action {
    uint64_t to; /* id of the receiving owner */
    struct slot_share_message message;
};

/* Loans between this owner and another. */
struct slot_share_peer {
    uint64_t id;
    bool present;         /* is an owner now */
    uint64_t incarnation; /* from its last message; 0: none yet */
    /* As borrower. */
    uint64_t request_number;
    time_ns request_sent_at[SLOT_SHARE_REMEMBERED]; /* indexed by request number */
    uint64_t last_grant_received;
    uint32_t borrowed;
    uint32_t borrowed_in_use; /* maximum number of statements that hold borrowed slots */
    time_ns borrowed_until;
    uint32_t reported_wanted;
    uint32_t reported_in_use;
    /* As lender. */
    uint64_t last_request_received;
    time_ns request_received_at;
    uint64_t grant_number;
    time_ns granted_at;
    uint32_t wanted;
    uint32_t granted[SLOT_SHARE_REMEMBERED]; /* indexed by grant number */
    uint32_t lent;                           /* maximum number that may be in use */
    time_ns lent_until;
};

/* The slots of one database at one owner. Guarded by the lock of the database's admission. */
struct slot_share {
    uint64_t incarnation; /* of this owner; identifies messages meant for an earlier run */
    uint32_t slots;
    time_ns gap; /* minimum time between messages to one owner, except replies */
    time_ns request_interval;
    uint32_t home;
    uint32_t home_before; /* limit until home_from, if it is lower than home */
    time_ns home_from;
    time_ns home_until; /* end of the use of a lost position's slots */
    bool is_owner;      /* this daemon is an owner */
    uint32_t demand;    /* maximum in the current interval, and in the one before */
    uint32_t demand_before;
    time_ns demand_since;
    uint32_t peer_count;
    struct slot_share_peer peers[SLOT_SHARE_PEERS_MAX];
};

/* Current load of the owner's admission. */
struct slot_share_load {
    uint32_t in_flight;
    uint32_t demand; /* maximum of running and queued requests since the last call */
};

/* Initialises a share without a position. `incarnation` must be a number that was never used
 * before, and not 0. */
void slot_share_init(struct slot_share *share, uint32_t slots, uint64_t incarnation);

/* Sets the minimum time between messages from the number of databases whose slots this daemon
 * shares, so that the total message rate stays bounded. */
void slot_share_set_database_count(struct slot_share *share, uint32_t databases);

/* Sets the owners in the order of their positions, and this daemon's position or -1. `rotation` is
 * a number of the database that shifts the positions with one more slot when the slots don't divide
 * evenly, so that these are spread over all positions. */
void slot_share_set_position(struct slot_share *share, const uint64_t *owners, uint32_t count,
                             int32_t position, uint32_t rotation, time_ns now);

/* Total slots that this owner's statements may hold now. */
uint32_t slot_share_limit(const struct slot_share *share, time_ns now);

/* Handles a message from another owner. Appends struct slot_share_action to `actions`. */
void slot_share_receive(struct slot_share *share, uint64_t from,
                        const struct slot_share_message *message,
                        const struct slot_share_load *load, time_ns now, GArray *actions);

/* Performs due work: requests, grants and reductions of loans. To be called about every
 * SLOT_SHARE_TICK while slot_share_is_active(), and after a request was queued. */
void slot_share_tick(struct slot_share *share, const struct slot_share_load *load, time_ns now,
                     GArray *actions);

#define SLOT_SHARE_TICK (10 * NANOSECONDS_PER_MILLISECOND)

/* True if the state may change with time alone. */
bool slot_share_is_active(const struct slot_share *share, time_ns now);

#endif
