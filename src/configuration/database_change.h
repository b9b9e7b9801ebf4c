/* Which databases a new version adds to and removes from each group. Daemons have the versions
 * before and after in force at the same time for a moment, each counting majorities of its own; so
 * that any two of them share a database, one version may change one database of a group at most.
 * See docs/design/configuration.md. */
#ifndef SW_CONFIGURATION_DATABASE_CHANGE_H
#define SW_CONFIGURATION_DATABASE_CHANGE_H

#include "configuration/configuration.h"

/* The databases that one group gains and loses. A database is its address: one under the same name
 * at another address is another. Owns all it holds. */
struct database_change {
    uint32_t group;
    char *group_name;
    GPtrArray *added; /* "NAME (HOST:PORT)" */
    GPtrArray *removed;
};

/* The changes of groups that both versions have, by group id; the array frees its elements. A group
 * that comes or goes as a whole is none: there is no majority before, or none after. */
GPtrArray *database_changes_find(const struct configuration *before,
                                 const struct configuration *after);

/* Fails with ERROR_KIND_INVALID_CONFIGURATION, naming groups and databases, if a group gains and
 * loses more than one database in all. */
bool database_changes_check(const GPtrArray *changes, GError **error);

#endif
