/* A template: parameters whose values tenants give, and their mapping to the fields of a route. */
#ifndef SW_CONFIGURATION_TEMPLATE_H
#define SW_CONFIGURATION_TEMPLATE_H

#include "configuration/route_field.h"

/* One parameter; required of a tenant unless it has a default. */
struct template_parameter {
    char *name;
    char *description; /* NULL if none */
    struct value_bounds bounds;
    bool has_default; /* false: each tenant must give it */
    int64_t default_value;
    bool valid; /* false if its definition has a fault; only seen while parsing */
};

/* Source of a route's field: a parameter or a constant. */
struct route_setting {
    int32_t parameter; /* index of the parameter, or ROUTE_SETTING_CONSTANT */
    int64_t constant;  /* the value if there is no parameter */
};

#define ROUTE_SETTING_CONSTANT (-1)

/* One template. Immutable once parsed. */
struct configuration_template {
    char *name;
    char *description;     /* NULL if none */
    GPtrArray *parameters; /* struct template_parameter by name */
    struct route_setting settings[ROUTE_FIELD_COUNT];
    bool valid; /* false if its definition has a fault; only seen while parsing */
};

/* The template with this name, or NULL. O(1). */
const struct configuration_template *
configuration_find_template(const struct configuration *configuration, const char *name);

/* Index of the parameter with this name, or -1. */
int32_t template_find_parameter(const struct configuration_template *template_entry,
                                const char *name);

/* Frees a template and its parameters. */
void configuration_template_free(struct configuration_template *template_entry);

#endif
