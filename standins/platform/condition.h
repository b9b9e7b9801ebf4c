/* Condition expressions of the table service, limited to the forms that the project uses: clauses
 * joined by AND, each attribute_not_exists(NAME), attribute_exists(NAME) or NAME = :VALUE, where
 * NAME may be a #placeholder. */
#ifndef SW_STANDINS_PLATFORM_CONDITION_H
#define SW_STANDINS_PLATFORM_CONDITION_H

#include <stdbool.h>

#include <json-glib/json-glib.h>

enum condition_result {
    CONDITION_HOLDS,
    CONDITION_FAILS,
    CONDITION_INVALID, /* of an unsupported form, or a placeholder is not defined */
};

/* Evaluates the request's ConditionExpression, if it has one, on an item (NULL: no item), with the
 * request's ExpressionAttributeNames and ExpressionAttributeValues. */
enum condition_result condition_evaluate(JsonObject *request, JsonObject *item);

/* Parses a clause "NAME = :VALUE" with the request's placeholders; false if it has another form.
 * The caller frees the name; the request owns the value. */
bool condition_parse_equality(JsonObject *request, const char *clause, char **name,
                              JsonNode **value);

#endif
