/* Whether a fault that a pooler reports of a database counts; see the header. */
#include "pooler/control/fault_report.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* A pooler counts as heard for so long after a heartbeat: almost three, of 250 ms each. */
#define RECENT_NS (700 * MS)

/* A pooler that is well finds a new coordinator within this time. One first heard later is taken
 * for one that was away. */
#define DISCOVERY_NS (2500 * MS)

/* By so long after its return, a pooler has looked at each database again: it tries a dark one
 * after 0.8 s at most, and a connection's first packet, if lost, is sent again after a second. */
#define RECHECK_NS (1500 * MS)

void
contact_note(contact_t *contact, time_ns now)
{
    bool first = contact->last_heartbeat_at == 0;
    if (first ? now > contact->listening_since + DISCOVERY_NS : !contact_is_recent(contact, now)) {
        contact->returned_at = now;
    }
    contact->last_heartbeat_at = now;
}

bool
contact_is_recent(const contact_t *contact, time_ns now)
{
    return now <= contact->last_heartbeat_at + RECENT_NS;
}

bool
fault_report_counts(const contact_t *contact, uint32_t age_ms, time_ns now)
{
    bool returned_recently = contact->returned_at != 0 && now < contact->returned_at + RECHECK_NS;
    bool began_before = contact->last_heartbeat_at < contact->returned_at + age_ms * MS;
    return !returned_recently || !began_before;
}
