/* Output of swiftctl: a table for people, or JSON for scripts, from the same rows. */
#ifndef SW_CTL_OUTPUT_H
#define SW_CTL_OUTPUT_H

#include <json-glib/json-glib.h>

#include "ctl/command.h"

/* Rows under named columns. Used by one thread. */
struct output_table {
    const char *const *columns; /* NULL-ended; names in lower case, as in the JSON */
    guint column_count;
    GPtrArray *cells; /* text, row by row; NULL stands for nothing */
};

/* A table without rows. */
struct output_table *output_table_new(const char *const *columns);

void output_table_free(struct output_table *table);

/* Adds a cell after the last; copies the text. */
void output_table_add(struct output_table *table, const char *text);

/* As above, of a number. */
void output_table_add_number(struct output_table *table, uint64_t number);

/* Writes the rows aligned under upper-case headings. */
void output_table_write(const struct output_table *table, GString *output);

/* Writes a JSON value in lines. Takes the object. */
void output_json(JsonObject *object, GString *output);

/* Writes any JSON value for people: an object's values as rows of key and value, arrays of objects
 * as tables under the member's name. */
void output_json_as_text(JsonNode *node, GString *output);

#endif
