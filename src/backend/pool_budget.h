/* A pool's connection budget: which of the database's connection numbers the pool's connections
 * hold, and which number to open next. Translates the actions of core/budget.h into operations of
 * the pool. All calls are made under the pool's lock. */
#ifndef SW_BACKEND_POOL_BUDGET_H
#define SW_BACKEND_POOL_BUDGET_H

#include "backend/connection.h"
#include "core/budget.h"

struct pool_budget;

/* Why a connection was closed: after use, or after a failed attempt to open it. */
enum pool_close_cause {
    POOL_CLOSE_AFTER_USE,    /* it was usable and held its number */
    POOL_CLOSE_NUMBER_TAKEN, /* another connection holds its number */
    POOL_CLOSE_FAILED,       /* it could not be opened */
};

struct pool_budget *pool_budget_new(const struct budget_options *options);
void pool_budget_free(struct pool_budget *budget);

/* See budget_set_position, budget_peer_warm and budget_peer_released. */
void pool_budget_set_position(struct pool_budget *budget, int32_t position, bool handing_over,
                              time_ns now);
void pool_budget_peer_warm(struct pool_budget *budget, time_ns now);
void pool_budget_peer_released(struct pool_budget *budget, time_ns now);

/* True if a connection should be opened. */
bool pool_budget_needs_open(const struct pool_budget *budget);

/* Takes the number of the connection to be opened now. */
uint32_t pool_budget_begin_open(struct pool_budget *budget);

/* Records that the connection holds the lock of its number. */
void pool_budget_opened(struct pool_budget *budget, struct backend_connection *connection,
                        time_ns now);

/* Records that a connection that holds its number is about to be closed. */
void pool_budget_closing(struct pool_budget *budget, const struct backend_connection *connection);

/* Records that the database has closed its end of the connection. */
void pool_budget_ended(struct pool_budget *budget, uint32_t number, enum pool_close_cause cause,
                       time_ns now);

/* Runs the timers that are due. pool_budget_wake_at gives the time of the next one, UINT64_MAX for
 * never. */
void pool_budget_tick(struct pool_budget *budget, time_ns now);
time_ns pool_budget_wake_at(const struct pool_budget *budget);

/* Connections that this daemon may hold at its position; 0 without a position. */
uint32_t pool_budget_limit(const struct pool_budget *budget);

/* True once enough connections to serve from were held, until the position changes. */
bool pool_budget_is_warm(const struct pool_budget *budget);

/* True if this daemon lost its position and the database counts none of its connections any more.
 */
bool pool_budget_is_released(const struct pool_budget *budget);

/* True if no connection can be acquired: this daemon lost its position and holds no connection. */
bool pool_budget_is_empty(const struct pool_budget *budget);

#endif
