/* This pooler under a coordinator: sends heartbeats with its reports, and follows the orders and
 * permits in the grants that answer them. A permit counts from the time at which the answered
 * heartbeat was sent, so that it expires here before it expires at the coordinator. */
#define G_LOG_DOMAIN "member"
#include "pooler/control/control_internal.h"

#include "wire/address.h"

#include <inttypes.h>
#include <string.h>

#define HEARTBEAT_INTERVAL_NS (250 * MS)

/* A connection without a grant for this long is replaced. */
#define GRANT_TIMEOUT_NS    (800 * MS)
#define CONNECT_INTERVAL_NS (250 * MS)

/* A pooler that is not the coordinator, but relays the store's rows, is kept for this long: the
 * duration of a lease, after which another pooler has become the coordinator. */
#define NONAUTHORITATIVE_KEEP_NS (2200 * MS)

/* A new connection without any answer for this long is replaced: its first packet may have been
 * lost while the machine was down, and the kernel repeats it only after a second. */
#define ANSWER_TIMEOUT_NS (300 * MS)

/* Interval of attempts to connect to a coordinator that was restarted at its known address, as the
 * report of it may be outdated: each attempt in vain costs ANSWER_TIMEOUT_NS without replies from
 * another pooler. Without these attempts, poolers stayed with others for up to 7 s after a restart
 * of the coordinator, without permits and without counting of operations. */
#define REDIRECT_INTERVAL_NS (1000 * MS)

/* Delay of the next heartbeat to a pooler that is not the coordinator yet. */
#define NOT_READY_RETRY_NS  (40 * MS)
#define NOT_READY_WINDOW_NS (200 * MS)

static uint64_t
epoch_followed(const struct control *control, const struct group_state *group)
{
    uint64_t epoch = UINT64_MAX;
    for (unsigned i = 0; i < control->workers_count; i++) {
        epoch = MIN(epoch, atomic_load(&group->shared->workers[i].epoch));
    }
    return epoch;
}

/* True if all workers use the view of this number or a later one. */
static bool
is_applied(const struct control *control, uint64_t view_number)
{
    for (unsigned i = 0; i < control->workers_count; i++) {
        if (worker_view_number(control->workers[i]) < view_number) {
            return false;
        }
    }
    return true;
}

/* The version up to which all workers follow this coordinator's orders. */
static uint64_t
orders_followed(const struct control *control)
{
    return is_applied(control, control->orders_view) ? control->orders_received
                                                     : control->orders_reported;
}

static uint32_t
in_flight(const struct control *control, const struct group_state *group)
{
    uint32_t count = 0;
    for (unsigned i = 0; i < control->workers_count; i++) {
        count += atomic_load(&group->shared->workers[i].in_flight);
    }
    return count;
}

static void
add_fault(struct pooler_group_report *report, const struct member_shared *member, time_ns now)
{
    unsigned fault = atomic_load(&member->fault);
    if (fault == DATABASE_FAULT_NONE) {
        return;
    }
    struct pooler_fault *added = &report->faults[report->faults_count++];
    time_ns since = atomic_load(&member->fault_since);
    added->database = g_strdup(member->id);
    added->kind = (enum database_fault)fault;
    added->age_ms = now > since ? (uint32_t)((now - since) / MS) : 0;
}

#define FAULTS_MAX 16

static void
fill_report(struct control *control, const struct group_state *group, time_ns now,
            struct pooler_group_report *report)
{
    const GPtrArray *entries = directory_group(&control->directory, group->shared->service);
    report->service = g_strdup(group->shared->service);
    report->in_flight = group->phase == GROUP_PHASE_OPEN ? 0 : in_flight(control, group);
    report->faults = g_new0(struct pooler_fault, FAULTS_MAX);
    for (guint i = 0; i < entries->len && report->faults_count < FAULTS_MAX; i++) {
        const struct directory_entry *entry = g_ptr_array_index(entries, i);
        const struct member_shared *member = g_hash_table_lookup(control->members, entry->id);
        if (member != NULL) {
            add_fault(report, member, now);
        }
    }
}

/* True if the report differs from what the coordinator has of the group; records the report as
 * sent. No report means no fault and nothing in flight, which is the case for most poolers and
 * groups. */
static bool
has_changed(struct group_state *group, const struct pooler_group_report *report)
{
    const reported_state_t now = {report->faults_count, report->in_flight};
    const reported_state_t before = group->reported;
    group->reported = now;
    return now.in_flight != before.in_flight || now.faults > 0 || before.faults > 0;
}

/* A different coordinator, or a new connection to the same one, has no reports yet. */
static void
clear_reported(struct control *control)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct group_state *)value)->reported = (reported_state_t){0};
    }
}

uint32_t
control_millicores(const struct control *control)
{
    return (uint32_t)(control->settings->pooler.cpu_share * control->workers_count * 1000);
}

/* The fields that do not change while a connection lasts. */
static void
fill_introduction(const struct control *control, struct pooler_heartbeat *out)
{
    out->name = g_strdup(control->settings->pooler.name);
    out->zone = g_strdup(control->settings->pooler.zone);
    out->incarnation = control->incarnation;
    out->forward_address = g_strdup(control->forward_address);
    out->peer_address = g_strdup(control->address);
    out->workers = control->workers_count;
    out->millicores = control_millicores(control);
}

/* True if there is nothing to report of the group and nothing was reported last time, as for nearly
 * all groups. */
static bool
has_nothing_to_report(const struct control *control, const struct group_state *group)
{
    bool idle = group->phase == GROUP_PHASE_OPEN || in_flight(control, group) == 0;
    return idle && group->reported.faults == 0 && group->reported.in_flight == 0 &&
           atomic_load(&group->shared->faults) == 0;
}

static void
fill_heartbeat(struct control *control, time_ns now, struct pooler_heartbeat *out)
{
    if (!control->introduced_self) {
        fill_introduction(control, out);
        control->introduced_self = true;
    }
    out->sequence = ++control->sequence;
    out->fleet_version = control_fleet_version(control);
    out->orders_known = control->orders_known;
    out->lacks_store = control_relayed_store_fails(control);
    out->takes_deltas = true;
    out->takes_news = true;
    control_relay_fill_offer(control, now, &out->relay);
    out->grant_stamp = control->grant_stamp;
    out->store_age_ms = control_relayed_store_age_ms(control, now);
    out->stopping = atomic_load(&control->shared.stop_at) != 0;
    /* Read before the operations in flight are counted: operations that these orders end do not
     * start any more from here on. */
    out->orders_followed = control->orders_reported = orders_followed(control);
    out->groups = g_new0(struct pooler_group_report, g_hash_table_size(control->groups) + 1);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_group_report *report = &out->groups[out->groups_count];
        if (has_nothing_to_report(control, value)) {
            continue;
        }
        fill_report(control, value, now, report);
        if (has_changed(value, report)) {
            out->groups_count++;
        } else {
            pooler_group_report_clear(report);
        }
    }
}

static void
send_heartbeat(struct control *control, time_ns now)
{
    struct pooler_heartbeat heartbeat;
    pooler_heartbeat_init(&heartbeat);
    fill_heartbeat(control, now, &heartbeat);
    control->sent_at[heartbeat.sequence % HEARTBEATS_KEPT] = now;
    control->heartbeat_at = now + HEARTBEAT_INTERVAL_NS;
    GByteArray *message = pooler_heartbeat_encode(&heartbeat);
    control_counts_heartbeat(&control->counts, PEER_SENT, &heartbeat, message->len);
    peer_send(control->coordinator, message);
    pooler_heartbeat_clear(&heartbeat);
}

/* When the heartbeat of this sequence number was sent; 0 if it is no longer known. */
static time_ns
sent_time(const struct control *control, uint64_t sequence)
{
    bool known = sequence != 0 && sequence <= control->sequence &&
                 sequence + HEARTBEATS_KEPT > control->sequence;
    return known ? control->sent_at[sequence % HEARTBEATS_KEPT] : 0;
}

static void
log_order(const struct pooler_group_order *order)
{
    g_autofree char *epoch = g_strdup_printf("%" PRIu64, order->epoch);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_SERVICE", order->service, "SW_EPOCH",
                     epoch, "SW_PRIMARY", order->primary, "SW_PHASE",
                     group_phase_name(order->phase), "MESSAGE", "Group %s: %s, primary %s.",
                     order->service, group_phase_name(order->phase), order->primary);
}

/* True if the order is the first one known of its group and opens it, which gets no log
 * line. */
static bool
take_order(struct control *control, const struct pooler_group_order *order)
{
    struct group_state *group = control_group(control, order->service);
    if (order->epoch <= group->epoch) {
        return false;
    }
    bool first = group->epoch == 0 && order->phase == GROUP_PHASE_OPEN;
    if (!first) {
        log_order(order);
    }
    group->epoch = order->epoch;
    group->phase = order->phase;
    group->term = order->term;
    g_free(group->primary);
    group->primary =
        order->primary == NULL || order->primary[0] == '\0' ? NULL : g_strdup(order->primary);
    control->view_dirty = true;
    return first;
}

/* A pooler that starts receives the orders of all groups at once. They are logged in one line: a
 * thousand lines would take longer than decoding the orders. */
static void
take_orders(struct control *control, const struct pooler_grant *grant)
{
    unsigned first = 0;
    for (size_t i = 0; i < grant->groups_count; i++) {
        first += take_order(control, &grant->groups[i]);
    }
    if (first > 0) {
        g_autofree char *version = g_strdup_printf("%" PRIu64, grant->orders_version);
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_VERSION", version, "MESSAGE",
                         "%u groups opened for the first time, by orders up to version %s.", first,
                         version);
    }
}

/* The grant permits reads at the primaries that this coordinator's orders name, once all workers
 * follow the order: a worker that still follows an older one would read at a replaced primary. */
static void
take_permit(struct control *control, struct group_state *group, uint64_t token, time_ns until)
{
    bool permitted = group->phase == GROUP_PHASE_OPEN && group->epoch >> EPOCH_SHIFT == token &&
                     epoch_followed(control, group) == group->epoch;
    if (!permitted) {
        atomic_store(&group->shared->permit_until, 0);
    } else if (until > atomic_load(&group->shared->permit_until)) {
        atomic_store(&group->shared->permit_until, until);
    }
}

static void
take_permits(struct control *control, uint64_t token, time_ns until)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        take_permit(control, value, token, until);
    }
}

void
control_member_found_coordinator(struct control *control)
{
    if (!control->at_coordinator && control->connected_address != NULL) {
        g_message("Found the coordinator at %s.", control->connected_address);
        g_free(control->coordinator_address);
        control->coordinator_address = g_strdup(control->connected_address);
        control->at_coordinator = true;
    }
}

static void
take_grant(struct control *control, const struct pooler_grant *grant, time_ns now)
{
    time_ns sent = sent_time(control, grant->sequence);
    control_member_found_coordinator(control);
    if (grant->token != control->newest_token) {
        clear_reported(control);
        control->orders_received = control->orders_reported = 0;
    }
    control->newest_token = grant->token;
    control->granted_at = now;
    control->grant_stamp = grant->stamp;
    if (grant->members != 0 && grant->members != control->fleet_count) {
        control->fleet_count = grant->members;
        control->view_dirty = true;
    }
    take_orders(control, grant);
    take_permits(control, grant->token, sent == 0 ? 0 : sent + grant->permit_ms * MS);
    control_fleet_take(control, &grant->fleet);
    if (sent != 0 && control_fleet_version(control) >= grant->fleet.version) {
        control_fleet_extend_validity(control, sent);
    }
    control_relay_take(control, &grant->relay);
    control->follows_store = grant->follows_store;
    control_relayed_accept(control, &grant->relay, sent);
    control_followers_take(control, grant);
    control_mirrors_take(control, grant->mirrors, grant->mirrors_count);
    control->next_address = 0;
    control->orders_known = MAX(control->orders_known, grant->orders_version);
    control_publish(control);
    if (grant->orders_version > control->orders_received) {
        control->orders_received = grant->orders_version;
        control->orders_view = control->view_number;
    }
}

/* The reply of a pooler that is not the coordinator contains enough to serve by while neither the
 * store nor a coordinator can be reached. It grants no permits and gives no orders of its own. */
static void
take_nonauthoritative(struct control *control, const struct pooler_grant *grant, time_ns now)
{
    control->nonauthoritative_at = now;
    control->orders_known = MAX(control->orders_known, grant->orders_version);

    take_orders(control, grant);
    control_fleet_take(control, &grant->fleet);
    control_mirrors_take(control, grant->mirrors, grant->mirrors_count);
    control_relay_take(control, &grant->relay);
    control_relayed_accept(control, &grant->relay, sent_time(control, grant->sequence));
    control_publish(control);
}

bool
control_member_must_reconnect(const struct control *control, const char *address, time_ns now)
{
    if (address == NULL || address[0] == '\0') {
        return false;
    }
    if (g_strcmp0(address, control->coordinator_address) != 0) {
        return true;
    }
    /* Other poolers follow orders of a later coordinator than the one that last sent a grant here.
     */
    bool newer = control->orders_known >> EPOCH_SHIFT > control->newest_token;
    return newer && !control->at_coordinator && now > control->redirected_at + REDIRECT_INTERVAL_NS;
}

/* Returns false if the connection should be closed. */
static bool
take_answer(struct control *control, const struct pooler_grant *grant)
{
    time_ns now = backend_now();
    if (grant->cedes) {
        control_lease_accept_handover(control, grant->token);
        return true;
    }
    if (grant->token != 0) {
        bool current = grant->token >= control->newest_token;
        if (current) {
            take_grant(control, grant, now);
        }
        return current;
    }
    take_nonauthoritative(control, grant, now);
    clear_reported(control);
    bool unknown = control->introduced_self;
    control->introduced_self = false;
    const char *address = grant->coordinator_address;
    if (g_strcmp0(address, control->address) == 0 && !control->lease.held) {
        /* The lease is held by an earlier process of this pooler; only this one may take it over at
         * once. */
        control_lease_check_now(control);
        return false;
    }
    if (control_member_must_reconnect(control, address, now)) {
        control_member_set_coordinator(control, address);
        control->redirected_at = now;
        control->connect_now = true;
        return false;
    }
    /* The pooler may be about to become the coordinator, or no longer have this pooler's
     * introduction. */
    bool early = now < control->connected_at + NOT_READY_WINDOW_NS ||
                 (unknown && g_strcmp0(address, control->coordinator_address) == 0);
    control->heartbeat_at = now + (early ? NOT_READY_RETRY_NS : HEARTBEAT_INTERVAL_NS);
    return true;
}

static bool
on_frame(void *user, struct peer *peer, const uint8_t *data, size_t length)
{
    struct control *control = user;
    struct pooler_grant grant = {0};
    g_autoptr(GError) error = NULL;
    if (!pooler_grant_decode(data, length, &grant, &error)) {
        g_warning("Message from a coordinator could not be decoded: %s.", error->message);
        return false;
    }
    peer_bytes_t kind = grant.token == 0 ? PEER_BYTES_NONAUTHORITATIVE : PEER_BYTES_GRANT;
    control_counts_grant(&control->counts, PEER_RECEIVED, kind, &grant, length);
    if (!control_news_decompress(&grant, &error)) {
        g_warning("Compressed update from a coordinator could not be decoded: %s.", error->message);
        pooler_grant_clear(&grant);
        return false;
    }
    control->answered_at = backend_now();
    if (control->coordinator_in_other_zone) {
        zone_reachability_note_contact(&control->zone_reachability, control->answered_at);
    }
    control_relayed_peer_answered(control, control->answered_at);
    bool keep = take_answer(control, &grant);
    pooler_grant_clear(&grant);
    control_wake_soon(control);
    return keep;
}

static void
on_closed(void *user, struct peer *peer)
{
    struct control *control = user;
    if (control->coordinator == peer) {
        control->coordinator = NULL;
    }
}

void
control_member_set_coordinator(struct control *control, const char *address)
{
    if (address == NULL || g_strcmp0(address, control->coordinator_address) == 0) {
        return;
    }
    g_message("The coordinator is at %s.", address);
    g_free(control->coordinator_address);
    control->coordinator_address = g_strdup(address);
    control->connect_now = true;
    control_wake_soon(control);
}

/* Address number `place` in the order of attempts: the coordinator's, then the followers', then
 * those of the settings; NULL if there is none or it is this pooler's own. Poolers start at
 * different followers. */
static const char *
address_at(const struct control *control, unsigned place)
{
    const struct address_list *peers = &control->settings->pooler.peers;
    const GPtrArray *followers = control->followers;
    unsigned start = g_str_hash(control->settings->pooler.name);
    if (place == 0) {
        return control->coordinator_address;
    }
    const char *address = place <= followers->len
                              ? g_ptr_array_index(followers, (start + place) % followers->len)
                              : peers->items[(start + place) % peers->count];
    return g_strcmp0(address, control->address) == 0 ? NULL : address;
}

const char *
control_member_next_address(struct control *control)
{
    unsigned places = 1 + control->followers->len + (unsigned)control->settings->pooler.peers.count;
    const char *coordinator = address_at(control, 0);
    if (control->connect_now && coordinator != NULL) {
        control->next_address = MAX(control->next_address, 1);
        return coordinator;
    }
    for (unsigned tried = 0; tried < places; tried++) {
        const char *address = address_at(control, control->next_address++ % places);
        if (address != NULL) {
            return address;
        }
    }
    return NULL;
}

static void
connect_anew(struct control *control, time_ns now)
{
    struct sockaddr_in address;
    if (control->coordinator != NULL) {
        peer_free(control->coordinator);
        control->coordinator = NULL;
    }
    control->connected_at = now;
    control->coordinator_rows = control_relay_versions(control);
    control->offered_at = 0;
    control->grant_stamp = 0;
    control->introduced_self = false;
    const char *text = control_member_next_address(control);
    g_free(control->connected_address);
    control->connected_address = g_strdup(text);
    control->at_coordinator = text != NULL && g_strcmp0(text, control->coordinator_address) == 0;
    if (text == NULL || !parse_address(text, &address)) {
        return;
    }
    control->coordinator_in_other_zone = control_reachability_is_other_zone(control, text);
    control->coordinator_callbacks = (struct peer_callbacks){on_frame, on_closed, control};
    clear_reported(control);
    control->orders_received = control->orders_reported = 0;
    control->coordinator = peer_connect(control->base, &address, &control->coordinator_callbacks);
    control->heartbeat_at = now;
}

/* A new fault, completed work and newly followed orders are reported at once. */
static bool
has_updates(struct control *control)
{
    uint64_t updates = atomic_load(&control->shared.urgent_updates);
    bool changed = updates != control->urgent_updates_sent;
    control->urgent_updates_sent = updates;
    return changed || orders_followed(control) != control->orders_reported;
}

/* How long a connection without grants is kept. A pooler that relays recent rows of the store is
 * kept for longer; possibly only this pooler has lost the coordinator. */
static time_ns
connection_timeout(const struct control *control, time_ns now)
{
    bool useful = now < control->nonauthoritative_at + GRANT_TIMEOUT_NS &&
                  control->nonauthoritative_at > control->connected_at &&
                  control_relayed_is_valid(control, now);
    return useful ? NONAUTHORITATIVE_KEEP_NS : GRANT_TIMEOUT_NS;
}

void
control_member_tick(struct control *control, time_ns now)
{
    bool timed_out =
        now > MAX(control->granted_at, control->connected_at) + connection_timeout(control, now);
    bool unanswered = control->coordinator != NULL &&
                      control->answered_at < control->connected_at &&
                      now > control->connected_at + ANSWER_TIMEOUT_NS;
    bool missing =
        control->coordinator == NULL && now > control->connected_at + CONNECT_INTERVAL_NS;
    if (timed_out || unanswered || missing || control->connect_now) {
        connect_anew(control, now);
        control->connect_now = false;
    }
    if (control->coordinator == NULL) {
        return;
    }
    if (has_updates(control) || now >= control->heartbeat_at) {
        send_heartbeat(control, now);
    }
}

void
control_member_stop(struct control *control)
{
    if (control->coordinator != NULL) {
        peer_free(control->coordinator);
        control->coordinator = NULL;
    }
    g_clear_pointer(&control->coordinator_address, g_free);
    g_clear_pointer(&control->connected_address, g_free);
}
