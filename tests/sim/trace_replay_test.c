/* Every kept trace passes, and fails when the mechanism that it covers is turned off. */
#include "sim/replay.h"

struct proof {
    const char *trace;
    const char *mutation; /* NULL: the trace must hold */
    bool decisions;       /* the mutation changes only the recorded decisions */
};

static int replay(const struct proof *proof)
{
    g_autofree char *trace = g_strconcat(proof->trace, ".trace", NULL);
    g_autofree char *outcome = g_strconcat(proof->trace, ".outcome", NULL);
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "..", "traces", trace, NULL);
    g_autofree char *outcome_path =
        g_test_build_filename(G_TEST_DIST, "..", "traces", outcome, NULL);
    /* With a mutation, differing decisions alone prove nothing: the outcomes must fail. */
    struct replay_options options = {
        .mutation = proof->mutation,
        .outcomes_only = proof->mutation != NULL && !proof->decisions,
        .output = stderr,
    };
    g_autoptr(GError) error = NULL;
    int failures = replay_file(path, outcome_path, &options, &error);

    g_assert_no_error(error);
    return failures;
}

static void test_holds(gconstpointer proof)
{
    g_assert_cmpint(replay(proof), ==, 0);
}

static void test_fails(gconstpointer proof)
{
    g_assert_cmpint(replay(proof), >, 0);
}

/* Checks that the table lists every trace file. */
static void test_all_listed(gconstpointer data)
{
    const struct proof *proofs = data;
    g_autofree char *directory = g_test_build_filename(G_TEST_DIST, "..", "traces", NULL);
    g_autoptr(GError) error = NULL;
    g_autoptr(GDir) listing = g_dir_open(directory, 0, &error);
    const char *name;

    g_assert_no_error(error);
    while ((name = g_dir_read_name(listing)) != NULL) {
        bool listed = !g_str_has_suffix(name, ".trace");

        for (const struct proof *proof = proofs; proof->trace != NULL; proof++) {
            g_autofree char *file = g_strconcat(proof->trace, ".trace", NULL);

            listed = listed || (proof->mutation == NULL && g_str_equal(file, name));
        }
        g_assert_true(listed);
    }
}

int main(int argc, char **argv)
{
    static const struct proof PROOFS[] = {
        {"coordinator_paused", NULL, false},
        {"coordinator_paused", "no_fence", false},
        {"daemons_drained_primary", NULL, false},
        {"daemons_drained_primary", "no_fence", false},
        {"daemons_drained_primary", "no_pause", false},
        {"daemons_drained_primary", "ignore_leaving", false},
        {"daemons_killed_primary", NULL, false},
        {"daemons_killed_primary", "no_fence", false},
        {"daemons_killed_primary", "single_watcher_deposes", true},
        {"daemons_lost_answers", NULL, false},
        {"daemons_lost_answers", "trust_commit", false},
        {"daemons_lost_answers", "resend_unkeyed", false},
        {"daemons_paused_coordinator", NULL, false},
        {"daemons_paused_coordinator", "no_fence", false},
        {"drain_beside_dead_watcher", NULL, false},
        {"drain_primary", NULL, false},
        {"drain_primary", "no_pause", false},
        {"drain_primary", "ignore_leaving", false},
        {"failover_during_failover", NULL, false},
        {"failover_during_failover", "no_fence", false},
        {"pair_cut", NULL, false},
        {"pair_cut", "single_watcher_deposes", false},
        {"primary_came_back_empty", NULL, false},
        {"two_coordinators", NULL, false},
        {"two_coordinators", "no_fence", false},
        {"wake_at_once", NULL, false},
        {"watchers_paused_and_cut", NULL, false},
        {NULL, NULL, false},
    };

    g_test_init(&argc, &argv, NULL);
    for (const struct proof *proof = PROOFS; proof->trace != NULL; proof++) {
        const char *mutation = proof->mutation == NULL ? "holds" : proof->mutation;
        g_autofree char *path = g_strjoin("/", "/trace", proof->trace, mutation, NULL);

        g_test_add_data_func(path, proof, proof->mutation == NULL ? test_holds : test_fails);
    }
    g_test_add_data_func("/trace/all_listed", PROOFS, test_all_listed);
    return g_test_run();
}
