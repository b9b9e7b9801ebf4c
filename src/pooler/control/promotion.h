/**
 * @file
 * @brief Interface to the external service that promotes a database to primary. The adapter to a
 * platform implements it, and the control thread calls it.
 */
#ifndef SW_POOLER_PROMOTION_H
#define SW_POOLER_PROMOTION_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum promotion_outcome {
    PROMOTION_ACCEPTED, /* the database will lead soon, or leads already */
    PROMOTION_REFUSED,  /* the database is not running, or the fencing token is stale */
    PROMOTION_BUSY,     /* nothing was done; try again later */
    PROMOTION_UNKNOWN,  /* no answer: it may have been done, or may still be done */
};

/** @return the outcome's name for the log. */
const char *promotion_outcome_name(enum promotion_outcome outcome);

typedef void promotion_callback(void *user, enum promotion_outcome outcome);

struct promotion;

/** @param holder name of this pooler, which holds the fencing token of each order. */
struct promotion *promotion_new(struct event_base *base, const struct sockaddr_in *address,
                                const char *holder);
void promotion_free(struct promotion *promotion);

/** @brief Orders the promotion of a database. Only one order may be unanswered at a time.
 *  @param token fencing token of the coordinator's lease. The service refuses lower tokens than the
 *  highest it has seen.
 *  @param timeout_ms for connecting, and for the answer. */
void promotion_order(struct promotion *promotion, const char *service, const char *database,
                     uint64_t token, uint32_t timeout_ms, promotion_callback *callback, void *user);

/** @brief Gives up an unanswered order: what has not left this machine is not sent. Its callback
 *  comes later, with PROMOTION_UNKNOWN. */
void promotion_abort(struct promotion *promotion);

#endif
