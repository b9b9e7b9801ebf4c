/* One control connection, driven without ever waiting by the poll loop of the prober or of the
 * evidence service. Commands are pipelined: several may be under way, and end in order. */
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
    /* Closed connections that the database may still count while another is opened. */
    uint32_t closing_max;
};

/* What came of a command. */
struct channel_reply {
    enum execute_result result;    /* DONE, FAILED, NOT_SENT or LOST */
    struct database_status status; /* with DONE */
    char sqlstate[SQLSTATE_SIZE];  /* with FAILED */
    time_ns sent_at;
    time_ns received_at;
};

/* Called once for each command, by channel_advance, channel_close or channel_free. It may send
 * other commands if the channel is open, and must not free it. */
typedef void (*channel_callback)(void *user, const struct channel_reply *reply);

/* A closed channel. */
struct channel *channel_new(const struct channel_options *options);

/* Closes and frees. */
void channel_free(struct channel *channel);

enum channel_state channel_state(const struct channel *channel);

/* Commands sent and not answered. */
uint32_t channel_outstanding(const struct channel *channel);

/* Starts to open a closed channel. False if that failed at once, or if too many closed connections
 * have not ended at the database yet. */
bool channel_open(struct channel *channel, time_ns now);

/* Closes it; commands under way are LOST. */
void channel_close(struct channel *channel, time_ns now);

/* Sends a command over an open channel; without an answer by `deadline` the channel closes. */
void channel_send(struct channel *channel, const struct adapter_call *call, time_ns deadline,
                  channel_callback callback, void *user, time_ns now);

/* What to poll for; the descriptor is -1 while closed. */
struct pollfd channel_pollfd(const struct channel *channel);

/* When channel_advance must be called even if nothing is ready; UINT64_MAX for never. */
time_ns channel_wake_at(const struct channel *channel);

/* Takes the steps that are possible, given the events that came. */
void channel_advance(struct channel *channel, short ready, time_ns now);

#endif
