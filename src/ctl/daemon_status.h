/* Reading a daemon's status from its admin listener. */
#ifndef SW_CTL_DAEMON_STATUS_H
#define SW_CTL_DAEMON_STATUS_H

#include <json-glib/json-glib.h>

#include "storage/http_client.h"

/* A client of admin listeners, with time-outs that suit several daemons in turn. */
struct http_client *daemon_status_client_new(void);

/* Reads the JSON object of an answer. The caller unreferences the node; NULL with `error` set. */
JsonNode *daemon_status_call(struct http_client *client, const struct http_request *request,
                             long *status, GError **error);

/* Reads /v1/status at an admin URL: an object with an object "configuration". The caller
 * unreferences the node; NULL with `error` set. */
JsonNode *daemon_status_read(struct http_client *client, const char *admin_url, GError **error);

/* The version that a status tells as in force; 0: none. */
uint64_t daemon_status_version(JsonNode *status);

#endif
