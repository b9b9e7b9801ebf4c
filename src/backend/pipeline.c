#include "backend/pipeline.h"

#include <poll.h>
#include <string.h>

#include "backend/clock.h"

/* Limits of the message schema: a larger result could not be forwarded. */
#define SCHEMA_ROWS_MAX    10000
#define SCHEMA_COLUMNS_MAX 256
#define SCHEMA_CELL_MAX    1048576
#define CELL_OVERHEAD      8
/* An answer over its limit is read to its end and dropped, up to this multiple of the limit:
 * closing the connection costs the database more than sending the rest of a slightly too large
 * answer. */
#define DISCARD_FACTOR 4
#define BYTES_MAX      (16 * 1024 * 1024)

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

bool pipeline_end(struct backend_connection *connection)
{
    if (connection->state == CONNECTION_STATE_BROKEN) {
        return false;
    }
    connection->unread_answers++;
    if (PQpipelineSync(connection->pg) != 1) {
        backend_connection_break(connection);
        return false;
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

/* Counts a row against the limits; false if it must be dropped. */
static bool count_row(struct pipeline_reader *reader, const PGresult *from, int row)
{
    int columns = PQnfields(from);
    bool cell_too_large = false;
    for (int i = 0; i < columns; i++) {
        size_t length = (size_t)PQgetlength(from, row, i);
        cell_too_large = cell_too_large || length > SCHEMA_CELL_MAX;
        reader->bytes_total += length + CELL_OVERHEAD;
    }
    reader->rows_total++;
    if (cell_too_large || columns > SCHEMA_COLUMNS_MAX || reader->rows_total > reader->rows_max ||
        reader->bytes_total > reader->bytes_max) {
        reader->too_large = true;
    }
    return !reader->too_large;
}

/* True while the answer, whose rows are dropped, is still within DISCARD_FACTOR times its limits.
 */
static bool within_discard_limit(const struct pipeline_reader *reader)
{
    return reader->bytes_total / DISCARD_FACTOR <= reader->bytes_max &&
           reader->rows_total / DISCARD_FACTOR <= reader->rows_max;
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

/* True if the number of rows read matches the command tag. */
static bool row_count_matches(const PGresult *last, size_t rows)
{
    const char *tag = PQcmdStatus((PGresult *)last);
    if (!g_str_has_prefix(tag, "SELECT ")) {
        return true;
    }
    return g_ascii_strtoull(tag + strlen("SELECT "), NULL, 10) == rows;
}

static void read_rows(struct pipeline_reader *reader, const PGresult *from,
                      struct sql_result *result)
{
    if (result->columns == NULL && PQnfields(from) > 0) {
        copy_columns(from, result);
    }
    for (int row = 0; row < PQntuples(from); row++) {
        reader->reply_rows++;
        if (count_row(reader, from, row)) {
            append_row(reader->rows, from, row);
        }
    }
}

static void read_command_tag(const PGresult *from, struct query_reply *reply)
{
    g_free(reply->result.command);
    reply->result.command = g_strdup(PQcmdStatus((PGresult *)from));
    reply->status = QUERY_STATUS_DONE;
}

/* Reads one libpq result of a query into its reply. False if the answer can't be completed. */
static bool read_result(struct pipeline_reader *reader, const PGresult *from)
{
    struct query_reply *reply = &reader->replies[reader->next];
    switch (PQresultStatus(from)) {
    case PGRES_SINGLE_TUPLE:
        read_rows(reader, from, &reply->result);
        return within_discard_limit(reader);
    case PGRES_TUPLES_OK:
        read_rows(reader, from, &reply->result);
        read_command_tag(from, reply);
        return row_count_matches(from, reader->reply_rows);
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
        read_command_tag(from, reply);
        return true;
    case PGRES_PIPELINE_ABORTED:
        reply->status = QUERY_STATUS_SKIPPED;
        return true;
    case PGRES_FATAL_ERROR:
        copy_error(from, reply);
        return PQstatus(reader->connection->pg) == CONNECTION_OK;
    default: /* COPY, or a sync before the end of the batch */
        return false;
    }
}

/* Prepares the next reply. Rows arrive one at a time, so that an answer over its limit is detected
 * before all of it is in memory. */
static void start_reply(struct pipeline_reader *reader)
{
    reader->reply_rows = 0;
    if (reader->next < reader->count) {
        reader->rows = g_array_new(FALSE, TRUE, sizeof(struct sql_row));
        PQsetSingleRowMode(reader->connection->pg);
    }
}

/* Moves the rows read into the reply. */
static void end_reply(struct pipeline_reader *reader)
{
    if (reader->rows == NULL) {
        return;
    }
    struct sql_result *result = &reader->replies[reader->next].result;
    result->rows_count = reader->rows->len;
    result->rows = (struct sql_row *)g_array_free(g_steal_pointer(&reader->rows), FALSE);
}

void pipeline_reader_abandon(struct pipeline_reader *reader)
{
    end_reply(reader);
    backend_connection_break(reader->connection);
    reader->outcome = reader->too_large ? PIPELINE_TOO_LARGE : PIPELINE_LOST;
}

/* Reads the next item from libpq: a result, the end of a reply, or the sync that ends the batch.
 * False if the batch can't be completed. */
static bool read_next(struct pipeline_reader *reader)
{
    PGresult *result = PQgetResult(reader->connection->pg);
    bool valid;
    if (reader->next == reader->count) {
        valid = PQresultStatus(result) == PGRES_PIPELINE_SYNC;
        reader->next++;
    } else if (result == NULL) {
        valid = reader->replies[reader->next].status != QUERY_STATUS_PENDING;
        end_reply(reader);
        reader->connection->unread_answers--;
        reader->next++;
        start_reply(reader);
    } else {
        valid = read_result(reader, result);
    }
    PQclear(result);
    return valid;
}

/* Sends and reads as far as possible without blocking. Returns the poll events to wait for, 0 at
 * the sync, or -1 if the batch can't be completed. */
static int advance(struct pipeline_reader *reader, short ready)
{
    PGconn *pg = reader->connection->pg;
    if (reader->connection->state == CONNECTION_STATE_BROKEN) {
        return -1;
    }
    if ((ready & ~POLLOUT) != 0 && PQconsumeInput(pg) != 1) {
        return -1;
    }
    int unsent = PQflush(pg);
    if (unsent < 0) {
        return -1;
    }
    while (!PQisBusy(pg)) {
        if (!read_next(reader)) {
            return -1;
        }
        if (reader->next > reader->count) {
            reader->connection->unread_answers--;
            return 0;
        }
    }
    return unsent > 0 ? POLLIN | POLLOUT : POLLIN;
}

short pipeline_reader_advance(struct pipeline_reader *reader, short ready)
{
    int events = advance(reader, ready);
    if (events > 0) {
        return (short)events;
    }
    if (events < 0) {
        pipeline_reader_abandon(reader);
    } else {
        reader->outcome = reader->too_large ? PIPELINE_TOO_LARGE : PIPELINE_COMPLETE;
    }
    return 0;
}

static size_t limit_or(size_t limit, size_t most)
{
    return limit > 0 && limit < most ? limit : most;
}

void pipeline_reader_start(struct pipeline_reader *reader, struct backend_connection *connection,
                           const struct result_limits *limits, struct query_reply *replies,
                           size_t count)
{
    memset(reader, 0, sizeof *reader);
    memset(replies, 0, count * sizeof *replies);
    reader->connection = connection;
    reader->replies = replies;
    reader->count = count;
    reader->outcome = PIPELINE_LOST;
    reader->rows_max = limit_or(limits != NULL ? limits->rows_max : 0, SCHEMA_ROWS_MAX);
    reader->bytes_max = limit_or(limits != NULL ? limits->bytes_max : 0, BYTES_MAX);
    start_reply(reader);
}

enum pipeline_outcome pipeline_finish(struct backend_connection *connection, time_ns deadline,
                                      const struct result_limits *limits,
                                      struct query_reply *replies, size_t count)
{
    struct pipeline_reader reader;
    pipeline_end(connection);
    pipeline_reader_start(&reader, connection, limits, replies, count);
    short events = pipeline_reader_advance(&reader, 0);
    while (events != 0) {
        short ready = backend_connection_wait(connection, events, deadline);
        if (ready == 0) {
            pipeline_reader_abandon(&reader);
            break;
        }
        events = pipeline_reader_advance(&reader, ready);
    }
    return reader.outcome;
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
