/* Functions and query texts shared by the adapter's source files. */
#ifndef SW_BACKEND_ADAPTER_INTERNAL_H
#define SW_BACKEND_ADAPTER_INTERNAL_H

#include "backend/adapter.h"

/* Columns are found by name, so a database may add others. */
#define SQL_STATUS "SELECT * FROM swiftworks_status()"

/* The same status as one column in the text form of a row. A probe's answer with separate columns
 * would consist mostly of column names. Fields are identified by their order, so a database may add
 * others only at the end. */
#define SQL_STATUS_RECORD "SELECT swiftworks_status()"

#define SQL_LAST_COMMIT "SELECT * FROM swiftworks_last_commit()"

/* Buffer size for a 64-bit number as text. */
#define NUMBER_TEXT_SIZE 24

/* Queues a query without parameters. */
bool adapter_send_simple(struct backend_connection *connection, const char *sql);

/* Queues a command that waits until a position is applied. */
bool adapter_send_wait_applied(struct backend_connection *connection, struct log_position position,
                               uint32_t wait_ms);

/* Queues the caller's statements. */
bool adapter_send_statements(struct backend_connection *connection,
                             const struct sql_statement *statements, size_t count);

/* Parses the log position in a one-row result. */
bool adapter_parse_position(const struct sql_result *result, struct log_position *position);

bool adapter_has_key(const struct adapter_key *key);

/* Reads the answers of a batch that contains no COMMIT. With DONE the transaction is still open. */
enum execute_result adapter_finish_uncommitted(struct backend_connection *connection,
                                               time_ns deadline, const struct result_limits *limits,
                                               struct query_reply *replies, size_t count,
                                               struct execute_answer *answer);

/* Claims the key, if there is one, and commits, in one round trip. If the key is already in the
 * ledger nothing is committed, and the answer is that of the key's row. */
enum execute_result adapter_commit_claiming(struct backend_connection *connection,
                                            const struct adapter_key *key, time_ns deadline,
                                            struct execute_answer *answer);

/* Rolls back a transaction whose key is already in the ledger, and reads the key's row. */
enum execute_result adapter_resolve_claimed(struct backend_connection *connection,
                                            const struct adapter_key *key, time_ns deadline,
                                            struct execute_answer *answer);
/* Returns the caller's limits plus the size of our own status rows; 0 stays 0. */
struct result_limits adapter_extend_limits(const struct result_limits *limits);
/* Sends COMMIT and reads its position. With a key, `results` are recorded in its ledger row before.
 */
enum execute_result adapter_send_commit(struct backend_connection *connection,
                                        const struct adapter_key *key,
                                        const struct sql_result *results, size_t results_count,
                                        time_ns deadline, struct execute_answer *answer);

/* Copies the database's error into the answer and returns the result that it stands for, given that
 * the error rolled the transaction back. */
enum execute_result adapter_set_database_error(const struct query_reply *reply,
                                               struct execute_answer *answer);

/* Moves the results of `count` replies into the answer. */
void adapter_move_results(struct query_reply *replies, size_t count, struct execute_answer *answer);

/* Sets an error for an answer that could not be parsed, and marks the connection BROKEN. */
void adapter_set_protocol_error(struct backend_connection *connection, const char *text,
                                struct execute_answer *answer);

/* Rolls back an open transaction; marks the connection BROKEN if the rollback is not confirmed. */
void adapter_abort_transaction(struct backend_connection *connection, time_ns deadline);

/* Sets the error of a lost answer: the connection's error, or the passed deadline. */
void adapter_set_loss_error(const struct backend_connection *connection,
                            struct execute_answer *answer);

#endif
