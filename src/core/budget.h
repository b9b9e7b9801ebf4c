/* Connection budget of one database at one daemon. A database accepts a few dozen connections in
 * total, from any number of daemons. Each connection holds a numbered lock of the database itself
 * (in PostgreSQL a session-level advisory lock), acquired right after the connection opens. A
 * number has at most one holder and becomes free exactly when that connection has ended at the
 * database. So the limit holds whatever the daemons' views, pauses and clocks; views only decide
 * which daemon tries which numbers. A reserve covers connections that are open but have no lock
 * yet. See docs/design/ownership.md. */
#ifndef SW_CORE_BUDGET_H
#define SW_CORE_BUDGET_H

#include "core/types.h"

#include <glib.h>

/* Maximum number of connections of one database. */
#define BUDGET_CONNECTIONS_MAX 128

struct budget_options {
    uint32_t limit;           /* connections that the database accepts */
    uint32_t owners;          /* owners that share the connections */
    uint32_t opening_reserve; /* maximum number of connections, of all owners, that are open without
                                 a number */
    uint32_t handover;        /* numbers reserved for new owners that warm up, shared by all */
    time_ns retry_wait;       /* wait before a number held by another daemon is tried again */
    time_ns handover_time;    /* maximum time for which a former owner keeps connections */
};

/* State of one of the database's numbers at this daemon. */
enum budget_slot_state {
    BUDGET_SLOT_FREE,    /* not held here */
    BUDGET_SLOT_OPENING, /* a connection is being opened or its lock acquired */
    BUDGET_SLOT_HELD,    /* a connection holds the lock */
    BUDGET_SLOT_CLOSING, /* being closed: counts until the connection has ended */
};

enum budget_action_kind {
    BUDGET_ACTION_OPEN,     /* open a connection, then acquire the lock of this number */
    BUDGET_ACTION_CLOSE,    /* finish the work in progress, then close this number's connection */
    BUDGET_ACTION_WARM,     /* notify the other owners that this daemon is ready to serve */
    BUDGET_ACTION_RELEASED, /* notify the other owners that this daemon has no connections left */
};

struct budget_action {
    enum budget_action_kind kind;
    uint32_t number; /* OPEN, CLOSE */
};

/* The budget of one database at one daemon. Used by one thread only. */
struct budget;

/* Sets the options for a limit: shares of the owners, the opening reserve and the numbers for
 * handover. */
void budget_options_for(struct budget_options *options, uint32_t limit, uint32_t owners);

/* Number of numbers: limit minus opening reserve. */
uint32_t budget_numbers(const struct budget_options *options);

/* Numbers in the share of one owner. */
uint32_t budget_share(const struct budget_options *options);

struct budget *budget_new(const struct budget_options *options);
void budget_free(struct budget *budget);

/* Sets this daemon's position among the owners, or -1. `handing_over` is true if the position
 * changed while all daemons concerned are alive: then the old owner serves until the new one is
 * warm. This and the following calls append struct budget_action to `actions`. */
void budget_set_position(struct budget *budget, int32_t position, bool handing_over, time_ns now,
                         GArray *actions);

/* Another daemon that shares the database reported that it is warm, or that it has released its
 * connections. */
void budget_peer_warm(struct budget *budget, time_ns now, GArray *actions);
void budget_peer_released(struct budget *budget, time_ns now, GArray *actions);

/* Results of the actions. `opened`: the connection holds the lock. `number_taken`: another
 * connection holds the number, and the caller has closed this one. `failed`: no connection was
 * established. `closed`: the connection ended, on request or not. */
void budget_opened(struct budget *budget, uint32_t number, time_ns now, GArray *actions);
void budget_number_taken(struct budget *budget, uint32_t number, time_ns now, GArray *actions);
void budget_failed(struct budget *budget, uint32_t number, time_ns now, GArray *actions);
void budget_closed(struct budget *budget, uint32_t number, time_ns now, GArray *actions);

void budget_tick(struct budget *budget, time_ns now, GArray *actions);
time_ns budget_next_wakeup(const struct budget *budget);

/* Connections held, and all that count at the database: held, being opened or being closed. */
uint32_t budget_held(const struct budget *budget);
uint32_t budget_counted(const struct budget *budget);

enum budget_slot_state budget_slot(const struct budget *budget, uint32_t number);

/* True if this daemon may serve from its connections: it holds some and is an owner, or a former
 * owner during a handover. */
bool budget_serving(const struct budget *budget);

size_t budget_memory(const struct budget *budget);

#endif
