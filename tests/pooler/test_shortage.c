/**
 * @file
 * @brief Reports of shortages to operators: one start and one end for each shortage, also if the
 * load comes in bursts.
 */
#include "pooler/routing/shortage.h"

#include <glib.h>

#define MS    NANOSECONDS_PER_MILLISECOND
#define START (100 * NANOSECONDS_PER_SECOND)

/* Eight seconds of bursts with refusals in half of each second, checked every 50 ms, are one
 * shortage. */
static void
test_bursts_are_one_shortage(void)
{
    shortage_t shortage = {0};
    unsigned started = 0;
    unsigned ended = 0;
    for (unsigned i = 0; i < 400; i++) {
        time_ns now = START + i * 50 * MS;
        bool refused = i < 160 && i % 20 < 10;
        started += refused && shortage_refused(&shortage, i % 2 == 0 ? 2 : 9, now);
        ended += shortage_over(&shortage, now);
    }
    g_assert_cmpuint(started, ==, 1);
    g_assert_cmpuint(ended, ==, 1);
    g_assert_cmpuint(shortage.refused[2], ==, 40);
    g_assert_cmpuint(shortage.refused[SHORTAGE_PRIORITIES - 1], ==, 40);
    g_assert_true(shortage_refused(&shortage, 0, START + 60 * NANOSECONDS_PER_SECOND));
    g_assert_cmpuint(shortage.refused[2], ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/shortage/bursts", test_bursts_are_one_shortage);
    return g_test_run();
}
