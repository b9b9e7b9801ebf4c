/* One control connection to a database, without blocking calls: the poll loop of the prober or of
 * the evidence service drives it. Commands are pipelined: several may be outstanding, and they
 * complete in order. */
#ifndef SW_BACKEND_CHANNEL_H
#define SW_BACKEND_CHANNEL_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/adapter.h"
#include "backend/connection.h"
#include "core/types.h"

enum channel_state {
    CHANNEL_STATE_CLOSED,
    CHANNEL_STATE_OPENING,
    CHANNEL_STATE_OPEN,
};

/* Owned by the poll loop that drives it; no locks. */
struct channel;

struct channel_options {
    struct connection_settings connection; /* copied */
    uint32_t open_timeout_ms;
    /* Closed connections that the database may still count, at most, when another is opened. */
    uint32_t closing_max;
};

/* Result of a command. */
struct channel_reply {
    enum execute_result result;    /* DONE, FAILED, NOT_SENT or LOST */
    struct database_status status; /* with DONE */
    char sqlstate[SQLSTATE_SIZE];  /* with FAILED */
    time_ns sent_at;
    time_ns received_at;
};

/* Called once per command, from channel_advance, channel_close or channel_free. It may send further
 * commands if the channel is open, and must not free the channel. */
typedef void (*channel_callback)(void *user, const struct channel_reply *reply);

/* Creates a closed channel. */
struct channel *channel_new(const struct channel_options *options);

/* Closes and frees. */
void channel_free(struct channel *channel);

enum channel_state channel_state(const struct channel *channel);

/* Commands sent and not answered. */
uint32_t channel_outstanding(const struct channel *channel);

/* Starts to open a closed channel. False if that failed at once, or if more than `closing_max`
 * closed connections are still open at the database. */
bool channel_open(struct channel *channel, time_ns now);

/* Closes the channel; outstanding commands complete with LOST. */
void channel_close(struct channel *channel, time_ns now);

/* Sends a command over an open channel. If there is no answer by `deadline`, the channel closes. */
void channel_send(struct channel *channel, const struct adapter_call *call, time_ns deadline,
                  channel_callback callback, void *user, time_ns now);

/* What to poll for; the descriptor is -1 while closed. */
struct pollfd channel_pollfd(const struct channel *channel);

/* Time at which channel_advance must be called even if the descriptor is not ready; UINT64_MAX for
 * never. */
time_ns channel_wake_at(const struct channel *channel);

/* Handles the poll events in `ready` and expired deadlines. Never blocks. */
void channel_advance(struct channel *channel, short ready, time_ns now);

#endif
