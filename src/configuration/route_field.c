/* Table of the fields of a route. */
#include "configuration/route_field.h"

#include <string.h>

/* Description of an integer field. */
#define INTEGER_FIELD(field_name, low, high, fallback)                                             \
    {                                                                                              \
        .name = #field_name, .bounds = {VALUE_TYPE_INTEGER, (low), (high), NULL},                  \
        .default_value = (fallback), .offset = offsetof(struct tenant_route, field_name)           \
    }

/* Description of a boolean field. */
#define BOOLEAN_FIELD(field_name, fallback)                                                        \
    {                                                                                              \
        .name = #field_name, .bounds = {VALUE_TYPE_BOOLEAN, 0, 1, NULL},                           \
        .default_value = (fallback), .offset = offsetof(struct tenant_route, field_name)           \
    }

static const struct route_field_info fields[ROUTE_FIELD_COUNT] = {
    [ROUTE_FIELD_GROUP] = {.name = "group",
                           .bounds = {VALUE_TYPE_GROUP, 0, 0, NULL},
                           .required = true,
                           .offset = offsetof(struct tenant_route, group)},
    [ROUTE_FIELD_MAX_STALENESS_MS] = INTEGER_FIELD(max_staleness_ms, 0, 3600000, 0),
    [ROUTE_FIELD_READ_WAIT_MS] = INTEGER_FIELD(read_wait_ms, 0, 5000, 50),
    [ROUTE_FIELD_READ_PRIMARY_SHARE_PERCENT] =
        INTEGER_FIELD(read_primary_share_percent, 0, 100, 20),
    [ROUTE_FIELD_READS_FROM_REPLICAS] = BOOLEAN_FIELD(reads_from_replicas, 1),
    [ROUTE_FIELD_WEIGHT] = INTEGER_FIELD(weight, 1, 1000, 100),
    [ROUTE_FIELD_IN_FLIGHT_LIMIT] = INTEGER_FIELD(in_flight_limit, 1, 10000, 256),
    [ROUTE_FIELD_REQUEST_TIMEOUT_MS] = INTEGER_FIELD(request_timeout_ms, 50, 60000, 5000),
    [ROUTE_FIELD_TRANSACTION_IDLE_MS] = INTEGER_FIELD(transaction_idle_ms, 100, 60000, 5000),
    [ROUTE_FIELD_TRANSACTION_TOTAL_MS] = INTEGER_FIELD(transaction_total_ms, 100, 300000, 30000),
    [ROUTE_FIELD_WRITES_REQUIRE_KEY] = BOOLEAN_FIELD(writes_require_key, 0),
    [ROUTE_FIELD_IDEMPOTENCY_DAYS] = INTEGER_FIELD(idempotency_days, 1, 90, 7),
};

static const char *const type_names[] = {
    [VALUE_TYPE_INTEGER] = "integer",
    [VALUE_TYPE_BOOLEAN] = "boolean",
    [VALUE_TYPE_GROUP] = "group",
};

const struct route_field_info *route_field_info(enum route_field field)
{
    g_assert(field < ROUTE_FIELD_COUNT);
    return &fields[field];
}

bool route_field_find(const char *name, enum route_field *field)
{
    for (guint i = 0; i < ROUTE_FIELD_COUNT; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            *field = (enum route_field)i;
            return true;
        }
    }
    return false;
}

void route_field_set(struct tenant_route *route, enum route_field field, int64_t value)
{
    const struct route_field_info *info = route_field_info(field);
    char *target = (char *)route + info->offset;

    if (info->bounds.type == VALUE_TYPE_BOOLEAN) {
        *(bool *)target = value != 0;
        return;
    }
    *(uint32_t *)target = (uint32_t)value;
}

int64_t route_field_get(const struct tenant_route *route, enum route_field field)
{
    const struct route_field_info *info = route_field_info(field);
    const char *target = (const char *)route + info->offset;

    if (info->bounds.type == VALUE_TYPE_BOOLEAN) {
        return *(const bool *)target ? 1 : 0;
    }
    return *(const uint32_t *)target;
}

char *route_field_text(const struct configuration *configuration, const struct tenant_route *route,
                       enum route_field field)
{
    int64_t value = route_field_get(route, field);

    switch (route_field_info(field)->bounds.type) {
    case VALUE_TYPE_GROUP:
        return g_strdup(configuration_find_group(configuration, (uint32_t)value)->name);
    case VALUE_TYPE_BOOLEAN:
        return g_strdup(value != 0 ? "true" : "false");
    case VALUE_TYPE_INTEGER:
        break;
    }
    return g_strdup_printf("%" G_GINT64_FORMAT, value);
}

const char *value_type_name(enum value_type type)
{
    return type_names[type];
}

bool value_type_find(const char *name, enum value_type *type)
{
    for (guint i = 0; i < G_N_ELEMENTS(type_names); i++) {
        if (strcmp(type_names[i], name) == 0) {
            *type = (enum value_type)i;
            return true;
        }
    }
    return false;
}
