/* swiftctl's complete output, including exit codes, against golden files. Runs in the root of the
 * source tree. */
#include "ctl/commands.h"
#include "ctl/ctl.h"

#include <glib/gstdio.h>

#include <arpa/inet.h>
#include <string.h>

#include <microhttpd.h>

#include "platform_fixture.h"

#define GOLDEN_DIRECTORY "tests/ctl/golden"
#define ATLAS            "examples/atlas-huts/configuration.json"
#define CHANGED          "tests/ctl/data/changed.json"
/* A configuration that changes no group's databases. */
#define PUBLISHED "tests/ctl/data/published.json"
#define INVALID   "tests/ctl/data/invalid.json"
#define WORDS_MAX 16

/* A run of swiftctl and the golden file with its output. */
struct golden_run {
    const char *golden;
    const char *words[WORDS_MAX];
};

/* Replies of a daemon's admin listener, by method and URL. */
struct admin_answer {
    const char *call;
    unsigned status;
    const char *body;
};

static const struct admin_answer admin_answers[] = {
    {"GET /v1/status", 200,
     "{\"daemon\":\"d1\",\"zone\":\"imlil\",\"configuration\":{\"version\":3,\"straggler_count\":1,"
     "\"stragglers\":[{\"id\":\"1f\",\"address\":\"127.0.0.1:7400\",\"version\":2}]},"
     "\"databases\":[{\"name\":\"toubkal-1\",\"role\":\"primary\",\"term\":4},"
     "{\"name\":\"toubkal-2\",\"role\":\"replica\",\"term\":4}],"
     "\"groups\":[{\"name\":\"bookings\",\"id\":1,\"databases\":[{\"name\":\"a\",\"role\":"
     "\"primary\"}]},"
     "{\"name\":\"empty\",\"id\":2,\"databases\":[]},"
     "{\"name\":\"search\",\"id\":3,\"databases\":[{\"name\":\"b\",\"role\":\"replica\"}]}]}"},
    {"POST /v1/drain?database=toubkal-1", 200, "{\"draining\":\"toubkal-1\"}"},
    {"GET /v1/drain?database=toubkal-1", 200,
     "{\"database\":\"toubkal-1\",\"leaving\":true,\"role\":\"replica\",\"owners_unused\":3,"
     "\"owners_count\":3,\"safe\":true}"},
    {"GET /v1/drain?daemon=self", 200,
     "{\"daemon\":\"d1\",\"leaving\":true,\"groups\":2,\"transactions_open\":1,\"safe\":false}"},
    {"POST /v1/drain?daemon=self", 200, "{\"draining\":\"d1\"}"},
    {"POST /v1/undrain?database=a%20b", 404,
     "{\"error\":{\"kind\":\"bad_request\",\"text\":\"no database a b\"}}"},
    {"POST /v1/stop", 503,
     "{\"error\":{\"kind\":\"stopping\",\"text\":\"The daemon is stopping.\"}}"},
    {"GET /v1/explain?tenant=hut-lepiney&access=write", 200,
     "{\"database\":\"toubkal-1\",\"reason\":\"current_primary\"}"},
    {"GET /v1/explain?tenant=hut-lepiney&access=read", 200,
     "{\"database\":\"toubkal-2\",\"reason\":\"replica_fresh\"}"},
    {"GET /v1/explain?request=stay-8841", 200,
     "{\"daemon\":\"d1\",\"request\":\"stay-8841\",\"reaches_to\":\"2026-02-14T10:00:00Z\","
     "\"records\":[{\"time\":\"2026-02-14T10:00:01Z\",\"daemon\":\"d1\",\"tenant\":\"hut-lepiney\","
     "\"forwarded_to\":\"127.0.0.1:7400\",\"served_by\":\"d2\",\"served_by_admin_port\":1,"
     "\"outcome\":\"done\",\"reason\":\"replica_fresh\",\"needed\":{\"term\":4,\"offset\":91},"
     "\"databases\":[{\"name\":\"toubkal-2\",\"chosen\":true,\"reason\":\"replica_fresh\","
     "\"applied\":{\"term\":4,\"offset\":92}},"
     "{\"name\":\"toubkal-3\",\"chosen\":false,\"reason\":\"behind\","
     "\"applied\":{\"term\":4,\"offset\":80}}]}]}"},
    {"GET /v1/explain?request=unheard-of", 200,
     "{\"daemon\":\"d1\",\"request\":\"unheard-of\",\"reaches_to\":\"2026-02-14T10:00:00Z\","
     "\"records\":[]}"},
    {"GET /v1/log-level", 200,
     "{\"parts\":[{\"part\":\"admin\",\"level\":\"message\"},"
     "{\"part\":\"requests\",\"level\":\"info\"}]}"},
    {"GET /v1/log-level?part=requests", 200,
     "{\"parts\":[{\"part\":\"requests\",\"level\":\"info\"}]}"},
    {"POST /v1/log-level?part=requests&level=debug", 200,
     "{\"parts\":[{\"part\":\"requests\",\"level\":\"debug\"}]}"},
    {"POST /v1/log-level?part=x&level=debug", 400,
     "{\"error\":{\"kind\":\"bad_request\",\"text\":\"The log has no part x.\"}}"},
    {"GET /v1/trace?group=bookings", 200, "records"},
    {"GET /v1/trace?group=nobody", 404,
     "{\"error\":{\"kind\":\"bad_request\",\"text\":\"No group has this name.\"}}"},
    {"GET /v1/events?since=0", 200, "[{\"at\":1,\"event\":\"started\"}]"},
    {"GET /a/v1/events?since=0", 200,
     "{\"daemon\":\"d1\",\"events\":["
     "{\"sequence\":8,\"time\":\"2026-02-14T10:00:01.000002Z\",\"kind\":\"suspected\",\"term\":4},"
     "{\"sequence\":9,\"time\":\"2026-02-14T10:00:03.000000Z\",\"kind\":\"promoted\",\"term\":5}]"
     "}"},
    {"GET /b/v1/events?since=0", 200,
     "{\"daemon\":\"d2\",\"events\":["
     "{\"sequence\":3,\"time\":\"2026-02-14T10:00:02.000000Z\",\"kind\":\"confirmed\",\"term\":4}]"
     "}"},
};

/* Records the URL with its query, as sent. */
static void *on_uri(void *user_data, const char *uri, struct MHD_Connection *connection)
{
    return g_strdup(uri);
}

static void on_completed(void *user_data, struct MHD_Connection *connection, void **request_state,
                         enum MHD_RequestTerminationCode code)
{
    g_free(*request_state);
}

static enum MHD_Result on_admin_call(void *user_data, struct MHD_Connection *connection,
                                     const char *path, const char *method, const char *version,
                                     const char *upload, size_t *upload_size, void **request_state)
{
    g_autofree char *call = g_strdup_printf("%s %s", method, (const char *)*request_state);
    unsigned status = 500;
    const char *body = "unexpected call";

    for (gsize i = 0; i < G_N_ELEMENTS(admin_answers); i++) {
        if (strcmp(admin_answers[i].call, call) == 0) {
            status = admin_answers[i].status;
            body = admin_answers[i].body;
        }
    }
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(body), (void *)body, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static struct MHD_Daemon *start_admin(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct MHD_Daemon *daemon =
        MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_admin_call, NULL,
                         MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_URI_LOG_CALLBACK, on_uri, NULL,
                         MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);

    g_assert_nonnull(daemon);
    return daemon;
}

/* Replaces times, ports and temporary directories, which differ between runs. */
static char *normalize(const char *text)
{
    g_autoptr(GRegex) times = g_regex_new("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", 0, 0, NULL);
    g_autoptr(GRegex) ports = g_regex_new("http://127.0.0.1:[0-9]{5}", 0, 0, NULL);
    g_autoptr(GRegex) directories = g_regex_new("[^ ]*/ctl-golden-[^/]{6}", 0, 0, NULL);
    g_autofree char *without_times =
        g_regex_replace_literal(times, text, -1, 0, "2000-01-01T00:00:00Z", 0, NULL);

    g_autofree char *without_ports =
        g_regex_replace_literal(ports, without_times, -1, 0, "http://127.0.0.1:PORT", 0, NULL);

    return g_regex_replace_literal(directories, without_ports, -1, 0, "DIRECTORY", 0, NULL);
}

static void compare_golden(const char *name, const char *text)
{
    g_autofree char *file = g_strconcat(name, ".txt", NULL);
    g_autofree char *path = g_build_filename(GOLDEN_DIRECTORY, file, NULL);
    g_autofree char *expected = NULL;
    g_autoptr(GError) error = NULL;

    if (g_getenv("SWIFTCTL_GOLDEN_WRITE") != NULL) {
        g_file_set_contents(path, text, -1, &error);
        g_assert_no_error(error);
        return;
    }
    g_file_get_contents(path, &expected, NULL, &error);
    g_assert_no_error(error);
    g_assert_cmpstr(text, ==, expected);
}

static void run_golden(const struct golden_run *run)
{
    g_autoptr(GString) output = g_string_new(NULL);
    g_autoptr(GString) errors = g_string_new(NULL);
    g_autofree char *command = g_strjoinv(" ", (char **)run->words);

    enum exit_code exit_code = ctl_run(run->words, output, errors);
    g_autofree char *text = g_strdup_printf("$ swiftctl %s\n%s--- errors\n%s--- exit %d\n", command,
                                            output->str, errors->str, exit_code);
    g_autofree char *normalized = normalize(text);
    compare_golden(run->golden, normalized);
}

static void run_all(const struct golden_run *runs, gsize count)
{
    for (gsize i = 0; i < count; i++) {
        run_golden(&runs[i]);
    }
}

static void test_help(void)
{
    guint count = 0;
    const struct command *const *commands = command_list(&count);
    static const struct golden_run overview = {"help", {"--help"}};
    static const struct golden_run nothing = {"no-command", {NULL}};
    static const struct golden_run unknown = {"unknown-command", {"frobnicate"}};

    run_golden(&overview);
    run_golden(&nothing);
    run_golden(&unknown);
    for (guint i = 0; i < count; i++) {
        g_autofree char *golden = g_strconcat("help-", commands[i]->name, NULL);
        struct golden_run run = {golden, {commands[i]->name, "--help"}};
        run_golden(&run);
    }
}

static void test_files(void)
{
    static const struct golden_run runs[] = {
        {"validate", {"validate", ATLAS}},
        {"validate-json", {"validate", ATLAS, "--output", "json"}},
        {"validate-invalid", {"validate", INVALID}},
        {"validate-invalid-json", {"validate", INVALID, "-o", "json"}},
        {"validate-absent", {"validate", "tests/ctl/data/absent.json"}},
        {"validate-no-operand", {"validate"}},
        {"validate-bad-option", {"validate", "--colour", ATLAS}},
        {"validate-bad-output", {"validate", "--output", "yaml", ATLAS}},
        {"diff", {"diff", ATLAS, CHANGED}},
        {"diff-json", {"diff", ATLAS, CHANGED, "--output", "json"}},
        {"diff-same", {"diff", ATLAS, ATLAS}},
        {"diff-invalid", {"diff", ATLAS, INVALID}},
        {"show-tenant", {"show", "tenant", "hut-lepiney", "--from", ATLAS}},
        {"show-tenant-json", {"show", "tenant", "hut-lepiney", "--from", ATLAS, "-o", "json"}},
        {"show-tenant-absent", {"show", "tenant", "nobody", "--from", ATLAS}},
        {"show-group", {"show", "group", "availability", "--from", ATLAS}},
        {"completion-usage", {"completion", "fish"}},
        {"show-usage", {"show", "group", "--from", ATLAS}},
    };

    run_all(runs, G_N_ELEMENTS(runs));
}

static void test_store(void)
{
    static const struct golden_run runs[] = {
        {"history-empty", {"history"}},
        {"show-unpublished", {"show", "tenant", "hut-lepiney"}},
        {"publish-no-base", {"publish", ATLAS, "--message", "first"}},
        {"publish-bad-base", {"publish", ATLAS, "--message", "first", "--base", "x"}},
        {"publish-invalid", {"publish", INVALID, "--message", "first", "--base", "0"}},
        {"publish",
         {"publish", ATLAS, "--message", "first beds", "--author", "amina", "--base", "0",
          "--request-id", "r1"}},
        {"publish-conflict",
         {"publish", CHANGED, "--message", "mine", "--author", "kenji", "--base", "0"}},
        {"publish-conflict-json",
         {"publish", CHANGED, "--message", "mine", "--author", "kenji", "--base", "0", "-o",
          "json"}},
        {"publish-databases",
         {"publish", CHANGED, "--message", "winter rates", "--author", "kenji", "--base", "1"}},
        {"publish-json",
         {"publish", PUBLISHED, "--message", "winter rates", "--author", "kenji", "--base", "1",
          "--request-id", "r2", "-o", "json"}},
        {"publish-unchanged", {"publish", PUBLISHED, "--message", "again", "--base", "latest"}},
        {"publish-back",
         {"publish", "@1", "--message", "back", "--author", "amina", "--base", "latest"}},
        {"publish-future", {"publish", ATLAS, "--message", "x", "--base", "99"}},
        {"publish-again-latest",
         {"publish", ATLAS, "--message", "x", "--base", "latest", "--request-id", "r1"}},
        {"history", {"history", "--limit", "2"}},
        {"history-json", {"history", "--before", "3", "--limit", "1", "-o", "json"}},
        {"diff-versions", {"diff", "@1", "@2"}},
        {"diff-absent-version", {"diff", "@1", "@9"}},
        {"diff-bad-version", {"diff", "@x", "@1"}},
        {"show-latest", {"show", "tenant", "search-desks"}},
        {"show-version", {"show", "tenant", "search-kiosk", "--from", "@2"}},
    };
    static const struct golden_run no_store = {"store-not-given", {"history"}};
    static const struct golden_run down = {"store-down", {"history"}};
    struct platform_fixture platform;
    struct refusing_port refusing;

    g_unsetenv("SWIFTWORKS_TABLE_URL");
    run_golden(&no_store);
    platform_fixture_start_plain(&platform);
    g_setenv("SWIFTWORKS_TABLE_URL", platform.url, TRUE);
    run_all(runs, G_N_ELEMENTS(runs));
    platform_fixture_stop(&platform);
    refusing_port_open(&refusing);
    g_setenv("SWIFTWORKS_TABLE_URL", refusing.url, TRUE);
    run_golden(&down);
    refusing_port_close(&refusing);
}

/* The merged events of two daemons; a third one is down. */
static void run_timeline(const char *url, const char *down)
{
    g_autofree char *first = g_strconcat(url, "/a", NULL);
    g_autofree char *second = g_strconcat(url, "/b", NULL);
    const struct golden_run runs[] = {
        {"events-timeline", {"events", "-a", second, "-a", first, "-a", down}},
        {"events-timeline-json", {"events", "-a", first, "-a", second, "-o", "json"}},
        {"events-timeline-down", {"events", "-a", down, "-a", down}},
        {"events-timeline-usage", {"events", "-a", first, "-a", second, "--since", "3"}},
    };

    run_all(runs, G_N_ELEMENTS(runs));
}

/* Checks that the file holds the body of the reply, and removes it. */
static void expect_saved(const char *file, const char *content)
{
    g_autofree char *saved = NULL;

    g_assert_true(g_file_get_contents(file, &saved, NULL, NULL));
    g_assert_cmpstr(saved, ==, content);
    g_assert_cmpint(g_remove(file), ==, 0);
}

static void test_admin(void)
{
    g_autofree char *directory = g_dir_make_tmp("ctl-golden-XXXXXX", NULL);
    g_autofree char *file = g_build_filename(directory, "bookings.trace", NULL);
    g_autofree char *absent = g_build_filename(directory, "absent", "bookings.trace", NULL);
    const struct golden_run runs[] = {
        {"status", {"status"}},
        {"status-json", {"status", "--output", "json"}},
        {"drain-database", {"drain", "database", "toubkal-1"}},
        {"drain-daemon", {"drain", "daemon"}},
        {"drain-wait", {"drain", "database", "toubkal-1", "--wait"}},
        {"drain-wait-not-yet", {"drain", "daemon", "--wait", "--timeout-ms", "300"}},
        {"drain-usage", {"drain", "toubkal-1"}},
        {"undrain-refused", {"undrain", "database", "a b"}},
        {"stop-refused", {"stop", "-o", "json"}},
        {"explain", {"explain", "hut-lepiney", "--access", "write"}},
        {"explain-read", {"explain", "read", "hut-lepiney"}},
        {"explain-request", {"explain", "stay-8841"}},
        {"explain-request-json", {"explain", "stay-8841", "-o", "json"}},
        {"explain-request-absent", {"explain", "unheard-of"}},
        {"explain-two-tenants-usage", {"explain", "toubkal", "hut-lepiney"}},
        {"status-two-daemons-usage", {"status", "-a", "http://a:1", "-a", "http://b:1"}},
        {"explain-usage", {"explain", "hut-lepiney", "--access", "delete"}},
        {"log-level", {"log-level"}},
        {"log-level-part", {"log-level", "requests"}},
        {"log-level-set", {"log-level", "requests", "debug", "-o", "json"}},
        {"log-level-refused", {"log-level", "x", "debug"}},
        {"log-level-usage", {"log-level", "requests", "debug", "now"}},
        {"events", {"events"}},
        {"events-usage", {"events", "--since", "-1"}},
        {"trace", {"trace", "bookings", file}},
        {"trace-refused", {"trace", "nobody", file}},
        {"trace-no-directory", {"trace", "bookings", absent}},
        {"trace-usage", {"trace", "bookings"}},
    };
    static const struct golden_run down = {"daemon-down", {"status"}};
    struct MHD_Daemon *daemon = start_admin();
    struct refusing_port refusing;
    g_autofree char *url = g_strdup_printf(
        "http://127.0.0.1:%u", MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);

    g_setenv("SWIFTWORKS_ADMIN_URL", url, TRUE);
    run_all(runs, G_N_ELEMENTS(runs));
    expect_saved(file, "records");
    g_assert_cmpint(g_rmdir(directory), ==, 0);
    refusing_port_open(&refusing);
    run_timeline(url, refusing.url);
    MHD_stop_daemon(daemon);
    g_setenv("SWIFTWORKS_ADMIN_URL", refusing.url, TRUE);
    run_golden(&down);
    refusing_port_close(&refusing);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/ctl/help", test_help);
    g_test_add_func("/ctl/files", test_files);
    g_test_add_func("/ctl/store", test_store);
    g_test_add_func("/ctl/admin", test_admin);
    return g_test_run();
}
