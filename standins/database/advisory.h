/* Session-level advisory locks with PostgreSQL's semantics: pg_try_advisory_lock(bigint) and (int,
 * int), and pg_advisory_unlock with the same arguments. A session may take a lock several times and
 * must release it as often; its end releases all. */
#ifndef STANDIN_DATABASE_ADVISORY_H
#define STANDIN_DATABASE_ADVISORY_H

#include "result.h"
#include "statement.h"

struct session;

/* The locks that are held, each with its session. Guarded by the server's lock. */
struct advisory_locks {
    GHashTable *holders; /* key as text to struct advisory_holder */
};

void advisory_init(struct advisory_locks *locks);
void advisory_clear(struct advisory_locks *locks);

/* Releases all locks of a session. The caller holds the server's lock. */
void advisory_release_all(struct advisory_locks *locks, const struct session *session);

/* Runs "SELECT FUNCTION(arguments)". Arguments are integers, 'text' or $n. */
bool advisory_execute(struct session *session, const struct statement *statement,
                      const struct parameters *parameters, struct result *result,
                      struct sql_error *error);

/* Adds the result column of such a statement. */
bool advisory_describe(const struct statement *statement, struct result *result,
                       struct sql_error *error);

#endif
