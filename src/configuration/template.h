/* A template: parameters that tenants fill in, and how a route's fields follow from them. */
#ifndef SW_CONFIGURATION_TEMPLATE_H
#define SW_CONFIGURATION_TEMPLATE_H

#include "configuration/route_field.h"

/* One parameter that a tenant may or must give. */
struct template_parameter {
    char *name;
    char *description; /* NULL if none */
    struct value_bounds bounds;
    bool has_default; /* false: each tenant must give it */
    int64_t default_value;
    bool valid; /* false while parsing a bundle with a fault here */
};

/* Where a route's field comes from. */
struct route_setting {
    int32_t parameter; /* index of the parameter, or ROUTE_SETTING_CONSTANT */
    int64_t constant;  /* the value otherwise */
};

#define ROUTE_SETTING_CONSTANT (-1)

/* One template. Immutable once parsed. */
struct configuration_template {
    char *name;
    char *description;     /* NULL if none */
    GPtrArray *parameters; /* struct template_parameter by name */
    struct route_setting settings[ROUTE_FIELD_COUNT];
    bool valid; /* false while parsing a bundle with a fault here */
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
