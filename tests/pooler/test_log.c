/**
 * @file
 * @brief Test of the log with a reader that does not read: lines are dropped and no thread blocks.
 * If the control thread blocked on the log, it would receive no new configuration while the workers
 * kept serving with the old one.
 */
#include "pooler/shared/log.h"

#include <glib.h>
#include <unistd.h>

#define LINES     5000 /* several times the capacity of a pipe */
#define TIMEOUT_S 20

static gpointer
write_lines(gpointer user)
{
    for (unsigned i = 0; i < LINES; i++) {
        g_message("Log line %u of typical length, which no process ever reads.", i);
    }
    g_atomic_int_set((gint *)user, 1);
    return NULL;
}

static void
test_unread_pipe(void)
{
    int ends[2];
    gint done = 0;
    g_assert_cmpint(pipe(ends), ==, 0);
    int output = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    pooler_log_start(1000000);
    GThread *writer = g_thread_new("writer", write_lines, &done);
    gint64 end = g_get_monotonic_time() + TIMEOUT_S * G_USEC_PER_SEC;
    while (g_atomic_int_get(&done) == 0 && g_get_monotonic_time() < end) {
        g_usleep(1000);
    }
    dup2(output, STDOUT_FILENO);
    g_assert_cmpint(g_atomic_int_get(&done), ==, 1);
    g_thread_join(writer);
    g_assert_cmpuint(pooler_log_left_out(), >, 0);
    g_assert_cmpuint(pooler_log_left_out(), <, LINES);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/log/unread-pipe", test_unread_pipe);
    return g_test_run();
}
