/* Watches databases: one thread and one control connection for each database, which asks for its
 * status at an interval and also carries the commands of a failover. Nothing waits on a single
 * database, so one that is cut off delays no other. */
#ifndef SW_BACKEND_PROBER_H
#define SW_BACKEND_PROBER_H

#include <stdbool.h>
#include <stdint.h>

#include "backend/adapter.h"
#include "backend/channel.h"
#include "core/types.h"

struct prober;

/* What a probe, or a command that was answered, showed; called by the prober's thread. While not
 * reachable there is no status (NULL). `at` is when the question was sent: the status was true then
 * or later. The round trip is smoothed over probes, in microseconds. */
typedef void (*prober_status_callback)(void *user, uint32_t group, uint32_t database,
                                       bool reachable, const struct database_status *status,
                                       uint32_t round_trip_us, time_ns at);

/* What came of a command; called once, by the prober's thread. DONE, with a status; FAILED, with
 * the sqlstate (55000: refused for its term); NOT_SENT; LOST: it may still take effect. */
typedef void (*prober_command_callback)(void *user, uint32_t group, uint32_t database,
                                        const struct channel_reply *reply);

struct prober_options {
    uint32_t interval_ms;     /* from one probe to the next */
    uint32_t timeout_ms;      /* without an answer for so long the database is not reachable */
    uint32_t open_timeout_ms; /* for opening the connection */
    prober_status_callback on_status;
    void *user;
};

/* Starts the thread. */
struct prober *prober_new(const struct prober_options *options);

/* Ends the thread; commands not ended are completed first, as NOT_SENT or LOST. */
void prober_free(struct prober *prober);

/* Starts to probe a database, at once. The settings are copied; a database that was there under the
 * same number is replaced. Any thread. */
void prober_add(struct prober *prober, uint32_t group, uint32_t database,
                const struct connection_settings *settings);

/* Stops probing a database. A callback that is under way may still come. Any thread. */
void prober_remove(struct prober *prober, uint32_t group, uint32_t database);

/* Changes the interval, from the next probe of each database on. Any thread. */
void prober_set_interval(struct prober *prober, uint32_t interval_ms);

/* Probes at once instead of at the interval. Any thread. */
void prober_probe_now(struct prober *prober, uint32_t group, uint32_t database);

/* Runs a command that does not wait at the database (any but the WAIT ones). Its strings are
 * copied. NOT_SENT if the database is not known, or not reached by `deadline`. Any thread. */
void prober_submit(struct prober *prober, uint32_t group, uint32_t database,
                   const struct adapter_call *call, time_ns deadline,
                   prober_command_callback callback, void *user);

#endif
