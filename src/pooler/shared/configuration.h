/* The configuration in force: the database names that clients may use, how statements to them are
 * routed, and the services (groups of databases) that serve them. Immutable once decoded, and
 * shared between threads by reference. */
#ifndef SW_POOLER_CONFIGURATION_H
#define SW_POOLER_CONFIGURATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How reads of a route are routed. */
enum route_kind {
    ROUTE_KIND_PRIMARY,           /* every read sees every acknowledged commit */
    ROUTE_KIND_BOUNDED_STALENESS, /* commits younger than the bound may be missing */
    ROUTE_KIND_READ_YOUR_WRITES,  /* the same, but the session's own commits are always seen */
};

/* The route of one database name. */
struct route {
    char *database; /* the name that clients use */
    char *service;  /* name of the group of databases that serves it */
    enum route_kind kind;
    uint32_t timeout_ms; /* time limit of a statement */
    uint32_t target_ms;  /* latency objective of an operation */
    uint32_t priority;   /* 0 is the highest */
    uint32_t
        staleness_ms; /* staleness bound of ROUTE_KIND_BOUNDED_STALENESS and _READ_YOUR_WRITES */
    bool is_public;   /* clients need no key */
};

/* One group of databases as configured. */
struct service {
    char *name;
    uint32_t max_connections; /* to one database, from all poolers */
    uint32_t sync_replicas;   /* replicas that must have a commit before it is acknowledged */
};

/** @brief A tenant: identified by keys, and subject to a rate limit of operations. */
typedef struct tenant {
    const char *name;  /* interned: equal names are the same pointer */
    bool limited;      /* a rate limit applies, over all poolers together */
    double rate_per_s; /* operations per second */
    double burst;      /* operations beyond that rate that may come at once */
} tenant_t;

struct configuration {
    uint64_t version;
    GHashTable *routes;  /* database name -> struct route, owned */
    GPtrArray *services; /* of struct service, owned */
    GHashTable *tenants; /* interned name -> tenant_t, owned; NULL: clients need no keys */
    GHashTable *keys;    /* key, owned -> tenant_t; NULL if tenants is NULL */
    uint32_t transaction_idle_ms;
};

/* An empty configuration with one reference. */
struct configuration *configuration_new(void);
struct configuration *configuration_ref(struct configuration *configuration);
void configuration_unref(struct configuration *configuration);

/* Takes ownership of the route. Replaces an earlier one of the same name. */
void configuration_add_route(struct configuration *configuration, struct route *route);
void configuration_add_service(struct configuration *configuration, const char *name,
                               uint32_t max_connections, uint32_t sync_replicas);

/** @brief Requires a key from clients of routes that are not public. */
void configuration_require_keys(struct configuration *configuration);
/** @return the tenant of this name, added without a limit if there is none. */
tenant_t *configuration_add_tenant(struct configuration *configuration, const char *name);
void configuration_add_key(struct configuration *configuration, const char *key, tenant_t *tenant);

/** @return the tenant that the key belongs to; NULL if the key is unknown. */
const tenant_t *configuration_tenant_of_key(const struct configuration *configuration,
                                            const char *key);
/** @return the tenant of this name; NULL if there is none. */
const tenant_t *configuration_tenant(const struct configuration *configuration, const char *name);

/* NULL if there is none. */
const struct route *configuration_route(const struct configuration *configuration,
                                        const char *database);
const struct service *configuration_service(const struct configuration *configuration,
                                            const char *name);

/* Decodes the store's row with the newest configuration. Implemented by the platform adapter that
 * the program is linked with. Errors are SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION. */
struct configuration *configuration_decode(const char *content, size_t length, GError **error);

#endif
