/* Stand-in for the platform in tests: a table service (DynamoDB JSON), an object store (S3 REST)
 * and the list of machines, in memory, on one HTTP port of the loopback. Requests and replies have
 * the published protocols' formats; signatures are not checked. Tests can inject faults. */
#ifndef SW_STANDINS_PLATFORM_STANDIN_H
#define SW_STANDINS_PLATFORM_STANDIN_H

#include <stdint.h>

#include <glib.h>

#include "standins/platform/fault.h"

/* Tables that exist from the start. Listings of the second one lag by `machine_list_lag_ms`. */
#define PLATFORM_STANDIN_TABLE         "swiftworks"
#define PLATFORM_STANDIN_MACHINE_TABLE "machines"

struct platform_standin_options {
    const char *host;             /* IPv4 number to listen at */
    uint16_t port;                /* 0: any free port */
    uint32_t table_rate;          /* requests a second, also the burst; 0: no limit */
    uint32_t object_rate;         /* likewise, for objects */
    uint32_t machine_list_lag_ms; /* age of the state that listings of machines show */
    int64_t (*now_us)(void);      /* clock; NULL: the monotonic clock */
};

/* Requests received, and those rejected by a rate limit or a throttle fault. */
struct platform_standin_counts {
    uint64_t table_requests;
    uint64_t object_requests;
    uint64_t throttled;
};

struct platform_standin;

/* Starts serving in threads of its own; NULL with `error` set if it can't listen. */
struct platform_standin *platform_standin_start(const struct platform_standin_options *options,
                                                GError **error);

/* Stops the server and frees everything. */
void platform_standin_stop(struct platform_standin *standin);

/* The port of the listener. */
uint16_t platform_standin_port(const struct platform_standin *standin);

/* Adds a fault. Safe in any thread. */
void platform_standin_add_fault(struct platform_standin *standin,
                                const struct platform_fault *fault);

/* Removes all faults and ends the delays of slow requests. Safe in any thread. */
void platform_standin_heal(struct platform_standin *standin);

/* The counts so far. Safe in any thread. */
struct platform_standin_counts platform_standin_counts(struct platform_standin *standin);

#endif
