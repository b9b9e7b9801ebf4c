/* The steps of a change of primary: drain, fence, choose, record, order, confirm. See failover.h
 * for why they lose no acknowledged commit. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/failover_internal.h"

#include <inttypes.h>

/* Interval of the queries whether the candidate leads, and time from the order to the first one. */
#define CONFIRM_EVERY_NS (40 * MS)
#define CONFIRM_FIRST_NS (150 * MS)

/* Time limit for open work, after which a planned change closes the primary. */
#define DRAIN_MAX_NS (900 * MS)

/* A promotion without effect is ordered again after ORDER_AGAIN_NS, and one whose record or order
 * failed after ORDER_RETRY_NS. A candidate that is unresponsive for CANDIDATE_DEAD_NS, or whose
 * promotion was refused, is not chosen again for EXCLUDED_NS. */
#define ORDER_AGAIN_NS    (1500 * MS)
#define ORDER_RETRY_NS    (50 * MS)
#define CANDIDATE_DEAD_NS (1200 * MS)
#define EXCLUDED_NS       (1500 * MS)

/* An old primary steps down within a second after it can reach the new one. 0.1 s margin. */
#define FORMER_STEPS_DOWN_NS (1100 * MS)

static uint32_t
members_count(const struct failover *failover)
{
    return failover->members->len;
}

/* Number of members that are replicas. A known primary that is no longer a member, as its row was
 * deleted, may still be running, and then every member is its replica. */
static uint32_t
count_replicas(const struct failover *failover)
{
    bool removed = failover->primary != NULL && failover_primary(failover) == NULL;
    return removed ? members_count(failover) : MAX(members_count(failover), 1) - 1;
}

/* Even if a service requires more synchronous replicas, a commit is assumed to be on only one:
 * databases do not report how many they waited for. So all replicas have to be paused. */
uint32_t
failover_pauses_needed(const struct failover *failover)
{
    if (!failover->settled) {
        return UINT32_MAX;
    }
    return failover->sync_replicas == 0 ? 1 : MAX(count_replicas(failover), 1);
}

void
failover_start_fencing(struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        failover_member_at(failover, i)->fenced = false;
        failover_member_at(failover, i)->command_sent_at = 0;
    }
    failover->fence_term = failover->term + 1;
    failover_set_state(failover, FAILOVER_FENCING, now);
    failover_publish(failover, GROUP_PHASE_CLOSED);
}

void
failover_begin_change(struct failover *failover, bool planned, const char *reason, time_ns now)
{
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_PRIMARY", failover->primary == NULL ? "" : failover->primary, "MESSAGE",
                     "Group %s: replacing its primary: %s.", failover->service, reason);
    failover->minority_since = 0;
    if (planned) {
        failover_set_state(failover, FAILOVER_DRAINING, now);
        failover_publish(failover, GROUP_PHASE_DRAINING);
    } else {
        failover_start_fencing(failover, now);
    }
}

void
failover_resume_promotion(struct failover *failover, const char *candidate, uint64_t term,
                          time_ns now)
{
    failover->term = MAX(failover->term, term);
    if (candidate == NULL) {
        return;
    }
    g_free(failover->candidate);
    failover->candidate = g_strdup(candidate);
    failover->fence_term = term;
    failover_set_state(failover, FAILOVER_RECORDING, now);
    failover_publish(failover, GROUP_PHASE_CLOSED);
    failover->actions->record(failover->actions->user, failover, false);
}

void
failover_drain(struct failover *failover, time_ns now)
{
    bool drained = failover->actions->drained(failover->actions->user, failover);
    if (drained || now > failover->since + DRAIN_MAX_NS) {
        failover_start_fencing(failover, now);
    }
}

/* True if a replica that may lead has received all of the primary's log. The primary is stepped
 * down only then, as it stops replicating when it steps down. */
static bool
replica_caught_up(const struct failover *failover, const struct failover_member *primary)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        if (member != primary && member->takes_work && member->has_report &&
            member->reported_at > failover->since &&
            log_position_covers(member->report.received, primary->report.received)) {
            return true;
        }
    }
    return false;
}

/* Time for a responsive primary to replicate the rest of its log before it is stepped down. */
#define CATCH_UP_NS (250 * MS)

/* True for an old primary that does not know that it was replaced. It can't be paused before it
 * steps down. */
static bool
leads_in_earlier_term(const struct failover *failover, const struct failover_member *member)
{
    return member->has_report && member->report.leads && member->report.term < failover->fence_term;
}

static void
send_fencing_commands(struct failover *failover, time_ns now)
{
    struct failover_member *primary = failover_primary(failover);
    bool primary_answers = primary != NULL && primary->answered && primary->has_report;
    bool catching_up =
        primary_answers && primary->report.leads && now < failover->since + CATCH_UP_NS &&
        !(primary->reported_at > failover->since && replica_caught_up(failover, primary));
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        if (catching_up) {
            failover_send_command(failover, member, DATABASE_COMMAND_STATUS, 0,
                                  COMMAND_EVERY_NS / 4, now);
        } else if (member->fenced) {
            continue;
        } else if (member == primary || leads_in_earlier_term(failover, member)) {
            failover_send_command(failover, member, DATABASE_COMMAND_STEP_DOWN,
                                  failover->fence_term, COMMAND_EVERY_NS, now);
        } else {
            failover_send_command(failover, member, DATABASE_COMMAND_PAUSE, failover->fence_term,
                                  COMMAND_EVERY_NS, now);
        }
    }
}

/* If no other candidate is found for this time, the old primary may lead again. */
#define PRIMARY_ELIGIBLE_AFTER_NS (1000 * MS)

/* Counts the fenced replicas, and finds the most advanced log position among them. */
static uint32_t
count_fenced(const struct failover *failover, struct log_position *highest)
{
    uint32_t fenced = 0;
    const struct failover_member *primary = failover_former_primary(failover);
    *highest = (struct log_position){0};
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        if (!member->fenced || member == primary) {
            continue;
        }
        fenced++;
        if (log_position_compare(member->report.received, *highest) > 0) {
            *highest = member->report.received;
        }
    }
    return fenced;
}

/* The best candidate that holds at least `need`: one that takes work before one that is leaving,
 * then the most advanced one. The old primary is eligible only after a while, as there was a reason
 * to replace it. */
static struct failover_member *
choose_candidate(const struct failover *failover, struct log_position need, time_ns now)
{
    bool primary_allowed = now > failover->since + PRIMARY_ELIGIBLE_AFTER_NS;
    struct failover_member *best = NULL;
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        bool eligible = member->fenced && member->answered && now >= member->excluded_until &&
                        (primary_allowed || !failover_is_primary(failover, member)) &&
                        log_position_covers(member->report.received, need);
        if (!eligible) {
            continue;
        }
        bool better = best == NULL || (member->takes_work && !best->takes_work) ||
                      (member->takes_work == best->takes_work &&
                       log_position_compare(member->report.received, best->report.received) > 0);
        if (better) {
            best = member;
        }
    }
    return best;
}

/* True if the fenced replicas together hold each acknowledged commit of the members. A replica that
 * has joined since its row was last asked for may have confirmed commits. */
static bool
enough_are_fenced(const struct failover *failover, uint32_t fenced)
{
    return fenced >= failover_pauses_needed(failover) &&
           failover->members_as_of >= failover->since && failover_replicas_suffice(failover);
}

/* The member to promote; NULL as long as no log is known to be complete. */
static struct failover_member *
find_candidate(const struct failover *failover, time_ns now)
{
    struct log_position highest;
    const struct failover_member *primary = failover_former_primary(failover);
    uint32_t fenced = count_fenced(failover, &highest);
    struct failover_member *candidate = NULL;
    bool primary_fenced = primary != NULL && primary->fenced;
    if (primary_fenced && primary->log_unverified_since == 0) {
        candidate = choose_candidate(failover, primary->report.received, now);
    }
    if (candidate != NULL || !enough_are_fenced(failover, fenced)) {
        return candidate;
    }
    /* A restarted primary that is ahead of the replicas has kept its log. */
    bool primary_ahead = primary_fenced && primary->log_unverified_since != 0 &&
                         log_position_compare(primary->report.received, highest) > 0;
    if (primary_ahead) {
        return choose_candidate(failover, primary->report.received, now);
    }
    return failover_covers_departed(failover, highest, now)
               ? choose_candidate(failover, highest, now)
               : NULL;
}

/* True if another member was promoted meanwhile, or the primary leads in a newer term, or is back
 * under another id. Opens the group with that one. */
static bool
follow_leader(struct failover *failover, time_ns now)
{
    struct failover_member *leader = failover_find_leader(failover, now);
    if (leader != NULL && leader->report.term >= failover->fence_term) {
        failover_open(failover, leader, now);
        return true;
    }
    return failover_follow_renamed_primary(failover, now);
}

/* Logs the logs that the choice of the candidate was based on. */
static void
log_choice(const struct failover *failover, const struct failover_member *candidate)
{
    g_autoptr(GString) logs = g_string_new(NULL);
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        const struct log_position *received = &member->report.received;
        g_string_append_printf(logs, "%s%s=", logs->len == 0 ? "" : " ", member->id);
        if (!member->has_report) {
            g_string_append(logs, "unknown");
            continue;
        }
        g_string_append_printf(logs, "%" PRIu64 ".%" PRIu64 "%s%s", received->term,
                               received->offset, member->fenced ? "" : ",not-fenced",
                               member->log_unverified_since == 0 ? "" : ",unverified");
    }
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_PRIMARY", failover->primary == NULL ? "" : failover->primary,
                     "SW_CANDIDATE", candidate->id, "SW_LOGS", logs->str, "MESSAGE",
                     "Group %s: %s is to be promoted; logs: %s.", failover->service, candidate->id,
                     logs->str);
}

void
failover_fence(struct failover *failover, time_ns now)
{
    if (follow_leader(failover, now)) {
        return;
    }
    if (failover->term > failover->fence_term) {
        failover_start_fencing(failover, now); /* a member has reported a newer term */
        return;
    }
    send_fencing_commands(failover, now);
    if (!failover->actions->closed(failover->actions->user, failover)) {
        return;
    }
    failover_check_primary_log(failover, now);
    struct failover_member *candidate = find_candidate(failover, now);
    if (candidate == NULL) {
        failover_log_blocked(failover, now);
        return;
    }
    failover->blocked_since = 0;
    g_free(failover->candidate);
    failover->candidate = g_strdup(candidate->id);
    log_choice(failover, candidate);
    failover_set_state(failover, FAILOVER_RECORDING, now);
    failover->actions->record(failover->actions->user, failover, false);
}

void
failover_recorded(struct failover *failover, bool done, time_ns now)
{
    if (failover->state != FAILOVER_RECORDING) {
        return;
    }
    if (!done) {
        failover->promotion_tried_at = now;
        return; /* failover_retry() tries again */
    }
    failover_set_state(failover, FAILOVER_PROMOTING, now);
    failover->promotion_tried_at = now;
    failover->actions->promote(failover->actions->user, failover, failover->candidate);
}

void
failover_promotion_answered(struct failover *failover, enum failover_promotion_result result,
                            time_ns now)
{
    if (failover->state != FAILOVER_PROMOTING) {
        return;
    }
    struct failover_member *candidate = failover_find(failover, failover->candidate);
    switch (result) {
    case FAILOVER_PROMOTION_ACCEPTED:
        failover_set_state(failover, FAILOVER_CONFIRMING, now);
        break;
    case FAILOVER_PROMOTION_REFUSED:
        if (candidate != NULL) {
            candidate->excluded_until = now + EXCLUDED_NS;
        }
        failover_start_fencing(failover, now);
        break;
    case FAILOVER_PROMOTION_RETRY:
        failover->promotion_tried_at = now; /* failover_retry() orders it again */
        break;
    }
}

void
failover_confirm(struct failover *failover, time_ns now)
{
    struct failover_member *candidate = failover_find(failover, failover->candidate);
    if (candidate == NULL) {
        failover_start_fencing(failover, now);
        return;
    }
    bool leads = candidate->has_report && candidate->answered && candidate->report.leads &&
                 candidate->reported_at > failover->since;
    if (leads) {
        failover_open(failover, candidate, now);
        failover->resume_at = failover->former_may_be_alive ? now + FORMER_STEPS_DOWN_NS : 0;
        failover->former_may_be_alive = false;
        failover->actions->record(failover->actions->user, failover, true);
        failover_reconcile_members(failover, now);
        return;
    }
    if (candidate->failing_since != 0 && now > candidate->failing_since + CANDIDATE_DEAD_NS) {
        candidate->excluded_until = now + EXCLUDED_NS;
        failover_start_fencing(failover, now);
        return;
    }
    if (now > failover->since + CONFIRM_FIRST_NS) {
        failover_send_command(failover, candidate, DATABASE_COMMAND_STATUS, 0, CONFIRM_EVERY_NS,
                              now);
    }
    if (now > failover->since + ORDER_AGAIN_NS) {
        failover_set_state(failover, FAILOVER_PROMOTING, now);
        failover->actions->promote(failover->actions->user, failover, failover->candidate);
    }
}

void
failover_retry(struct failover *failover, time_ns now)
{
    if (now < failover->promotion_tried_at + ORDER_RETRY_NS ||
        now < failover->since + ORDER_RETRY_NS) {
        return;
    }
    failover->promotion_tried_at = now + ORDER_AGAIN_NS;
    if (failover->state == FAILOVER_RECORDING) {
        failover->actions->record(failover->actions->user, failover, false);
    } else {
        failover->actions->promote(failover->actions->user, failover, failover->candidate);
    }
}
