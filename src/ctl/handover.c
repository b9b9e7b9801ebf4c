/* Handing an accepted version to daemons. */
#include "ctl/handover.h"

#include <inttypes.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "platform/http_client.h"

/* How long to wait for daemons in all: a store that hangs holds one up for some seconds. */
#define WAIT_MAX_MS 10000

/* Between two rounds over the daemons. */
#define ROUND_PAUSE_MS 50

/* Rounds after which the version is handed over again, as the daemon may have lagged before. */
#define ROUNDS_PER_OFFER 20

/* Calls without an answer after which a daemon counts as out of reach. */
#define FAILURES_MAX 3

#define CONNECT_TIMEOUT_MS 1000
#define CALL_TIMEOUT_MS    3000
#define ANSWER_BYTES_MAX   (16 * 1024 * 1024)
#define STATUS_OK          200

/* One hand-over. */
struct handover_run {
    const struct handover_version *version;
    struct http_client *client;
    GPtrArray *daemons;
};

static void free_daemon(gpointer data)
{
    struct handover_daemon *daemon = data;

    g_free(daemon->url);
    g_free(daemon->zone);
    g_free(daemon->reason);
    g_free(daemon);
}

static void set_reason(struct handover_daemon *daemon, const char *reason)
{
    g_free(daemon->reason);
    daemon->reason = g_strdup(reason);
}

/* Sends one call. The answer's JSON object if it is one, with the status in `status`; else NULL.
 * The caller frees the parser. */
static JsonParser *call(struct handover_run *run, struct handover_daemon *daemon,
                        const struct http_request *request, long *status)
{
    struct http_answer answer;
    g_autoptr(GError) error = NULL;

    if (http_client_call(run->client, request, &answer, &error) != HTTP_OUTCOME_ANSWERED) {
        daemon->failures++;
        set_reason(daemon, error->message);
        return NULL;
    }
    daemon->failures = 0;
    *status = answer.status;
    JsonParser *parser = json_parser_new();
    bool parsed = json_parser_load_from_data(parser, (const char *)answer.body->data,
                                             (gssize)answer.body->len, NULL);
    JsonNode *root = parsed ? json_parser_get_root(parser) : NULL;
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        set_reason(daemon, "the answer is not a JSON object");
        g_clear_object(&parser);
    }
    g_byte_array_unref(answer.body);
    return parser;
}

/* Asks what is in force at a daemon. */
static void look(struct handover_run *run, struct handover_daemon *daemon)
{
    long status = 0;
    g_autofree char *url = g_strconcat(daemon->url, "/v1/status", NULL);
    const struct http_request request = {
        .method = "GET",
        .url = url,
        .answer_bytes_max = ANSWER_BYTES_MAX,
    };
    g_autoptr(JsonParser) parser = call(run, daemon, &request, &status);
    if (parser == NULL) {
        return;
    }
    JsonObject *object = json_node_get_object(json_parser_get_root(parser));
    JsonNode *node = json_object_get_member(object, "configuration");
    if (status != STATUS_OK || node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
        set_reason(daemon, "it does not tell its configuration");
        return;
    }
    JsonObject *configuration = json_node_get_object(node);
    uint64_t version =
        (uint64_t)json_object_get_int_member_with_default(configuration, "version", 0);
    g_free(daemon->zone);
    daemon->zone = g_strdup(json_object_get_string_member_with_default(object, "zone", ""));
    daemon->in_force = version >= run->version->version;
    if (!daemon->in_force && !daemon->refused) {
        g_autofree char *text = g_strdup_printf("it has version %" PRIu64 " in force", version);
        set_reason(daemon, text);
    }
}

/* Keeps the reason that a daemon gives for taking nothing. */
static void note_refusal(struct handover_daemon *daemon, JsonParser *parser)
{
    JsonObject *object = json_node_get_object(json_parser_get_root(parser));
    JsonNode *error = json_object_get_member(object, "error");
    const char *text = NULL;

    if (error != NULL && JSON_NODE_HOLDS_OBJECT(error)) {
        text =
            json_object_get_string_member_with_default(json_node_get_object(error), "text", NULL);
    }
    daemon->refused = true;
    set_reason(daemon, text != NULL ? text : "it refused");
}

static void offer(struct handover_run *run, struct handover_daemon *daemon)
{
    const struct handover_version *version = run->version;
    long status = 0;
    gsize length = 0;
    g_autofree char *url = g_strdup_printf(
        "%s/v1/configuration?version=%" PRIu64 "&hash=%s&base_hash=%s", daemon->url,
        version->version, version->hash, version->base_hash != NULL ? version->base_hash : "");
    const void *body = g_bytes_get_data(version->content, &length);
    const struct http_request request = {
        .method = "POST",
        .url = url,
        .body = body,
        .body_length = length,
        .answer_bytes_max = ANSWER_BYTES_MAX,
        .is_write = true,
    };
    g_autoptr(JsonParser) parser = call(run, daemon, &request, &status);
    if (parser != NULL && status != STATUS_OK) {
        note_refusal(daemon, parser);
    }
}

static bool is_settled(const struct handover_daemon *daemon)
{
    return daemon->in_force || daemon->failures >= FAILURES_MAX;
}

/* One round; true once there is nobody left to wait for. */
static bool go_round(struct handover_run *run, guint round)
{
    bool settled = true;

    for (guint i = 0; i < run->daemons->len; i++) {
        struct handover_daemon *daemon = g_ptr_array_index(run->daemons, i);
        if (!is_settled(daemon) && !daemon->refused && round % ROUNDS_PER_OFFER == 0) {
            offer(run, daemon);
        }
        if (!is_settled(daemon)) {
            look(run, daemon);
        }
        settled = settled && is_settled(daemon);
    }
    return settled;
}

/* True if somebody may still get it: one that took it, or one that has it and can tell the rest. */
static bool is_hopeful(const GPtrArray *daemons)
{
    for (guint i = 0; i < daemons->len; i++) {
        const struct handover_daemon *daemon = g_ptr_array_index(daemons, i);
        if (daemon->in_force || (!daemon->refused && daemon->failures < FAILURES_MAX)) {
            return true;
        }
    }
    return false;
}

GPtrArray *handover_run(char **urls, const struct handover_version *version)
{
    struct platform_settings settings = platform_settings_default();
    settings.connect_timeout_ms = CONNECT_TIMEOUT_MS;
    settings.call_timeout_ms = CALL_TIMEOUT_MS;
    struct handover_run run = {
        .version = version,
        .client = http_client_new(&settings),
        .daemons = g_ptr_array_new_with_free_func(free_daemon),
    };
    gint64 deadline = g_get_monotonic_time() + (gint64)WAIT_MAX_MS * 1000;

    for (guint i = 0; urls[i] != NULL; i++) {
        struct handover_daemon *daemon = g_new0(struct handover_daemon, 1);
        daemon->url = g_strdup(urls[i]);
        daemon->zone = g_strdup("");
        daemon->reason = g_strdup("");
        g_ptr_array_add(run.daemons, daemon);
    }
    for (guint round = 0; !go_round(&run, round); round++) {
        if (g_get_monotonic_time() >= deadline || !is_hopeful(run.daemons)) {
            break;
        }
        g_usleep(ROUND_PAUSE_MS * 1000);
    }
    http_client_free(run.client);
    return run.daemons;
}

guint handover_count_in_force(const GPtrArray *daemons)
{
    guint count = 0;

    for (guint i = 0; i < daemons->len; i++) {
        const struct handover_daemon *daemon = g_ptr_array_index(daemons, i);
        count += daemon->in_force ? 1 : 0;
    }
    return count;
}
