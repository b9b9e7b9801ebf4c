/* Proof, without the coordinator, that a primary led at a moment: where the coordinator or the
 * store is lost, reads at the primary go on by it.
 *
 * Another database is promoted only after the primary has stepped down, or after so many replicas
 * were paused that it could acknowledge nothing. So if the primary, asked after some moment, leads,
 * and as many replicas as a commit needs, asked after that moment, follow it in its term and are
 * not paused, then nobody else led before that moment, and every commit that was acknowledged
 * before it stands in the primary's log. */
#define G_LOG_DOMAIN "leadership"
#include "pooler/worker/worker_internal.h"

/* A check that is not over by then is given up. */
#define CHECK_MAX_NS (300 * NANOSECONDS_PER_MILLISECOND)

/* Statuses cost the databases slots: least time between two checks, and after one that failed. */
#define CHECK_AGAIN_NS  (20 * NANOSECONDS_PER_MILLISECOND)
#define CHECK_FAILED_NS (200 * NANOSECONDS_PER_MILLISECOND)

/* Openings of connections to replicas are waited for this long, several times what one takes (12 ms
 * and the network): a replica that does not answer must not hold up the check for good. */
#define HELD_MAX_NS (80 * NANOSECONDS_PER_MILLISECOND)

void
leadership_note_proven(struct group *group, time_ns at)
{
    group->leadership_proven_at = MAX(group->leadership_proven_at, at);
}

/* True if the answers prove that the primary led when the check began. */
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

/* True if the database can be asked now; else a connection is opened to it, where that may be. */
static bool
can_ask(struct database *database, time_ns now)
{
    if (database_any_idle(database) != NULL) {
        return true;
    }
    if (database_may_open(database, now)) {
        server_open(database, access_public_tenant(), METRICS_OPENED_PROOF);
    }
    return false;
}

/* True if the check should wait for connections that are being opened, as without them too few
 * replicas could answer and it would fail. Where each connection is a tenant's, few groups have an
 * idle one to a replica: each first read would wait for a failed check, CHECK_FAILED_NS, 270 ms in
 * all in place of 40. */
static bool
waits_for_connections(struct group *group, time_ns now)
{
    uint32_t needed = MAX(group->sync_replicas, 1);
    uint32_t ready = 0;
    uint32_t coming = 0;
    bool primary_ready = can_ask(group->primary, now);
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        if (database == group->primary || !database->takes_work) {
            continue;
        }
        bool can = can_ask(database, now);
        ready += can;
        coming += !can && database_is_opening(database);
    }
    if (primary_ready && (ready >= needed || ready + coming < needed)) {
        group->check_deferred_since = 0;
        return false;
    }
    if (group->check_deferred_since == 0) {
        group->check_deferred_since = now;
    }
    return !primary_ready || now < group->check_deferred_since + HELD_MAX_NS;
}

static bool
ask(struct database *database)
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
    bool under_way = check->running && now < check->started + CHECK_MAX_NS;
    if (under_way || group->primary == NULL || now < group->check_again_at) {
        return;
    }
    if (waits_for_connections(group, now)) {
        return; /* a connection that has come runs the group again */
    }
    metrics_count(&group->worker->metrics, METRICS_PERMIT_MISSING);
    group->check_again_at = now + CHECK_AGAIN_NS;
    /* One more is awaited until all are asked, so that an answer meanwhile does not end it. */
    *check = (struct leadership_check){.running = true, .started = now, .pending = 1};
    if (!ask(group->primary)) {
        check->running = false;
        return;
    }
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        if (database != group->primary && database->takes_work) {
            ask(database);
        }
    }
    check->pending--;
    if (check->pending == 0 && check->running) {
        finish(group);
    }
}

/* Replicas count in the newest term that any of them tells. */
static void
take_replica(struct leadership_check *check, const struct database_report *report)
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
take_report(struct group *group, const struct database *database,
            const struct database_report *report)
{
    struct leadership_check *check = &group->check;
    if (database != group->primary) {
        take_replica(check, report);
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
        take_report(group, database, report);
    }
    if (check->pending == 0) {
        finish(group);
    }
}
