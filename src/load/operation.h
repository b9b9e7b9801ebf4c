/* One operation of a session, as SQL that both the HTTP API and libpq can carry. */
#ifndef SW_LOAD_OPERATION_H
#define SW_LOAD_OPERATION_H

#include "load/history.h"

#define OPERATION_STATEMENTS_MAX 2
#define OPERATION_PARAMETERS_MAX 4

/* A parameter in text form. */
struct operation_parameter {
    char *text;
    bool is_number;
};

struct operation_statement {
    const char *sql; /* static */
    uint32_t parameter_count;
    struct operation_parameter parameters[OPERATION_PARAMETERS_MAX];
};

/* An operation and its idempotency key. Owns its strings. */
struct operation {
    uint64_t number;
    enum operation_kind kind;
    char *id;    /* NULL for a read */
    char *range; /* prefix of the ids it reads or writes */
    char *key;   /* idempotency key, or NULL */
    uint32_t statement_count;
    struct operation_statement statements[OPERATION_STATEMENTS_MAX];
};

/* The statements that create the operations' tables. */
extern const char *const OPERATION_SCHEMA[];
extern const size_t OPERATION_SCHEMA_COUNT;

/* Reads the ids with the prefix `range`, which ends in '/'. */
struct operation *operation_read_new(uint64_t number, const char *range);

/* Inserts `id` as one statement. */
struct operation *operation_entry_new(uint64_t number, const char *range, const char *id);

/* Inserts the booking `id` of `session` as one transaction of two statements. */
struct operation *operation_batch_new(uint64_t number, const char *range, const char *id,
                                      const char *session);

void operation_free(struct operation *operation);

#endif
