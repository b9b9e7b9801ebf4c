/* Helpers that write members of the admin API's JSON. Each builder is used by one thread. */
#ifndef SW_DAEMON_ADMIN_JSON_H
#define SW_DAEMON_ADMIN_JSON_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

void admin_json_text(JsonBuilder *builder, const char *name, const char *value);
void admin_json_number(JsonBuilder *builder, const char *name, uint64_t value);
void admin_json_flag(JsonBuilder *builder, const char *name, bool value);

/* {"term", "offset"} */
void admin_json_position(JsonBuilder *builder, const char *name, struct log_position position);

/* A wall-clock time in microseconds, as ISO 8601 in UTC. */
void admin_json_time(JsonBuilder *builder, const char *name, int64_t at_us);

/* Appends the finished value, pretty-printed. */
void admin_json_finish(JsonBuilder *builder, GString *out);

/* "primary", "replica" or "unknown". */
const char *database_role_text(enum database_role role);

#endif
