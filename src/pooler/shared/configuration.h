/* The configuration in force: which database names clients may ask for, how their statements are
 * routed, and which services stand behind them. Immutable once decoded and shared between threads
 * by reference. */
#ifndef SW_POOLER_CONFIGURATION_H
#define SW_POOLER_CONFIGURATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How reads of a route are routed. */
enum route_kind {
    ROUTE_KIND_PRIMARY,           /* every read sees every acknowledged commit */
    ROUTE_KIND_BOUNDED_STALENESS, /* commits younger than the bound may be missing */
    ROUTE_KIND_READ_YOUR_WRITES,  /* the same, but for the session's own commits */
};

/* What one database name stands for. */
struct route {
    char *database; /* the name that clients ask for */
    char *service;  /* the group of databases behind it */
    enum route_kind kind;
    uint32_t timeout_ms;   /* bound of a statement */
    uint32_t target_ms;    /* latency objective of an operation */
    uint32_t priority;     /* 0 is the most urgent */
    uint32_t staleness_ms; /* bound of ROUTE_KIND_BOUNDED_STALENESS and _READ_YOUR_WRITES */
    bool is_public;        /* clients need no key */
};

/* One group of databases as configured. */
struct service {
    char *name;
    uint32_t max_connections; /* of one database, from all callers */
    uint32_t sync_replicas;   /* replicas that hold a commit before it is acknowledged */
};

/** @brief Somebody who is served: known by keys, and limited in operations. */
typedef struct tenant {
    const char *name;  /* interned: equal names are the same pointer */
    bool limited;      /* in operations over all poolers together */
    double rate_per_s; /* so many a second */
    double burst;      /* operations beyond that which may come at once */
} tenant_t;

struct configuration {
    uint64_t version;
    GHashTable *routes;  /* database name -> struct route, owned */
    GPtrArray *services; /* of struct service, owned */
    GHashTable *tenants; /* interned name -> tenant_t, owned; NULL: clients have no keys */
    GHashTable *keys;    /* key, owned -> tenant_t; NULL with the tenants */
    uint32_t transaction_idle_ms;
};

/* An empty configuration with one reference. */
struct configuration *configuration_new(void);
struct configuration *configuration_ref(struct configuration *configuration);
void configuration_unref(struct configuration *configuration);

/* Takes the route; a later one of the same name replaces it. */
void configuration_add_route(struct configuration *configuration, struct route *route);
void configuration_add_service(struct configuration *configuration, const char *name,
                               uint32_t max_connections, uint32_t sync_replicas);

/** @brief From now on clients of routes that are not public need a key. */
void configuration_require_keys(struct configuration *configuration);
/** @return the tenant of this name, added if there is none. Not limited at first. */
tenant_t *configuration_add_tenant(struct configuration *configuration, const char *name);
void configuration_add_key(struct configuration *configuration, const char *key, tenant_t *tenant);

/** @return the tenant that holds the key; NULL if nobody does. */
const tenant_t *configuration_tenant_of_key(const struct configuration *configuration,
                                            const char *key);
/** @return the tenant of this name; NULL if there is none. */
const tenant_t *configuration_tenant(const struct configuration *configuration, const char *name);

/* NULL if there is none. */
const struct route *configuration_route(const struct configuration *configuration,
                                        const char *database);
const struct service *configuration_service(const struct configuration *configuration,
                                            const char *name);

/* Decodes the row that holds the newest configuration. The adapter implements it. Errors are
 * SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION. */
struct configuration *configuration_decode(const char *content, size_t length, GError **error);

#endif
