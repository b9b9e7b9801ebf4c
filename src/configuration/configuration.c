/* The configuration: reference counting and look-ups. */
#include "configuration/configuration.h"

#include <string.h>

#include "configuration/template.h"

static void configuration_clear(struct configuration *configuration)
{
    g_clear_pointer(&configuration->canonical, g_bytes_unref);
    g_clear_pointer(&configuration->hash, g_free);
    g_hash_table_unref(configuration->zones_by_name);
    g_hash_table_unref(configuration->groups_by_id);
    g_hash_table_unref(configuration->groups_by_name);
    g_hash_table_unref(configuration->templates_by_name);
    g_hash_table_unref(configuration->tenants_by_name);
    g_ptr_array_unref(configuration->tenants);
    g_ptr_array_unref(configuration->templates);
    g_ptr_array_unref(configuration->groups);
    g_ptr_array_unref(configuration->zones);
}

struct configuration *configuration_ref(struct configuration *configuration)
{
    return g_atomic_rc_box_acquire(configuration);
}

void configuration_unref(struct configuration *configuration)
{
    if (configuration == NULL) {
        return;
    }
    g_atomic_rc_box_release_full(configuration, (GDestroyNotify)configuration_clear);
}

const struct tenant_route *configuration_find_tenant(const struct configuration *configuration,
                                                     const char *tenant)
{
    return g_hash_table_lookup(configuration->tenants_by_name, tenant);
}

const struct group_configuration *
configuration_find_group(const struct configuration *configuration, uint32_t group)
{
    return g_hash_table_lookup(configuration->groups_by_id, GUINT_TO_POINTER(group));
}

const struct group_configuration *
configuration_find_group_by_name(const struct configuration *configuration, const char *name)
{
    return g_hash_table_lookup(configuration->groups_by_name, name);
}

const struct zone_configuration *
configuration_find_zone_by_name(const struct configuration *configuration, const char *name)
{
    return g_hash_table_lookup(configuration->zones_by_name, name);
}

const struct configuration_template *
configuration_find_template(const struct configuration *configuration, const char *name)
{
    return g_hash_table_lookup(configuration->templates_by_name, name);
}

const struct group_configuration *
configuration_find_database(const struct configuration *configuration, const char *database,
                            uint32_t *index)
{
    for (guint i = 0; i < configuration->groups->len; i++) {
        const struct group_configuration *group = g_ptr_array_index(configuration->groups, i);
        for (uint32_t j = 0; j < group->database_count; j++) {
            if (strcmp(group->databases[j].name, database) == 0) {
                *index = j;
                return group;
            }
        }
    }
    return NULL;
}

GPtrArray *configuration_tenants_of_template(const struct configuration *configuration,
                                             const char *template_name)
{
    GPtrArray *routes = g_ptr_array_new();

    for (guint i = 0; i < configuration->tenants->len; i++) {
        struct tenant_route *route = g_ptr_array_index(configuration->tenants, i);
        if (strcmp(route->template_name, template_name) == 0) {
            g_ptr_array_add(routes, route);
        }
    }
    return routes;
}

GBytes *configuration_canonical(const struct configuration *configuration)
{
    return configuration->canonical;
}

const char *configuration_hash(const struct configuration *configuration)
{
    return configuration->hash;
}

bool tenant_route_equal(const struct tenant_route *left, const struct tenant_route *right)
{
    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        if (route_field_get(left, field) != route_field_get(right, field)) {
            return false;
        }
    }
    return true;
}
