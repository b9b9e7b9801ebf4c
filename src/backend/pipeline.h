/* Queries sent in one batch and their answers, read in order. An answer counts only when it is
 * whole: command complete and the batch's sync seen. */
#ifndef SW_BACKEND_PIPELINE_H
#define SW_BACKEND_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/connection.h"
#include "generated/messages.h"

#define SQLSTATE_SIZE 6

/* Bounds of the results of one batch together; 0 = the bound of the message schema. */
struct result_limits {
    size_t rows_max;
    size_t bytes_max;
};

enum query_status {
    QUERY_STATUS_PENDING, /* no whole answer */
    QUERY_STATUS_DONE,
    QUERY_STATUS_ERROR,   /* the database reported an error */
    QUERY_STATUS_SKIPPED, /* not run, since an earlier query of the batch failed */
};

/* The answer to one query. Owns its content. */
struct query_reply {
    enum query_status status;
    struct sql_result result;
    char sqlstate[SQLSTATE_SIZE];
    char *error_text;
    uint32_t error_position; /* in characters from 1; 0 = none */
};

enum pipeline_outcome {
    PIPELINE_WHOLE,     /* every answer was read up to the sync */
    PIPELINE_TOO_LARGE, /* over the limits; rows were dropped */
    PIPELINE_LOST,      /* connection broken or deadline passed; it is marked BROKEN */
};

/* Queues one query. False if the connection is broken. */
bool pipeline_send(struct backend_connection *connection, const char *sql,
                   const struct sql_value *parameters, size_t parameters_count);

/* Ends the batch. False if the connection is broken. */
bool pipeline_end(struct backend_connection *connection);

/* Reads the answers to one batch without ever waiting. Owned by the connection's thread. */
struct pipeline_reader {
    struct backend_connection *connection;
    struct query_reply *replies; /* the caller's */
    size_t count;
    size_t next; /* reply being read; `count` for the sync */
    enum pipeline_outcome outcome;
    GArray *rows; /* of struct sql_row, of the reply being read */
    size_t reply_rows;
    size_t rows_max;
    size_t bytes_max;
    size_t rows_total;
    size_t bytes_total;
    bool too_large;
};

/* Prepares to read the oldest batch not read yet, of `count` queries. The replies are overwritten;
 * free them by pipeline_replies_clear. */
void pipeline_reader_start(struct pipeline_reader *reader, struct backend_connection *connection,
                           const struct result_limits *limits, struct query_reply *replies,
                           size_t count);

/* Sends and reads what can be. Returns the poll events to wait for, or 0 when reader->outcome
 * stands. Call it again, with the events that came. */
short pipeline_reader_advance(struct pipeline_reader *reader, short ready);

/* Gives up: nothing more is read, and the connection is marked BROKEN. */
void pipeline_reader_abandon(struct pipeline_reader *reader);

/* Ends the batch, sends it and reads the answers to its `count` queries, waiting until `deadline`.
 * After PIPELINE_TOO_LARGE the connection is usable unless it is marked BROKEN. */
enum pipeline_outcome pipeline_finish(struct backend_connection *connection, time_ns deadline,
                                      const struct result_limits *limits,
                                      struct query_reply *replies, size_t count);

/* Frees the replies' content. */
void pipeline_replies_clear(struct query_reply *replies, size_t count);

/* The first reply with an error, or NULL. */
const struct query_reply *pipeline_first_error(const struct query_reply *replies, size_t count);

#endif
