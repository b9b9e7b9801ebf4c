/* The tree of log entries: ancestors and common prefixes of logs that diverged. */
#include "sim/sim_entry.h"

#define LOG_LENGTH 200

static struct sim_entry *grow(struct sim_world *world, struct sim_entry *parent, uint64_t term,
                              uint32_t count, GPtrArray *entries)
{
    for (uint32_t i = 0; i < count; i++) {
        parent = sim_entry_append(world, parent, term, SIM_ENTRY_WRITE);
        g_ptr_array_add(entries, parent);
    }
    return parent;
}

static void test_contains(void)
{
    struct sim_world *world = sim_world_new(1, false);
    g_autoptr(GPtrArray) trunk = g_ptr_array_new();
    g_autoptr(GPtrArray) branch = g_ptr_array_new();
    struct sim_entry *head = grow(world, NULL, 1, LOG_LENGTH, trunk);
    struct sim_entry *fork = g_ptr_array_index(trunk, LOG_LENGTH / 2);
    struct sim_entry *other = grow(world, fork, 2, LOG_LENGTH, branch);

    for (guint i = 0; i < trunk->len; i++) {
        const struct sim_entry *entry = g_ptr_array_index(trunk, i);

        g_assert_true(sim_entry_contains(head, entry));
        g_assert_true(sim_entry_contains(other, entry) == (i <= LOG_LENGTH / 2));
    }
    for (guint i = 0; i < branch->len; i++) {
        g_assert_false(sim_entry_contains(head, g_ptr_array_index(branch, i)));
        g_assert_true(sim_entry_contains(other, g_ptr_array_index(branch, i)));
    }
    g_assert_true(sim_entry_common(head, other) == fork);
    g_assert_null(sim_entry_common(NULL, head));
    g_assert_false(sim_entry_contains(NULL, head));
    sim_world_free(world);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sim/entry/contains", test_contains);
    return g_test_run();
}
