/* Upkeep of a group's ledger of idempotency keys: its table, and the end of rows that are past
 * their time. Each job runs once, on a worker. */
#ifndef SW_DAEMON_LEDGER_UPKEEP_H
#define SW_DAEMON_LEDGER_UPKEEP_H

#include <stdint.h>

#include "daemon/group_runtime.h"
#include "daemon/worker_pool.h"

/* Makes sure of the table at the primary of a view, ahead of the writes that need it. */
void ledger_upkeep_create(struct worker_pool *workers, struct group_runtime *group,
                          const struct group_view *view);

/* Removes some of the rows older than `days` at the primary of a view. */
void ledger_upkeep_expire(struct worker_pool *workers, struct group_runtime *group,
                          const struct group_view *view, uint32_t days);

#endif
