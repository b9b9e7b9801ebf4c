/* What the adapter's files share: answers, error classes and common query texts. */
#ifndef SW_BACKEND_ADAPTER_INTERNAL_H
#define SW_BACKEND_ADAPTER_INTERNAL_H

#include "backend/adapter.h"

#define STATUS_COLUMNS                                                                             \
    "role, term, promised_term, held_term, held_offset, applied_term, applied_offset, leaving"
#define SQL_STATUS       "SELECT " STATUS_COLUMNS " FROM swiftworks_status()"
#define SQL_LAST_COMMIT  "SELECT term, \"offset\" FROM swiftworks_last_commit()"
#define SQL_WAIT_APPLIED "SELECT " STATUS_COLUMNS " FROM swiftworks_wait_applied($1, $2, $3)"

/* Room for a number as text. */
#define NUMBER_TEXT_SIZE 24

/* Queues a query with no parameters. */
bool adapter_send_simple(struct backend_connection *connection, const char *sql);

/* Queues the wait for a position to be applied. */
bool adapter_send_wait_applied(struct backend_connection *connection, struct log_position position,
                               uint32_t wait_ms);

/* Queues the caller's statements. */
bool adapter_send_statements(struct backend_connection *connection,
                             const struct sql_statement *statements, size_t count);

/* Reads a position out of a one-row result of two columns. */
bool adapter_parse_position(const struct sql_result *result, struct log_position *position);

/* Copies an error into the answer and says what it means for a transaction rolled back by it. */
enum execute_result adapter_take_error(const struct query_reply *reply,
                                       struct execute_answer *answer);

/* Moves the results of `count` replies into the answer. */
void adapter_take_results(struct query_reply *replies, size_t count, struct execute_answer *answer);

/* Says that an answer could not be understood, and breaks the connection. */
void adapter_take_nonsense(struct backend_connection *connection, const char *text,
                           struct execute_answer *answer);

/* Ends an open transaction without effect; breaks the connection if that can't be confirmed. */
void adapter_abandon(struct backend_connection *connection, time_ns deadline);

/* Says why nothing more is known: the connection's error or the deadline. */
void adapter_take_loss(const struct backend_connection *connection, struct execute_answer *answer);

#endif
