/* A group moves to another owner while a transaction is open at the old one: the transaction
 * completes where it began. */
#include "cluster_fixture.h"

#include "daemon/control.h"

#define DAEMONS 3

static bool owns(const struct cluster *cluster, unsigned daemon)
{
    struct group_runtime *group = daemon_take_group(cluster->daemons[daemon], CLUSTER_GROUP);
    if (group == NULL) {
        return false;
    }
    group_runtime_unref(group);
    return true;
}

/* Number of daemons that own the group; sets `owner` to the last of them. */
static unsigned count_owners(const struct cluster *cluster, unsigned *owner)
{
    unsigned count = 0;
    for (unsigned i = 0; i < DAEMONS; i++) {
        if (owns(cluster, i)) {
            *owner = i;
            count++;
        }
    }
    return count;
}

/* True once all daemons forward requests to the same single owner. */
static bool has_one_owner(const struct cluster *cluster, unsigned *owner)
{
    bool agreed = count_owners(cluster, owner) == 1;
    for (unsigned i = 0; i < DAEMONS; i++) {
        struct owner_list owners;
        control_owners_of(cluster->daemons[i]->control, CLUSTER_GROUP, &owners);
        agreed = agreed && owners.self == (i == *owner) && owners.count == (i != *owner);
    }
    return agreed;
}

static bool is_done(struct cluster *cluster, unsigned daemon, struct http_call call)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer, call);
    bool done = g_strcmp0(answer.outcome, "done") == 0;
    http_answer_clear(&answer);
    return done;
}

static void check_done(struct cluster *cluster, unsigned daemon, struct http_call call)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer, call);
    http_assert_done(&answer);
    http_answer_clear(&answer);
}

static char *begin(struct cluster *cluster, unsigned daemon)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer,
                 (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
    http_assert_done(&answer);
    char *transaction = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    return transaction;
}

static void test_open_transaction(void)
{
    static const char *const overrides[] = {"ownership.owners_per_group=1", NULL};
    const struct cluster_options options = {.overrides = overrides};
    struct cluster *cluster = cluster_start_databases(&options);
    unsigned owner = 0;
    for (unsigned i = 0; i < DAEMONS; i++) {
        cluster_start_daemon(cluster, i);
    }
    AWAIT(has_one_owner(cluster, &owner));
    AWAIT(is_done(cluster, owner,
                  (struct http_call){
                      .sql = "CREATE TABLE IF NOT EXISTS stays (id text PRIMARY KEY, guest text)",
                      .key = "make-stays"}));
    unsigned other = (owner + 1) % DAEMONS;
    g_autofree char *transaction = begin(cluster, owner);
    check_done(cluster, owner,
               (struct http_call){.transaction = transaction,
                                  .sql = "INSERT INTO stays VALUES ('1', 'amina')"});
    control_set_leaving(cluster->daemons[owner]->control, true);
    AWAIT(!owns(cluster, owner));
    /* Through the old owner and through another daemon. */
    check_done(cluster, other,
               (struct http_call){.transaction = transaction,
                                  .sql = "INSERT INTO stays VALUES ('2', 'brahim')"});
    check_done(cluster, owner, (struct http_call){.transaction = transaction, .path = "commit"});
    AWAIT(cluster_count(cluster, 0, "stays") == 2);
    cluster_stop(cluster);
}

/* An owner that has just started, or lost its connections, serves nothing: requests go to other
 * owners. */
static void test_owner_not_ready(void)
{
    static const char *const overrides[] = {"ownership.owners_per_group=2", NULL};
    const struct cluster_options options = {.overrides = overrides};
    struct cluster *cluster = cluster_start_databases(&options);
    unsigned owner = 0;
    for (unsigned i = 0; i < DAEMONS; i++) {
        cluster_start_daemon(cluster, i);
    }
    for (unsigned i = 0; i < DAEMONS; i++) {
        AWAIT(is_done(
            cluster, i,
            (struct http_call){.sql = "CREATE TABLE IF NOT EXISTS stays (id text PRIMARY KEY)"}));
    }
    AWAIT(count_owners(cluster, &owner) == 2);
    for (unsigned i = 0; i < DAEMONS; i++) {
        if (!owns(cluster, i)) {
            continue;
        }
        atomic_store(&cluster->daemons[i]->serve_until, 0);
        for (unsigned other = 0; other < DAEMONS; other++) {
            if (!owns(cluster, other)) {
                check_done(cluster, other, (struct http_call){.sql = "SELECT id FROM stays"});
            }
        }
        atomic_store(&cluster->daemons[i]->serve_until, UINT64_MAX);
    }
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/handover/open_transaction", test_open_transaction);
    g_test_add_func("/daemon/handover/owner_not_ready", test_owner_not_ready);
    return g_test_run();
}
