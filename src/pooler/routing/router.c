/* Routing of statements to the primary, or to any database that is fresh enough, by load and zone.
 * Statements that can't be sent at once wait in the queue of their group, by priority and
 * objective. */
#define G_LOG_DOMAIN "router"
#include "pooler/routing/router_internal.h"

/* Although a connection is idle, a connection to a better database is opened if its cost times this
 * factor is below the cost of the idle one. */
#define OPENING_FACTOR 1.5

/* Weight of the newest statement in the group's primary_only_share, which follows about fifty
 * statements. */
#define PRIMARY_ONLY_WEIGHT 0.02

/* Minimum time between two openings for the same statement. Longer than an opening takes at a
 * database with a free slot: 12 to 30 ms by the specifications of the sites. */
#define OPENING_INTERVAL_NS (50 * NANOSECONDS_PER_MILLISECOND)

bool
router_has_permit(const struct group *group, time_ns now)
{
    return group->phase != GROUP_PHASE_CLOSED && now < atomic_load(&group->shared->permit_until);
}

bool
router_may_write_on(const struct session *session)
{
    const struct group *group = session->route.group;
    bool commits = session->request.writes || session->request.statement.kind == STATEMENT_COMMIT;
    if (group->sync_replicas > 0 || session->read_only || !commits) {
        return true;
    }
    return router_has_permit(group, backend_now() + WRITE_MARGIN_NS);
}

static void
count_read(const struct session *session, const struct database *database)
{
    if (session->request.writes || session->transaction != SESSION_TRANSACTION_NONE) {
        return;
    }
    metrics_count(&session->worker->metrics, database == database->group->primary
                                                 ? METRICS_READS_AT_PRIMARY
                                                 : METRICS_READS_AT_REPLICA);
}

/* Updates the part of the primary's statements that no replica could run. */
static void
update_primary_only_share(const struct need *need, const struct database *database)
{
    struct group *group = database->group;
    if (database == group->primary) {
        group->primary_only_share +=
            ((need->primary ? 1 : 0) - group->primary_only_share) * PRIMARY_ONLY_WEIGHT;
    }
}

bool
router_needs_primary(const struct session *session)
{
    bool read_write = session->transaction != SESSION_TRANSACTION_NONE && !session->read_only;
    bool writes = session->transaction == SESSION_TRANSACTION_NONE && session->request.writes;
    return read_write || writes || session->route.kind == ROUTE_KIND_PRIMARY;
}

bool
router_forwards(const struct group *group)
{
    return group->connections == 0;
}

/* Forwards the statement to another owner of its group; a statement that another pooler forwarded
 * is declined and returned to that pooler. Returns false if no owner accepts it. */
static bool
try_forward(struct session *session)
{
    if (session->forwarded.caller != NULL) {
        router_leave_queue(session);
        caller_decline(session);
        return true;
    }
    if (!forward_start(session)) {
        operation_timing_enter(&session->timing, STAGE_QUEUE, backend_now());
        return false;
    }
    router_leave_queue(session);
    session->request.attempts++;
    session_sent(session);
    return true;
}

/* Updates the departure rate of the statement's line. */
static void
note_departure(const struct session *session, time_ns now)
{
    if (session->queue_link != NULL) {
        queue_rate_note_departure(&session->route.group->queue_rate[session->request.line], now);
    }
}

/* Sends the statement if a connection is available, or otherwise prepares for that: opens one,
 * starts a leadership check or sets a timer. Returns true if the statement left the queue: it was
 * sent, forwarded or refused. */
static bool
try_send(struct session *session)
{
    struct need need;
    struct choice choice;
    time_ns now = backend_now();
    if (session->request.refusal != NULL) {
        return false; /* refused while it waited; the answer is sent after the current callback */
    }
    if (now < session->request.not_before) {
        worker_run_queues_at(session->worker, session->request.not_before);
        return false;
    }
    bool forwards = router_forwards(session->route.group);
    if (forwards && !group_start_direct_fallback(session->route.group)) {
        return try_forward(session);
    }
    if (!forwards && session->forwarded.caller == NULL && try_forward(session)) {
        return true;
    }
    choice_find_need(session, &need);
    choice_find(session, &need, now, &choice);
    if (choice.check) {
        operation_timing_enter(&session->timing, STAGE_PROOF, now);
        leadership_check_start(session->route.group);
        return false;
    }
    if (choice.defer_until != 0) {
        session->request.deferred = true;
        session->request.not_before = choice.defer_until;
        metrics_count(&session->worker->metrics, METRICS_READS_HELD);
        worker_run_queues_at(session->worker, choice.defer_until);
        return false;
    }
    bool open = choice.to_open != NULL && database_may_open(choice.to_open, now) &&
                now >= session->request.last_opened_at + OPENING_INTERVAL_NS &&
                (choice.server == NULL || choice.open_cost * OPENING_FACTOR < choice.server_cost);
    if (open) {
        session->request.last_opened_at = now;
        server_open(choice.to_open, session->tenant, METRICS_OPENED_STATEMENT);
    }
    if (choice.server == NULL || choice.server->state != SERVER_IDLE) {
        bool opens = session->request.last_opened_at != 0;
        operation_timing_enter(&session->timing, opens ? STAGE_OPENING : STAGE_QUEUE, now);
        return false;
    }
    access_verdict_t verdict = access_check_at(session, choice.server);
    if (verdict != ACCESS_GRANTED) {
        router_leave_queue(session);
        access_refuse(session, verdict);
        return true;
    }
    note_departure(session, now);
    router_leave_queue(session);
    session->request.attempts++;
    session_sent(session);
    choice_note_probe(choice.server->database, now);
    count_read(session, choice.server->database);
    update_primary_only_share(&need, choice.server->database);
    metrics_count(&session->worker->metrics, METRICS_CONNECTIONS_REUSED);
    server_run(choice.server, session, need.has_position ? &need.position : NULL);
    return true;
}

void
router_announce(const struct session *session)
{
    struct need need;
    struct choice choice;
    const struct group *group = session->route.group;
    if (!session->worker->has_tenants) {
        return; /* any idle connection can serve it */
    }
    bool at_owner = session->forwarded.caller == NULL && forward_announce(session);
    if (at_owner || router_forwards(group)) {
        return;
    }
    choice_find_need(session, &need);
    time_ns now = backend_now();
    choice_find(session, &need, now, &choice);
    if (choice.server == NULL && choice.to_open != NULL &&
        database_may_open_ahead(choice.to_open, now)) {
        server_open(choice.to_open, session->tenant, METRICS_OPENED_AHEAD);
    }
}

/* By priority, then by the end of the latency objective. */
bool
router_is_before(const struct session *a, const struct session *b)
{
    if (a->route.priority != b->route.priority) {
        return a->route.priority < b->route.priority;
    }
    return choice_objective(a) < choice_objective(b);
}

static void
enter_queue(struct session *session)
{
    GQueue *queue = &session->route.group->queue;
    GList *place = queue->tail;
    uint32_t *waiting = &session->route.group->waiting[session->request.line];
    queue_rate_note_arrival(&session->route.group->queue_rate[session->request.line], (*waiting)++,
                            backend_now());
    while (place != NULL && router_is_before(session, place->data)) {
        place = place->prev;
    }
    g_queue_insert_after(queue, place, session);
    session->queue_link = place == NULL ? queue->head : place->next;
    session->state = SESSION_QUEUED;
}

void
router_leave_queue(struct session *session)
{
    if (session->queue_link != NULL) {
        g_queue_delete_link(&session->route.group->queue, session->queue_link);
        session->queue_link = NULL;
        session->route.group->waiting[session->request.line]--;
    }
}

/* Records the arrival at the window of each database that could run the statement, which reserves
 * capacity for statements of its priority. */
static void
note_arrival(const struct session *session)
{
    const struct group *group = session->route.group;
    bool primary_only = router_needs_primary(session);
    time_ns now = backend_now();
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        if (!primary_only || database == group->primary) {
            window_note_arrival(&database->window, session->route.priority, now);
        }
    }
}

void
router_submit(struct session *session)
{
    session->state = SESSION_QUEUED;
    note_arrival(session);
    if (!try_send(session) && session->state == SESSION_QUEUED && session->queue_link == NULL) {
        enum metrics_refusal why;
        if (refusal_find(session, &why)) {
            session_refuse(session, why);
            return;
        }
        metrics_count(&session->worker->metrics, METRICS_QUEUED);
        enter_queue(session);
        refusal_recheck_later(session);
        worker_arm_tick(session->worker);
    }
}

void
router_run_queue(struct group *group)
{
    guint length = group->queue.length;
    GList *link = group->queue.head;
    while (link != NULL && length > 0) {
        GList *next = link->next;
        struct session *session = link->data;
        length--;
        bool left = try_send(session);
        /* If a connection broke while the statement was sent, the queue may have changed. */
        link = left ? group->queue.head : next;
    }
}
