/* State machine of publishing, without input or output: decides which call to the platform comes
 * next and derives the outcome from the results. A publication moves the head, the row that names
 * the newest version, from the base to base + 1. If that write got no answer, it may have taken
 * effect or may still do so; then only the head or the history, matched by request id, proves that
 * it did.
 *
 * Usage: start; while `action` is not FINISH, perform it and pass the result to the function for
 * it. */
#ifndef SW_CONFIGURATION_PUBLISH_FLOW_H
#define SW_CONFIGURATION_PUBLISH_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "configuration/version_row.h"
#include "storage/backoff.h"
#include "storage/result.h"

/* The next action of the caller. */
enum publish_action {
    PUBLISH_ACTION_READ_HEAD,
    PUBLISH_ACTION_READ_VERSION, /* read the history row of version base + 1 */
    PUBLISH_ACTION_CHECK_CHANGE, /* check whether the bundle may follow the head, which is base */
    PUBLISH_ACTION_PUT_BUNDLE,
    PUBLISH_ACTION_MOVE_HEAD, /* write the head: from base to base + 1 */
    PUBLISH_ACTION_WAIT,      /* wait for wait_ms */
    PUBLISH_ACTION_FINISH,    /* see status */
};

enum publish_status {
    PUBLISH_STATUS_PENDING,
    PUBLISH_STATUS_ACCEPTED,    /* the bundle is version `version` */
    PUBLISH_STATUS_UNCHANGED,   /* the head, version `version`, has the same bundle */
    PUBLISH_STATUS_CONFLICT,    /* another request published base + 1; this one never will be */
    PUBLISH_STATUS_NO_BASE,     /* the base is above the head; not published */
    PUBLISH_STATUS_FORBIDDEN,   /* the change may not follow the base; not published */
    PUBLISH_STATUS_UNAVAILABLE, /* the store failed; not published, and no write is pending */
    PUBLISH_STATUS_UNKNOWN,     /* the store failed after a move was sent; it may be published */
};

/* What to publish. Strings are borrowed for the life of the flow. */
struct publish_request {
    const char *request_id; /* unique to this publication; a repeated request keeps it */
    const char *hash;
    bool has_base; /* false: the base is the head, as first read */
    uint64_t base; /* version that the author edited; 0: nothing was published */
    uint64_t deadline_ms;
    uint32_t retries_max; /* 0: limited only by the deadline */
    struct backoff backoff;
};

/* Used by one thread. */
struct publish_flow {
    struct publish_request request;
    enum publish_action action;
    enum publish_action action_after_wait;
    uint32_t wait_ms;
    uint32_t attempt; /* retries so far */
    bool change_allowed;
    bool bundle_stored;
    bool move_failed;     /* a move's condition failed, and the head has not been read since */
    bool move_unanswered; /* a move got no answer: it may still take effect */
    enum publish_status status;
    uint64_t version; /* if ACCEPTED or UNCHANGED; the head's if NO_BASE */
};

/* Inputs passed with every result: the monotonic time and a uniform random number for jitter. */
struct publish_context {
    uint64_t now_ms;
    uint32_t random;
};

void publish_flow_start(struct publish_flow *flow, const struct publish_request *request);

/* Result of READ_HEAD. `row` is borrowed; NULL unless OK. If the flow then finishes with CONFLICT,
 * the row is the version that took the number. */
void publish_flow_on_head(struct publish_flow *flow, enum platform_result result,
                          const struct version_row *row, struct publish_context context);

/* Result of READ_VERSION. `row` as above. */
void publish_flow_on_version(struct publish_flow *flow, enum platform_result result,
                             const struct version_row *row, struct publish_context context);

/* Result of CHECK_CHANGE. OK: the bundle may follow; CONDITION_FAILED: it may not; anything else:
 * the base could not be read. */
void publish_flow_on_check(struct publish_flow *flow, enum platform_result result,
                           struct publish_context context);

/* Result of PUT_BUNDLE. */
void publish_flow_on_bundle(struct publish_flow *flow, enum platform_result result,
                            struct publish_context context);

/* Result of MOVE_HEAD. */
void publish_flow_on_move(struct publish_flow *flow, enum platform_result result,
                          struct publish_context context);

/* Completion of WAIT. */
void publish_flow_on_waited(struct publish_flow *flow);

#endif
