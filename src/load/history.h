/* The history of a client: one record for each attempt of an operation, written as a line of JSON.
 * The checker and the summary use these records only, so a recorded history can be checked again
 * later. */
#ifndef SW_LOAD_HISTORY_H
#define SW_LOAD_HISTORY_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/errors.h"

enum operation_kind {
    OPERATION_READ,  /* reads the ids of one range */
    OPERATION_ENTRY, /* one insert, as a single statement */
    OPERATION_BATCH, /* the inserts of one booking, as one transaction */
};

/* The outcome of an attempt, as far as the client knows it. */
enum attempt_outcome {
    ATTEMPT_DONE,
    ATTEMPT_REFUSED,  /* answered "not run" */
    ATTEMPT_FAILED,   /* answered "rolled back" */
    ATTEMPT_UNKNOWN,  /* answered "outcome unknown" */
    ATTEMPT_NOT_SENT, /* no connection, so nothing was sent */
    ATTEMPT_LOST,     /* sent, but without a complete answer */
    ATTEMPT_OUTCOME_COUNT,
};

/* The daemon and database that served a request, from the answer's header. */
struct served_by {
    char *daemon;   /* NULL if not given */
    char *database; /* NULL if not given */
    char *role;     /* "primary", "replica" or NULL */
    uint64_t term;
    uint64_t offset;
};

/* One attempt. Owns its strings. Times are CLOCK_MONOTONIC, in nanoseconds. */
struct history_record {
    char *session;
    char *tenant;
    uint64_t operation; /* number within the session */
    uint32_t attempt;   /* from 0, within the operation */
    enum operation_kind kind;
    char *id;    /* of a write: the id it inserts; NULL for a read */
    char *range; /* prefix of the ids that the operation reads or writes */
    char *key;   /* idempotency key, or NULL */
    char *address;
    uint64_t due_ns; /* when the operation was due; 0 without a schedule */
    uint64_t sent_ns;
    uint64_t answered_ns;
    enum attempt_outcome outcome;
    char *error;            /* error kind, or NULL */
    enum error_retry retry; /* whether the answer allows a retry */
    uint32_t retry_after_ms;
    struct served_by served_by;
    GPtrArray *rows; /* char *: ids returned by a read; NULL unless it succeeded */
};

struct history_record *history_record_new(void);
void history_record_free(struct history_record *record);

/* True for a kind of operation that inserts rows. */
bool operation_is_write(enum operation_kind kind);

/* The names used in the JSON. The parsers return false for an unknown name. */
const char *operation_kind_name(enum operation_kind kind);
const char *attempt_outcome_name(enum attempt_outcome outcome);
bool attempt_outcome_parse(const char *name, enum attempt_outcome *outcome);
const char *error_retry_name(enum error_retry retry);
bool error_retry_parse(const char *name, enum error_retry *retry);

/* One line of JSON without its line end. The caller frees it. */
char *history_record_to_json(const struct history_record *record);

/* Parses one line. NULL with SW_ERROR / ERROR_KIND_BAD_REQUEST if it is not a valid record. */
struct history_record *history_record_from_json(const char *line, GError **error);

/* Appends the records of a file to `records` (struct history_record *). An error names the line. */
bool history_read_file(const char *path, GPtrArray *records, GError **error);

#endif
