/* swiftreplay: replays recorded traces into the core and checks their stated outcomes. */
#include <glib.h>
#include <stdio.h>

#include "sim/replay.h"

/* Replays one trace; its outcomes stand beside it in a file with the ending .outcome. */
static bool replay_one(const char *path, const struct replay_options *options)
{
    g_autoptr(GString) outcomes = g_string_new(path);
    g_autoptr(GError) error = NULL;
    int failures;

    if (g_str_has_suffix(path, ".trace")) {
        g_string_truncate(outcomes, outcomes->len - sizeof(".trace") + 1);
    }
    g_string_append(outcomes, ".outcome");
    failures = replay_file(path, outcomes->str, options, &error);
    if (failures < 0) {
        fprintf(stderr, "swiftreplay: %s: %s\n", path, error->message);
        return false;
    }
    printf("%s: %s\n", path, failures == 0 ? "outcomes hold" : "FAILED");
    return failures == 0;
}

int main(int argc, char **argv)
{
    gboolean dump = FALSE;
    g_autofree char *mutation = NULL;
    const GOptionEntry entries[] = {
        {"dump", 0, 0, G_OPTION_ARG_NONE, &dump, "Print every event and action", NULL},
        {"mutation", 0, 0, G_OPTION_ARG_STRING, &mutation,
         "Mechanism of the core to turn off, to see the outcomes fail", "M"},
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
        fprintf(stderr, "swiftreplay: a trace is needed\n");
        return 2;
    }
    struct replay_options options = {.dump = dump, .mutation = mutation, .output = stdout};
    for (int i = 1; i < argc; i++) {
        failed += replay_one(argv[i], &options) ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
