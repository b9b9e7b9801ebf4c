/* Common parts of the back-end tests: in-process stand-in databases, connections to them, and
 * statements. */
#ifndef BACKEND_FIXTURE_H
#define BACKEND_FIXTURE_H

#include "backend/adapter.h"
#include "backend/connection.h"
#include "backend/clock.h"
#include "database_fixture.h"

#define FIXTURE_MEMBERS_MAX 5

/* A group of in-process databases. The first is the primary, the others replicate from it. */
struct backend_group {
    struct server *servers[FIXTURE_MEMBERS_MAX];
    uint32_t count;
};

struct backend_group backend_group_start(uint32_t count);
void backend_group_stop(struct backend_group *group);

/* Connection settings for a server, as a daemon of zone z1 uses them. */
struct connection_settings backend_settings(const struct server *server);

/* Deadline that no working call reaches, but which ends a hung test (60 s). */
time_ns backend_test_deadline(void);

/* Deadline `milliseconds` from now. */
time_ns backend_deadline_in(uint32_t milliseconds);

/* Opens a connection; fails the test if that fails. */
struct backend_connection *backend_open(const struct server *server);

/* Makes a statement without parameters. Its strings are not owned. */
struct sql_statement backend_statement(const char *sql);

/* Runs one write without a key, which must succeed. */
void backend_write(const struct server *server, const char *sql);

/* The single value that a query returns at this server, read by a plain client. Free with g_free.
 */
char *backend_value(const struct server *server, const char *sql);

/* Checks the value that backend_value returns. */
void backend_expect(const struct server *server, const char *sql, const char *expected);

/* Injects a fault into the next answer to a statement that contains `match`. */
void backend_plan_fault(struct server *server, enum answer_fault fault, const char *match);

#define assert_result(actual, expected)                                                            \
    g_assert_cmpstr(execute_result_name(actual), ==, execute_result_name(expected))

#endif
