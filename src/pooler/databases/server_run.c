/* Sending of a session's statement to a database, after the session values and the prepared
 * statement that it needs; see server.c. */
#define G_LOG_DOMAIN "server"
#include "pooler/databases/server_internal.h"

#include <string.h>

/* Number of statements prepared on one connection above which all are dropped. */
#define PREPARED_MAX 256

/* True if the connection has too many prepared statements, or a session value that the session does
 * not have, which only a reset removes. */
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
send_values(struct server *server, const struct session *session)
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
send_setup(struct server *server, const struct session *session)
{
    if (!server->in_transaction && needs_reset(server, session)) {
        wire_write_reset(&server->out);
        server_expect(server, EXPECT_SETUP);
        g_hash_table_remove_all(server->values);
        g_hash_table_remove_all(server->prepared);
    }
    send_values(server, session);
}

/* Prepares the session's statement on the connection if necessary. Returns its name there. */
static const char *
ensure_prepared(struct server *server, const struct prepared *prepared)
{
    g_autofree char *key = g_strconcat(prepared->writes ? "w " : "r ", prepared->shape, NULL);
    const char *name = g_hash_table_lookup(server->prepared, key);
    if (name != NULL) {
        return name;
    }
    char *new_name = g_strdup_printf("p%u", ++server->prepared_count);
    wire_write_prepare(&server->out, new_name, prepared->writes, span_of(prepared->shape));
    server_expect(server, EXPECT_SETUP);
    g_hash_table_insert(server->prepared, g_steal_pointer(&key), new_name);
    return new_name;
}

void
server_write_statement(struct server *server, struct session *session,
                       const struct log_position *min_position)
{
    const struct statement *statement = &session->request.statement;
    if (statement->kind == STATEMENT_EXECUTE) {
        g_autofree char *name = span_copy(statement->name);
        const struct prepared *prepared = g_hash_table_lookup(session->prepared, name);
        const char *server_name = ensure_prepared(server, prepared);
        wire_write_execute(&server->out, statement->id, min_position, server_name,
                           statement->value);
    } else {
        wire_write_statement(&server->out, statement->id, min_position, statement->text);
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
position_or_zero(const struct log_position *position)
{
    struct log_position none = {0};
    return position == NULL ? none : *position;
}

void
server_run(struct server *server, struct session *session, const struct log_position *min_position)
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
    server->min_position = position_or_zero(min_position);
    send_setup(server, session);
    server->running_writes = false;
    bool begins = session->transaction == SESSION_TRANSACTION_REQUESTED;
    operation_timing_enter(&session->timing, begins ? STAGE_BEGIN : STAGE_DATABASE,
                           server->sent_at);
    if (begins) {
        /* The statement is sent after the answer to BEGIN: after a failed BEGIN it would run
         * outside of a transaction. */
        wire_write_begin(&server->out, session->read_only, min_position);
        server_expect(server, EXPECT_BEGIN);
    } else {
        server_write_statement(server, session, min_position);
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
