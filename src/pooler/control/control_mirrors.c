/**
 * @file
 * @brief The control thread's part in mirrors (mirrors.h). The coordinator announces them, a pooler
 * that is missing tables sends a request to one over a separate connection, and a mirror answers
 * with its tables as one compressed message, built once for all receivers.
 *
 * A mirror that has no tables yet, or whose share of the link is used up, acknowledges the request
 * at once and answers pending requests in order. A mirror that has no tables and that the store
 * does not answer declines, and sends a request to another mirror itself. An answer contains the
 * tables' ages, as all relayed rows do, and is valid accordingly (control_relayed.c). A lost
 * connection counts as a failed request.
 */
#define G_LOG_DOMAIN "mirrors"
#include "pooler/control/control_internal.h"
#include "pooler/control/compression.h"

#include "wire/address.h"

#include <inttypes.h>

/** A pending request. */
typedef struct mirror_request {
    struct peer *peer;
    uint64_t sequence;
    row_versions_t known;
    bool takes_deltas;
} mirror_request_t;

/* ---- the list of mirrors ---- */

static const GPtrArray *
known_mirrors(const struct control *control)
{
    static const GPtrArray none = {NULL, 0};
    return control->mirrors.known == NULL ? &none : control->mirrors.known;
}

static bool
is_mirror(const struct control *control)
{
    const GPtrArray *known = known_mirrors(control);
    return mirrors_count_others(known, control->address) < known->len;
}

static void
replace_known(struct control *control, GPtrArray *mirrors)
{
    if (control->mirrors.known != NULL) {
        g_ptr_array_unref(control->mirrors.known);
    }
    control->mirrors.known = mirrors;
}

/* Poolers that are connected and not stopping, without the coordinator itself, which has enough
 * load. */
static GArray *
list_candidates(const struct control *control)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(mirror_candidate_t));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct pooler_peer *pooler = value;
        bool self = g_str_equal(pooler->name, control->settings->pooler.name);
        bool named = pooler->peer_address != NULL && pooler->peer_address[0] != '\0';
        if (pooler->peer != NULL && !pooler->stopping && !self && named) {
            const mirror_candidate_t candidate = {pooler->peer_address, pooler->zone,
                                                  pooler->millicores};
            g_array_append_val(candidates, candidate);
        }
    }
    return candidates;
}

void
control_mirrors_choose(struct control *control)
{
    g_autoptr(GArray) candidates = list_candidates(control);
    GPtrArray *chosen =
        mirrors_choose((mirror_candidate_t *)(void *)candidates->data, candidates->len);
    const mirror_choice_t choice = {
        .since = control->coordinator_since,
        .candidates = candidates->len,
        .candidates_before = control->mirrors.candidates,
        .known = known_mirrors(control)->len,
        .chosen = chosen->len,
    };
    control->mirrors.candidates = candidates->len;
    if (mirrors_equal(chosen, known_mirrors(control)) ||
        !mirrors_choice_is_settled(&choice, backend_now())) {
        g_ptr_array_unref(chosen);
        return;
    }
    g_info("%u poolers are mirrors of the store's tables, previously %u.", chosen->len,
           known_mirrors(control)->len);
    replace_known(control, chosen);
    control->mirrors.version++;
}

size_t
control_mirrors_copy(const struct control *control, struct pooler_mirror **out)
{
    const GPtrArray *known = known_mirrors(control);
    *out = g_new0(struct pooler_mirror, known->len + 1);
    for (guint i = 0; i < known->len; i++) {
        const struct pooler_mirror *mirror = known->pdata[i];
        (*out)[i].address = g_strdup(mirror->address);
        (*out)[i].zone = g_strdup(mirror->zone);
    }
    return known->len;
}

void
control_mirrors_announce(const struct control *control, struct pooler_peer *pooler,
                         struct pooler_grant *grant)
{
    if (pooler->mirrors_sent != control->mirrors.version) {
        grant->mirrors_count = control_mirrors_copy(control, &grant->mirrors);
        pooler->mirrors_sent = control->mirrors.version;
    }
}

void
control_mirrors_take(struct control *control, const struct pooler_mirror *mirrors, size_t count)
{
    if (count == 0 || control->lease.held) {
        return; /* not in the message, or chosen here */
    }
    GPtrArray *received = mirrors_new();
    for (size_t i = 0; i < count; i++) {
        mirrors_add(received, mirrors[i].address, mirrors[i].zone);
    }
    replace_known(control, received);
}

/* ---- as a mirror ---- */

static bool
has_tables(const struct control *control)
{
    return control->feeds[STORE_TABLE_CONFIGURATION].version != 0 &&
           control->feeds[STORE_TABLE_DIRECTORY].version != 0;
}

/* Changes since the snapshot was built are sent beside it, until they exceed the size of a message
 * of changes. Then the snapshot is built again. */
static const table_snapshot_t *
current_snapshot(struct control *control, time_ns now)
{
    table_snapshot_t *snapshot = &control->mirrors.snapshot;
    if (snapshot->compressed != NULL) {
        struct pooler_relay since;
        pooler_relay_init(&since);
        control_relay_fill(control, &(relay_receiver_t){.known = snapshot->through}, now, &since);
        bool small = !since.configuration_incomplete && !since.directory_incomplete;
        pooler_relay_clear(&since);
        if (small) {
            return snapshot;
        }
        g_clear_pointer(&snapshot->compressed, g_bytes_unref);
    }
    struct pooler_relay full;
    pooler_relay_init(&full);
    control_relay_fill_full(control, &full);
    g_autoptr(GBytes) content = g_byte_array_free_to_bytes(pooler_relay_encode(&full));
    pooler_relay_clear(&full);
    snapshot->through = control_relay_versions(control);
    snapshot->length = (uint32_t)g_bytes_get_size(content);
    snapshot->compressed = compression_compress(content);
    if (snapshot->compressed == NULL) { /* a few rows, which are no smaller compressed */
        snapshot->compressed = g_bytes_ref(content);
        snapshot->length = 0;
    }
    return snapshot;
}

/* True if no version of one of the tables is known. */
static bool
misses_table(const row_versions_t *known)
{
    return known->configuration == 0 || known->directory == 0;
}

void
control_mirrors_fill(struct control *control, const row_versions_t *known, bool takes_deltas,
                     time_ns now, struct pooler_grant *grant)
{
    relay_receiver_t to = {*known, true, takes_deltas};
    if (misses_table(known)) {
        const table_snapshot_t *snapshot = current_snapshot(control, now);
        gsize size = 0;
        gconstpointer data = g_bytes_get_data(snapshot->compressed, &size);
        grant->tables = g_memdup2(data, size);
        grant->tables_length = size;
        grant->tables_unpacked = snapshot->length;
        to.known = snapshot->through;
    }
    control_relay_fill(control, &to, now, &grant->relay);
}

static void
send_answer(struct control *control, struct peer *peer, const struct pooler_grant *grant)
{
    GByteArray *message = pooler_grant_encode(grant);
    control_counts_grant(&control->counts, PEER_SENT, PEER_BYTES_NONAUTHORITATIVE, grant,
                         message->len);
    control_relay_consume_budget(control, message->len);
    peer_send(peer, message);
}

static void
init_answer(const struct control *control, const mirror_request_t *request,
            struct pooler_grant *grant)
{
    pooler_grant_init(grant);
    grant->sequence = request->sequence;
    grant->coordinator = g_strdup(control->settings->pooler.name);
}

static void
send_tables(struct control *control, const mirror_request_t *request, time_ns now)
{
    struct pooler_grant grant;
    init_answer(control, request, &grant);
    control_mirrors_fill(control, &request->known, request->takes_deltas, now, &grant);
    control->counts.tables_sent++;
    send_answer(control, request->peer, &grant);
    pooler_grant_clear(&grant);
}

/* Acknowledges a request. With `declines`, the tables will not be sent. */
static void
send_acknowledgement(struct control *control, const mirror_request_t *request, bool declines)
{
    struct pooler_grant grant;
    init_answer(control, request, &grant);
    grant.relay.configuration_incomplete = declines;
    grant.relay.directory_incomplete = declines;
    send_answer(control, request->peer, &grant);
    pooler_grant_clear(&grant);
}

/* True if there is anything to send to a pooler that has these versions. */
static bool
knows_more(const struct control *control, const row_versions_t *known)
{
    row_versions_t here = control_relay_versions(control);
    return here.configuration > known->configuration || here.directory > known->directory;
}

/* True if this mirror has no tables and the store does not answer it. */
static bool
has_no_source(const struct control *control)
{
    bool fails = control->feeds[STORE_TABLE_CONFIGURATION].failures > 0 ||
                 control->feeds[STORE_TABLE_DIRECTORY].failures > 0;
    return fails && !has_tables(control);
}

static bool
may_answer(struct control *control, const mirror_request_t *request, time_ns now)
{
    return has_tables(control) && knows_more(control, &request->known) &&
           control_relay_has_budget(control, now);
}

void
control_mirrors_request(struct control *control, struct peer *peer,
                        const struct pooler_heartbeat *heartbeat, time_ns now)
{
    const mirror_request_t request = {
        .peer = peer,
        .sequence = heartbeat->sequence,
        .known = {heartbeat->relay.configuration_row, heartbeat->relay.directory_row},
        .takes_deltas = heartbeat->takes_deltas,
    };
    if (control->mirrors.pending == NULL) {
        control->mirrors.pending = g_array_new(FALSE, FALSE, sizeof(mirror_request_t));
    }
    if (control->mirrors.pending->len == 0 && may_answer(control, &request, now)) {
        send_tables(control, &request, now);
        return;
    }
    send_acknowledgement(control, &request, has_no_source(control));
    if (has_no_source(control)) {
        return;
    }
    g_array_append_val(control->mirrors.pending, request);
    control_wake_soon(control);
}

void
control_mirrors_cancel(struct control *control, const struct peer *peer)
{
    GArray *pending = control->mirrors.pending;
    for (guint i = pending == NULL ? 0 : pending->len; i > 0; i--) {
        if (g_array_index(pending, mirror_request_t, i - 1).peer == peer) {
            g_array_remove_index(pending, i - 1);
        }
    }
}

static void
answer_pending(struct control *control, time_ns now)
{
    GArray *pending = control->mirrors.pending;
    while (pending != NULL && pending->len > 0) {
        const mirror_request_t request = g_array_index(pending, mirror_request_t, 0);
        bool declines = has_no_source(control);
        if (!declines && !may_answer(control, &request, now)) {
            return;
        }
        g_array_remove_index(pending, 0);
        if (declines) {
            send_acknowledgement(control, &request, true);
        } else {
            send_tables(control, &request, now);
        }
    }
}

bool
control_mirrors_has_requests(const struct control *control)
{
    return control->mirrors.pending != NULL && control->mirrors.pending->len > 0;
}

/* ---- as a pooler that is missing tables ---- */

/* Ends the open request. `failed_at` is 0 if it did not fail. */
static void
end_request(struct control *control, time_ns failed_at)
{
    control->mirrors.requests.sent_at = 0;
    control->mirrors.requests.acknowledged = false;
    control->mirrors.requests.failed_at = failed_at;
}

static void
close_request(struct control *control)
{
    g_clear_pointer(&control->mirrors.peer, peer_free);
    end_request(control, 0);
}

bool
control_mirrors_take_tables(struct control *control, const struct pooler_grant *grant,
                            time_ns requested_at, GError **error)
{
    gsize length = grant->tables_length;
    g_autoptr(GBytes) content =
        grant->tables_unpacked == 0
            ? g_bytes_new(grant->tables, length)
            : compression_decompress(grant->tables, length, grant->tables_unpacked, error);
    if (content == NULL) {
        return false;
    }
    struct pooler_relay full = {0};
    const uint8_t *data = g_bytes_get_data(content, &length);
    if (length > 0) {
        if (!pooler_relay_decode(data, length, &full, error)) {
            return false;
        }
        control_relay_take(control, &full);
        pooler_relay_clear(&full);
    }
    control_relay_take(control, &grant->relay);
    control_relayed_accept_tables(control, &grant->relay, requested_at);
    return true;
}

static void
log_received(const struct control *control, size_t length, time_ns now)
{
    const mirrors_t *mirrors = &control->mirrors;
    g_autofree char *bytes = g_strdup_printf("%zu", length);
    g_autofree char *took = g_strdup_printf("%" PRIu64, (now - mirrors->requests.sent_at) / MS);
    g_autofree char *turn = g_strdup_printf("%u", mirrors->requests.sent);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_MIRROR", mirrors->last_address, "SW_BYTES",
                     bytes, "SW_TOOK_MS", took, "SW_TURN", turn, "MESSAGE",
                     "Received the store's tables from %s: %s bytes in %s ms.",
                     mirrors->last_address, bytes, took);
}

/* Returns false, which closes the connection, after an answer, a refusal or an unreadable message.
 */
static bool
on_frame(void *user, struct peer *peer, const uint8_t *data, size_t length)
{
    struct control *control = user;
    mirrors_t *mirrors = &control->mirrors;
    struct pooler_grant grant = {0};
    g_autoptr(GError) error = NULL;
    if (!pooler_grant_decode(data, length, &grant, &error)) {
        g_warning("Message from a mirror could not be decoded: %s.", error->message);
        return false;
    }
    control_counts_grant(&control->counts, PEER_RECEIVED, PEER_BYTES_NONAUTHORITATIVE, &grant,
                         length);
    bool acknowledgement = grant.relay.configuration_row == 0 && grant.relay.directory_row == 0;
    bool declines = acknowledgement && grant.relay.configuration_incomplete;
    if (acknowledgement) {
        mirrors->requests.acknowledged = true;
    } else if (control_mirrors_take_tables(control, &grant, mirrors->requests.sent_at, &error)) {
        control->counts.tables_received++;
        log_received(control, length, backend_now());
        control_publish(control);
    } else {
        g_warning("Tables from a mirror could not be decoded: %s.", error->message);
    }
    pooler_grant_clear(&grant);
    control_wake_soon(control);
    return acknowledgement && !declines;
}

static void
on_closed(void *user, struct peer *peer)
{
    struct control *control = user;
    control->mirrors.peer = NULL;
    end_request(control, backend_now());
    control_wake_soon(control);
}

static void
send_request(struct control *control, const char *address, time_ns now)
{
    struct sockaddr_in socket_address;
    mirrors_t *mirrors = &control->mirrors;
    close_request(control);
    mirrors->requests.sent++;
    mirrors->requests.first_sent_at =
        mirrors->requests.first_sent_at == 0 ? now : mirrors->requests.first_sent_at;
    g_free(mirrors->last_address);
    mirrors->last_address = g_strdup(address);
    mirrors->callbacks = (struct peer_callbacks){on_frame, on_closed, control};
    if (parse_address(address, &socket_address)) {
        mirrors->peer = peer_connect(control->base, &socket_address, &mirrors->callbacks);
    }
    if (mirrors->peer == NULL) {
        end_request(control, now);
        return;
    }
    row_versions_t known = control_relay_versions(control);
    struct pooler_heartbeat request;
    pooler_heartbeat_init(&request);
    request.wants_tables = true;
    request.takes_deltas = true;
    request.relay.configuration_row = known.configuration;
    request.relay.directory_row = known.directory;
    mirrors->requests.sent_at = now;
    peer_send(mirrors->peer, pooler_heartbeat_encode(&request));
    pooler_heartbeat_clear(&request);
}

static bool
is_missing(const struct control *control)
{
    return control->feeds[STORE_TABLE_CONFIGURATION].missing ||
           control->feeds[STORE_TABLE_DIRECTORY].missing;
}

/* True if the list of mirrors may still arrive from a coordinator, or from the lease's row, which
 * was not read yet. */
static bool
may_learn_mirrors(const struct control *control)
{
    return control->lease.clock_received == 0 || control->granted_at != 0;
}

static mirror_inputs_t
make_inputs(const struct control *control)
{
    const GPtrArray *known = known_mirrors(control);
    row_versions_t here = control_relay_versions(control);
    bool starts = misses_table(&here);
    bool mirror = is_mirror(control) && !has_no_source(control);
    /* A follower that starts gets the tables from a mirror sooner than from the store. */
    bool follows = control->follows_store && !starts;
    return (mirror_inputs_t){
        .starts = starts,
        .bound = control->settings->store.apply_ms * MS,
        .reads_store = control->lease.held || follows || mirror,
        .may_learn_mirrors = may_learn_mirrors(control),
        .mirrors = mirrors_count_others(known, control->address),
        .missing_since = control->mirrors.missing_since,
    };
}

/* Logs once that the requests to mirrors have failed and the store is read. */
static void
log_fallback_to_store(const struct control *control)
{
    if (control->mirrors.requests.sent > 0) {
        g_message(
            "No tables received after %u requests to mirrors, the last to %s; reading the store.",
            control->mirrors.requests.sent, control->mirrors.last_address);
    }
}

void
control_mirrors_tick(struct control *control, time_ns now)
{
    mirrors_t *mirrors = &control->mirrors;
    answer_pending(control, now);
    row_versions_t here = control_relay_versions(control);
    if (!misses_table(&here) && !is_missing(control)) {
        close_request(control);
        mirrors->requests = (mirror_requests_t){0};
        mirrors->missing_since = 0;
        mirrors->expected = false;
        return;
    }
    if (mirrors->missing_since == 0 && now >= control->relayed_valid_until) {
        mirrors->missing_since = now;
    }
    const mirror_inputs_t inputs = make_inputs(control);
    mirror_step_t step = mirror_next_step(&mirrors->requests, &inputs, now);
    if (step == MIRROR_STEP_REQUEST) {
        guint seed = g_str_hash(control->settings->pooler.name);
        send_request(control,
                     mirrors_at(mirrors->known, control->settings->pooler.zone, control->address,
                                seed, mirrors->requests.sent),
                     now);
    } else if (step == MIRROR_STEP_STORE && mirrors->expected) {
        log_fallback_to_store(control);
        close_request(control);
    }
    mirrors->expected = step != MIRROR_STEP_STORE;
}
