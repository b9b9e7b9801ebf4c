/* A platform stand-in in the test's own process, and settings that reach it. */
#ifndef SW_TESTS_PLATFORM_FIXTURE_H
#define SW_TESTS_PLATFORM_FIXTURE_H

#include "storage/http_client.h"
#include "standins/platform/standin.h"

/* Wait of a test's client for an answer: long enough never to pass by chance. */
#define FIXTURE_CALL_TIMEOUT_MS 20000

struct platform_fixture {
    struct platform_standin *standin;
    struct platform_settings settings;
    char *url;
};

/* Starts a stand-in at a free port. */
void platform_fixture_start(struct platform_fixture *fixture,
                            const struct platform_standin_options *options);

/* Starts a stand-in without limits. */
void platform_fixture_start_plain(struct platform_fixture *fixture);

void platform_fixture_stop(struct platform_fixture *fixture);

/* Adds a fault for `count` requests after `after` others. */
void platform_fixture_fault(struct platform_fixture *fixture, enum platform_fault_kind kind,
                            enum platform_service service, uint32_t after, uint32_t count);

/* A port of the loopback that refuses connections for as long as the socket stays open: it is bound
 * but not listened at, so no other program can get it. */
struct refusing_port {
    int socket;
    char *url; /* "http://127.0.0.1:PORT" */
};

void refusing_port_open(struct refusing_port *port);

void refusing_port_close(struct refusing_port *port);

#endif
