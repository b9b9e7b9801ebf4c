/* Each daemon's count of the datagrams between daemons. */
#include "cluster_fixture.h"

#include <string.h>

#include "daemon/daemon_metrics.h"
#include "frontend/metrics.h"
#include "wire/datagram.h"

/* One reading of a daemon's counters in one direction. */
struct traffic {
    uint64_t datagrams;
    uint64_t bytes;
};

/* The value of a metric in the scraped text. */
static uint64_t scrape(const GString *text, const char *name, const char *direction)
{
    g_autofree char *start = g_strdup_printf("\n%s{direction=\"%s\"} ", name, direction);
    const char *line = strstr(text->str, start);
    g_assert_nonnull(line);
    return g_ascii_strtoull(line + strlen(start), NULL, 10);
}

static struct traffic read_traffic(const struct cluster *cluster, unsigned daemon,
                                   const char *direction)
{
    g_autoptr(GString) text = g_string_new("\n");
    metrics_render(daemon_metrics_registry(cluster->daemons[daemon]->metrics), text);
    struct traffic traffic = {
        .datagrams = scrape(text, "swiftworks_control_datagrams_total", direction),
        .bytes = scrape(text, "swiftworks_control_octets_total", direction),
    };
    return traffic;
}

/* With two daemons each receives only what the other has sent. Bytes are counted after datagrams,
 * so that a single reading may not include those of the newest. */
static void check_pair(const struct cluster *cluster, unsigned receiver, unsigned sender)
{
    AWAIT(read_traffic(cluster, receiver, "received").bytes > 0);
    struct traffic received = read_traffic(cluster, receiver, "received");
    g_assert_cmpuint(received.datagrams, >, 0);
    g_assert_cmpuint(received.bytes, <=, received.datagrams * WIRE_DATAGRAM_MAX);
    AWAIT(read_traffic(cluster, sender, "sent").datagrams >= received.datagrams);
    AWAIT(read_traffic(cluster, sender, "sent").bytes >= received.bytes);
}

static void test_datagrams_are_counted(void)
{
    struct cluster_options options = {.daemons = 2};
    struct cluster *cluster = cluster_start(&options);
    check_pair(cluster, 0, 1);
    check_pair(cluster, 1, 0);
    cluster_stop(cluster);
}

/* A daemon that knows no other sends nothing. */
static void test_lone_daemon_sends_nothing(void)
{
    struct cluster_options options = {.daemons = 1};
    struct cluster *cluster = cluster_start(&options);
    g_assert_cmpuint(read_traffic(cluster, 0, "sent").datagrams, ==, 0);
    g_assert_cmpuint(read_traffic(cluster, 0, "received").datagrams, ==, 0);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/traffic/datagrams_are_counted", test_datagrams_are_counted);
    g_test_add_func("/daemon/traffic/lone_daemon_sends_nothing", test_lone_daemon_sends_nothing);
    return g_test_run();
}
