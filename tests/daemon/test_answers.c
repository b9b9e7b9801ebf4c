/* Each caller gets the complete answer to its own request, while databases are slow, truncate
 * answers or close connections, and other callers disconnect. */
#include "cluster_fixture.h"

#include <stdatomic.h>
#include <string.h>

#define CALLERS     16
#define ANSWER_ROWS 150

/* Complete answers that every caller must get, and how often the faults change meanwhile. */
#define ANSWERS 12

struct requester {
    struct cluster *cluster;
    unsigned number;
    unsigned seed;
    atomic_uint complete;
    atomic_bool *stop;
    GThread *thread;
};

/* Every row of the answer must carry the requested text, and none may be missing. */
static void check_answer(const struct http_answer *answer, const char *text)
{
    g_assert_cmpuint(http_rows(answer), ==, ANSWER_ROWS);
    for (guint row = 0; row < ANSWER_ROWS; row++) {
        g_autofree char *number = http_cell(answer, row, 0);
        g_autofree char *cell = http_cell(answer, row, 1);
        g_assert_cmpuint(g_ascii_strtoull(number, NULL, 10), ==, row + 1);
        g_assert_cmpstr(cell, ==, text);
    }
}

static void send_request(struct requester *requester, GRand *random, unsigned round)
{
    struct http_answer answer;
    g_autofree char *text = g_strdup_printf("caller %u round %u", requester->number, round);
    g_autofree char *sql =
        g_strdup_printf("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < "
                        "%d) SELECT i, '%s' FROM n",
                        ANSWER_ROWS, text);
    struct http_call call = {.sql = sql};
    if (g_rand_int_range(random, 0, 3) == 0) {
        call.disconnect_after_ms = (unsigned)g_rand_int_range(random, 1, 12);
    }
    unsigned daemon = (unsigned)g_rand_int_range(random, 0, 3);
    http_post(cluster_port(requester->cluster, daemon), &call, &answer);
    if (g_strcmp0(answer.outcome, "done") == 0) {
        check_answer(&answer, text);
        atomic_fetch_add(&requester->complete, 1);
    } else if (answer.outcome != NULL) {
        g_assert_cmpstr(answer.outcome, ==, "refused");
        g_assert_nonnull(answer.retry_after);
    } else {
        g_assert_cmpuint(call.disconnect_after_ms, >, 0);
    }
    http_answer_clear(&answer);
}

static gpointer run_requester(gpointer data)
{
    struct requester *requester = data;
    GRand *random = g_rand_new_with_seed(requester->seed);
    for (unsigned round = 0; !atomic_load(requester->stop); round++) {
        send_request(requester, random, round);
    }
    g_rand_free(random);
    return NULL;
}

static bool all_have(struct requester *requesters, unsigned complete)
{
    for (unsigned i = 0; i < CALLERS; i++) {
        if (atomic_load(&requesters[i].complete) < complete) {
            return false;
        }
    }
    return true;
}

static void change_faults(struct cluster *cluster)
{
    static const enum answer_fault faults[] = {ANSWER_FAULT_TRUNCATE, ANSWER_FAULT_CLOSE};
    for (unsigned i = 0; i < 3; i++) {
        cluster_set_service_time(cluster, i, g_test_rand_int_range(0, 8000));
        cluster_lose_answers(cluster, i, faults[g_test_rand_int_range(0, 2)], 1, "caller");
    }
}

static void test_never_mix(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct requester requesters[CALLERS];
    atomic_bool stop = false;
    for (unsigned i = 0; i < CALLERS; i++) {
        requesters[i] = (struct requester){
            .cluster = cluster, .number = i, .seed = (unsigned)g_test_rand_int(), .stop = &stop};
        requesters[i].thread = g_thread_new("requester", run_requester, &requesters[i]);
    }
    for (unsigned complete = 1; complete <= ANSWERS; complete++) {
        change_faults(cluster);
        AWAIT(all_have(requesters, complete));
    }
    atomic_store(&stop, true);
    for (unsigned i = 0; i < CALLERS; i++) {
        g_thread_join(requesters[i].thread);
    }
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/answers/never_mix", test_never_mix);
    return g_test_run();
}
