/* The edge of promotion: orders the service outside to let a named database lead. The adapter
 * implements it; the control thread calls it. */
#ifndef SW_POOLER_PROMOTION_H
#define SW_POOLER_PROMOTION_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum promotion_outcome {
    PROMOTION_ACCEPTED, /* it leads soon, or leads already */
    PROMOTION_REFUSED,  /* the database does not run, or the fence is stale */
    PROMOTION_BUSY,     /* nothing was done; try again later */
    PROMOTION_UNKNOWN,  /* no answer: it may have been done, or may still be */
};

const char *promotion_outcome_name(enum promotion_outcome outcome);

typedef void promotion_callback(void *user, enum promotion_outcome outcome);

struct promotion;

struct promotion *promotion_new(struct event_base *base, const struct sockaddr_in *address,
                                const char *holder);
void promotion_free(struct promotion *promotion);

/* Orders the promotion under a fencing token, which rises with each holder of the duty. */
void promotion_order(struct promotion *promotion, const char *service, const char *database,
                     uint64_t token, promotion_callback *callback, void *user);

#endif
