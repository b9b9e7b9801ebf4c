/* Retry budget of one daemon for one group: retries are limited to a fixed ratio of first attempts,
 * so that retries don't overload a failing group. */
#ifndef SW_CORE_RETRY_BUDGET_H
#define SW_CORE_RETRY_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Thousandths of a retry that each first attempt earns. */
#define RETRY_BUDGET_EARNED_PER_ATTEMPT 200

/* Maximum of saved retries, in thousandths. It lets a group with little load retry when a fault
 * occurs. */
#define RETRY_BUDGET_SAVED_MAX 20000

/* Atomic; request threads share one per group without a lock. */
struct retry_budget {
    _Atomic int64_t saved; /* thousandths of a retry */
};

/* Starts with a full budget. */
void retry_budget_init(struct retry_budget *budget);

/* Counts a first attempt, which adds RETRY_BUDGET_EARNED_PER_ATTEMPT. */
void retry_budget_earn(struct retry_budget *budget);

/* Takes one retry from the budget; false if none is left. */
bool retry_budget_spend(struct retry_budget *budget);

#endif
