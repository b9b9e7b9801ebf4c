/* The monotonic clock of the back-end threads. All deadlines are absolute times of this clock. */
#ifndef SW_BACKEND_CLOCK_H
#define SW_BACKEND_CLOCK_H

#include <time.h>

#include "core/types.h"

/* Nanoseconds of CLOCK_MONOTONIC. */
static inline time_ns backend_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (time_ns)now.tv_sec * NANOSECONDS_PER_SECOND + (time_ns)now.tv_nsec;
}

/* The same moment as a timespec, for pthread_cond_timedwait on a CLOCK_MONOTONIC condition. */
static inline struct timespec backend_timespec(time_ns at)
{
    struct timespec time = {
        .tv_sec = (time_t)(at / NANOSECONDS_PER_SECOND),
        .tv_nsec = (long)(at % NANOSECONDS_PER_SECOND),
    };
    return time;
}

/* Milliseconds left until `deadline`, rounded up for poll(); 0 when it has passed. */
static inline int backend_poll_ms(time_ns deadline, time_ns now)
{
    if (deadline <= now) {
        return 0;
    }
    time_ns left = (deadline - now + NANOSECONDS_PER_MILLISECOND - 1) / NANOSECONDS_PER_MILLISECOND;
    return left > INT32_MAX ? INT32_MAX : (int)left;
}

#endif
