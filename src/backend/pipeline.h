/* Sends queries in one batch and reads their answers in order. An answer counts only when it is
 * complete: the command's completion and the batch's sync have been read. */
#ifndef SW_BACKEND_PIPELINE_H
#define SW_BACKEND_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/connection.h"
#include "generated/messages.h"

#define SQLSTATE_SIZE 6

/* Limits of the results of a batch in total; 0 = the limit of the message schema. */
struct result_limits {
    size_t rows_max;
    size_t bytes_max;
};

enum query_status {
    QUERY_STATUS_PENDING, /* no complete answer */
    QUERY_STATUS_DONE,
    QUERY_STATUS_ERROR,   /* the database reported an error */
    QUERY_STATUS_SKIPPED, /* not run, since an earlier query of the batch failed */
};

/* The answer to one query. It owns its content. */
struct query_reply {
    enum query_status status;
    struct sql_result result;
    char sqlstate[SQLSTATE_SIZE];
    char *error_text;
    uint32_t error_position; /* in characters from 1; 0 = none */
};

enum pipeline_outcome {
    PIPELINE_COMPLETE,  /* every answer was read up to the sync */
    PIPELINE_TOO_LARGE, /* over the limits; the rows were dropped */
    PIPELINE_LOST,      /* connection broken or deadline passed; the connection is BROKEN */
};

/* Queues one query. False if the connection is broken. */
bool pipeline_send(struct backend_connection *connection, const char *sql,
                   const struct sql_value *parameters, size_t parameters_count);

/* Ends the batch. False if the connection is broken. */
bool pipeline_end(struct backend_connection *connection);

/* Reads the answers to one batch without blocking. Used by the connection's thread only. */
struct pipeline_reader {
    struct backend_connection *connection;
    struct query_reply *replies; /* the caller's */
    size_t count;
    size_t next; /* reply being read; `count` for the sync */
    enum pipeline_outcome outcome;
    GArray *rows; /* of struct sql_row; rows of the reply being read */
    size_t reply_rows;
    size_t rows_max;
    size_t bytes_max;
    size_t rows_total;
    size_t bytes_total;
    bool too_large;
};

/* Prepares to read the answers of the oldest unread batch, which has `count` queries. The replies
 * are overwritten; free them with pipeline_replies_clear. */
void pipeline_reader_start(struct pipeline_reader *reader, struct backend_connection *connection,
                           const struct result_limits *limits, struct query_reply *replies,
                           size_t count);

/* Sends and reads as far as possible without blocking. Returns the poll events to wait for, or 0
 * when reader->outcome is final. Call it again with the events that occurred. */
short pipeline_reader_advance(struct pipeline_reader *reader, short ready);

/* Stops reading and marks the connection BROKEN. */
void pipeline_reader_abandon(struct pipeline_reader *reader);

/* Ends the batch, sends it and reads the answers to its `count` queries, until `deadline`. After
 * PIPELINE_TOO_LARGE the connection is usable unless it is marked BROKEN. */
enum pipeline_outcome pipeline_finish(struct backend_connection *connection, time_ns deadline,
                                      const struct result_limits *limits,
                                      struct query_reply *replies, size_t count);

/* Frees the replies' content. */
void pipeline_replies_clear(struct query_reply *replies, size_t count);

/* The first reply with an error, or NULL. */
const struct query_reply *pipeline_first_error(const struct query_reply *replies, size_t count);

#endif
