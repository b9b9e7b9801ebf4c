/* Output of swiftctl: a readable table, or JSON for scripts, from the same rows. */
#ifndef SW_CTL_OUTPUT_H
#define SW_CTL_OUTPUT_H

#include <json-glib/json-glib.h>

#include "ctl/command.h"

/* Rows with named columns. Used by one thread. */
struct output_table {
    const char *const *columns; /* NULL-terminated; names in lower case, as in the JSON */
    guint column_count;
    GPtrArray *cells; /* text, row by row; NULL: an empty cell */
};

/* Creates a table without rows. */
struct output_table *output_table_new(const char *const *columns);

void output_table_free(struct output_table *table);

/* Appends a cell; copies the text. */
void output_table_add(struct output_table *table, const char *text);

/* The same for a number. */
void output_table_add_number(struct output_table *table, uint64_t number);

/* Writes the rows, aligned under upper-case headings. */
void output_table_write(const struct output_table *table, GString *output);

/* Writes a JSON object on several lines. Takes ownership of it. */
void output_json(JsonObject *object, GString *output);

/* Writes any JSON value as readable text: an object's values as rows of key and value, arrays of
 * objects as tables under the member's name. */
void output_json_as_text(JsonNode *node, GString *output);

#endif
