/* The baseline client: the same operations directly on a database over libpq, without a daemon. It
 * has neither keys nor sessions, so it never retries a write. */
#include <libpq-fe.h>
#include <string.h>

#include "load/client.h"

struct direct_client {
    struct client base;
    PGconn *connection; /* NULL until the first call and after a failure */
};

static void disconnect(struct direct_client *self)
{
    PQfinish(self->connection);
    self->connection = NULL;
}

static bool ensure_connected(struct direct_client *self, const char *address)
{
    if (self->connection != NULL) {
        return true;
    }
    const char *separator = strrchr(address, ':');
    if (separator == NULL) {
        return false;
    }
    g_autofree char *host = g_strndup(address, (gsize)(separator - address));
    const char *names[] = {"host", "port", "user", "dbname", "sslmode", "gssencmode", NULL};
    const char *values[] = {host,      separator + 1, "swiftworks", "swiftworks",
                            "disable", "disable",     NULL};
    self->connection = PQconnectdbParams(names, values, 0);
    if (PQstatus(self->connection) != CONNECTION_OK) {
        disconnect(self);
        return false;
    }
    return true;
}

static PGresult *run_statement(struct direct_client *self,
                               const struct operation_statement *statement)
{
    const char *values[OPERATION_PARAMETERS_MAX];
    for (uint32_t i = 0; i < statement->parameter_count; i++) {
        values[i] = statement->parameters[i].text;
    }
    return PQexecParams(self->connection, statement->sql, (int)statement->parameter_count, NULL,
                        values, NULL, NULL, 0);
}

static bool run_command(struct direct_client *self, const char *sql)
{
    PGresult *result = PQexec(self->connection, sql);
    bool done = PQresultStatus(result) == PGRES_COMMAND_OK;
    PQclear(result);
    return done;
}

static void copy_rows(const PGresult *result, struct client_answer *answer)
{
    answer->rows = g_ptr_array_new_with_free_func(g_free);
    for (int row = 0; row < PQntuples(result); row++) {
        g_ptr_array_add(answer->rows, g_strdup(PQgetvalue(result, row, 0)));
    }
}

/* Runs the statements of an operation; false at the first failure. */
static bool run_statements(struct direct_client *self, const struct operation *operation,
                           struct client_answer *answer)
{
    for (uint32_t i = 0; i < operation->statement_count; i++) {
        PGresult *result = run_statement(self, &operation->statements[i]);
        ExecStatusType status = PQresultStatus(result);
        bool done = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
        if (done && operation->kind == OPERATION_READ) {
            copy_rows(result, answer);
        }
        PQclear(result);
        if (!done) {
            return false;
        }
    }
    return true;
}

static bool run_operation(struct direct_client *self, const struct operation *operation,
                          struct client_answer *answer)
{
    if (operation->kind != OPERATION_BATCH) {
        return run_statements(self, operation, answer);
    }
    return run_command(self, "BEGIN") && run_statements(self, operation, answer) &&
           run_command(self, "COMMIT");
}

static void direct_client_call(struct client *client, const struct client_request *request,
                               struct client_answer *answer)
{
    struct direct_client *self = (struct direct_client *)client;
    if (!ensure_connected(self, request->address)) {
        answer->outcome = ATTEMPT_NOT_SENT;
        return;
    }
    if (run_operation(self, request->operation, answer)) {
        answer->outcome = ATTEMPT_DONE;
        return;
    }
    answer->text = g_strdup(PQerrorMessage(self->connection));
    answer->outcome = ATTEMPT_LOST;
    disconnect(self);
}

static void direct_client_free(struct client *client)
{
    struct direct_client *self = (struct direct_client *)client;
    disconnect(self);
    g_free(self);
}

struct client *direct_client_new(void)
{
    struct direct_client *self = g_new0(struct direct_client, 1);
    self->base.call = direct_client_call;
    self->base.free = direct_client_free;
    return &self->base;
}
