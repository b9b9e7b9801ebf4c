/* swiftctl explain: the route that a tenant's request would take now, or the records of one request
 * at the daemons given and at those that they forwarded it to. */
#include <string.h>

#include "ctl/admin_client.h"
#include "ctl/commands.h"
#include "ctl/output.h"

#define EXPLAIN_PATH "/v1/explain"

/* Limit of the daemons queried, including those given. */
#define DAEMONS_MAX 64

/* A search for one request's records. */
struct search {
    struct invocation *invocation;
    const char *query;
    GPtrArray *urls;   /* daemons to query, in order; extended when a record names another daemon */
    guint named;       /* number of them that were given by the operator */
    GHashTable *asked; /* names of the daemons that replied */
    JsonArray *records;       /* objects */
    JsonArray *daemons;       /* {"daemon", "reaches_to"} of those that replied */
    JsonArray *missing;       /* {"url", "kind", "text"} of those that did not */
    enum exit_code exit_code; /* of the first that did not */
};

static void search_init(struct search *search, struct invocation *invocation, const char *query)
{
    memset(search, 0, sizeof(*search));
    search->invocation = invocation;
    search->query = query;
    search->urls = g_ptr_array_new_with_free_func(g_free);
    search->asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    search->records = json_array_new();
    search->daemons = json_array_new();
    search->missing = json_array_new();
    const char *url = command_admin_url(invocation, 0);
    for (guint i = 0; url != NULL && i < DAEMONS_MAX; i++) {
        g_ptr_array_add(search->urls, g_strdup(url));
        url = command_admin_url(invocation, i + 1);
    }
    search->named = search->urls->len;
}

/* Frees the search. Arrays that were moved to the output are NULL by then. */
static void search_clear(struct search *search)
{
    g_ptr_array_unref(search->urls);
    g_hash_table_destroy(search->asked);
    g_clear_pointer(&search->records, json_array_unref);
    g_clear_pointer(&search->daemons, json_array_unref);
    g_clear_pointer(&search->missing, json_array_unref);
}

static const char *text_of(JsonObject *object, const char *name)
{
    return json_object_get_string_member_with_default(object, name, "");
}

/* Adds the daemon that a record's request was forwarded to: the host of its peer address, with the
 * admin port that its reply named. */
static void add_forwarded_daemon(struct search *search, JsonObject *record)
{
    const char *address = text_of(record, "forwarded_to");
    const char *colon = strrchr(address, ':');
    gint64 port = json_object_get_int_member_with_default(record, "served_by_admin_port", 0);
    if (colon == NULL || port <= 0 || search->urls->len >= DAEMONS_MAX ||
        g_hash_table_contains(search->asked, text_of(record, "served_by"))) {
        return;
    }
    char *url =
        g_strdup_printf("http://%.*s:%" G_GINT64_FORMAT, (int)(colon - address), address, port);
    if (g_ptr_array_find_with_equal_func(search->urls, url, g_str_equal, NULL)) {
        g_free(url);
        return;
    }
    g_ptr_array_add(search->urls, url);
}

static void note_missing(struct search *search, const char *url, const struct admin_result *result)
{
    JsonObject *missing = json_object_new();
    json_object_set_string_member(missing, "url", url);
    json_object_set_string_member(missing, "kind", result->kind);
    json_object_set_string_member(missing, "text", result->text);
    json_array_add_object_element(search->missing, missing);
    if (search->exit_code == EXIT_CODE_DONE) {
        search->exit_code = result->exit_code;
    }
}

/* Adds a daemon's records, unless it replied under another URL before. */
static void add_records(struct search *search, JsonObject *answer)
{
    const char *daemon = text_of(answer, "daemon");
    if (!json_object_has_member(answer, "records") ||
        !g_hash_table_add(search->asked, g_strdup(daemon))) {
        return;
    }
    JsonObject *entry = json_object_new();
    json_object_set_string_member(entry, "daemon", daemon);
    json_object_set_string_member(entry, "reaches_to", text_of(answer, "reaches_to"));
    json_array_add_object_element(search->daemons, entry);
    JsonArray *records = json_object_get_array_member(answer, "records");
    for (guint i = 0; i < json_array_get_length(records); i++) {
        JsonObject *record = json_array_get_object_element(records, i);
        json_array_add_object_element(search->records, json_object_ref(record));
        add_forwarded_daemon(search, record);
    }
}

static void ask(struct search *search, const char *url)
{
    struct admin_result result;
    admin_client_fetch(search->invocation, url, "GET", EXPLAIN_PATH, search->query, &result);
    if (result.node != NULL && JSON_NODE_HOLDS_OBJECT(result.node)) {
        add_records(search, json_node_get_object(result.node));
    } else if (result.node == NULL) {
        note_missing(search, url, &result);
    }
    admin_result_clear(&result);
}

static enum exit_code fail_without_records(struct search *search, const char *request)
{
    guint answered = json_array_get_length(search->daemons);
    if (answered == 0 && json_array_get_length(search->missing) > 0) {
        JsonObject *first = json_array_get_object_element(search->missing, 0);
        return command_fail_text(search->invocation, search->exit_code, text_of(first, "kind"),
                                 text_of(first, "text"));
    }
    g_autoptr(GString) text = g_string_new(NULL);
    g_string_append_printf(text, "no record of request %s", request);
    for (guint i = 0; i < answered; i++) {
        JsonObject *daemon = json_array_get_object_element(search->daemons, i);
        g_string_append_printf(text, "%s %s, which keeps all since %s", i == 0 ? " at" : "; nor at",
                               text_of(daemon, "daemon"), text_of(daemon, "reaches_to"));
    }
    return command_fail_text(search->invocation, EXIT_CODE_NOT_FOUND, "not_found", text->str);
}

static void write_json(struct search *search, const char *request)
{
    JsonObject *object = json_object_new();
    json_object_set_string_member(object, "request", request);
    json_object_set_array_member(object, "records", g_steal_pointer(&search->records));
    json_object_set_array_member(object, "daemons", g_steal_pointer(&search->daemons));
    json_object_set_array_member(object, "missing", g_steal_pointer(&search->missing));
    output_json(object, search->invocation->output);
}

/* Writes a block of rows for each record, and the daemons that were not reached. */
static void write_blocks(struct search *search)
{
    GString *output = search->invocation->output;
    for (guint i = 0; i < json_array_get_length(search->records); i++) {
        JsonNode *record = json_array_get_element(search->records, i);
        g_string_append_printf(output, "%sAt %s:\n", i > 0 ? "\n" : "",
                               text_of(json_node_get_object(record), "daemon"));
        output_json_as_text(record, output);
    }
    for (guint i = 0; i < json_array_get_length(search->missing); i++) {
        JsonObject *missing = json_array_get_object_element(search->missing, i);
        g_string_append_printf(output, "\nNot reached: %s\n", text_of(missing, "text"));
    }
}

static enum exit_code explain_request(struct invocation *invocation, const char *request)
{
    struct search search;
    g_autoptr(GString) query = g_string_new(NULL);
    enum exit_code exit_code = EXIT_CODE_DONE;

    admin_query_add(query, "request", request);
    search_init(&search, invocation, query->str);
    for (guint i = 0; i < search.urls->len; i++) {
        ask(&search, g_ptr_array_index(search.urls, i));
    }
    if (json_array_get_length(search.records) == 0) {
        exit_code = fail_without_records(&search, request);
    } else if (invocation->json) {
        write_json(&search, request);
    } else {
        write_blocks(&search);
    }
    search_clear(&search);
    return exit_code;
}

static enum exit_code explain_tenant(struct invocation *invocation, const char *access,
                                     const char *tenant)
{
    g_autoptr(GString) query = g_string_new(NULL);

    if (strcmp(access, "read") != 0 && strcmp(access, "write") != 0) {
        return command_fail_text(invocation, EXIT_CODE_USAGE, "usage",
                                 "explain read TENANT, write TENANT, or REQUEST-ID");
    }
    if (command_admin_url(invocation, 1) != NULL) {
        return command_fail_text(invocation, EXIT_CODE_USAGE, "usage",
                                 "--admin may be given once: a tenant is explained by one daemon");
    }
    admin_query_add(query, "tenant", tenant);
    admin_query_add(query, "access", access);
    return admin_client_call(invocation, "GET", EXPLAIN_PATH, query->str);
}

static enum exit_code run_explain(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autofree char *access = NULL;
    const GOptionEntry entries[] = {
        {"access", 0, 0, G_OPTION_ARG_STRING, &access,
         "The operand is a tenant: explain its read or write", "read|write"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    if (!command_parse(command, invocation, entries, &exit_code)) {
        return exit_code;
    }
    const char *first = command_operand(invocation, 0);
    const char *second = command_operand(invocation, 1);
    if (second != NULL) {
        return explain_tenant(invocation, access == NULL ? first : "", second);
    }
    return access != NULL ? explain_tenant(invocation, access, first)
                          : explain_request(invocation, first);
}

const struct command command_explain = {
    .name = "explain",
    .operands = "REQUEST-ID | read TENANT | write TENANT",
    .summary = "Shows how a request was handled, or how one would be routed now, and why.",
    .details =
        "A request's record is kept by the daemon that received it and by the one that it was "
        "forwarded\nto, which is queried too. Records are kept until newer ones replace them.",
    .examples = "  swiftctl explain 5f0c1b22a9d3e871\n"
                "  swiftctl explain stay-8841 -a http://10.0.0.7:7070 -a http://10.0.0.8:7070\n"
                "  swiftctl explain write hut-lepiney\n",
    .operands_min = 1,
    .operands_max = 2,
    .options = COMMAND_OPTIONS_ADMIN | COMMAND_OPTIONS_ADMINS,
    .run = run_explain,
};
