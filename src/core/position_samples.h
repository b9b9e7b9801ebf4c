/* Samples of the end of a group's log at its primary. They convert positions to times: how far a
 * replica lags, and what a read within a staleness bound must see. */
#ifndef SW_CORE_POSITION_SAMPLES_H
#define SW_CORE_POSITION_SAMPLES_H

#include "core/types.h"

/* Number of newest samples, which are all kept. */
#define POSITION_SAMPLES_DENSE 8

/* Samples older than this are removed first when space is needed. */
#define POSITION_SAMPLES_REACH (64 * NANOSECONDS_PER_SECOND)

/* Adds the end of the primary's log at time `at` as the newest sample. When the array is full, one
 * sample is removed so that the others cover a long time and are dense where they are recent. */
void position_samples_add(struct group_view *view, time_ns at, struct log_position held);

/* Time at which the primary held `position`, interpolated between samples; `now` if later than all
 * samples, 0 if earlier than all of them. */
time_ns position_samples_time_of(const struct group_view *view, struct log_position position,
                                 time_ns now);

/* Replication lag of a database's applied position when it was last observed. Limited to the time
 * that the samples cover; 0 without samples. */
time_ns position_samples_lag(const struct group_view *view, const struct database_view *database);

/* End of the primary's log at `moment` or shortly after. False if all samples are older. */
bool position_samples_at(const struct group_view *view, time_ns moment,
                         struct log_position *position);

#endif
