/* swiftreplay: replays recorded traces into the core and checks their expected outcomes; merges the
 * traces of several daemons. */
#include <glib.h>
#include <stdio.h>

#include "sim/replay.h"
#include "sim/trace_merge.h"

/* Replays one trace. Its expected outcomes are in the file of the same name with the ending
 * .outcome. */
static bool replay_one(const char *path, const struct replay_options *options)
{
    g_autoptr(GString) outcomes = g_string_new(path);
    g_autoptr(GError) error = NULL;
    int failures;

    if (g_str_has_suffix(path, ".trace")) {
        g_string_truncate(outcomes, outcomes->len - sizeof(".trace") + 1);
    }
    g_string_append(outcomes, ".outcome");
    bool stated = g_file_test(outcomes->str, G_FILE_TEST_EXISTS);
    failures = replay_file(path, stated ? outcomes->str : NULL, options, &error);
    if (failures < 0) {
        fprintf(stderr, "swiftreplay: %s: %s\n", path, error->message);
        return false;
    }
    printf("%s: %s\n", path,
           failures > 0 ? "FAILED"
           : stated     ? "outcomes hold"
                        : "decided as recorded; no outcomes file");
    return failures == 0;
}

static int merge(const char *path, const char *const *traces)
{
    g_autoptr(GError) error = NULL;

    if (!trace_merge(path, traces, &error)) {
        fprintf(stderr, "swiftreplay: %s\n", error->message);
        return 1;
    }
    return 0;
}

int main(int argc, char **argv)
{
    gboolean dump = FALSE;
    gboolean outcomes_only = FALSE;
    g_autofree char *merged = NULL;
    g_autofree char *mutation = NULL;
    const GOptionEntry entries[] = {
        {"dump", 0, 0, G_OPTION_ARG_NONE, &dump, "Print every event and action", NULL},
        {"outcomes-only", 0, 0, G_OPTION_ARG_NONE, &outcomes_only,
         "Allow decisions that differ from the recorded ones", NULL},
        {"merge", 0, 0, G_OPTION_ARG_FILENAME, &merged,
         "Merge the traces of several daemons, daemon 0 first, into FILE; replay nothing", "FILE"},
        {"mutation", 0, 0, G_OPTION_ARG_STRING, &mutation,
         "Mechanism of the core to turn off; the outcomes should then fail", "M"},
        G_OPTION_ENTRY_NULL,
    };
    g_autoptr(GOptionContext) context = g_option_context_new("TRACE...");
    g_autoptr(GError) error = NULL;
    int failed = 0;

    g_option_context_set_summary(context, "Replays traces into the core and checks outcomes.");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "swiftreplay: %s\n", error->message);
        return 2;
    }
    if (argc < 2) {
        fprintf(stderr, "swiftreplay: no trace given\n");
        return 2;
    }
    if (merged != NULL) {
        return merge(merged, (const char *const *)argv + 1);
    }
    struct replay_options options = {
        .dump = dump, .outcomes_only = outcomes_only, .mutation = mutation, .output = stdout};
    for (int i = 1; i < argc; i++) {
        failed += replay_one(argv[i], &options) ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
