/* Metrics of owned groups: values for databases that lag or are unreachable, series only at owners,
 * and every metric named in docs/metrics.md. */
#include "cluster_fixture.h"

#include <string.h>

#include "daemon/daemon_metrics.h"

#define DATABASE(number) "{group=\"bookings\",database=\"refuge-" #number "\""

static const char *const one_owner[] = {"ownership.owners_per_group=1", NULL};

static char *scrape(const struct cluster *cluster, unsigned daemon)
{
    GString *out = g_string_new(NULL);
    metrics_render(daemon_metrics_registry(cluster->daemons[daemon]->metrics), out);
    return g_string_free(out, FALSE);
}

/* The value of a series, or -1 if there is none. */
static double value_of(const struct cluster *cluster, unsigned daemon, const char *series)
{
    g_autofree char *text = scrape(cluster, daemon);
    g_autofree char *start = g_strdup_printf("\n%s ", series);
    const char *line = strstr(text, start);
    return line != NULL ? g_ascii_strtod(line + strlen(start), NULL) : -1;
}

static void expect(const struct cluster *cluster, const char *series, double value)
{
    double found = value_of(cluster, 0, series);
    if (found < value || found > value) {
        g_error("%s is %g, not %g", series, found, value);
    }
}

static void test_databases(void)
{
    struct cluster_options options = {.daemons = 1};
    struct cluster *cluster = cluster_start(&options);
    expect(cluster, "swiftworks_group_term{group=\"bookings\"}", 1);
    expect(cluster, "swiftworks_group_primary_known{group=\"bookings\"}", 1);
    expect(cluster, "swiftworks_group_writes_paused{group=\"bookings\"}", 0);
    expect(cluster, "swiftworks_database_role" DATABASE(1) ",role=\"primary\"}", 1);
    expect(cluster, "swiftworks_database_role" DATABASE(2) ",role=\"replica\"}", 1);
    expect(cluster, "swiftworks_database_reachable" DATABASE(2) "}", 1);
    expect(cluster, "swiftworks_database_connections_accepted" DATABASE(2) "}", 35);
    expect(cluster, "swiftworks_slots" DATABASE(2) "}", 5);
    expect(cluster, "swiftworks_queue_length" DATABASE(2) "}", 0);
    g_assert_cmpfloat(value_of(cluster, 0, "swiftworks_pool_connections_limit" DATABASE(1) "}"), >,
                      0);
    g_assert_cmpfloat(
        value_of(cluster, 0, "swiftworks_pool_connections" DATABASE(1) ",state=\"in_use\"}"), ==,
        0);
    cluster_partition(cluster, 2);
    AWAIT(value_of(cluster, 0, "swiftworks_database_reachable" DATABASE(3) "}") == 0);
    cluster_clear_faults(cluster);
    cluster_await_ready(cluster);
    cluster_stop(cluster);
}

/* A replica's lag in entries and in time; the primary's is 0. */
static void test_lag(void)
{
    struct cluster_options options = {.daemons = 1};
    struct cluster *cluster = cluster_start(&options);
    cluster_await_replicated(cluster);
    AWAIT(value_of(cluster, 0, "swiftworks_database_lag_entries" DATABASE(2) "}") == 0);
    cluster_set_lag(cluster, 1, 60000);
    g_free(cluster_write(cluster, 0, "stay", "INSERT INTO stays VALUES ('a', '')"));
    AWAIT(value_of(cluster, 0, "swiftworks_database_lag_entries" DATABASE(2) "}") > 0);
    AWAIT(value_of(cluster, 0, "swiftworks_database_lag_seconds" DATABASE(2) "}") > 0);
    expect(cluster, "swiftworks_database_lag_entries" DATABASE(1) "}", 0);
    expect(cluster, "swiftworks_database_lag_seconds" DATABASE(1) "}", 0);
    cluster_stop(cluster);
}

/* A daemon without groups has the families but no series. */
static void test_owners_only(void)
{
    struct cluster_options options = {.daemons = 2, .overrides = one_owner};
    struct cluster *cluster = cluster_start(&options);
    for (unsigned i = 0; i < 2; i++) {
        g_autofree char *text = scrape(cluster, i);
        g_assert_nonnull(strstr(text, "# TYPE swiftworks_database_lag_seconds gauge\n"));
        g_assert_cmpint(strstr(text, "group=\"bookings\"") != NULL, ==,
                        cluster_is_owner(cluster, i));
    }
    cluster_stop(cluster);
}

/* docs/metrics.md must name each family of a daemon in backquotes. */
static void test_page(void)
{
    struct cluster_options options = {.daemons = 1};
    struct cluster *cluster = cluster_start(&options);
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "..", "docs", "metrics.md", NULL);
    g_autofree char *page = NULL;
    g_autofree char *text = scrape(cluster, 0);
    g_assert_true(g_file_get_contents(path, &page, NULL, NULL));
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (guint i = 0; lines[i] != NULL; i++) {
        g_auto(GStrv) words = g_strsplit(lines[i], " ", -1);
        if (g_str_has_prefix(lines[i], "# TYPE ")) {
            g_autofree char *plain = g_strdup_printf("`%s`", words[2]);
            g_autofree char *labelled = g_strdup_printf("`%s{", words[2]);
            if (strstr(page, plain) == NULL && strstr(page, labelled) == NULL) {
                g_error("docs/metrics.md does not name %s", words[2]);
            }
        }
    }
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/group_metrics/databases", test_databases);
    g_test_add_func("/daemon/group_metrics/lag", test_lag);
    g_test_add_func("/daemon/group_metrics/owners_only", test_owners_only);
    g_test_add_func("/daemon/group_metrics/page", test_page);
    return g_test_run();
}
