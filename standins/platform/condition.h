/* Condition expressions of the table service, in the forms that the project uses: clauses joined
 * by AND, each attribute_not_exists(NAME), attribute_exists(NAME) or NAME = :VALUE, where NAME may
 * be a #placeholder. */
#ifndef SW_STANDINS_PLATFORM_CONDITION_H
#define SW_STANDINS_PLATFORM_CONDITION_H

#include <stdbool.h>

#include <json-glib/json-glib.h>

enum condition_result {
    CONDITION_HOLDS,
    CONDITION_FAILS,
    CONDITION_INVALID, /* not of the known forms, or a placeholder is not given */
};

/* Evaluates the request's ConditionExpression, if it has one, on an item (NULL: no item).
 * ExpressionAttributeNames and ExpressionAttributeValues are taken from the request too. */
enum condition_result condition_evaluate(JsonObject *request, JsonObject *item);

/* Reads a clause "NAME = :VALUE" with the request's placeholders; false if it is of another form.
 * The name is freed by the caller; the value is owned by the request. */
bool condition_parse_equality(JsonObject *request, const char *clause, char **name,
                              JsonNode **value);

#endif
