/**
 * @file
 * @brief What the control thread counts: calls at the store and bytes of its answers, by table and
 * by reason, and bytes to and from other poolers by what they tell. Each has its price, and at
 * hundreds of poolers the question is always which of them asked, and why. Belongs to the control
 * thread.
 */
#ifndef SW_POOLER_CONTROL_COUNTS_H
#define SW_POOLER_CONTROL_COUNTS_H

#include <glib.h>
#include <stdint.h>

#include "generated/messages.h"
#include "pooler/control/store.h"

/** @brief Why the store is called. */
typedef enum call_reason {
    CALL_COORDINATOR, /* follows the tables as the coordinator */
    CALL_FOLLOWER,    /* follows them beside the coordinator */
    CALL_START,       /* knows nothing of the table yet */
    CALL_FORGOTTEN,   /* knows it up to a version since which the store has forgotten the changes */
    CALL_MISSING,     /* was told of more than a message holds */
    CALL_UNTOLD,      /* nobody tells it anything */
    CALL_LEASE_LOOK,  /* looks who holds the lease */
    CALL_LEASE_WRITE, /* takes, renews or gives up the lease */
    CALL_RECORD,      /* records of promotions */
    CALL_REASON_COUNT,
} call_reason_t;

/** @brief What poolers tell each other. */
typedef enum peer_bytes {
    PEER_BYTES_HEARTBEAT, /* without rows */
    PEER_BYTES_GRANT,     /* what the coordinator tells: without the kinds below */
    PEER_BYTES_HEARSAY,   /* what another tells in its place: the same */
    PEER_BYTES_ORDERS,    /* who leads each group; with members, where both are told packed */
    PEER_BYTES_FLEET,     /* who shares connections */
    PEER_BYTES_ROWS,      /* of the store */
    PEER_BYTES_COUNT,
} peer_bytes_t;

/** @brief Whether a message went to another pooler or came from one. */
typedef enum peer_direction { PEER_SENT, PEER_RECEIVED, PEER_DIRECTIONS } peer_direction_t;

/** @brief All counts since the process began. Start from zeros. */
typedef struct control_counts {
    uint64_t calls[STORE_TABLE_COUNT][CALL_REASON_COUNT];
    uint64_t answered[STORE_TABLE_COUNT][CALL_REASON_COUNT]; /* bytes of the store's answers */
    uint64_t bytes[PEER_DIRECTIONS][PEER_BYTES_COUNT];
    uint64_t tables_sent;      /* whole tables, as a mirror */
    uint64_t tables_received;  /* the same, from one */
    uint64_t records_unusable; /* records of databases that name none to use, each version once */
} control_counts_t;

/** @brief A call to the store has begun. */
void control_counts_call(control_counts_t *counts, enum store_table table, call_reason_t reason);
/** @brief The store has answered such a call, with so many bytes. */
void control_counts_answer(control_counts_t *counts, enum store_table table, call_reason_t reason,
                           uint64_t bytes);
/** @brief Counts a message's bytes by what they tell.
 *  @param kind for the bytes that are neither orders, nor members of the fleet, nor rows.
 *  @param length of the encoded message, in bytes. */
void control_counts_grant(control_counts_t *counts, peer_direction_t direction, peer_bytes_t kind,
                          const struct pooler_grant *grant, size_t length);
/** @brief The same for a heartbeat. */
void control_counts_heartbeat(control_counts_t *counts, peer_direction_t direction,
                              const struct pooler_heartbeat *heartbeat, size_t length);

/** @return bytes sent to other poolers, of all kinds. */
uint64_t control_counts_sent(const control_counts_t *counts);

/** @return calls by reason, as "reason=count" parted by blanks; those that are 0 are left out. */
char *control_counts_print_calls(const control_counts_t *counts);

/** @return bytes of the store's answers by table and reason, as "table.reason=bytes". */
char *control_counts_print_answers(const control_counts_t *counts);

/** @return bytes by kind, in the same form as calls. */
char *control_counts_print_bytes(const control_counts_t *counts, peer_direction_t direction);

/** @brief Writes all in Prometheus' text form. */
void control_counts_print_metrics(const control_counts_t *counts, GString *out);

#endif
