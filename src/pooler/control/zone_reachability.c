/* Whether this pooler's zone is partitioned from the others; see the header. */
#include "pooler/control/zone_reachability.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* After this long without a message from another zone, poolers there are pinged. These are two
 * heartbeats of 250 ms, each of which a coordinator in another zone answers. */
#define PING_AFTER_NS (500 * MS)

/* No pooler responds if this many pings, each to another pooler, had no response and the first of
 * them is this old. One or two poolers may have stopped or be slow, and a complete fleet that
 * restarts is up within half a second. */
#define TIMEOUTS_MIN     4U
#define TIMEOUTS_SPAN_NS (600 * MS)

/* The store counts as unreachable if what is known of it is older than this. Rows relayed by
 * poolers that follow it are at most 1.4 s old. */
#define STORE_RECENT_NS (1500 * MS)

void
zone_reachability_note_contact(zone_reachability_t *reachability, time_ns now)
{
    reachability->last_contact_at = now;
    reachability->timeouts_since = 0;
    reachability->timeouts = 0;
}

void
zone_reachability_note_timeout(zone_reachability_t *reachability, time_ns sent_at)
{
    if (sent_at <= reachability->last_contact_at) {
        return; /* a later message came from another zone */
    }
    if (reachability->timeouts_since == 0) {
        reachability->timeouts_since = sent_at;
    }
    reachability->timeouts++;
}

bool
zone_reachability_needs_ping(const zone_reachability_t *reachability, time_ns now)
{
    return now >= reachability->last_contact_at + PING_AFTER_NS;
}

/* Without any contact since the process started, the zone counts as unreachable at once: a pooler
 * that starts inside a partitioned zone and reported ready would attract the zone's clients again.
 */
static bool
none_responds(const zone_reachability_t *reachability, time_ns now)
{
    if (reachability->last_contact_at == 0) {
        return true;
    }
    return reachability->timeouts >= TIMEOUTS_MIN &&
           now >= reachability->timeouts_since + TIMEOUTS_SPAN_NS;
}

bool
zone_reachability_evaluate(zone_reachability_t *reachability,
                           const zone_reachability_inputs_t *inputs, time_ns now)
{
    bool before = reachability->partitioned;
    bool most_elsewhere = inputs->in_other_zones * 2 > inputs->members;
    bool store_unknown = now > inputs->store_known_at + STORE_RECENT_NS;
    reachability->partitioned = most_elsewhere && store_unknown && none_responds(reachability, now);
    return reachability->partitioned != before;
}
