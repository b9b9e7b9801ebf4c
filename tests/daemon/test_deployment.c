/* Two deployments that exchange messages because one has an address of the other. */
#include "cluster_fixture.h"

#include <string.h>

#include "core/deployment.h"
#include "daemon/control.h"
#include "generated/errors.h"
#include "wire/connection.h"
#include "wire/peer_pool.h"
#include "wire/peer_server.h"

#define CALL_TIMEOUT_MS 20000

static struct cluster *start(const char *const *overrides)
{
    struct cluster_options options = {.daemons = 1, .overrides = overrides};
    return cluster_start(&options);
}

static const char *peer_address(const struct cluster *cluster)
{
    return peer_server_address(cluster->daemons[0]->peer_server);
}

static guint count_members(const struct cluster *cluster)
{
    g_autoptr(GArray) members = control_list_members(cluster->daemons[0]->control);
    return members->len;
}

static uint64_t foreign_messages(const struct cluster *cluster)
{
    return atomic_load(&cluster->daemons[0]->foreign_messages);
}

/* The second deployment has the first's address among its seeds. */
static void test_gossip(void)
{
    static const char *const huts_settings[] = {"daemon.deployment=huts", NULL};
    struct cluster *huts = start(huts_settings);
    g_autofree char *peers = g_strdup_printf("daemon.peers=%s", peer_address(huts));
    const char *const meters_settings[] = {"daemon.deployment=meters", "daemon.name=meters-1",
                                           peers, NULL};
    struct cluster *meters = start(meters_settings);
    AWAIT(foreign_messages(huts) > 0);
    g_assert_cmpuint(count_members(huts), ==, 1);
    g_assert_cmpuint(count_members(meters), ==, 1);
    g_assert_true(cluster_is_owner(huts, 0) && cluster_is_owner(meters, 0));
    g_free(cluster_write(meters, 0, "key", "INSERT INTO stays VALUES ('a', '')"));
    g_assert_cmpint(cluster_count(huts, 0, "stays"), ==, 0);
    cluster_stop(meters);
    cluster_stop(huts);
}

/* Sends a write as a daemon of the given deployment would forward it. */
static void forward_write(const struct cluster *to, const char *deployment, struct message *reply)
{
    struct peer_pool *pool = peer_pool_new(1);
    struct sql_statement statement = {.sql = "INSERT INTO stays VALUES ('a', '')",
                                      .access = ACCESS_MODE_WRITE};
    struct message request = {.kind = MESSAGE_KIND_REQUEST};
    request.request = (struct request){
        .request_id = "forwarded",
        .tenant = "refuge",
        .kind = REQUEST_KIND_STATEMENT,
        .statements = &statement,
        .statements_count = 1,
        .budget_ms = CALL_TIMEOUT_MS,
        .group = CLUSTER_GROUP,
        .hops = 1,
    };
    time_ns deadline = wire_clock_now() + CALL_TIMEOUT_MS * NANOSECONDS_PER_MILLISECOND;
    peer_pool_set_deployment(pool, deployment_hash(deployment));
    enum peer_call_result result =
        peer_call(pool, peer_address(to), &request, reply, deadline, NULL);
    g_assert_cmpint(result, ==, PEER_CALL_ANSWERED);
    g_assert_cmpint(reply->kind, ==, MESSAGE_KIND_REPLY);
    peer_pool_free(pool);
}

/* A write from another deployment is not run, and the reply reports that. One from the own
 * deployment is run. */
static void test_forwarded_write(void)
{
    static const char *const settings[] = {"daemon.deployment=huts", NULL};
    struct cluster *huts = start(settings);
    struct message reply;
    forward_write(huts, "meters", &reply);
    g_assert_cmpint(reply.reply.outcome, ==, OUTCOME_REFUSED);
    g_assert_cmpuint(reply.reply.error_kind, ==, ERROR_KIND_PEER_UNREACHABLE);
    message_clear(&reply);
    g_assert_cmpuint(foreign_messages(huts), ==, 1);
    g_assert_cmpint(cluster_count(huts, 0, "stays"), ==, 0);
    forward_write(huts, "huts", &reply);
    g_assert_cmpint(reply.reply.outcome, ==, OUTCOME_DONE);
    message_clear(&reply);
    g_assert_cmpint(cluster_count(huts, 0, "stays"), ==, 1);
    cluster_stop(huts);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    /* The warning about messages from another deployment is expected. */
    g_log_set_always_fatal(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL);
    g_test_add_func("/daemon/deployment/gossip", test_gossip);
    g_test_add_func("/daemon/deployment/forwarded_write", test_forwarded_write);
    return g_test_run();
}
