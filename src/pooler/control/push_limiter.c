/* Rate limit of pushes to all poolers. See push_limiter.h. */
#include "pooler/control/push_limiter.h"

#include <glib.h>

/* The share of its link that a coordinator uses for pushes and the messages that they cause: half
 * of the fifth that all control traffic may use. The other half is for heartbeats and their
 * answers: 350 bytes a second for each pooler and direction, so 105 kB/s at 300 poolers, a twelfth
 * of a link of 10 Mbit/s. */
#define LINK_SHARE 0.1

/* Bytes of one pooler's confirmation and of the answer to it: 130 each. */
#define CONFIRMATION_BYTES 260

/* Pushes that are sent without waiting. A change of primary needs three (closed, primary named,
 * open), and the loss of a machine may cause two changes, one after the other. */
#define BURST_PUSHES 6

/* The burst is refilled after this time in which no push had to wait, so not while updates come in
 * all the time. Shorter than the time between the changes of primary of two lost machines: each
 * loss is detected after 450 ms without an answer. */
#define BURST_REFILL_NS (400 * NANOSECONDS_PER_MILLISECOND)

/* A push waits for at most WAIT_TARGET_S seconds, unless pushes would then use more than
 * LINK_SHARE_MAX of the link. The changes of primary after the loss of a zone come close together,
 * and by LINK_SHARE alone a few poolers on links of 2 Mbit/s would wait for 0.24 s. */
#define WAIT_TARGET_S  0.05
#define LINK_SHARE_MAX 0.4

/* Upper limit of the wait, in seconds. By then each pooler's next heartbeat has arrived, and its
 * answer carries the same updates. */
#define WAIT_MAX_S 0.25

/* Time after a push of `bytes` bytes until the next push may be sent, in seconds. */
static double
wait_s_after(double bytes, double link_bytes_per_s)
{
    double by_share = bytes / (link_bytes_per_s * LINK_SHARE);
    double bounded = MAX(WAIT_TARGET_S, bytes / (link_bytes_per_s * LINK_SHARE_MAX));
    return MIN(MIN(by_share, bounded), WAIT_MAX_S);
}

/* When the next push may be sent without using up the burst. */
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
