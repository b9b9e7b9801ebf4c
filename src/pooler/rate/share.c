/* One share of a tenant's limit; see the header. */
#include "pooler/rate/share.h"

#include <glib.h>
#include <math.h>

#define SECOND_NS 1e9

/* Tokens are reserved for the higher-priority operations that are expected within this time. It is
 * longer than the pause between two bursts of statements of one client (0.1 s) and shorter than
 * most latency objectives, after which a token would come too late. */
#define RESERVE_S 0.25

/* At most this part of a bucket's capacity is reserved, so that low priorities can have bursts. */
#define RESERVE_MAX_PART 0.5

/* Time constant of the decaying average of requests. */
#define DEMAND_DECAY_S 1.0

/* Once a priority's `passed_over` reaches this value, the next token is reserved for that priority,
 * so that it gets at least one token in ten and does not starve. */
#define PASSED_OVER_MAX 9U

/* A priority with fewer requests a second, by the decaying average, has had no request for one to
 * two seconds. No token is reserved to keep it from starving. */
#define DEMAND_MIN_PER_S 0.2

/* Each refused operation gets the time of a different future token as its retry time, up to this
 * far ahead. After that, retry times start over from the next token: few callers wait longer than a
 * second, and the demand further ahead is unknown. */
#define RETRY_HORIZON_NS (1000 * NANOSECONDS_PER_MILLISECOND)

void
share_start(share_t *share, double tokens, time_ns now)
{
    *share = (share_t){.bucket = {tokens, now}, .demand_at = now};
}

unsigned
share_priority(uint32_t priority)
{
    return MIN(priority, SHARE_PRIORITIES - 1);
}

static void
update_demand(share_t *share, unsigned priority, time_ns now)
{
    double seconds = now > share->demand_at ? (double)(now - share->demand_at) / SECOND_NS : 0;
    double decay = exp(-seconds / DEMAND_DECAY_S);
    for (unsigned i = 0; i < SHARE_PRIORITIES; i++) {
        share->demand_per_s[i] *= decay;
    }
    share->demand_per_s[priority] += 1 / DEMAND_DECAY_S;
    share->demand_at = MAX(share->demand_at, now);
}

static bool
is_starving(const share_t *share, unsigned priority)
{
    return share->passed_over[priority] >= PASSED_OVER_MAX &&
           share->demand_per_s[priority] > DEMAND_MIN_PER_S;
}

/* Number of tokens reserved for higher priorities. */
static double
reserved_for_higher(const share_t *share, unsigned priority)
{
    double reserved = 0;
    for (unsigned i = 0; i < priority; i++) {
        reserved += share->demand_per_s[i] * RESERVE_S;
    }
    return reserved;
}

/* Number of tokens reserved for a lower priority that was passed over too often: 0 or 1. */
static double
reserved_for_starving(const share_t *share, unsigned priority)
{
    for (unsigned i = priority + 1; i < SHARE_PRIORITIES; i++) {
        if (is_starving(share, i)) {
            return 1;
        }
    }
    return 0;
}

static double
reserved_tokens(const share_t *share, const bucket_limit_t *limit, unsigned priority)
{
    double reserved = is_starving(share, priority) ? 0 : reserved_for_higher(share, priority);
    reserved = fmax(reserved, reserved_for_starving(share, priority));
    return fmax(fmin(reserved, fmin(limit->capacity * RESERVE_MAX_PART, limit->capacity - 1)), 0);
}

/* Counts a granted token for each lower priority that has a refused operation. */
static void
note_granted(share_t *share, unsigned priority)
{
    for (unsigned i = priority + 1; i < SHARE_PRIORITIES; i++) {
        if (share->passed_over[i] > 0) {
            share->passed_over[i]++;
        }
    }
    share->passed_over[priority] = 0;
}

/* Time until the token after the one of the last refusal; see RETRY_HORIZON_NS. */
static time_ns
next_retry(share_t *share, const bucket_limit_t *limit, unsigned priority, time_ns now,
           time_ns wait)
{
    time_ns *retry_at = &share->retry_at[priority];
    time_ns first = now + wait;
    double interval_ns = fmin(SECOND_NS / limit->rate_per_s, 2.0 * RETRY_HORIZON_NS);
    time_ns next = *retry_at + (time_ns)interval_ns;
    bool start_over = next < first || next > first + RETRY_HORIZON_NS;
    *retry_at = start_over ? first : next;
    return *retry_at - now;
}

bool
share_take(share_t *share, const bucket_limit_t *limit, uint32_t priority, time_ns now,
           time_ns *wait)
{
    unsigned index = share_priority(priority);
    update_demand(share, index, now);
    if (bucket_take(&share->bucket, limit, reserved_tokens(share, limit, index), now, wait)) {
        note_granted(share, index);
        return true;
    }
    share->passed_over[index] = MAX(share->passed_over[index], 1);
    if (*wait != 0) {
        *wait = next_retry(share, limit, index, now, *wait);
    }
    return false;
}
