/* The databases that a new version adds to and removes from each group. While a version spreads,
 * some daemons count majorities of a group's old databases and others of its new ones. If two such
 * majorities had no database in common, each could accept a primary of its own. One version may
 * therefore add or remove at most one database of a group: any old and any new majority then share
 * a database. See docs/design/configuration.md. */
#ifndef SW_CONFIGURATION_DATABASE_CHANGE_H
#define SW_CONFIGURATION_DATABASE_CHANGE_H

#include "configuration/configuration.h"

/* The databases added to and removed from one group. A database is identified by its address, so
 * that a new address under the same name counts as one removed and one added. Owns its members. */
struct database_change {
    uint32_t group;
    char *group_name;
    GPtrArray *added;   /* char *: "NAME (HOST:PORT)" */
    GPtrArray *removed; /* likewise */
};

/* The changed groups among those that both versions have, by group id. The array frees its
 * elements. An added or removed group is not a change, as it has a majority in only one of the
 * versions. */
GPtrArray *database_changes_find(const struct configuration *before,
                                 const struct configuration *after);

/* Fails with ERROR_KIND_INVALID_CONFIGURATION, naming groups and databases, if the databases added
 * to and removed from any one group are more than one in total. */
bool database_changes_check(const GPtrArray *changes, GError **error);

#endif
