/* Admission: slots, order of service, fair shares and immediate refusal; and the retry budget. */
#include "core/admission.h"
#include "core/retry_budget.h"

#include <string.h>

/* Admission's initial estimate of the service time. */
#define SERVICE_TIME (5 * NANOSECONDS_PER_MILLISECOND)

static const time_ns far_deadline = 100 * NANOSECONDS_PER_SECOND;

static struct admission_ticket ticket_of(enum admission_class rank, uint32_t tenant)
{
    struct admission_ticket ticket = {
        .rank = rank, .tenant = tenant, .weight = 1, .deadline = far_deadline};
    return ticket;
}

static enum admission_verdict enter(struct admission *admission, struct admission_ticket *ticket)
{
    uint32_t retry_after_ms = 0;
    return admission_enter(admission, ticket, 0, &retry_after_ms);
}

static struct admission_ticket *serve_next(struct admission *admission)
{
    bool admitted = false;
    admission_leave(admission, 5 * NANOSECONDS_PER_MILLISECOND);
    struct admission_ticket *next = admission_next(admission, 0, &admitted);
    g_assert_true(next == NULL || admitted);
    return next;
}

static void test_slots_then_queue_then_refusal(void)
{
    struct admission admission;
    struct admission_ticket tickets[4];
    admission_init(&admission, 2, 1);
    for (int i = 0; i < 4; i++) {
        tickets[i] = ticket_of(ADMISSION_CLASS_READ, 0);
    }
    g_assert_cmpint(enter(&admission, &tickets[0]), ==, ADMISSION_ADMITTED);
    g_assert_cmpint(enter(&admission, &tickets[1]), ==, ADMISSION_ADMITTED);
    g_assert_cmpint(enter(&admission, &tickets[2]), ==, ADMISSION_QUEUED);
    g_assert_cmpint(enter(&admission, &tickets[3]), ==, ADMISSION_REFUSED);
    g_assert_true(serve_next(&admission) == &tickets[2]);
    g_assert_null(serve_next(&admission));
    admission_clear(&admission);
}

static void test_unrepeatable_writes_go_first(void)
{
    struct admission admission;
    admission_init(&admission, 1, 10);
    struct admission_ticket running = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket read = ticket_of(ADMISSION_CLASS_READ, 1);
    struct admission_ticket keyed = ticket_of(ADMISSION_CLASS_KEYED_WRITE, 1);
    struct admission_ticket commit = ticket_of(ADMISSION_CLASS_UNREPEATABLE, 1);
    enter(&admission, &running);
    enter(&admission, &read);
    enter(&admission, &keyed);
    enter(&admission, &commit);
    g_assert_true(serve_next(&admission) == &commit);
    g_assert_true(serve_next(&admission) == &keyed);
    g_assert_true(serve_next(&admission) == &read);
    admission_clear(&admission);
}

/* A tenant with many queued requests waits for another tenant's first one. */
static void test_tenants_share_equally(void)
{
    struct admission admission;
    struct admission_ticket heavy[6];
    struct admission_ticket light = ticket_of(ADMISSION_CLASS_READ, 2);
    admission_init(&admission, 1, 10);
    for (int i = 0; i < 6; i++) {
        heavy[i] = ticket_of(ADMISSION_CLASS_READ, 1);
        enter(&admission, &heavy[i]);
    }
    enter(&admission, &light);
    g_assert_true(serve_next(&admission) == &heavy[1]);
    g_assert_true(serve_next(&admission) == &light);
    g_assert_true(serve_next(&admission) == &heavy[2]);
    while (serve_next(&admission) != NULL) {
    }
    admission_clear(&admission);
}

static void test_unreachable_deadline_is_refused_at_once(void)
{
    struct admission admission;
    struct admission_ticket running = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket queued[4];
    struct admission_ticket late = ticket_of(ADMISSION_CLASS_READ, 0);
    uint32_t retry_after_ms = 0;
    admission_init(&admission, 1, 100);
    enter(&admission, &running);
    for (int i = 0; i < 4; i++) {
        queued[i] = ticket_of(ADMISSION_CLASS_READ, 0);
        enter(&admission, &queued[i]);
    }
    late.deadline = 10 * NANOSECONDS_PER_MILLISECOND;
    g_assert_cmpint(admission_enter(&admission, &late, 0, &retry_after_ms), ==, ADMISSION_REFUSED);
    g_assert_cmpuint(retry_after_ms, >=, 20);
    while (serve_next(&admission) != NULL) {
    }
    admission_clear(&admission);
}

/* A queued request waits for at most half of the time to its deadline. */
static void test_wait_is_limited_to_half_the_time(void)
{
    struct admission admission;
    struct admission_ticket running = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket too_short = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket enough = ticket_of(ADMISSION_CLASS_READ, 0);
    admission_init(&admission, 1, 100);
    enter(&admission, &running);
    /* One service time until the slot is free, and the request's own. */
    too_short.deadline = 4 * SERVICE_TIME - NANOSECONDS_PER_MILLISECOND;
    enough.deadline = 4 * SERVICE_TIME;
    g_assert_cmpint(enter(&admission, &too_short), ==, ADMISSION_REFUSED);
    g_assert_cmpint(enter(&admission, &enough), ==, ADMISSION_QUEUED);
    g_assert_true(serve_next(&admission) == &enough);
    admission_leave(&admission, SERVICE_TIME);
    admission_clear(&admission);
}

static void test_expired_in_queue_is_returned(void)
{
    struct admission admission;
    struct admission_ticket running = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket queued = ticket_of(ADMISSION_CLASS_READ, 0);
    bool admitted = true;
    admission_init(&admission, 1, 100);
    enter(&admission, &running);
    queued.deadline = NANOSECONDS_PER_SECOND;
    g_assert_cmpint(enter(&admission, &queued), ==, ADMISSION_QUEUED);
    g_assert_true(admission_next(&admission, NANOSECONDS_PER_SECOND, &admitted) == &queued);
    g_assert_false(admitted);
    g_assert_cmpuint(admission.in_flight, ==, 1);
    admission_leave(&admission, 1);
    admission_clear(&admission);
}

/* A request that would end after its deadline is not started when a slot becomes free: the slot
 * goes to the next request that can still be served. */
static void test_too_late_is_not_started(void)
{
    struct admission admission;
    struct admission_ticket running = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket late = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket in_time = ticket_of(ADMISSION_CLASS_READ, 0);
    time_ns slot_free_at = NANOSECONDS_PER_SECOND - NANOSECONDS_PER_MILLISECOND;
    bool admitted = true;
    admission_init(&admission, 1, 100);
    enter(&admission, &running);
    late.deadline = NANOSECONDS_PER_SECOND;
    g_assert_cmpint(enter(&admission, &late), ==, ADMISSION_QUEUED);
    g_assert_cmpint(enter(&admission, &in_time), ==, ADMISSION_QUEUED);
    admission_leave(&admission, SERVICE_TIME);
    g_assert_true(admission_next(&admission, slot_free_at, &admitted) == &late);
    g_assert_false(admitted);
    g_assert_true(admission_next(&admission, slot_free_at, &admitted) == &in_time);
    g_assert_true(admitted);
    admission_leave(&admission, SERVICE_TIME);
    admission_clear(&admission);
}

/* A stuck database releases no slot. Requests queued for it are refused as soon as a slot would
 * come too late. */
static void test_expired_is_taken_from_any_position(void)
{
    struct admission admission;
    struct admission_ticket running = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket long_deadline = ticket_of(ADMISSION_CLASS_READ, 0);
    struct admission_ticket short_deadline = ticket_of(ADMISSION_CLASS_READ, 0);
    time_ns last_start = NANOSECONDS_PER_SECOND - 2 * SERVICE_TIME;
    admission_init(&admission, 1, 100);
    short_deadline.deadline = NANOSECONDS_PER_SECOND;
    enter(&admission, &running);
    enter(&admission, &long_deadline);
    enter(&admission, &short_deadline);
    g_assert_null(admission_take_expired(&admission, last_start));
    g_assert_true(admission_take_expired(&admission, last_start + 1) == &short_deadline);
    g_assert_null(admission_take_expired(&admission, last_start + 1));
    g_assert_true(serve_next(&admission) == &long_deadline);
    admission_leave(&admission, 1);
    admission_clear(&admission);
}

static void test_retry_budget_is_a_ratio(void)
{
    struct retry_budget budget;
    uint32_t spent = 0;
    retry_budget_init(&budget);
    while (retry_budget_spend(&budget)) {
        spent++;
    }
    g_assert_cmpuint(spent, ==, RETRY_BUDGET_SAVED_MAX / 1000);
    for (int attempt = 0; attempt < 10; attempt++) {
        retry_budget_earn(&budget);
    }
    g_assert_true(retry_budget_spend(&budget));
    g_assert_true(retry_budget_spend(&budget));
    g_assert_false(retry_budget_spend(&budget));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/slots", test_slots_then_queue_then_refusal);
    g_test_add_func("/admission/order", test_unrepeatable_writes_go_first);
    g_test_add_func("/admission/fair", test_tenants_share_equally);
    g_test_add_func("/admission/unreachable-deadline",
                    test_unreachable_deadline_is_refused_at_once);
    g_test_add_func("/admission/wait-limit", test_wait_is_limited_to_half_the_time);
    g_test_add_func("/admission/expired", test_expired_in_queue_is_returned);
    g_test_add_func("/admission/too-late", test_too_late_is_not_started);
    g_test_add_func("/admission/take-expired", test_expired_is_taken_from_any_position);
    g_test_add_func("/retry-budget/ratio", test_retry_budget_is_a_ratio);
    return g_test_run();
}
