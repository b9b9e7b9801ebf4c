#include "backend/pool_budget.h"

/* No connection is to be opened. */
#define NO_NUMBER (-1)

struct pool_budget {
    struct budget *core;
    struct budget_options options;
    GArray *actions;     /* of struct budget_action; empty between calls */
    int32_t position;    /* or -1 */
    bool position_known; /* pool_budget_set_position was called */
    bool warm;
    int32_t to_open; /* number, or NO_NUMBER */
    /* By number; not owned; NULL if the number is not held. */
    struct backend_connection *holders[BUDGET_CONNECTIONS_MAX];
};

struct pool_budget *pool_budget_new(const struct budget_options *options)
{
    struct pool_budget *budget = g_new0(struct pool_budget, 1);
    budget->core = budget_new(options);
    budget->options = *options;
    budget->actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
    budget->position = -1;
    budget->to_open = NO_NUMBER;
    return budget;
}

void pool_budget_free(struct pool_budget *budget)
{
    if (budget == NULL) {
        return;
    }
    budget_free(budget->core);
    g_array_unref(budget->actions);
    g_free(budget);
}

/* Marks the holder of a number; the pool closes it as soon as it is not in use. */
static void retire(struct pool_budget *budget, uint32_t number)
{
    if (budget->holders[number] != NULL) {
        budget->holders[number]->retiring = true;
    }
}

static void perform_actions(struct pool_budget *budget)
{
    for (guint i = 0; i < budget->actions->len; i++) {
        const struct budget_action *action =
            &g_array_index(budget->actions, struct budget_action, i);
        switch (action->kind) {
        case BUDGET_ACTION_OPEN:
            budget->to_open = (int32_t)action->number;
            break;
        case BUDGET_ACTION_CLOSE:
            retire(budget, action->number);
            break;
        case BUDGET_ACTION_WARM:
            budget->warm = true;
            break;
        case BUDGET_ACTION_RELEASED:
            break; /* callers poll pool_budget_is_released */
        }
    }
    g_array_set_size(budget->actions, 0);
}

/* Cancels an opening that has not begun. */
static void cancel_open(struct pool_budget *budget, time_ns now)
{
    if (budget->to_open == NO_NUMBER) {
        return;
    }
    uint32_t number = (uint32_t)budget->to_open;
    budget->to_open = NO_NUMBER;
    budget_failed(budget->core, number, now, budget->actions);
}

void pool_budget_set_position(struct pool_budget *budget, int32_t position, bool handing_over,
                              time_ns now)
{
    budget->position_known = true;
    if (position != budget->position) {
        budget->position = position;
        budget->warm = false;
    }
    budget_set_position(budget->core, position, handing_over, now, budget->actions);
    if (position < 0) {
        cancel_open(budget, now);
    }
    perform_actions(budget);
}

void pool_budget_peer_warm(struct pool_budget *budget, time_ns now)
{
    budget_peer_warm(budget->core, now, budget->actions);
    perform_actions(budget);
}

void pool_budget_peer_released(struct pool_budget *budget, time_ns now)
{
    budget_peer_released(budget->core, now, budget->actions);
    perform_actions(budget);
}

bool pool_budget_needs_open(const struct pool_budget *budget)
{
    return budget->to_open != NO_NUMBER;
}

uint32_t pool_budget_begin_open(struct pool_budget *budget)
{
    uint32_t number = (uint32_t)budget->to_open;
    budget->to_open = NO_NUMBER;
    return number;
}

void pool_budget_opened(struct pool_budget *budget, struct backend_connection *connection,
                        time_ns now)
{
    budget->holders[connection->number] = connection;
    budget_opened(budget->core, (uint32_t)connection->number, now, budget->actions);
    perform_actions(budget);
}

void pool_budget_closing(struct pool_budget *budget, const struct backend_connection *connection)
{
    budget->holders[connection->number] = NULL;
}

void pool_budget_ended(struct pool_budget *budget, uint32_t number, enum pool_close_cause cause,
                       time_ns now)
{
    switch (cause) {
    case POOL_CLOSE_AFTER_USE:
        budget_closed(budget->core, number, now, budget->actions);
        break;
    case POOL_CLOSE_NUMBER_TAKEN:
        budget_number_taken(budget->core, number, now, budget->actions);
        break;
    case POOL_CLOSE_FAILED:
        budget_failed(budget->core, number, now, budget->actions);
        break;
    }
    perform_actions(budget);
}

void pool_budget_tick(struct pool_budget *budget, time_ns now)
{
    budget_tick(budget->core, now, budget->actions);
    perform_actions(budget);
}

time_ns pool_budget_wake_at(const struct pool_budget *budget)
{
    return budget_next_wakeup(budget->core);
}

uint32_t pool_budget_limit(const struct pool_budget *budget)
{
    return budget->position < 0 ? 0 : budget_share(&budget->options);
}

bool pool_budget_is_warm(const struct pool_budget *budget)
{
    return budget->warm && budget_held(budget->core) > 0;
}

bool pool_budget_is_released(const struct pool_budget *budget)
{
    return budget->position < 0 && budget_counted(budget->core) == 0;
}

bool pool_budget_is_empty(const struct pool_budget *budget)
{
    return budget->position_known && budget->position < 0 && budget_held(budget->core) == 0;
}
