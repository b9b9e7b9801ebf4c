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
};

/* One group of databases as configured. */
struct service {
    char *name;
    uint32_t max_connections; /* of one database, from all callers */
    uint32_t sync_replicas;   /* replicas that hold a commit before it is acknowledged */
};

struct configuration {
    uint64_t version;
    GHashTable *routes;  /* database name -> struct route, owned */
    GPtrArray *services; /* of struct service, owned */
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

/* NULL if there is none. */
const struct route *configuration_route(const struct configuration *configuration,
                                        const char *database);
const struct service *configuration_service(const struct configuration *configuration,
                                            const char *name);

/* Decodes the row that holds the newest configuration. The adapter implements it. Errors are
 * SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION. */
struct configuration *configuration_decode(const char *content, size_t length, GError **error);

#endif
