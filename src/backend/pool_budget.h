/* A pool's connection budget: which of the database's numbers its connections hold, and which is to
 * be opened next. It turns the core's actions into what the pool does. See core/budget.h. All calls
 * are made under the pool's lock. */
#ifndef SW_BACKEND_POOL_BUDGET_H
#define SW_BACKEND_POOL_BUDGET_H

#include "backend/connection.h"
#include "core/budget.h"

struct pool_budget;

/* How an attempt to open ended without a connection that can be used, or one that was used ended.
 */
enum pool_close_cause {
    POOL_CLOSE_CLOSED,       /* it held its number */
    POOL_CLOSE_NUMBER_TAKEN, /* another connection holds its number */
    POOL_CLOSE_FAILED,       /* it did not come about */
};

struct pool_budget *pool_budget_new(const struct budget_options *options);
void pool_budget_free(struct pool_budget *budget);

/* See budget_set_position and the next two. */
void pool_budget_set_position(struct pool_budget *budget, int32_t position, bool handing_over,
                              time_ns now);
void pool_budget_peer_warm(struct pool_budget *budget, time_ns now);
void pool_budget_peer_released(struct pool_budget *budget, time_ns now);

/* True if a connection is to be opened. */
bool pool_budget_wants_open(const struct pool_budget *budget);

/* The number of the connection whose opening begins now. */
uint32_t pool_budget_begin_open(struct pool_budget *budget);

/* The connection holds the lock of its number. */
void pool_budget_opened(struct pool_budget *budget, struct backend_connection *connection,
                        time_ns now);

/* A connection that held its number is about to be closed. */
void pool_budget_closing(struct pool_budget *budget, const struct backend_connection *connection);

/* The database has closed its end, too. */
void pool_budget_ended(struct pool_budget *budget, uint32_t number, enum pool_close_cause cause,
                       time_ns now);

/* Does what is due; pool_budget_wake_at tells when something is, UINT64_MAX for never. */
void pool_budget_tick(struct pool_budget *budget, time_ns now);
time_ns pool_budget_wake_at(const struct pool_budget *budget);

/* Connections that this daemon may hold at its place; 0 without a place. */
uint32_t pool_budget_limit(const struct pool_budget *budget);

/* True since enough connections were held to serve from, until the place changes. */
bool pool_budget_is_warm(const struct pool_budget *budget);

/* True if the place was lost and no connection counts any more. */
bool pool_budget_is_released(const struct pool_budget *budget);

/* True if no connection can be had: the place was lost and none is held. */
bool pool_budget_is_empty(const struct pool_budget *budget);

#endif
