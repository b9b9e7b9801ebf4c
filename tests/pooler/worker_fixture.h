/**
 * @file
 * @brief A worker before stand-in databases, and clients that speak the line format to it over
 * loopback. The test publishes the views that the control thread would. With an owner, the worker
 * holds no connections to the databases, and forwards to a second worker that does.
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
    bool declines; /* it has no connections either */
} owner_t;

/* Of a limit that never has a token. */
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
    uint32_t fallback_connections; /* of the worker, while it reaches no owner */
    uint32_t staleness_ms;
    uint32_t timeout_ms;
    uint32_t own_target_ms;   /* objective of the route "own"; the others have 250 ms */
    uint32_t strict_priority; /* of the route "strict"; the others have 0, the most urgent */
    bool with_route;
    uint64_t version;        /* of the configuration */
    uint64_t owners_behind;  /* by so many versions the owners' configuration is older */
    const char *const *keys; /* "tenant key" each, NULL at the end; NULL: clients need no keys */
    const char *const *owners_keys; /* the same, as the owners know them; NULL: as all */
    double rate_per_s;              /* of each tenant; 0: not limited, RATE_NONE: limited to none */
    double burst;
    roster_t *roster; /* of the pooler itself, where operations are counted */
    owner_t owners[OWNERS];
    bool owns;                /* the worker is an owner as well, beside those that run */
    unsigned evacuated;       /* of the databases, as bits: nothing may be sent to them */
    const char *primary_zone; /* interned; NULL: not known */
    const char *owners_zone;  /* the same; NULL: not known, the first is in the worker's */
};

struct client {
    FILE *stream;
    unsigned next_id;
    char line[4096];
    char row[4096];    /* of the last answer */
    char result[4096]; /* its COMPLETE or ERROR line */
    char state;        /* of its READY */
};

/** @brief Starts a worker that has no view yet. */
void set_up_unpublished(struct fixture *fixture, gconstpointer unused);
/** @brief Starts a worker that holds connections. */
void set_up(struct fixture *fixture, gconstpointer unused);
/** @brief Starts a worker that forwards to one owner. */
void set_up_forwarding(struct fixture *fixture, gconstpointer unused);
void tear_down(struct fixture *fixture, gconstpointer unused);
/** @brief Starts an owner; the next view names it. */
void start_owner(struct fixture *fixture, unsigned index);
/** @brief Ends an owner at once: its connections close. */
void stop_owner(struct fixture *fixture, unsigned index);

/** @brief Publishes what the fixture says to all workers. */
void publish(struct fixture *fixture);
/** @brief Permits reads at the primary until then, at all workers. */
void permit(struct fixture *fixture, time_ns until);

/** @brief Connects without waiting for an answer. */
struct client *client_begin(const struct fixture *fixture, const char *database);
/** @brief The same with a key. */
struct client *client_begin_as(const struct fixture *fixture, const char *database,
                               const char *key);
struct client *client_open_as(const struct fixture *fixture, const char *database, const char *key);
struct client *client_open(const struct fixture *fixture, const char *database);
void client_close(struct client *client);
void send_line(struct client *client, const char *line);
void client_send(struct client *client, const char *text);
/** @brief Reads one answer up to READY, or up to a final error. */
void client_read(struct client *client);
void ask(struct client *client, const char *text);
/** @brief Asks and expects success in this state. */
void good(struct client *client, const char *text, char state);
/** @brief Asks and expects this error in this state. */
void bad(struct client *client, const char *text, const char *code, char state);
/** @return the newest run of a text that holds this one; the test fails if there is none. */
const struct line_run *find_run(GPtrArray *runs, const char *text);

#endif
