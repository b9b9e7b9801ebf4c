/* Orders of promotions, which the promotion service takes one at a time. An order waits here until
 * the one before it is answered, and not in the queue of a connection, where it could be sent after
 * the lease under which it was given has ended. Each is sent only if the lease is valid for longer
 * than it takes to arrive, and what is waiting when the lease ends is dropped. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/control_internal.h"

#include <inttypes.h>

/* An order is sent only if the lease is valid for longer than this. */
#define ORDER_MARGIN_NS (300 * MS)

/* Maximum time for an order's answer. */
#define ORDER_TIMEOUT_NS (1000 * MS)

/* An order that waits, or was sent and is not answered yet. */
typedef struct order {
    struct controlled_group *group;
    char *candidate;
} order_t;

static void
free_order(order_t *order)
{
    control_group_unref(order->group);
    g_free(order->candidate);
    g_free(order);
}

static enum failover_promotion_result
promotion_result_of(enum promotion_outcome outcome)
{
    switch (outcome) {
    case PROMOTION_ACCEPTED:
        return FAILOVER_PROMOTION_ACCEPTED;
    case PROMOTION_REFUSED:
        return FAILOVER_PROMOTION_REFUSED;
    default:
        return FAILOVER_PROMOTION_RETRY;
    }
}

static void
finish_order(order_t *order, enum promotion_outcome outcome)
{
    struct controlled_group *group = order->group;
    g_message("Group %s: the order of the promotion was %s.", group->failover->service,
              promotion_outcome_name(outcome));
    if (!group->retired) {
        failover_promotion_answered(group->failover, promotion_result_of(outcome), backend_now());
    }
    control_wake_soon(group->control);
    free_order(order);
}

static void
on_answered(void *user, enum promotion_outcome outcome)
{
    order_t *order = user;
    struct control *control = order->group->control;
    control->order_sent = NULL;
    finish_order(order, outcome);
    control_orders_send(control);
}

void
control_orders_send(struct control *control)
{
    time_ns now = backend_now();
    time_ns remaining = control_lease_remaining(control, now);
    if (control->order_sent != NULL || g_queue_is_empty(&control->orders)) {
        return;
    }
    order_t *order = g_queue_pop_head(&control->orders);
    const char *service = order->group->failover->service;
    if (order->group->retired || remaining <= ORDER_MARGIN_NS) {
        g_message("Group %s: promotion not ordered: the lease expires too soon.", service);
        free_order(order);
        control_orders_send(control);
        return;
    }
    g_message("Group %s: ordering the promotion of %s with token %" PRIu64 ".", service,
              order->candidate, control->lease.token);
    control->order_sent = order;
    /* A connection that is established late must not send the order after the lease has ended. */
    time_ns limit = MIN(ORDER_TIMEOUT_NS, remaining - ORDER_MARGIN_NS / 2);
    promotion_order(control->promotion, service, order->candidate, control->lease.token,
                    (uint32_t)(limit / MS), on_answered, order);
}

static gint
compare_group(gconstpointer order, gconstpointer group)
{
    return ((const order_t *)order)->group != group;
}

void
control_orders_add(struct controlled_group *group, const char *candidate)
{
    struct control *control = group->control;
    const order_t *sent = control->order_sent;
    bool waits = g_queue_find_custom(&control->orders, group, compare_group) != NULL;
    if (waits || (sent != NULL && sent->group == group)) {
        return;
    }
    order_t *order = g_new0(order_t, 1);
    order->group = g_rc_box_acquire(group);
    order->candidate = g_strdup(candidate);
    g_queue_push_tail(&control->orders, order);
    control_orders_send(control);
}

void
control_orders_drop(struct control *control)
{
    order_t *order = NULL;
    while ((order = g_queue_pop_head(&control->orders)) != NULL) {
        g_message("Group %s: promotion not ordered: the lease has ended.",
                  order->group->failover->service);
        free_order(order);
    }
    promotion_abort(control->promotion);
}
