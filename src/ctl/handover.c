/* Hands an accepted version over to daemons. */
#include "ctl/handover.h"

#include <inttypes.h>
#include <string.h>

#include "ctl/daemon_status.h"

/* Longest wait for all daemons together; a store that does not respond delays a daemon by several
 * seconds. */
#define WAIT_MAX_MS 10000

/* Pause between two rounds over the daemons. */
#define ROUND_PAUSE_MS 50

/* Rounds after which the version is offered again, because a daemon may have refused it when its
 * own configuration was behind. */
#define ROUNDS_PER_OFFER 20

/* Consecutive calls without a reply after which a daemon counts as unreachable. */
#define FAILURES_MAX 3

#define STATUS_OK 200

/* The state of one handover. */
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

/* Counts a call by whether it had a reply. */
static void count_call(struct handover_daemon *daemon, const GError *error)
{
    daemon->failures = error != NULL ? daemon->failures + 1 : 0;
    if (error != NULL) {
        set_reason(daemon, error->message);
    }
}

/* Queries a daemon for the version in force. */
static void query_version(struct handover_run *run, struct handover_daemon *daemon)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(JsonNode) status = daemon_status_read(run->client, daemon->url, &error);

    count_call(daemon, error);
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

/* Keeps the reason with which a daemon refused the version. */
static void set_refusal_reason(struct handover_daemon *daemon, JsonNode *answer)
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
    count_call(daemon, error);
    if (answer != NULL && status != STATUS_OK) {
        set_refusal_reason(daemon, answer);
    }
}

static bool is_settled(const struct handover_daemon *daemon)
{
    return daemon->in_force || daemon->failures >= FAILURES_MAX;
}

/* Offers the version to all daemons before any status query, so that an unreachable daemon delays
 * the others only by its connect time-out. */
static void offer_to_all(struct handover_run *run)
{
    for (guint i = 0; i < run->daemons->len; i++) {
        struct handover_daemon *daemon = g_ptr_array_index(run->daemons, i);
        if (!is_settled(daemon) && !daemon->refused) {
            offer(run, daemon);
        }
    }
}

/* Runs one round. True once no daemon remains to wait for. */
static bool run_round(struct handover_run *run, guint round)
{
    bool settled = true;

    if (round % ROUNDS_PER_OFFER == 0) {
        offer_to_all(run);
    }
    for (guint i = 0; i < run->daemons->len; i++) {
        struct handover_daemon *daemon = g_ptr_array_index(run->daemons, i);
        if (!is_settled(daemon)) {
            query_version(run, daemon);
        }
        settled = settled && is_settled(daemon);
    }
    return settled;
}

/* True if the version may still arrive: at a daemon that accepted it, or from one that has it in
 * force and can send it to the others. */
static bool can_still_arrive(const GPtrArray *daemons)
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
    for (guint round = 0; !run_round(&run, round); round++) {
        if (g_get_monotonic_time() >= deadline || !can_still_arrive(run.daemons)) {
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
