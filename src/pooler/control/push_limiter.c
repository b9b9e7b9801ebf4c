/* The pace of news to all poolers; see the header. */
#include "pooler/control/push_limiter.h"

#include <glib.h>

/* The part of its link that a coordinator gives to pushes and what they cause: half of the fifth
 * that all of control may take. The other half is for heartbeats and their answers: 350 bytes a
 * second for each pooler and direction, so 105 kB/s at 300 poolers, a twelfth of a link of 10
 * Mbit/s. */
#define LINK_SHARE 0.1

/* What one pooler's confirmation and the answer to it take, in bytes: measured 130 each. */
#define CONFIRMATION_BYTES 260

/* Pushes that go without waiting: a change of primary needs three (closed, named, open), and a lost
 * machine may cause two changes, one after the other. */
#define BURST_PUSHES 6

/* These AT_ONCE are granted anew after so long in which no push had to wait, so not amid a storm of
 * news. Shorter than the time between two lost machines' changes of primary, each of which takes
 * 450 ms of silence to be seen. */
#define BURST_REFILL_NS (400 * NANOSECONDS_PER_MILLISECOND)

/* A push waits for WAIT_S seconds at most, unless pushes would then take more than LINK_SHARE_MOST
 * of the link: the changes of primary of a lost zone come close together, and by LINK_SHARE alone a
 * few poolers on links of 2 Mbit/s would wait for 0.24 s. */
#define WAIT_TARGET_S  0.05
#define LINK_SHARE_MAX 0.4

/* Nor ever longer than so many seconds: by then each pooler's next heartbeat has come, and its
 * answer tells the same. */
#define WAIT_MAX_S 0.25

/* For how long after a push of so many bytes the next one waits, in seconds. */
static double
wait_s_after(double bytes, double link_bytes_per_s)
{
    double by_share = bytes / (link_bytes_per_s * LINK_SHARE);
    double bounded = MAX(WAIT_TARGET_S, bytes / (link_bytes_per_s * LINK_SHARE_MAX));
    return MIN(MIN(by_share, bounded), WAIT_MAX_S);
}

/* When the next push may go without using up one of AT_ONCE. */
static time_ns
next_allowed_at(const push_limiter_t *limiter, double link_bytes_per_s)
{
    double wait_s = wait_s_after(limiter->bytes, link_bytes_per_s);
    return limiter->at + (time_ns)(wait_s * (double)NANOSECONDS_PER_SECOND);
}

bool
push_limiter_allows(push_limiter_t *limiter, double link_bytes_per_s, time_ns now)
{
    time_ns allowed_at = next_allowed_at(limiter, link_bytes_per_s);
    if (limiter->at == 0 || now >= allowed_at + BURST_REFILL_NS) {
        limiter->burst = BURST_PUSHES;
    }
    return now >= allowed_at || limiter->burst > 0;
}

void
push_limiter_consume(push_limiter_t *limiter, uint32_t receivers, uint64_t bytes, time_ns now)
{
    limiter->bytes = (double)bytes + (double)receivers * CONFIRMATION_BYTES;
    limiter->at = now;
    limiter->burst -= MIN(limiter->burst, 1);
}
