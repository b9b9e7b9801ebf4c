/* Condition expressions of the table service. */
#include "standins/platform/condition.h"

#include <string.h>

/* A member of one of the request's objects of placeholders, or NULL. */
static JsonNode *find_placeholder(JsonObject *request, const char *section, const char *name)
{
    JsonNode *node = json_object_get_member(request, section);

    if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
        return NULL;
    }
    return json_object_get_member(json_node_get_object(node), name);
}

/* The attribute that a name or #placeholder stands for; NULL if the placeholder is not defined. */
static const char *resolve_name(JsonObject *request, const char *name)
{
    if (name[0] != '#') {
        return name;
    }
    JsonNode *node = find_placeholder(request, "ExpressionAttributeNames", name);
    return node != NULL ? json_node_get_string(node) : NULL;
}

/* NAME of "FUNCTION(NAME)", or NULL. */
static char *function_argument(const char *clause, const char *function)
{
    size_t length = strlen(function);

    if (!g_str_has_prefix(clause, function) || clause[length] != '(' ||
        !g_str_has_suffix(clause, ")")) {
        return NULL;
    }
    char *argument = g_strndup(clause + length + 1, strlen(clause) - length - 2);
    return g_strstrip(argument);
}

bool condition_parse_equality(JsonObject *request, const char *clause, char **name,
                              JsonNode **value)
{
    g_auto(GStrv) sides = g_strsplit(clause, "=", 2);

    if (g_strv_length(sides) != 2) {
        return false;
    }
    const char *attribute = resolve_name(request, g_strstrip(sides[0]));
    *value = find_placeholder(request, "ExpressionAttributeValues", g_strstrip(sides[1]));
    if (attribute == NULL || *value == NULL) {
        return false;
    }
    *name = g_strdup(attribute);
    return true;
}

static enum condition_result evaluate_existence(JsonObject *request, JsonObject *item,
                                                const char *argument, bool wanted)
{
    const char *attribute = resolve_name(request, argument);

    if (attribute == NULL) {
        return CONDITION_INVALID;
    }
    bool exists = item != NULL && json_object_has_member(item, attribute);
    return exists == wanted ? CONDITION_HOLDS : CONDITION_FAILS;
}

static enum condition_result evaluate_equality(JsonObject *request, JsonObject *item,
                                               const char *clause)
{
    g_autofree char *name = NULL;
    JsonNode *value = NULL;

    if (!condition_parse_equality(request, clause, &name, &value)) {
        return CONDITION_INVALID;
    }
    JsonNode *have = item != NULL ? json_object_get_member(item, name) : NULL;
    return have != NULL && json_node_equal(have, value) ? CONDITION_HOLDS : CONDITION_FAILS;
}

static enum condition_result evaluate_clause(JsonObject *request, JsonObject *item,
                                             const char *clause)
{
    g_autofree char *absent = function_argument(clause, "attribute_not_exists");
    g_autofree char *present = function_argument(clause, "attribute_exists");

    if (absent != NULL) {
        return evaluate_existence(request, item, absent, false);
    }
    if (present != NULL) {
        return evaluate_existence(request, item, present, true);
    }
    return evaluate_equality(request, item, clause);
}

enum condition_result condition_evaluate(JsonObject *request, JsonObject *item)
{
    const char *expression =
        json_object_get_string_member_with_default(request, "ConditionExpression", NULL);
    enum condition_result result = CONDITION_HOLDS;

    if (expression == NULL) {
        return CONDITION_HOLDS;
    }
    g_auto(GStrv) clauses = g_strsplit(expression, " AND ", -1);
    for (guint i = 0; clauses[i] != NULL; i++) {
        enum condition_result clause = evaluate_clause(request, item, g_strstrip(clauses[i]));
        if (clause == CONDITION_INVALID) {
            return CONDITION_INVALID;
        }
        if (clause == CONDITION_FAILS) {
            result = CONDITION_FAILS;
        }
    }
    return result;
}
