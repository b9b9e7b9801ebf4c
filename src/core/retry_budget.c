/* Retry budget; see the header. */
#include "core/retry_budget.h"

#define ONE_RETRY 1000

void retry_budget_init(struct retry_budget *budget)
{
    atomic_init(&budget->saved, RETRY_BUDGET_SAVED_MAX);
}

void retry_budget_earn(struct retry_budget *budget)
{
    int64_t saved = atomic_load_explicit(&budget->saved, memory_order_relaxed);
    int64_t next;
    do {
        next = saved + RETRY_BUDGET_EARNED_PER_ATTEMPT;
        if (next > RETRY_BUDGET_SAVED_MAX) {
            next = RETRY_BUDGET_SAVED_MAX;
        }
    } while (!atomic_compare_exchange_weak_explicit(&budget->saved, &saved, next,
                                                    memory_order_relaxed, memory_order_relaxed));
}

bool retry_budget_spend(struct retry_budget *budget)
{
    int64_t saved = atomic_load_explicit(&budget->saved, memory_order_relaxed);
    do {
        if (saved < ONE_RETRY) {
            return false;
        }
    } while (!atomic_compare_exchange_weak_explicit(&budget->saved, &saved, saved - ONE_RETRY,
                                                    memory_order_relaxed, memory_order_relaxed));
    return true;
}
