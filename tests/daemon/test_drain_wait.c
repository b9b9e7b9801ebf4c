/* `swiftctl drain --wait` ends when all owners report that a database or daemon is safe to remove,
 * and not before. */
#include "cluster_fixture.h"

#include <string.h>

#include "ctl/ctl.h"
#include "daemon/group_uses.h"
#include "frontend/admin.h"

#define MS NANOSECONDS_PER_MILLISECOND

struct run {
    enum exit_code exit_code;
    char *output; /* standard output and errors */
    char *shown;  /* progress shown on the terminal */
};

static void run_clear(struct run *run)
{
    g_free(run->output);
    free(run->shown);
}

/* Runs swiftctl against a daemon, with a NULL-terminated list of words before --admin. */
static struct run swiftctl(const struct cluster *cluster, unsigned daemon, const char *timeout_ms,
                           const char *what, const char *name)
{
    g_autofree char *url =
        g_strdup_printf("http://127.0.0.1:%u", admin_port(cluster->daemons[daemon]->admin));
    const char *words[] = {"drain", "--wait", "--timeout-ms", timeout_ms, "--admin",
                           url,     what,     name,           NULL};
    g_autoptr(GString) output = g_string_new(NULL);
    g_autoptr(GString) errors = g_string_new(NULL);
    struct run run = {0};
    size_t size = 0;
    FILE *terminal = open_memstream(&run.shown, &size);
    run.exit_code = ctl_run_shown(words, output, errors, terminal);
    fclose(terminal);
    run.output = g_strconcat(output->str, errors->str, NULL);
    return run;
}

static void expect(struct run run, enum exit_code exit_code, const char *part)
{
    if (run.exit_code != exit_code || strstr(run.output, part) == NULL) {
        g_error("exit %d, expected %d with \"%s\": %s", run.exit_code, exit_code, part, run.output);
    }
    run_clear(&run);
}

/* Begins a read-only transaction at a daemon. Returns the name of the database that serves it, and
 * its id. */
static char *begin_read(struct cluster *cluster, unsigned daemon, char **id)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer,
                 (struct http_call){.path = "transactions",
                                    .body = "{\"begin\": true, \"access\": \"read\"}"});
    http_assert_done(&answer);
    *id = g_steal_pointer(&answer.transaction);
    const char *name = strstr(answer.served_by, "database=") + strlen("database=");
    char *database = g_strndup(name, strcspn(name, ";"));
    http_answer_clear(&answer);
    return database;
}

/* An open transaction at one owner delays the drain that was requested at another. */
static void test_database(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct http_answer answer;
    g_autofree char *id = NULL;
    g_autofree char *database = begin_read(cluster, 1, &id);
    struct run run = swiftctl(cluster, 0, "4000", "database", database);
    g_assert_nonnull(strstr(run.shown, "\r\033[K"));
    g_assert_nonnull(strstr(run.shown, "owners"));
    expect(run, EXIT_CODE_NOT_YET, "swiftctl: not_yet: refuge-");
    cluster_call(cluster, 1, &answer, (struct http_call){.transaction = id, .path = "rollback"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    expect(swiftctl(cluster, 0, "60000", "database", database), EXIT_CODE_DONE, "safe");
    cluster_stop(cluster);
}

/* The primary is safe to remove only after another database became primary. */
static void test_primary(void)
{
    struct cluster *cluster = cluster_start(NULL);
    g_autofree char *name = g_strdup_printf("refuge-%d", cluster_primary(cluster) + 1);
    expect(swiftctl(cluster, 2, "60000", "database", name), EXIT_CODE_DONE, "replica");
    g_autofree char *now = g_strdup_printf("refuge-%d", cluster_primary(cluster) + 1);
    g_assert_cmpstr(now, !=, name);
    cluster_stop(cluster);
}

static void test_daemon(void)
{
    struct cluster *cluster = cluster_start(NULL);
    expect(swiftctl(cluster, 1, "60000", "daemon", NULL), EXIT_CODE_DONE, "daemon-2");
    g_assert_false(cluster_is_owner(cluster, 1));
    cluster_stop(cluster);
}

/* The wait is refused at once if the database does not exist. */
static void test_refused(void)
{
    struct cluster_options options = {.daemons = 1};
    struct cluster *cluster = cluster_start(&options);
    expect(swiftctl(cluster, 0, "60000", "database", "nowhere"), EXIT_CODE_USAGE,
           "No database has this name.");
    cluster_stop(cluster);
}

/* A group in which database 0 is primary and database 1 is a leaving replica. */
static struct group_view make_view(void)
{
    struct group_view view = {.primary = 0, .database_count = 2};
    view.databases[0].status.role = DATABASE_ROLE_PRIMARY;
    view.databases[0].status.leaving = true;
    view.databases[1].status.role = DATABASE_ROLE_REPLICA;
    view.databases[1].status.leaving = true;
    return view;
}

/* The primary counts as used. A leaving replica counts as unused only after it was not busy for a
 * while. */
static void test_own_uses(void)
{
    struct group_uses uses;
    struct group_view view = make_view();
    group_uses_init(&uses);
    g_assert_cmpuint(group_uses_own(&uses, &view, 2, 1000 * MS), ==, 3);
    g_assert_cmpuint(group_uses_own(&uses, &view, 0, 1100 * MS), ==, 3);
    g_assert_cmpuint(group_uses_own(&uses, &view, 0, 1599 * MS), ==, 3);
    g_assert_cmpuint(group_uses_own(&uses, &view, 0, 1600 * MS), ==, 1);
    g_assert_cmpuint(group_uses_own(&uses, &view, 2, 1700 * MS), ==, 3);
    g_assert_cmpuint(group_uses_own(&uses, &view, 0, 1800 * MS), ==, 3);
    view.databases[1].status.leaving = false;
    g_assert_cmpuint(group_uses_own(&uses, &view, 0, 9000 * MS), ==, 3);
    group_uses_clear(&uses);
}

/* An owner without a recent report may use all databases. */
static void test_reported_uses(void)
{
    struct group_uses uses;
    bool known = true;
    group_uses_init(&uses);
    g_assert_false(group_uses_is_unused(&uses, 7, 1, 1000 * MS, &known));
    g_assert_false(known);
    group_uses_record(&uses, 7, 1, 1000 * MS);
    g_assert_true(group_uses_is_unused(&uses, 7, 1, 1000 * MS, &known));
    g_assert_true(known);
    g_assert_false(group_uses_is_unused(&uses, 7, 0, 1000 * MS, &known));
    g_assert_false(group_uses_is_unused(&uses, 8, 1, 1000 * MS, &known));
    g_assert_false(group_uses_is_unused(&uses, 7, 1, (1001 + GROUP_USES_VALID_MS) * MS, &known));
    g_assert_false(known);
    for (uint64_t watcher = 100; watcher < 100 + GROUP_USES_OWNERS_MAX; watcher++) {
        group_uses_record(&uses, watcher, 0, 2000 * MS);
    }
    g_assert_false(group_uses_is_unused(&uses, 7, 1, 2000 * MS, &known));
    group_uses_clear(&uses);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/drain_wait/own_uses", test_own_uses);
    g_test_add_func("/daemon/drain_wait/reported_uses", test_reported_uses);
    g_test_add_func("/daemon/drain_wait/database", test_database);
    g_test_add_func("/daemon/drain_wait/primary", test_primary);
    g_test_add_func("/daemon/drain_wait/daemon", test_daemon);
    g_test_add_func("/daemon/drain_wait/refused", test_refused);
    return g_test_run();
}
