/* The primary is cut off with callers on its side: it acknowledges nothing more, and every write
 * that was acknowledged is in the new primary. */
#include "cluster_fixture.h"

#include <stdatomic.h>
#include <string.h>

#define WRITERS 6

/* Writes that have to be done on each side of the failover before it goes on. */
#define WRITES_BEFORE 30
#define WRITES_AFTER  30

/* What was told of one write, in the end. */
enum write_fate {
    WRITE_FATE_DONE,
    WRITE_FATE_NOT_DONE, /* refused or rolled back */
    WRITE_FATE_UNKNOWN,
};

/* One caller that writes without pause, each row under a key of its own, at one daemon. */
struct writer {
    struct cluster *cluster;
    unsigned number;
    unsigned port;
    bool keyed;
    atomic_bool stop;
    atomic_uint done; /* writes acknowledged */
    GArray *fates;    /* of enum write_fate, by row */
    GThread *thread;
};

static enum write_fate fate_of(const struct http_answer *answer)
{
    if (g_strcmp0(answer->outcome, "done") == 0) {
        return WRITE_FATE_DONE;
    }
    bool unknown = answer->outcome == NULL || strcmp(answer->outcome, "unknown") == 0;
    return unknown ? WRITE_FATE_UNKNOWN : WRITE_FATE_NOT_DONE;
}

static enum write_fate write_row(struct writer *writer, unsigned row)
{
    g_autofree char *key = g_strdup_printf("writer-%u-%u", writer->number, row);
    g_autofree char *sql =
        g_strdup_printf("INSERT INTO stays VALUES ('%u-%u', '')", writer->number, row);
    struct http_call call = {.sql = sql, .key = writer->keyed ? key : NULL, .timeout_ms = 3000};
    struct http_answer answer;
    http_post(writer->port, &call, &answer);
    enum write_fate fate = fate_of(&answer);
    if (fate == WRITE_FATE_NOT_DONE) {
        g_assert_nonnull(answer.retry_after);
    }
    http_answer_clear(&answer);
    return fate;
}

static gpointer run_writer(gpointer data)
{
    struct writer *writer = data;
    for (unsigned row = 0; !atomic_load(&writer->stop); row++) {
        enum write_fate fate = write_row(writer, row);
        g_array_append_val(writer->fates, fate);
        if (fate == WRITE_FATE_DONE) {
            atomic_fetch_add(&writer->done, 1);
        }
    }
    return NULL;
}

static void start_writers(struct cluster *cluster, struct writer *writers)
{
    for (unsigned i = 0; i < WRITERS; i++) {
        struct writer *writer = &writers[i];
        memset(writer, 0, sizeof(*writer));
        writer->cluster = cluster;
        writer->number = i;
        writer->port = cluster_port(cluster, i % 3);
        writer->keyed = i < 3;
        writer->fates = g_array_new(FALSE, FALSE, sizeof(enum write_fate));
        writer->thread = g_thread_new("writer", run_writer, writer);
    }
}

/* Waits until the daemons `first` to 2 have done `more` writes each for every writer. */
static void await_writes(struct writer *writers, unsigned first, unsigned more)
{
    unsigned targets[WRITERS];
    for (unsigned i = 0; i < WRITERS; i++) {
        targets[i] = atomic_load(&writers[i].done) + more;
    }
    for (unsigned i = 0; i < WRITERS; i++) {
        if (i % 3 >= first) {
            AWAIT(atomic_load(&writers[i].done) >= targets[i]);
        }
    }
}

static int64_t count_row(struct cluster *cluster, unsigned primary, unsigned writer, unsigned row)
{
    g_autofree char *from = g_strdup_printf("stays WHERE id = '%u-%u'", writer, row);
    return cluster_count(cluster, primary, from);
}

/* Compares what was told with what the new primary holds. */
static void check_writer(struct cluster *cluster, unsigned primary, struct writer *writer)
{
    for (unsigned row = 0; row < writer->fates->len; row++) {
        enum write_fate fate = g_array_index(writer->fates, enum write_fate, row);
        int64_t held = count_row(cluster, primary, writer->number, row);
        if (fate == WRITE_FATE_UNKNOWN && writer->keyed) {
            /* Asked again under its key, it is known. */
            fate = write_row(writer, row);
            held = count_row(cluster, primary, writer->number, row);
            g_assert_cmpint(fate, !=, WRITE_FATE_UNKNOWN);
        }
        if (fate == WRITE_FATE_DONE) {
            g_assert_cmpint(held, ==, 1);
        } else if (fate == WRITE_FATE_NOT_DONE) {
            g_assert_cmpint(held, ==, 0);
        }
    }
}

static void stop_writers(struct writer *writers)
{
    for (unsigned i = 0; i < WRITERS; i++) {
        atomic_store(&writers[i].stop, true);
    }
    for (unsigned i = 0; i < WRITERS; i++) {
        g_thread_join(writers[i].thread);
    }
}

static void check_writers(struct cluster *cluster, struct writer *writers)
{
    cluster_await_ready(cluster);
    cluster_await_replicated(cluster);
    for (unsigned i = 0; i < WRITERS; i++) {
        check_writer(cluster, (unsigned)cluster_primary(cluster), &writers[i]);
        g_array_unref(writers[i].fates);
    }
}

/* The daemon in the primary's zone reaches the old primary only, until the cut heals. */
static void test_primary_isolated_with_callers(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct writer writers[WRITERS];
    start_writers(cluster, writers);
    await_writes(writers, 0, WRITES_BEFORE);
    cluster_isolate(cluster, 0);
    AWAIT(cluster_primary(cluster) > 0);
    await_writes(writers, 1, WRITES_AFTER);
    cluster_heal(cluster);
    await_writes(writers, 0, WRITES_AFTER);
    stop_writers(writers);
    check_writers(cluster, writers);
    cluster_stop(cluster);
}

/* Twice in a row, the second time before the first primary is back. */
static void test_two_failovers(void)
{
    struct cluster_options options = {.databases = 5};
    struct cluster *cluster = cluster_start(&options);
    struct writer writers[WRITERS];
    start_writers(cluster, writers);
    await_writes(writers, 0, WRITES_BEFORE);
    cluster_cut(cluster, 0);
    AWAIT(cluster_primary(cluster) > 0);
    unsigned second = (unsigned)cluster_primary(cluster);
    cluster_cut(cluster, second);
    AWAIT(cluster_primary(cluster) != (int)second);
    await_writes(writers, 0, WRITES_AFTER);
    cluster_heal(cluster);
    await_writes(writers, 0, WRITES_AFTER);
    stop_writers(writers);
    check_writers(cluster, writers);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/failover/isolated_with_callers", test_primary_isolated_with_callers);
    g_test_add_func("/daemon/failover/twice", test_two_failovers);
    return g_test_run();
}
