/* Processing of a database's answers, and of what they show about the database and the log of its
 * group; see server.c. */
#define G_LOG_DOMAIN "server"
#include "pooler/databases/server_internal.h"

#define LATENCY_WEIGHT 0.1

/* The use to count for a statement that was answered. If its session has ended, it counts as a read
 * unless it wrote or was in a transaction. */
static database_use_t
use_of_statement(const struct server *server)
{
    const struct session *session = server->session;
    if (server->code != ANSWER_NONE && answer_meaning(server->code)->not_run) {
        return DATABASE_USE_REFUSED;
    }
    bool read_write = server->in_transaction && (session == NULL || !session->read_only);
    if (read_write) {
        return DATABASE_USE_TRANSACTION;
    }
    if (server->writes) {
        return DATABASE_USE_WRITE;
    }
    bool strict = session != NULL && session->route.kind == ROUTE_KIND_PRIMARY;
    return strict ? DATABASE_USE_STRICT_READ : DATABASE_USE_READ;
}

static void
count_use(const struct server *server, database_use_t use)
{
    struct group *group = server->database->group;
    time_ns now = backend_now();
    time_ns spent = now > server->sent_at ? now - server->sent_at : 0;
    database_use_count(&group->shared->uses, server->database == group->primary, use, spent);
}

static void
on_status(struct server *server)
{
    struct group *group = server->database->group;
    bool valid = server->has_report && server->code == ANSWER_NONE;
    count_use(server, DATABASE_USE_STATUS);
    server->checking = false;
    server->state = SERVER_RESERVED;
    leadership_check_answer(group, server->database, valid ? &server->report : NULL);
    server_release(server);
}

/* True if a primary reports a lower position than before this connection was opened: it has
 * restarted without its log. It may have lost acknowledged commits, but acts as the primary until
 * the coordinator detects that. Does not apply to replicas, which a change of primary may roll
 * back. */
static bool
has_lost_log(const struct server *server, const struct database_reply *ready)
{
    const struct group *group = server->database->group;
    return server->database == group->primary && ready != NULL && ready->has_position &&
           !log_position_covers(ready->position, server->min_position);
}

/* `ready` is NULL if the database refused the start. */
static void
on_started(struct server *server, const struct database_reply *ready)
{
    struct database *database = server->database;
    event_del(server->timer);
    if (server->code != ANSWER_NONE) {
        server_close(server, ANSWER_NONE);
        return;
    }
    if (has_lost_log(server, ready)) {
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_DATABASE", database->shared->id,
                         "SW_SERVICE", database->group->shared->service, "MESSAGE",
                         "Primary %s reports a lower log position than before and may have lost "
                         "commits; no statements are sent to it.",
                         database->shared->id);
        database_set_fault(database, DATABASE_FAULT_REFUSING, backend_now());
        server_close(server, ANSWER_NONE);
        return;
    }
    count_use(server, DATABASE_USE_OPENING);
    database_note_opening(server->database, backend_now() - server->sent_at);
    server_become_idle(server);
}

static void
on_begun(struct server *server, enum transaction_state state)
{
    struct session *session = server->session;
    count_use(server, server->code == ANSWER_NONE ? DATABASE_USE_BEGIN : DATABASE_USE_REFUSED);
    server->in_transaction = state != TRANSACTION_STATE_NONE;
    if (server->code == ANSWER_LAGGING) {
        server->database->missing_position = server->min_position;
        server->database->missing_at = backend_now();
    }
    if (server->code == ANSWER_BUSY) {
        database_narrow_window(server->database, backend_now());
    }
    if (session == NULL) {
        server->state = SERVER_RESERVED;
        server_release(server);
        return;
    }
    if (server->code != ANSWER_NONE || !server->in_transaction) {
        enum answer_code code = server->code == ANSWER_NONE ? ANSWER_BUSY : server->code;
        server->state = SERVER_RESERVED;
        server_release(server);
        session_retry(session, code);
        return;
    }
    access_verdict_t verdict = access_check_at(session, server);
    if (verdict != ACCESS_GRANTED) {
        server->state = SERVER_RESERVED;
        server_release(server);
        access_refuse(session, verdict);
        return;
    }
    session->transaction = SESSION_TRANSACTION_OPEN;
    session->statements_run = false;
    server->wrote = false;
    server_clear_answer(server);
    server_note_sending(server);
    operation_timing_enter(&session->timing, STAGE_DATABASE, server->sent_at);
    server_write_statement(server, session, NULL);
    server_flush(server);
}

/* Updates a replica's lag: the time since the primary had the replica's present position. */
static void
note_lag(struct database *database, time_ns now)
{
    const struct freshness *freshness = &database->group->freshness;
    const struct freshness_sample *sample = freshness_newest_covered(freshness, database->position);
    if (sample == NULL) {
        sample = freshness_oldest(freshness); /* the lag exceeds the period of the samples */
    }
    if (database != database->group->primary && sample != NULL) {
        /* The lag may be up to one sampling interval shorter. */
        time_ns age = now - sample->at;
        database->lag = age > FRESHNESS_SPACING_NS ? age - FRESHNESS_SPACING_NS : 0;
        database->lag_at = now;
    }
}

/* The kind of the running statement; see baseline_times_t. */
static unsigned
kind_of(const struct server *server)
{
    return statement_time_kind((unsigned)server->session->route.kind, server->writes,
                               server->running_writes);
}

/* Updates latencies, window, positions and proof of leadership from the answer to a statement. */
static void
apply_answer(struct server *server, const struct database_reply *ready)
{
    struct database *database = server->database;
    struct group *group = database->group;
    time_ns now = backend_now();
    double latency = (double)(now - server->sent_at) / (double)NANOSECONDS_PER_MILLISECOND;
    double slowness = 0;
    if (server->code == ANSWER_NONE || !answer_meaning(server->code)->not_run) {
        /* A refusal comes at once. If it were counted, an overloaded or lagging database would
         * appear to be fast. */
        database->latency_ms += LATENCY_WEIGHT * (latency - database->latency_ms);
        database->latency_at = now;
        group->latency_ms += LATENCY_WEIGHT * (latency - group->latency_ms);
        slowness = server->session == NULL
                       ? 0
                       : baseline_times_update(&group->worker->general_baseline, &group->baseline,
                                               &database->recent, kind_of(server), latency, now);
    }
    server->wrote = server->wrote || (server->writes && server->code == ANSWER_NONE);
    if (server->code == ANSWER_BUSY) {
        database_narrow_window(database, now);
    } else if (server->code == ANSWER_NONE) {
        database_note_statement_answer(database, slowness, now);
    }
    if (!ready->has_position) {
        return;
    }
    database->position = ready->position;
    if (server->code == ANSWER_LAGGING) {
        metrics_count(&group->worker->metrics, METRICS_LAGGING);
        database->missing_position = server->min_position;
        database->missing_at = now;
    }
    note_lag(database, now);
    bool leads = database == group->primary && server->epoch == group->epoch;
    /* A commit that replicas confirmed proves that no other database was the primary. A commit
     * without writes involves no replica and proves nothing. */
    bool committed = server->code == ANSWER_NONE && server->running_writes && server->wrote &&
                     ready->state == TRANSACTION_STATE_NONE && group->sync_replicas > 0;
    if (leads && (server->had_permit || committed) && ready->position.term >= group->term) {
        freshness_add(&group->freshness, server->sent_at, ready->position);
    }
    if (leads && committed) {
        leadership_note_proven(group, server->sent_at);
        database->written_at = now;
    }
}

static void
on_statement_done(struct server *server, const struct database_reply *ready)
{
    struct session *session = server->session;
    count_use(server, use_of_statement(server));
    apply_answer(server, ready);
    server->in_transaction = ready->state != TRANSACTION_STATE_NONE;
    server->state = SERVER_RESERVED;
    server->running_writes = false;
    if (session == NULL) {
        server_release(server);
        return;
    }
    session_answer(session, server, ready->state, ready->has_position ? &ready->position : NULL);
}

/* True if the database has answered a statement of a client, or the setup of its session, with
 * READY alone. Each of them is completed for itself: the signature of the one before does not
 * count. */
static bool
lacks_completion(struct server *server, enum expected what)
{
    bool signed_off = server->signature != NULL && server->signature[0] != '\0';
    bool needed = what == EXPECT_STATEMENT || what == EXPECT_SETUP;
    if (what == EXPECT_SETUP || what == EXPECT_BEGIN) {
        g_clear_pointer(&server->signature, g_free);
    }
    return needed && server->code == ANSWER_NONE && !signed_off;
}

static void
on_ready(struct server *server, const struct database_reply *ready)
{
    if (server->expected->len == 0) {
        server_close(server, ANSWER_BUSY);
        return;
    }
    enum expected what = (enum expected)server->expected->data[0];
    g_byte_array_remove_index(server->expected, 0);
    if (lacks_completion(server, what)) {
        g_warning("Database %s ended a statement neither with a signature nor with an error; "
                  "closing the connection.",
                  server->database->shared->id);
        server_close(server, ANSWER_IN_DOUBT);
        return;
    }
    switch (what) {
    case EXPECT_START:
        on_started(server, ready);
        break;
    case EXPECT_SETUP:
        if (server->code != ANSWER_NONE) {
            server_close(server, ANSWER_IN_DOUBT);
        }
        break;
    case EXPECT_BEGIN:
        on_begun(server, ready->state);
        break;
    case EXPECT_STATEMENT:
        on_statement_done(server, ready);
        break;
    case EXPECT_ROLLBACK:
        event_del(server->timer);
        server_become_idle(server);
        break;
    case EXPECT_STATUS:
        on_status(server);
        break;
    }
}

static void
on_reply(struct server *server, struct span message)
{
    struct database_reply reply;
    wire_read_reply(message, &reply);
    switch (reply.kind) {
    case REPLY_ROW:
        if (server->checking) {
            server->has_report = wire_read_report(reply.content, &server->report);
        } else {
            buffer_append(&server->rows, message.data, message.length);
        }
        break;
    case REPLY_COMPLETE:
        g_free(server->signature);
        server->signature = span_copy(reply.content);
        break;
    case REPLY_ERROR:
        server->code = reply.code;
        g_free(server->error_text);
        server->error_text = span_copy(reply.content);
        if (server->state == SERVER_STARTING) {
            on_started(server, NULL);
        }
        break;
    case REPLY_READY:
        on_ready(server, &reply);
        break;
    case REPLY_MALFORMED:
        g_warning("Database %s sent a malformed message; closing the connection.",
                  server->database->shared->id);
        server_close(server, ANSWER_IN_DOUBT);
        break;
    }
}

void
server_process(struct server *server)
{
    database_note_answer(server->database, backend_now());
    while (server->state != SERVER_CLOSED) {
        struct span content = buffer_content(&server->in);
        size_t length = wire_message_length(content);
        if (length == 0) {
            if (content.length > WIRE_MESSAGE_MAX) {
                server_close(server, ANSWER_IN_DOUBT);
            }
            return;
        }
        on_reply(server, (struct span){content.data, length});
        buffer_consume(&server->in, length);
    }
}
