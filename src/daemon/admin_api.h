/* The admin listener's HTTP calls for operators; see docs/http-api.md. */
#ifndef SW_DAEMON_ADMIN_API_H
#define SW_DAEMON_ADMIN_API_H

#include <glib.h>
#include <stdbool.h>

struct daemon;

/* Starts the admin listener. */
bool admin_api_start(struct daemon *daemon, GError **error);

/* Stops the listener. May be called if it was not started. */
void admin_api_stop(struct daemon *daemon);

#endif
