/* Requests at daemons that don't own the group: the owner serves them. If the connection to the
 * owner breaks, the reported outcome claims no more than is known. */
#include "cluster_fixture.h"

#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "daemon/control.h"
#include "wire/listener.h"
#include "wire/peer_server.h"

static const char *const one_owner[] = {"ownership.owners_per_group=1",
                                        "routing.unavailable_wait_ms=300", NULL};

static unsigned owner_of(struct cluster *cluster)
{
    for (unsigned i = 0; i < cluster->options.daemons; i++) {
        if (cluster_is_owner(cluster, i)) {
            return i;
        }
    }
    g_error("No daemon owns the group.");
}

static struct cluster *start(unsigned daemons)
{
    struct cluster_options options = {.daemons = daemons, .overrides = one_owner};
    return cluster_start(&options);
}

static void call(struct cluster *cluster, unsigned daemon, struct http_answer *answer,
                 struct http_call request)
{
    cluster_call(cluster, daemon, answer, request);
}

static void expect_served_by_owner(struct cluster *cluster, const struct http_answer *answer)
{
    http_assert_done(answer);
    g_autofree char *part = g_strdup_printf("daemon=daemon-%u;", owner_of(cluster) + 1);
    g_assert_nonnull(strstr(answer->served_by, part));
}

static void test_owner_serves(void)
{
    struct cluster *cluster = start(3);
    struct http_answer answer;
    for (unsigned i = 0; i < 3; i++) {
        g_autofree char *sql = g_strdup_printf("INSERT INTO stays VALUES ('%u', '')", i);
        g_autofree char *key = g_strdup_printf("key-%u", i);
        call(cluster, i, &answer, (struct http_call){.sql = sql, .key = key});
        expect_served_by_owner(cluster, &answer);
        g_autofree char *session = g_steal_pointer(&answer.session);
        http_answer_clear(&answer);
        call(cluster, (i + 1) % 3, &answer,
             (struct http_call){.sql = "SELECT * FROM stays", .session = session});
        expect_served_by_owner(cluster, &answer);
        g_assert_cmpuint(http_rows(&answer), ==, i + 1);
        http_answer_clear(&answer);
        call(cluster, i, &answer,
             (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
        expect_served_by_owner(cluster, &answer);
        g_autofree char *id = g_steal_pointer(&answer.transaction);
        http_answer_clear(&answer);
        call(cluster, (i + 2) % 3, &answer,
             (struct http_call){.transaction = id, .path = "rollback"});
        http_assert_done(&answer);
        http_answer_clear(&answer);
    }
    cluster_stop(cluster);
}

/* A connection that the other daemon has closed is closed here too. */
static void test_closed_connections_end(void)
{
    struct cluster *cluster = start(2);
    unsigned owner = owner_of(cluster);
    struct peer_pool *peers = cluster->daemons[1 - owner]->peers;
    g_autofree char *address = g_strdup(peer_server_address(cluster->daemons[owner]->peer_server));
    struct http_answer answer;
    call(cluster, 1 - owner, &answer, (struct http_call){.sql = "SELECT * FROM stays"});
    expect_served_by_owner(cluster, &answer);
    http_answer_clear(&answer);
    g_assert_cmpuint(peer_pool_idle_count(peers, address), ==, 1);
    cluster_stop_daemon(cluster, owner);
    AWAIT(peer_pool_idle_count(peers, address) == 0);
    cluster_stop(cluster);
}

/* Other daemons learn of an owner that starts before it is ready. It replies that it ran nothing,
 * so that a write sent to it is done once it is ready, and its outcome is never unknown. */
static void test_owner_not_ready(void)
{
    struct cluster *cluster = start(2);
    unsigned owner = owner_of(cluster);
    struct http_call write = {.sql = "INSERT INTO stays VALUES ('a', '')"};
    struct http_answer answer;
    atomic_store(&cluster->daemons[owner]->ready, false);
    call(cluster, 1 - owner, &answer, write);
    http_assert_error(&answer, "refused", "peer_unreachable");
    g_assert_nonnull(answer.retry_after);
    http_answer_clear(&answer);
    atomic_store(&cluster->daemons[owner]->ready, true);
    call(cluster, 1 - owner, &answer, write);
    http_assert_done(&answer);
    http_answer_clear(&answer);
    cluster_stop(cluster);
}

/* Each zone has an owner and a daemon that owns nothing, whose requests are served within the zone.
 */
static void test_nearest_owner_serves(void)
{
    static const char *const three_owners[] = {"ownership.owners_per_group=3", NULL};
    struct cluster_options options = {.daemons = 6, .overrides = three_owners};
    struct cluster *cluster = cluster_start(&options);
    for (unsigned i = 0; i < options.daemons; i++) {
        unsigned in_zone = (i + 3) % 6;
        AWAIT(cluster_is_owner(cluster, i) != cluster_is_owner(cluster, in_zone));
        struct http_answer answer;
        call(cluster, i, &answer, (struct http_call){.sql = "SELECT * FROM stays"});
        http_assert_done(&answer);
        unsigned owner = cluster_is_owner(cluster, i) ? i : in_zone;
        g_autofree char *part = g_strdup_printf("daemon=daemon-%u;", owner + 1);
        g_assert_nonnull(strstr(answer.served_by, part));
        http_answer_clear(&answer);
    }
    cluster_stop(cluster);
}

/* Replaces the owner's peer server: reads each request and closes the connection without a reply.
 */
struct closing_peer {
    struct wire_listener *listener;
    int stop_descriptor;
    pthread_t thread;
};

static void read_and_close(struct wire_connection *connection)
{
    struct message request;
    if (wire_send_ready(connection, WIRE_NO_DEADLINE, NULL) &&
        wire_receive(connection, &request, WIRE_NO_DEADLINE, NULL)) {
        message_clear(&request);
    }
    wire_close(connection);
}

static void *run_closing_peer(void *data)
{
    struct closing_peer *peer = data;
    struct wire_connection *connection =
        wire_listener_accept(peer->listener, peer->stop_descriptor, NULL);
    while (connection != NULL) {
        read_and_close(connection);
        connection = wire_listener_accept(peer->listener, peer->stop_descriptor, NULL);
    }
    return NULL;
}

/* Stops the owner's peer server; its other parts keep running. The caller frees the address. */
static char *end_peer_server(struct daemon *daemon)
{
    char *address = g_strdup(peer_server_address(daemon->peer_server));
    peer_server_free(g_steal_pointer(&daemon->peer_server));
    return address;
}

static void closing_peer_start(struct closing_peer *peer, struct daemon *owner)
{
    g_autoptr(GError) error = NULL;
    g_autofree char *address = end_peer_server(owner);
    peer->listener = wire_listener_open(address, &error);
    g_assert_no_error(error);
    peer->stop_descriptor = eventfd(0, EFD_CLOEXEC);
    g_assert_cmpint(pthread_create(&peer->thread, NULL, run_closing_peer, peer), ==, 0);
}

static void closing_peer_stop(struct closing_peer *peer)
{
    eventfd_write(peer->stop_descriptor, 1);
    pthread_join(peer->thread, NULL);
    wire_listener_close(peer->listener);
    close(peer->stop_descriptor);
}

static void expect(struct cluster *cluster, unsigned daemon, struct http_call request,
                   const char *outcome, const char *kind)
{
    struct http_answer answer;
    call(cluster, daemon, &answer, request);
    http_assert_error(&answer, outcome, kind);
    http_answer_clear(&answer);
}

/* The request was sent and no reply came: only requests without effect may be reported as not run.
 */
static void test_no_reply_after_request(void)
{
    struct cluster *cluster = start(2);
    struct closing_peer peer;
    struct http_answer answer;
    unsigned owner = owner_of(cluster);
    unsigned other = 1 - owner;
    call(cluster, other, &answer,
         (struct http_call){.path = "transactions", .body = "{\"begin\": true}", .key = "begun"});
    http_assert_done(&answer);
    g_autofree char *id = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    closing_peer_start(&peer, cluster->daemons[owner]);
    struct http_call write = {.sql = "INSERT INTO stays VALUES ('a', '')"};
    expect(cluster, other, write, "unknown", "outcome_unknown");
    write.key = "key";
    expect(cluster, other, write, "unknown", "outcome_unknown");
    expect(cluster, other, (struct http_call){.sql = "SELECT 1"}, "refused", "peer_unreachable");
    expect(cluster, other, (struct http_call){.path = "transactions", .body = "{\"begin\": true}"},
           "failed", "transaction_aborted");
    /* The statement may have run, and the transaction may still be committed. */
    write.key = NULL;
    write.transaction = id;
    expect(cluster, other, write, "unknown", "outcome_unknown");
    expect(cluster, other, (struct http_call){.transaction = id, .path = "commit", .key = "begun"},
           "unknown", "outcome_unknown");
    call(cluster, owner, &answer, (struct http_call){.transaction = id, .path = "commit"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    closing_peer_stop(&peer);
    cluster_stop(cluster);
}

/* The request was never sent: it is reported as not run, with a retry delay. */
static void test_owner_unreachable(void)
{
    struct cluster *cluster = start(2);
    struct http_answer answer;
    unsigned owner = owner_of(cluster);
    unsigned other = 1 - owner;
    call(cluster, other, &answer,
         (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
    http_assert_done(&answer);
    g_autofree char *id = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    g_free(end_peer_server(cluster->daemons[owner]));
    struct http_call requests[] = {
        {.sql = "INSERT INTO stays VALUES ('a', '')"},
        {.sql = "INSERT INTO stays VALUES ('a', '')", .key = "key"},
        {.sql = "SELECT 1"},
        {.path = "transactions", .body = "{\"begin\": true}"},
        {.transaction = id, .sql = "SELECT 1"},
        {.transaction = id, .path = "rollback"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        call(cluster, other, &answer, requests[i]);
        http_assert_error(&answer, "refused", "peer_unreachable");
        g_assert_nonnull(answer.retry_after);
        http_answer_clear(&answer);
    }
    /* An earlier commit may have been executed. */
    expect(cluster, other, (struct http_call){.transaction = id, .path = "commit"}, "unknown",
           "outcome_unknown");
    call(cluster, owner, &answer, (struct http_call){.transaction = id, .path = "rollback"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 0);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/forward/owner_serves", test_owner_serves);
    g_test_add_func("/daemon/forward/no_reply_after_request", test_no_reply_after_request);
    g_test_add_func("/daemon/forward/owner_unreachable", test_owner_unreachable);
    g_test_add_func("/daemon/forward/closed_connections_end", test_closed_connections_end);
    g_test_add_func("/daemon/forward/owner_not_ready", test_owner_not_ready);
    g_test_add_func("/daemon/forward/nearest_owner_serves", test_nearest_owner_serves);
    return g_test_run();
}
