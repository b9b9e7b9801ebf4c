/* Notices refusal storms: when many requests a second are refused that might be served at another
 * time, and when that is over, each is one event. */
#ifndef SW_DAEMON_REFUSAL_WATCH_H
#define SW_DAEMON_REFUSAL_WATCH_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "generated/errors.h"

/* Refusals a second from which it is a storm, and below which, for a while, it is over. */
#define REFUSALS_BEGIN_PER_SECOND 50
#define REFUSALS_END_PER_SECOND   10

/* Seconds below the lower bound after which it is over. */
#define REFUSALS_QUIET_SECONDS 5

enum refusal_change {
    REFUSAL_CHANGE_NONE,
    REFUSAL_CHANGE_BEGAN,
    REFUSAL_CHANGE_ENDED,
};

/* A change: what the event tells. */
struct refusal_note {
    enum refusal_change change;
    uint64_t count;           /* refusals: in the second in which it began, or of the whole storm */
    uint32_t seconds;         /* that the storm lasted; 1 where it began */
    enum error_kind foremost; /* the most frequent kind of them */
};

/* `counts` are added to by any thread; all else is the control thread's. */
struct refusal_watch {
    _Atomic uint64_t counts[ERROR_KIND_COUNT];
    uint64_t seen[ERROR_KIND_COUNT];  /* at the last look */
    uint64_t storm[ERROR_KIND_COUNT]; /* in this storm */
    time_ns look_at;
    bool is_storm;
    uint32_t seconds; /* of this storm */
    uint32_t quiet;   /* of these at the end, below the lower bound */
};

/* Counts a refusal; one that its caller is to blame for is left out. Any thread, no lock. */
void refusal_watch_count(struct refusal_watch *watch, enum error_kind kind);

/* Looks once a second. */
struct refusal_note refusal_watch_look(struct refusal_watch *watch, time_ns now);

#endif
