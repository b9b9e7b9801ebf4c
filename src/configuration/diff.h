/* Difference of two configurations: changed zones, groups and templates, and the tenants whose
 * derived routes change with them. */
#ifndef SW_CONFIGURATION_DIFF_H
#define SW_CONFIGURATION_DIFF_H

#include "configuration/configuration.h"

enum change_section {
    CHANGE_SECTION_ZONE,
    CHANGE_SECTION_GROUP,
    CHANGE_SECTION_TEMPLATE,
    CHANGE_SECTION_TENANT,
};

enum change_kind {
    CHANGE_KIND_ADDED,
    CHANGE_KIND_REMOVED,
    CHANGE_KIND_CHANGED,
};

/* One value that differs. Owns its strings. */
struct field_change {
    char *field;  /* of a tenant: the route's field; otherwise a path such as "databases/0/port" */
    char *before; /* JSON or text; NULL if it was absent */
    char *after;  /* NULL if it is absent now */
};

/* One zone, group, template or tenant that differs. Owns its members. */
struct configuration_change {
    enum change_section section;
    enum change_kind kind;
    char *name;
    GPtrArray *fields; /* struct field_change; empty unless the kind is CHANGED */
};

/* The changes from `before` (NULL: nothing published) to `after`, by section and name. A tenant
 * is changed if its template's name or its derived route differs. The array frees its elements. */
GPtrArray *configuration_diff(const struct configuration *before,
                              const struct configuration *after);

/* "zone", "group", "template" or "tenant". */
const char *change_section_name(enum change_section section);

/* "added", "removed" or "changed". */
const char *change_kind_name(enum change_kind kind);

#endif
