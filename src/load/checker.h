/* Judges what clients saw, and the databases' final state, against the promises made to callers.
 * Pure: the same code judges a live run and a recorded history. */
#ifndef SW_LOAD_CHECKER_H
#define SW_LOAD_CHECKER_H

#include "load/history.h"

/* The promises, by the way they can be broken. */
enum violation_kind {
    VIOLATION_LOST_WRITE,       /* acknowledged, and not in the final state */
    VIOLATION_DOUBLED_WRITE,    /* in the final state more than once */
    VIOLATION_NOT_RUN_FOUND,    /* every attempt was told not run or rolled back, and it is there */
    VIOLATION_TORN_TRANSACTION, /* one half of a batch is in the final state */
    VIOLATION_READ_YOUR_WRITES, /* a read missed a write acknowledged to its session before */
    VIOLATION_MONOTONIC_READS,  /* a read missed a row that its session had read before */
    VIOLATION_FOREIGN_ROW,      /* a read answered a row that is outside what it asked for */
    VIOLATION_REPLACED_PRIMARY, /* acknowledged in a term below one acknowledged before it began */
    VIOLATION_KIND_COUNT,
};

/* Lower-case name of a violation, as in the report. */
const char *violation_kind_name(enum violation_kind kind);

/* One broken promise. Owns its strings. */
struct violation {
    enum violation_kind kind;
    char *session;
    uint64_t operation;
    char *id;
};

/* The rows that a majority of the databases hold alike: id -> count (GUINT_TO_POINTER). */
struct final_state {
    GHashTable *entries;  /* table ledger_check, which has no unique key */
    GHashTable *bookings; /* table bookings */
};

struct final_state *final_state_new(void);
void final_state_free(struct final_state *state);

/* Counts one row of a table. */
void final_state_add(GHashTable *table, const char *id);

/* The verdict. Owned by the caller. */
struct check_report {
    GPtrArray *violations; /* struct violation * */
    uint64_t counts[VIOLATION_KIND_COUNT];
    uint64_t attempts;
    uint64_t acknowledged_writes;
    uint64_t not_run_writes; /* writes whose every attempt was told not run or rolled back */
    uint64_t reads;
    GPtrArray *unknown_ids; /* char *: writes whose outcome their client never learned */
    uint64_t unknown_found; /* of these, how many are in the final state */
};

/* Judges struct history_record pointers in any order. `state` may be NULL: then only the promises
 * on reads and terms are judged. */
struct check_report *check_history(const GPtrArray *records, const struct final_state *state);

void check_report_free(struct check_report *report);

#endif
