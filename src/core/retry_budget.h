/* Retry budget of one daemon for one group: retries may be at most a fixed ratio of first attempts,
 * so that a failing group is not buried under its own retries. */
#ifndef SW_CORE_RETRY_BUDGET_H
#define SW_CORE_RETRY_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Thousandths of a retry that each first attempt earns. */
#define RETRY_BUDGET_EARNED_PER_ATTEMPT 200

/* Most that can be saved, in thousandths: lets an idle group retry when a fault strikes. */
#define RETRY_BUDGET_SAVED_MAX 20000

/* Atomic; request threads share one per group without a lock. */
struct retry_budget {
    _Atomic int64_t saved; /* thousandths of a retry */
};

/* Starts with a full budget. */
void retry_budget_init(struct retry_budget *budget);

/* Counts a first attempt. */
void retry_budget_earn(struct retry_budget *budget);

/* Takes one retry; false if none is left. */
bool retry_budget_spend(struct retry_budget *budget);

#endif
