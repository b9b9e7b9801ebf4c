/* Overlapping moves of positions between daemons: whenever the second move begins, every owner gets
 * its share and every other daemon ends with no connection, long before the handover time ends. The
 * second move is started after each step of the first. */
#include "core/budget.h"

#define DAEMONS 6

/* Interval at which a former owner queries the owners, and at which all daemons check their wake-up
 * times. */
#define STEP (25 * NANOSECONDS_PER_MILLISECOND)

/* So long that no move completes by time-out. */
#define HANDOVER_TIME (600 * NANOSECONDS_PER_SECOND)

/* All moves are complete by then: some numbers are refused and tried again after two seconds
 * each. */
#define SETTLE_TIMEOUT (20 * NANOSECONDS_PER_SECOND)

/* Number of steps after which a move is complete, with a margin. */
#define STEPS_MAX 120

/* Seeds, and moves per seed, of the random test. */
#define SEEDS 300
#define MOVES 12

/* Connections left for pools of databases with 35 connections and two owners, and 65 and three. */
static const struct {
    uint32_t limit;
    uint32_t owners;
} databases[] = {{27, 2}, {47, 3}};

/* Holders of a number: none, or a failed daemon whose end the database has not detected yet. */
#define NO_HOLDER   (-1)
#define DEAD_HOLDER (-2)

/* Time until the database detects that a daemon has failed. */
#define NOTICE_TIME (3 * NANOSECONDS_PER_SECOND)

/* An opening or closing that waits to be performed. */
struct task {
    uint32_t daemon;
    struct budget_action action;
};

struct daemon {
    struct budget *budget;
    int32_t position;
    bool warm;
    bool draining; /* lost its position, and the owners were warm */
    bool released; /* notified the owners that it holds nothing */
};

struct world {
    struct budget_options options;
    struct daemon daemons[DAEMONS];
    bool leaving[DAEMONS];
    int32_t holder[BUDGET_CONNECTIONS_MAX]; /* of each number, or NO_HOLDER or DEAD_HOLDER */
    time_ns noticed_at;                     /* when the database detects the failed daemons */
    uint32_t held_max;                      /* maximum of numbers held at the same time */
    bool served;  /* some daemon could serve; from then on one always must */
    GQueue tasks; /* of struct task */
    time_ns now;
};

static void apply_actions(struct world *world, uint32_t daemon, GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        const struct budget_action *action = &g_array_index(actions, struct budget_action, i);
        if (action->kind == BUDGET_ACTION_WARM) {
            world->daemons[daemon].warm = true;
        } else if (action->kind != BUDGET_ACTION_RELEASED) {
            struct task task = {daemon, *action};
            g_queue_push_tail(&world->tasks, g_memdup2(&task, sizeof(task)));
        }
    }
    g_array_free(actions, TRUE);
}

static GArray *new_actions(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct budget_action));
}

static void open_number(struct world *world, uint32_t daemon, uint32_t number)
{
    struct budget *budget = world->daemons[daemon].budget;
    GArray *actions = new_actions();
    if (world->holder[number] != NO_HOLDER) {
        budget_number_taken(budget, number, world->now, actions);
    } else {
        world->holder[number] = (int32_t)daemon;
        budget_opened(budget, number, world->now, actions);
    }
    apply_actions(world, daemon, actions);
}

static void close_number(struct world *world, uint32_t daemon, uint32_t number)
{
    GArray *actions = new_actions();
    g_assert_cmpint(world->holder[number], ==, (int32_t)daemon);
    world->holder[number] = NO_HOLDER;
    budget_closed(world->daemons[daemon].budget, number, world->now, actions);
    apply_actions(world, daemon, actions);
}

/* Performs one opening or closing. False if none is left. */
static bool carry_out(struct world *world)
{
    g_autofree struct task *task = g_queue_pop_head(&world->tasks);
    if (task == NULL) {
        return false;
    }
    if (task->action.kind == BUDGET_ACTION_OPEN) {
        open_number(world, task->daemon, task->action.number);
    } else {
        close_number(world, task->daemon, task->action.number);
    }
    return true;
}

static void set_position(struct world *world, uint32_t index, int32_t position)
{
    struct daemon *daemon = &world->daemons[index];
    GArray *actions = new_actions();
    if (position != daemon->position) {
        daemon->position = position;
        daemon->warm = false;
        daemon->draining = false;
        daemon->released = false;
    }
    budget_set_position(daemon->budget, position, true, world->now, actions);
    apply_actions(world, index, actions);
}

/* Makes the first daemons that are not leaving the owners. */
static void place_all(struct world *world)
{
    int32_t owners = (int32_t)world->options.owners;
    int32_t position = 0;
    for (uint32_t i = 0; i < DAEMONS; i++) {
        bool owns = !world->leaving[i] && position < owners;
        set_position(world, i, owns ? position++ : -1);
    }
}

static void set_leaving(struct world *world, uint32_t daemon, bool leaving)
{
    world->leaving[daemon] = leaving;
    place_all(world);
}

static bool owners_are_warm(const struct world *world)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        const struct daemon *daemon = &world->daemons[i];
        if (daemon->position >= 0 && (!daemon->warm || budget_held(daemon->budget) == 0)) {
            return false;
        }
    }
    return true;
}

static void notify_released(struct world *world)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (world->daemons[i].position >= 0) {
            GArray *actions = new_actions();
            budget_peer_released(world->daemons[i].budget, world->now, actions);
            apply_actions(world, i, actions);
        }
    }
}

/* The handover of a daemon without a position. */
static void hand_over(struct world *world, uint32_t index)
{
    struct daemon *daemon = &world->daemons[index];
    if (!daemon->draining && owners_are_warm(world)) {
        GArray *actions = new_actions();
        daemon->draining = true;
        budget_peer_warm(daemon->budget, world->now, actions);
        apply_actions(world, index, actions);
    }
    if (!daemon->released && budget_counted(daemon->budget) == 0) {
        daemon->released = true;
        notify_released(world);
    }
}

/* Moves all numbers of one holder to another. */
static void reassign_numbers(struct world *world, int32_t from, int32_t to)
{
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        if (world->holder[i] == from) {
            world->holder[i] = to;
        }
    }
}

/* Advances the clock and performs due work of each daemon. */
static void advance_clock(struct world *world)
{
    world->now += STEP;
    if (world->now >= world->noticed_at) {
        reassign_numbers(world, DEAD_HOLDER, NO_HOLDER);
    }
    for (uint32_t i = 0; i < DAEMONS; i++) {
        struct daemon *daemon = &world->daemons[i];
        if (budget_next_wakeup(daemon->budget) <= world->now) {
            GArray *actions = new_actions();
            budget_tick(daemon->budget, world->now, actions);
            apply_actions(world, i, actions);
        }
        if (daemon->position < 0) {
            hand_over(world, i);
        }
    }
}

static bool is_served(const struct world *world)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (budget_serving(world->daemons[i].budget)) {
            return true;
        }
    }
    return false;
}

static void count_held(struct world *world)
{
    uint32_t held = 0;
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        held += world->holder[i] != NO_HOLDER;
    }
    world->held_max = MAX(world->held_max, held);
}

static void step(struct world *world)
{
    if (!carry_out(world)) {
        advance_clock(world);
    }
    count_held(world);
    world->served |= is_served(world);
    g_assert_true(is_served(world) == world->served);
}

/* True if every owner holds exactly its share, and no other daemon has a connection. */
static bool is_settled(const struct world *world)
{
    uint32_t share = budget_share(&world->options);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        const struct daemon *daemon = &world->daemons[i];
        uint32_t expected = daemon->position >= 0 ? share : 0;
        if (budget_counted(daemon->budget) != expected) {
            return false;
        }
        for (uint32_t j = 0; j < expected; j++) {
            uint32_t number = (uint32_t)daemon->position * share + j;
            if (world->holder[number] != (int32_t)i) {
                return false;
            }
        }
    }
    return true;
}

static void await_settled(struct world *world)
{
    time_ns end = world->now + SETTLE_TIMEOUT;
    while (!is_settled(world) && world->now < end) {
        step(world);
    }
    g_assert_true(is_settled(world));
    g_assert_cmpuint(world->held_max, <=, budget_numbers(&world->options));
}

static void world_init(struct world *world, size_t database)
{
    *world = (struct world){.now = NANOSECONDS_PER_SECOND};
    budget_options_for(&world->options, databases[database].limit, databases[database].owners);
    world->options.handover_time = HANDOVER_TIME;
    g_queue_init(&world->tasks);
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        world->holder[i] = NO_HOLDER;
    }
    for (uint32_t i = 0; i < DAEMONS; i++) {
        world->daemons[i] = (struct daemon){.budget = budget_new(&world->options), .position = -1};
    }
    place_all(world);
    await_settled(world);
}

static void world_clear(struct world *world)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        budget_free(world->daemons[i].budget);
    }
    g_queue_clear_full(&world->tasks, g_free);
}

/* Two moves: a daemon joins or leaves, and after a number of steps another one. */
struct moves {
    const char *name;
    uint32_t left_before; /* bit for each daemon that leaves before the first move */
    uint32_t first;
    uint32_t second;
};

/* At least one daemon stays: without an owner no daemon could take over. */
static bool is_last(const struct world *world, uint32_t daemon)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (i != daemon && !world->leaving[i]) {
            return false;
        }
    }
    return true;
}

static void toggle_leaving(struct world *world, uint32_t daemon)
{
    if (is_last(world, daemon)) {
        return;
    }
    set_leaving(world, daemon, !world->leaving[daemon]);
}

static void overlap(const struct moves *moves, size_t database, uint32_t steps)
{
    struct world world;
    world_init(&world, database);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if ((moves->left_before >> i & 1) != 0) {
            set_leaving(&world, i, true);
            await_settled(&world);
        }
    }
    toggle_leaving(&world, moves->first);
    for (uint32_t i = 0; i < steps; i++) {
        step(&world);
    }
    toggle_leaving(&world, moves->second);
    await_settled(&world);
    world_clear(&world);
}

static void test_overlapping_moves(gconstpointer data)
{
    for (uint32_t steps = 0; steps <= STEPS_MAX; steps++) {
        for (size_t i = 0; i < G_N_ELEMENTS(databases); i++) {
            overlap(data, i, steps);
        }
    }
}

static void drop_tasks(struct world *world, uint32_t daemon)
{
    for (guint left = g_queue_get_length(&world->tasks); left > 0; left--) {
        struct task *task = g_queue_pop_head(&world->tasks);
        if (task->daemon == daemon) {
            g_free(task);
        } else {
            g_queue_push_tail(&world->tasks, task);
        }
    }
}

/* Kills a daemon. Its new process exists but owns nothing yet. */
static void kill_daemon(struct world *world, uint32_t index)
{
    struct daemon *daemon = &world->daemons[index];
    if (is_last(world, index)) {
        return;
    }
    drop_tasks(world, index);
    reassign_numbers(world, (int32_t)index, DEAD_HOLDER);
    world->noticed_at = world->now + NOTICE_TIME;
    budget_free(daemon->budget);
    *daemon = (struct daemon){.budget = budget_new(&world->options), .position = -1};
    world->served = false;
    set_leaving(world, index, true);
}

static void move_in_a_row(size_t database, uint32_t seed, bool kills)
{
    struct world world;
    g_autoptr(GRand) random = g_rand_new_with_seed(seed);
    world_init(&world, database);
    for (uint32_t i = 0; i < MOVES; i++) {
        uint32_t daemon = (uint32_t)g_rand_int_range(random, 0, DAEMONS);
        if (kills && g_rand_boolean(random)) {
            kill_daemon(&world, daemon);
        } else {
            toggle_leaving(&world, daemon);
        }
        for (gint32 steps = g_rand_int_range(random, 0, STEPS_MAX); steps > 0; steps--) {
            step(&world);
        }
    }
    for (uint32_t i = 0; i < DAEMONS; i++) {
        set_leaving(&world, i, false);
    }
    await_settled(&world);
    world_clear(&world);
}

/* Successive moves, each started at a random moment of those before; with or without failures of
 * daemons. */
static void test_moves_in_a_row(gconstpointer data)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        for (size_t i = 0; i < G_N_ELEMENTS(databases); i++) {
            move_in_a_row(i, seed, GPOINTER_TO_INT(data));
        }
    }
}

static const struct moves all_moves[] = {
    {"first-owner-leaves-and-returns", 0, 0, 0},
    {"second-owner-leaves-and-returns", 0, 1, 1},
    {"first-owner-returns-and-leaves", 1, 0, 0},
    {"both-owners-leave", 0, 0, 1},
    {"both-owners-leave-in-reverse", 0, 1, 0},
    {"both-owners-return", 3, 0, 1},
    {"both-owners-return-in-reverse", 3, 1, 0},
    {"one-returns-while-the-other-leaves", 1, 0, 1},
    {"one-leaves-while-the-other-returns", 1, 1, 0},
    {"new-owner-leaves", 0, 0, 2},
    {"new-owner-returns", 4, 0, 2},
};

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(all_moves); i++) {
        g_autofree char *path = g_strdup_printf("/budget/moves/%s", all_moves[i].name);
        g_test_add_data_func(path, &all_moves[i], test_overlapping_moves);
    }
    g_test_add_data_func("/budget/moves/in-a-row", GINT_TO_POINTER(false), test_moves_in_a_row);
    g_test_add_data_func("/budget/moves/in-a-row-with-kills", GINT_TO_POINTER(true),
                         test_moves_in_a_row);
    return g_test_run();
}
