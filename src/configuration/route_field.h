/* Table of the fields of a route: name in a bundle, type, bounds and default. Templates set fields
 * to constants or to parameters within these bounds. */
#ifndef SW_CONFIGURATION_ROUTE_FIELD_H
#define SW_CONFIGURATION_ROUTE_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "configuration/configuration.h"

/* Types of parameters and of route fields. */
enum value_type {
    VALUE_TYPE_INTEGER,
    VALUE_TYPE_BOOLEAN,
    VALUE_TYPE_GROUP, /* the name of a database group */
};

/* Type and allowed range of a value. */
struct value_bounds {
    enum value_type type;
    int64_t minimum;   /* of integers */
    int64_t maximum;   /* of integers */
    GPtrArray *groups; /* of groups: char *, allowed names; NULL: all */
};

enum route_field {
    ROUTE_FIELD_GROUP,
    ROUTE_FIELD_MAX_STALENESS_MS,
    ROUTE_FIELD_READ_WAIT_MS,
    ROUTE_FIELD_READ_PRIMARY_SHARE_PERCENT,
    ROUTE_FIELD_READS_FROM_REPLICAS,
    ROUTE_FIELD_WEIGHT,
    ROUTE_FIELD_IN_FLIGHT_LIMIT,
    ROUTE_FIELD_REQUEST_TIMEOUT_MS,
    ROUTE_FIELD_TRANSACTION_IDLE_MS,
    ROUTE_FIELD_TRANSACTION_TOTAL_MS,
    ROUTE_FIELD_WRITES_REQUIRE_KEY,
    ROUTE_FIELD_IDEMPOTENCY_DAYS,
    ROUTE_FIELD_COUNT,
};

/* Description of one field. */
struct route_field_info {
    const char *name;
    struct value_bounds bounds;
    bool required;         /* no default: a template must set it */
    int64_t default_value; /* booleans: 0 or 1 */
    size_t offset;         /* in struct tenant_route */
};

/* The description of a field. */
const struct route_field_info *route_field_info(enum route_field field);

/* The field with this name; false if there is none. */
bool route_field_find(const char *name, enum route_field *field);

/* Sets a field of a route. A group is given by id, a boolean as 0 or 1. */
void route_field_set(struct tenant_route *route, enum route_field field, int64_t value);

/* Reads a field of a route, in the form that route_field_set takes. */
int64_t route_field_get(const struct tenant_route *route, enum route_field field);

/* A field of a route as text for operators; a group by its name. The caller frees it. */
char *route_field_text(const struct configuration *configuration, const struct tenant_route *route,
                       enum route_field field);

/* "integer", "boolean" or "group". */
const char *value_type_name(enum value_type type);

/* The type with this name; false if there is none. */
bool value_type_find(const char *name, enum value_type *type);

#endif
