/* Shared by the parts of a session: its connection (session.c), what the client asks
 * (session_statement.c) and what it is told (session_answer.c). */
#ifndef SW_POOLER_SESSION_INTERNAL_H
#define SW_POOLER_SESSION_INTERNAL_H

#include "pooler/worker/worker_internal.h"

/* Share of the route's timeout that a statement may wait for a connection. */
#define WAIT_SHARE 0.45

/* session.c */
/* A session without a connection of its own yet. */
struct session *session_new(struct worker *worker, const client_ops_t *client);
/* Sends what the client is to get; ends the session if its connection is over. */
void session_flush(struct session *session);
/* The session's only timer: of the statement, or of the transaction at rest. */
void session_set_timer(struct session *session, time_ns at);
/* Takes the messages that have come, as long as nothing is asked. */
void session_process(struct session *session);

/* session_statement.c */
/* True once a configuration and the group orders are known, so that "no such database" is true. */
bool session_knows_routes(const struct worker *worker);
/* Takes the session's route from the newest view. False if there is none. */
bool session_bind_route(struct session *session);
/* Does what the session's request asks. */
void session_dispatch(struct session *session);
/* What the session prepared under this name; NULL if nothing. */
const struct prepared *session_find_prepared(const struct session *session, struct span name);
void session_set_prepared(struct session *session, struct span name, bool writes,
                          struct span shape);
void session_set_value(struct session *session, const char *name, const char *value);

/* operation_report.c */
/* The client has asked: its operation begins, or goes on. */
void operation_note_message(struct session *session);
/* The client is told this: its operation is over, or pauses. Counts one that is over, and writes a
 * line of one that is late. */
void operation_note_answer(struct session *session, enum answer_code code);

/* session_answer.c */
/* The state of the transaction that the client is told. */
enum transaction_state session_transaction_state(const struct session *session);
/* An owner's answer, as the client is to get it. */
void session_pass_on(struct session *session, enum answer_code code, enum transaction_state state,
                     struct span output, const struct log_position *position);
/* True while a statement is queued or at a database. */
bool session_is_busy(const struct session *session);
/* Success of a statement that no database runs. */
void session_answer_own(struct session *session);
/* `text` NULL or empty: the code's own advice. */
void session_answer_error(struct session *session, enum answer_code code, const char *text);
/* Answers a statement whose connection is lost and that goes nowhere else. */
void session_answer_lost(struct session *session, enum answer_code reason);
/* The transaction is over at the database; the client has still to end it. */
void session_fail_transaction(struct session *session);
void session_end_transaction(struct session *session);

#endif
