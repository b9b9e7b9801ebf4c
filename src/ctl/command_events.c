/* swiftctl events: the latest events of a daemon, or the merged events of several. */
#include <string.h>

#include "ctl/admin_client.h"
#include "ctl/commands.h"
#include "ctl/output.h"

#define EVENTS_PATH "/v1/events"

/* The events of several daemons. */
struct timeline {
    GPtrArray *events;        /* of JsonObject, one reference each */
    JsonArray *missing;       /* {"url", "kind", "text"} of the daemons that gave no reply */
    enum exit_code exit_code; /* of the first of those */
};

static void release_object(gpointer object)
{
    json_object_unref(object);
}

static const char *time_of(JsonObject *event)
{
    return json_object_get_string_member_with_default(event, "time", "");
}

/* Orders events by the daemons' wall clocks, as text of one format, then by number. */
static gint compare_events(gconstpointer left, gconstpointer right)
{
    JsonObject *first = *(JsonObject *const *)left;
    JsonObject *second = *(JsonObject *const *)right;
    gint order = strcmp(time_of(first), time_of(second));
    if (order != 0) {
        return order;
    }
    gint64 a = json_object_get_int_member_with_default(first, "sequence", 0);
    gint64 b = json_object_get_int_member_with_default(second, "sequence", 0);
    return a < b ? -1 : a > b;
}

/* The event with the daemon's name inserted after its time. */
static JsonObject *with_daemon(JsonObject *event, const char *daemon)
{
    JsonObject *named = json_object_new();
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *value = NULL;

    json_object_set_string_member(named, "time", time_of(event));
    json_object_set_string_member(named, "daemon", daemon);
    json_object_iter_init_ordered(&iterator, event);
    while (json_object_iter_next_ordered(&iterator, &name, &value)) {
        if (strcmp(name, "time") != 0) {
            json_object_set_member(named, name, json_node_copy(value));
        }
    }
    return named;
}

static void take_events(struct timeline *timeline, JsonObject *answer)
{
    const char *daemon = json_object_get_string_member_with_default(answer, "daemon", "");
    if (!json_object_has_member(answer, "events")) {
        return;
    }
    JsonArray *events = json_object_get_array_member(answer, "events");
    for (guint i = 0; i < json_array_get_length(events); i++) {
        JsonObject *event = json_array_get_object_element(events, i);
        g_ptr_array_add(timeline->events, with_daemon(event, daemon));
    }
}

static void note_missing(struct timeline *timeline, const char *url,
                         const struct admin_result *result)
{
    JsonObject *missing = json_object_new();
    json_object_set_string_member(missing, "url", url);
    json_object_set_string_member(missing, "kind", result->kind);
    json_object_set_string_member(missing, "text", result->text);
    json_array_add_object_element(timeline->missing, missing);
    if (timeline->exit_code == EXIT_CODE_DONE) {
        timeline->exit_code = result->exit_code;
    }
}

static void ask_all(struct timeline *timeline, const struct invocation *invocation)
{
    const char *url = command_admin_url(invocation, 0);
    for (guint i = 0; url != NULL; i++) {
        struct admin_result result;
        admin_client_fetch(invocation, url, "GET", EVENTS_PATH, "since=0", &result);
        if (result.node != NULL && JSON_NODE_HOLDS_OBJECT(result.node)) {
            take_events(timeline, json_node_get_object(result.node));
        } else if (result.node == NULL) {
            note_missing(timeline, url, &result);
        }
        admin_result_clear(&result);
        url = command_admin_url(invocation, i + 1);
    }
}

/* Takes ownership of the events and of the list of daemons without a reply. */
static JsonNode *timeline_node(struct timeline *timeline)
{
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    JsonObject *object = json_object_new();
    JsonArray *events = json_array_new();

    g_ptr_array_sort(timeline->events, compare_events);
    for (guint i = 0; i < timeline->events->len; i++) {
        json_array_add_object_element(events,
                                      json_object_ref(g_ptr_array_index(timeline->events, i)));
    }
    json_object_set_array_member(object, "events", events);
    json_object_set_array_member(object, "missing", json_array_ref(timeline->missing));
    json_node_take_object(node, object);
    return node;
}

/* Daemons without a reply are listed. The command fails only if no daemon replied. */
static enum exit_code show_timeline(struct invocation *invocation)
{
    struct timeline timeline = {
        .events = g_ptr_array_new_with_free_func(release_object),
        .missing = json_array_new(),
    };
    ask_all(&timeline, invocation);
    g_autoptr(JsonNode) node = timeline_node(&timeline);
    bool none_answered =
        command_admin_url(invocation, json_array_get_length(timeline.missing)) == NULL;
    admin_client_write(invocation, node);
    g_ptr_array_unref(timeline.events);
    json_array_unref(timeline.missing);
    return none_answered ? timeline.exit_code : EXIT_CODE_DONE;
}

static enum exit_code run_events(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    gint64 since = 0;
    g_autoptr(GString) query = g_string_new(NULL);
    const GOptionEntry entries[] = {
        {"since", 0, 0, G_OPTION_ARG_INT64, &since, "Only events after this number", "NUMBER"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    if (!command_parse(command, invocation, entries, &exit_code)) {
        return exit_code;
    }
    bool several = command_admin_url(invocation, 1) != NULL;
    if (since < 0 || (several && since > 0)) {
        return command_fail_text(invocation, EXIT_CODE_USAGE, "usage",
                                 since < 0 ? "--since must be 0 or above"
                                           : "--since counts the events of one daemon");
    }
    if (several) {
        return show_timeline(invocation);
    }
    g_string_append_printf(query, "since=%" G_GINT64_FORMAT, since);
    return admin_client_call(invocation, "GET", EVENTS_PATH, query->str);
}

const struct command command_events = {
    .name = "events",
    .operands = "",
    .summary = "Shows the latest events of a daemon, or the timeline of several.",
    .details = "Failovers, drains, ownership, members, configurations. Several daemons' events are "
               "in the order of\ntheir wall clocks.",
    .examples = "  swiftctl events --since 120 --output json\n"
                "  swiftctl events -a http://10.0.0.7:7070 -a http://10.0.0.8:7070\n",
    .options = COMMAND_OPTIONS_ADMIN | COMMAND_OPTIONS_ADMINS,
    .run = run_events,
};
