/* The owners of a group share its databases' slots: together they run no more statements at a
 * database than it has slots, and slots that one owner does not need are used by another. */
#include "callers.h"

#define SLOTS   5
#define SENDERS 12
#define ROUNDS  10

/* Threads that send continuously, three writers to one reader. */
struct sender {
    struct cluster *cluster;
    unsigned number;
    unsigned daemon; /* CLUSTER_DAEMONS_MAX: all, round robin */
    atomic_uint rounds;
    atomic_bool *stop;
    GThread *thread;
};

struct senders {
    atomic_bool stop;
    struct sender items[SENDERS];
};

static void send_one(const struct sender *sender, unsigned round)
{
    struct http_answer answer;
    g_autofree char *key = g_strdup_printf("sender-%u-%u", sender->number, round);
    unsigned turn = (sender->number + round) % sender->cluster->options.daemons;
    unsigned daemon = sender->daemon < CLUSTER_DAEMONS_MAX ? sender->daemon : turn;
    bool writes = sender->number % 4 != 0;
    struct http_call call = {
        .sql = writes ? "INSERT INTO stays VALUES (NULL, 'sender')" : "SELECT 1",
        .key = writes ? key : NULL,
    };
    http_post(cluster_port(sender->cluster, daemon), &call, &answer);
    http_answer_clear(&answer);
}

static gpointer run_sender(gpointer data)
{
    struct sender *sender = data;
    for (unsigned round = 0; !atomic_load(sender->stop); round++) {
        send_one(sender, round);
        atomic_fetch_add(&sender->rounds, 1);
    }
    return NULL;
}

static void senders_start(struct senders *senders, struct cluster *cluster, unsigned daemon)
{
    atomic_init(&senders->stop, false);
    for (unsigned i = 0; i < SENDERS; i++) {
        struct sender *sender = &senders->items[i];
        sender->cluster = cluster;
        sender->number = i;
        sender->daemon = daemon;
        atomic_init(&sender->rounds, 0);
        sender->stop = &senders->stop;
        sender->thread = g_thread_new("sender", run_sender, sender);
    }
}

static void senders_await(struct senders *senders)
{
    for (unsigned i = 0; i < SENDERS; i++) {
        unsigned target = atomic_load(&senders->items[i].rounds) + ROUNDS;
        AWAIT(atomic_load(&senders->items[i].rounds) >= target);
    }
}

static void senders_stop(struct senders *senders)
{
    atomic_store(&senders->stop, true);
    for (unsigned i = 0; i < SENDERS; i++) {
        g_thread_join(senders->items[i].thread);
    }
}

/* Slots that a daemon may currently use at a database. */
static uint32_t limit_of(const struct cluster *cluster, unsigned daemon, unsigned database)
{
    struct group_runtime *group = daemon_take_group(cluster->daemons[daemon], CLUSTER_GROUP);
    uint32_t limit = group != NULL ? atomic_load(&group->databases[database].slot_limit) : 0;
    if (group != NULL) {
        group_runtime_unref(group);
    }
    return limit;
}

static uint32_t total_limit(const struct cluster *cluster, unsigned database)
{
    uint32_t limits = 0;
    for (unsigned i = 0; i < cluster->options.daemons; i++) {
        limits += limit_of(cluster, i, database);
    }
    return limits;
}

/* Waits until each owner has its share and no slot is lent. */
static void await_even_shares(const struct cluster *cluster)
{
    for (unsigned i = 0; i < cluster->options.databases; i++) {
        AWAIT(total_limit(cluster, i) == SLOTS);
        for (unsigned j = 0; j < cluster->options.daemons; j++) {
            AWAIT(limit_of(cluster, j, i) >= SLOTS / cluster->options.daemons);
        }
    }
}

static struct slots *slots_of(const struct cluster *cluster, unsigned database)
{
    return &cluster->databases[database]->slots;
}

static void reset_peaks(const struct cluster *cluster)
{
    for (unsigned i = 0; i < cluster->options.databases; i++) {
        struct slots *slots = slots_of(cluster, i);
        pthread_mutex_lock(&slots->lock);
        slots->peak = 0;
        pthread_mutex_unlock(&slots->lock);
    }
}

/* The databases themselves accept any number of statements. */
static struct cluster *start_cluster(void)
{
    struct cluster_options options = {.slots = SLOTS, .database_slots = 8 * SLOTS};
    struct cluster *cluster = cluster_start(&options);
    for (unsigned i = 0; i < cluster->options.databases; i++) {
        cluster_set_service_time(cluster, i, 3000);
    }
    await_even_shares(cluster);
    reset_peaks(cluster);
    return cluster;
}

static void test_together_within_the_slots(void)
{
    struct senders senders;
    struct cluster *cluster = start_cluster();
    senders_start(&senders, cluster, CLUSTER_DAEMONS_MAX);
    senders_await(&senders);
    senders_stop(&senders);
    for (unsigned i = 0; i < cluster->options.databases; i++) {
        g_assert_cmpuint(slots_peak(slots_of(cluster, i)), <=, SLOTS);
    }
    g_assert_cmpuint(slots_peak(slots_of(cluster, (unsigned)cluster_primary(cluster))), >, 1);
    cluster_stop(cluster);
}

static void test_idle_slots_serve_another(void)
{
    struct senders senders;
    struct cluster *cluster = start_cluster();
    unsigned primary = (unsigned)cluster_primary(cluster);
    senders_start(&senders, cluster, 0);
    AWAIT(limit_of(cluster, 0, primary) == SLOTS);
    senders_await(&senders);
    senders_stop(&senders);
    g_assert_cmpuint(slots_peak(slots_of(cluster, primary)), <=, SLOTS);
    await_even_shares(cluster);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/slots/together_within_the_slots", test_together_within_the_slots);
    g_test_add_func("/daemon/slots/idle_slots_serve_another", test_idle_slots_serve_another);
    return g_test_run();
}
