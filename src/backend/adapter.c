#include "backend/adapter.h"

#include <string.h>

#include "backend/adapter_internal.h"

#define COMMAND_PARAMETERS_MAX 3

/* SQL text of a command and its number of parameters. */
struct command_text {
    const char *sql;
    size_t parameters_count;
};

static const struct command_text COMMAND_TEXTS[] = {
    [ADAPTER_COMMAND_STATUS] = {SQL_STATUS_RECORD, 0},
    [ADAPTER_COMMAND_FENCE] = {"SELECT * FROM swiftworks_fence($1, $2)", 2},
    [ADAPTER_COMMAND_PROMOTE] = {"SELECT * FROM swiftworks_promote($1, $2)", 2},
    [ADAPTER_COMMAND_FOLLOW] = {"SELECT * FROM swiftworks_follow($1, $2, $3)", 3},
    [ADAPTER_COMMAND_SET_LEAVING] = {"SELECT * FROM swiftworks_set_leaving($1, $2)", 2},
    [ADAPTER_COMMAND_WAIT_HELD] = {"SELECT * FROM swiftworks_wait_held($1, $2, $3)", 3},
    [ADAPTER_COMMAND_WAIT_APPLIED] = {"SELECT * FROM swiftworks_wait_applied($1, $2, $3)", 3},
};

/* SQLSTATEs that are mapped to their own results. */
#define SQLSTATE_READ_ONLY             "25006"
#define SQLSTATE_SERIALIZATION_FAILURE "40001"
#define SQLSTATE_DEADLOCK              "40P01"
#define SQLSTATE_LOCK_NOT_AVAILABLE    "55P03"
#define SQLSTATE_TOO_MANY_CONNECTIONS  "53300"

const char *execute_result_name(enum execute_result result)
{
    static const char *const names[] = {
        [EXECUTE_DONE] = "done",
        [EXECUTE_GUARD_SHORT] = "guard_short",
        [EXECUTE_NOT_SENT] = "not_sent",
        [EXECUTE_LOST] = "lost",
        [EXECUTE_FAILED] = "failed",
        [EXECUTE_CONFLICT] = "conflict",
        [EXECUTE_NOT_PRIMARY] = "not_primary",
        [EXECUTE_ALREADY_DONE] = "already_done",
        [EXECUTE_KEY_CLOSED] = "key_closed",
        [EXECUTE_KEY_REUSED] = "key_reused",
        [EXECUTE_ANSWER_TOO_LARGE] = "answer_too_large",
    };
    return result < G_N_ELEMENTS(names) ? names[result] : "invalid";
}

void execute_answer_init(struct execute_answer *answer)
{
    memset(answer, 0, sizeof *answer);
}

void execute_answer_clear(struct execute_answer *answer)
{
    for (size_t i = 0; i < answer->results_count; i++) {
        sql_result_clear(&answer->results[i]);
    }
    g_free(answer->results);
    g_free(answer->error_text);
    execute_answer_init(answer);
}

bool adapter_send_simple(struct backend_connection *connection, const char *sql)
{
    return pipeline_send(connection, sql, NULL, 0);
}

bool adapter_send_statements(struct backend_connection *connection,
                             const struct sql_statement *statements, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const struct sql_statement *statement = &statements[i];
        const char *sql = statement->sql != NULL ? statement->sql : "";
        if (!pipeline_send(connection, sql, statement->parameters, statement->parameters_count)) {
            return false;
        }
    }
    return true;
}

/* The text of a named column in a one-row result; NULL if it is missing or null. */
static const char *cell_text(const struct sql_result *result, const char *column)
{
    if (result->rows_count != 1) {
        return NULL;
    }
    const struct sql_row *row = &result->rows[0];
    for (size_t i = 0; i < result->columns_count && i < row->cells_count; i++) {
        if (g_strcmp0(result->columns[i].name, column) == 0) {
            return row->cells[i].is_null ? NULL : row->cells[i].text;
        }
    }
    return NULL;
}

static bool parse_number(const struct sql_result *result, const char *column, uint64_t *number)
{
    const char *text = cell_text(result, column);
    return text != NULL && g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, number, NULL);
}

bool adapter_parse_position(const struct sql_result *result, struct log_position *position)
{
    return parse_number(result, "term", &position->term) &&
           parse_number(result, "offset", &position->offset);
}

static enum database_role parse_role(const char *text)
{
    if (g_strcmp0(text, "primary") == 0) {
        return DATABASE_ROLE_PRIMARY;
    }
    if (g_strcmp0(text, "replica") == 0) {
        return DATABASE_ROLE_REPLICA;
    }
    return DATABASE_ROLE_UNKNOWN;
}

/* Fields of a status in the text form of a row, "(replica,3,3,2,44,2,44,f,...)". */
enum status_field {
    STATUS_FIELD_ROLE,
    STATUS_FIELD_TERM,
    STATUS_FIELD_PROMISED_TERM,
    STATUS_FIELD_HELD_TERM,
    STATUS_FIELD_HELD_OFFSET,
    STATUS_FIELD_APPLIED_TERM,
    STATUS_FIELD_APPLIED_OFFSET,
    STATUS_FIELD_LEAVING,
    STATUS_FIELD_COUNT,
    STATUS_FIELD_LEAVING_ORDER = STATUS_FIELD_COUNT, /* may be left out */
};

static bool parse_field(char *const *fields, enum status_field field, uint64_t *number)
{
    return g_ascii_string_to_unsigned(fields[field], 10, 0, G_MAXINT64, number, NULL);
}

/* Splitting at commas is safe: no value of a status field contains a character that the text form
 * of a row would quote. */
static bool parse_status_record(const char *text, struct database_status *status)
{
    if (text == NULL || text[0] != '(' || !g_str_has_suffix(text, ")")) {
        return false;
    }
    g_autofree char *inside = g_strndup(text + 1, strlen(text) - 2);
    g_auto(GStrv) fields = g_strsplit(inside, ",", STATUS_FIELD_LEAVING_ORDER + 2);
    guint count = g_strv_length(fields);
    if (count < STATUS_FIELD_COUNT) {
        return false;
    }
    if (count > STATUS_FIELD_LEAVING_ORDER) {
        parse_field(fields, STATUS_FIELD_LEAVING_ORDER, &status->leaving_order);
    }
    status->role = parse_role(fields[STATUS_FIELD_ROLE]);
    status->leaving = g_str_equal(fields[STATUS_FIELD_LEAVING], "t");
    return parse_field(fields, STATUS_FIELD_TERM, &status->term) &&
           parse_field(fields, STATUS_FIELD_PROMISED_TERM, &status->promised_term) &&
           parse_field(fields, STATUS_FIELD_HELD_TERM, &status->held.term) &&
           parse_field(fields, STATUS_FIELD_HELD_OFFSET, &status->held.offset) &&
           parse_field(fields, STATUS_FIELD_APPLIED_TERM, &status->applied.term) &&
           parse_field(fields, STATUS_FIELD_APPLIED_OFFSET, &status->applied.offset);
}

bool adapter_parse_status(const struct sql_result *result, struct database_status *status)
{
    memset(status, 0, sizeof *status);
    if (result->columns_count == 1 && result->rows_count == 1) {
        return parse_status_record(result->rows[0].cells[0].text, status);
    }
    status->role = parse_role(cell_text(result, "role"));
    status->leaving = g_strcmp0(cell_text(result, "leaving"), "t") == 0;
    parse_number(result, "leaving_order", &status->leaving_order);
    return parse_number(result, "term", &status->term) &&
           parse_number(result, "promised_term", &status->promised_term) &&
           parse_number(result, "held_term", &status->held.term) &&
           parse_number(result, "held_offset", &status->held.offset) &&
           parse_number(result, "applied_term", &status->applied.term) &&
           parse_number(result, "applied_offset", &status->applied.offset);
}

/* Maps an SQLSTATE to a result, given that the error rolled the transaction back. */
static enum execute_result result_of_sqlstate(const char *sqlstate)
{
    if (strcmp(sqlstate, SQLSTATE_READ_ONLY) == 0) {
        return EXECUTE_NOT_PRIMARY;
    }
    if (strcmp(sqlstate, SQLSTATE_SERIALIZATION_FAILURE) == 0 ||
        strcmp(sqlstate, SQLSTATE_DEADLOCK) == 0 ||
        strcmp(sqlstate, SQLSTATE_LOCK_NOT_AVAILABLE) == 0) {
        return EXECUTE_CONFLICT;
    }
    if (strcmp(sqlstate, SQLSTATE_TOO_MANY_CONNECTIONS) == 0) {
        return EXECUTE_NOT_SENT;
    }
    return EXECUTE_FAILED;
}

enum execute_result adapter_set_database_error(const struct query_reply *reply,
                                               struct execute_answer *answer)
{
    g_free(answer->error_text);
    answer->error_text = g_strdup(reply->error_text);
    g_strlcpy(answer->sqlstate, reply->sqlstate, sizeof answer->sqlstate);
    answer->error_position = reply->error_position;
    return result_of_sqlstate(reply->sqlstate);
}

void adapter_move_results(struct query_reply *replies, size_t count, struct execute_answer *answer)
{
    answer->results = g_new0(struct sql_result, count);
    answer->results_count = count;
    for (size_t i = 0; i < count; i++) {
        answer->results[i] = replies[i].result;
        sql_result_init(&replies[i].result);
    }
}

void adapter_set_protocol_error(struct backend_connection *connection, const char *text,
                                struct execute_answer *answer)
{
    backend_connection_break(connection);
    g_free(answer->error_text);
    answer->error_text = g_strdup(text);
}

void adapter_set_loss_error(const struct backend_connection *connection,
                            struct execute_answer *answer)
{
    if (answer->error_text != NULL) {
        return;
    }
    g_autofree char *text = backend_connection_error(connection);
    answer->error_text =
        text[0] != '\0' ? g_steal_pointer(&text) : g_strdup("no answer before the deadline");
}

void adapter_abort_transaction(struct backend_connection *connection, time_ns deadline)
{
    struct query_reply reply;
    if (connection->state == CONNECTION_STATE_BROKEN ||
        PQtransactionStatus(connection->pg) == PQTRANS_IDLE) {
        return;
    }
    if (!adapter_send_simple(connection, "ROLLBACK")) {
        return;
    }
    pipeline_finish(connection, deadline, NULL, &reply, 1);
    pipeline_replies_clear(&reply, 1);
    if (PQtransactionStatus(connection->pg) != PQTRANS_IDLE) {
        backend_connection_break(connection);
    }
}

/* Queues a query with `count` text parameters; a NULL text is the SQL value NULL. */
static bool send_with_texts(struct backend_connection *connection, const char *sql,
                            const char *const *texts, size_t count)
{
    struct sql_value parameters[COMMAND_PARAMETERS_MAX];
    for (size_t i = 0; i < count; i++) {
        parameters[i].is_null = texts[i] == NULL;
        parameters[i].text = (char *)texts[i];
    }
    return pipeline_send(connection, sql, parameters, count);
}

bool adapter_send(struct backend_connection *connection, const struct adapter_call *call)
{
    const struct command_text *command = &COMMAND_TEXTS[call->command];
    const char *texts[COMMAND_PARAMETERS_MAX] = {NULL};
    char term[NUMBER_TEXT_SIZE];
    char offset[NUMBER_TEXT_SIZE];
    char wait_ms[NUMBER_TEXT_SIZE];
    char order[NUMBER_TEXT_SIZE];
    bool waits =
        call->command == ADAPTER_COMMAND_WAIT_HELD || call->command == ADAPTER_COMMAND_WAIT_APPLIED;
    uint64_t term_number = waits ? call->position.term : call->term;
    g_snprintf(term, sizeof term, "%" G_GUINT64_FORMAT, term_number);
    g_snprintf(offset, sizeof offset, "%" G_GUINT64_FORMAT, call->position.offset);
    g_snprintf(wait_ms, sizeof wait_ms, "%u", (unsigned)call->wait_ms);
    g_snprintf(order, sizeof order, "%" G_GUINT64_FORMAT, call->order);
    const char *coordinator = call->coordinator != NULL ? call->coordinator : "";
    texts[0] = term;
    if (call->command == ADAPTER_COMMAND_SET_LEAVING) {
        texts[0] = call->leaving ? "t" : "f";
        texts[1] = order;
    } else if (call->command == ADAPTER_COMMAND_FOLLOW) {
        texts[1] = call->address;
        texts[2] = coordinator;
    } else if (waits) {
        texts[1] = offset;
        texts[2] = wait_ms;
    } else {
        texts[1] = coordinator;
    }
    return send_with_texts(connection, command->sql, texts, command->parameters_count);
}

bool adapter_send_wait_applied(struct backend_connection *connection, struct log_position position,
                               uint32_t wait_ms)
{
    struct adapter_call call = {
        .command = ADAPTER_COMMAND_WAIT_APPLIED,
        .position = position,
        .wait_ms = wait_ms,
    };
    return adapter_send(connection, &call);
}

/* Handles the reply to a command. */
static enum execute_result handle_command_reply(struct backend_connection *connection,
                                                const struct query_reply *reply,
                                                struct execute_answer *answer)
{
    if (reply->status == QUERY_STATUS_ERROR) {
        adapter_set_database_error(reply, answer);
        return EXECUTE_FAILED;
    }
    if (!adapter_parse_status(&reply->result, &answer->status)) {
        adapter_set_protocol_error(connection, "unexpected answer: not a status row", answer);
        return EXECUTE_LOST;
    }
    return EXECUTE_DONE;
}

enum execute_result adapter_run(struct backend_connection *connection,
                                const struct adapter_call *call, time_ns deadline,
                                struct execute_answer *answer)
{
    struct query_reply reply;
    enum execute_result result = EXECUTE_LOST;
    execute_answer_clear(answer);
    adapter_send(connection, call);
    if (pipeline_finish(connection, deadline, NULL, &reply, 1) == PIPELINE_COMPLETE) {
        result = handle_command_reply(connection, &reply, answer);
    } else {
        adapter_set_loss_error(connection, answer);
    }
    pipeline_replies_clear(&reply, 1);
    return result;
}
