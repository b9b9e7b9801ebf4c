/* What a database answers, and what that tells of the database and of its group's log; see
 * server.c. */
#define G_LOG_DOMAIN "server"
#include "pooler/databases/server_internal.h"

#define LATENCY_WEIGHT 0.1

/* What the answer that ends the running statement was for. One whose session is gone counts as a
 * read, unless it wrote or was in a transaction. */
static database_use_t
use_of_statement(const struct server *server)
{
    const struct session *session = server->session;
    if (server->code != ANSWER_NONE && answer_meaning(server->code)->not_run) {
        return DATABASE_USE_REFUSED;
    }
    bool plain = server->in_transaction && (session == NULL || !session->read_only);
    if (plain) {
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
    bool good = server->has_report && server->code == ANSWER_NONE;
    count_use(server, DATABASE_USE_STATUS);
    server->checking = false;
    server->state = SERVER_RESERVED;
    leadership_check_answer(group, server->database, good ? &server->report : NULL);
    server_release(server);
}

/* A primary that holds less than it did before this connection was opened has started again without
 * its log: it may lack acknowledged commits, and goes on leading by its own word until the
 * coordinator hears of it. Replicas may be rolled back by a change of primary. */
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
                         "Database %s leads with a shorter log than it had: no work for it.",
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
        session_try_again(session, code);
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

/* How far a replica is behind, by when the primary stood where the replica stands now. */
static void
note_lag(struct database *database, time_ns now)
{
    const struct freshness *freshness = &database->group->freshness;
    const struct freshness_sample *sample = freshness_newest_covered(freshness, database->position);
    if (sample == NULL) {
        sample = freshness_oldest(freshness); /* it is behind by more than is known */
    }
    if (database != database->group->primary && sample != NULL) {
        /* Samples are sparse: the true lag is up to one spacing less. */
        time_ns behind = now - sample->at;
        database->lag = behind > FRESHNESS_SPACING_NS ? behind - FRESHNESS_SPACING_NS : 0;
        database->lag_at = now;
    }
}

/* The kind by which the running statement's time is averaged; see baseline_times_t. */
static unsigned
kind_of(const struct server *server)
{
    return statement_time_kind((unsigned)server->session->route.kind, server->writes,
                               server->running_writes);
}

/* What an answer tells of the database and of the group's log. */
static void
learn(struct server *server, const struct database_reply *ready)
{
    struct database *database = server->database;
    struct group *group = database->group;
    time_ns now = backend_now();
    double latency = (double)(now - server->sent_at) / (double)NANOSECONDS_PER_MILLISECOND;
    double slowness = 0;
    if (server->code == ANSWER_NONE || !answer_meaning(server->code)->not_run) {
        /* A refusal comes at once: counted, it would make a full or lagging database look quick. */
        database->latency_ms += LATENCY_WEIGHT * (latency - database->latency_ms);
        database->latency_at = now;
        group->latency_ms += LATENCY_WEIGHT * (latency - group->latency_ms);
        slowness = server->session == NULL
                       ? 0
                       : baseline_times_update(&group->worker->usual, &group->baseline,
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
    /* A commit that a replica received shows that nobody else could lead. One that wrote nothing
     * asked no replica, and shows nothing. */
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
    learn(server, ready);
    server->in_transaction = ready->state != TRANSACTION_STATE_NONE;
    server->state = SERVER_RESERVED;
    server->running_writes = false;
    if (session == NULL) {
        server_release(server);
        return;
    }
    session_answer(session, server, ready->state, ready->has_position ? &ready->position : NULL);
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
        g_warning("Database %s sent what is no message; the connection is closed.",
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
