/* Leadership checks: proof, without the coordinator, that a database was the primary at some time.
 * They allow reads at the primary to continue while the coordinator or the store is unreachable,
 * and no read permits are issued.
 *
 * Another database is promoted only after the primary has stepped down, or after so many replicas
 * were paused that the primary can't acknowledge any commit. A check queries the status of the
 * primary and its replicas after a time T. If the primary reports that it is the primary, and as
 * many replicas as a commit needs report that they follow it in its term and are not paused, then
 * no other database was the primary before T, and every commit that was acknowledged before T is in
 * the primary's log. */
#define G_LOG_DOMAIN "leadership"
#include "pooler/worker/worker_internal.h"

/* Time-out of a check. */
#define CHECK_MAX_NS (300 * NANOSECONDS_PER_MILLISECOND)

/* Minimum time between two checks, and after a failed one. Status queries take slots of the
 * databases. */
#define CHECK_AGAIN_NS  (20 * NANOSECONDS_PER_MILLISECOND)
#define CHECK_FAILED_NS (200 * NANOSECONDS_PER_MILLISECOND)

/* Maximum time for which a check is deferred until connections to replicas are open. Several times
 * the duration of an opening (12 ms plus network latency); a replica that does not answer must not
 * delay the check further. */
#define DEFER_MAX_NS (80 * NANOSECONDS_PER_MILLISECOND)

void
leadership_note_proven(struct group *group, time_ns at)
{
    group->leadership_proven_at = MAX(group->leadership_proven_at, at);
}

/* True if the answers prove that the primary led when the check was started. */
static bool
is_proven(const struct group *group)
{
    const struct leadership_check *check = &group->check;
    uint64_t term = check->primary_term;
    return check->primary_leads && term >= group->term && check->newest_term <= term &&
           check->replicas_term == term &&
           check->replicas_following >= MAX(group->sync_replicas, 1);
}

static void
finish(struct group *group)
{
    struct leadership_check *check = &group->check;
    check->running = false;
    if (!is_proven(group)) {
        group->check_again_at = backend_now() + CHECK_FAILED_NS;
        group->checks_failed++;
        return;
    }
    group->checks_failed = 0;
    leadership_note_proven(group, check->started);
    freshness_add(&group->freshness, check->started, check->position);
    g_ptr_array_add(group->worker->groups_to_run, group);
}

/* True if the database has an idle connection for a status query; otherwise opens one if allowed.
 */
static bool
can_query(struct database *database, time_ns now)
{
    if (database_any_idle(database) != NULL) {
        return true;
    }
    if (database_may_open(database, now)) {
        server_open(database, access_public_tenant(), METRICS_OPENED_PROOF);
    }
    return false;
}

/* True if the check should wait for connections that are being opened, because without them too few
 * replicas could answer and the check would fail. If each connection belongs to a tenant, few
 * groups have an idle connection to a replica. Without the wait, each first read would take 270 ms
 * instead of 40 ms, because of a failed check and CHECK_FAILED_NS after it. */
static bool
waits_for_connections(struct group *group, time_ns now)
{
    uint32_t needed = MAX(group->sync_replicas, 1);
    uint32_t ready = 0;
    uint32_t opening = 0;
    bool primary_ready = can_query(group->primary, now);
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        if (database == group->primary || !database->takes_work) {
            continue;
        }
        bool replica_ready = can_query(database, now);
        ready += replica_ready;
        opening += !replica_ready && database_is_opening(database);
    }
    if (primary_ready && (ready >= needed || ready + opening < needed)) {
        group->check_deferred_since = 0;
        return false;
    }
    if (group->check_deferred_since == 0) {
        group->check_deferred_since = now;
    }
    return !primary_ready || now < group->check_deferred_since + DEFER_MAX_NS;
}

static bool
query(struct database *database)
{
    struct server *server = database_any_idle(database);
    if (server == NULL) {
        return false;
    }
    database->group->check.pending++;
    server_query_status(server);
    return true;
}

void
leadership_check_start(struct group *group)
{
    struct leadership_check *check = &group->check;
    time_ns now = backend_now();
    bool in_progress = check->running && now < check->started + CHECK_MAX_NS;
    if (in_progress || group->primary == NULL || now < group->check_again_at) {
        return;
    }
    if (waits_for_connections(group, now)) {
        return; /* the group's queue is run again once a connection has opened */
    }
    metrics_count(&group->worker->metrics, METRICS_PERMIT_MISSING);
    group->check_again_at = now + CHECK_AGAIN_NS;
    /* `pending` counts one more until all queries are sent, so that a failure in between does not
     * finish the check. */
    *check = (struct leadership_check){.running = true, .started = now, .pending = 1};
    if (!query(group->primary)) {
        check->running = false;
        return;
    }
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        if (database != group->primary && database->takes_work) {
            query(database);
        }
    }
    check->pending--;
    if (check->pending == 0 && check->running) {
        finish(group);
    }
}

/* Counts the replicas that follow in the newest term that any of them reports. */
static void
apply_replica(struct leadership_check *check, const struct database_report *report)
{
    uint64_t term = MAX(report->received.term, MAX(report->term, report->paused_term));
    check->newest_term = MAX(check->newest_term, term);
    bool follows = !report->leads && report->paused_term == 0;
    if (!follows || report->term < check->replicas_term) {
        return;
    }
    if (report->term > check->replicas_term) {
        check->replicas_term = report->term;
        check->replicas_following = 0;
    }
    check->replicas_following++;
}

static void
apply_report(struct group *group, const struct database *database,
             const struct database_report *report)
{
    struct leadership_check *check = &group->check;
    if (database != group->primary) {
        apply_replica(check, report);
        return;
    }
    check->primary_leads = report->leads;
    check->primary_term = report->term;
    check->position = report->received;
}

void
leadership_check_answer(struct group *group, const struct database *database,
                        const struct database_report *report)
{
    struct leadership_check *check = &group->check;
    if (!check->running || check->pending == 0) {
        return;
    }
    check->pending--;
    if (report != NULL) {
        apply_report(group, database, report);
    }
    if (check->pending == 0) {
        finish(group);
    }
}
