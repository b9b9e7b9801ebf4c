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

/* Ends the batch, sends it and reads the answers to its `count` queries. The replies are
 * overwritten; free them by pipeline_replies_clear. After PIPELINE_TOO_LARGE the connection is
 * usable unless it is marked BROKEN. */
enum pipeline_outcome pipeline_finish(struct backend_connection *connection, time_ns deadline,
                                      const struct result_limits *limits,
                                      struct query_reply *replies, size_t count);

/* Frees the replies' content. */
void pipeline_replies_clear(struct query_reply *replies, size_t count);

/* The first reply with an error, or NULL. */
const struct query_reply *pipeline_first_error(const struct query_reply *replies, size_t count);

#endif
