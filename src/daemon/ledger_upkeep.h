/* Maintenance of a group's ledger of idempotency keys: creation of its table and removal of expired
 * rows. Each job runs once, on a worker. */
#ifndef SW_DAEMON_LEDGER_UPKEEP_H
#define SW_DAEMON_LEDGER_UPKEEP_H

#include <stdint.h>

#include "daemon/group_runtime.h"
#include "daemon/worker_pool.h"

/* Creates the table at the primary of a view if it is missing, before writes need it. */
void ledger_upkeep_create(struct worker_pool *workers, struct group_runtime *group,
                          const struct group_view *view);

/* Removes some of the rows older than `days` at the primary of a view. */
void ledger_upkeep_expire(struct worker_pool *workers, struct group_runtime *group,
                          const struct group_view *view, uint32_t days);

#endif
