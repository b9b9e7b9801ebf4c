/* Connection budget of one database at one daemon. A database accepts a few dozen connections in
 * all, from however many daemons. Each connection holds a numbered lock of the database itself (in
 * PostgreSQL a session's advisory lock), taken right after it opens: a number has one holder at
 * most, and becomes free exactly when that connection has ended at the database. So the limit holds
 * under any views, pauses and clocks; views only decide who tries which numbers. A reserve covers
 * the moment between opening and locking. See docs/design/ownership.md. */
#ifndef SW_CORE_BUDGET_H
#define SW_CORE_BUDGET_H

#include "core/types.h"

#include <glib.h>

/* Connections of one database, at most. */
#define BUDGET_CONNECTIONS_MAX 128

struct budget_options {
    uint32_t limit;           /* connections that the database accepts */
    uint32_t owners;          /* that share it */
    uint32_t opening_reserve; /* connections that may be open without a number yet, in all */
    uint32_t handover;        /* numbers kept for new owners that warm up, shared by all */
    time_ns retry_wait;       /* before a number that another holds is tried again */
    time_ns handover_time;    /* after this a daemon that lost its place closes in any case */
};

/* One of the database's numbers, as this daemon sees it. */
enum budget_slot_state {
    BUDGET_SLOT_FREE,    /* not held here */
    BUDGET_SLOT_OPENING, /* a connection is being opened or its lock taken */
    BUDGET_SLOT_HELD,    /* a connection holds the lock */
    BUDGET_SLOT_CLOSING, /* being closed: counts until its end */
};

enum budget_action_kind {
    BUDGET_ACTION_OPEN,     /* open a connection, then take the lock of this number */
    BUDGET_ACTION_CLOSE,    /* end its work in flight, then close this number's connection */
    BUDGET_ACTION_WARM,     /* tell the other owners that this daemon is ready to serve */
    BUDGET_ACTION_RELEASED, /* tell the other owners that this daemon holds nothing any more */
};

struct budget_action {
    enum budget_action_kind kind;
    uint32_t number; /* OPEN, CLOSE */
};

/* The budget of one database at one daemon. One thread only. */
struct budget;

/* Fills in the settings for a limit: shares for the owners, a reserve and numbers for hand-over. */
void budget_options_for(struct budget_options *options, uint32_t limit, uint32_t owners);

/* Numbers that exist: limit less the opening reserve. */
uint32_t budget_numbers(const struct budget_options *options);

/* Numbers in the share of one owner. */
uint32_t budget_share(const struct budget_options *options);

struct budget *budget_new(const struct budget_options *options);
void budget_free(struct budget *budget);

/* Tells this daemon's place among the owners, or -1. `handing_over` is true where the place was
 * lost or gained with all daemons concerned alive: then the old owner serves until the new one is
 * warm. All calls append struct budget_action to `actions`. */
void budget_set_position(struct budget *budget, int32_t position, bool handing_over, time_ns now,
                         GArray *actions);

/* Another daemon that shares the database told that it is warm or has released its connections. */
void budget_peer_warm(struct budget *budget, time_ns now, GArray *actions);
void budget_peer_released(struct budget *budget, time_ns now, GArray *actions);

/* The shell's answers. `number_taken`: the connection opened, but another holds the number; the
 * shell has closed it. `failed`: no connection came about. `closed`: it ended, by order or not. */
void budget_opened(struct budget *budget, uint32_t number, time_ns now, GArray *actions);
void budget_number_taken(struct budget *budget, uint32_t number, time_ns now, GArray *actions);
void budget_failed(struct budget *budget, uint32_t number, time_ns now, GArray *actions);
void budget_closed(struct budget *budget, uint32_t number, time_ns now, GArray *actions);

void budget_tick(struct budget *budget, time_ns now, GArray *actions);
time_ns budget_next_wakeup(const struct budget *budget);

/* Connections held, and all that count at the database: held, being opened or closed. */
uint32_t budget_held(const struct budget *budget);
uint32_t budget_counted(const struct budget *budget);

enum budget_slot_state budget_slot(const struct budget *budget, uint32_t number);

/* True if this daemon may serve from its connections: it holds some and was not told to go. */
bool budget_serving(const struct budget *budget);

size_t budget_memory(const struct budget *budget);

#endif
