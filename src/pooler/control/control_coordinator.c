/* The coordinator towards the poolers: hears their heartbeats, and answers with orders, permits and
 * rows of the store that they lack. A pooler that is not the coordinator tells where that is. */
#define G_LOG_DOMAIN "coordinator"
#include "pooler/control/control_internal.h"
#include "pooler/shared/socket.h"
#include "wire/address.h"

#include <unistd.h>

/* How long a permit lasts. A change of primary waits for it where a pooler can't be heard. */
#define PERMIT_MS 1000

/* A pooler that was not heard for this long no longer counts. */
#define POOLER_FORGOTTEN_NS (4000 * MS)
#define LISTEN_BACKLOG      128

/* A new coordinator has not heard all poolers yet, and counts at least so many for a while, unless
 * the lease's row tells. */
#define POOLERS_ASSUMED   9
#define POOLERS_GATHER_NS (3000 * MS)

/* In its first moments it has heard a third of them, or more. */
#define POOLERS_FIRST_NS     (400 * MS)
#define POOLERS_FIRST_FACTOR 3

/* A connection that breaks so soon after a heartbeat was closed by its other end, four heartbeats
 * being due in it; one to a machine that went dark or was cut off breaks after 1.5 s. */
#define ENDED_WITHIN_NS (1000 * MS)

/* Time between two choices of the poolers that follow the store. */
#define FOLLOWERS_EVERY_NS (500 * MS)

/* Least time between two looks at all groups. What many poolers tell in a moment is looked at
 * together: at 300 poolers some 1,200 heartbeats come in a second. Short beside the shortest step
 * of a change of primary, 40 ms. */
#define COORDINATE_EVERY_NS (10 * MS)

static void
report_free(gpointer data)
{
    pooler_group_report_clear(data);
    g_free(data);
}

/* Faults that a pooler tells anew, or no longer. */
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

/* Takes the heartbeat's reports over. What it does not tell is as it was. */
static void
take_reports(struct pooler_peer *pooler, struct pooler_heartbeat *heartbeat)
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
pooler_of(struct control *control, const char *name)
{
    struct pooler_peer *pooler = g_hash_table_lookup(control->poolers, name);
    if (pooler == NULL) {
        pooler = g_new0(struct pooler_peer, 1);
        pooler->name = g_strdup(name);
        pooler->contact.listened_at = control->coordinator_since;
        pooler->reports = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, report_free);
        g_hash_table_insert(control->poolers, pooler->name, pooler);
    }
    return pooler;
}

/* How many poolers share the databases' connections. One that has just become the coordinator goes
 * by what the last one told; after a loss of all, it has heard only the quickest yet. */
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

/* Sends, and counts what the message is made of. */
static void
send_counted(struct control *control, struct peer *peer, const struct pooler_grant *grant,
             peer_bytes_t kind)
{
    GByteArray *message = pooler_grant_encode(grant);
    control_counts_grant(&control->counts, PEER_SENT, kind, grant, message->len);
    peer_send(peer, message);
}

/* True of the first heartbeat on a connection. */
static bool
introduces_itself(const struct pooler_heartbeat *heartbeat)
{
    return heartbeat->name != NULL && heartbeat->name[0] != '\0';
}

/* The answer of a pooler that is not the coordinator: where that is, and what is known here. */
static void
send_hearsay(struct control *control, struct peer *peer, const struct pooler_heartbeat *heartbeat)
{
    struct pooler_grant grant;
    pooler_grant_init(&grant);
    grant.sequence = heartbeat->sequence;
    grant.coordinator = g_strdup(control->settings->pooler.name);
    grant.coordinator_address = g_strdup(control->coordinator_address);
    if (introduces_itself(heartbeat)) {
        grant.mirrors_count = control_mirrors_copy(control, &grant.mirrors);
    }
    control_news_fill_nonauthoritative(control, heartbeat, &grant);
    control_relay_fill_nonauthoritative(control, peer, heartbeat, backend_now(), &grant.relay);
    send_counted(control, peer, &grant, PEER_BYTES_HEARSAY);
    pooler_grant_clear(&grant);
}

/* True if a message to the pooler would tell it something. */
static bool
has_news_for(const struct control *control, const struct pooler_peer *pooler)
{
    row_versions_t here = control_relay_versions(control);
    bool rows =
        control_relay_is_confirmed(pooler) && (here.configuration > pooler->known.configuration ||
                                               here.directory > pooler->known.directory);
    return rows || pooler->orders_sent < control->orders_version ||
           pooler->fleet_told < control_fleet_version(control) ||
           pooler->followers_told != control->followers_version;
}

/* Answers a heartbeat, or sends the orders unasked, without a permit. */
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
    control_followers_announce(control, pooler->followers_told, &grant);
    pooler->followers_told = control->followers_version;
    control_mirrors_announce(control, pooler, &grant);
    control_relay_fill_pooler(control, pooler, now, &grant.relay);
    if (heartbeat != NULL) {
        grant.sequence = heartbeat->sequence;
        grant.permit_ms = (uint32_t)MIN(control_lease_left(control, now) / MS, PERMIT_MS);
        pooler->permit_until = MAX(pooler->permit_until, now + grant.permit_ms * MS);
    }
    send_counted(control, peer, &grant, PEER_BYTES_GRANT);
    pooler_grant_clear(&grant);
}

/* What the pooler knows, and what it knows better. Rows that were sent meanwhile count as known. */
static void
take_relay(struct control *control, struct pooler_peer *pooler,
           const struct pooler_heartbeat *heartbeat)
{
    const struct pooler_relay *relay = &heartbeat->relay;
    control_relay_take(control, relay);
    /* It was sent after the grant whose stamp it tells. */
    control_relayed_accept_proofs(control, relay, heartbeat->grant_stamp);
    control_relay_confirm(pooler, relay);
}

static void
replace_text(char **text, const char *by)
{
    g_free(*text);
    *text = g_strdup(by);
}

/* Another connection knows nothing yet of what was told on the last one. */
static void
start_connection(struct control *control, struct pooler_peer *pooler, struct peer *peer,
                 const struct pooler_heartbeat *heartbeat)
{
    if (pooler->peer != NULL) {
        g_hash_table_remove(control->introduced, pooler->peer);
    }
    g_hash_table_remove_all(pooler->reports);
    g_hash_table_insert(control->introduced, peer, pooler);
    pooler->peer = peer;
    pooler->ended = false;
    pooler->known = pooler->confirmed = (row_versions_t){0};
    pooler->fleet_told = heartbeat->fleet_version;
    pooler->fleet_known = 0;
    pooler->followers_told = 0;
    pooler->mirrors_told = 0;
    pooler->orders_sent = 0;
}

/* The first heartbeat on a connection says who sends it. */
static struct pooler_peer *
introduce(struct control *control, struct peer *peer, const struct pooler_heartbeat *heartbeat)
{
    struct pooler_peer *pooler = pooler_of(control, heartbeat->name);
    if (pooler->incarnation != heartbeat->incarnation) {
        control->followers_at = 0;
        g_message("Pooler %s is heard, in zone %s.", heartbeat->name, heartbeat->zone);
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

/* One that is not known, as this pooler has just become the coordinator, introduces itself once it
 * is answered by hearsay. */
static void
take_heartbeat(struct control *control, struct peer *peer, struct pooler_heartbeat *heartbeat)
{
    time_ns now = backend_now();
    bool introduces = introduces_itself(heartbeat);
    struct pooler_peer *pooler = introduces ? introduce(control, peer, heartbeat)
                                            : g_hash_table_lookup(control->introduced, peer);
    if (pooler == NULL) {
        send_hearsay(control, peer, heartbeat);
        return;
    }
    take_relay(control, pooler, heartbeat);
    contact_note(&pooler->contact, now);
    control_reachability_note_contact(control, pooler->zone, now);
    pooler->fleet_known = heartbeat->fleet_version;
    pooler->fleet_known_as_of = heartbeat->grant_stamp;
    pooler->stopping = heartbeat->stopping;
    pooler->store_age_ms = heartbeat->store_age_ms;
    pooler->lacks_store = heartbeat->lacks_store;
    pooler->takes_deltas = heartbeat->takes_deltas;
    pooler->takes_news = heartbeat->takes_news;
    bool news = introduces || heartbeat->groups_count > 0 || heartbeat->relay.rows_count > 0 ||
                heartbeat->orders_followed != pooler->orders_followed;
    pooler->orders_followed = heartbeat->orders_followed;
    take_reports(pooler, heartbeat);
    send_grant(control, peer, pooler, heartbeat, now);
    if (news) {
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
        g_warning("A pooler's message can't be read: %s.", error->message);
        return false;
    }
    control_counts_heartbeat(&control->counts, PEER_RECEIVED, &heartbeat, length);
    if (heartbeat.wants_tables) {
        control_mirrors_request(control, peer, &heartbeat, backend_now());
    } else if (control->lease.held) {
        take_heartbeat(control, peer, &heartbeat);
    } else {
        send_hearsay(control, peer, &heartbeat);
    }
    pooler_heartbeat_clear(&heartbeat);
    return true;
}

static void
on_closed(void *user, struct peer *peer)
{
    struct control *control = user;
    struct pooler_peer *pooler = g_hash_table_lookup(control->introduced, peer);
    if (pooler != NULL) {
        pooler->peer = NULL;
        pooler->ended = backend_now() < pooler->contact.heard_at + ENDED_WITHIN_NS;
        g_hash_table_remove(control->introduced, peer);
    }
    g_hash_table_remove(control->listeners, peer);
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
    control->introduced = g_hash_table_new(g_direct_hash, g_direct_equal);
    control->listeners = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
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
    g_hash_table_unref(control->listeners);
    g_hash_table_unref(control->introduced);
    g_hash_table_unref(control->poolers);
    event_free(control->acceptable);
    close(control->listener);
}

void
control_coordinator_start(struct control *control)
{
    g_hash_table_remove_all(control->introduced);
    g_hash_table_remove_all(control->poolers);
    control->followers_version++;
    control->mirrors.version++;
    control->mirrors.candidates = 0;
    control->coordinator_since = backend_now();
    control->owed_until =
        control->lease.ceded_token == 0 ? 0 : control->coordinator_since + PERMIT_MS * MS;
    control->lease.ceded_token = 0;
    control->members_before = control_fleet_size(control);
    control->orders_version = control->lease.token << EPOCH_SHIFT;
    control->coordinated_at = 0;
    control_member_set_coordinator(control, control->address);
    control_groups_start(control);
}

/* Connections stay open: closing them at once would lose what was sent last, such as the cession of
 * the lease. Heartbeats are answered by hearsay from now on. */
void
control_coordinator_end(struct control *control)
{
    control_groups_end(control);
    g_hash_table_remove_all(control->introduced);
    g_hash_table_remove_all(control->poolers);
    g_clear_pointer(&control->coordinator_address, g_free);
}

void
control_coordinator_push(struct control *control)
{
    control->push_wanted = true;
}

static void
push(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    uint32_t receivers = 0;
    uint64_t before = control_counts_sent(&control->counts);
    control->rows_learned = false;
    control->push_wanted = false;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_peer *pooler = value;
        if (pooler->peer != NULL && has_news_for(control, pooler)) {
            send_grant(control, pooler->peer, pooler, NULL, now);
            receivers++;
        }
    }
    push_pace_pay(&control->push_pace, receivers, control_counts_sent(&control->counts) - before,
                  now);
}

/* True if what is new is told to all now. Else it stays new, and the answers to heartbeats tell it
 * before a later look does. */
static bool
may_push(struct control *control, time_ns now)
{
    double link_bytes_per_s = control->settings->pooler.link_mbps * BYTES_PER_MEGABIT;
    return (control->rows_learned || control->push_wanted) &&
           push_pace_may(&control->push_pace, link_bytes_per_s, now);
}

/* A pooler that is forgotten has to tell all again, which it does on a new connection. */
static void
drop_connection(struct control *control, struct pooler_peer *pooler)
{
    if (pooler->peer != NULL) {
        g_hash_table_remove(control->introduced, pooler->peer);
        g_hash_table_remove(control->listeners, pooler->peer);
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
forget_silent(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_peer *pooler = value;
        if (now > pooler->contact.heard_at + POOLER_FORGOTTEN_NS) {
            g_message("Pooler %s is no longer heard.", pooler->name);
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
    forget_silent(control, now);
    if (control_coordinator_hand_over(control, now)) {
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
        push(control, now);
    }
}
