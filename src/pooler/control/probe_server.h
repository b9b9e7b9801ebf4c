/**
 * @file
 * @brief Interface of the server for readiness probes, which the load balancer sends, and for
 * metrics. The adapter to a platform implements it. It runs on the control thread's event loop.
 */
#ifndef SW_POOLER_PROBE_SERVER_H
#define SW_POOLER_PROBE_SERVER_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

struct probe_server_callbacks {
    bool (*is_ready)(void *user);
    char *(*metrics)(void *user); /* text, freed with g_free() */
    void *user;
};

struct probe_server;

/** @param metrics_address with port 0, no metrics are served.
 *  @return NULL with `error` if an address is in use. */
struct probe_server *probe_server_new(struct event_base *base,
                                      const struct sockaddr_in *ready_address,
                                      const struct sockaddr_in *metrics_address,
                                      const struct probe_server_callbacks *callbacks,
                                      GError **error);
void probe_server_free(struct probe_server *server);

#endif
