/* The simple and the extended query protocol of a session. See session.h. */
#include "session.h"

#include <string.h>

#include "advisory.h"
#include "control.h"

/* Size of the output buffer above which it is sent without a Flush or Sync message. */
#define FLUSH_SIZE (1u << 20)

/* First statement of the daemons' maintenance transaction, which deletes old keys from the ledger.
 */
#define LEDGER_MAINTENANCE_SQL "DELETE FROM swiftworks_ledger"

void session_fail(struct session *session, struct sql_error *error)
{
    message_error(session->out, "ERROR", error);
    sql_error_clear(error);
    bool open = session->transaction.state == TRANSACTION_OPEN ||
                session->transaction.state == TRANSACTION_FAILED;
    database_rollback(session->server->database, &session->transaction);
    session->transaction.state = open ? TRANSACTION_FAILED : TRANSACTION_IDLE;
}

bool session_end_implicit(struct session *session, struct sql_error *error)
{
    if (session->transaction.state != TRANSACTION_IMPLICIT) {
        return true;
    }
    return database_commit(session->server->database, &session->transaction, error);
}

static void begin(struct session *session, const struct statement *statement)
{
    if (session->transaction.state != TRANSACTION_OPEN) {
        session->transaction.read_only = statement->read_only;
        session->transaction.repeatable = statement->snapshot;
    }
    session->transaction.state = TRANSACTION_OPEN;
    message_command_complete(session->out, "BEGIN");
}

static void rollback(struct session *session)
{
    database_rollback(session->server->database, &session->transaction);
    message_command_complete(session->out, "ROLLBACK");
}

static bool commit(struct session *session, struct sql_error *error)
{
    if (session->transaction.state == TRANSACTION_FAILED) {
        rollback(session);
        return true;
    }
    if (session->transaction.state == TRANSACTION_OPEN) {
        slots_pass(&session->server->slots, &session->interrupt);
    }
    if (!database_commit(session->server->database, &session->transaction, error)) {
        return false;
    }
    message_command_complete(session->out, "COMMIT");
    return true;
}

/* Applies the one known parameter, for the transaction only. Others are accepted and ignored. */
static void set_parameter(struct session *session, const struct statement *statement)
{
    const char *known = "SET LOCAL " IDLE_TRANSACTION_PARAMETER " = ";
    if (g_str_has_prefix(statement->text, known)) {
        const char *number = statement->text + strlen(known);
        session->transaction.idle_ms = g_ascii_strtoll(number, NULL, 10);
    }
    message_command_complete(session->out, statement->tag);
}

static void complete(struct session *session, const struct statement *statement,
                     const struct result *result)
{
    g_autofree char *tag = NULL;
    if (g_str_equal(statement->tag, "INSERT")) {
        tag = g_strdup_printf("INSERT 0 %" G_GUINT64_FORMAT, result->changes);
    } else if (g_str_equal(statement->tag, "UPDATE") || g_str_equal(statement->tag, "DELETE")) {
        tag = g_strdup_printf("%s %" G_GUINT64_FORMAT, statement->tag, result->changes);
    } else if (g_str_equal(statement->tag, "SELECT")) {
        tag = g_strdup_printf("SELECT %" G_GUINT64_FORMAT, result->rows);
    } else {
        tag = g_strdup(statement->tag);
    }
    message_command_complete(session->out, tag);
}

/* Runs a statement after it has held a slot for the service time. */
static bool execute_in_slot(struct session *session, const struct statement *statement,
                            const struct parameters *parameters, struct result *result,
                            struct sql_error *error)
{
    slots_pass(&session->server->slots, &session->interrupt);
    if (atomic_load(&session->interrupt.cancelled)) {
        return sql_error_set(error, "57014", "canceling statement due to user request");
    }
    if (session->transaction.state == TRANSACTION_IDLE) {
        session->transaction.state = TRANSACTION_IMPLICIT;
    }
    return database_execute(session->server->database, &session->transaction, statement, parameters,
                            result, error);
}

/* Runs a statement that may return rows. */
static bool run_sql(struct session *session, const struct statement *statement,
                    const struct parameters *parameters, bool describe, struct sql_error *error)
{
    struct result result;
    result_init(&result);
    bool done = false;
    if (statement->command == STATEMENT_CONTROL) {
        done = control_execute(session->server->database, &session->transaction, statement,
                               parameters, &result, error);
    } else if (statement->command == STATEMENT_ADVISORY) {
        done = advisory_execute(session, statement, parameters, &result, error);
    } else {
        done = execute_in_slot(session, statement, parameters, &result, error);
    }
    if (done) {
        if (describe && result.names->len > 0) {
            message_row_description(session->out, &result);
        }
        message_data_rows(session->out, &result);
        complete(session, statement, &result);
    }
    result_clear(&result);
    return done;
}

static bool check_not_failed(const struct session *session, const struct statement *statement,
                             struct sql_error *error)
{
    bool ends = statement->command == STATEMENT_COMMIT || statement->command == STATEMENT_ROLLBACK;
    if (session->transaction.state != TRANSACTION_FAILED || ends) {
        return true;
    }
    return sql_error_set(error, "25P02",
                         "current transaction is aborted, commands ignored until end of "
                         "transaction block");
}

static bool run_statement(struct session *session, const struct statement *statement,
                          const struct parameters *parameters, bool describe,
                          struct sql_error *error)
{
    switch (statement->command) {
    case STATEMENT_EMPTY:
        message_simple(session->out, 'I');
        return true;
    case STATEMENT_BEGIN:
        begin(session, statement);
        return true;
    case STATEMENT_COMMIT:
        return commit(session, error);
    case STATEMENT_ROLLBACK:
        rollback(session);
        return true;
    case STATEMENT_SET:
        set_parameter(session, statement);
        return true;
    case STATEMENT_REFUSED:
        return sql_error_set(error, "0A000", "%s is not supported", statement->tag);
    case STATEMENT_CONTROL:
    case STATEMENT_ADVISORY:
    case STATEMENT_SQL:
        return run_sql(session, statement, parameters, describe, error);
    }
    return false;
}

/* True for the COMMIT of a transaction that changed nothing or that began with the deletion of old
 * keys. The daemons run this maintenance of the ledger beside requests at any time, and planned
 * faults must not hit it. */
static bool ends_ledger_maintenance(const struct session *session,
                                    const struct statement *statement)
{
    const struct transaction *transaction = &session->transaction;
    if (statement->command != STATEMENT_COMMIT || transaction->read_only) {
        return false;
    }
    if (!transaction->writing || transaction->entry->statements->len == 0) {
        return true;
    }
    const struct log_statement *first = g_ptr_array_index(transaction->entry->statements, 0);
    return g_str_has_prefix(first->sql, LEDGER_MAINTENANCE_SQL);
}

/* Chooses the fault for the answer to a statement, if one is planned. Plans are meant for the
 * statements of requests only. */
static void choose_answer_fault(struct session *session, const struct statement *statement)
{
    pthread_mutex_lock(&session->server->database->lock);
    bool maintenance = ends_ledger_maintenance(session, statement);
    pthread_mutex_unlock(&session->server->database->lock);
    if (maintenance) {
        return;
    }
    enum answer_fault fault = faults_next_answer(&session->server->faults, statement->text);
    if (fault != ANSWER_FAULT_NONE) {
        session->answer_fault = fault;
    }
}

bool session_execute(struct session *session, const struct statement *statement,
                     const struct parameters *parameters, bool describe, struct sql_error *error)
{
    faults_wait(&session->server->faults, session->zone, &session->interrupt);
    faults_wait_held(&session->server->faults, statement->text, &session->interrupt);
    if (!check_not_failed(session, statement, error)) {
        return false;
    }
    choose_answer_fault(session, statement);
    return run_statement(session, statement, parameters, describe, error);
}

void session_simple_query(struct session *session, struct message_reader *reader)
{
    struct sql_error error = {0};
    struct parameters *none = parameters_new();
    g_autoptr(GPtrArray) statements = statement_split(message_read_string(reader));
    bool done = true;
    for (guint i = 0; done && i < statements->len; i++) {
        done = session_execute(session, g_ptr_array_index(statements, i), none, true, &error);
    }
    done = done && session_end_implicit(session, &error);
    if (!done) {
        session_fail(session, &error);
    }
    parameters_free(none);
    session_ready(session);
}

static struct statement *parse_one(const char *text, struct sql_error *error)
{
    g_autoptr(GPtrArray) statements = statement_split(text);
    if (statements->len != 1) {
        sql_error_set(error, "42601", "cannot insert multiple commands into a prepared statement");
        return NULL;
    }
    return g_ptr_array_steal_index(statements, 0);
}

static bool handle_parse(struct session *session, struct message_reader *reader,
                         struct sql_error *error)
{
    const char *name = message_read_string(reader);
    const char *text = message_read_string(reader);
    if (name[0] != '\0' && g_hash_table_contains(session->prepared, name)) {
        return sql_error_set(error, "42P05", "prepared statement \"%s\" already exists", name);
    }
    struct statement *statement = parse_one(text, error);
    if (statement == NULL) {
        return false;
    }
    struct prepared *prepared = g_new0(struct prepared, 1);
    prepared->statement = statement;
    prepared->oids = g_array_copy(statement->parameter_oids);
    guint16 count = message_read_int16(reader);
    for (guint i = 0; i < count; i++) {
        guint oid = message_read_int32(reader);
        if (i >= prepared->oids->len) {
            g_array_append_val(prepared->oids, oid);
        } else if (oid != 0) {
            g_array_index(prepared->oids, guint, i) = oid;
        }
    }
    g_hash_table_replace(session->prepared, g_strdup(name), prepared);
    message_simple(session->out, '1');
    return true;
}

/* Reads a list of format codes. Only text (0) is supported. */
static bool read_formats(struct message_reader *reader, struct sql_error *error)
{
    guint16 count = message_read_int16(reader);
    for (guint i = 0; i < count; i++) {
        if (message_read_int16(reader) != 0) {
            return sql_error_set(error, "0A000", "binary format is not supported");
        }
    }
    return true;
}

static struct parameters *read_parameters(struct message_reader *reader, const GArray *oids)
{
    struct parameters *parameters = parameters_new();
    guint16 count = message_read_int16(reader);
    for (guint i = 0; i < count && !reader->malformed; i++) {
        guint32 length = message_read_int32(reader);
        bool is_null = length == (guint32)-1;
        g_autofree char *value = is_null ? NULL : message_read_text(reader, length);
        guint oid = i < oids->len ? g_array_index(oids, guint, i) : 0;
        parameters_add(parameters, value, oid);
    }
    return parameters;
}

static bool handle_bind(struct session *session, struct message_reader *reader,
                        struct sql_error *error)
{
    const char *portal_name = message_read_string(reader);
    const char *name = message_read_string(reader);
    const struct prepared *prepared = g_hash_table_lookup(session->prepared, name);
    if (prepared == NULL) {
        return sql_error_set(error, "26000", "prepared statement \"%s\" does not exist", name);
    }
    if (!read_formats(reader, error)) {
        return false;
    }
    struct parameters *parameters = read_parameters(reader, prepared->oids);
    if (!read_formats(reader, error)) {
        parameters_free(parameters);
        return false;
    }
    struct portal *portal = g_new0(struct portal, 1);
    portal->statement = parse_one(prepared->statement->text, error);
    portal->parameters = parameters;
    g_hash_table_replace(session->portals, g_strdup(portal_name), portal);
    message_simple(session->out, '2');
    return true;
}

static bool describe_columns(struct session *session, const struct statement *statement,
                             const struct parameters *parameters, struct sql_error *error)
{
    struct result result;
    result_init(&result);
    bool done = true;
    if (statement->command == STATEMENT_CONTROL) {
        done = control_describe(statement, &result, error);
    } else if (statement->command == STATEMENT_ADVISORY) {
        done = advisory_describe(statement, &result, error);
    } else if (statement->command == STATEMENT_SQL) {
        done = database_describe(session->server->database, &session->transaction, statement,
                                 parameters, &result, error);
    }
    if (done && result.names->len > 0) {
        message_row_description(session->out, &result);
    } else if (done) {
        message_simple(session->out, 'n');
    }
    result_clear(&result);
    return done;
}

static bool describe_prepared(struct session *session, const char *name, struct sql_error *error)
{
    const struct prepared *prepared = g_hash_table_lookup(session->prepared, name);
    if (prepared == NULL) {
        return sql_error_set(error, "26000", "prepared statement \"%s\" does not exist", name);
    }
    if (!check_not_failed(session, prepared->statement, error)) {
        return false;
    }
    message_parameter_description(session->out, prepared->oids);
    return describe_columns(session, prepared->statement, NULL, error);
}

static const struct portal *find_portal(struct session *session, const char *name,
                                        struct sql_error *error)
{
    const struct portal *portal = g_hash_table_lookup(session->portals, name);
    if (portal == NULL) {
        sql_error_set(error, "34000", "portal \"%s\" does not exist", name);
    }
    return portal;
}

static bool handle_describe(struct session *session, struct message_reader *reader,
                            struct sql_error *error)
{
    char kind = (char)message_read_byte(reader);
    const char *name = message_read_string(reader);
    if (kind == 'S') {
        return describe_prepared(session, name, error);
    }
    const struct portal *portal = find_portal(session, name, error);
    return portal != NULL && check_not_failed(session, portal->statement, error) &&
           describe_columns(session, portal->statement, portal->parameters, error);
}

static bool handle_execute(struct session *session, struct message_reader *reader,
                           struct sql_error *error)
{
    const struct portal *portal = find_portal(session, message_read_string(reader), error);
    if (portal == NULL) {
        return false;
    }
    if (message_read_int32(reader) != 0) {
        return sql_error_set(error, "0A000", "a limit of rows is not supported");
    }
    return session_execute(session, portal->statement, portal->parameters, false, error);
}

static bool handle_close(struct session *session, struct message_reader *reader)
{
    char kind = (char)message_read_byte(reader);
    const char *name = message_read_string(reader);
    g_hash_table_remove(kind == 'S' ? session->prepared : session->portals, name);
    message_simple(session->out, '3');
    return true;
}

static void handle_sync(struct session *session)
{
    struct sql_error error = {0};
    if (!session_end_implicit(session, &error)) {
        session_fail(session, &error);
    }
    session->skip_to_sync = false;
    g_hash_table_remove_all(session->portals);
    session_ready(session);
}

static bool handle_extended(struct session *session, char type, struct message_reader *reader,
                            struct sql_error *error)
{
    switch (type) {
    case 'P':
        return handle_parse(session, reader, error);
    case 'B':
        return handle_bind(session, reader, error);
    case 'D':
        return handle_describe(session, reader, error);
    case 'E':
        return handle_execute(session, reader, error);
    case 'C':
        return handle_close(session, reader);
    default:
        return sql_error_set(error, "08P01", "invalid frontend message type %d", type);
    }
}

void session_extended_query(struct session *session, char type, struct message_reader *reader)
{
    if (type == 'S') {
        handle_sync(session);
        return;
    }
    if (type == 'H') {
        session_flush(session);
        return;
    }
    if (session->skip_to_sync) {
        return;
    }
    struct sql_error error = {0};
    bool done = handle_extended(session, type, reader, &error);
    if (done && reader->malformed) {
        done = sql_error_set(&error, "08P01", "malformed message");
    }
    if (!done) {
        session->skip_to_sync = true;
        session_fail(session, &error);
    }
    if (session->out->len > FLUSH_SIZE) {
        session_flush(session);
    }
}
