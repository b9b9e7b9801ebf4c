/* The configuration in force; see the header. */
#include "pooler/shared/configuration.h"

static void
route_free(gpointer data)
{
    struct route *route = data;
    g_free(route->database);
    g_free(route->service);
    g_free(route);
}

static void
service_free(gpointer data)
{
    struct service *service = data;
    g_free(service->name);
    g_free(service);
}

struct configuration *
configuration_new(void)
{
    struct configuration *configuration = g_atomic_rc_box_new0(struct configuration);
    configuration->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, route_free);
    configuration->services = g_ptr_array_new_with_free_func(service_free);
    return configuration;
}

struct configuration *
configuration_ref(struct configuration *configuration)
{
    return g_atomic_rc_box_acquire(configuration);
}

static void
configuration_clear(gpointer data)
{
    struct configuration *configuration = data;
    g_hash_table_unref(configuration->routes);
    g_ptr_array_unref(configuration->services);
    g_clear_pointer(&configuration->keys, g_hash_table_unref);
    g_clear_pointer(&configuration->tenants, g_hash_table_unref);
}

void
configuration_unref(struct configuration *configuration)
{
    g_atomic_rc_box_release_full(configuration, configuration_clear);
}

void
configuration_add_route(struct configuration *configuration, struct route *route)
{
    g_hash_table_replace(configuration->routes, route->database, route);
}

void
configuration_add_service(struct configuration *configuration, const char *name,
                          uint32_t max_connections, uint32_t sync_replicas)
{
    struct service *service = g_new0(struct service, 1);
    service->name = g_strdup(name);
    service->max_connections = max_connections;
    service->sync_replicas = sync_replicas;
    g_ptr_array_add(configuration->services, service);
}

void
configuration_require_keys(struct configuration *configuration)
{
    if (configuration->tenants == NULL) {
        configuration->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        configuration->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
}

tenant_t *
configuration_add_tenant(struct configuration *configuration, const char *name)
{
    configuration_require_keys(configuration);
    tenant_t *tenant = g_hash_table_lookup(configuration->tenants, name);
    if (tenant == NULL) {
        tenant = g_new0(tenant_t, 1);
        tenant->name = g_intern_string(name);
        g_hash_table_insert(configuration->tenants, (gpointer)tenant->name, tenant);
    }
    return tenant;
}

void
configuration_add_key(struct configuration *configuration, const char *key, tenant_t *tenant)
{
    g_hash_table_replace(configuration->keys, g_strdup(key), tenant);
}

const tenant_t *
configuration_tenant_of_key(const struct configuration *configuration, const char *key)
{
    return configuration->keys == NULL || key == NULL
               ? NULL
               : g_hash_table_lookup(configuration->keys, key);
}

const tenant_t *
configuration_tenant(const struct configuration *configuration, const char *name)
{
    return configuration->tenants == NULL ? NULL
                                          : g_hash_table_lookup(configuration->tenants, name);
}

const struct route *
configuration_route(const struct configuration *configuration, const char *database)
{
    return g_hash_table_lookup(configuration->routes, database);
}

const struct service *
configuration_service(const struct configuration *configuration, const char *name)
{
    for (guint i = 0; i < configuration->services->len; i++) {
        const struct service *service = g_ptr_array_index(configuration->services, i);
        if (g_str_equal(service->name, name)) {
            return service;
        }
    }
    return NULL;
}
