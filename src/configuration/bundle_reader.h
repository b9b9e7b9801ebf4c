/* Typed reading of JSON with a place for every value, so that each fault can name where it is.
 * Nothing here knows what a bundle holds. */
#ifndef SW_CONFIGURATION_BUNDLE_READER_H
#define SW_CONFIGURATION_BUNDLE_READER_H

#include <stdbool.h>
#include <stdint.h>

#include <json-glib/json-glib.h>

/* What a name of a template, tenant, group, database or zone may be. */
#define BUNDLE_NAME_BYTES_MAX 63
#define BUNDLE_NAME_ALLOWED                                                                        \
    "1 to 63 characters of a-z, 0-9 and '-', starting with a letter or a digit"

/* What a parameter's name may be. */
#define BUNDLE_IDENTIFIER_ALLOWED                                                                  \
    "1 to 63 characters of a-z, 0-9 and '_', starting with a letter or a digit"

/* Where faults go. Borrowed by all calls; used by one thread. */
struct bundle_reader {
    const char *source;
    GPtrArray *problems;
};

/* A value's place: a chain of member names up to the root, whose parent is NULL. */
struct bundle_path {
    const struct bundle_path *parent;
    const char *name; /* member name, or the index as text; NULL at the root */
};

/* Parses `length` bytes into a tree. NULL after a fault, which is added to the problems: not JSON,
 * nested too deep, or a member given twice in an object. */
JsonNode *bundle_reader_load(struct bundle_reader *reader, const char *json, gsize length);

/* Adds a problem at a place; `node` may be NULL where the value is missing. */
void bundle_reader_fault(struct bundle_reader *reader, const struct bundle_path *path,
                         JsonNode *node, const char *fault, const char *allowed);

/* The node's object, or NULL after a fault. */
JsonObject *bundle_reader_object(struct bundle_reader *reader, const struct bundle_path *path,
                                 JsonNode *node);

/* The node's array if its length is within bounds, or NULL after a fault. */
JsonArray *bundle_reader_array(struct bundle_reader *reader, const struct bundle_path *path,
                               JsonNode *node, guint minimum, guint maximum);

/* The integer if it is one within bounds; false after a fault. */
bool bundle_reader_integer(struct bundle_reader *reader, const struct bundle_path *path,
                           JsonNode *node, int64_t minimum, int64_t maximum, int64_t *value);

/* The boolean; false after a fault. */
bool bundle_reader_boolean(struct bundle_reader *reader, const struct bundle_path *path,
                           JsonNode *node, bool *value);

/* The string, owned by the node, or NULL after a fault. */
const char *bundle_reader_string(struct bundle_reader *reader, const struct bundle_path *path,
                                 JsonNode *node, const char *allowed);

/* An object's member. If it is absent: NULL, after a fault that says what is allowed there. */
JsonNode *bundle_reader_member(struct bundle_reader *reader, const struct bundle_path *path,
                               JsonObject *object, const char *name, const char *allowed);

/* Member as above, read as an integer. */
bool bundle_reader_member_integer(struct bundle_reader *reader, const struct bundle_path *path,
                                  JsonObject *object, const char *name, int64_t minimum,
                                  int64_t maximum, int64_t *value);

/* Member as above, read as a string; owned by the object. */
const char *bundle_reader_member_string(struct bundle_reader *reader,
                                        const struct bundle_path *path, JsonObject *object,
                                        const char *name, const char *allowed);

/* Member read as an object: an absent one is a fault. */
JsonObject *bundle_reader_member_object(struct bundle_reader *reader,
                                        const struct bundle_path *path, JsonObject *object,
                                        const char *name);

/* Faults each member that is not in the NULL-ended list. */
void bundle_reader_refuse_unknown(struct bundle_reader *reader, const struct bundle_path *path,
                                  JsonObject *object, const char *const *known);

/* True if `name` may name a thing of the bundle; false after a fault. */
bool bundle_reader_check_name(struct bundle_reader *reader, const struct bundle_path *path,
                              const char *name);

/* As above, for the name of a parameter. */
bool bundle_reader_check_identifier(struct bundle_reader *reader, const struct bundle_path *path,
                                    const char *name);

/* "integer 1 to 10". The caller frees it. */
char *bundle_integer_allowed(int64_t minimum, int64_t maximum);

/* The string of a member, owned by the object; NULL if it is absent or not a string, without a
 * fault. For look-ups whose list of allowed names is long and made for a fault only. */
const char *bundle_reader_peek_string(JsonObject *object, const char *name);

/* "a, b, c", shortened after some names to "... (N in all)"; "none" if empty. The caller frees it.
 */
char *bundle_names_allowed(const GPtrArray *names);

#endif
