/* Why a statement had better not wait: it would be late, or only a primary can serve it that is out
 * of reach. Refused at once, its client may ask elsewhere, and knows when to come back. */
#define G_LOG_DOMAIN "router"
#include "pooler/routing/router_internal.h"

/* Statements that the database runs at once from here. */
static uint32_t
room_of(const struct database *database)
{
    return MIN(database->servers->len, (uint32_t)database->window.size);
}

/* The same of the primary; 0 while something else than load, as a fault or a missing permit, may
 * hold up the statements that wait for it. */
static uint32_t
room_of_primary(const struct group *group, time_ns now)
{
    const struct database *primary = group->primary;
    bool led = primary != NULL && group->phase == GROUP_PHASE_OPEN &&
               database_fault(primary) == DATABASE_FAULT_NONE && router_has_permit(group, now);
    return led ? room_of(primary) : 0;
}

/* True if the database may run a statement that any database may run. */
static bool
takes_reads(const struct database *database, const struct need *need, time_ns now)
{
    const struct group *group = database->group;
    bool closed = database == group->primary && group->phase != GROUP_PHASE_OPEN;
    return database->takes_work && !closed && database_fault(database) <= DATABASE_FAULT_NONE &&
           !choice_is_behind(database, need, now);
}

/* Which line a statement would wait in, and what is known of its databases. Times are averages over
 * the databases that may run it, weighted by their room. `out->ahead` is left to the caller. */
static queue_line_t
find_prospect(const struct session *session, time_ns now, wait_forecast_t *out)
{
    const struct group *group = session->route.group;
    const struct database *primary = group->primary;
    struct need need;
    uint32_t room = 0;
    double sum_ms = 0;
    double own_ms = 0;
    bool commits = session->request.statement.kind == STATEMENT_COMMIT;
    unsigned kind =
        statement_time_kind((unsigned)session->route.kind, session->request.writes, commits);
    choice_find_need(session, &need);
    for (guint i = 0; !need.primary && i < group->databases->len; i++) {
        const struct database *database = g_ptr_array_index(group->databases, i);
        if (database != primary && takes_reads(database, &need, now)) {
            room += room_of(database);
            sum_ms += room_of(database) * database->latency_ms;
            own_ms +=
                room_of(database) * recent_times_ms(&database->recent, kind, database->latency_ms);
        }
    }
    bool any = room > 0;
    uint32_t here = room_of_primary(group, now);
    if (primary != NULL) {
        room = any || here > 0 ? room + here : 0;
        sum_ms += here * primary->latency_ms;
        own_ms += here * recent_times_ms(&primary->recent, kind, primary->latency_ms);
    }
    out->room = room;
    out->run_ms = room == 0 ? 0 : own_ms / room;
    out->each_ms = room == 0 ? 0 : sum_ms / room;
    out->waited_ms = (double)(now - session->request.arrived) / (double)NANOSECONDS_PER_MILLISECOND;
    out->objective_ms = session->route.target_ms;
    return any ? QUEUE_LINE_ANY : QUEUE_LINE_PRIMARY;
}

/* How many statements in its line go before this one. */
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

/* True if the statement would be answered too late. It is refused at once then, so that the client
 * may try again, and those before it are in time. */
static bool
would_be_late(struct session *session)
{
    wait_forecast_t prospect;
    session->request.line = find_prospect(session, backend_now(), &prospect);
    prospect.ahead = count_ahead(session);
    return queue_rate_is_late(&session->route.group->queue_rate[session->request.line], &prospect);
}

/* How many were refused since the shortage began, by priority, as "0:3 2:40". */
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

/* Two lines for each shortage, which lasts for seconds. */
static void
log_shortage(const struct group *group, queue_line_t line, bool short_of)
{
    g_autofree char *waiting = g_strdup_printf("%u", group->waiting[line]);
    g_autofree char *refused = refused_text(&group->shortage[line]);
    g_autofree char *interval = g_strdup_printf("%.1f", group->queue_rate[line].interval_ms);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", group->shared->service,
                     "SW_ROLE", line == QUEUE_LINE_PRIMARY ? "primary" : "any", "SW_QUEUE", waiting,
                     "SW_REFUSED", refused, "SW_INTERVAL_MS", interval, "MESSAGE",
                     short_of
                         ? "Group %s is short of room at %s: statements that would be late are "
                           "refused (by priority: %s)."
                         : "Group %s has room at %s again; refused meanwhile, by priority: %s.",
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

/* Statements at the queue's end that are looked at again when a more urgent one comes, which makes
 * one or two of them late. */
#define RECHECKED_MAX 4

void
refusal_recheck_later(const struct session *session)
{
    const struct group *group = session->route.group;
    const GList *link = group->queue.tail;
    time_ns now = backend_now();
    for (unsigned i = 0; i < RECHECKED_MAX && link != NULL && link->data != session; i++) {
        struct session *later = link->data;
        wait_forecast_t prospect;
        bool same = later->request.line == session->request.line;
        if (same && later->request.refusal == NULL &&
            find_prospect(later, now, &prospect) == later->request.line) {
            prospect.ahead = count_ahead(later);
            if (queue_rate_is_late(&group->queue_rate[later->request.line], &prospect)) {
                session_end_wait(later, METRICS_REFUSAL_URGENT);
                note_shortage(later, now);
            }
        }
        link = link->prev;
    }
}

/* A primary that is out of reach for so long is out of this pooler's reach, or its group's change
 * is held up: most changes are over within 0.6 s of the first sign, 0.3 s of these the promotion.
 */
#define PRIMARY_LOST_NS (700 * NANOSECONDS_PER_MILLISECOND)

/* So many checks of leadership that fail in a row show that there is no proof to be had here. */
#define PROOF_LOST_CHECKS 2

/* True if the primary can't serve the statement now, nor has for a while. */
static bool
primary_is_lost(const struct session *session, const struct need *need, time_ns now)
{
    const struct group *group = session->route.group;
    if (group->no_primary_since != 0) {
        return now > group->no_primary_since + PRIMARY_LOST_NS;
    }
    enum database_fault fault = database_fault(group->primary);
    bool concerns = fault != DATABASE_FAULT_NONE &&
                    (fault != DATABASE_FAULT_STALLED || session->request.writes);
    if (concerns) {
        return now > atomic_load(&group->primary->shared->fault_since) + PRIMARY_LOST_NS;
    }
    return need->permit && !need->writes && !router_has_permit(group, now) &&
           group->checks_failed >= PROOF_LOST_CHECKS && now < group->check_again_at;
}

/* True if only a primary can serve the statement, and it is lost to this pooler. Another pooler may
 * reach it: the client learns at once that nothing has run, and asks there. */
static bool
is_hopeless(const struct session *session)
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
    bool held = backend_now() < session->request.not_before;
    if (would_be_late(session) && !held) {
        *why = METRICS_REFUSAL_LATE;
        note_shortage(session, backend_now());
        return true;
    }
    *why = METRICS_REFUSAL_PRIMARY;
    return is_hopeless(session);
}

/* How much longer a change of primary that began at `since` is expected to take. PRIMARY_LOST_NS in
 * all; one that has lasted longer is expected to take as much again. */
static time_ns
change_left(time_ns since, time_ns now)
{
    return now < since + PRIMARY_LOST_NS ? since + PRIMARY_LOST_NS - now : PRIMARY_LOST_NS;
}

time_ns
router_retry_after(struct session *session, time_ns now)
{
    const struct group *group = session->route.group;
    struct need need;
    wait_forecast_t prospect;
    if (router_forwards(group)) {
        return 0; /* its owners know */
    }
    choice_find_need(session, &need);
    if (need.primary && group->no_primary_since != 0) {
        return change_left(group->no_primary_since, now);
    }
    if (need.primary && database_fault(group->primary) != DATABASE_FAULT_NONE) {
        return change_left(atomic_load(&group->primary->shared->fault_since), now);
    }
    session->request.line = find_prospect(session, now, &prospect);
    prospect.ahead = count_ahead(session);
    prospect.waited_ms = 0; /* who comes back has waited for nothing yet */
    return (time_ns)(queue_rate_late_by_ms(&group->queue_rate[session->request.line], &prospect) *
                     (double)NANOSECONDS_PER_MILLISECOND);
}
