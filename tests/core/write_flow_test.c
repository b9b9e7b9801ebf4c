/* Scenarios of one write: its steps and its answer after each fault. */
#include "core/write_flow.h"

#include <glib.h>
#include <string.h>

#define DEADLINE (5 * NANOSECONDS_PER_SECOND)

struct scenario {
    struct write_flow flow;
    struct group_view view;
    struct write_step step;
    time_ns now;
};

static void start(struct scenario *scenario, bool keyed)
{
    memset(scenario, 0, sizeof(*scenario));
    scenario->view.term = 1;
    scenario->view.database_count = 3;
    for (uint32_t i = 0; i < 3; i++) {
        scenario->view.databases[i].reachable = true;
    }
    struct write_options options = {
        .deadline = DEADLINE,
        .keyed = keyed,
        .attempts_max = 3,
        .unavailable_wait_ms = 1000,
    };
    write_flow_init(&scenario->flow, &options);
    struct write_event event = {.kind = WRITE_EVENT_START};
    scenario->step = write_flow_next(&scenario->flow, &event, &scenario->view);
}

static void feed(struct scenario *scenario, struct write_event event)
{
    if (scenario->step.kind == WRITE_STEP_WAIT) {
        scenario->now = scenario->step.until;
    }
    event.now = scenario->now;
    scenario->step = write_flow_next(&scenario->flow, &event, &scenario->view);
}

static void feed_kind(struct scenario *scenario, enum write_event_kind kind)
{
    feed(scenario, (struct write_event){.kind = kind});
}

static void feed_at(struct scenario *scenario, enum write_event_kind kind, uint64_t term,
                    uint64_t offset)
{
    feed(scenario, (struct write_event){.kind = kind, .position = {term, offset}});
}

static void feed_evidence(struct scenario *scenario, int32_t database, uint64_t promised,
                          uint64_t term, uint64_t offset)
{
    struct write_event event = {.kind = WRITE_EVENT_EVIDENCE, .database = database};
    event.status.promised_term = promised;
    event.status.held = (struct log_position){term, offset};
    feed(scenario, event);
}

static void assert_answer(const struct scenario *scenario, enum outcome outcome,
                          enum error_kind error)
{
    g_assert_cmpint(scenario->step.kind, ==, WRITE_STEP_ANSWER);
    g_assert_cmpint(scenario->step.outcome, ==, outcome);
    if (outcome != OUTCOME_DONE) {
        g_assert_cmpint(scenario->step.error, ==, error);
    }
}

static void test_done_needs_a_majority(void)
{
    struct scenario scenario;
    start(&scenario, true);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EXECUTE);
    feed_at(&scenario, WRITE_EVENT_COMMITTED, 1, 7);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EVIDENCE);
    feed_evidence(&scenario, 0, 1, 1, 7);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EVIDENCE);
    feed_evidence(&scenario, 2, 1, 1, 8);
    assert_answer(&scenario, OUTCOME_DONE, ERROR_KIND_INTERNAL);
}

static void test_unkeyed_lost_is_unknown_at_once(void)
{
    struct scenario scenario;
    start(&scenario, false);
    feed_kind(&scenario, WRITE_EVENT_LOST);
    assert_answer(&scenario, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN);
}

static void test_unkeyed_fenced_commit_is_unknown(void)
{
    struct scenario scenario;
    start(&scenario, false);
    feed_at(&scenario, WRITE_EVENT_COMMITTED, 1, 7);
    feed_evidence(&scenario, 1, 2, 1, 7);
    feed_evidence(&scenario, 2, 2, 1, 7);
    assert_answer(&scenario, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN);
}

static void test_keyed_lost_runs_again_under_its_key(void)
{
    struct scenario scenario;
    start(&scenario, true);
    feed_kind(&scenario, WRITE_EVENT_LOST);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_WAIT);
    scenario.view.primary = 1;
    feed_kind(&scenario, WRITE_EVENT_TIMER);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EXECUTE);
    g_assert_cmpint(scenario.step.database, ==, 1);
    feed_at(&scenario, WRITE_EVENT_ALREADY_DONE, 2, 9);
    feed_evidence(&scenario, 1, 2, 2, 9);
    feed_evidence(&scenario, 2, 2, 2, 9);
    assert_answer(&scenario, OUTCOME_DONE, ERROR_KIND_INTERNAL);
    g_assert_true(scenario.flow.replayed);
}

/* The lost attempt may still arrive: the error may be returned only once the key is closed. */
static void test_error_after_lost_closes_the_key(void)
{
    struct scenario scenario;
    start(&scenario, true);
    feed_kind(&scenario, WRITE_EVENT_LOST);
    feed_kind(&scenario, WRITE_EVENT_TIMER);
    feed_kind(&scenario, WRITE_EVENT_FAILED);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_CLOSE_KEY);
    feed_at(&scenario, WRITE_EVENT_KEY_CLOSED, 1, 9);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EVIDENCE);
    feed_evidence(&scenario, 0, 1, 1, 9);
    feed_evidence(&scenario, 1, 1, 1, 9);
    assert_answer(&scenario, OUTCOME_FAILED, ERROR_KIND_DATABASE_ERROR);
}

static void test_not_run_only_if_nothing_was_sent(void)
{
    struct scenario scenario;
    start(&scenario, true);
    scenario.view.primary = -1;
    feed_kind(&scenario, WRITE_EVENT_NOT_PRIMARY);
    while (scenario.step.kind == WRITE_STEP_WAIT) {
        feed_kind(&scenario, WRITE_EVENT_TIMER);
    }
    assert_answer(&scenario, OUTCOME_REFUSED, ERROR_KIND_NO_PRIMARY);
    g_assert_cmpuint(scenario.step.retry_after_ms, >, 0);
}

/* Attempts that a failed primary never received do not count. */
static void test_refused_attempts_do_not_count(void)
{
    struct scenario scenario;
    start(&scenario, true);
    for (int i = 0; i < 20; i++) {
        g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EXECUTE);
        feed_kind(&scenario, WRITE_EVENT_NOT_SENT);
        feed_kind(&scenario, WRITE_EVENT_TIMER);
    }
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EXECUTE);
    g_assert_cmpuint(scenario.flow.attempts, ==, 1);
    while (scenario.step.kind != WRITE_STEP_ANSWER) {
        bool executing = scenario.step.kind == WRITE_STEP_EXECUTE;
        feed_kind(&scenario, executing ? WRITE_EVENT_NOT_SENT : WRITE_EVENT_TIMER);
    }
    assert_answer(&scenario, OUTCOME_REFUSED, ERROR_KIND_OVERLOADED);
}

static void test_lost_then_no_primary_is_unknown(void)
{
    struct scenario scenario;
    start(&scenario, true);
    feed_kind(&scenario, WRITE_EVENT_LOST);
    scenario.view.primary = -1;
    while (scenario.step.kind == WRITE_STEP_WAIT) {
        feed_kind(&scenario, WRITE_EVENT_TIMER);
    }
    assert_answer(&scenario, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN);
}

/* A primary that is being replaced may show a ledger row that will be lost. It must not be returned
 * as the outcome, since this write may have run at the new primary. */
static void test_key_reused_needs_evidence(void)
{
    struct scenario scenario;
    start(&scenario, true);
    feed_kind(&scenario, WRITE_EVENT_LOST);
    feed_kind(&scenario, WRITE_EVENT_TIMER);
    feed_at(&scenario, WRITE_EVENT_KEY_REUSED, 1, 9);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EVIDENCE);
    feed_evidence(&scenario, 1, 2, 1, 5);
    feed_evidence(&scenario, 2, 2, 1, 5);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_WAIT);
    scenario.view.primary = 1;
    feed_kind(&scenario, WRITE_EVENT_TIMER);
    feed_at(&scenario, WRITE_EVENT_KEY_REUSED, 2, 9);
    feed_evidence(&scenario, 1, 2, 2, 9);
    feed_evidence(&scenario, 2, 2, 2, 9);
    assert_answer(&scenario, OUTCOME_REFUSED, ERROR_KIND_KEY_REUSED);
}

static void test_exhausted_attempts_close_the_key(void)
{
    struct scenario scenario;
    start(&scenario, true);
    for (int attempt = 0; attempt < 3; attempt++) {
        g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EXECUTE);
        feed_kind(&scenario, WRITE_EVENT_LOST);
        feed_kind(&scenario, WRITE_EVENT_TIMER);
    }
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_CLOSE_KEY);
    feed_at(&scenario, WRITE_EVENT_KEY_CLOSED, 1, 9);
    feed_evidence(&scenario, 0, 1, 1, 9);
    feed_evidence(&scenario, 1, 1, 1, 9);
    assert_answer(&scenario, OUTCOME_REFUSED, ERROR_KIND_KEY_CLOSED);
}

static void test_give_up_reports_not_run_only_before_sending(void)
{
    struct scenario scenario;
    struct write_event event = {
        .kind = WRITE_EVENT_GIVE_UP, .error = ERROR_KIND_OVERLOADED, .retry_after_ms = 50};
    start(&scenario, false);
    feed(&scenario, event);
    assert_answer(&scenario, OUTCOME_REFUSED, ERROR_KIND_OVERLOADED);
    start(&scenario, true);
    feed_kind(&scenario, WRITE_EVENT_LOST);
    feed(&scenario, event);
    assert_answer(&scenario, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN);
}

static void test_conflict_runs_again_without_a_key(void)
{
    struct scenario scenario;
    start(&scenario, false);
    feed_kind(&scenario, WRITE_EVENT_CONFLICT);
    feed_kind(&scenario, WRITE_EVENT_TIMER);
    g_assert_cmpint(scenario.step.kind, ==, WRITE_STEP_EXECUTE);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/write-flow/done", test_done_needs_a_majority);
    g_test_add_func("/write-flow/unkeyed-lost", test_unkeyed_lost_is_unknown_at_once);
    g_test_add_func("/write-flow/unkeyed-fenced", test_unkeyed_fenced_commit_is_unknown);
    g_test_add_func("/write-flow/keyed-lost", test_keyed_lost_runs_again_under_its_key);
    g_test_add_func("/write-flow/error-after-lost", test_error_after_lost_closes_the_key);
    g_test_add_func("/write-flow/not-run", test_not_run_only_if_nothing_was_sent);
    g_test_add_func("/write-flow/refused-attempts", test_refused_attempts_do_not_count);
    g_test_add_func("/write-flow/lost-no-primary", test_lost_then_no_primary_is_unknown);
    g_test_add_func("/write-flow/key-reused", test_key_reused_needs_evidence);
    g_test_add_func("/write-flow/exhausted-attempts", test_exhausted_attempts_close_the_key);
    g_test_add_func("/write-flow/give-up", test_give_up_reports_not_run_only_before_sending);
    g_test_add_func("/write-flow/conflict", test_conflict_runs_again_without_a_key);
    return g_test_run();
}
