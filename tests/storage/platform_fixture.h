/* A platform stand-in in the test's process, and the client settings for it. */
#ifndef SW_TESTS_PLATFORM_FIXTURE_H
#define SW_TESTS_PLATFORM_FIXTURE_H

#include "storage/http_client.h"
#include "standins/platform/standin.h"

/* Time-out of a test client's calls, long enough not to expire on a busy machine. */
#define FIXTURE_CALL_TIMEOUT_MS 20000

struct platform_fixture {
    struct platform_standin *standin;
    struct platform_settings settings;
    char *url;
};

/* Starts a stand-in on a free port. */
void platform_fixture_start(struct platform_fixture *fixture,
                            const struct platform_standin_options *options);

/* Starts a stand-in with default options on the loopback address. */
void platform_fixture_start_plain(struct platform_fixture *fixture);

void platform_fixture_stop(struct platform_fixture *fixture);

/* Injects a fault into `count` requests (0: all), after the next `after` ones. */
void platform_fixture_fault(struct platform_fixture *fixture, enum platform_fault_kind kind,
                            enum platform_service service, uint32_t after, uint32_t count);

/* A loopback port that refuses connections. The socket is bound but does not listen, so that no
 * other program can take the port while it is open. */
struct refusing_port {
    int socket;
    char *url; /* "http://127.0.0.1:PORT" */
};

void refusing_port_open(struct refusing_port *port);

void refusing_port_close(struct refusing_port *port);

#endif
