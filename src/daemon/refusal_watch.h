/* Detects refusal storms: many refusals per second of requests that could be served at another
 * time. The begin and the end of a storm are one event each. */
#ifndef SW_DAEMON_REFUSAL_WATCH_H
#define SW_DAEMON_REFUSAL_WATCH_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "generated/errors.h"

/* Refusals per second at which a storm begins, and below which it ends after a while. */
#define REFUSALS_BEGIN_PER_SECOND 50
#define REFUSALS_END_PER_SECOND   10

/* Seconds below the lower bound after which a storm ends. */
#define REFUSALS_END_SECONDS 5

enum refusal_change {
    REFUSAL_CHANGE_NONE,
    REFUSAL_CHANGE_BEGAN,
    REFUSAL_CHANGE_ENDED,
};

/* A change, as reported in the event. */
struct refusal_event {
    enum refusal_change change;
    uint64_t count;                /* refusals in the first second, or in the whole storm */
    uint32_t seconds;              /* duration of the storm; 1 at its begin */
    enum error_kind most_frequent; /* of the refusals */
};

/* Any thread adds to `counts`; all else is the control thread's. */
struct refusal_watch {
    _Atomic uint64_t counts[ERROR_KIND_COUNT];
    uint64_t seen[ERROR_KIND_COUNT];  /* at the last check */
    uint64_t storm[ERROR_KIND_COUNT]; /* in this storm */
    time_ns check_at;
    bool is_storm;
    uint32_t seconds;       /* of this storm */
    uint32_t seconds_below; /* of `seconds`, the last ones below the lower bound */
};

/* Counts a refusal, except for kinds that are the caller's fault. Any thread, no lock. */
void refusal_watch_count(struct refusal_watch *watch, enum error_kind kind);

/* Checks once a second. */
struct refusal_event refusal_watch_check(struct refusal_watch *watch, time_ns now);

#endif
