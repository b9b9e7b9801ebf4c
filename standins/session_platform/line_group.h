/* Stand-in for one group of databases that speak the platform's line format: a primary and replicas
 * in one thread, with terms, positions, pauses, promotion and faults. Replication is instant unless
 * a fault says otherwise. A read of the thing "service" tells the group's name. All functions may
 * be called by the test's thread. */
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

/* What a database does wrong at the moment. */
struct line_faults {
    bool down;                 /* refuses connections and has closed those it had */
    bool unresponsive;         /* takes what is sent and answers nothing */
    bool lose_answers;         /* runs statements, and never answers on that connection again */
    bool no_replication;       /* receives nothing from the primary */
    bool lagging;              /* receives, but does not apply */
    unsigned slow_ms;          /* each statement takes so long, one after the other */
    bool busy;                 /* refuses statements for want of slots */
    bool unrecorded;           /* its record in the store is not renewed */
    bool draining;             /* its record says that it will leave */
    bool gone;                 /* its record is taken away */
    unsigned connection_limit; /* resets connections beyond so many; 0: takes any number */
};

/* One statement that a database ran. */
struct line_run {
    unsigned database;
    unsigned connection; /* counts connections of the group */
    char *id;
    char *text;
    char *tenant; /* as named at the connection's start */
    char *values; /* "name=value;" sorted by name, as they were in force */
    char *shape;  /* of a prepared statement, else "" */
    gint64 at_us; /* of the monotonic clock */
};

struct line_group;

/* Starts `count` databases at free ports of 127.0.0.1; the first one leads term 1. */
struct line_group *line_group_start(const char *service, unsigned count, unsigned sync_replicas);
void line_group_stop(struct line_group *group);

const char *line_group_id(const struct line_group *group, unsigned database);
uint16_t line_group_port(const struct line_group *group, unsigned database);
void line_group_set_faults(struct line_group *group, unsigned database,
                           const struct line_faults *faults);
/* Sets how many statements a database runs at once and how fast. Only statements that name a time
 * for their work ("thing@15": 15 ms) take a slot, for `pace` times that time. More wait for a slot
 * for a while, then are answered BUSY. */
void line_group_set_slots(struct line_group *group, unsigned database, unsigned slots,
                          unsigned pace);
/* True if that database leads, as it sees itself. */
bool line_group_leads(struct line_group *group, unsigned database);
/* The one that leads the newest term. */
const char *line_group_leader(struct line_group *group);
uint64_t line_group_term(struct line_group *group, unsigned database);
uint64_t line_group_paused(struct line_group *group, unsigned database);
/* Lets the named database lead the next term, as the promotion call does. False if it is down. */
bool line_group_promote(struct line_group *group, const char *id);
/* Turns it into a replica of its term. */
void line_group_demote(struct line_group *group, unsigned database);

/* Lets it start again under its id without its log: connections break, and what it holds is gone.
 * It leads if it did. */
void line_group_lose_log(struct line_group *group, unsigned database);

/* A copy of the runs so far; the caller frees it by g_ptr_array_unref. */
GPtrArray *line_group_runs(struct line_group *group);
/* Every run so far and the newest leader's log as lines of JSON: {"run": ...} and {"commit": ...}.
 */
void line_group_dump(struct line_group *group, FILE *out);
/* How often the primary's log holds a write of this text that was committed. */
unsigned line_group_committed(struct line_group *group, const char *thing, const char *data);
unsigned line_group_connections(struct line_group *group, unsigned database);

#endif
