/**
 * @file
 * @brief A worker with stand-in databases, and clients of it that speak the line protocol over
 * loopback. The test publishes the views in place of a control thread. If owners are started, the
 * worker opens no connections to the databases and forwards to these workers.
 */
#ifndef SW_TESTS_POOLER_WORKER_FIXTURE_H
#define SW_TESTS_POOLER_WORKER_FIXTURE_H

#include <stdio.h>

#include "backend/clock.h"
#include "pooler/shared/view.h"
#include "pooler/worker/worker.h"
#include "standins/session_platform/line_group.h"

#define DATABASES      3
#define OWNERS         2
#define ANSWER_WAIT_S  10
#define MS             NANOSECONDS_PER_MILLISECOND
#define PERMIT_FOREVER UINT64_MAX

/** @brief A worker that owns the group's connections, and what it shares with its control thread.
 */
typedef struct owner {
    struct worker_shared shared;
    struct worker *worker; /* NULL: not started */
    struct group_shared *figures;
    struct member_shared *members[DATABASES];
    bool declines; /* it has no connections, so it declines statements */
} owner_t;

/* Value of rate_per_s for a limit that never has a token. */
#define RATE_NONE (-1.0)

struct fixture {
    struct line_group *group;
    struct worker_shared shared;
    struct worker *worker;
    struct group_shared *figures;
    struct member_shared *members[DATABASES];
    uint64_t epoch;
    int primary;
    uint64_t term;
    enum group_phase phase;
    uint32_t connections;
    uint32_t
        fallback_connections; /* direct fallback of the worker while it can't reach any owner */
    uint32_t staleness_ms;
    uint32_t timeout_ms;
    uint32_t own_target_ms;   /* objective of the route "own"; the others have 250 ms */
    uint32_t strict_priority; /* of the route "strict"; the others have 0, the highest */
    bool with_route;
    uint64_t version;        /* of the configuration */
    uint64_t owners_behind;  /* versions by which the owners' configuration is older */
    const char *const *keys; /* each "tenant key", ended by NULL; NULL: clients need no keys */
    const char *const *owners_keys; /* the owners' keys; NULL: the same as `keys` */
    double rate_per_s; /* limit of each tenant; 0: none, RATE_NONE: no operation is allowed */
    double burst;
    roster_t *roster; /* roster with this pooler, if operations are counted; else NULL */
    owner_t owners[OWNERS];
    bool owns;                /* the worker is an owner, too */
    unsigned evacuated;       /* bit set of databases that nothing may be sent to */
    const char *primary_zone; /* interned; NULL: not known */
    const char *owners_zone;  /* interned; NULL: not known, the first is in the worker's zone */
};

struct client {
    FILE *stream;
    unsigned next_id;
    char line[4096];
    char row[4096];    /* row of the last answer */
    char result[4096]; /* COMPLETE or ERROR line of the last answer */
    char state;        /* state of the last answer's READY line */
};

/** @brief Starts a worker without publishing a view. */
void set_up_unpublished(struct fixture *fixture, gconstpointer unused);
/** @brief Starts a worker with connections of its own, and publishes a view. */
void set_up(struct fixture *fixture, gconstpointer unused);
/** @brief Starts a worker and an owner that it forwards to, and publishes a view. */
void set_up_forwarding(struct fixture *fixture, gconstpointer unused);
void tear_down(struct fixture *fixture, gconstpointer unused);
/** @brief Starts an owner. It is part of the next view that is published. */
void start_owner(struct fixture *fixture, unsigned index);
/** @brief Stops an owner at once and closes its connections. */
void stop_owner(struct fixture *fixture, unsigned index);

/** @brief Publishes a view of the fixture's fields to all workers. */
void publish(struct fixture *fixture);
/** @brief Sets the end of the read permit at all workers. */
void permit(struct fixture *fixture, time_ns until);

/** @brief Connects a client that sends nothing yet. */
struct client *client_connect(const struct fixture *fixture);
/** @brief Connects a client without waiting for the answer. */
struct client *client_begin(const struct fixture *fixture, const char *database);
/** @brief The same with a key. */
struct client *client_begin_as(const struct fixture *fixture, const char *database,
                               const char *key);
struct client *client_open_as(const struct fixture *fixture, const char *database, const char *key);
struct client *client_open(const struct fixture *fixture, const char *database);
void client_close(struct client *client);
void send_line(struct client *client, const char *line);
void client_send(struct client *client, const char *text);
/** @brief Reads one answer up to READY or the end of the connection. */
void client_read(struct client *client);
/** @brief Executes a statement: sends it and reads the answer. */
void execute(struct client *client, const char *text);
/** @brief Executes a statement and asserts success and this transaction state. */
void expect_success(struct client *client, const char *text, char state);
/** @brief Executes a statement and asserts this error and this transaction state. */
void expect_error(struct client *client, const char *text, const char *code, char state);
/** @return the last statement that a database ran and whose text contains `text`; the test fails if
 * there is none. */
const struct line_run *find_run(GPtrArray *runs, const char *text);

#endif
