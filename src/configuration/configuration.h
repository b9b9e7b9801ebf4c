/* The configuration: zones, database groups, shared templates, and tenants, each with a template
 * and values for its parameters. The route of a tenant is derived from these.
 *
 * A struct configuration is immutable once parsed, so that threads share it without locks. It is
 * reference counted; readers under RCU need no reference of their own. */
#ifndef SW_CONFIGURATION_CONFIGURATION_H
#define SW_CONFIGURATION_CONFIGURATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/types.h"

/* Limits of one bundle, the JSON document that holds one version of the configuration. */
#define CONFIGURATION_BYTES_MAX      (16 * 1024 * 1024)
#define CONFIGURATION_ZONES_MAX      32
#define CONFIGURATION_GROUPS_MAX     4096
#define CONFIGURATION_TEMPLATES_MAX  256
#define CONFIGURATION_PARAMETERS_MAX 64
#define CONFIGURATION_TENANTS_MAX    100000

/* Characters of a content hash: SHA-256 in lower-case hexadecimal. */
#define CONFIGURATION_HASH_LENGTH 64

/* A failure domain: a part of the network that fails as a unit. */
struct zone_configuration {
    char *name;
    uint32_t id;
};

/* One database of a group. */
struct database_configuration {
    char *name;           /* unique in the bundle */
    uint32_t zone;        /* id of its zone */
    char *host;           /* IP address */
    uint16_t port;        /* TCP port */
    uint32_t slots;       /* statements it can run at the same time */
    uint32_t connections; /* connections it accepts in total; more than slots */
};

/* One group: databases that replicate one log. */
struct group_configuration {
    uint32_t id; /* unique in the bundle; messages carry it */
    char *name;
    uint32_t database_count;
    struct database_configuration databases[GROUP_DATABASES_MAX];
    uint32_t zone_count;
    uint32_t zones[GROUP_DATABASES_MAX]; /* ids of the databases' zones, ascending, each once */
};

/* How one tenant's requests are served. Derived from its template and parameters. */
struct tenant_route {
    char *tenant;
    const char *template_name;           /* owned by the configuration */
    uint32_t group;                      /* id of the tenant's database group */
    uint32_t max_staleness_ms;           /* oldest data a read without a session may see */
    uint32_t read_wait_ms;               /* longest wait for a replica to catch up */
    uint32_t read_primary_share_percent; /* largest share of reads sent to the primary instead */
    bool reads_from_replicas;            /* false: every read goes to the primary */
    uint32_t weight;                     /* share of a group's slots, relative to other tenants */
    uint32_t in_flight_limit;      /* concurrent requests, at each daemon that owns the group */
    uint32_t request_timeout_ms;   /* time-out of one request */
    uint32_t transaction_idle_ms;  /* idle time-out between statements of a transaction */
    uint32_t transaction_total_ms; /* total time-out of a transaction */
    bool writes_require_key;       /* a write without an idempotency key is rejected */
    uint32_t idempotency_days;     /* retention of idempotency keys */
};

struct configuration_template;

/* One parsed bundle. Immutable. Arrays are sorted, so that equal bundles give equal arrays. */
struct configuration {
    GBytes *canonical;             /* the bundle's canonical JSON */
    char *hash;                    /* content hash of the canonical JSON */
    GPtrArray *zones;              /* struct zone_configuration by id */
    GPtrArray *groups;             /* struct group_configuration by id */
    GPtrArray *templates;          /* struct configuration_template by name */
    GPtrArray *tenants;            /* struct tenant_route by name */
    GHashTable *zones_by_name;     /* name -> struct zone_configuration */
    GHashTable *groups_by_id;      /* id as pointer -> struct group_configuration */
    GHashTable *groups_by_name;    /* name -> struct group_configuration */
    GHashTable *templates_by_name; /* name -> struct configuration_template */
    GHashTable *tenants_by_name;   /* name -> struct tenant_route */
};

/* Parses and checks a bundle. On success returns true and a configuration with one reference in
 * `out`. Otherwise returns false and adds every fault found to `problems` (an array of
 * configuration_problems_new). `source` names the file in the problems. */
bool configuration_parse(const char *json, gsize length, const char *source,
                         struct configuration **out, GPtrArray *problems);

/* As above for a bundle in canonical form, as published bundles are. The text is kept instead of
 * being generated anew, and tenants are parsed in slices, which limits the memory that a large
 * bundle needs during parsing. */
bool configuration_parse_canonical(GBytes *canonical, const char *source,
                                   struct configuration **out, GPtrArray *problems);

/* Takes a reference. Any thread. */
struct configuration *configuration_ref(struct configuration *configuration);

/* Releases a reference. Any thread. NULL is allowed. */
void configuration_unref(struct configuration *configuration);

/* The route of a tenant, or NULL. O(1). */
const struct tenant_route *configuration_find_tenant(const struct configuration *configuration,
                                                     const char *tenant);

/* The group with this id, or NULL. O(1). */
const struct group_configuration *
configuration_find_group(const struct configuration *configuration, uint32_t group);

/* The group with this name, or NULL. O(1). */
const struct group_configuration *
configuration_find_group_by_name(const struct configuration *configuration, const char *name);

/* The zone with this name, or NULL. O(1). */
const struct zone_configuration *
configuration_find_zone_by_name(const struct configuration *configuration, const char *name);

/* The group of the database with this name, and the database's index in the group; or NULL. Linear
 * in the number of databases: meant for operators' calls. */
const struct group_configuration *
configuration_find_database(const struct configuration *configuration, const char *database,
                            uint32_t *index);

/* The routes derived from a template, by tenant name. The caller frees the array, not its
 * elements. */
GPtrArray *configuration_tenants_of_template(const struct configuration *configuration,
                                             const char *template_name);

/* The canonical JSON: members sorted by name, no white space. Owned by the configuration. */
GBytes *configuration_canonical(const struct configuration *configuration);

/* The content hash of the canonical JSON. Owned by the configuration. */
const char *configuration_hash(const struct configuration *configuration);

/* True if all fields of two routes are equal. The tenants and templates may differ. */
bool tenant_route_equal(const struct tenant_route *left, const struct tenant_route *right);

#endif
