/* Whether a pooler's report of a faulty database counts. See fault_report.h. */
#include "pooler/control/fault_report.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* Maximum age of a recent heartbeat: almost three intervals of 250 ms. */
#define RECENT_NS (700 * MS)

/* A running pooler finds a new coordinator within this time. If its first heartbeat comes later, it
 * counts as returned from an interruption. */
#define DISCOVERY_NS (2500 * MS)

/* A pooler has checked each database again within this time after its return: it tries an
 * unreachable one again after at most 0.8 s, and the first packet of a connection, if lost, is sent
 * again after 1 s. */
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
