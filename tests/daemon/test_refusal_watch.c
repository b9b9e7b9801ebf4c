/* Refusal storms in virtual time: when they begin and end, and what does not count as one. */
#include <glib.h>

#include "daemon/refusal_watch.h"

static void refuse(struct refusal_watch *watch, enum error_kind kind, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        refusal_watch_count(watch, kind);
    }
}

/* Checks at a second of virtual time. */
static struct refusal_event check(struct refusal_watch *watch, uint64_t second)
{
    return refusal_watch_check(watch, second * NANOSECONDS_PER_SECOND);
}

static void test_storm(void)
{
    struct refusal_watch watch = {0};
    refuse(&watch, ERROR_KIND_OVERLOADED, REFUSALS_BEGIN_PER_SECOND - 1);
    g_assert_cmpint(check(&watch, 1).change, ==, REFUSAL_CHANGE_NONE);
    refuse(&watch, ERROR_KIND_OVERLOADED, 20);
    refuse(&watch, ERROR_KIND_NO_PRIMARY, 30);
    struct refusal_event event = check(&watch, 2);
    g_assert_cmpint(event.change, ==, REFUSAL_CHANGE_BEGAN);
    g_assert_cmpuint(event.count, ==, 50);
    g_assert_cmpint(event.most_frequent, ==, ERROR_KIND_NO_PRIMARY);
    refuse(&watch, ERROR_KIND_OVERLOADED, REFUSALS_END_PER_SECOND);
    g_assert_cmpint(check(&watch, 3).change, ==, REFUSAL_CHANGE_NONE);
    refuse(&watch, ERROR_KIND_OVERLOADED, REFUSALS_END_PER_SECOND + 5);
    for (uint64_t second = 4; second < 4 + REFUSALS_END_SECONDS; second++) {
        g_assert_cmpint(check(&watch, second).change, ==, REFUSAL_CHANGE_NONE);
    }
    event = check(&watch, 4 + REFUSALS_END_SECONDS);
    g_assert_cmpint(event.change, ==, REFUSAL_CHANGE_ENDED);
    g_assert_cmpuint(event.count, ==, 75);
    g_assert_cmpuint(event.seconds, ==, 3);
    g_assert_cmpint(event.most_frequent, ==, ERROR_KIND_OVERLOADED);
    g_assert_cmpint(check(&watch, 30).change, ==, REFUSAL_CHANGE_NONE);
}

/* Refusals that are the caller's fault do not count, and a check within the same second sees
 * nothing. */
static void test_no_storm(void)
{
    struct refusal_watch watch = {0};
    refuse(&watch, ERROR_KIND_BAD_REQUEST, 1000);
    refuse(&watch, ERROR_KIND_KEY_REUSED, 1000);
    g_assert_cmpint(check(&watch, 1).change, ==, REFUSAL_CHANGE_NONE);
    refuse(&watch, ERROR_KIND_DEADLINE, REFUSALS_BEGIN_PER_SECOND);
    g_assert_cmpint(check(&watch, 1).change, ==, REFUSAL_CHANGE_NONE);
    g_assert_cmpint(check(&watch, 2).change, ==, REFUSAL_CHANGE_BEGAN);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemon/refusal_watch/storm", test_storm);
    g_test_add_func("/daemon/refusal_watch/no_storm", test_no_storm);
    return g_test_run();
}
