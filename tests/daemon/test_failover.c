/* The primary is partitioned together with some callers: it acknowledges no more writes, and the
 * new primary has every acknowledged write. */
#include "cluster_fixture.h"

#include <stdatomic.h>
#include <string.h>

#define WRITERS 6

/* Writes that must be done before and after the failover. */
#define WRITES_BEFORE 30
#define WRITES_AFTER  30

/* Final outcome of one write, as reported to its caller. */
enum write_outcome {
    WRITE_OUTCOME_DONE,
    WRITE_OUTCOME_NOT_DONE, /* refused or rolled back */
    WRITE_OUTCOME_UNKNOWN,
};

/* One caller that writes continuously at one daemon, each row under its own key. */
struct writer {
    struct cluster *cluster;
    unsigned number;
    unsigned port;
    bool keyed;
    atomic_bool stop;
    atomic_uint done; /* writes acknowledged */
    GArray *outcomes; /* of enum write_outcome, by row */
    GThread *thread;
};

static enum write_outcome outcome_of(const struct http_answer *answer)
{
    if (g_strcmp0(answer->outcome, "done") == 0) {
        return WRITE_OUTCOME_DONE;
    }
    bool unknown = answer->outcome == NULL || strcmp(answer->outcome, "unknown") == 0;
    return unknown ? WRITE_OUTCOME_UNKNOWN : WRITE_OUTCOME_NOT_DONE;
}

static enum write_outcome write_row(struct writer *writer, unsigned row)
{
    g_autofree char *key = g_strdup_printf("writer-%u-%u", writer->number, row);
    g_autofree char *sql =
        g_strdup_printf("INSERT INTO stays VALUES ('%u-%u', '')", writer->number, row);
    struct http_call call = {.sql = sql, .key = writer->keyed ? key : NULL, .timeout_ms = 3000};
    struct http_answer answer;
    http_post(writer->port, &call, &answer);
    enum write_outcome outcome = outcome_of(&answer);
    if (outcome == WRITE_OUTCOME_NOT_DONE) {
        g_assert_nonnull(answer.retry_after);
    }
    http_answer_clear(&answer);
    return outcome;
}

static gpointer run_writer(gpointer data)
{
    struct writer *writer = data;
    for (unsigned row = 0; !atomic_load(&writer->stop); row++) {
        enum write_outcome outcome = write_row(writer, row);
        g_array_append_val(writer->outcomes, outcome);
        if (outcome == WRITE_OUTCOME_DONE) {
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
        writer->outcomes = g_array_new(FALSE, FALSE, sizeof(enum write_outcome));
        writer->thread = g_thread_new("writer", run_writer, writer);
    }
}

/* Waits until each of the daemons `first` to 2 has done `more` writes for every writer. */
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

/* Compares the reported outcomes with the rows in the new primary. */
static void check_writer(struct cluster *cluster, unsigned primary, struct writer *writer)
{
    for (unsigned row = 0; row < writer->outcomes->len; row++) {
        enum write_outcome outcome = g_array_index(writer->outcomes, enum write_outcome, row);
        int64_t held = count_row(cluster, primary, writer->number, row);
        if (outcome == WRITE_OUTCOME_UNKNOWN && writer->keyed) {
            /* Sent again under its key, the outcome is known. */
            outcome = write_row(writer, row);
            held = count_row(cluster, primary, writer->number, row);
            g_assert_cmpint(outcome, !=, WRITE_OUTCOME_UNKNOWN);
        }
        if (outcome == WRITE_OUTCOME_DONE) {
            g_assert_cmpint(held, ==, 1);
        } else if (outcome == WRITE_OUTCOME_NOT_DONE) {
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
        g_array_unref(writers[i].outcomes);
    }
}

/* The daemon in the primary's zone reaches only the old primary until the partition ends. */
static void test_primary_isolated_with_callers(void)
{
    struct cluster_options options = {.provokes_failures = true};
    struct cluster *cluster = cluster_start(&options);
    struct writer writers[WRITERS];
    start_writers(cluster, writers);
    await_writes(writers, 0, WRITES_BEFORE);
    cluster_isolate(cluster, 0);
    AWAIT(cluster_primary(cluster) > 0);
    await_writes(writers, 1, WRITES_AFTER);
    cluster_clear_faults(cluster);
    await_writes(writers, 0, WRITES_AFTER);
    stop_writers(writers);
    check_writers(cluster, writers);
    cluster_stop(cluster);
}

/* Two failovers, the second before the first primary is back. */
static void test_two_failovers(void)
{
    struct cluster_options options = {.databases = 5, .provokes_failures = true};
    struct cluster *cluster = cluster_start(&options);
    struct writer writers[WRITERS];
    start_writers(cluster, writers);
    await_writes(writers, 0, WRITES_BEFORE);
    cluster_partition(cluster, 0);
    AWAIT(cluster_primary(cluster) > 0);
    unsigned second = (unsigned)cluster_primary(cluster);
    cluster_partition(cluster, second);
    AWAIT(cluster_primary(cluster) != (int)second);
    await_writes(writers, 0, WRITES_AFTER);
    cluster_clear_faults(cluster);
    await_writes(writers, 0, WRITES_AFTER);
    stop_writers(writers);
    check_writers(cluster, writers);
    cluster_stop(cluster);
}

/* The deadlines exceed the test's time-out: requests in progress at a partitioned database must not
 * wait for them. */
static struct cluster *start_with_long_deadlines(void)
{
    static const char *const overrides[] = {"request.default_timeout_ms=60000",
                                            "request.max_timeout_ms=60000", NULL};
    struct cluster_options options = {.daemons = 1,
                                      .request_timeout_ms = 60000,
                                      .provokes_failures = true,
                                      .overrides = overrides};
    return cluster_start(&options);
}

/* Sends a request, partitions the database while it runs the request, then waits for the answer. */
static void partition_during(struct cluster *cluster, struct http_call call,
                             struct http_answer *answer)
{
    for (unsigned i = 0; i < 3; i++) {
        cluster_set_service_time(cluster, i, 300000);
    }
    struct http_poster *poster = http_post_start(cluster_port(cluster, 0), &call);
    int busy = -1;
    while (busy < 0) {
        for (unsigned i = 0; i < 3; i++) {
            busy = cluster_slots_used(cluster, i) > 0 ? (int)i : busy;
        }
    }
    cluster_partition(cluster, (unsigned)busy);
    for (unsigned i = 0; i < 3; i++) {
        cluster_set_service_time(cluster, i, 0);
    }
    AWAIT(http_has_ended(poster));
    http_join(poster, answer);
}

static void test_keyed_write_in_progress(void)
{
    struct cluster *cluster = start_with_long_deadlines();
    struct http_answer answer;
    partition_during(cluster,
                     (struct http_call){.sql = "INSERT INTO stays VALUES ('a', '')", .key = "key"},
                     &answer);
    http_assert_done(&answer);
    http_answer_clear(&answer);
    int primary = cluster_primary(cluster);
    g_assert_cmpint(primary, >, 0);
    g_assert_cmpint(cluster_count(cluster, (unsigned)primary, "stays"), ==, 1);
    cluster_stop(cluster);
}

/* Nothing was committed. Without a key the write may be run again, or its real outcome is reported.
 */
static void test_unkeyed_write_in_progress(void)
{
    struct cluster *cluster = start_with_long_deadlines();
    struct http_answer answer;
    partition_during(cluster, (struct http_call){.sql = "INSERT INTO stays VALUES ('a', '')"},
                     &answer);
    g_assert_cmpstr(answer.outcome, !=, "refused");
    bool done = strcmp(answer.outcome, "done") == 0;
    http_answer_clear(&answer);
    if (done) {
        int primary = cluster_primary(cluster);
        g_assert_cmpint(cluster_count(cluster, (unsigned)primary, "stays"), ==, 1);
    }
    cluster_stop(cluster);
}

static void test_read_in_progress(void)
{
    struct cluster *cluster = start_with_long_deadlines();
    struct http_answer answer;
    cluster_await_replicated(cluster);
    partition_during(cluster, (struct http_call){.sql = "SELECT count(*) FROM stays"}, &answer);
    http_assert_done(&answer);
    http_answer_clear(&answer);
    cluster_stop(cluster);
}

/* A transaction at the replaced primary is aborted, whether one of its requests is in progress or
 * not. */
static void test_transaction_at_replaced_primary(void)
{
    struct cluster *cluster = start_with_long_deadlines();
    struct http_answer answer;
    char *ids[2];
    for (unsigned i = 0; i < 2; i++) {
        cluster_call(cluster, 0, &answer,
                     (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
        http_assert_done(&answer);
        ids[i] = g_steal_pointer(&answer.transaction);
        http_answer_clear(&answer);
    }
    struct http_call insert = {.transaction = ids[0], .sql = "INSERT INTO stays VALUES ('a', '')"};
    partition_during(cluster, insert, &answer);
    http_assert_error(&answer, "failed", "transaction_aborted");
    http_answer_clear(&answer);
    AWAIT(cluster_view(cluster, 0).primary > 0);
    insert.transaction = ids[1];
    struct http_poster *poster = http_post_start(cluster_port(cluster, 0), &insert);
    AWAIT(http_has_ended(poster));
    http_join(poster, &answer);
    http_assert_error(&answer, "failed", "transaction_aborted");
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, (unsigned)cluster_primary(cluster), "stays"), ==, 0);
    g_free(ids[0]);
    g_free(ids[1]);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/failover/isolated_with_callers", test_primary_isolated_with_callers);
    g_test_add_func("/daemon/failover/twice", test_two_failovers);
    g_test_add_func("/daemon/failover/keyed_write_in_progress", test_keyed_write_in_progress);
    g_test_add_func("/daemon/failover/unkeyed_write_in_progress", test_unkeyed_write_in_progress);
    g_test_add_func("/daemon/failover/read_in_progress", test_read_in_progress);
    g_test_add_func("/daemon/failover/transaction", test_transaction_at_replaced_primary);
    return g_test_run();
}
