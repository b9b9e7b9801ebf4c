/* The bounded record of decisions: which records are overwritten, and consistent copies during
 * concurrent additions. */
#include "daemon/decision_log.h"

#include <stdatomic.h>
#include <string.h>

#include "generated/messages.h"

#define ENTRIES 64

static void add(struct decision_log *log, const char *id, enum outcome outcome, int64_t at_us)
{
    struct decision_record record = {.outcome = (uint8_t)outcome, .at_us = at_us};
    g_strlcpy(record.request_id, id, sizeof(record.request_id));
    decision_log_add(log, &record);
}

static guint count(struct decision_log *log, const char *id)
{
    g_autoptr(GArray) records = decision_log_find(log, id);
    return records->len;
}

/* The oldest record of a ring is overwritten first; requests that were done overwrite none that
 * were not. */
static void test_bound(void)
{
    struct decision_log *log = decision_log_new(ENTRIES);
    add(log, "refused", OUTCOME_REFUSED, 1);
    for (int i = 0; i < ENTRIES; i++) {
        g_autofree char *id = g_strdup_printf("done-%d", i);
        add(log, id, OUTCOME_DONE, 2 + i);
    }
    g_assert_cmpint(decision_log_oldest_at(log), ==, 0);
    g_assert_cmpuint(count(log, "done-0"), ==, 1);
    add(log, "later", OUTCOME_DONE, 1000);
    g_assert_cmpuint(count(log, "done-0"), ==, 0);
    g_assert_cmpuint(count(log, "done-1"), ==, 1);
    g_assert_cmpuint(count(log, "refused"), ==, 1);
    g_assert_cmpint(decision_log_oldest_at(log), ==, 3);
    decision_log_free(log);
}

/* An id that was sent twice yields both records, oldest first, from both rings. */
static void test_repeated_id(void)
{
    struct decision_log *log = decision_log_new(ENTRIES);
    add(log, "again", OUTCOME_DONE, 20);
    add(log, "again", OUTCOME_REFUSED, 10);
    g_autoptr(GArray) records = decision_log_find(log, "again");
    g_assert_cmpuint(records->len, ==, 2);
    g_assert_cmpint(g_array_index(records, struct decision_record, 0).at_us, ==, 10);
    g_assert_cmpint(g_array_index(records, struct decision_record, 1).at_us, ==, 20);
    decision_log_free(log);
}

struct adder {
    struct decision_log *log;
    atomic_uint *running;
    GThread *thread;
};

/* Adds records in which every byte of text and every number derives from the same letter, so that a
 * mixed copy is detected. */
static gpointer run_adder(gpointer data)
{
    struct adder *adder = data;
    for (unsigned i = 0; i < 20000; i++) {
        struct decision_record record = {.outcome = OUTCOME_DONE};
        char letter = (char)('a' + i % 26);
        g_strlcpy(record.request_id, "shared", sizeof(record.request_id));
        memset(record.tenant, letter, sizeof(record.tenant) - 1);
        record.shown.offset = (uint64_t)letter;
        record.databases[GROUP_DATABASES_MAX - 1].term = (uint64_t)letter;
        decision_log_add(adder->log, &record);
    }
    atomic_fetch_sub(adder->running, 1);
    return NULL;
}

static void check_consistent(const struct decision_record *record)
{
    for (size_t i = 0; i < sizeof(record->tenant) - 1; i++) {
        g_assert_cmpuint((guchar)record->tenant[i], ==, record->shown.offset);
    }
    g_assert_cmpuint(record->databases[GROUP_DATABASES_MAX - 1].term, ==, record->shown.offset);
}

static void test_consistent_copies(void)
{
    struct decision_log *log = decision_log_new(16);
    struct adder adders[4];
    atomic_uint running = G_N_ELEMENTS(adders);
    for (size_t i = 0; i < G_N_ELEMENTS(adders); i++) {
        adders[i] = (struct adder){.log = log, .running = &running};
        adders[i].thread = g_thread_new("adder", run_adder, &adders[i]);
    }
    do {
        g_autoptr(GArray) records = decision_log_find(log, "shared");
        for (guint i = 0; i < records->len; i++) {
            check_consistent(&g_array_index(records, struct decision_record, i));
        }
    } while (atomic_load(&running) > 0);
    for (size_t i = 0; i < G_N_ELEMENTS(adders); i++) {
        g_thread_join(adders[i].thread);
    }
    g_assert_cmpuint(count(log, "shared"), ==, 16);
    decision_log_free(log);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemon/decision_log/bound", test_bound);
    g_test_add_func("/daemon/decision_log/repeated_id", test_repeated_id);
    g_test_add_func("/daemon/decision_log/consistent_copies", test_consistent_copies);
    return g_test_run();
}
