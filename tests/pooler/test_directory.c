/* The directory: which row of a database counts, and when a database counts as leaving or departed.
 */
#include "pooler/control/directory.h"

#define MS        NANOSECONDS_PER_MILLISECOND
#define HEARTBEAT (1200 * MS)

static struct directory_entry *
entry(const char *id, bool draining)
{
    struct directory_entry *out = g_new0(struct directory_entry, 1);
    out->id = g_strdup(id);
    out->service = g_strdup("s");
    out->zone = g_strdup("z");
    out->draining = draining;
    return out;
}

/* Applies a row; true if the directory changed. */
static bool
apply(struct directory *directory, const char *id, uint64_t version, bool draining, time_ns now)
{
    struct directory_entry *taken = entry(id, draining);
    return directory_apply_row(directory, id, version, taken, now);
}

static const struct directory_entry *
find(const struct directory *directory, const char *id)
{
    return g_hash_table_lookup(directory->entries, id);
}

static void
test_older_rows_are_ignored(void)
{
    struct directory directory;
    directory_init(&directory);
    g_assert_true(apply(&directory, "a", 5, true, 0));
    g_assert_false(apply(&directory, "a", 4, false, 0));
    g_assert_true(find(&directory, "a")->draining);
    directory_clear(&directory);
}

static void
test_same_content_is_no_change(void)
{
    struct directory directory;
    directory_init(&directory);
    g_assert_true(apply(&directory, "a", 1, false, 0));
    g_assert_false(apply(&directory, "a", 2, false, 0));
    directory_clear(&directory);
}

static void
test_draining_leaves_at_once(void)
{
    struct directory directory;
    directory_init(&directory);
    apply(&directory, "a", 1, true, 0);
    g_assert_true(directory_entry_leaves(find(&directory, "a"), 0, HEARTBEAT));
    directory_clear(&directory);
}

/* A store that was down may have dropped the rows of running databases. */
static void
test_deleted_leaves_after_two_heartbeats(void)
{
    struct directory directory;
    directory_init(&directory);
    apply(&directory, "a", 1, false, 0);
    g_assert_true(directory_apply_row(&directory, "a", 2, NULL, 1000 * MS));
    g_assert_false(directory_entry_leaves(find(&directory, "a"), 3300 * MS, HEARTBEAT));
    g_assert_true(directory_entry_leaves(find(&directory, "a"), 3400 * MS, HEARTBEAT));
    g_assert_true(apply(&directory, "a", 3, false, 3500 * MS));
    g_assert_false(directory_entry_leaves(find(&directory, "a"), 9000 * MS, HEARTBEAT));
    directory_clear(&directory);
}

static void
test_forget(void)
{
    struct directory directory;
    directory_init(&directory);
    apply(&directory, "a", 1, false, 0);
    apply(&directory, "b", 2, false, 0);
    directory_apply_row(&directory, "a", 3, NULL, 1000 * MS);
    g_assert_false(directory_forget(&directory, 1500 * MS, 1000 * MS));
    g_assert_true(directory_forget(&directory, 2000 * MS, 1000 * MS));
    g_assert_null(find(&directory, "a"));
    g_assert_nonnull(find(&directory, "b"));
    directory_clear(&directory);
}

/* A database whose row is deleted at 10 s, another database of its zone, and what is known of them.
 */
struct departure {
    bool draining;
    bool recorded_again;         /* the database has written its row again */
    time_ns other_present_since; /* 0: no other database in its zone */
    time_ns other_deleted_at;    /* 0: its row is present */
    time_ns as_of;
    bool departed;
};

static void
test_left(void)
{
    static const struct departure departures[] = {
        {true, false, 1000 * MS, 0, 14800 * MS, true},
        /* Its last row did not report that it drains. */
        {false, false, 1000 * MS, 0, 14800 * MS, false},
        /* It had no time yet to write its row again. */
        {true, false, 1000 * MS, 0, 14700 * MS, false},
        {true, false, 1000 * MS, 0, 0, false},
        /* A store that was down had dropped the row. */
        {true, true, 1000 * MS, 0, 16000 * MS, false},
        /* The zone is partitioned from the store, perhaps together with the primary. */
        {true, false, 1000 * MS, 11000 * MS, 20000 * MS, false},
        {true, false, 0, 0, 20000 * MS, false},
        /* The partition has just ended: it may yet write its row. */
        {true, false, 18000 * MS, 0, 22700 * MS, false},
        {true, false, 18000 * MS, 0, 22800 * MS, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(departures); i++) {
        const struct departure *departure = &departures[i];
        struct directory directory;
        directory_init(&directory);
        apply(&directory, "a", 1, departure->draining, 500 * MS);
        directory_apply_row(&directory, "a", 2, NULL, 10000 * MS);
        if (departure->other_present_since != 0) {
            apply(&directory, "b", 3, false, departure->other_present_since);
        }
        if (departure->other_deleted_at != 0) {
            directory_apply_row(&directory, "b", 4, NULL, departure->other_deleted_at);
        }
        if (departure->recorded_again) {
            apply(&directory, "a", 5, departure->draining, 15000 * MS);
        }
        directory_note_departed(&directory, departure->as_of, HEARTBEAT);
        g_assert_cmpint(find(&directory, "a")->departed, ==, departure->departed);
        directory_clear(&directory);
    }
}

/* A primary has not departed: it may hold the last acknowledged commits. */
static void
test_left_as_primary(void)
{
    struct directory directory;
    struct directory_entry *primary = entry("a", true);
    primary->leads = true;
    directory_init(&directory);
    directory_apply_row(&directory, "a", 1, primary, 500 * MS);
    apply(&directory, "b", 2, false, 500 * MS);
    directory_apply_row(&directory, "a", 3, NULL, 10000 * MS);
    directory_note_departed(&directory, 15000 * MS, HEARTBEAT);
    g_assert_false(find(&directory, "a")->departed);
    directory_clear(&directory);
}

/* Once departed, a later partition of the zone does not change that; a new row of the database
 * does. */
static void
test_left_before_a_partition(void)
{
    struct directory directory;
    directory_init(&directory);
    apply(&directory, "a", 1, true, 500 * MS);
    apply(&directory, "b", 2, false, 500 * MS);
    directory_apply_row(&directory, "a", 3, NULL, 10000 * MS);
    directory_note_departed(&directory, 15000 * MS, HEARTBEAT);
    directory_apply_row(&directory, "b", 4, NULL, 16000 * MS);
    directory_note_departed(&directory, 17000 * MS, HEARTBEAT);
    g_assert_true(find(&directory, "a")->departed);
    apply(&directory, "a", 5, false, 18000 * MS);
    g_assert_false(find(&directory, "a")->departed);
    directory_clear(&directory);
}

static bool
apply_in_group(struct directory *directory, const char *id, const char *service, uint64_t version)
{
    struct directory_entry *taken = entry(id, false);
    g_free(taken->service);
    taken->service = g_strdup(service);
    return directory_apply_row(directory, id, version, taken, 0);
}

/* The databases of each group are listed by group, also when one moves to another group. */
static void
test_group(void)
{
    struct directory directory;
    directory_init(&directory);
    g_assert_cmpuint(directory_group(&directory, "ledger-1")->len, ==, 0);
    apply_in_group(&directory, "a", "ledger-1", 1);
    apply_in_group(&directory, "b", "ledger-1", 2);
    apply_in_group(&directory, "c", "ledger-2", 3);
    g_assert_cmpuint(directory_group(&directory, "ledger-1")->len, ==, 2);
    apply_in_group(&directory, "a", "ledger-1", 4);
    g_assert_cmpuint(directory_group(&directory, "ledger-1")->len, ==, 2);
    apply_in_group(&directory, "b", "ledger-2", 5);
    g_assert_cmpuint(directory_group(&directory, "ledger-1")->len, ==, 1);
    g_assert_true(directory_group(&directory, "ledger-1")->pdata[0] == find(&directory, "a"));
    g_assert_cmpuint(directory_group(&directory, "ledger-2")->len, ==, 2);
    directory_apply_row(&directory, "c", 6, NULL, 1000 * MS);
    g_assert_cmpuint(directory_group(&directory, "ledger-2")->len, ==, 2);
    directory_forget(&directory, 9000 * MS, 1000 * MS);
    g_assert_cmpuint(directory_group(&directory, "ledger-2")->len, ==, 1);
    directory_clear(&directory);
}

static void
apply_role(struct directory *directory, const char *id, uint64_t version, bool leads)
{
    struct directory_entry *taken = entry(id, false);
    taken->leads = leads;
    directory_apply_row(directory, id, version, taken, 0);
}

/* A leader is known only if exactly one present row reports that it leads. */
static void
test_leader(void)
{
    struct directory directory;
    directory_init(&directory);
    apply_role(&directory, "a", 1, false);
    g_assert_null(directory_leader(&directory, "s"));
    apply_role(&directory, "b", 2, true);
    g_assert_cmpstr(directory_leader(&directory, "s"), ==, "b");
    apply_role(&directory, "a", 3, true);
    g_assert_null(directory_leader(&directory, "s"));
    apply_role(&directory, "a", 4, false);
    directory_apply_row(&directory, "b", 5, NULL, 1000 * MS);
    g_assert_null(directory_leader(&directory, "s"));
    directory_clear(&directory);
}

/* Applies a row of a database with this start time. */
static bool
apply_started(struct directory *directory, uint64_t version, uint64_t born_ms, time_ns now)
{
    struct directory_entry *taken = entry("a", false);
    taken->born_ms = born_ms;
    return directory_apply_row(directory, "a", version, taken, now);
}

/* A restart is a change. A late row from before the restart is ignored. */
static void
test_restarted(void)
{
    struct directory directory;
    directory_init(&directory);
    apply_started(&directory, 1, 5000, 100 * MS);
    bool renewed = apply_started(&directory, 2, 5000, 200 * MS);
    bool started = apply_started(&directory, 3, 7000, 300 * MS);
    g_assert_false(renewed);
    g_assert_true(started);
    g_assert_cmpuint(find(&directory, "a")->present_since, ==, 300 * MS);
    bool late = apply_started(&directory, 4, 5000, 400 * MS);
    g_assert_false(late);
    g_assert_cmpuint(find(&directory, "a")->born_ms, ==, 7000);
    g_assert_cmpuint(find(&directory, "a")->version, ==, 4);
    directory_clear(&directory);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/directory/older-ignored", test_older_rows_are_ignored);
    g_test_add_func("/pooler/directory/no-change", test_same_content_is_no_change);
    g_test_add_func("/pooler/directory/draining", test_draining_leaves_at_once);
    g_test_add_func("/pooler/directory/left", test_left);
    g_test_add_func("/pooler/directory/left-as-primary", test_left_as_primary);
    g_test_add_func("/pooler/directory/left-before-a-partition", test_left_before_a_partition);
    g_test_add_func("/pooler/directory/deleted", test_deleted_leaves_after_two_heartbeats);
    g_test_add_func("/pooler/directory/forget", test_forget);
    g_test_add_func("/pooler/directory/group", test_group);
    g_test_add_func("/pooler/directory/leader", test_leader);
    g_test_add_func("/pooler/directory/restarted", test_restarted);
    return g_test_run();
}
