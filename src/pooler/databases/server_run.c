/* What is sent to a database for a session: its values, the prepared name that its statement uses,
 * and the statement; see server.c. */
#define G_LOG_DOMAIN "server"
#include "pooler/databases/server_internal.h"

#include <string.h>

/* Prepared names held by one connection before all are dropped. */
#define PREPARED_MAX 256

/* True if the connection holds a value that the session lacks: only a reset removes it. */
static bool
needs_reset(const struct server *server, const struct session *session)
{
    if (g_hash_table_size(server->prepared) > PREPARED_MAX) {
        return true;
    }
    GHashTableIter iterator;
    gpointer name = NULL;
    g_hash_table_iter_init(&iterator, server->values);
    while (g_hash_table_iter_next(&iterator, &name, NULL)) {
        if (session->values == NULL || !g_hash_table_contains(session->values, name)) {
            return true;
        }
    }
    return false;
}

static void
bring_values(struct server *server, const struct session *session)
{
    if (session->values == NULL) {
        return;
    }
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, session->values);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        const char *held = g_hash_table_lookup(server->values, name);
        if (held != NULL && strcmp(held, value) == 0) {
            continue;
        }
        wire_write_set(&server->out, name, value);
        server_expect(server, EXPECT_SETUP);
        g_hash_table_insert(server->values, g_strdup(name), g_strdup(value));
    }
}

static void
bring_setup(struct server *server, const struct session *session)
{
    if (!server->in_transaction && needs_reset(server, session)) {
        wire_write_reset(&server->out);
        server_expect(server, EXPECT_SETUP);
        g_hash_table_remove_all(server->values);
        g_hash_table_remove_all(server->prepared);
    }
    bring_values(server, session);
}

/* The database's name for what the session prepared; prepares it there first if need be. */
static const char *
bring_prepared(struct server *server, const struct prepared *prepared)
{
    g_autofree char *key = g_strconcat(prepared->writes ? "w " : "r ", prepared->shape, NULL);
    const char *name = g_hash_table_lookup(server->prepared, key);
    if (name != NULL) {
        return name;
    }
    char *given = g_strdup_printf("p%u", ++server->prepared_count);
    wire_write_prepare(&server->out, given, prepared->writes, span_of(prepared->shape));
    server_expect(server, EXPECT_SETUP);
    g_hash_table_insert(server->prepared, g_steal_pointer(&key), given);
    return given;
}

void
server_write_statement(struct server *server, struct session *session,
                       const struct log_position *after)
{
    const struct statement *statement = &session->request.statement;
    if (statement->kind == STATEMENT_EXECUTE) {
        g_autofree char *name = span_copy(statement->name);
        const struct prepared *prepared = g_hash_table_lookup(session->prepared, name);
        const char *given = bring_prepared(server, prepared);
        wire_write_execute(&server->out, statement->id, after, given, statement->value);
    } else {
        wire_write_statement(&server->out, statement->id, after, statement->text);
    }
    server_expect(server, EXPECT_STATEMENT);
    session->request.may_have_run = true;
    server->running_writes = session->request.writes || statement->kind == STATEMENT_COMMIT;
    server->writes = session->request.writes;
    server->wrote = server->in_transaction && server->wrote;
}

void
server_note_sending(struct server *server)
{
    struct group *group = server->database->group;
    server->sent_at = backend_now();
    server->epoch = group->epoch;
    server->had_permit =
        server->database == group->primary && router_has_permit(group, server->sent_at);
}

static struct log_position
position_or_none(const struct log_position *position)
{
    struct log_position none = {0};
    return position == NULL ? none : *position;
}

void
server_run(struct server *server, struct session *session, const struct log_position *after)
{
    if (!server_holds_work(server)) {
        server->state = SERVER_RUNNING;
        server_count_in_flight(server, true);
    }
    if (server->opened_ahead) {
        server->opened_ahead = false;
        metrics_count(&server->database->group->worker->metrics, METRICS_AHEAD_USED);
    }
    server->state = SERVER_RUNNING;
    server->session = session;
    session->server = server;
    session->request.sent_to = server->database->shared->id;
    session->request.at_primary = server->database == server->database->group->primary;
    server_clear_answer(server);
    server_note_sending(server);
    server->min_position = position_or_none(after);
    bring_setup(server, session);
    server->running_writes = false;
    bool begins = session->transaction == SESSION_TRANSACTION_REQUESTED;
    operation_timing_enter(&session->timing, begins ? STAGE_BEGIN : STAGE_DATABASE,
                           server->sent_at);
    if (begins) {
        /* The statement waits for the answer: behind a failed beginning it would run alone. */
        wire_write_begin(&server->out, session->read_only, after);
        server_expect(server, EXPECT_BEGIN);
    } else {
        server_write_statement(server, session, after);
    }
    server_flush(server);
}

void
server_query_status(struct server *server)
{
    server->state = SERVER_RUNNING;
    server_count_in_flight(server, true);
    server_clear_answer(server);
    server_note_sending(server);
    server->running_writes = false;
    server->wrote = false;
    server->checking = true;
    server->has_report = false;
    wire_write_status(&server->out);
    server_expect(server, EXPECT_STATUS);
    server_flush(server);
}
