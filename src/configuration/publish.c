/* Publishing a configuration: performs the actions of publish_flow. */
#include "configuration/publish.h"

#include <inttypes.h>

#include "configuration/database_change.h"
#include "configuration/problem.h"
#include "core/error.h"

/* One publication in progress. */
struct publish_run {
    struct version_store *store;
    const struct publish_order *order;
    struct publish_flow flow;
    struct version_row *last_row; /* the row read last; the winner on a conflict */
    GError *last_error;           /* of the last call, if it failed */
};

static uint64_t now_ms(void)
{
    return (uint64_t)g_get_monotonic_time() / 1000;
}

static struct publish_context make_context(void)
{
    return (struct publish_context){now_ms(), g_random_int()};
}

static void keep_row(struct publish_run *run, struct version_row *row)
{
    version_row_free(run->last_row);
    run->last_row = row;
}

static void read_head(struct publish_run *run)
{
    struct version_row *row = NULL;
    enum platform_result result = version_store_read_head(run->store, &row, &run->last_error);

    publish_flow_on_head(&run->flow, result, row, make_context());
    keep_row(run, row);
}

static void read_version(struct publish_run *run)
{
    struct version_row *row = NULL;
    enum platform_result result =
        version_store_read_version(run->store, run->flow.request.base + 1, &row, &run->last_error);

    publish_flow_on_version(&run->flow, result, row, make_context());
    keep_row(run, row);
}

/* Reads and parses the bundle of a hash. OK with `configuration` NULL: the bundle does not parse,
 * so that no daemon can use it. */
static enum platform_result read_bundle(struct publish_run *run, const char *hash,
                                        struct configuration **configuration)
{
    g_autoptr(GBytes) canonical = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    enum platform_result result =
        version_store_get_bundle(run->store, hash, &canonical, &run->last_error);

    if (result == PLATFORM_RESULT_OK) {
        configuration_parse_canonical(canonical, "published", configuration, problems);
    }
    return result;
}

/* Reads the configuration that daemons have in force: the base or, if its bundle does not parse,
 * the newest earlier version whose bundle does. OK with `before` NULL: there is none. */
static enum platform_result read_base(struct publish_run *run, struct configuration **before)
{
    struct version_row *row = version_row_copy(run->last_row);
    enum platform_result result = read_bundle(run, row->hash, before);

    while (result == PLATFORM_RESULT_OK && *before == NULL && row->version > 1) {
        uint64_t version = row->version - 1;
        g_clear_pointer(&row, version_row_free);
        result = version_store_read_version(run->store, version, &row, &run->last_error);
        if (result == PLATFORM_RESULT_OK) {
            result = read_bundle(run, row->hash, before);
        }
    }
    version_row_free(row);
    return result;
}

static bool change_is_allowed(struct publish_run *run, const struct configuration *before)
{
    const struct publish_order *order = run->order;
    g_autoptr(GPtrArray) changes = database_changes_find(before, order->configuration);

    if (changes->len == 0) {
        return true;
    }
    return database_changes_check(changes, &run->last_error) &&
           (order->check == NULL ||
            order->check(order->check_user, run->flow.request.base, changes, &run->last_error));
}

static void check_change(struct publish_run *run)
{
    struct configuration *before = NULL;
    enum platform_result result = read_base(run, &before);

    if (result == PLATFORM_RESULT_OK && before != NULL && !change_is_allowed(run, before)) {
        result = PLATFORM_RESULT_CONDITION_FAILED;
    }
    configuration_unref(before);
    publish_flow_on_check(&run->flow, result, make_context());
}

static void put_bundle(struct publish_run *run)
{
    const struct configuration *configuration = run->order->configuration;
    enum platform_result result =
        version_store_put_bundle(run->store, configuration_hash(configuration),
                                 configuration_canonical(configuration), &run->last_error);

    publish_flow_on_bundle(&run->flow, result, make_context());
}

static void move_head(struct publish_run *run)
{
    const struct publish_order *order = run->order;
    const struct version_row row = {
        .version = run->flow.request.base + 1,
        .hash = (char *)configuration_hash(order->configuration),
        .request_id = (char *)order->request_id,
        .author = (char *)order->author,
        .message = (char *)order->message,
        .published_at = (uint64_t)(g_get_real_time() / G_USEC_PER_SEC),
    };
    enum platform_result result = version_store_move_head(run->store, &row, &run->last_error);

    publish_flow_on_move(&run->flow, result, make_context());
}

static void perform_action(struct publish_run *run)
{
    g_clear_error(&run->last_error);
    switch (run->flow.action) {
    case PUBLISH_ACTION_READ_HEAD:
        read_head(run);
        return;
    case PUBLISH_ACTION_READ_VERSION:
        read_version(run);
        return;
    case PUBLISH_ACTION_CHECK_CHANGE:
        check_change(run);
        return;
    case PUBLISH_ACTION_PUT_BUNDLE:
        put_bundle(run);
        return;
    case PUBLISH_ACTION_MOVE_HEAD:
        move_head(run);
        return;
    case PUBLISH_ACTION_WAIT:
    case PUBLISH_ACTION_FINISH:
        return;
    }
}

/* Runs the flow to its end. A wait leaves last_error set: if the deadline ends the flow, the
 * message names the last failure as its cause. */
static void run_flow(struct publish_run *run)
{
    while (run->flow.action != PUBLISH_ACTION_FINISH) {
        if (run->flow.action == PUBLISH_ACTION_WAIT) {
            g_usleep((gulong)run->flow.wait_ms * 1000);
            publish_flow_on_waited(&run->flow);
        } else {
            perform_action(run);
        }
    }
}

static void set_conflict(const struct version_row *winner, GError **error)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_PUBLISH_CONFLICT,
                "version %" PRIu64 " was published by %s (request %s): %s", winner->version,
                winner->author, winner->request_id, winner->message);
}

static void set_error(struct publish_run *run, GError **error)
{
    const struct publish_flow *flow = &run->flow;
    const char *cause = run->last_error != NULL ? run->last_error->message : "no answer";

    switch (flow->status) {
    case PUBLISH_STATUS_CONFLICT:
        set_conflict(run->last_row, error);
        return;
    case PUBLISH_STATUS_NO_BASE:
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                    "version %" PRIu64 " does not exist; the newest is %" PRIu64,
                    flow->request.base, flow->version);
        return;
    case PUBLISH_STATUS_FORBIDDEN:
        g_propagate_error(error, g_steal_pointer(&run->last_error));
        return;
    case PUBLISH_STATUS_UNKNOWN:
        g_set_error(error, SW_ERROR, ERROR_KIND_OUTCOME_UNKNOWN,
                    "no response to the write of version %" PRIu64 " (%s); retry with request "
                    "id %s and base %" PRIu64,
                    flow->request.base + 1, cause, flow->request.request_id, flow->request.base);
        return;
    default:
        g_set_error(error, SW_ERROR, ERROR_KIND_STORE_UNAVAILABLE, "not published: %s", cause);
        return;
    }
}

/* The hash of the version before the published one; NULL if there is none or it can't be read.
 * Reads it from the history unless the row read last is of that version. */
static char *find_base_hash(struct publish_run *run)
{
    uint64_t base = run->flow.version - 1;
    if (base == 0) {
        return NULL;
    }
    if (run->last_row != NULL && run->last_row->version == base) {
        return g_strdup(run->last_row->hash);
    }
    struct version_row *row = NULL;
    version_store_read_version(run->store, base, &row, NULL);
    char *hash = row != NULL ? g_strdup(row->hash) : NULL;
    version_row_free(row);
    return hash;
}

bool publish_configuration(struct version_store *store, const struct publish_order *order,
                           struct publish_outcome *outcome, GError **error)
{
    struct publish_run run = {.store = store, .order = order};
    const struct publish_request request = {
        .request_id = order->request_id,
        .hash = configuration_hash(order->configuration),
        .has_base = order->has_base,
        .base = order->base,
        .deadline_ms = now_ms() + order->timeout_ms,
        .retries_max = order->retries_max,
        .backoff = order->backoff,
    };

    publish_flow_start(&run.flow, &request);
    run_flow(&run);
    *outcome = (struct publish_outcome){.status = run.flow.status, .version = run.flow.version};
    bool in_force =
        run.flow.status == PUBLISH_STATUS_ACCEPTED || run.flow.status == PUBLISH_STATUS_UNCHANGED;
    if (in_force) {
        outcome->base_hash = find_base_hash(&run);
    } else {
        set_error(&run, error);
    }
    if (run.flow.status == PUBLISH_STATUS_CONFLICT) {
        outcome->winner = g_steal_pointer(&run.last_row);
    }
    version_row_free(run.last_row);
    g_clear_error(&run.last_error);
    return in_force;
}

void publish_outcome_clear(struct publish_outcome *outcome)
{
    g_clear_pointer(&outcome->winner, version_row_free);
    g_clear_pointer(&outcome->base_hash, g_free);
}
