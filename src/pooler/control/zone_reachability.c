/* Whether this pooler's zone is cut off; see the header. */
#include "pooler/control/zone_reachability.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* After so long without a message from another zone, poolers there are asked: two heartbeats of 250
 * ms, each of which a coordinator in another zone answers. */
#define PING_AFTER_NS (500 * MS)

/* Nobody answers once this many questions, each to another pooler, went without an answer, and the
 * first of them is so old. One or two poolers may be gone or slow; a whole fleet that restarts is
 * up within half a second. */
#define TIMEOUTS_MIN     4U
#define TIMEOUTS_SPAN_NS (600 * MS)

/* The store counts as out of reach if nothing newer than this is known of it: 1.4 s is the oldest
 * that poolers pass on of it, as long as any of them is reached that follows it. */
#define STORE_RECENT_NS (1500 * MS)

void
zone_reachability_note_contact(zone_reachability_t *reach, time_ns now)
{
    reach->last_contact_at = now;
    reach->timeouts_since = 0;
    reach->timeouts = 0;
}

void
zone_reachability_note_timeout(zone_reachability_t *reach, time_ns asked)
{
    if (asked <= reach->last_contact_at) {
        return; /* another one has been heard since */
    }
    if (reach->timeouts_since == 0) {
        reach->timeouts_since = asked;
    }
    reach->timeouts++;
}

bool
zone_reachability_needs_ping(const zone_reachability_t *reach, time_ns now)
{
    return now >= reach->last_contact_at + PING_AFTER_NS;
}

/* A process that has heard nobody yet counts as unanswered at once: one that starts inside a zone
 * that is cut off and called itself ready would draw the zone's clients back. */
static bool
none_responds(const zone_reachability_t *reach, time_ns now)
{
    if (reach->last_contact_at == 0) {
        return true;
    }
    return reach->timeouts >= TIMEOUTS_MIN && now >= reach->timeouts_since + TIMEOUTS_SPAN_NS;
}

bool
zone_reachability_evaluate(zone_reachability_t *reach, const zone_reachability_inputs_t *inputs,
                           time_ns now)
{
    bool before = reach->partitioned;
    bool most_elsewhere = inputs->in_other_zones * 2 > inputs->members;
    bool store_unknown = now > inputs->store_known_at + STORE_RECENT_NS;
    reach->partitioned = most_elsewhere && store_unknown && none_responds(reach, now);
    return reach->partitioned != before;
}
