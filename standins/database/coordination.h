/* Promises to coordinators, and changes of role. The caller of each function holds the database's
 * lock, which also guards commits: after a fence is granted, no commit of a lower term can happen.
 */
#ifndef STANDIN_DATABASE_COORDINATION_H
#define STANDIN_DATABASE_COORDINATION_H

#include "database.h"

/* Promises to refuse writes, commits and replication of any lower term. Granted for a higher term,
 * or again for the same term and coordinator; otherwise fails with SQLSTATE 55000. */
bool coordination_fence(struct database *database, uint64_t term, const char *coordinator,
                        struct sql_error *error);

/* Makes the database primary of the term promised to this coordinator. */
bool coordination_promote(struct database *database, uint64_t term, const char *coordinator,
                          struct sql_error *error);

/* Makes the database a replica of `primary` (HOST:PORT) in a term not below the promised one. */
bool coordination_follow(struct database *database, uint64_t term, const char *primary,
                         const char *coordinator, struct sql_error *error);

#endif
