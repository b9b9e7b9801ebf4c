/* Calls of a daemon's admin listener: HTTP with JSON answers. */
#ifndef SW_CTL_ADMIN_CLIENT_H
#define SW_CTL_ADMIN_CLIENT_H

#include <json-glib/json-glib.h>

#include "ctl/command.h"

/* Sends one call and writes its answer. `query` is NULL, or the encoded query without '?'. */
enum exit_code admin_client_call(struct invocation *invocation, const char *method,
                                 const char *path, const char *query);

/* Asks for octets and writes them to a file. */
enum exit_code admin_client_save(struct invocation *invocation, const char *path, const char *query,
                                 const char *file);

/* Appends "NAME=VALUE" to a query, with the value encoded; nothing if the value is NULL. */
void admin_query_add(GString *query, const char *name, const char *value);

#endif
