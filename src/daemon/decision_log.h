/* The bounded record of what became of this daemon's latest requests, for `swiftctl explain ID`:
 * which database was chosen, which were passed over and why, with the positions and terms that the
 * decision saw. In memory only; it survives nothing, by design.
 *
 * Two rings of a fixed number of entries: one of requests that were done, one of all others, so
 * that many answers push out no refusal. Each is sizeof(struct decision_record) octets an entry.
 *
 * Threads: any. An addition takes a place by one atomic addition and copies; it waits for nobody. A
 * place that is being read, or still written after a whole round, is skipped. */
#ifndef SW_DAEMON_DECISION_LOG_H
#define SW_DAEMON_DECISION_LOG_H

#include <glib.h>
#include <stdint.h>

#include "core/types.h"

/* Octets of texts, their ends included; bounds of schema/messages.json. */
#define DECISION_REQUEST_SIZE 65
#define DECISION_TENANT_SIZE  129
#define DECISION_DAEMON_SIZE  65
#define DECISION_ADDRESS_SIZE 24

/* One database as the decision saw it. */
struct decision_database {
    struct log_position applied;
    uint64_t term;
    uint32_t lag_ms; /* behind the primary */
    uint8_t reason;  /* enum route_reason: why it was passed over; NONE if it was not */
    uint8_t role;    /* enum database_role */
    bool reachable;
    bool leaving;
};

/* One request at this daemon. A plain copy: texts are inside, groups and databases by number. */
struct decision_record {
    char request_id[DECISION_REQUEST_SIZE];
    char tenant[DECISION_TENANT_SIZE];
    char served_by[DECISION_DAEMON_SIZE];     /* name of the daemon that ran it, if known */
    char forwarded_to[DECISION_ADDRESS_SIZE]; /* peer address asked last; empty: ran here */
    uint16_t served_by_admin_port; /* admin listener of `served_by`, of a forwarded request; or 0 */
    int64_t at_us;                 /* wall clock at the answer, microseconds */
    uint64_t took_us;              /* from submission to answer */
    uint32_t group;                /* 0 if none was found */
    uint32_t databases_mark;       /* of the group's database names, see decision_databases_mark */
    uint64_t view_term;            /* term of the view that the decision saw; 0 if none */
    struct log_position session;   /* what the session had seen */
    struct log_position needed;    /* what a read had to see */
    struct log_position shown;     /* what the answer may have shown, or the write's commit */
    uint32_t attempts;             /* runs at a database, or daemons asked */
    int16_t primary;               /* of the view: index, or -1 */
    int16_t database;              /* that ran it last: index, or -1 */
    uint8_t reason;                /* enum route_reason of the answer */
    uint8_t outcome;               /* enum outcome */
    uint8_t error;                 /* enum error_kind, unless done */
    uint8_t kind;                  /* enum request_kind */
    uint8_t hops;                  /* above 0: another daemon forwarded it here */
    bool read_only;
    bool replayed;          /* the outcome was found in the ledger */
    uint8_t database_count; /* entries below; 0 where no view was consulted */
    struct decision_database databases[GROUP_DATABASES_MAX];
};

struct decision_log;

/* `entries` places in each of the two rings. */
struct decision_log *decision_log_new(uint32_t entries);

/* No thread may use it any more. */
void decision_log_free(struct decision_log *log);

/* Keeps a copy of the record. */
void decision_log_add(struct decision_log *log, const struct decision_record *record);

/* Copies the records of a request, oldest first: it may have been sent more than once. An array of
 * struct decision_record, which the caller frees. */
GArray *decision_log_find(struct decision_log *log, const char *request_id);

/* Wall clock of the oldest record kept in the ring that reaches back less, microseconds; 0 while
 * nothing has been pushed out yet. */
int64_t decision_log_reaches_to(struct decision_log *log);

struct group_configuration;

/* A mark that differs where the names or order of a group's databases do: a record is not shown by
 * names that came later. */
uint32_t decision_databases_mark(const struct group_configuration *group);

#endif
