/* Typed reading of JSON values. Each value is read with its path, so that a fault names its
 * position in the file. Independent of the content of a bundle. */
#ifndef SW_CONFIGURATION_BUNDLE_READER_H
#define SW_CONFIGURATION_BUNDLE_READER_H

#include <stdbool.h>
#include <stdint.h>

#include <json-glib/json-glib.h>

/* Rule for the names of templates, tenants, groups, databases and zones, as problems state it. */
#define BUNDLE_NAME_BYTES_MAX 63
#define BUNDLE_NAME_ALLOWED                                                                        \
    "1 to 63 characters of a-z, 0-9 and '-', starting with a letter or a digit"

/* Rule for the names of parameters, as problems state it. */
#define BUNDLE_IDENTIFIER_ALLOWED                                                                  \
    "1 to 63 characters of a-z, 0-9 and '_', starting with a letter or a digit"

/* The destination of faults. The caller owns both members. Used by one thread. */
struct bundle_reader {
    const char *source;  /* name of the file in problems */
    GPtrArray *problems; /* of configuration_problems_new */
};

/* The path of a value: a linked list of member names from the value up to the root, whose parent is
 * NULL. Lives on the stack of the functions that descend into the document. */
struct bundle_path {
    const struct bundle_path *parent;
    const char *name; /* member name, or the index as text; NULL at the root */
};

/* Parses `length` bytes into a tree. Returns NULL and adds a problem if the text is not JSON, is
 * nested too deep or has a member twice in one object. In the functions below, "after a fault"
 * means in the same way that a problem was added. */
JsonNode *bundle_reader_load(struct bundle_reader *reader, const char *json, gsize length);

/* Adds a problem for the value `node` at `path`. `node` is NULL if the value is missing or need not
 * be shown. */
void bundle_reader_fault(struct bundle_reader *reader, const struct bundle_path *path,
                         JsonNode *node, const char *fault, const char *allowed);

/* The node's object, or NULL after a fault. */
JsonObject *bundle_reader_object(struct bundle_reader *reader, const struct bundle_path *path,
                                 JsonNode *node);

/* The node's array if its length is within bounds, or NULL after a fault. */
JsonArray *bundle_reader_array(struct bundle_reader *reader, const struct bundle_path *path,
                               JsonNode *node, guint minimum, guint maximum);

/* Reads an integer from `minimum` to `maximum`; false after a fault. */
bool bundle_reader_integer(struct bundle_reader *reader, const struct bundle_path *path,
                           JsonNode *node, int64_t minimum, int64_t maximum, int64_t *value);

/* Reads a boolean; false after a fault. */
bool bundle_reader_boolean(struct bundle_reader *reader, const struct bundle_path *path,
                           JsonNode *node, bool *value);

/* The string, owned by the node, or NULL after a fault. `allowed` describes the valid strings. */
const char *bundle_reader_string(struct bundle_reader *reader, const struct bundle_path *path,
                                 JsonNode *node, const char *allowed);

/* A required member of an object, or NULL after a fault that states `allowed`. */
JsonNode *bundle_reader_member(struct bundle_reader *reader, const struct bundle_path *path,
                               JsonObject *object, const char *name, const char *allowed);

/* A required member, read as an integer; false after a fault. */
bool bundle_reader_member_integer(struct bundle_reader *reader, const struct bundle_path *path,
                                  JsonObject *object, const char *name, int64_t minimum,
                                  int64_t maximum, int64_t *value);

/* A required member, read as a string owned by the object; NULL after a fault. */
const char *bundle_reader_member_string(struct bundle_reader *reader,
                                        const struct bundle_path *path, JsonObject *object,
                                        const char *name, const char *allowed);

/* A required member, read as an object; NULL after a fault. */
JsonObject *bundle_reader_member_object(struct bundle_reader *reader,
                                        const struct bundle_path *path, JsonObject *object,
                                        const char *name);

/* Adds a fault for each member that is not in the NULL-terminated list. */
void bundle_reader_refuse_unknown(struct bundle_reader *reader, const struct bundle_path *path,
                                  JsonObject *object, const char *const *known);

/* True if `name` follows the rule BUNDLE_NAME_ALLOWED; false after a fault. */
bool bundle_reader_check_name(struct bundle_reader *reader, const struct bundle_path *path,
                              const char *name);

/* As above, for the rule BUNDLE_IDENTIFIER_ALLOWED. */
bool bundle_reader_check_identifier(struct bundle_reader *reader, const struct bundle_path *path,
                                    const char *name);

/* "integer 1 to 10". The caller frees it. */
char *bundle_integer_allowed(int64_t minimum, int64_t maximum);

/* The string of a member, owned by the object; NULL without a fault if it is absent or not a
 * string. Lets a caller look the string up first and build a long list of allowed names only on
 * failure. */
const char *bundle_reader_peek_string(JsonObject *object, const char *name);

/* The names joined by ", ". A long list is shortened and ends in "... (N in all)"; an empty one is
 * "none". The caller frees it. */
char *bundle_names_allowed(const GPtrArray *names);

#endif
