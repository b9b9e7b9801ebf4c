/* The connection budget: many daemons with different views share one database, events arrive in any
 * order, daemons pause and fail. The database must never have more connections than its limit. */
#include "core/budget.h"

#define DAEMONS 8
#define STEPS   4000

/* The database: the holder of each number, and the number of connections without one. */
struct database {
    uint32_t limit;
    int32_t holder[BUDGET_CONNECTIONS_MAX]; /* daemon, or -1 */
    uint32_t holder_life[BUDGET_CONNECTIONS_MAX];
    uint32_t unnumbered;
};

enum step_kind {
    STEP_CONNECT, /* the connection reaches the database */
    STEP_LOCK,    /* the lock is requested */
    STEP_ANSWER,  /* the daemon gets the result */
    STEP_CLOSE,   /* the close reaches the database */
    STEP_CLOSED,  /* the daemon gets the end of the connection */
    STEP_WARM,
    STEP_RELEASED,
};

/* A message in transit; any of them may arrive next. */
struct pending {
    enum step_kind kind;
    uint32_t daemon;
    uint32_t life; /* of the daemon when it was sent */
    uint32_t number;
    bool granted;
};

struct daemon {
    struct budget *budget;
    uint32_t life;
    bool paused;
};

struct world {
    GRand *random;
    struct budget_options options;
    struct database database;
    struct daemon daemons[DAEMONS];
    GArray *pending;
    time_ns now;
};

static uint32_t random_below(struct world *world, uint32_t bound)
{
    return (uint32_t)g_rand_int_range(world->random, 0, (gint32)bound);
}

static uint32_t connections(const struct database *database)
{
    uint32_t count = database->unnumbered;
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        count += database->holder[i] >= 0;
    }
    return count;
}

static void check_limit(struct world *world)
{
    uint32_t count = connections(&world->database);
    g_assert_cmpuint(count, <=, world->database.limit);
}

/* The opening reserve assumes that each daemon has at most one connection without a number. */
static void check_one_opening(const struct world *world, const struct pending *opening)
{
    for (guint i = 0; i < world->pending->len; i++) {
        const struct pending *other = &g_array_index(world->pending, struct pending, i);
        bool same = other->daemon == opening->daemon && other->life == opening->life;
        g_assert_false(same && other->kind == STEP_LOCK);
    }
}

static void add_pending(struct world *world, enum step_kind kind, uint32_t daemon, uint32_t number)
{
    struct pending pending = {kind, daemon, world->daemons[daemon].life, number, false};
    g_array_append_val(world->pending, pending);
}

static void perform(struct world *world, uint32_t daemon, const GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        const struct budget_action *action = &g_array_index(actions, struct budget_action, i);
        switch (action->kind) {
        case BUDGET_ACTION_OPEN:
            add_pending(world, STEP_CONNECT, daemon, action->number);
            break;
        case BUDGET_ACTION_CLOSE:
            add_pending(world, STEP_CLOSE, daemon, action->number);
            break;
        case BUDGET_ACTION_WARM:
            add_pending(world, STEP_WARM, daemon, 0);
            break;
        case BUDGET_ACTION_RELEASED:
            add_pending(world, STEP_RELEASED, daemon, 0);
            break;
        }
    }
}

/* The lock at the database: granted if the number has no holder, else the connection is closed. */
static bool take_lock(struct world *world, const struct pending *pending)
{
    world->database.unnumbered--;
    if (world->database.holder[pending->number] >= 0) {
        return false;
    }
    world->database.holder[pending->number] = (int32_t)pending->daemon;
    world->database.holder_life[pending->number] = pending->life;
    return true;
}

/* The end of a connection at the database frees its number. */
static void end_connection(struct world *world, const struct pending *pending)
{
    struct database *database = &world->database;
    bool holds = database->holder[pending->number] == (int32_t)pending->daemon &&
                 database->holder_life[pending->number] == pending->life;
    if (holds) {
        database->holder[pending->number] = -1;
    }
}

static void notify_others(struct world *world, uint32_t from, bool warm)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (i == from || world->daemons[i].paused) {
            continue;
        }
        g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
        if (warm) {
            budget_peer_warm(world->daemons[i].budget, world->now, actions);
        } else {
            budget_peer_released(world->daemons[i].budget, world->now, actions);
        }
        perform(world, i, actions);
    }
}

static void answer(struct world *world, const struct pending *pending)
{
    struct budget *budget = world->daemons[pending->daemon].budget;
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
    if (pending->kind == STEP_CLOSED) {
        budget_closed(budget, pending->number, world->now, actions);
    } else if (pending->granted) {
        budget_opened(budget, pending->number, world->now, actions);
    } else {
        budget_number_taken(budget, pending->number, world->now, actions);
    }
    perform(world, pending->daemon, actions);
}

/* Performs one pending step at the database or the daemon. */
static void carry_out(struct world *world, struct pending pending)
{
    bool current = pending.life == world->daemons[pending.daemon].life;
    switch (pending.kind) {
    case STEP_CONNECT:
        if (!current) {
            return;
        }
        world->database.unnumbered++;
        check_limit(world);
        check_one_opening(world, &pending);
        add_pending(world, STEP_LOCK, pending.daemon, pending.number);
        return;
    case STEP_LOCK:
        pending.granted = take_lock(world, &pending);
        if (!current) {
            end_connection(world, &pending);
        }
        pending.kind = STEP_ANSWER;
        g_array_append_val(world->pending, pending);
        return;
    case STEP_CLOSE:
        end_connection(world, &pending);
        pending.kind = STEP_CLOSED;
        g_array_append_val(world->pending, pending);
        return;
    case STEP_ANSWER:
    case STEP_CLOSED:
        if (current) {
            answer(world, &pending);
        }
        return;
    case STEP_WARM:
    case STEP_RELEASED:
        notify_others(world, pending.daemon, pending.kind == STEP_WARM);
        return;
    }
}

/* A paused daemon does nothing, but its connections stay open and messages in transit arrive. */
static void carry_out_any(struct world *world)
{
    if (world->pending->len == 0) {
        return;
    }
    guint index = random_below(world, world->pending->len);
    struct pending pending = g_array_index(world->pending, struct pending, index);
    bool needs_daemon = pending.kind == STEP_ANSWER || pending.kind == STEP_CLOSED;
    if (needs_daemon && world->daemons[pending.daemon].paused) {
        return;
    }
    g_array_remove_index_fast(world->pending, index);
    carry_out(world, pending);
}

static void set_position(struct world *world, uint32_t daemon, int32_t position)
{
    if (world->daemons[daemon].paused) {
        return;
    }
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
    bool handing_over = random_below(world, 2) == 0;
    budget_set_position(world->daemons[daemon].budget, position, handing_over, world->now, actions);
    perform(world, daemon, actions);
}

/* The connections of a failed daemon end at the database at some later time. A connect in transit
 * may still arrive, which STEP_LOCK then undoes. */
static void kill_daemon(struct world *world, uint32_t daemon)
{
    struct daemon *killed = &world->daemons[daemon];
    for (uint32_t i = 0; i < budget_numbers(&world->options); i++) {
        bool held = world->database.holder[i] == (int32_t)daemon;
        if (held && budget_slot(killed->budget, i) != BUDGET_SLOT_CLOSING) {
            add_pending(world, STEP_CLOSE, daemon, i);
        }
    }
    killed->life++;
    killed->paused = false;
    budget_free(killed->budget);
    killed->budget = budget_new(&world->options);
}

/* One random step. The owners differ in two views, and daemons get positions of either in any
 * order. */
static void random_step(struct world *world)
{
    world->now += random_below(world, 50) * NANOSECONDS_PER_MILLISECOND;
    uint32_t daemon = random_below(world, DAEMONS);
    uint32_t choice = random_below(world, 100);
    if (choice < 70) {
        carry_out_any(world);
    } else if (choice < 80 && !world->daemons[daemon].paused) {
        g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
        budget_tick(world->daemons[daemon].budget, world->now, actions);
        perform(world, daemon, actions);
    } else if (choice < 88) {
        uint32_t first = random_below(world, 2) == 0 ? 0 : world->options.owners;
        uint32_t position = daemon >= first ? daemon - first : world->options.owners;
        bool owns = position < world->options.owners;
        set_position(world, daemon, owns ? (int32_t)position : -1);
    } else if (choice < 90) {
        kill_daemon(world, daemon);
    } else if (choice < 95) {
        world->daemons[daemon].paused = !world->daemons[daemon].paused;
    }
}

static void world_init(struct world *world, uint32_t seed, uint32_t limit)
{
    *world = (struct world){.random = g_rand_new_with_seed(seed)};
    budget_options_for(&world->options, limit, 3);
    world->database.limit = limit;
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        world->database.holder[i] = -1;
    }
    for (uint32_t i = 0; i < DAEMONS; i++) {
        world->daemons[i].budget = budget_new(&world->options);
    }
    world->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
}

static void world_clear(struct world *world)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        budget_free(world->daemons[i].budget);
    }
    g_array_free(world->pending, TRUE);
    g_rand_free(world->random);
}

/* Runs until all daemons have settled under one view. */
static void settle(struct world *world, uint32_t first)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        world->daemons[i].paused = false;
        bool owns = i >= first && i < first + world->options.owners;
        set_position(world, i, owns ? (int32_t)(i - first) : -1);
    }
    for (uint32_t round = 0; round < 400; round++) {
        world->now += 100 * NANOSECONDS_PER_MILLISECOND;
        for (uint32_t i = 0; i < DAEMONS; i++) {
            g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
            budget_tick(world->daemons[i].budget, world->now, actions);
            perform(world, i, actions);
        }
        for (uint32_t i = 0; i < 30; i++) {
            carry_out_any(world);
        }
    }
}

static void test_two_views_keep_the_limit(gconstpointer data)
{
    uint32_t limit = GPOINTER_TO_UINT(data);
    for (uint32_t seed = 1; seed <= 60; seed++) {
        struct world world;
        world_init(&world, seed, limit);
        for (uint32_t step = 0; step < STEPS; step++) {
            random_step(&world);
        }
        settle(&world, 0);
        uint32_t share = budget_share(&world.options);
        for (uint32_t i = 0; i < DAEMONS; i++) {
            uint32_t expected = i < world.options.owners ? share : 0;
            g_assert_cmpuint(budget_held(world.daemons[i].budget), ==, expected);
        }
        world_clear(&world);
    }
}

/* During a planned move at least one daemon can serve at every moment. */
static void test_planned_move_keeps_a_server(void)
{
    for (uint32_t seed = 1; seed <= 40; seed++) {
        struct world world;
        world_init(&world, seed, 35);
        settle(&world, 0);
        g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
        budget_set_position(world.daemons[5].budget, 0, true, world.now, actions);
        perform(&world, 5, actions);
        g_array_set_size(actions, 0);
        budget_set_position(world.daemons[0].budget, -1, true, world.now, actions);
        perform(&world, 0, actions);
        for (uint32_t step = 0; step < 2000; step++) {
            carry_out_any(&world);
            bool served =
                budget_serving(world.daemons[0].budget) || budget_serving(world.daemons[5].budget);
            g_assert_true(served);
        }
        g_assert_cmpuint(budget_held(world.daemons[5].budget), ==, budget_share(&world.options));
        g_assert_cmpuint(budget_counted(world.daemons[0].budget), ==, 0);
        world_clear(&world);
    }
}

/* Opens connections as the budget requests until it holds `count`. */
static void open_up_to(struct budget *budget, GArray *actions, uint32_t count)
{
    for (guint i = 0; i < actions->len && budget_held(budget) < count; i++) {
        struct budget_action action = g_array_index(actions, struct budget_action, i);
        if (action.kind == BUDGET_ACTION_OPEN) {
            budget_opened(budget, action.number, 0, actions);
        }
    }
    g_assert_cmpuint(budget_held(budget), ==, count);
}

/* Counts the numbers for handover that are held and not being closed. */
static uint32_t held_for_handover(const struct budget *budget, const struct budget_options *options)
{
    uint32_t count = 0;
    uint32_t numbers = budget_numbers(options);
    for (uint32_t i = numbers - options->handover; i < numbers; i++) {
        count += budget_slot(budget, i) == BUDGET_SLOT_HELD;
    }
    return count;
}

/* The next move may start before this one is complete: its new owner needs the numbers for handover
 * while this one still serves. */
static void test_handover_numbers_are_free_for_the_next_move(void)
{
    struct budget_options options;
    budget_options_for(&options, 35, 1);
    for (uint32_t own = 1; own <= options.handover; own++) {
        struct budget *budget = budget_new(&options);
        g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
        budget_set_position(budget, 0, true, 0, actions);
        open_up_to(budget, actions, options.handover);
        g_assert_cmpuint(held_for_handover(budget, &options), ==, options.handover);
        budget_peer_released(budget, 0, actions);
        for (uint32_t i = 1; i < own; i++) {
            open_up_to(budget, actions, options.handover + i);
        }
        g_assert_cmpuint(held_for_handover(budget, &options), ==, options.handover);
        const struct budget_action *next =
            &g_array_index(actions, struct budget_action, actions->len - 1);
        g_assert_cmpint(next->kind, ==, BUDGET_ACTION_OPEN);
        budget_opened(budget, next->number, 0, actions);
        budget_set_position(budget, -1, true, 0, actions);
        g_assert_cmpuint(held_for_handover(budget, &options), ==, 0);
        g_assert_cmpuint(budget_held(budget), ==, own);
        g_assert_true(budget_serving(budget));
        budget_free(budget);
    }
}

/* This does not need the complete share, since opening all of its connections takes time. */
static void test_handover_numbers_go_back_once_warm(void)
{
    struct budget_options options;
    budget_options_for(&options, 35, 1);
    struct budget *budget = budget_new(&options);
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
    budget_set_position(budget, 0, true, 0, actions);
    open_up_to(budget, actions, options.handover);
    budget_peer_released(budget, 0, actions);
    open_up_to(budget, actions, 2 * options.handover - 1);
    const struct budget_action *next =
        &g_array_index(actions, struct budget_action, actions->len - 1);
    budget_opened(budget, next->number, 0, actions);
    g_assert_cmpuint(held_for_handover(budget, &options), ==, 0);
    g_assert_cmpuint(budget_held(budget), ==, options.handover);
    budget_free(budget);
}

static void test_shares_fit_the_limit(void)
{
    for (uint32_t limit = 1; limit <= BUDGET_CONNECTIONS_MAX; limit++) {
        for (uint32_t owners = 1; owners <= 9; owners++) {
            struct budget_options options;
            budget_options_for(&options, limit, owners);
            uint32_t total =
                options.opening_reserve + options.handover + owners * budget_share(&options);
            g_assert_cmpuint(total, <=, limit);
        }
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/budget/two-views-keep-the-limit/35", GUINT_TO_POINTER(35),
                         test_two_views_keep_the_limit);
    g_test_add_data_func("/budget/two-views-keep-the-limit/65", GUINT_TO_POINTER(65),
                         test_two_views_keep_the_limit);
    g_test_add_func("/budget/planned-move-keeps-a-server", test_planned_move_keeps_a_server);
    g_test_add_func("/budget/handover-numbers-are-free-for-the-next-move",
                    test_handover_numbers_are_free_for_the_next_move);
    g_test_add_func("/budget/handover-numbers-go-back-once-warm",
                    test_handover_numbers_go_back_once_warm);
    g_test_add_func("/budget/shares-fit-the-limit", test_shares_fit_the_limit);
    return g_test_run();
}
