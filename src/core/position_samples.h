/* Samples of where a group's log stood at its primary. They map positions to time: how far a
 * replica lags, and what a read within a staleness bound must see. */
#ifndef SW_CORE_POSITION_SAMPLES_H
#define SW_CORE_POSITION_SAMPLES_H

#include "core/types.h"

/* The newest samples, which are kept as they came. */
#define POSITION_SAMPLES_DENSE 8

/* Samples older than this are dropped once the room is needed. */
#define POSITION_SAMPLES_REACH (64 * NANOSECONDS_PER_SECOND)

/* Adds what the primary held at `at`, newest first. When the room is used up, a sample is dropped
 * so that the rest reaches far back and is dense where it is new. */
void position_samples_add(struct group_view *view, time_ns at, struct log_position held);

/* When the primary held `position`, by interpolation between samples; `now` if later than all
 * samples, zero if earlier than all of them. */
time_ns position_samples_time_of(const struct group_view *view, struct log_position position,
                                 time_ns now);

/* Time by which what a database shows to reads is behind the primary when it was last observed.
 * Where the samples do not reach back so far, the time that they reach back; 0 without samples. */
time_ns position_samples_lag(const struct group_view *view, const struct database_view *database);

/* What the primary held at `moment` or a little later. False if the samples do not tell. */
bool position_samples_at(const struct group_view *view, time_ns moment,
                         struct log_position *position);

#endif
