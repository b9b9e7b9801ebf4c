/* Shared by the parts of a session: its connection (session.c), the client's statements
 * (session_statement.c), the answers to them (session_answer.c) and the report of operations
 * (operation_report.c). */
#ifndef SW_POOLER_SESSION_INTERNAL_H
#define SW_POOLER_SESSION_INTERNAL_H

#include "pooler/worker/worker_internal.h"

/* Share of the route's timeout that a statement may wait for a connection. */
#define WAIT_SHARE 0.45

/* session.c */
/* Creates a session without a client connection. */
struct session *session_new(struct worker *worker, const client_ops_t *client);
/* Sends buffered output to the client. Ends the session if the connection is closed. */
void session_flush(struct session *session);
/* Sets the session's only timer: for the statement, or for the idle transaction. */
void session_set_timer(struct session *session, time_ns at);
/* Processes the messages in the input buffer until a statement is in progress. */
void session_process(struct session *session);

/* session_statement.c */
/* True once a view with a configuration and the group orders is known. Before that, a missing route
 * does not mean that the database does not exist. */
bool session_knows_routes(const struct worker *worker);
/* Sets the session's route from the newest view. False if the view has none. */
bool session_bind_route(struct session *session);
/* Executes the session's current request. */
void session_dispatch(struct session *session);
/* The session's prepared statement of this name; NULL if there is none. */
const struct prepared *session_find_prepared(const struct session *session, struct span name);
void session_set_prepared(struct session *session, struct span name, bool writes,
                          struct span shape);
void session_set_value(struct session *session, const char *name, const char *value);

/* operation_report.c */
/* A client's message came: its operation begins or continues. */
void operation_note_message(struct session *session);
/* The client's message is answered: its operation ends, or pauses until the next message. A
 * finished operation is counted, and logged if it was late. */
void operation_note_answer(struct session *session, enum answer_code code);

/* session_answer.c */
/* The transaction state that is reported to the client. */
enum transaction_state session_transaction_state(const struct session *session);
/* Delivers an owner's answer to the client unchanged. */
void session_deliver_answer(struct session *session, enum answer_code code,
                            enum transaction_state state, struct span output,
                            const struct log_position *position);
/* True while a statement waits for a token, is queued or is running. */
bool session_is_busy(const struct session *session);
/* Answers success for a statement that the pooler executes itself. */
void session_answer_locally(struct session *session);
/* Answers an error. `text` NULL or empty: the code's default text. */
void session_answer_error(struct session *session, enum answer_code code, const char *text);
/* Answers a statement that is not tried again: with `reason`, or that it is in doubt or that its
 * transaction was aborted. */
void session_answer_lost(struct session *session, enum answer_code reason);
/* Marks the transaction as failed. It has ended at the database, and the client still has to end
 * it. */
void session_fail_transaction(struct session *session);
void session_end_transaction(struct session *session);

#endif
