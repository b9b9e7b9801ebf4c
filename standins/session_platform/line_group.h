/* Stand-in for one group of databases that speak the platform's line format: a primary and
 * replicas, served by one thread, with terms, positions, pauses, promotion and injected faults.
 * Replication is instant unless a fault prevents it. A read of the thing "service" returns the
 * group's name. All functions may be called from the test's thread. */
#ifndef SW_STANDINS_LINE_GROUP_H
#define SW_STANDINS_LINE_GROUP_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define LINE_GROUP_MAX       5
#define LINE_GROUP_SLOTS     6 /* unless line_group_set_slots() sets others */
#define LINE_GROUP_SLOTS_MAX 16

/* Faults injected into a database. */
struct line_faults {
    bool down;           /* refuses connections; open ones were closed */
    bool unresponsive;   /* reads requests and answers none */
    bool lose_answers;   /* runs statements and does not answer them, nor any later one on that
                            connection */
    bool no_completion;  /* ends statements of clients with READY alone */
    bool no_replication; /* copies no log from the primary; as a primary, it is not copied from */
    bool lagging;        /* receives the log but does not apply it */
    unsigned slow_ms;    /* each statement takes this long, one after the other */
    bool busy;           /* refuses statements with BUSY, as without a free slot */
    bool unrecorded;     /* its record in the store is not renewed */
    bool draining;       /* its record announces that it will leave */
    bool gone;           /* its record is deleted */
    unsigned connection_limit; /* closes connections above this number; 0: no limit */
};

/* One statement that a database ran. */
struct line_run {
    unsigned database;
    unsigned connection; /* number of the connection, counted over the group */
    char *id;
    char *text;
    char *tenant; /* as named at the connection's start */
    char *values; /* "name=value;" sorted by name, as set when the statement ran */
    char *shape;  /* of a prepared statement, else "" */
    gint64 at_us; /* monotonic clock */
};

struct line_group;

/* Starts `count` databases at free ports of 127.0.0.1. The first one is primary of term 1. A write
 * is answered once `sync_replicas` replicas have received it. */
struct line_group *line_group_start(const char *service, unsigned count, unsigned sync_replicas);
void line_group_stop(struct line_group *group);

const char *line_group_id(const struct line_group *group, unsigned database);
uint16_t line_group_port(const struct line_group *group, unsigned database);
void line_group_set_faults(struct line_group *group, unsigned database,
                           const struct line_faults *faults);
/* Sets how many statements a database runs at once, and the factor by which their durations are
 * multiplied. Only statements that name a duration ("thing@15": 15 ms) take a slot. A statement
 * waits for a slot for up to 100 ms, then it gets BUSY. */
void line_group_set_slots(struct line_group *group, unsigned database, unsigned slots,
                          unsigned time_factor);
/* True if the database takes itself for the primary. */
bool line_group_leads(struct line_group *group, unsigned database);
/* The id of the database that leads the newest term. */
const char *line_group_leader(struct line_group *group);
uint64_t line_group_term(struct line_group *group, unsigned database);
uint64_t line_group_paused(struct line_group *group, unsigned database);
/* Makes the named database the primary of the next term, as the promotion call does. False if it is
 * down. */
bool line_group_promote(struct line_group *group, const char *id);
/* Turns the database into a replica without a change of its term. */
void line_group_demote(struct line_group *group, unsigned database);

/* Restarts the database under its id with an empty log: its connections break and its data is lost.
 * It is primary again if it was. */
void line_group_lose_log(struct line_group *group, unsigned database);

/* A copy of the statements run so far; the caller frees it with g_ptr_array_unref. */
GPtrArray *line_group_runs(struct line_group *group);
/* Writes every statement run so far and the log of the newest leader as lines of JSON: {"run": ...}
 * and {"commit": ...}. */
void line_group_dump(struct line_group *group, FILE *out);
/* How many committed writes of this text the log of the newest leader holds. */
unsigned line_group_committed(struct line_group *group, const char *thing, const char *data);
unsigned line_group_connections(struct line_group *group, unsigned database);

#endif
