/* Failover of one group: its members, the search for a primary, its monitoring. See failover.h. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/failover_internal.h"

#include <inttypes.h>
#include <string.h>

/* A primary that a minority of the poolers can't reach is replaced after this time. */
#define MINORITY_MAX_NS (1500 * MS)

/* A stall that poolers report is confirmed if no replica advances for this time. */
#define STALL_CONFIRMED_NS (350 * MS)

/* Minimum time between two changes for missing acknowledgements. It doubles with each change: if
 * the replicas receive nothing from any primary, changes do not help. */
#define STALL_WAIT_MIN_NS (4000 * MS)
#define STALL_WAIT_MAX_NS (60000 * MS)

/* A database counts as unresponsive after this many consecutive unanswered commands. A single
 * answer may be lost. */
#define SEARCH_FAILURES 2

/* If no database leads for this time, another one is promoted. */
#define SEARCH_MAX_NS (600 * MS)

/* A primary that responds to at most one in this many poolers counts as dead. If more reach it, it
 * may be alive and serving them. */
#define REACHABLE_FEW_DIVISOR 4

/* After the replicas were resumed, writes that waited for them are no sign of a stall for this
 * time. */
#define STALLED_BY_PAUSE_NS (1000 * MS)

/* Reports older than this are not used as the current state. */
#define REPORT_FRESH_NS (400 * MS)

static const char *const state_names[] = {"searching", "watching",  "draining",  "fencing",
                                          "recording", "promoting", "confirming"};

const char *
failover_state_name(enum failover_state state)
{
    return state_names[state];
}

static void
free_member(gpointer data)
{
    struct failover_member *member = data;
    g_free(member->id);
    g_free(member);
}

struct failover *
failover_new(const char *service, const struct failover_actions *actions)
{
    struct failover *failover = g_new0(struct failover, 1);
    failover->service = g_strdup(service);
    failover->actions = actions;
    failover->members = g_ptr_array_new_with_free_func(free_member);
    failover->departed = g_ptr_array_new_with_free_func(failover_free_departed);
    failover->phase = GROUP_PHASE_UNKNOWN;
    failover->settled = true;
    failover->lost_log_wait = FAILOVER_NO_LIMIT;
    failover->members_as_of = UINT64_MAX;
    return failover;
}

void
failover_free(struct failover *failover)
{
    g_ptr_array_unref(failover->members);
    g_ptr_array_unref(failover->departed);
    g_free(failover->service);
    g_free(failover->primary);
    g_free(failover->recorded_primary);
    g_free(failover->candidate);
    g_free(failover);
}

struct failover_member *
failover_member_at(const struct failover *failover, guint index)
{
    return g_ptr_array_index(failover->members, index);
}

struct failover_member *
failover_find(const struct failover *failover, const char *id)
{
    for (guint i = 0; id != NULL && i < failover->members->len; i++) {
        if (strcmp(failover_member_at(failover, i)->id, id) == 0) {
            return failover_member_at(failover, i);
        }
    }
    return NULL;
}

bool
failover_member_has_left(const struct failover *failover, const char *id, time_ns deleted_at)
{
    const struct failover_member *member = failover_find(failover, id);
    bool may_lead =
        g_strcmp0(failover->primary, id) == 0 || g_strcmp0(failover->candidate, id) == 0;
    return member != NULL && !may_lead && member->failures > 0 &&
           member->unanswered_at >= deleted_at;
}

bool
failover_is_primary(const struct failover *failover, const struct failover_member *member)
{
    return failover->primary != NULL && strcmp(failover->primary, member->id) == 0;
}

void
failover_set_state(struct failover *failover, enum failover_state state, time_ns now)
{
    if (failover->state != state) {
        g_autofree char *epoch = g_strdup_printf("%" PRIu64, failover->epoch);
        g_autofree char *term = g_strdup_printf("%" PRIu64, failover->term);
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_SERVICE", failover->service,
                         "SW_EPOCH", epoch, "SW_TERM", term, "SW_PRIMARY",
                         failover->primary == NULL ? "" : failover->primary, "SW_CANDIDATE",
                         failover->candidate == NULL ? "" : failover->candidate, "MESSAGE",
                         "Group %s: state %s, previously %s.", failover->service,
                         state_names[state], state_names[failover->state]);
    }
    failover->state = state;
    failover->since = now;
}

void
failover_publish(struct failover *failover, enum group_phase phase)
{
    failover->phase = phase;
    failover->epoch++;
    failover->actions->publish(failover->actions->user, failover);
}

static void
send_command(struct failover *failover, struct failover_member *member,
             enum database_command command, uint64_t term, time_ns now)
{
    member->command_pending = true;
    member->command_sent_at = now;
    failover->actions->send_command(failover->actions->user, failover, member->id, command, term);
}

void
failover_send_command(struct failover *failover, struct failover_member *member,
                      enum database_command command, uint64_t term, time_ns every, time_ns now)
{
    if (!member->command_pending && now >= member->command_sent_at + every) {
        send_command(failover, member, command, term, now);
    }
}

uint64_t
failover_newest_term(const struct failover *failover, const struct database_report *report)
{
    return MAX(failover->term, MAX(report->term, report->received.term));
}

void
failover_open(struct failover *failover, struct failover_member *member, time_ns now)
{
    bool same = failover_is_primary(failover, member);
    if (!same) {
        g_free(failover->primary);
        failover->primary = g_strdup(member->id);
        failover->membership_revision++;
    }
    failover->minority_since = 0;
    failover->blocked_since = 0;
    failover->led_since = now;
    failover_set_state(failover, FAILOVER_WATCHING, now);
    g_clear_pointer(&failover->candidate, g_free);
    failover_publish(failover, GROUP_PHASE_OPEN);
}

struct failover_member *
failover_find_leader(const struct failover *failover, time_ns now)
{
    struct failover_member *leader = NULL;
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        bool leads = member->has_report && member->answered && member->report.leads &&
                     member->log_unverified_since == 0 && member->report.term >= failover->term &&
                     now < member->reported_at + REPORT_FRESH_NS;
        if (leads && (leader == NULL || member->report.term > leader->report.term)) {
            leader = member;
        }
    }
    return leader;
}

void
failover_adopt_primary(struct failover *failover, const char *database, uint64_t term, time_ns now)
{
    struct failover_member *member = failover_find(failover, database);
    failover->term = MAX(failover->term, term);
    if (member != NULL && member->log_unverified_since == 0) {
        failover_open(failover, member, now);
    }
}

/* True if the member has reported, since the primary was opened, neither to lead nor to be paused.
 */
static bool
has_reported_role(const struct failover *failover, const struct failover_member *member)
{
    return member->has_report && member->reported_at >= failover->since &&
           member->report.paused_term == 0 && !member->report.leads;
}

bool
failover_has_queries(const struct failover *failover)
{
    if (failover->state != FAILOVER_WATCHING) {
        return failover->state == FAILOVER_SEARCHING;
    }
    if (failover_has_unverified_log(failover) || failover_has_unknown_absence(failover)) {
        return true;
    }
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        if (!failover_is_primary(failover, member) && !has_reported_role(failover, member)) {
            return true;
        }
    }
    return false;
}

void
failover_answered(struct failover *failover, const char *database,
                  const struct database_report *report, time_ns now)
{
    struct failover_member *member = failover_find(failover, database);
    if (member == NULL) {
        return;
    }
    member->command_pending = false;
    member->answered = report != NULL;
    if (report == NULL) {
        member->at_capacity = false;
        member->failures++;
        member->unanswered_at = member->command_sent_at;
        if (member->failing_since == 0) {
            member->failing_since = now;
        }
        return;
    }
    failover_check_regress(failover, member, report, now);
    failover->term = failover_newest_term(failover, report);
    member->answered = true;
    member->failures = 0;
    member->failing_since = 0;
    member->at_capacity = false;
    member->has_report = true;
    member->report = *report;
    member->reported_at = now;
    member->reported_in_term = failover->term;
    failover_note_alive(failover, member, now);
    if (failover_is_primary(failover, member)) {
        failover_note_primary_log(failover, member);
    }
    if (failover->state == FAILOVER_FENCING) {
        bool paused = !report->leads && report->paused_term >= failover->fence_term;
        bool stepped_down = failover_is_primary(failover, member) && !report->leads;
        member->fenced = paused || stepped_down;
    }
}

void
failover_refused(struct failover *failover, const char *database, time_ns now)
{
    struct failover_member *member = failover_find(failover, database);
    if (member == NULL) {
        return;
    }
    failover_note_alive(failover, member, now);
    member->command_pending = false;
    member->answered = true;
    member->at_capacity = true;
    member->failures = 0;
    member->failing_since = 0;
}

static bool
has_recent_answer(const struct failover_member *member, time_ns now)
{
    return member->answered && member->has_report && now < member->reported_at + REPORT_FRESH_NS;
}

/* A change of primary that is needed and not possible is logged after this time. */
#define BLOCKED_LOG_AFTER_NS (1000 * MS)

static void
append_id(GString *list, const char *id)
{
    g_string_append_printf(list, "%s%s", list->len == 0 ? "" : " ", id);
}

/* Otherwise an operator would see that the group has no primary, and no reaction. */
void
failover_log_blocked(struct failover *failover, time_ns now)
{
    if (failover->blocked_since == 0) {
        failover->blocked_since = now;
        failover->blocked_logged = false;
    }
    if (failover->blocked_logged || now < failover->blocked_since + BLOCKED_LOG_AFTER_NS) {
        return;
    }
    failover->blocked_logged = true;
    g_autoptr(GString) unanswered = g_string_new(NULL);
    g_autoptr(GString) departed = g_string_new(NULL);
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        if (!failover_is_primary(failover, member) && !has_recent_answer(member, now)) {
            append_id(unanswered, member->id);
        }
    }
    for (guint i = 0; i < failover->departed->len; i++) {
        const struct departed_member *member = g_ptr_array_index(failover->departed, i);
        append_id(departed, member->id);
    }
    const char *primary = failover->primary == NULL ? "" : failover->primary;
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_PRIMARY", primary, "SW_SILENT", unanswered->str, "SW_DEPARTED",
                     departed->str, "MESSAGE",
                     "Group %s: its primary %s can't be replaced yet; members %s; no answer from: "
                     "%s; departed with commits that no replica is known to hold: %s.",
                     failover->service, primary[0] == '\0' ? "(not known)" : primary,
                     failover->settled ? "known" : "may be incomplete",
                     unanswered->len == 0 ? "none" : unanswered->str,
                     departed->len == 0 ? "none" : departed->str);
}

/* True if the member has no capacity for a status query, and its row does not say that it leads. */
static bool
is_replica_at_capacity(const struct failover_member *member)
{
    return member->at_capacity && !member->reports_leading;
}

static bool
all_reported(const struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool reported =
            member->has_report && member->answered && now < member->reported_at + SEARCH_EVERY_NS;
        bool unresponsive = member->failures >= SEARCH_FAILURES;
        if (!reported && !unresponsive && !is_replica_at_capacity(member)) {
            return false;
        }
    }
    return failover->members->len > 0;
}

/* The most advanced log that a replica has reported. */
static struct log_position
highest_reported(const struct failover *failover)
{
    struct log_position highest = {0};
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool reported = member->has_report && !failover_is_primary(failover, member);
        if (reported && log_position_compare(member->report.received, highest) > 0) {
            highest = member->report.received;
        }
    }
    return highest;
}

static bool
enough_replicas_answer(const struct failover *failover, time_ns now)
{
    uint32_t answering = 0;
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        answering +=
            member->answered && !member->at_capacity && !failover_is_primary(failover, member);
    }
    return answering >= failover_pauses_needed(failover) &&
           failover_covers_departed(failover, highest_reported(failover), now);
}

static void
search(struct failover *failover, time_ns now)
{
    if (failover->queries_deferred) {
        failover->since = now;
        return;
    }
    for (guint i = 0; i < failover->members->len; i++) {
        failover_send_command(failover, failover_member_at(failover, i), DATABASE_COMMAND_STATUS, 0,
                              SEARCH_EVERY_NS, now);
    }
    if (all_reported(failover, now)) {
        failover_verify_logs(failover);
    }
    struct failover_member *leader = failover_find_leader(failover, now);
    if (leader != NULL && all_reported(failover, now)) {
        failover_open(failover, leader, now);
        return;
    }
    if (leader != NULL || !all_reported(failover, now) || now <= failover->since + SEARCH_MAX_NS) {
        return;
    }
    if (!enough_replicas_answer(failover, now)) {
        failover_log_blocked(failover, now);
        return;
    }
    failover->former_may_be_alive = true;
    failover_begin_change(failover, false, "no database leads", now);
}

struct failover_member *
failover_primary(const struct failover *failover)
{
    return failover_find(failover, failover->primary);
}

const char *
failover_last_primary(const struct failover *failover)
{
    return failover->primary != NULL ? failover->primary : failover->recorded_primary;
}

struct failover_member *
failover_former_primary(const struct failover *failover)
{
    return failover_find(failover, failover_last_primary(failover));
}

/* True if each member but the primary has reported since the primary was opened that it does not
 * lead, or is paused. */
static bool
no_other_leader(const struct failover *failover)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool reported = member->has_report && member->reported_at >= failover->since;
        bool settled = reported && !member->report.leads;
        bool paused = member->has_report && member->report.paused_term != 0;
        if (!failover_is_primary(failover, member) && !settled && !paused) {
            return false;
        }
    }
    return true;
}

/* True if no old primary can get commits acknowledged by a resumed replica. */
static bool
may_resume(const struct failover *failover, time_ns now)
{
    return now >= failover->resume_at || no_other_leader(failover);
}

/* Members may have been left paused by an earlier coordinator or in a network partition. Each
 * member is queried once after the primary was opened, however late it can be reached. */
void
failover_reconcile_members(struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        bool reported = member->has_report && member->reported_at >= failover->since;
        if (failover_is_primary(failover, member)) {
            continue;
        }
        bool paused =
            member->has_report && member->report.paused_term != 0 && may_resume(failover, now);
        bool replaced = reported && member->report.leads && member->report.term < failover->term;
        if (replaced) {
            failover_send_command(failover, member, DATABASE_COMMAND_STEP_DOWN, failover->term,
                                  COMMAND_EVERY_NS, now);
        } else if (paused) {
            failover_send_command(failover, member, DATABASE_COMMAND_RESUME, 0, COMMAND_EVERY_NS,
                                  now);
        } else if (!reported) {
            failover_send_command(failover, member, DATABASE_COMMAND_STATUS, 0, SEARCH_EVERY_NS,
                                  now);
        }
    }
}

static bool
has_ready_replica(const struct failover *failover)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        if (member->takes_work && !failover_is_primary(failover, member)) {
            return true;
        }
    }
    return false;
}

/* Queries the primary and the replicas: a change starts only if enough of them respond. */
static void
query_members(struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        failover_send_command(failover, failover_member_at(failover, i), DATABASE_COMMAND_STATUS, 0,
                              COMMAND_EVERY_NS, now);
    }
}

static bool
replicas_answer(const struct failover *failover, time_ns now)
{
    uint32_t answering = 0;
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        answering += !failover_is_primary(failover, member) && has_recent_answer(member, now);
    }
    return answering >= failover_pauses_needed(failover) &&
           failover_covers_departed(failover, highest_reported(failover), now);
}

bool
failover_follow_renamed_primary(struct failover *failover, time_ns now)
{
    struct failover_member *leader = failover_find_leader(failover, now);
    const struct failover_member *primary = failover_primary(failover);
    bool may_answer = primary != NULL && primary->failures == 0;
    if (leader == NULL || leader == primary || may_answer) {
        return false;
    }
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_PRIMARY", failover->primary == NULL ? "" : failover->primary,
                     "SW_DATABASE", leader->id, "MESSAGE",
                     "Group %s: %s leads in the term of the primary, which does not answer.",
                     failover->service, leader->id);
    failover_open(failover, leader, now);
    return true;
}

static bool
check_primary_leaving(struct failover *failover, time_ns now)
{
    const struct failover_member *primary = failover_primary(failover);
    if (primary == NULL) {
        failover_begin_change(failover, false, "the primary has left the group", now);
        return true;
    }
    if (primary->takes_work || !has_ready_replica(failover)) {
        return false;
    }
    if (primary->absent_since != 0) {
        query_members(failover, now);
        if (!has_recent_answer(primary, now) && !replicas_answer(failover, now)) {
            failover_log_blocked(failover, now);
            return false;
        }
    }
    failover_begin_change(failover, true, "the primary is draining or leaving", now);
    return true;
}

/* True if no replica has advanced for a while, and none has all that the primary holds. A lost
 * answer to a write looks like a stall to the pooler that waits for it, but then the replicas
 * advance. */
static bool
replication_is_stalled(struct failover *failover, const struct failover_member *primary,
                       time_ns now)
{
    struct log_position best = {0};
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool reported = member->has_report && member != primary;
        if (reported && log_position_compare(member->report.received, best) > 0) {
            best = member->report.received;
        }
    }
    bool moved = log_position_compare(best, failover->stall_position) != 0;
    if (moved || log_position_covers(best, primary->report.received)) {
        failover->stall_position = best;
        failover->stall_since = now;
    }
    return now >= failover->stall_since + STALL_CONFIRMED_NS;
}

static void
check_primary_faults(struct failover *failover, const struct failover_faults *faults, time_ns now)
{
    struct failover_member *primary = failover_primary(failover);
    bool faulty = faults->unreachable + faults->stalled + faults->refusing > 0;
    if (!faulty) {
        failover->minority_since = 0;
        failover->stall_since = now;
        failover->blocked_since = 0;
        return;
    }
    query_members(failover, now);
    bool current =
        primary->has_report && primary->answered && now < primary->reported_at + REPORT_FRESH_NS;
    if (current && !primary->report.leads) {
        failover_set_state(failover, FAILOVER_SEARCHING, now);
        failover_publish(failover, GROUP_PHASE_CLOSED);
        return;
    }
    if (!replicas_answer(failover, now)) {
        failover_log_blocked(failover, now);
        return;
    }
    failover->blocked_since = 0;
    /* Poolers without work for the primary report nothing. Two unanswered commands of this
     * coordinator therefore count as much as reports of half of the poolers. */
    bool unreachable =
        !primary->answered && faults->unreachable > 0 &&
        (faults->unreachable * 2 >= faults->poolers || primary->failures >= SEARCH_FAILURES);
    if (unreachable) {
        /* If few poolers report it, it may be alive and serving the others. */
        failover->former_may_be_alive = faults->unreachable * REACHABLE_FEW_DIVISOR <
                                        faults->poolers * (REACHABLE_FEW_DIVISOR - 1);
        failover_begin_change(failover, false, "the primary does not answer", now);
        return;
    }
    bool stalled = faults->stalled > 0 && current && replication_is_stalled(failover, primary, now);
    if (stalled &&
        now >= MAX(failover->stall_again_at, failover->resume_at + STALLED_BY_PAUSE_NS)) {
        failover->stall_wait =
            MIN(MAX(failover->stall_wait * 2, STALL_WAIT_MIN_NS), STALL_WAIT_MAX_NS);
        failover->stall_again_at = now + failover->stall_wait;
        failover_begin_change(failover, false, "the primary's writes are not acknowledged", now);
        return;
    }
    if (failover->minority_since == 0) {
        failover->minority_since = now;
    }
    if (faults->unreachable > 0 && now > failover->minority_since + MINORITY_MAX_NS) {
        failover_begin_change(failover, true, "some poolers can't reach the primary", now);
    }
}

static void
watch(struct failover *failover, const struct failover_faults *faults, time_ns now)
{
    failover_verify_logs(failover);
    failover_count_replicas(failover);
    if (!failover->queries_deferred) {
        failover_reconcile_members(failover, now);
        failover_query_unverified(failover, now);
        failover_query_absence(failover, now);
    }
    if (!failover_follow_renamed_primary(failover, now) && !check_primary_leaving(failover, now)) {
        check_primary_faults(failover, faults, now);
    }
}

void
failover_tick(struct failover *failover, const struct failover_faults *faults, time_ns now)
{
    failover_release_departed(failover);
    switch (failover->state) {
    case FAILOVER_SEARCHING:
        search(failover, now);
        break;
    case FAILOVER_WATCHING:
        watch(failover, faults, now);
        break;
    case FAILOVER_DRAINING:
        failover_drain(failover, now);
        break;
    case FAILOVER_FENCING:
        failover_fence(failover, now);
        break;
    case FAILOVER_RECORDING:
    case FAILOVER_PROMOTING:
        failover_retry(failover, now);
        break;
    case FAILOVER_CONFIRMING:
        failover_confirm(failover, now);
        break;
    }
}
