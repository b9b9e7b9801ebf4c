/* What the adapter's files share: answers, error classes and common query texts. */
#ifndef SW_BACKEND_ADAPTER_INTERNAL_H
#define SW_BACKEND_ADAPTER_INTERNAL_H

#include "backend/adapter.h"

/* Columns are found by name, so a database may add others. */
#define SQL_STATUS "SELECT * FROM swiftworks_status()"

/* The same as one column, the row's text form: a probe's answer is mostly names of columns else.
 * Fields are found by their order, so a database may only add others after them. */
#define SQL_STATUS_RECORD "SELECT swiftworks_status()"

#define SQL_LAST_COMMIT "SELECT * FROM swiftworks_last_commit()"

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

/* Reads the position of a one-row result. */
bool adapter_parse_position(const struct sql_result *result, struct log_position *position);

/* True if a write carries a key. */
bool adapter_has_key(const struct adapter_key *key);

/* Reads the answers of a batch that can't have committed anything. With DONE the transaction is
 * still open. */
enum execute_result adapter_finish_uncommitted(struct backend_connection *connection,
                                               time_ns deadline, const struct result_limits *limits,
                                               struct query_reply *replies, size_t count,
                                               struct execute_answer *answer);

/* Claims the key, if any, and commits, in one round trip: without the claim nothing is committed,
 * and the answer is what the ledger says of the key. */
enum execute_result adapter_commit_claiming(struct backend_connection *connection,
                                            const struct adapter_key *key, time_ns deadline,
                                            struct execute_answer *answer);

/* Rolls back a transaction whose key turned out to be taken, and reads the key's row. */
enum execute_result adapter_resolve_taken(struct backend_connection *connection,
                                          const struct adapter_key *key, time_ns deadline,
                                          struct execute_answer *answer);
/* The caller's limits with room for our own status rows; 0 stays 0. */
struct result_limits adapter_extend_limits(const struct result_limits *limits);
/* Sends COMMIT and reads where it was done. With a key, `results` are recorded in its row before.
 */
enum execute_result adapter_send_commit(struct backend_connection *connection,
                                        const struct adapter_key *key,
                                        const struct sql_result *results, size_t results_count,
                                        time_ns deadline, struct execute_answer *answer);

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
