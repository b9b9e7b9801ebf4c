/* Parameters, results and errors of a statement, in the form that the engine and the protocol
 * exchange. */
#ifndef STANDIN_DATABASE_RESULT_H
#define STANDIN_DATABASE_RESULT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* PostgreSQL's type OIDs that the stand-in uses. */
#define OID_BOOL   16
#define OID_INT8   20
#define OID_INT2   21
#define OID_INT4   23
#define OID_TEXT   25
#define OID_FLOAT4 700
#define OID_FLOAT8 701
#define OID_RECORD 2249

/* Text values of $1, $2, ...; a NULL pointer is SQL NULL. */
struct parameters {
    GPtrArray *values; /* owned char * */
    GArray *oids;      /* guint, as the client declared them (0 is unknown) */
};

struct parameters *parameters_new(void);
void parameters_add(struct parameters *parameters, const char *value, guint oid);
struct parameters *parameters_copy(const struct parameters *source);
void parameters_free(struct parameters *parameters);

/* The value of a function's argument as written in SQL: $n, 'text', or any other word, taken
 * literally. NULL if the argument is null or missing. The caller frees it. */
char *parameters_argument(const struct parameters *parameters, const char *raw);

/* Columns and rows of a result. A statement without rows has no columns. */
struct result {
    GPtrArray *names; /* owned char *: column names */
    GArray *oids;     /* guint: column types */
    GPtrArray *cells; /* owned char *, row after row; NULL is SQL NULL */
    uint64_t rows;
    uint64_t changes; /* rows written */
};

void result_init(struct result *result);
void result_clear(struct result *result);
void result_add_column(struct result *result, const char *name, guint oid);
void result_add_text(struct result *result, const char *text);
void result_add_int(struct result *result, uint64_t number);
void result_add_bool(struct result *result, bool value);

/* The contents of an ErrorResponse. `sqlstate` is empty while there is no error. */
struct sql_error {
    char sqlstate[6];
    char *message;
    int position; /* in characters from 1; 0 if unknown */
};

/* Sets the error and returns false, so that callers can return it. */
bool sql_error_set(struct sql_error *error, const char *sqlstate, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
void sql_error_clear(struct sql_error *error);

#endif
