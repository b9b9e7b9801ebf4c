/* Internal interface of a connection to a database: opening, closing and pooling (server.c),
 * sending (server_run.c), and processing of answers (server_answer.c). */
#ifndef SW_POOLER_SERVER_INTERNAL_H
#define SW_POOLER_SERVER_INTERNAL_H

#include "pooler/worker/worker_internal.h"

/* server.c */
/** @brief Sets a time-out after which the connection is closed. */
void server_set_timer(struct server *server, uint32_t ms);
/** @brief Records the kind of request that was sent, whose answer follows all pending ones. */
void server_expect(struct server *server, enum expected what);
void server_flush(struct server *server);
void server_clear_answer(struct server *server);
void server_count_in_flight(struct server *server, bool begins);
/** @return true while a request is running, or a transaction of a session is open. */
bool server_holds_work(const struct server *server);
/** @brief Returns the connection to the pool, or closes it if the limit is exceeded. */
void server_become_idle(struct server *server);

/* server_run.c */
/** @brief Records the time, the group's epoch and the state of its read permit as of sending. */
void server_note_sending(struct server *server);
void server_write_statement(struct server *server, struct session *session,
                            const struct log_position *min_position);

/* server_answer.c */
/** @brief Processes the messages received. */
void server_process(struct server *server);

#endif
