/* JSON Merge Patch over json-glib's trees; see the header. */
#include "daemon/configuration_patch.h"

#include <json-glib/json-glib.h>

#include "configuration/bundle_reader.h"
#include "configuration/canonical.h"
#include "configuration/problem.h"

/* Reads JSON with the bounds of a bundle. */
static JsonNode *load(GBytes *json)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(json, &length);
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct bundle_reader reader = {.source = "patch", .problems = problems};
    return length > 0 ? bundle_reader_load(&reader, text, length) : NULL;
}

static bool is_object(JsonNode *node)
{
    return node != NULL && JSON_NODE_HOLDS_OBJECT(node);
}

static JsonObject *object_difference(JsonObject *before, JsonObject *after);

/* Adds what has to be said of one member of `after`. */
static void add_member(JsonObject *patch, JsonObject *before, const char *name, JsonNode *now)
{
    JsonNode *was = json_object_get_member(before, name);
    if (!is_object(was) || !is_object(now)) {
        if (was == NULL || !json_node_equal(was, now)) {
            json_object_set_member(patch, name, json_node_copy(now));
        }
        return;
    }
    JsonObject *inner = object_difference(json_node_get_object(was), json_node_get_object(now));
    if (json_object_get_size(inner) > 0) {
        json_object_set_object_member(patch, name, inner);
    } else {
        json_object_unref(inner);
    }
}

static JsonObject *object_difference(JsonObject *before, JsonObject *after)
{
    JsonObject *patch = json_object_new();
    JsonObjectIter iterator;
    const char *name;
    JsonNode *value;
    json_object_iter_init(&iterator, before);
    while (json_object_iter_next(&iterator, &name, &value)) {
        if (!json_object_has_member(after, name)) {
            json_object_set_null_member(patch, name);
        }
    }
    json_object_iter_init(&iterator, after);
    while (json_object_iter_next(&iterator, &name, &value)) {
        add_member(patch, before, name, value);
    }
    return patch;
}

GBytes *configuration_patch_make(GBytes *before, GBytes *after)
{
    g_autoptr(JsonNode) left = load(before);
    g_autoptr(JsonNode) right = load(after);
    if (!is_object(left) || !is_object(right)) {
        return NULL;
    }
    JsonObject *patch = object_difference(json_node_get_object(left), json_node_get_object(right));
    g_autoptr(JsonNode) root = json_node_init_object(json_node_alloc(), patch);
    json_object_unref(patch);
    return canonical_json(root);
}

static void patch_object(JsonObject *target, JsonObject *patch);

static void patch_member(JsonObject *target, const char *name, JsonNode *change)
{
    if (json_node_is_null(change)) {
        json_object_remove_member(target, name);
        return;
    }
    if (!is_object(change)) {
        json_object_set_member(target, name, json_node_copy(change));
        return;
    }
    if (!is_object(json_object_get_member(target, name))) {
        json_object_set_object_member(target, name, json_object_new());
    }
    patch_object(json_object_get_object_member(target, name), json_node_get_object(change));
}

static void patch_object(JsonObject *target, JsonObject *patch)
{
    JsonObjectIter iterator;
    const char *name;
    JsonNode *change;
    json_object_iter_init(&iterator, patch);
    while (json_object_iter_next(&iterator, &name, &change)) {
        patch_member(target, name, change);
    }
}

GBytes *configuration_patch_apply(GBytes *before, GBytes *patch)
{
    g_autoptr(JsonNode) target = load(before);
    g_autoptr(JsonNode) changes = load(patch);
    if (!is_object(target) || !is_object(changes)) {
        return NULL;
    }
    patch_object(json_node_get_object(target), json_node_get_object(changes));
    return canonical_json(target);
}
