/* Samples of a primary's log; see the header. */
#include "core/position_samples.h"

#include <math.h>
#include <string.h>

/* The sample to remove: the oldest if it is beyond POSITION_SAMPLES_REACH, else, after the first
 * POSITION_SAMPLES_DENSE, the one with the smallest gap between its neighbours relative to its
 * age. */
static uint32_t least_informative(const struct group_view *view, time_ns now)
{
    uint32_t oldest = view->sample_count - 1;
    uint32_t least = oldest;
    double least_worth = HUGE_VAL;
    if (view->samples[oldest].at + POSITION_SAMPLES_REACH < now) {
        return oldest;
    }
    for (uint32_t i = POSITION_SAMPLES_DENSE; i < oldest; i++) {
        double gap = (double)(view->samples[i - 1].at - view->samples[i + 1].at);
        double worth = gap / (double)(now - view->samples[i].at);
        if (worth < least_worth) {
            least_worth = worth;
            least = i;
        }
    }
    return least;
}

static void remove_sample(struct group_view *view, uint32_t index)
{
    uint32_t after = view->sample_count - index - 1;
    memmove(&view->samples[index], &view->samples[index + 1], after * sizeof(view->samples[0]));
    view->sample_count--;
}

void position_samples_add(struct group_view *view, time_ns at, struct log_position held)
{
    if (view->sample_count == GROUP_SAMPLES_MAX) {
        remove_sample(view, least_informative(view, at));
    }
    memmove(&view->samples[1], &view->samples[0], view->sample_count * sizeof(view->samples[0]));
    view->samples[0].at = at;
    view->samples[0].held = held;
    view->sample_count++;
}

/* Time between two samples at which the log passed `position`. */
static time_ns interpolate(const struct position_sample *older, const struct position_sample *newer,
                           struct log_position position)
{
    bool one_term = older->held.term == position.term && newer->held.term == position.term;
    if (!one_term || newer->held.offset == older->held.offset) {
        return older->at;
    }
    double part = (double)(position.offset - older->held.offset) /
                  (double)(newer->held.offset - older->held.offset);
    return older->at + (time_ns)(part * (double)(newer->at - older->at));
}

time_ns position_samples_time_of(const struct group_view *view, struct log_position position,
                                 time_ns now)
{
    if (view->sample_count == 0 || !log_position_covers(view->samples[0].held, position)) {
        return now;
    }
    if (log_position_covers(position, view->samples[0].held)) {
        return view->samples[0].at;
    }
    for (uint32_t i = 1; i < view->sample_count; i++) {
        if (log_position_covers(position, view->samples[i].held)) {
            return interpolate(&view->samples[i], &view->samples[i - 1], position);
        }
    }
    return 0;
}

bool position_samples_at(const struct group_view *view, time_ns moment,
                         struct log_position *position)
{
    if (view->sample_count == 0 || view->samples[0].at < moment) {
        return false;
    }
    /* The oldest sample at or after the moment contains at least the log as it was then. */
    uint32_t chosen = 0;
    while (chosen + 1 < view->sample_count && view->samples[chosen + 1].at >= moment) {
        chosen++;
    }
    *position = view->samples[chosen].held;
    return true;
}

time_ns position_samples_lag(const struct group_view *view, const struct database_view *database)
{
    if (view->sample_count == 0) {
        return 0;
    }
    struct log_position missing = database->status.applied;
    missing.offset++;
    time_ns oldest = view->samples[view->sample_count - 1].at;
    time_ns since = position_samples_time_of(view, missing, database->observed_at);
    if (since < oldest) {
        since = oldest;
    }
    return since < database->observed_at ? database->observed_at - since : 0;
}
