/* Rules of the connection pool of a database; see the header. */
#include "pooler/databases/pool.h"

/* How long a shared idle connection is kept, except those kept ready. */
#define SHARED_KEPT_NS (1500 * NANOSECONDS_PER_MILLISECOND)

/* How long an idle connection of a tenant is kept. Opening one takes a slot for about as long as a
 * short statement, and most tenants send the next statement within seconds. A time of 15 s saved 5%
 * of the openings and served no more statements. It also does harm after a power loss: a database
 * counts its lost connections for seconds, and refuses new ones at its limit. */
#define TENANT_KEPT_NS (4000 * NANOSECONDS_PER_MILLISECOND)

/* Maximum number of openings in progress to one database. With connections per tenant it is one: a
 * connection serves its tenant only, may replace one of another tenant, and takes a slot of the
 * database while it opens. See docs/design/tenants.md for a comparison with two. */
#define OPENING_MAX            2
#define OPENING_MAX_PER_TENANT 1

/* How long statements wait for an opening in progress before they go to another database. More than
 * an opening takes at a database with a free slot (12 to 30 ms). An unresponsive database is
 * detected much later, after most of a second. */
#define OPENING_WAIT_NS (50 * NANOSECONDS_PER_MILLISECOND)

bool
pool_is_unused(time_ns idle_since, bool per_tenant, time_ns now)
{
    return now > idle_since + (per_tenant ? TENANT_KEPT_NS : SHARED_KEPT_NS);
}

static bool
has_capacity(const pool_t *pool)
{
    return pool->open < pool->max || (pool->per_tenant && pool->max > 0 && pool->idle > 0);
}

bool
pool_may_open(const pool_t *pool)
{
    uint32_t opening_max = pool->per_tenant ? OPENING_MAX_PER_TENANT : OPENING_MAX;
    return pool->opening < opening_max && has_capacity(pool);
}

bool
pool_will_open(const pool_t *pool, time_ns now)
{
    bool soon =
        pool->per_tenant && pool->opening > 0 && now < pool->opening_since + OPENING_WAIT_NS;
    return pool_may_open(pool) || (soon && has_capacity(pool));
}

bool
pool_may_open_ahead(const pool_t *pool)
{
    bool spare = pool->open < pool->max || pool->idle > 1;
    return pool->waiting == 0 && spare && pool_may_open(pool);
}
