/* Tests of the sessions' operations and of the retry decision. */
#include <string.h>

#include "load/database_state.h"
#include "load/workload.h"

static const struct workload_options OPTIONS = {
    .run = "r",
    .sessions = 1,
    .read_share = 0.5,
    .batch_share = 0.5,
    .unkeyed_share = 0.2,
    .own_read_share = 0.5,
    .seed = 7,
};

static void test_same_seed_same_operations(void)
{
    struct workload *first[1] = {NULL};
    struct workload *second[1] = {NULL};
    first[0] = workload_new(&OPTIONS, first, 0);
    second[0] = workload_new(&OPTIONS, second, 0);
    for (int i = 0; i < 200; i++) {
        struct operation *a = workload_next(first[0]);
        struct operation *b = workload_next(second[0]);
        g_assert_cmpint(a->kind, ==, b->kind);
        g_assert_cmpstr(a->id, ==, b->id);
        g_assert_cmpstr(a->key, ==, b->key);
        g_assert_cmpstr(a->range, ==, b->range);
        operation_free(a);
        operation_free(b);
    }
    workload_free(first[0]);
    workload_free(second[0]);
}

static void test_ids_are_unique_and_in_range(void)
{
    struct workload *workload[1] = {NULL};
    workload[0] = workload_new(&OPTIONS, workload, 0);
    g_autoptr(GHashTable) ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < 500; i++) {
        struct operation *operation = workload_next(workload[0]);
        if (operation_is_write(operation->kind)) {
            g_assert_true(g_str_has_prefix(operation->id, operation->range));
            g_assert_true(g_hash_table_add(ids, g_strdup(operation->id)));
        }
        operation_free(operation);
    }
    workload_free(workload[0]);
}

/* The read's two bounds enclose the ids of its range; for range 1, none of range 10. */
static void test_read_bounds(void)
{
    struct operation *read = operation_read_new(1, "r-s0.1/");
    const struct operation_parameter *bounds = read->statements[0].parameters;
    g_assert_cmpstr(bounds[0].text, <=, "r-s0.1/00000020");
    g_assert_cmpstr(bounds[1].text, >, "r-s0.1/99999999");
    bool above = strcmp("r-s0.10/00000200", bounds[0].text) >= 0;
    bool below = strcmp("r-s0.10/00000200", bounds[1].text) < 0;
    g_assert_false(above && below);
    operation_free(read);
}

/* The complete table: kind, keyed, outcome, advice -> action. */
static void test_retry_table(void)
{
    static const struct {
        enum operation_kind kind;
        bool keyed;
        enum attempt_outcome outcome;
        enum error_retry advice;
        enum retry_action action;
    } CASES[] = {
        {OPERATION_ENTRY, true, ATTEMPT_DONE, ERROR_RETRY_NO, RETRY_ACTION_STOP},
        {OPERATION_ENTRY, false, ATTEMPT_NOT_SENT, ERROR_RETRY_NO, RETRY_ACTION_SAME_KEY},
        {OPERATION_ENTRY, true, ATTEMPT_LOST, ERROR_RETRY_NO, RETRY_ACTION_SAME_KEY},
        {OPERATION_ENTRY, false, ATTEMPT_LOST, ERROR_RETRY_NO, RETRY_ACTION_STOP},
        {OPERATION_READ, false, ATTEMPT_LOST, ERROR_RETRY_NO, RETRY_ACTION_SAME_KEY},
        {OPERATION_ENTRY, true, ATTEMPT_UNKNOWN, ERROR_RETRY_SAME_KEY, RETRY_ACTION_SAME_KEY},
        {OPERATION_ENTRY, false, ATTEMPT_UNKNOWN, ERROR_RETRY_SAME_KEY, RETRY_ACTION_STOP},
        {OPERATION_ENTRY, false, ATTEMPT_UNKNOWN, ERROR_RETRY_NO, RETRY_ACTION_STOP},
        {OPERATION_ENTRY, true, ATTEMPT_REFUSED, ERROR_RETRY_YES, RETRY_ACTION_SAME_KEY},
        {OPERATION_ENTRY, false, ATTEMPT_REFUSED, ERROR_RETRY_YES, RETRY_ACTION_SAME_KEY},
        {OPERATION_ENTRY, true, ATTEMPT_REFUSED, ERROR_RETRY_NEW_KEY, RETRY_ACTION_NEW_KEY},
        {OPERATION_ENTRY, true, ATTEMPT_REFUSED, ERROR_RETRY_NO, RETRY_ACTION_STOP},
        {OPERATION_BATCH, true, ATTEMPT_FAILED, ERROR_RETRY_YES, RETRY_ACTION_SAME_KEY},
        {OPERATION_BATCH, true, ATTEMPT_FAILED, ERROR_RETRY_NO, RETRY_ACTION_STOP},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(CASES); i++) {
        enum retry_action action =
            retry_decide(CASES[i].kind, CASES[i].keyed, CASES[i].outcome, CASES[i].advice);
        g_assert_cmpint(action, ==, CASES[i].action);
    }
}

static void test_retry_delay(void)
{
    g_assert_cmpuint(retry_delay_ms(1, 340, 0.5), ==, 340);
    g_assert_cmpuint(retry_delay_ms(1, 0, 1), ==, 10);
    g_assert_cmpuint(retry_delay_ms(3, 0, 1), ==, 40);
    g_assert_cmpuint(retry_delay_ms(30, 0, 1), ==, 200);
    g_assert_cmpuint(retry_delay_ms(30, 0, 0), ==, 100);
}

static struct final_state *state_of(const char *id)
{
    struct final_state *state = final_state_new();
    final_state_add(state->entries, id);
    return state;
}

/* A database that does not respond, or holds other rows, is in the minority. A tie has no majority.
 */
static void test_majority_of_states(void)
{
    struct final_state *states[] = {state_of("a"), state_of("b"), state_of("b"), NULL};
    g_assert_true(final_state_majority(states, 3) == states[1]);
    g_assert_null(final_state_majority(states, 4));
    g_assert_null(final_state_majority(states, 2));
    g_assert_true(final_state_majority(states, 1) == states[0]);
    final_state_add(states[1]->entries, "b");
    g_assert_null(final_state_majority(states, 3));
    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        final_state_free(states[i]);
    }
}

int main(int count, char **arguments)
{
    g_test_init(&count, &arguments, NULL);
    g_test_add_func("/load/workload/same_seed_same_operations", test_same_seed_same_operations);
    g_test_add_func("/load/workload/ids_are_unique_and_in_range", test_ids_are_unique_and_in_range);
    g_test_add_func("/load/workload/read_bounds", test_read_bounds);
    g_test_add_func("/load/workload/retry_table", test_retry_table);
    g_test_add_func("/load/workload/retry_delay", test_retry_delay);
    g_test_add_func("/load/database_state/majority", test_majority_of_states);
    return g_test_run();
}
