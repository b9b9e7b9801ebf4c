/**
 * @file
 * @brief Concurrency window of a database by its refusals: multiplicative decrease and additive
 * increase as in congestion control, so that poolers that share a database converge to its slots.
 */
#include "pooler/worker/worker_internal.h"

#define MS      NANOSECONDS_PER_MILLISECOND
#define SERVERS 20

typedef struct fixture {
    struct database *database;
    struct server servers[SERVERS];
    time_ns now;
} fixture_t;

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->now = 100 * NANOSECONDS_PER_SECOND;
    fixture->database = database_new(NULL, NULL);
    for (unsigned i = 0; i < SERVERS; i++) {
        g_ptr_array_add(fixture->database->servers, &fixture->servers[i]);
    }
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    database_free(fixture->database);
}

static void
set_running(fixture_t *fixture, unsigned statements)
{
    for (unsigned i = 0; i < SERVERS; i++) {
        fixture->servers[i].state = i < statements ? SERVER_RUNNING : SERVER_RESERVED;
    }
}

/* Before a refusal there is no limit, and an idle transaction does not count. */
static void
test_open(fixture_t *fixture, gconstpointer unused)
{
    set_running(fixture, SERVERS);
    g_assert_true(database_has_capacity(fixture->database, 0, fixture->now));
    database_narrow_window(fixture->database, fixture->now);
    g_assert_false(database_has_capacity(fixture->database, 0, fixture->now));
    set_running(fixture, 0);
    g_assert_true(database_has_capacity(fixture->database, 0, fixture->now));
}

/* Refusals at about the same time narrow the window once. One statement is always allowed. */
static void
test_narrows(fixture_t *fixture, gconstpointer unused)
{
    set_running(fixture, 10);
    database_narrow_window(fixture->database, fixture->now);
    database_narrow_window(fixture->database, fixture->now + 10 * MS);
    set_running(fixture, 6);
    g_assert_true(database_has_capacity(fixture->database, 0, fixture->now));
    set_running(fixture, 7);
    g_assert_false(database_has_capacity(fixture->database, 0, fixture->now));
    for (unsigned i = 1; i < 20; i++) {
        database_narrow_window(fixture->database, fixture->now + i * 100 * MS);
    }
    set_running(fixture, 0);
    g_assert_true(database_has_capacity(fixture->database, 0, fixture->now));
    set_running(fixture, 1);
    g_assert_false(database_has_capacity(fixture->database, 0, fixture->now));
}

/* Answers widen the window, by about one statement for each two rounds, until it does not limit. */
static void
test_widens(fixture_t *fixture, gconstpointer unused)
{
    set_running(fixture, 4);
    database_narrow_window(fixture->database, fixture->now);
    set_running(fixture, 5);
    g_assert_false(database_has_capacity(fixture->database, 0, fixture->now));
    for (unsigned i = 0; i < 40; i++) {
        database_note_statement_answer(fixture->database, 0, fixture->now);
    }
    g_assert_true(database_has_capacity(fixture->database, 0, fixture->now));
    set_running(fixture, 10);
    g_assert_false(database_has_capacity(fixture->database, 0, fixture->now));
    for (unsigned i = 0; i < 10000; i++) {
        database_note_statement_answer(fixture->database, 0, fixture->now);
    }
    set_running(fixture, SERVERS);
    g_assert_true(database_has_capacity(fixture->database, 0, fixture->now));
}

#define ADD(name, test)                                                                            \
    g_test_add("/pooler/database/" name, fixture_t, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("open", test_open);
    ADD("narrows", test_narrows);
    ADD("widens", test_widens);
    return g_test_run();
}
