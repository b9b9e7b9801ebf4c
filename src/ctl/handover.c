/* Handing an accepted version to daemons. */
#include "ctl/handover.h"

#include <inttypes.h>
#include <string.h>

#include "ctl/daemon_status.h"

/* How long to wait for daemons in all: a store that hangs holds one up for some seconds. */
#define WAIT_MAX_MS 10000

/* Between two rounds over the daemons. */
#define ROUND_PAUSE_MS 50

/* Rounds after which the version is handed over again, as the daemon may have lagged before. */
#define ROUNDS_PER_OFFER 20

/* Calls without an answer after which a daemon counts as out of reach. */
#define FAILURES_MAX 3

#define STATUS_OK 200

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

/* Notes whether a call was answered. */
static void note_call(struct handover_daemon *daemon, const GError *error)
{
    daemon->failures = error != NULL ? daemon->failures + 1 : 0;
    if (error != NULL) {
        set_reason(daemon, error->message);
    }
}

/* Asks what is in force at a daemon. */
static void look(struct handover_run *run, struct handover_daemon *daemon)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(JsonNode) status = daemon_status_read(run->client, daemon->url, &error);

    note_call(daemon, error);
    if (status == NULL) {
        return;
    }
    uint64_t version = daemon_status_version(status);
    g_free(daemon->zone);
    daemon->zone = g_strdup(
        json_object_get_string_member_with_default(json_node_get_object(status), "zone", ""));
    daemon->in_force = version >= run->version->version;
    if (!daemon->in_force && !daemon->refused) {
        g_autofree char *text = g_strdup_printf("it has version %" PRIu64 " in force", version);
        set_reason(daemon, text);
    }
}

/* Keeps the reason that a daemon gives for taking nothing. */
static void note_refusal(struct handover_daemon *daemon, JsonNode *answer)
{
    JsonNode *error = json_object_get_member(json_node_get_object(answer), "error");
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
        .is_write = true,
    };
    g_autoptr(GError) error = NULL;
    g_autoptr(JsonNode) answer = daemon_status_call(run->client, &request, &status, &error);
    note_call(daemon, error);
    if (answer != NULL && status != STATUS_OK) {
        note_refusal(daemon, answer);
    }
}

static bool is_settled(const struct handover_daemon *daemon)
{
    return daemon->in_force || daemon->failures >= FAILURES_MAX;
}

/* Offers to all before anyone is asked: one out of reach must not keep the others waiting longer
 * than its connection takes to fail. */
static void offer_to_all(struct handover_run *run)
{
    for (guint i = 0; i < run->daemons->len; i++) {
        struct handover_daemon *daemon = g_ptr_array_index(run->daemons, i);
        if (!is_settled(daemon) && !daemon->refused) {
            offer(run, daemon);
        }
    }
}

/* One round; true once there is nobody left to wait for. */
static bool go_round(struct handover_run *run, guint round)
{
    bool settled = true;

    if (round % ROUNDS_PER_OFFER == 0) {
        offer_to_all(run);
    }
    for (guint i = 0; i < run->daemons->len; i++) {
        struct handover_daemon *daemon = g_ptr_array_index(run->daemons, i);
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
    struct handover_run run = {
        .version = version,
        .client = daemon_status_client_new(),
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
