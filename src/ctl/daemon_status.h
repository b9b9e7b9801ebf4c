/* Reading a daemon's status from its admin listener. */
#ifndef SW_CTL_DAEMON_STATUS_H
#define SW_CTL_DAEMON_STATUS_H

#include <json-glib/json-glib.h>

#include "storage/http_client.h"

/* An HTTP client for admin listeners. Its time-outs allow calls to several daemons one after the
 * other. */
struct http_client *daemon_status_client_new(void);

/* Makes a call and parses its reply's JSON object. The caller unreferences the node; NULL with
 * `error` set. */
JsonNode *daemon_status_call(struct http_client *client, const struct http_request *request,
                             long *status, GError **error);

/* Reads /v1/status at an admin URL: an object with an object "configuration". The caller
 * unreferences the node; NULL with `error` set. */
JsonNode *daemon_status_read(struct http_client *client, const char *admin_url, GError **error);

/* The version that a status names as in force; 0: none. */
uint64_t daemon_status_version(JsonNode *status);

#endif
