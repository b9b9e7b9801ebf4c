/**
 * @file
 * @brief Rules of the connection pool of one worker to one database: when to close an idle
 * connection, when to open another, and when to open one before a statement needs it. Pure
 * functions of the values and times passed in.
 *
 * With client keys each connection serves one tenant only, and the tenants may need many more
 * connections than a database accepts. Without keys any connection serves any statement.
 */
#ifndef SW_POOLER_POOL_H
#define SW_POOLER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Numbers of connections to one database. */
typedef struct pool {
    bool per_tenant;       /* each connection serves one tenant only */
    uint32_t max;          /* limit of `open` */
    uint32_t open;         /* in any state */
    uint32_t idle;         /* of `open` */
    uint32_t opening;      /* of `open`: not established yet */
    time_ns opening_since; /* start of the oldest opening in progress */
    uint32_t waiting;      /* statements queued for a connection to the group */
} pool_t;

/** @return true if a connection has been idle for so long that it is closed, unless it is one of
 * the few that are kept ready. */
bool pool_is_unused(time_ns idle_since, bool per_tenant, time_ns now);

/** @return true if another connection may be opened now. At the limit, a connection of a tenant may
 *  replace an idle one; a shared idle connection is used instead. */
bool pool_may_open(const pool_t *pool);

/** @return true if pool_may_open(), or if it will be once an opening in progress has ended and each
 * connection serves one tenant. A statement then waits for that instead of opening a connection to
 * a worse database. */
bool pool_will_open(const pool_t *pool, time_ns now);

/** @return true if a connection may be opened for a statement that has not arrived yet: not while
 *  statements are queued, and not in place of the only idle connection. */
bool pool_may_open_ahead(const pool_t *pool);

#endif
