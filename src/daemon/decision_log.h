/* A bounded record of how this daemon handled its latest requests, for `swiftctl explain ID`: which
 * database was chosen, which were rejected and why, with the positions and terms known at the
 * decision. It is kept in memory only and lost at a restart, by design.
 *
 * There are two rings of a fixed number of entries, one for requests that were done and one for all
 * others, so that many successful requests do not evict the refusals. Each entry takes
 * sizeof(struct decision_record) bytes.
 *
 * Any thread. An addition claims an entry with one atomic addition, copies the record, and never
 * blocks. It skips an entry that is being read, or that an addition one full round earlier is still
 * writing. */
#ifndef SW_DAEMON_DECISION_LOG_H
#define SW_DAEMON_DECISION_LOG_H

#include <glib.h>
#include <stdint.h>

#include "core/types.h"

/* Bytes of texts, including the terminating NUL; the limits of schema/messages.json. */
#define DECISION_REQUEST_SIZE 65
#define DECISION_TENANT_SIZE  129
#define DECISION_DAEMON_SIZE  65
#define DECISION_ADDRESS_SIZE 24

/* One database as seen at the decision. */
struct decision_database {
    struct log_position applied;
    uint64_t term;
    uint32_t lag_ms; /* behind the primary */
    uint8_t reason;  /* enum route_reason: why it was rejected; NONE if it was not */
    uint8_t role;    /* enum database_role */
    bool reachable;
    bool leaving;
};

/* One request at this daemon. Plain data without pointers: texts are embedded, groups and databases
 * are numbers. */
struct decision_record {
    char request_id[DECISION_REQUEST_SIZE];
    char tenant[DECISION_TENANT_SIZE];
    char served_by[DECISION_DAEMON_SIZE];     /* name of the daemon that ran it, if known */
    char forwarded_to[DECISION_ADDRESS_SIZE]; /* last peer tried; empty: ran here */
    uint16_t served_by_admin_port; /* admin port of `served_by` for a forwarded request; or 0 */
    int64_t at_us;                 /* wall clock at the answer, microseconds */
    uint64_t took_us;              /* time from submission to answer */
    uint32_t group;                /* 0 if unknown */
    uint32_t databases_mark;       /* of the group's database names, see decision_databases_mark */
    uint64_t view_term;            /* term of the view used for the decision; 0 if none */
    struct log_position session;   /* position that the session had seen */
    struct log_position needed;    /* position that a read had to see */
    struct log_position shown;     /* newest position that the answer may show, or the commit's */
    uint32_t attempts;             /* runs at a database, or forwardings */
    int16_t primary;               /* index in the view, or -1 */
    int16_t database;              /* index of the database that ran it last, or -1 */
    uint8_t reason;                /* enum route_reason of the answer */
    uint8_t outcome;               /* enum outcome */
    uint8_t error;                 /* enum error_kind, unless done */
    uint8_t kind;                  /* enum request_kind */
    uint8_t hops;                  /* above 0: another daemon forwarded it here */
    bool read_only;
    bool replayed;          /* the outcome came from the ledger */
    uint8_t database_count; /* entries below; 0 if no view was used */
    struct decision_database databases[GROUP_DATABASES_MAX];
};

struct decision_log;

/* Creates a log of `entries` entries in each of the two rings. */
struct decision_log *decision_log_new(uint32_t entries);

/* Requires that no thread uses the log. */
void decision_log_free(struct decision_log *log);

/* Keeps a copy of the record. */
void decision_log_add(struct decision_log *log, const struct decision_record *record);

/* Copies the records of a request, oldest first: it may have been sent more than once. An array of
 * struct decision_record, which the caller frees. */
GArray *decision_log_find(struct decision_log *log, const char *request_id);

/* Wall-clock time in microseconds of the oldest record, in the ring that covers the shorter time; 0
 * while no record has been overwritten. */
int64_t decision_log_oldest_at(struct decision_log *log);

struct group_configuration;

/* A hash of the names and order of a group's databases. A record whose mark differs from the
 * current one is not shown with the current names. */
uint32_t decision_databases_mark(const struct group_configuration *group);

#endif
