/* Refusal of statements that would wait in vain: a statement that would miss its objective, or
 * needs a primary that is unreachable from this pooler. It is refused at once, so that the
 * client can retry at another pooler, and with the time after which a retry at this one makes
 * sense. */
#define G_LOG_DOMAIN "router"
#include "pooler/routing/router_internal.h"

/* Number of statements of this worker that the database runs at once. */
static uint32_t
capacity_of(const struct database *database)
{
    return MIN(database->servers->len, (uint32_t)database->window.size);
}

/* The same for the primary; 0 if statements may be waiting for it for another reason than load,
 * such as a fault or a missing permit. */
static uint32_t
capacity_of_primary(const struct group *group, time_ns now)
{
    const struct database *primary = group->primary;
    bool usable = primary != NULL && group->phase == GROUP_PHASE_OPEN &&
                  database_fault(primary) == DATABASE_FAULT_NONE && router_has_permit(group, now);
    return usable ? capacity_of(primary) : 0;
}

/* True if the database may run a statement that any fresh enough database may run. */
static bool
takes_reads(const struct database *database, const struct need *need, time_ns now)
{
    const struct group *group = database->group;
    bool closed = database == group->primary && group->phase != GROUP_PHASE_OPEN;
    return database->takes_work && !closed && database_fault(database) <= DATABASE_FAULT_NONE &&
           !choice_is_behind(database, need, now);
}

/* Finds the line in which a statement would wait, and the inputs of the forecast. Times are
 * averages over the databases that may run it, weighted by capacity. The caller sets `out->ahead`.
 */
static queue_line_t
find_forecast(const struct session *session, time_ns now, wait_forecast_t *out)
{
    const struct group *group = session->route.group;
    const struct database *primary = group->primary;
    struct need need;
    uint32_t capacity = 0;
    double sum_ms = 0;
    double own_ms = 0;
    bool commits = session->request.statement.kind == STATEMENT_COMMIT;
    unsigned kind =
        statement_time_kind((unsigned)session->route.kind, session->request.writes, commits);
    choice_find_need(session, &need);
    for (guint i = 0; !need.primary && i < group->databases->len; i++) {
        const struct database *database = g_ptr_array_index(group->databases, i);
        if (database != primary && takes_reads(database, &need, now)) {
            capacity += capacity_of(database);
            sum_ms += capacity_of(database) * database->latency_ms;
            own_ms += capacity_of(database) *
                      recent_times_ms(&database->recent, kind, database->latency_ms);
        }
    }
    bool replicas = capacity > 0;
    uint32_t primary_capacity = capacity_of_primary(group, now);
    if (primary != NULL) {
        capacity = replicas || primary_capacity > 0 ? capacity + primary_capacity : 0;
        sum_ms += primary_capacity * primary->latency_ms;
        own_ms += primary_capacity * recent_times_ms(&primary->recent, kind, primary->latency_ms);
    }
    out->capacity = capacity;
    out->run_ms = capacity == 0 ? 0 : own_ms / capacity;
    out->each_ms = capacity == 0 ? 0 : sum_ms / capacity;
    out->waited_ms = (double)(now - session->request.arrived) / (double)NANOSECONDS_PER_MILLISECOND;
    out->objective_ms = session->route.target_ms;
    return replicas ? QUEUE_LINE_ANY : QUEUE_LINE_PRIMARY;
}

/* Number of statements of its line ahead of this one. */
static uint32_t
count_ahead(const struct session *session)
{
    uint32_t ahead = 0;
    const GList *link = session->route.group->queue.head;
    while (link != NULL && !router_is_before(session, link->data)) {
        const struct session *other = link->data;
        ahead += other->request.line == session->request.line;
        link = link->next;
    }
    return ahead;
}

/* True if the statement would be answered too late to meet its objective. */
static bool
would_be_late(struct session *session)
{
    wait_forecast_t forecast;
    session->request.line = find_forecast(session, backend_now(), &forecast);
    forecast.ahead = count_ahead(session);
    return queue_rate_is_late(&session->route.group->queue_rate[session->request.line], &forecast);
}

/* Number of refusals in the shortage by priority, in the form "0:3 2:40". */
static char *
refused_text(const shortage_t *shortage)
{
    GString *text = g_string_new(NULL);
    for (unsigned priority = 0; priority < SHORTAGE_PRIORITIES; priority++) {
        if (shortage->refused[priority] > 0) {
            g_string_append_printf(text, "%s%u:%u", text->len > 0 ? " " : "", priority,
                                   shortage->refused[priority]);
        }
    }
    return g_string_free(text, FALSE);
}

static const char *const line_names[QUEUE_LINE_COUNT] = {
    [QUEUE_LINE_PRIMARY] = "the primary",
    [QUEUE_LINE_ANY] = "any database",
};

/* Logs the start or the end of a shortage; shortages last for seconds. */
static void
log_shortage(const struct group *group, queue_line_t line, bool starts)
{
    g_autofree char *waiting = g_strdup_printf("%u", group->waiting[line]);
    g_autofree char *refused = refused_text(&group->shortage[line]);
    g_autofree char *interval = g_strdup_printf("%.1f", group->queue_rate[line].interval_ms);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", group->shared->service,
                     "SW_ROLE", line == QUEUE_LINE_PRIMARY ? "primary" : "any", "SW_QUEUE", waiting,
                     "SW_REFUSED", refused, "SW_INTERVAL_MS", interval, "MESSAGE",
                     starts
                         ? "Group %s is short of capacity at %s: statements that would be late are "
                           "refused (by priority: %s)."
                         : "Group %s has capacity at %s again; refused meanwhile, by priority: %s.",
                     group->shared->service, line_names[line], refused);
}

static void
note_shortage(const struct session *session, time_ns now)
{
    struct group *group = session->route.group;
    queue_line_t line = session->request.line;
    if (shortage_refused(&group->shortage[line], session->route.priority, now)) {
        log_shortage(group, line, true);
    }
}

bool
router_check_shortage(struct group *group, time_ns now)
{
    bool any = false;
    for (queue_line_t line = 0; line < QUEUE_LINE_COUNT; line++) {
        if (shortage_over(&group->shortage[line], now)) {
            log_shortage(group, line, false);
        }
        any = any || group->shortage[line].since != 0;
    }
    return any;
}

/* Number of statements at the end of the queue that are checked again when one is queued ahead of
 * them, which makes one or two of them late. */
#define RECHECKED_MAX 4

void
refusal_recheck_later(const struct session *session)
{
    const struct group *group = session->route.group;
    const GList *link = group->queue.tail;
    time_ns now = backend_now();
    for (unsigned i = 0; i < RECHECKED_MAX && link != NULL && link->data != session; i++) {
        struct session *later = link->data;
        wait_forecast_t forecast;
        bool same = later->request.line == session->request.line;
        if (same && later->request.refusal == NULL &&
            find_forecast(later, now, &forecast) == later->request.line) {
            forecast.ahead = count_ahead(later);
            if (queue_rate_is_late(&group->queue_rate[later->request.line], &forecast)) {
                session_refuse_queued(later, METRICS_REFUSAL_DISPLACED);
                note_shortage(later, now);
            }
        }
        link = link->prev;
    }
}

/* After this time without a usable primary, it is unreachable from this pooler, or the change of
 * primary is delayed: most changes take less than 0.6 s from the first symptom on, 0.3 s of which
 * are the promotion. */
#define PRIMARY_LOST_NS (700 * NANOSECONDS_PER_MILLISECOND)

/* After this number of consecutive failed leadership checks, the primary's leadership can't be
 * proven from this pooler. */
#define PROOF_LOST_CHECKS 2

/* True if the primary can't serve the statement now and could not for a while. */
static bool
primary_is_lost(const struct session *session, const struct need *need, time_ns now)
{
    const struct group *group = session->route.group;
    if (group->no_primary_since != 0) {
        return now > group->no_primary_since + PRIMARY_LOST_NS;
    }
    enum database_fault fault = database_fault(group->primary);
    bool affected = fault != DATABASE_FAULT_NONE &&
                    (fault != DATABASE_FAULT_STALLED || session->request.writes);
    if (affected) {
        return now > atomic_load(&group->primary->shared->fault_since) + PRIMARY_LOST_NS;
    }
    return need->permit && !need->writes && !router_has_permit(group, now) &&
           group->checks_failed >= PROOF_LOST_CHECKS && now < group->check_again_at;
}

/* True if only the primary can serve the statement, and it is unreachable from this pooler. Another
 * pooler may reach it, so the client gets an answer at once that nothing has run, and can retry
 * there. */
static bool
is_unservable(const struct session *session)
{
    struct need need;
    if (router_forwards(session->route.group)) {
        return false;
    }
    choice_find_need(session, &need);
    return need.primary && primary_is_lost(session, &need, backend_now());
}

bool
refusal_find(struct session *session, enum metrics_refusal *why)
{
    bool deferred = backend_now() < session->request.not_before;
    if (would_be_late(session) && !deferred) {
        *why = METRICS_REFUSAL_LATE;
        note_shortage(session, backend_now());
        return true;
    }
    *why = METRICS_REFUSAL_PRIMARY_LOST;
    return is_unservable(session);
}

/* Expected remaining time of a change of primary that started at `since`. Its expected length is
 * PRIMARY_LOST_NS; one that has lasted longer is expected to take as long again. */
static time_ns
change_remaining(time_ns since, time_ns now)
{
    return now < since + PRIMARY_LOST_NS ? since + PRIMARY_LOST_NS - now : PRIMARY_LOST_NS;
}

time_ns
router_retry_after(struct session *session, time_ns now)
{
    const struct group *group = session->route.group;
    struct need need;
    wait_forecast_t forecast;
    if (router_forwards(group)) {
        return 0; /* only its owners can tell */
    }
    choice_find_need(session, &need);
    if (need.primary && group->no_primary_since != 0) {
        return change_remaining(group->no_primary_since, now);
    }
    if (need.primary && database_fault(group->primary) != DATABASE_FAULT_NONE) {
        return change_remaining(atomic_load(&group->primary->shared->fault_since), now);
    }
    session->request.line = find_forecast(session, now, &forecast);
    forecast.ahead = count_ahead(session);
    forecast.waited_ms = 0; /* the retry is a new request, which has not waited yet */
    return (time_ns)(queue_rate_late_by_ms(&group->queue_rate[session->request.line], &forecast) *
                     (double)NANOSECONDS_PER_MILLISECOND);
}
