/* The decisions of publishing, apart from all input and output: which call to the platform comes
 * next, and what the answers add up to. The outcome is never guessed: once the move of the head was
 * sent without an answer, only the head or the history, read by request id, decides it.
 *
 * Usage: start; then while `action` is not FINISH, do what it says and tell the flow the result. */
#ifndef SW_CONFIGURATION_PUBLISH_FLOW_H
#define SW_CONFIGURATION_PUBLISH_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "configuration/version_row.h"
#include "storage/backoff.h"
#include "storage/result.h"

/* What to do next. */
enum publish_action {
    PUBLISH_ACTION_READ_HEAD,
    PUBLISH_ACTION_READ_VERSION, /* history row of version base + 1 */
    PUBLISH_ACTION_CHECK_CHANGE, /* whether the bundle may follow the head, which is at base */
    PUBLISH_ACTION_PUT_BUNDLE,
    PUBLISH_ACTION_MOVE_HEAD, /* from base to base + 1 */
    PUBLISH_ACTION_WAIT,      /* wait_ms */
    PUBLISH_ACTION_FINISH,    /* see status */
};

enum publish_status {
    PUBLISH_STATUS_PENDING,
    PUBLISH_STATUS_ACCEPTED,    /* the bundle is version `version` */
    PUBLISH_STATUS_UNCHANGED,   /* the head, version `version`, has this very bundle */
    PUBLISH_STATUS_CONFLICT,    /* version base + 1 is another's; never published, nor ever will */
    PUBLISH_STATUS_NO_BASE,     /* the base is above the head; not published */
    PUBLISH_STATUS_FORBIDDEN,   /* it may not follow the base; not published */
    PUBLISH_STATUS_UNAVAILABLE, /* the store failed; not published, nor ever will */
    PUBLISH_STATUS_UNKNOWN,     /* the store failed after the move was sent: it may be published */
};

/* What to publish. Strings are borrowed for the life of the flow. */
struct publish_request {
    const char *request_id; /* unique to this attempt; the same when it is asked again */
    const char *hash;
    bool has_base; /* false: on top of whatever the head is */
    uint64_t base; /* version that the author changed; 0: nothing published */
    uint64_t deadline_ms;
    uint32_t retries_max; /* 0: as many as the deadline allows */
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
    bool move_failed;     /* a move met a failed condition, and the head was not yet read again */
    bool move_unanswered; /* a move was sent without an answer: it may still take effect */
    enum publish_status status;
    uint64_t version; /* of ACCEPTED and UNCHANGED; of the head on NO_BASE */
};

/* What every result comes with: the time (monotonic) and a uniform random number for jitter. */
struct publish_moment {
    uint64_t now_ms;
    uint32_t random;
};

void publish_flow_start(struct publish_flow *flow, const struct publish_request *request);

/* Result of READ_HEAD; `row` is NULL unless OK, and borrowed. On CONFLICT the row is the winner. */
void publish_flow_on_head(struct publish_flow *flow, enum platform_result result,
                          const struct version_row *row, struct publish_moment moment);

/* Result of READ_VERSION; as above. */
void publish_flow_on_version(struct publish_flow *flow, enum platform_result result,
                             const struct version_row *row, struct publish_moment moment);

/* Result of CHECK_CHANGE: OK: it may follow; CONDITION_FAILED: it may not; else the base could not
 * be read. */
void publish_flow_on_check(struct publish_flow *flow, enum platform_result result,
                           struct publish_moment moment);

/* Result of PUT_BUNDLE. */
void publish_flow_on_bundle(struct publish_flow *flow, enum platform_result result,
                            struct publish_moment moment);

/* Result of MOVE_HEAD. */
void publish_flow_on_move(struct publish_flow *flow, enum platform_result result,
                          struct publish_moment moment);

/* The wait is over. */
void publish_flow_on_waited(struct publish_flow *flow);

#endif
