/* Probes databases: one thread, with one control connection per database, which queries the
 * database's status at an interval and also carries the commands of a failover. The thread never
 * blocks on a single database, so an unreachable one delays no other. */
#ifndef SW_BACKEND_PROBER_H
#define SW_BACKEND_PROBER_H

#include <stdbool.h>
#include <stdint.h>

#include "backend/adapter.h"
#include "backend/channel.h"
#include "core/types.h"

struct prober;

/* Reports the result of a probe or of an answered command; called by the prober's thread. If the
 * database is not reachable, `status` is NULL. `at` is when the query was sent: the status was read
 * then or later. `round_trip_us` is smoothed over the probes. */
typedef void (*prober_status_callback)(void *user, uint32_t group, uint32_t database,
                                       bool reachable, const struct database_status *status,
                                       uint32_t round_trip_us, time_ns at);

/* Reports the result of a command; called once, by the prober's thread. DONE, with a status;
 * FAILED, with the sqlstate (55000: refused because of its term); NOT_SENT; LOST: it may still take
 * effect. */
typedef void (*prober_command_callback)(void *user, uint32_t group, uint32_t database,
                                        const struct channel_reply *reply);

struct prober_options {
    uint32_t interval_ms;     /* from one probe to the next */
    uint32_t timeout_ms;      /* an unanswered probe is a failure after this time */
    uint32_t open_timeout_ms; /* for opening the connection */
    prober_status_callback on_status;
    void *user;
};

/* Creates a prober and starts its thread. */
struct prober *prober_new(const struct prober_options *options);

/* Stops the thread and frees the prober; pending commands complete first, with NOT_SENT or LOST. */
void prober_free(struct prober *prober);

/* Starts to probe a database immediately. The settings are copied; a database of the same number is
 * replaced. Any thread. */
void prober_add(struct prober *prober, uint32_t group, uint32_t database,
                const struct connection_settings *settings);

/* Stops probing a database. A callback that is already in progress may still complete. Any thread.
 */
void prober_remove(struct prober *prober, uint32_t group, uint32_t database);

/* Changes the interval, from the next probe of each database on. Any thread. */
void prober_set_interval(struct prober *prober, uint32_t interval_ms);

/* Probes at once instead of at the interval. Any thread. */
void prober_probe_now(struct prober *prober, uint32_t group, uint32_t database);

/* Runs a command that does not block in the database (any but ADAPTER_COMMAND_WAIT_*). Its strings
 * are copied. NOT_SENT if the database is unknown, or not reached by `deadline`. Any thread. */
void prober_submit(struct prober *prober, uint32_t group, uint32_t database,
                   const struct adapter_call *call, time_ns deadline,
                   prober_command_callback callback, void *user);

#endif
