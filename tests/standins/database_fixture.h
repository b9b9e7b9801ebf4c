/* Starts stand-in databases in the test's process and connects to them with libpq. */
#ifndef DATABASE_FIXTURE_H
#define DATABASE_FIXTURE_H

#include <libpq-fe.h>

#include "server.h"

/* Options of a primary named "a" in zone "z1", on any free port and without delays. */
struct server_options fixture_options(void);

/* Starts a server; fails the test if it can't. */
struct server *fixture_start(const struct server_options *options);

/* Starts a replica that follows `primary`. */
struct server *fixture_start_replica(const char *name, const struct server *primary);

/* "127.0.0.1:PORT" of a server. Free with g_free. */
char *fixture_address(const struct server *server);

/* Connects as a client of the given zone; the connection may have failed. */
PGconn *fixture_try_connect(const struct server *server, const char *zone);

/* Connects; fails the test if that is not possible. */
PGconn *fixture_connect(const struct server *server);

/* Runs one query and returns its result, successful or not. */
PGresult *fixture_query(PGconn *connection, const char *sql);

/* Runs SQL that must succeed. */
void fixture_run(PGconn *connection, const char *sql);

/* Runs SQL that must fail with this SQLSTATE. */
void fixture_run_failing(PGconn *connection, const char *sql, const char *sqlstate);

/* Runs SQL and checks the command tag. */
void fixture_run_tag(PGconn *connection, const char *sql, const char *tag);

/* The single value that a query returns; "" for NULL. Free with g_free. */
char *fixture_value(PGconn *connection, const char *sql);

/* Checks the single value that a query returns. */
void fixture_expect(PGconn *connection, const char *sql, const char *expected);

#endif
