/* A token bucket; see the header. */
#include "pooler/rate/bucket.h"

#include <math.h>

#define SECOND_NS 1e9

/* Upper bound of the reported wait: at a very low rate the wait would overflow time_ns. */
#define WAIT_MAX_S 3600.0

static void
fill(bucket_t *bucket, const bucket_limit_t *limit, time_ns now)
{
    if (now > bucket->filled_at) {
        bucket->tokens += (double)(now - bucket->filled_at) / SECOND_NS * limit->rate_per_s;
        bucket->filled_at = now;
    }
    if (bucket->tokens > limit->capacity) {
        bucket->tokens = limit->capacity;
    }
}

bool
bucket_take(bucket_t *bucket, const bucket_limit_t *limit, double reserve, time_ns now,
            time_ns *wait)
{
    double needed = 1 + reserve;
    fill(bucket, limit, now);
    if (bucket->tokens >= needed) {
        bucket->tokens -= 1;
        return true;
    }
    double wait_s = limit->rate_per_s <= 0 ? 0 : (needed - bucket->tokens) / limit->rate_per_s;
    *wait = limit->rate_per_s <= 0 ? 0 : (time_ns)(fmin(wait_s, WAIT_MAX_S) * SECOND_NS) + 1;
    return false;
}
