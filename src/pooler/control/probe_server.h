/* The edge of readiness and metrics: a small server that the entry and monitoring ask. The adapter
 * implements it; it runs on the control thread's event loop. */
#ifndef SW_POOLER_PROBE_SERVER_H
#define SW_POOLER_PROBE_SERVER_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

struct probe_server_callbacks {
    bool (*is_ready)(void *user);
    char *(*metrics)(void *user); /* text, freed by g_free */
    void *user;
};

struct probe_server;

/* `metrics_address` with port 0: no metrics are served. NULL with `error` if an address is taken.
 */
struct probe_server *probe_server_new(struct event_base *base,
                                      const struct sockaddr_in *ready_address,
                                      const struct sockaddr_in *metrics_address,
                                      const struct probe_server_callbacks *callbacks,
                                      GError **error);
void probe_server_free(struct probe_server *server);

#endif
