/**
 * @file
 * @brief Statements forwarded to an owner of their group; see the header.
 *
 * When a link is lost: a statement of which no byte was sent goes to another owner. So do a single
 * read and a transaction without an answer yet, as the lost owner rolls back the transactions of
 * closed connections. A single write or a commit is in doubt. Any other transaction is aborted.
 */
#define G_LOG_DOMAIN "forward"
#include "pooler/forwarding/forward_internal.h"

#include "generated/messages.h"
#include "pooler/shared/peer.h"
#include "pooler/client/session_internal.h"

#include <string.h>

/** An owner is pinged if a request is outstanding and it has sent nothing for this time. */
#define PING_AFTER_NS (150 * NANOSECONDS_PER_MILLISECOND)

/** The link is closed if a ping is not answered within this time. */
#define PING_TIMEOUT_NS (350 * NANOSECONDS_PER_MILLISECOND)

/** The same for the first ping on a new connection. A running owner answers within a few
 * milliseconds. If its host was unreachable when the first SYN was sent, TCP sends the next one
 * only a second later, so a new connection is faster. */
#define FIRST_PING_TIMEOUT_NS (120 * NANOSECONDS_PER_MILLISECOND)

/** Time for which a lost owner is not used. Doubles with each consecutive loss. */
#define AVOID_MIN_NS (100 * NANOSECONDS_PER_MILLISECOND)
#define AVOID_MAX_NS (1600 * NANOSECONDS_PER_MILLISECOND)

/** Time for which an owner that declined a statement is not used: it no longer owns the group, or
 * is stopping. */
#define DECLINED_AVOID_NS (150 * NANOSECONDS_PER_MILLISECOND)

bool
forward_is_open(const struct session *session)
{
    return session->forward.link != NULL;
}

static void
stop_running(struct session *session)
{
    if (session->forward.running) {
        session->forward.running = false;
        session->forward.link->running--;
    }
}

static void
detach(struct session *session)
{
    stop_running(session);
    g_hash_table_remove(session->forward.link->channels, &session->forward.channel);
    session->forward.link = NULL;
}

/* Handles the loss of the session's link. A statement of which no byte was sent has not run, and is
 * retried whatever its kind. */
static void
fail_session(struct session *session, bool was_sent)
{
    if (!was_sent && session->state == SESSION_RUNNING) {
        session->request.may_have_run = false;
        session_retry(session, ANSWER_BUSY);
        if (session->state == SESSION_IDLE) {
            session_process(session);
        }
        return;
    }
    session_server_lost(session, ANSWER_BUSY);
}

static time_ns
avoid_time(const link_t *link)
{
    return MIN(AVOID_MIN_NS << MIN(link->losses_in_row, 5U), AVOID_MAX_NS);
}

/* A lost link on which a reconnect is in progress is most likely still lost. How long is not known:
 * half of the next avoidance time is assumed. */
time_ns
link_next_try(const link_t *link, time_ns now)
{
    time_ns again = link->unconfirmed && link->losses_in_row > 0 ? now + avoid_time(link) / 2 : now;
    return MAX(MAX(link->avoid_until, link->home_health.avoid_until), again);
}

/* Handles the loss of the link's connection. The peer object has not been freed yet. */
static void
lose_link(link_t *link, time_ns now)
{
    bool was_sent = peer_has_sent(link->peer);
    g_autoptr(GList) sessions = g_hash_table_get_values(link->channels);
    if (!link->unconfirmed || link->running > 0) { /* otherwise the loss was logged before */
        g_message("Link to %s lost with %u statements in progress.", link->text, link->running);
    }
    link->peer = NULL;
    link->unconfirmed = true;
    link->avoid_until = now + avoid_time(link);
    link->losses_in_row++;
    for (GList *item = sessions; item != NULL; item = item->next) {
        detach(item->data);
    }
    for (GList *item = sessions; item != NULL; item = item->next) {
        fail_session(item->data, was_sent);
    }
    link_fail_token_requests(link);
}

static void
decline(struct session *session, link_t *link, time_ns now)
{
    detach(session);
    link->avoid_until = now + DECLINED_AVOID_NS;
    session_retry(session, ANSWER_MISROUTED);
}

/* A message from the owner confirms an unconfirmed link: queued statements may use it. */
static void
confirm_link(link_t *link)
{
    GHashTableIter iterator;
    gpointer group = NULL;
    if (!link->unconfirmed) {
        return;
    }
    link->unconfirmed = false;
    g_hash_table_iter_init(&iterator, link->worker->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &group)) {
        group_end_direct_fallback(group);
        g_ptr_array_add(link->worker->groups_to_run, group);
    }
}

static void
handle_answer(link_t *link, const struct forward_answer *answer)
{
    struct session *session = g_hash_table_lookup(link->channels, &answer->channel);
    time_ns now = backend_now();
    link->awaiting_since = now;
    link->losses_in_row = 0;
    confirm_link(link);
    link_note_contact(link);
    if (link_handle_token_answer(link, answer, now)) {
        return;
    }
    if (session == NULL || !session->forward.running) {
        return;
    }
    stop_running(session);
    if (answer->declined) {
        decline(session, link, now);
        return;
    }
    if (answer->state != TRANSACTION_STATE_OPEN) {
        detach(session);
    }
    operation_timing_merge(&session->timing, answer->stages_us, answer->stages_us_count, now);
    session->request.at_primary = answer->at_primary;
    const struct log_position position = {answer->term, answer->offset};
    session_deliver_answer(session, (enum answer_code)answer->code,
                           (enum transaction_state)answer->state,
                           (struct span){(const char *)answer->output, answer->output_length},
                           answer->has_position ? &position : NULL);
}

static bool
on_frame(void *user, struct peer *peer, const uint8_t *data, size_t len)
{
    link_t *link = user;
    struct worker *worker = link->worker;
    struct forward_answer answer = {0};
    g_autoptr(GError) error = NULL;
    metrics_count_by(&worker->metrics, METRICS_FORWARD_BYTES_RECEIVED, len);
    if (!forward_answer_decode(data, len, &answer, &error)) {
        g_warning("Invalid answer of an owner: %s.", error->message);
        return false;
    }
    handle_answer(link, &answer);
    forward_answer_clear(&answer);
    worker_run_deferred(worker);
    return true;
}

static void
on_closed(void *user, struct peer *peer)
{
    link_t *link = user;
    lose_link(link, backend_now());
    worker_run_deferred(link->worker);
}

link_t *
link_get(struct worker *worker, const char *text, const struct sockaddr_in *address)
{
    link_t *link = g_hash_table_lookup(worker->links, text);
    if (link == NULL) {
        link = g_new0(link_t, 1);
        link->worker = worker;
        link->text = g_strdup(text);
        link->address = *address;
        link->callbacks = (struct peer_callbacks){on_frame, on_closed, link};
        link->unconfirmed = true;
        link->channels = g_hash_table_new(g_int64_hash, g_int64_equal);
        link->token_requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
        g_hash_table_insert(worker->links, link->text, link);
    }
    return link;
}

void
link_set_zone(link_t *link, const char *zone)
{
    link->zone = zone;
}

void
link_free(link_t *link)
{
    if (link->peer != NULL) {
        peer_free(link->peer);
    }
    g_hash_table_unref(link->channels);
    g_hash_table_unref(link->token_requests);
    g_free(link->text);
    g_free(link);
}

bool
link_connect(link_t *link)
{
    if (link->peer == NULL) {
        link->peer = peer_connect(link->worker->base, &link->address, &link->callbacks);
        link->awaiting_since = backend_now();
    }
    return link->peer != NULL;
}

void
link_send(const link_t *link, const struct forward_ask *ask)
{
    GByteArray *message = forward_ask_encode(ask);
    struct metrics *metrics = &link->worker->metrics;
    metrics_count_by(metrics, METRICS_FORWARD_BYTES, message->len);
    if (ask->channel == 0 && !ask->announces) {
        metrics_count_by(metrics, METRICS_PING_BYTES, message->len);
    } else if (ask->admits != NULL && ask->admits[0] != '\0') {
        metrics_count_by(metrics, METRICS_TOKEN_BYTES, message->len);
    }
    peer_send(link->peer, message);
}

static void
send_ping(link_t *link, time_ns now)
{
    struct forward_ask ask;
    forward_ask_init(&ask);
    link->pinged_at = now;
    link_send(link, &ask);
    forward_ask_clear(&ask);
}

void
link_reconnect(link_t *link, time_ns now)
{
    if (link->peer == NULL && now >= link->avoid_until && link_connect(link)) {
        send_ping(link, now);
        worker_arm_tick(link->worker);
    }
}

bool
forward_all_unreachable(const struct group *group)
{
    for (guint i = 0; i < group->links->len; i++) {
        if (!((const link_t *)g_ptr_array_index(group->links, i))->unconfirmed) {
            return false;
        }
    }
    return group->links->len > 0;
}

void
forward_reconnect(const struct group *group)
{
    time_ns now = backend_now();
    for (guint i = 0; i < group->links->len; i++) {
        link_t *link = g_ptr_array_index(group->links, i);
        if (link->unconfirmed) {
            link_reconnect(link, now);
        }
    }
}

static uint64_t
age_us(time_ns now, time_ns at)
{
    return now > at ? (now - at) / NANOSECONDS_PER_MICROSECOND : 0;
}

static void
fill_values(const struct session *session, struct forward_ask *ask)
{
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    if (session->values == NULL) {
        return;
    }
    ask->values = g_new0(struct session_value, g_hash_table_size(session->values));
    g_hash_table_iter_init(&iterator, session->values);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        struct session_value *out = &ask->values[ask->values_count++];
        out->name = g_strdup(name);
        out->value = g_strdup(value);
    }
}

static void
fill_prepared(const struct session *session, struct forward_ask *ask)
{
    const struct statement *statement = &session->request.statement;
    if (statement->kind != STATEMENT_EXECUTE) {
        return;
    }
    const struct prepared *prepared = session_find_prepared(session, statement->name);
    ask->prepared = true;
    ask->prepared_writes = prepared->writes;
    ask->prepared_shape_length = strlen(prepared->shape);
    ask->prepared_shape = g_memdup2(prepared->shape, ask->prepared_shape_length);
}

static void
fill_opening(const struct session *session, time_ns now, struct forward_ask *ask)
{
    const struct session_route *route = &session->route;
    ask->opens = true;
    ask->service = g_strdup(route->group->shared->service);
    ask->in_transaction = session->transaction != SESSION_TRANSACTION_NONE;
    ask->read_only = session->read_only;
    ask->route_kind = (uint32_t)route->kind;
    ask->timeout_ms = route->timeout_ms;
    ask->target_ms = route->target_ms;
    ask->priority = route->priority;
    ask->staleness_ms = route->staleness_ms;
    ask->key = g_strdup(session->key);
    ask->is_public = route->is_public;
    ask->configuration = access_configuration(session);
    ask->transaction_age_us = age_us(now, session->began);
    ask->has_own_commit = session->has_own_commit;
    ask->own_commit_term = session->own_commit.term;
    ask->own_commit_offset = session->own_commit.offset;
    ask->own_commit_age_us = age_us(now, session->own_commit_at);
}

static void
open_channel(struct session *session, link_t *link)
{
    session->forward = (session_forward_t){link, ++link->last_channel, false};
    g_hash_table_insert(link->channels, &session->forward.channel, session);
}

/* Notes that an answer is awaited on the session's channel. */
static void
begin_waiting(struct session *session, time_ns now)
{
    link_t *link = session->forward.link;
    if (link->running++ == 0 && g_hash_table_size(link->token_requests) == 0) {
        link->awaiting_since = now;
    }
    session->forward.running = true;
}

static void
send_statement(struct session *session, bool opens)
{
    link_t *link = session->forward.link;
    struct session_request *request = &session->request;
    struct forward_ask ask;
    time_ns now = backend_now();
    forward_ask_init(&ask);
    ask.channel = session->forward.channel;
    ask.message_length = request->message_length;
    ask.message = g_memdup2(request->message, request->message_length);
    ask.age_us = age_us(now, request->arrived);
    fill_values(session, &ask);
    fill_prepared(session, &ask);
    if (opens) {
        fill_opening(session, now, &ask);
    }
    begin_waiting(session, now);
    operation_timing_enter(&session->timing, STAGE_HOP, now);
    request->may_have_run = true;
    request->sent_to = link->text;
    link_send(link, &ask);
    forward_ask_clear(&ask);
}

/* The owner that the session's statement is forwarded to; NULL: none can be reached, or this pooler
 * serves it. */
static link_t *
choose_owner(const struct session *session, time_ns now)
{
    return router_forwards(session->route.group) ? owner_choose(session, now)
                                                 : owner_choose_elsewhere(session, now);
}

bool
forward_start(struct session *session)
{
    link_t *link = choose_owner(session, backend_now());
    if (link == NULL || !link_connect(link)) {
        return false;
    }
    open_channel(session, link);
    metrics_count(&session->worker->metrics, METRICS_FORWARDED);
    send_statement(session, true);
    return true;
}

bool
forward_announce(const struct session *session)
{
    time_ns now = backend_now();
    link_t *link = choose_owner(session, now);
    if (link == NULL || !link_connect(link)) {
        return false;
    }
    struct forward_ask ask;
    forward_ask_init(&ask);
    fill_opening(session, now, &ask);
    ask.opens = false;
    ask.announces = true;
    link_send(link, &ask);
    forward_ask_clear(&ask);
    return true;
}

void
forward_continue(struct session *session)
{
    send_statement(session, false);
}

void
forward_cancel(struct session *session)
{
    link_t *link = session->forward.link;
    if (link == NULL) {
        return;
    }
    struct forward_ask ask;
    forward_ask_init(&ask);
    ask.channel = session->forward.channel;
    ask.ends = true;
    detach(session);
    if (link->peer != NULL) {
        link_send(link, &ask);
    }
    forward_ask_clear(&ask);
}

static void
check_link(link_t *link, time_ns now)
{
    bool awaiting = link->running > 0 || g_hash_table_size(link->token_requests) > 0;
    if (link->peer == NULL || (!awaiting && !link->unconfirmed)) {
        return;
    }
    bool pinged = link->pinged_at >= link->awaiting_since;
    time_ns timeout = link->unconfirmed ? FIRST_PING_TIMEOUT_NS : PING_TIMEOUT_NS;
    if (pinged && now > link->pinged_at + timeout) {
        struct peer *peer = link->peer;
        lose_link(link, now);
        peer_free(peer);
    } else if (!pinged && now > link->awaiting_since + PING_AFTER_NS) {
        send_ping(link, now);
    }
}

void
forward_tick(struct worker *worker, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, worker->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        check_link(value, now);
    }
}
