/* What the tests of the back end share: stand-in databases in the test's process, connections to
 * them, and statements. */
#ifndef BACKEND_FIXTURE_H
#define BACKEND_FIXTURE_H

#include "backend/adapter.h"
#include "backend/connection.h"
#include "backend/clock.h"
#include "database_fixture.h"

#define FIXTURE_MEMBERS_MAX 5

/* A group of in-process databases; the first is the primary, the others follow it. */
struct backend_group {
    struct server *servers[FIXTURE_MEMBERS_MAX];
    uint32_t count;
};

struct backend_group backend_group_start(uint32_t count);
void backend_group_stop(struct backend_group *group);

/* Settings to connect to a server as a daemon of zone z1. */
struct connection_settings backend_settings(const struct server *server);

/* Far enough away that a working call never meets it, and near enough to end a hung test. */
time_ns backend_far(void);

/* `milliseconds` from now. */
time_ns backend_in(uint32_t milliseconds);

/* Opens; fails the test if it can't. */
struct backend_connection *backend_open(const struct server *server);

/* A statement without parameters. Its strings are not owned. */
struct sql_statement backend_statement(const char *sql);

/* Runs one unkeyed write that must succeed. */
void backend_write(const struct server *server, const char *sql);

/* The single value a query gives at this server, by a plain client. Free with g_free. */
char *backend_value(const struct server *server, const char *sql);

/* Checks it. */
void backend_expect(const struct server *server, const char *sql, const char *expected);

/* Plans what becomes of the next answer to a statement that contains `match`. */
void backend_fault(struct server *server, enum answer_fault fault, const char *match);

#define assert_result(actual, expected)                                                            \
    g_assert_cmpstr(execute_result_name(actual), ==, execute_result_name(expected))

#endif
