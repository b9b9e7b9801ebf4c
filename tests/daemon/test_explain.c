/* Records of a request for `swiftctl explain`, at the daemon that received it and at the one that
 * ran it: reasons, positions and terms, found by the id in the answer. */
#include "cluster_fixture.h"

#include <string.h>

#include "core/route.h"
#include "ctl/ctl.h"
#include "daemon/decision_log.h"
#include "frontend/admin.h"
#include "generated/errors.h"

/* Starts daemons with one owner of the group; their admin listeners use the same address as their
 * peer listeners. */
static struct cluster *start(unsigned daemons)
{
    g_autofree char *listen = g_strdup_printf("daemon.admin_listen=%s:0", http_loopback());
    const char *const overrides[] = {"ownership.owners_per_group=1",
                                     "routing.unavailable_wait_ms=300", listen, NULL};
    struct cluster_options options = {.daemons = daemons, .overrides = overrides};
    return cluster_start(&options);
}

static unsigned owner_of(const struct cluster *cluster)
{
    return cluster_is_owner(cluster, 0) ? 0 : 1;
}

/* Sends a request to a daemon and returns the id in its answer; the caller frees it. */
static char *send_request(struct cluster *cluster, unsigned daemon, struct http_call call,
                          const char *outcome)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer, call);
    g_assert_cmpstr(answer.outcome, ==, outcome);
    char *id = g_strdup(answer.request_id);
    http_answer_clear(&answer);
    return id;
}

/* The only record of a request at a daemon. */
static struct decision_record record_of(const struct cluster *cluster, unsigned daemon,
                                        const char *id)
{
    g_autoptr(GArray) records = decision_log_find(cluster->daemons[daemon]->decisions, id);
    g_assert_cmpuint(records->len, ==, 1);
    return g_array_index(records, struct decision_record, 0);
}

static void expect_none(const struct cluster *cluster, unsigned daemon, const char *id)
{
    g_autoptr(GArray) records = decision_log_find(cluster->daemons[daemon]->decisions, id);
    g_assert_cmpuint(records->len, ==, 0);
}

static char *admin_url(const struct cluster *cluster, unsigned daemon)
{
    return g_strdup_printf("http://%s:%u", http_loopback(),
                           admin_port(cluster->daemons[daemon]->admin));
}

/* Runs `swiftctl explain ID` at one daemon. The caller frees the output. */
static char *explain(const struct cluster *cluster, unsigned daemon, const char *id,
                     enum exit_code expected)
{
    g_autofree char *url = admin_url(cluster, daemon);
    const char *words[] = {"explain", id, "--admin", url, NULL};
    g_autoptr(GString) output = g_string_new(NULL);
    g_autoptr(GString) errors = g_string_new(NULL);
    g_assert_cmpint(ctl_run(words, output, errors), ==, expected);
    g_string_append(output, errors->str);
    return g_string_free(g_steal_pointer(&output), FALSE);
}

static void expect_part(const char *text, const char *part)
{
    if (strstr(text, part) == NULL) {
        g_error("\"%s\" is not in: %s", part, text);
    }
}

static void test_write_then_read(void)
{
    struct cluster *cluster = start(1);
    int primary = cluster_primary(cluster);
    g_autofree char *session =
        cluster_write(cluster, 0, "stay", "INSERT INTO stays VALUES ('a', '')");
    cluster_await_replicated(cluster);
    g_autofree char *id = send_request(cluster, 0,
                                       (struct http_call){.sql = "SELECT * FROM stays",
                                                          .session = session,
                                                          .request_id = "stay-8841"},
                                       "done");
    g_assert_cmpstr(id, ==, "stay-8841");
    struct decision_record record = record_of(cluster, 0, id);
    g_assert_cmpstr(record.tenant, ==, "refuge");
    g_assert_cmpstr(record.served_by, ==, "daemon-1");
    g_assert_cmpuint(record.group, ==, CLUSTER_GROUP);
    g_assert_true(record.read_only);
    g_assert_cmpint(record.primary, ==, primary);
    g_assert_cmpuint(record.view_term, ==, 1);
    g_assert_cmpuint(record.database_count, ==, 3);
    g_assert_cmpint(record.database, >=, 0);
    g_assert_cmpuint(record.session.offset, >, 0);
    g_assert_true(log_position_covers(record.needed, record.session));
    g_assert_true(log_position_covers(record.shown, record.needed));
    for (int i = 0; i < 3; i++) {
        const struct decision_database *database = &record.databases[i];
        bool considered = i != primary && i != record.database;
        g_assert_cmpint(database->reason, ==,
                        considered ? ROUTE_REASON_FARTHER : ROUTE_REASON_NONE);
        g_assert_cmpuint(database->term, ==, 1);
    }
    cluster_stop(cluster);
}

/* A lagging replica is recorded as rejected for being behind, with its applied position. */
static void test_lagging_replica(void)
{
    struct cluster *cluster = start(1);
    int primary = cluster_primary(cluster);
    for (unsigned i = 0; i < 3; i++) {
        cluster_set_lag(cluster, i, 60000);
    }
    g_autofree char *session =
        cluster_write(cluster, 0, "stay", "INSERT INTO stays VALUES ('a', '')");
    g_autofree char *id = send_request(
        cluster, 0, (struct http_call){.sql = "SELECT * FROM stays", .session = session}, "done");
    struct decision_record record = record_of(cluster, 0, id);
    g_assert_cmpint(record.database, ==, primary);
    g_assert_cmpint(record.reason, ==, ROUTE_REASON_PRIMARY_READ);
    for (int i = 0; i < 3; i++) {
        if (i != primary) {
            g_assert_cmpint(record.databases[i].reason, ==, ROUTE_REASON_BEHIND);
            g_assert_false(log_position_covers(record.databases[i].applied, record.needed));
        }
    }
    g_autofree char *text = explain(cluster, 0, id, EXIT_CODE_DONE);
    expect_part(text, "bookings");
    expect_part(text, "primary_read");
    expect_part(text, "behind");
    cluster_stop(cluster);
}

/* Both daemons keep the record of a forwarded request under one id. swiftctl is given the first
 * daemon and also queries the second. */
static void test_forwarded(void)
{
    struct cluster *cluster = start(2);
    unsigned owner = owner_of(cluster);
    unsigned other = 1 - owner;
    g_autofree char *id =
        send_request(cluster, other, (struct http_call){.sql = "SELECT 1"}, "done");
    struct decision_record ran = record_of(cluster, owner, id);
    struct decision_record sent = record_of(cluster, other, id);
    g_assert_cmpuint(ran.hops, ==, 1);
    g_assert_cmpstr(ran.forwarded_to, ==, "");
    g_assert_cmpuint(sent.hops, ==, 0);
    g_assert_cmpstr(sent.forwarded_to, !=, "");
    g_assert_cmpstr(sent.served_by, ==, ran.served_by);
    g_assert_cmpuint(sent.served_by_admin_port, ==, admin_port(cluster->daemons[owner]->admin));
    g_assert_cmpint(sent.database, ==, ran.database);
    g_assert_cmpint(sent.reason, ==, ran.reason);
    for (int i = 0; i < 3; i++) {
        g_assert_cmpint(sent.databases[i].reason, ==, ran.databases[i].reason);
    }
    g_autofree char *text = explain(cluster, other, id, EXIT_CODE_DONE);
    g_autofree char *at_owner = g_strdup_printf("At daemon-%u:", owner + 1);
    g_autofree char *at_other = g_strdup_printf("At daemon-%u:", other + 1);
    expect_part(text, at_owner);
    expect_part(text, at_other);
    cluster_stop(cluster);
}

static void test_refused(void)
{
    struct cluster *cluster = start(1);
    for (unsigned i = 0; i < 3; i++) {
        cluster_partition(cluster, i);
    }
    for (unsigned i = 0; i < 3; i++) {
        AWAIT(!cluster_view(cluster, 0).databases[i].reachable);
    }
    g_autofree char *id = send_request(
        cluster, 0, (struct http_call){.sql = "INSERT INTO stays VALUES ('a', '')"}, "refused");
    struct decision_record record = record_of(cluster, 0, id);
    g_assert_cmpint(record.outcome, ==, OUTCOME_REFUSED);
    g_assert_cmpint(record.error, ==, ERROR_KIND_NO_PRIMARY);
    g_assert_cmpint(record.database, ==, -1);
    g_assert_cmpuint(record.database_count, ==, 3);
    g_assert_false(record.databases[0].reachable);
    cluster_clear_faults(cluster);
    cluster_await_ready(cluster);
    cluster_stop(cluster);
}

/* A request that was refused because of its headers has an id but no record; an unknown id has none
 * either. */
static void test_ids(void)
{
    struct cluster *cluster = start(1);
    g_autofree char *made = send_request(cluster, 0, (struct http_call){.sql = "SELECT 1"}, "done");
    g_assert_cmpuint(strlen(made), ==, 16);
    record_of(cluster, 0, made);
    g_autofree char *replaced = send_request(
        cluster, 0, (struct http_call){.sql = "SELECT 1", .request_id = "not an id"}, "refused");
    g_assert_cmpuint(strlen(replaced), ==, 16);
    expect_none(cluster, 0, replaced);
    g_autofree char *text = explain(cluster, 0, "unheard-of", EXIT_CODE_NOT_FOUND);
    expect_part(text, "no record of request unheard-of at daemon-1, which keeps all since ");
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/explain/write_then_read", test_write_then_read);
    g_test_add_func("/daemon/explain/lagging_replica", test_lagging_replica);
    g_test_add_func("/daemon/explain/forwarded", test_forwarded);
    g_test_add_func("/daemon/explain/refused", test_refused);
    g_test_add_func("/daemon/explain/ids", test_ids);
    return g_test_run();
}
