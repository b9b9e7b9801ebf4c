/* Calls of a daemon's admin listener: HTTP with JSON replies. */
#ifndef SW_CTL_ADMIN_CLIENT_H
#define SW_CTL_ADMIN_CLIENT_H

#include <json-glib/json-glib.h>

#include "ctl/command.h"

/* The result of a call. Cleared by admin_result_clear. */
struct admin_result {
    enum exit_code exit_code;
    JsonNode *node; /* the reply; NULL unless the call succeeded */
    char *kind;     /* error kind; this and `text` are NULL if the call succeeded */
    char *text;
};

/* Sends one call to a daemon. `query` is NULL, or the encoded query without '?'. */
void admin_client_fetch(const struct invocation *invocation, const char *admin_url,
                        const char *method, const char *path, const char *query,
                        struct admin_result *result);
void admin_result_clear(struct admin_result *result);

/* Writes a reply in the output format of the invocation. */
void admin_client_write(struct invocation *invocation, JsonNode *node);

/* Sends one call to the first daemon given, and writes its reply or error. */
enum exit_code admin_client_call(struct invocation *invocation, const char *method,
                                 const char *path, const char *query);

/* Sends one call and writes the body of its reply to a file. */
enum exit_code admin_client_save(struct invocation *invocation, const char *path, const char *query,
                                 const char *file);

/* Appends "NAME=VALUE" to a query, with the value encoded; nothing if the value is NULL. */
void admin_query_add(GString *query, const char *name, const char *value);

#endif
