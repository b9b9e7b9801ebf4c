/* Members that have restarted, perhaps without their log. Earlier reports of such a member are
 * dropped, and its log counts again once its reports show that the log is complete. See failover.h
 * for why. A restart keeps the complete log or loses all of it.
 *
 * A restart shows in the start time that a member's row tells. A member that is partitioned from
 * the store can't update its row, so a lost log also shows in a position below an earlier one, or,
 * of a primary, below that of a replica. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/failover_internal.h"

#include <inttypes.h>
#include <string.h>

static void
log_restart(const struct failover *failover, const struct failover_member *member,
            const char *evidence)
{
    g_autofree char *born = g_strdup_printf("%" PRIu64, member->born_ms);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_DATABASE", member->id, "SW_BORN_MS", born, "SW_PRIMARY",
                     failover->primary == NULL ? "" : failover->primary, "MESSAGE",
                     "Group %s: %s %s; its log does not count until it is verified.",
                     failover->service, member->id, evidence);
}

/* Drops what the member has reported, and keeps what its directory row says. */
static void
reset_member(struct failover_member *member, uint64_t born_ms, time_ns now)
{
    *member = (struct failover_member){
        .id = member->id,
        .endpoint = member->endpoint,
        .listed = member->listed,
        .takes_work = member->takes_work,
        .reports_leading = member->reports_leading,
        .born_ms = born_ms,
        .log_unverified_since = now,
        .absent_since = member->absent_since,
        .confirmed = member->confirmed,
    };
}

/* True if a candidate was chosen by the reports of the members. */
static bool
has_candidate(const struct failover *failover)
{
    return failover->state == FAILOVER_RECORDING || failover->state == FAILOVER_PROMOTING ||
           failover->state == FAILOVER_CONFIRMING;
}

static bool
is_led(const struct failover *failover)
{
    return failover->state == FAILOVER_WATCHING || failover->state == FAILOVER_DRAINING;
}

static void
note_restart(struct failover *failover, struct failover_member *member, uint64_t born_ms,
             const char *evidence, time_ns now)
{
    bool counted = member->fenced || g_strcmp0(failover->candidate, member->id) == 0;
    reset_member(member, born_ms, now);
    log_restart(failover, member, evidence);
    if (has_candidate(failover) && counted) {
        failover_start_fencing(failover, now); /* the restart has ended its pause */
    } else if (is_led(failover) && failover_is_primary(failover, member)) {
        failover_set_state(failover, FAILOVER_SEARCHING, now);
        failover_publish(failover, GROUP_PHASE_CLOSED);
    }
}

void
failover_check_regress(struct failover *failover, struct failover_member *member,
                       const struct database_report *report, time_ns now)
{
    bool regressed =
        member->has_report && log_position_compare(report->received, member->report.received) < 0;
    /* A promotion rolls back replicas that were ahead of the promoted one. */
    bool promoted = member->reported_in_term != failover_newest_term(failover, report) ||
                    failover->state == FAILOVER_PROMOTING || failover->state == FAILOVER_CONFIRMING;
    if (regressed && !promoted) {
        note_restart(failover, member, member->born_ms, "reports less of the log than before", now);
    }
}

void
failover_check_primary_log(struct failover *failover, time_ns now)
{
    struct failover_member *primary = failover_former_primary(failover);
    if (primary == NULL || !primary->fenced || primary->log_unverified_since != 0) {
        return;
    }
    bool behind = primary->report.received.offset == 0;
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool counts = member->has_report && member->log_unverified_since == 0 &&
                      member->reported_at >= failover->led_since;
        behind = behind || (counts && !log_position_covers(primary->report.received,
                                                           member->report.received));
    }
    if (behind) {
        primary->log_unverified_since = now;
        log_restart(failover, primary, "holds no log, or less than a replica");
    }
}

bool
failover_note_start(struct failover *failover, const char *id, uint64_t born_ms, time_ns now)
{
    struct failover_member *member = failover_find(failover, id);
    if (member == NULL || born_ms == 0 || member->born_ms == born_ms) {
        return false;
    }
    failover->membership_revision++;
    if (member->born_ms == 0) {
        member->born_ms = born_ms;
        return false;
    }
    note_restart(failover, member, MAX(member->born_ms, born_ms), "has restarted", now);
    return true;
}

/* A restarted leader's log is complete if it covers the logs of all members that have reported
 * since the restart, and at least one of these has not restarted itself. */
static bool
leader_log_is_complete(const struct failover *failover, const struct failover_member *leader)
{
    bool compared = false;
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool reported = member->has_report && member->reported_at >= leader->log_unverified_since;
        if (member == leader || !reported) {
            continue;
        }
        if (!log_position_covers(leader->report.received, member->report.received)) {
            return false;
        }
        compared = compared || member->log_unverified_since == 0;
    }
    return compared;
}

/* A restarted replica's log is complete once it covers what the primary held after the restart:
 * that includes each commit that the replica may have held before. */
static bool
replica_log_is_complete(const struct failover *failover, const struct failover_member *replica)
{
    const struct failover_member *primary = failover_primary(failover);
    return primary != NULL && primary != replica && primary->log_unverified_since == 0 &&
           primary->has_report && primary->report.leads &&
           primary->reported_at >= replica->log_unverified_since &&
           log_position_covers(replica->report.received, primary->report.received);
}

void
failover_verify_logs(struct failover *failover)
{
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        if (member->log_unverified_since == 0 || !member->has_report) {
            continue;
        }
        bool complete = member->report.leads ? leader_log_is_complete(failover, member)
                                             : replica_log_is_complete(failover, member);
        if (complete) {
            member->log_unverified_since = 0;
            g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_SERVICE", failover->service,
                             "SW_DATABASE", member->id, "MESSAGE",
                             "Group %s: the log of %s is verified as complete.", failover->service,
                             member->id);
        }
    }
}

bool
failover_has_unverified_log(const struct failover *failover)
{
    for (guint i = 0; i < failover->members->len; i++) {
        if (failover_member_at(failover, i)->log_unverified_since != 0) {
            return true;
        }
    }
    return false;
}

void
failover_query_unverified(struct failover *failover, time_ns now)
{
    struct failover_member *primary = failover_primary(failover);
    if (primary == NULL || !failover_has_unverified_log(failover)) {
        return;
    }
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        if (member == primary || member->log_unverified_since != 0) {
            failover_send_command(failover, member, DATABASE_COMMAND_STATUS, 0, SEARCH_EVERY_NS,
                                  now);
        }
    }
}

bool
failover_replicas_suffice(const struct failover *failover)
{
    const struct failover_member *primary = failover_former_primary(failover);
    if (primary == NULL || (primary->log_unverified_since != 0 && primary->fenced)) {
        return true;
    }
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        if (member != primary && member->log_unverified_since != 0) {
            return false;
        }
    }
    return true;
}
