/* Shared by the parts of a connection to a database: its life (server.c), what is sent
 * (server_run.c) and what is answered (server_answer.c). */
#ifndef SW_POOLER_SERVER_INTERNAL_H
#define SW_POOLER_SERVER_INTERNAL_H

#include "pooler/worker/worker_internal.h"

/* server.c */
/** @brief Bounds what is awaited; the connection is given up then. */
void server_set_timer(struct server *server, uint32_t ms);
/** @brief Notes what the next answer that is still to come belongs to. */
void server_expect(struct server *server, enum expected what);
void server_flush(struct server *server);
void server_clear_answer(struct server *server);
void server_count_in_flight(struct server *server, bool begins);
/** @return true while it works for a session, or is inside its transaction. */
bool server_holds_work(const struct server *server);
/** @brief Back to the pool, or closed if it is one too many. */
void server_become_idle(struct server *server);

/* server_run.c */
/** @brief Notes under which order and permit something is sent now. */
void server_note_sending(struct server *server);
void server_write_statement(struct server *server, struct session *session,
                            const struct log_position *after);

/* server_answer.c */
/** @brief Takes the messages that have come. */
void server_process(struct server *server);

#endif
