/* Checks what clients observed, and the databases' final state, against the guarantees given to
 * callers. Without side effects: the same code checks a live run and a recorded history. */
#ifndef SW_LOAD_CHECKER_H
#define SW_LOAD_CHECKER_H

#include "load/history.h"

/* The kinds of violation. */
enum violation_kind {
    VIOLATION_LOST_WRITE,    /* an acknowledged write is missing from the final state */
    VIOLATION_DOUBLED_WRITE, /* a write is in the final state more than once */
    VIOLATION_NOT_RUN_FOUND, /* a write is in the final state though each attempt was answered "not
                                run" or "rolled back" */
    VIOLATION_TORN_TRANSACTION, /* only one half of a batch is in the final state */
    VIOLATION_READ_YOUR_WRITES, /* a read missed a write that its session had an acknowledgement for
                                 */
    VIOLATION_MONOTONIC_READS,  /* a read missed a row that its session had read before */
    VIOLATION_FOREIGN_ROW,      /* a read returned a row outside the requested range */
    VIOLATION_REPLACED_PRIMARY, /* a write was acknowledged in a lower term than one acknowledged
                                   before it began */
    VIOLATION_KIND_COUNT,
};

/* Lower-case name of a violation, as in the report. */
const char *violation_kind_name(enum violation_kind kind);

/* One violation. Owns its strings. */
struct violation {
    enum violation_kind kind;
    char *session;
    uint64_t operation;
    char *id;
};

/* The rows that a majority of the databases hold identically: id -> count (GUINT_TO_POINTER). */
struct final_state {
    GHashTable *entries;  /* table ledger_check, which has no unique key */
    GHashTable *bookings; /* table bookings */
};

struct final_state *final_state_new(void);
void final_state_free(struct final_state *state);

/* Counts one row of a table. */
void final_state_add(GHashTable *table, const char *id);

/* The result of a check. Owned by the caller. */
struct check_report {
    GPtrArray *violations; /* struct violation * */
    uint64_t counts[VIOLATION_KIND_COUNT];
    uint64_t attempts;
    uint64_t acknowledged_writes;
    uint64_t
        not_run_writes; /* writes of which each attempt was answered "not run" or "rolled back" */
    uint64_t reads;
    GPtrArray *unknown_ids; /* char *: writes whose client did not learn the outcome */
    uint64_t unknown_found; /* number of these in the final state */
};

/* Checks struct history_record pointers in any order. `state` may be NULL: then only the guarantees
 * on reads and terms are checked. */
struct check_report *check_history(const GPtrArray *records, const struct final_state *state);

void check_report_free(struct check_report *report);

#endif
