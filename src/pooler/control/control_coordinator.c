/* The listener for the other poolers' connections. The coordinator receives their heartbeats and
 * answers with grants: group orders, read permits and the rows of the store that they are missing.
 * A pooler that is not the coordinator gives a non-authoritative reply with the coordinator's
 * address. */
#define G_LOG_DOMAIN "coordinator"
#include "pooler/control/control_internal.h"
#include "pooler/shared/socket.h"
#include "wire/address.h"

#include <unistd.h>

/* Length of a read permit. A change of primary waits for the end of the permit of each unresponsive
 * pooler. */
#define PERMIT_MS 1000

/* A pooler without a heartbeat for this time is removed. */
#define POOLER_TIMEOUT_NS (4000 * MS)
#define LISTEN_BACKLOG    128

/* A new coordinator has not yet received heartbeats of all poolers. For POOLERS_GATHER_NS it
 * assumes at least this many, unless it knows the size of the fleet from the lease row. */
#define POOLERS_ASSUMED   9
#define POOLERS_GATHER_NS (3000 * MS)

/* In this time after its start it has received heartbeats of at least a third of the poolers. */
#define POOLERS_FIRST_NS     (400 * MS)
#define POOLERS_FIRST_FACTOR 3

/* If a connection breaks within this time after a heartbeat, the peer closed it, so its process has
 * ended. Heartbeats come four times in this time, and a connection to a failed or partitioned
 * machine breaks only after 1.5 s. */
#define ENDED_WITHIN_NS (1000 * MS)

/* Interval of choosing the followers and mirrors of the store. */
#define FOLLOWERS_EVERY_NS (500 * MS)

/* Minimum interval of the periodic work, so that heartbeats which arrive close together are
 * processed together: 300 poolers send 1,200 heartbeats per second. Short compared to the shortest
 * step of a change of primary, 40 ms. */
#define COORDINATE_EVERY_NS (10 * MS)

static void
report_free(gpointer data)
{
    pooler_group_report_clear(data);
    g_free(data);
}

/* Logs a change of the number of faults that a pooler reports. */
static void
log_faults(const struct pooler_peer *pooler, const struct pooler_group_report *report)
{
    const struct pooler_group_report *before =
        g_hash_table_lookup(pooler->reports, report->service);
    size_t known = before == NULL ? 0 : before->faults_count;
    if (known == report->faults_count) {
        return;
    }
    const struct pooler_fault *first = report->faults_count > 0 ? &report->faults[0] : NULL;
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_SERVICE", report->service, "SW_POOLER",
                     pooler->name, "SW_DATABASE", first == NULL ? "" : first->database, "MESSAGE",
                     "Pooler %s reports %zu faulty databases of group %s, first %s: %s.",
                     pooler->name, report->faults_count, report->service,
                     first == NULL ? "none" : first->database,
                     first == NULL ? "none" : database_fault_name(first->kind));
}

/* Stores the heartbeat's reports. Reports on groups that it does not mention stay as they are. */
static void
store_reports(struct pooler_peer *pooler, struct pooler_heartbeat *heartbeat)
{
    for (size_t i = 0; i < heartbeat->groups_count; i++) {
        struct pooler_group_report *report = g_new(struct pooler_group_report, 1);
        *report = heartbeat->groups[i];
        pooler_group_report_init(&heartbeat->groups[i]);
        log_faults(pooler, report);
        bool empty = report->faults_count == 0 && report->in_flight == 0;
        if (empty) {
            g_hash_table_remove(pooler->reports, report->service);
            report_free(report);
        } else {
            g_hash_table_replace(pooler->reports, report->service, report);
        }
    }
}

static void
pooler_free(gpointer data)
{
    struct pooler_peer *pooler = data;
    g_hash_table_unref(pooler->reports);
    g_free(pooler->peer_address);
    g_free(pooler->forward_address);
    g_free(pooler->zone);
    g_free(pooler->name);
    g_free(pooler);
}

static struct pooler_peer *
find_or_add_pooler(struct control *control, const char *name)
{
    struct pooler_peer *pooler = g_hash_table_lookup(control->poolers, name);
    if (pooler == NULL) {
        pooler = g_new0(struct pooler_peer, 1);
        pooler->name = g_strdup(name);
        pooler->contact.listening_since = control->coordinator_since;
        pooler->reports = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, report_free);
        g_hash_table_insert(control->poolers, pooler->name, pooler);
    }
    return pooler;
}

/* A new coordinator uses the size of the fleet that the last one announced. After a restart of all
 * poolers there is none, and it has received only the earliest heartbeats so far. */
uint32_t
control_coordinator_count(const struct control *control)
{
    uint32_t count = g_hash_table_size(control->poolers);
    time_ns age = backend_now() - control->coordinator_since;
    if (age > POOLERS_GATHER_NS) {
        return MAX(count, 1);
    }
    if (control->members_before > 0) {
        return MAX(count, control->members_before);
    }
    return MAX(age < POOLERS_FIRST_NS ? count * POOLERS_FIRST_FACTOR : count, POOLERS_ASSUMED);
}

/* Sends a grant, and counts its bytes by content. */
static void
send_counted(struct control *control, struct peer *peer, const struct pooler_grant *grant,
             peer_bytes_t kind)
{
    GByteArray *message = pooler_grant_encode(grant);
    control_counts_grant(&control->counts, PEER_SENT, kind, grant, message->len);
    peer_send(peer, message);
}

/* True if the heartbeat has the sender's name and addresses: the first one on a connection. */
static bool
has_identity(const struct pooler_heartbeat *heartbeat)
{
    return heartbeat->name != NULL && heartbeat->name[0] != '\0';
}

/* The reply of a pooler that is not the coordinator: the coordinator's address, and the orders,
 * fleet members and rows that are known here. They give no permit. */
static void
send_non_authoritative(struct control *control, struct peer *peer,
                       const struct pooler_heartbeat *heartbeat)
{
    struct pooler_grant grant;
    pooler_grant_init(&grant);
    grant.sequence = heartbeat->sequence;
    grant.coordinator = g_strdup(control->settings->pooler.name);
    grant.coordinator_address = g_strdup(control->coordinator_address);
    if (has_identity(heartbeat)) {
        grant.mirrors_count = control_mirrors_copy(control, &grant.mirrors);
    }
    control_news_fill_nonauthoritative(control, heartbeat, &grant);
    control_relay_fill_nonauthoritative(control, peer, heartbeat, backend_now(), &grant.relay);
    send_counted(control, peer, &grant, PEER_BYTES_NONAUTHORITATIVE);
    pooler_grant_clear(&grant);
}

/* True if there are rows, orders, fleet members or followers to send to the pooler. */
static bool
has_updates_for(const struct control *control, const struct pooler_peer *pooler)
{
    row_versions_t here = control_relay_versions(control);
    bool rows =
        control_relay_is_confirmed(pooler) && (here.configuration > pooler->known.configuration ||
                                               here.directory > pooler->known.directory);
    return rows || pooler->orders_sent < control->orders_version ||
           pooler->fleet_sent < control_fleet_version(control) ||
           pooler->followers_sent != control->followers_version;
}

/* Answers a heartbeat with a grant, or (`heartbeat` NULL) pushes updates, without a permit. */
static void
send_grant(struct control *control, struct peer *peer, struct pooler_peer *pooler,
           const struct pooler_heartbeat *heartbeat, time_ns now)
{
    struct pooler_grant grant;
    pooler_grant_init(&grant);
    grant.coordinator = g_strdup(control->settings->pooler.name);
    grant.token = control->lease.token;
    grant.stamp = now;
    grant.members = control_coordinator_count(control);
    grant.follows_store = pooler->follows_store;
    control_news_fill(control, pooler, &grant);
    control_followers_announce(control, pooler->followers_sent, &grant);
    pooler->followers_sent = control->followers_version;
    control_mirrors_announce(control, pooler, &grant);
    control_relay_fill_pooler(control, pooler, now, &grant.relay);
    if (heartbeat != NULL) {
        grant.sequence = heartbeat->sequence;
        grant.permit_ms = (uint32_t)MIN(control_lease_remaining(control, now) / MS, PERMIT_MS);
        pooler->permit_until = MAX(pooler->permit_until, now + grant.permit_ms * MS);
    }
    send_counted(control, peer, &grant, PEER_BYTES_GRANT);
    pooler_grant_clear(&grant);
}

/* Applies rows that the pooler knows and this one does not, and notes which rows it knows. Rows
 * that are in transit to it count as known. */
static void
apply_relay(struct control *control, struct pooler_peer *pooler,
            const struct pooler_heartbeat *heartbeat)
{
    const struct pooler_relay *relay = &heartbeat->relay;
    control_relay_take(control, relay);
    /* The heartbeat was sent after the grant whose stamp it has. */
    control_relayed_accept_proofs(control, relay, heartbeat->grant_stamp);
    control_relay_confirm(pooler, relay);
}

static void
replace_text(char **text, const char *by)
{
    g_free(*text);
    *text = g_strdup(by);
}

/* On a new connection, everything is sent and reported from the beginning. */
static void
start_connection(struct control *control, struct pooler_peer *pooler, struct peer *peer,
                 const struct pooler_heartbeat *heartbeat)
{
    if (pooler->peer != NULL) {
        g_hash_table_remove(control->poolers_by_peer, pooler->peer);
    }
    g_hash_table_remove_all(pooler->reports);
    g_hash_table_insert(control->poolers_by_peer, peer, pooler);
    pooler->peer = peer;
    pooler->process_ended = false;
    pooler->known = pooler->confirmed = (row_versions_t){0};
    pooler->fleet_sent = heartbeat->fleet_version;
    pooler->fleet_reported = 0;
    pooler->followers_sent = 0;
    pooler->mirrors_sent = 0;
    pooler->orders_sent = 0;
}

/* Assigns the connection to the pooler that the heartbeat names. */
static struct pooler_peer *
identify_pooler(struct control *control, struct peer *peer,
                const struct pooler_heartbeat *heartbeat)
{
    struct pooler_peer *pooler = find_or_add_pooler(control, heartbeat->name);
    if (pooler->incarnation != heartbeat->incarnation) {
        control->followers_at = 0;
        g_message("Pooler %s connected, in zone %s.", heartbeat->name, heartbeat->zone);
    }
    if (pooler->peer != peer) {
        start_connection(control, pooler, peer, heartbeat);
    }
    replace_text(&pooler->zone, heartbeat->zone);
    replace_text(&pooler->forward_address, heartbeat->forward_address);
    replace_text(&pooler->peer_address, heartbeat->peer_address);
    pooler->workers = heartbeat->workers;
    pooler->millicores = heartbeat->millicores;
    pooler->incarnation = heartbeat->incarnation;
    return pooler;
}

/* A connection without a name is from before this pooler became the coordinator. Its pooler sends
 * its name after a non-authoritative reply. */
static void
handle_heartbeat(struct control *control, struct peer *peer, struct pooler_heartbeat *heartbeat)
{
    time_ns now = backend_now();
    bool identified = has_identity(heartbeat);
    struct pooler_peer *pooler = identified ? identify_pooler(control, peer, heartbeat)
                                            : g_hash_table_lookup(control->poolers_by_peer, peer);
    if (pooler == NULL) {
        send_non_authoritative(control, peer, heartbeat);
        return;
    }
    apply_relay(control, pooler, heartbeat);
    contact_note(&pooler->contact, now);
    control_reachability_note_contact(control, pooler->zone, now);
    pooler->fleet_reported = heartbeat->fleet_version;
    pooler->fleet_reported_as_of = heartbeat->grant_stamp;
    pooler->stopping = heartbeat->stopping;
    pooler->store_age_ms = heartbeat->store_age_ms;
    pooler->lacks_store = heartbeat->lacks_store;
    pooler->takes_deltas = heartbeat->takes_deltas;
    pooler->takes_news = heartbeat->takes_news;
    bool changed = identified || heartbeat->groups_count > 0 || heartbeat->relay.rows_count > 0 ||
                   heartbeat->orders_followed != pooler->orders_followed;
    pooler->orders_followed = heartbeat->orders_followed;
    store_reports(pooler, heartbeat);
    send_grant(control, peer, pooler, heartbeat, now);
    if (changed) {
        control_coordinator_wake(control);
    }
}

static bool
on_frame(void *user, struct peer *peer, const uint8_t *data, size_t length)
{
    struct control *control = user;
    struct pooler_heartbeat heartbeat = {0};
    g_autoptr(GError) error = NULL;
    if (!pooler_heartbeat_decode(data, length, &heartbeat, &error)) {
        g_warning("Closed a connection: malformed heartbeat of a pooler: %s.", error->message);
        return false;
    }
    control_counts_heartbeat(&control->counts, PEER_RECEIVED, &heartbeat, length);
    if (heartbeat.wants_tables) {
        control_mirrors_request(control, peer, &heartbeat, backend_now());
    } else if (control->lease.held) {
        handle_heartbeat(control, peer, &heartbeat);
    } else {
        send_non_authoritative(control, peer, &heartbeat);
    }
    pooler_heartbeat_clear(&heartbeat);
    return true;
}

static void
on_closed(void *user, struct peer *peer)
{
    struct control *control = user;
    struct pooler_peer *pooler = g_hash_table_lookup(control->poolers_by_peer, peer);
    if (pooler != NULL) {
        pooler->peer = NULL;
        pooler->process_ended = backend_now() < pooler->contact.last_heartbeat_at + ENDED_WITHIN_NS;
        g_hash_table_remove(control->poolers_by_peer, peer);
    }
    g_hash_table_remove(control->unconfirmed_rows, peer);
    control_mirrors_cancel(control, peer);
    g_ptr_array_remove_fast(control->connected, peer);
}

static void
on_acceptable(evutil_socket_t listener, short events, void *user)
{
    struct control *control = user;
    int handle = socket_accept(control->listener);
    if (handle >= 0) {
        struct peer *peer = peer_accept(control->base, handle, &control->pooler_callbacks);
        g_ptr_array_add(control->connected, peer);
    }
}

bool
control_coordinator_listen(struct control *control, GError **error)
{
    control->pooler_callbacks = (struct peer_callbacks){on_frame, on_closed, control};
    control->poolers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pooler_free);
    control->poolers_by_peer = g_hash_table_new(g_direct_hash, g_direct_equal);
    control->unconfirmed_rows = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    control->connected = g_ptr_array_new();
    struct sockaddr_in address;
    parse_address(control->settings->pooler.peer_listen, &address);
    control->listener = socket_listen(&address, LISTEN_BACKLOG, false, error);
    if (control->listener < 0) {
        return false;
    }
    control->acceptable =
        event_new(control->base, control->listener, EV_READ | EV_PERSIST, on_acceptable, control);
    event_add(control->acceptable, NULL);
    return true;
}

void
control_coordinator_stop(struct control *control)
{
    while (control->connected->len > 0) {
        struct peer *peer = g_ptr_array_index(control->connected, 0);
        g_ptr_array_remove_index(control->connected, 0);
        peer_free(peer);
    }
    g_ptr_array_unref(control->connected);
    g_hash_table_unref(control->unconfirmed_rows);
    g_hash_table_unref(control->poolers_by_peer);
    g_hash_table_unref(control->poolers);
    event_free(control->acceptable);
    close(control->listener);
}

void
control_coordinator_start(struct control *control)
{
    g_hash_table_remove_all(control->poolers_by_peer);
    g_hash_table_remove_all(control->poolers);
    control->followers_version++;
    control->mirrors.version++;
    control->mirrors.candidates = 0;
    control->coordinator_since = backend_now();
    control->predecessor_permits_until = control_lease_predecessor_expired(control)
                                             ? 0
                                             : control->coordinator_since + PERMIT_MS * MS;
    control->lease.handover_token = 0;
    control->members_before = control_fleet_size(control);
    control->orders_version = control->lease.token << EPOCH_SHIFT;
    control->coordinated_at = 0;
    control_member_set_coordinator(control, control->address);
    control_groups_start(control);
}

/* Connections stay open: closing them at once could lose messages in transit, such as the lease
 * handover. Heartbeats get non-authoritative replies from now on. */
void
control_coordinator_end(struct control *control)
{
    control_groups_end(control);
    g_hash_table_remove_all(control->poolers_by_peer);
    g_hash_table_remove_all(control->poolers);
    g_clear_pointer(&control->coordinator_address, g_free);
}

void
control_coordinator_push(struct control *control)
{
    control->push_pending = true;
}

static void
push_updates(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    uint32_t receivers = 0;
    uint64_t before = control_counts_sent(&control->counts);
    control->rows_to_push = false;
    control->push_pending = false;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_peer *pooler = value;
        if (pooler->peer != NULL && has_updates_for(control, pooler)) {
            send_grant(control, pooler->peer, pooler, NULL, now);
            receivers++;
        }
    }
    push_limiter_consume(&control->push_limiter, receivers,
                         control_counts_sent(&control->counts) - before, now);
}

/* True if updates are pushed to all poolers now. Otherwise they stay pending: answers to heartbeats
 * carry them, or a later push. */
static bool
may_push(struct control *control, time_ns now)
{
    double link_bytes_per_s = control->settings->pooler.link_mbps * BYTES_PER_MEGABIT;
    return (control->rows_to_push || control->push_pending) &&
           push_limiter_allows(&control->push_limiter, link_bytes_per_s, now);
}

/* A pooler that was removed has to report everything again. It does so on a new connection. */
static void
drop_connection(struct control *control, struct pooler_peer *pooler)
{
    if (pooler->peer != NULL) {
        g_hash_table_remove(control->poolers_by_peer, pooler->peer);
        g_hash_table_remove(control->unconfirmed_rows, pooler->peer);
        control_mirrors_cancel(control, pooler->peer);
        g_ptr_array_remove_fast(control->connected, pooler->peer);
        peer_free(pooler->peer);
        pooler->peer = NULL;
    }
}

void
control_coordinator_wake(struct control *control)
{
    control->coordination_due = true;
    control_wake_soon(control);
}

time_ns
control_coordinator_due(const struct control *control)
{
    return control->lease.held && control->coordination_due
               ? control->coordinated_at + COORDINATE_EVERY_NS
               : UINT64_MAX;
}

static void
remove_unresponsive(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_peer *pooler = value;
        if (now > pooler->contact.last_heartbeat_at + POOLER_TIMEOUT_NS) {
            g_message("Pooler %s removed: its heartbeats timed out.", pooler->name);
            drop_connection(control, pooler);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

void
control_coordinator_tick(struct control *control, time_ns now)
{
    if (!control->lease.held) {
        return;
    }
    if (now < control->coordinated_at + COORDINATE_EVERY_NS) {
        control->coordination_due = true;
        return;
    }
    control->coordinated_at = now;
    control->coordination_due = false;
    remove_unresponsive(control, now);
    if (control_coordinator_hand_over_to_stronger(control, now)) {
        return;
    }
    if (now > control->followers_at + FOLLOWERS_EVERY_NS) {
        control->followers_at = now;
        control_followers_choose(control);
        control_mirrors_choose(control);
    }
    control_fleet_tick(control, now);
    control_groups_tick(control, now);
    if (may_push(control, now)) {
        push_updates(control, now);
    }
}
