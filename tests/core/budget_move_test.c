/* Moves of places between daemons that overlap: whatever the moment at which a second one begins,
 * every owner comes to hold its share and every other daemon nothing, long before the time for
 * hand-over ends. The moments are enumerated: the second move begins after each step of the first.
 */
#include "core/budget.h"

#define DAEMONS 6

/* How often a daemon that lost its place asks the owners, and all look at their wake-up times. */
#define STEP (25 * NANOSECONDS_PER_MILLISECOND)

/* No move waits for its end. */
#define HANDOVER_TIME (600 * NANOSECONDS_PER_SECOND)

/* All moves are over by then: some refused numbers, tried again after two seconds each. */
#define PATIENCE (20 * NANOSECONDS_PER_SECOND)

/* Steps of a move after which nothing is left to do, with some to spare. */
#define STEPS_MAX 120

/* Of the test by seed. */
#define SEEDS 300
#define MOVES 12

/* What is left for pools of 35 connections and two owners, and of 65 and three. */
static const struct {
    uint32_t limit;
    uint32_t owners;
} databases[] = {{27, 2}, {47, 3}};

/* Holders of a number: none, or a daemon of whose end the database does not know yet. */
#define NOBODY (-1)
#define DEAD   (-2)

/* Until the database notices that a daemon has died. */
#define NOTICE_TIME (3 * NANOSECONDS_PER_SECOND)

/* Something that a daemon's pool is told next. */
struct task {
    uint32_t daemon;
    struct budget_action action;
};

struct daemon {
    struct budget *budget;
    int32_t position;
    bool warm;
    bool draining; /* lost its place, and the owners were warm */
    bool released; /* told the owners */
};

struct world {
    struct budget_options options;
    struct daemon daemons[DAEMONS];
    bool leaving[DAEMONS];
    int32_t holder[BUDGET_CONNECTIONS_MAX]; /* of each number, NOBODY or DEAD */
    time_ns noticed_at;                     /* when the database notices who has died */
    uint32_t most;                          /* numbers held at one moment */
    bool served;                            /* some daemon could serve; then one always can */
    GQueue tasks;                           /* of struct task */
    time_ns now;
};

static void take_actions(struct world *world, uint32_t daemon, GArray *actions)
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
    if (world->holder[number] != NOBODY) {
        budget_number_taken(budget, number, world->now, actions);
    } else {
        world->holder[number] = (int32_t)daemon;
        budget_opened(budget, number, world->now, actions);
    }
    take_actions(world, daemon, actions);
}

static void close_number(struct world *world, uint32_t daemon, uint32_t number)
{
    GArray *actions = new_actions();
    g_assert_cmpint(world->holder[number], ==, (int32_t)daemon);
    world->holder[number] = NOBODY;
    budget_closed(world->daemons[daemon].budget, number, world->now, actions);
    take_actions(world, daemon, actions);
}

/* Carries out one opening or closing. False if none is left. */
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
    take_actions(world, index, actions);
}

/* The first daemons that do not leave own the group. */
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

static void tell_released(struct world *world)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (world->daemons[i].position >= 0) {
            GArray *actions = new_actions();
            budget_peer_released(world->daemons[i].budget, world->now, actions);
            take_actions(world, i, actions);
        }
    }
}

/* What the hand-over does for a daemon without a place. */
static void hand_over(struct world *world, uint32_t index)
{
    struct daemon *daemon = &world->daemons[index];
    if (!daemon->draining && owners_are_warm(world)) {
        GArray *actions = new_actions();
        daemon->draining = true;
        budget_peer_warm(daemon->budget, world->now, actions);
        take_actions(world, index, actions);
    }
    if (!daemon->released && budget_counted(daemon->budget) == 0) {
        daemon->released = true;
        tell_released(world);
    }
}

/* Gives all numbers of one holder to another. */
static void pass_numbers(struct world *world, int32_t from, int32_t to)
{
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        if (world->holder[i] == from) {
            world->holder[i] = to;
        }
    }
}

/* Lets the clock go on, and does what is due at each daemon. */
static void advance_clock(struct world *world)
{
    world->now += STEP;
    if (world->now >= world->noticed_at) {
        pass_numbers(world, DEAD, NOBODY);
    }
    for (uint32_t i = 0; i < DAEMONS; i++) {
        struct daemon *daemon = &world->daemons[i];
        if (budget_next_wakeup(daemon->budget) <= world->now) {
            GArray *actions = new_actions();
            budget_tick(daemon->budget, world->now, actions);
            take_actions(world, i, actions);
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
        held += world->holder[i] != NOBODY;
    }
    world->most = MAX(world->most, held);
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

/* True if every owner holds its share and nothing else, and nobody else holds anything. */
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
    time_ns end = world->now + PATIENCE;
    while (!is_settled(world) && world->now < end) {
        step(world);
    }
    g_assert_true(is_settled(world));
    g_assert_cmpuint(world->most, <=, budget_numbers(&world->options));
}

static void world_init(struct world *world, size_t database)
{
    *world = (struct world){.now = NANOSECONDS_PER_SECOND};
    budget_options_for(&world->options, databases[database].limit, databases[database].owners);
    world->options.handover_time = HANDOVER_TIME;
    g_queue_init(&world->tasks);
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        world->holder[i] = NOBODY;
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

/* Two moves: a daemon comes or goes, and after so many steps another. */
struct moves {
    const char *name;
    uint32_t away; /* bit for each daemon that leaves before the first move */
    uint32_t first;
    uint32_t second;
};

/* One daemon stays at least: where there is no owner, nobody takes over. */
static bool is_last(const struct world *world, uint32_t daemon)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (i != daemon && !world->leaving[i]) {
            return false;
        }
    }
    return true;
}

static void turn(struct world *world, uint32_t daemon)
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
        if ((moves->away >> i & 1) != 0) {
            set_leaving(&world, i, true);
            await_settled(&world);
        }
    }
    turn(&world, moves->first);
    for (uint32_t i = 0; i < steps; i++) {
        step(&world);
    }
    turn(&world, moves->second);
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

/* Ends a daemon at once. A fresh process of it is there, but owns nothing yet. */
static void kill_daemon(struct world *world, uint32_t index)
{
    struct daemon *daemon = &world->daemons[index];
    if (is_last(world, index)) {
        return;
    }
    drop_tasks(world, index);
    pass_numbers(world, (int32_t)index, DEAD);
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
            turn(&world, daemon);
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

/* Moves in a row, each begun at any moment of those before, by seed; with or without daemons that
 * die, old owners or new. */
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
