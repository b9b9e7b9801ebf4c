#include "backend/pipeline.h"

#include <poll.h>
#include <string.h>

#include "backend/clock.h"

/* Bounds of the message schema: a result over these could not be forwarded. */
#define SCHEMA_ROWS_MAX    10000
#define SCHEMA_COLUMNS_MAX 256
#define SCHEMA_CELL_MAX    1048576
#define CELL_OVERHEAD      8
/* An answer over its limit is read to its end, without keeping it, up to this multiple: closing the
 * connection costs the database more than the rest of a slightly too large answer. */
#define DISCARD_FACTOR    4
#define BYTES_MAX_DEFAULT (16 * 1024 * 1024)

/* Progress of reading one batch. */
struct reader {
    struct backend_connection *connection;
    time_ns deadline;
    size_t rows_max;
    size_t bytes_max;
    size_t rows;
    size_t bytes;
    bool too_large;
};

bool pipeline_send(struct backend_connection *connection, const char *sql,
                   const struct sql_value *parameters, size_t parameters_count)
{
    if (connection->state == CONNECTION_STATE_BROKEN) {
        return false;
    }
    g_autofree const char **values = g_new0(const char *, parameters_count + 1);
    for (size_t i = 0; i < parameters_count; i++) {
        const char *text = parameters[i].text != NULL ? parameters[i].text : "";
        values[i] = parameters[i].is_null ? NULL : text;
    }
    connection->unread_answers++;
    if (PQsendQueryParams(connection->pg, sql, (int)parameters_count, NULL, values, NULL, NULL,
                          0) != 1) {
        backend_connection_break(connection);
        return false;
    }
    return true;
}

/* Sends what is queued, reading meanwhile so that neither side blocks on a full socket. */
static bool flush(struct reader *reader)
{
    PGconn *pg = reader->connection->pg;
    for (;;) {
        int pending = PQflush(pg);
        if (pending == 0) {
            return true;
        }
        if (pending < 0 ||
            !backend_connection_wait(reader->connection, POLLIN | POLLOUT, reader->deadline)) {
            return false;
        }
        if (PQconsumeInput(pg) != 1) {
            return false;
        }
    }
}

/* Waits until libpq has a result, or knows that there is none. */
static bool wait_for_result(struct reader *reader)
{
    PGconn *pg = reader->connection->pg;
    while (PQisBusy(pg)) {
        if (!backend_connection_wait(reader->connection, POLLIN, reader->deadline)) {
            return false;
        }
        if (PQconsumeInput(pg) != 1) {
            return false;
        }
    }
    return true;
}

static void copy_columns(const PGresult *from, struct sql_result *to)
{
    to->columns_count = (size_t)PQnfields(from);
    to->columns = g_new0(struct sql_column, to->columns_count);
    for (size_t i = 0; i < to->columns_count; i++) {
        to->columns[i].name = g_strdup(PQfname(from, (int)i));
        to->columns[i].type_oid = PQftype(from, (int)i);
    }
}

/* Counts a row against the limits; false if it must not be kept. */
static bool count_row(struct reader *reader, const PGresult *from, int row)
{
    int columns = PQnfields(from);
    bool cell_too_large = false;
    for (int i = 0; i < columns; i++) {
        size_t length = (size_t)PQgetlength(from, row, i);
        cell_too_large = cell_too_large || length > SCHEMA_CELL_MAX;
        reader->bytes += length + CELL_OVERHEAD;
    }
    reader->rows++;
    if (cell_too_large || columns > SCHEMA_COLUMNS_MAX || reader->rows > reader->rows_max ||
        reader->bytes > reader->bytes_max) {
        reader->too_large = true;
    }
    return !reader->too_large;
}

static void append_row(GArray *rows, const PGresult *from, int row)
{
    struct sql_row copy;
    sql_row_init(&copy);
    copy.cells_count = (size_t)PQnfields(from);
    copy.cells = g_new0(struct sql_value, copy.cells_count);
    for (size_t i = 0; i < copy.cells_count; i++) {
        copy.cells[i].is_null = PQgetisnull(from, row, (int)i) == 1;
        if (!copy.cells[i].is_null) {
            int length = PQgetlength(from, row, (int)i);
            copy.cells[i].text = g_strndup(PQgetvalue(from, row, (int)i), (gsize)length);
        }
    }
    g_array_append_val(rows, copy);
}

static void copy_error(const PGresult *from, struct query_reply *reply)
{
    const char *sqlstate = PQresultErrorField(from, PG_DIAG_SQLSTATE);
    const char *text = PQresultErrorField(from, PG_DIAG_MESSAGE_PRIMARY);
    const char *position = PQresultErrorField(from, PG_DIAG_STATEMENT_POSITION);
    reply->status = QUERY_STATUS_ERROR;
    g_strlcpy(reply->sqlstate, sqlstate != NULL ? sqlstate : "", sizeof reply->sqlstate);
    g_free(reply->error_text);
    reply->error_text = g_strdup(text != NULL ? text : PQresultErrorMessage(from));
    reply->error_position = position != NULL ? (uint32_t)g_ascii_strtoull(position, NULL, 10) : 0;
}

/* True if the rows read are as many as the command's tag says. */
static bool row_count_matches(const PGresult *last, size_t rows)
{
    const char *tag = PQcmdStatus((PGresult *)last);
    if (!g_str_has_prefix(tag, "SELECT ")) {
        return true;
    }
    return g_ascii_strtoull(tag + strlen("SELECT "), NULL, 10) == rows;
}

/* Takes one libpq result of a query into its reply. False if the stream makes no sense. */
static bool take_result(struct reader *reader, const PGresult *from, struct query_reply *reply,
                        GArray *rows, size_t *rows_seen)
{
    ExecStatusType status = PQresultStatus(from);
    if (reply->result.columns == NULL && PQnfields(from) > 0 &&
        (status == PGRES_SINGLE_TUPLE || status == PGRES_TUPLES_OK)) {
        copy_columns(from, &reply->result);
    }
    switch (status) {
    case PGRES_SINGLE_TUPLE:
    case PGRES_TUPLES_OK:
        for (int row = 0; row < PQntuples(from); row++) {
            (*rows_seen)++;
            if (count_row(reader, from, row)) {
                append_row(rows, from, row);
            }
        }
        if (status == PGRES_TUPLES_OK) {
            reply->result.command = g_strdup(PQcmdStatus((PGresult *)from));
            reply->status = QUERY_STATUS_DONE;
            return row_count_matches(from, *rows_seen);
        }
        return reader->bytes / DISCARD_FACTOR <= reader->bytes_max &&
               reader->rows / DISCARD_FACTOR <= reader->rows_max;
    case PGRES_COMMAND_OK:
        reply->result.command = g_strdup(PQcmdStatus((PGresult *)from));
        reply->status = QUERY_STATUS_DONE;
        return true;
    case PGRES_EMPTY_QUERY:
        reply->result.command = g_strdup("");
        reply->status = QUERY_STATUS_DONE;
        return true;
    case PGRES_PIPELINE_ABORTED:
        reply->status = QUERY_STATUS_SKIPPED;
        return true;
    case PGRES_FATAL_ERROR:
        copy_error(from, reply);
        return PQstatus(reader->connection->pg) == CONNECTION_OK;
    default: /* COPY and others that are not served */
        return false;
    }
}

/* Reads all results of one query, up to the NULL that ends them. */
static bool read_query(struct reader *reader, struct query_reply *reply)
{
    PGconn *pg = reader->connection->pg;
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct sql_row));
    size_t rows_seen = 0;
    bool good = true;
    PQsetSingleRowMode(pg);
    while (good) {
        good = wait_for_result(reader);
        if (!good) {
            break;
        }
        PGresult *result = PQgetResult(pg);
        if (result == NULL) {
            break;
        }
        good = take_result(reader, result, reply, rows, &rows_seen);
        PQclear(result);
    }
    reply->result.rows_count = rows->len;
    reply->result.rows = (struct sql_row *)g_array_free(rows, FALSE);
    return good && reply->status != QUERY_STATUS_PENDING;
}

/* Reads the sync that ends the batch. */
static bool read_sync(struct reader *reader)
{
    if (!wait_for_result(reader)) {
        return false;
    }
    PGresult *result = PQgetResult(reader->connection->pg);
    bool synced = PQresultStatus(result) == PGRES_PIPELINE_SYNC;
    PQclear(result);
    return synced;
}

static bool read_batch(struct reader *reader, struct query_reply *replies, size_t count)
{
    if (!flush(reader)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (!read_query(reader, &replies[i])) {
            return false;
        }
    }
    return read_sync(reader);
}

static size_t limit_or(size_t limit, size_t most)
{
    return limit > 0 && limit < most ? limit : most;
}

enum pipeline_outcome pipeline_finish(struct backend_connection *connection, time_ns deadline,
                                      const struct result_limits *limits,
                                      struct query_reply *replies, size_t count)
{
    struct reader reader = {
        .connection = connection,
        .deadline = deadline,
        .rows_max = limit_or(limits != NULL ? limits->rows_max : 0, SCHEMA_ROWS_MAX),
        .bytes_max = limit_or(limits != NULL ? limits->bytes_max : 0, BYTES_MAX_DEFAULT),
    };
    memset(replies, 0, count * sizeof *replies);
    connection->unread_answers++;
    bool whole = connection->state != CONNECTION_STATE_BROKEN;
    whole = whole && PQpipelineSync(connection->pg) == 1;
    whole = whole && read_batch(&reader, replies, count);
    if (whole) {
        connection->unread_answers = 0;
        return reader.too_large ? PIPELINE_TOO_LARGE : PIPELINE_WHOLE;
    }
    backend_connection_break(connection);
    return reader.too_large ? PIPELINE_TOO_LARGE : PIPELINE_LOST;
}

void pipeline_replies_clear(struct query_reply *replies, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        sql_result_clear(&replies[i].result);
        g_clear_pointer(&replies[i].error_text, g_free);
    }
}

const struct query_reply *pipeline_first_error(const struct query_reply *replies, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (replies[i].status == QUERY_STATUS_ERROR) {
            return &replies[i];
        }
    }
    return NULL;
}
