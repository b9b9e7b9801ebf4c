/* Where each statement goes: to the primary, or to any database that is fresh enough, by load and
 * zone. What can't go at once waits in its group's queue, most urgent first. */
#define G_LOG_DOMAIN "router"
#include "pooler/routing/router_internal.h"

/* Though a connection is idle, another one is opened to a better database if even this many times
 * its cost is less than the idle one's. */
#define OPENING_FACTOR 1.5

/* Weight of the newest statement in the group's led_share: it follows some fifty statements. */
#define LED_WEIGHT 0.02

/* A statement that a connection is being opened for asks for no other one meanwhile: longer than
 * opening takes at a database that has slots (12 to 30 ms by the sites' sheets). */
#define OPENING_PATIENCE_NS (50 * NANOSECONDS_PER_MILLISECOND)

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

/* Learns which part of the primary's statements no replica could run. */
static void
note_led(const struct need *need, const struct database *database)
{
    struct group *group = database->group;
    if (database == group->primary) {
        group->primary_only_share +=
            ((need->primary ? 1 : 0) - group->primary_only_share) * LED_WEIGHT;
    }
}

bool
router_needs_primary(const struct session *session)
{
    bool plain = session->transaction != SESSION_TRANSACTION_NONE && !session->read_only;
    bool writes = session->transaction == SESSION_TRANSACTION_NONE && session->request.writes;
    return plain || writes || session->route.kind == ROUTE_KIND_PRIMARY;
}

bool
router_forwards(const struct group *group)
{
    return group->connections == 0;
}

/* Leaves the statement to another owner of its group, if there is one to take it. One that came
 * from another pooler goes back. */
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

/* Learns how fast the statement's line moves. */
static void
note_departure(const struct session *session, time_ns now)
{
    if (session->queue_link != NULL) {
        queue_rate_note_departure(&session->route.group->queue_rate[session->request.line], now);
    }
}

/* Sends the statement if a connection is there. True if it left. */
static bool
try_send(struct session *session)
{
    struct need need;
    struct choice choice;
    time_ns now = backend_now();
    if (session->request.refusal != NULL) {
        return false; /* refused while it waited; its client is told as soon as the loop turns */
    }
    if (now < session->request.not_before) {
        worker_run_at(session->worker, session->request.not_before);
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
    if (choice.hold_until != 0) {
        session->request.held = true;
        session->request.not_before = choice.hold_until;
        metrics_count(&session->worker->metrics, METRICS_READS_HELD);
        worker_run_at(session->worker, choice.hold_until);
        return false;
    }
    bool open_too =
        choice.to_open != NULL && database_may_open(choice.to_open, now) &&
        now >= session->request.opened_at + OPENING_PATIENCE_NS &&
        (choice.server == NULL || choice.open_cost * OPENING_FACTOR < choice.server_cost);
    if (open_too) {
        session->request.opened_at = now;
        server_open(choice.to_open, session->tenant, METRICS_OPENED_STATEMENT);
    }
    if (choice.server == NULL || choice.server->state != SERVER_IDLE) {
        bool opens = session->request.opened_at != 0;
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
    note_led(&need, choice.server->database);
    metrics_count(&session->worker->metrics, METRICS_FOUND_OPEN);
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
        return; /* any connection serves it */
    }
    bool elsewhere = session->forwarded.caller == NULL && forward_announce(session);
    if (elsewhere || router_forwards(group)) {
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

/* The more urgent route first, then the one whose objective ends first. */
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

/* Tells the databases that could run it that it came: each keeps room for statements as urgent. */
static void
note_coming(const struct session *session)
{
    const struct group *group = session->route.group;
    bool led = router_needs_primary(session);
    time_ns now = backend_now();
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        if (!led || database == group->primary) {
            window_note_arrival(&database->window, session->route.priority, now);
        }
    }
}

void
router_submit(struct session *session)
{
    session->state = SESSION_QUEUED;
    note_coming(session);
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
        /* A connection that broke while it was used may have changed the queue. */
        link = left ? group->queue.head : next;
    }
}
