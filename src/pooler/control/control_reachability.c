/* Pings poolers of other zones while no message comes from any, to detect a partition of this zone
 * (zone_reachability.h). A pooler that responds is pinged again on the same connection, so a zone
 * whose coordinator is in the same zone costs each of its poolers two small messages a second. */
#define G_LOG_DOMAIN "reach"
#include "pooler/control/control_internal.h"

#include "wire/address.h"

#include <inttypes.h>
#include <string.h>

/* A check goes through all members of the fleet, hundreds of them. The decision takes more than
 * half a second, so this interval is short enough. */
#define CHECK_INTERVAL_NS (50 * MS)

/* Time-out of a ping. A response from another zone usually takes some milliseconds, and up to a
 * tenth of a second from a machine that has used up its processor quota. */
#define PING_TIMEOUT_NS (250 * MS)

static void
close_ping(reachability_ping_t *ping)
{
    g_clear_pointer(&ping->peer, peer_free);
    ping->sent_at = 0;
}

static bool
on_frame(void *user, struct peer *peer, const uint8_t *data, size_t length)
{
    reachability_ping_t *ping = user;
    ping->sent_at = 0;
    zone_reachability_note_contact(&ping->control->zone_reachability, backend_now());
    return true;
}

static void
on_closed(void *user, struct peer *peer)
{
    reachability_ping_t *ping = user;
    ping->peer = NULL; /* freed by the caller; the ping counts as failed once it times out */
}

void
control_reachability_note_contact(struct control *control, const char *zone, time_ns now)
{
    if (g_strcmp0(zone, control->settings->pooler.zone) != 0) {
        zone_reachability_note_contact(&control->zone_reachability, now);
    }
}

/* A pooler has one IP address for forwarded statements and for messages of other poolers. */
static bool
is_same_host(const char *first, const char *second)
{
    size_t length = strcspn(first, ":");
    return length == strcspn(second, ":") && strncmp(first, second, length) == 0;
}

/* True if the member is in the fleet or may come back to it. A coordinator inside a partitioned
 * zone removes the members outside from the fleet; they still count here and are pinged. */
static bool
is_expected(const fleet_member_t *member)
{
    return !member->gone || member->away;
}

static bool
is_in_other_zone(const struct control *control, const fleet_member_t *member)
{
    return is_expected(member) && !g_str_equal(member->zone, control->settings->pooler.zone);
}

bool
control_reachability_is_other_zone(const struct control *control, const char *address)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const fleet_member_t *member = value;
        if (is_same_host(member->address, address)) {
            return !g_str_equal(member->zone, control->settings->pooler.zone);
        }
    }
    return false;
}

/* The next pooler of another zone, round robin; NULL if there is none. */
static const fleet_member_t *
next_in_other_zone(struct control *control, const zone_reachability_inputs_t *inputs)
{
    if (inputs->in_other_zones == 0) {
        return NULL;
    }
    unsigned place = control->reachability_next++ % inputs->in_other_zones;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (is_in_other_zone(control, value) && place-- == 0) {
            return value;
        }
    }
    return NULL;
}

zone_reachability_inputs_t
control_reachability_inputs(const struct control *control)
{
    zone_reachability_inputs_t inputs = {.store_known_at =
                                             control->feeds[STORE_TABLE_CONFIGURATION].as_of};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const fleet_member_t *member = value;
        inputs.members += is_expected(member);
        inputs.in_other_zones += is_in_other_zone(control, member);
    }
    return inputs;
}

static void
send_ping(struct control *control, reachability_ping_t *ping,
          const zone_reachability_inputs_t *inputs, time_ns now)
{
    struct forward_ask request;
    if (ping->peer == NULL) {
        const fleet_member_t *member = next_in_other_zone(control, inputs);
        struct sockaddr_in address;
        if (member == NULL || !parse_address(member->address, &address)) {
            return;
        }
        ping->control = control;
        ping->callbacks = (struct peer_callbacks){on_frame, on_closed, ping};
        ping->peer = peer_connect(control->base, &address, &ping->callbacks);
    }
    ping->sent_at = now;
    if (ping->peer != NULL) {
        forward_ask_init(&request); /* channel 0: a ping */
        peer_send(ping->peer, forward_ask_encode(&request));
        forward_ask_clear(&request);
    }
}

/* The age of `moment` for the log; 0 means never. */
static char *
age_text(time_ns moment, time_ns now)
{
    return moment == 0 ? g_strdup("never")
                       : g_strdup_printf("%" PRIu64 " ms ago", (now - moment) / MS);
}

static void
log_change(const struct control *control, const zone_reachability_inputs_t *inputs, time_ns now)
{
    const zone_reachability_t *reachability = &control->zone_reachability;
    g_autofree char *contact = age_text(reachability->last_contact_at, now);
    g_autofree char *store = age_text(inputs->store_known_at, now);
    g_autofree char *timeouts = g_strdup_printf("%u", reachability->timeouts);
    g_log_structured(
        G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_HEARD", contact, "SW_STORE", store, "SW_UNANSWERED",
        timeouts, "MESSAGE",
        "Zone %s is %s; last contact with another zone %s, store known as of %s.",
        control->settings->pooler.zone,
        reachability->partitioned
            ? "partitioned from all other zones and reports not ready, so that clients go there"
            : "no longer partitioned",
        contact, store);
}

void
control_reachability_tick(struct control *control, time_ns now)
{
    zone_reachability_t *reachability = &control->zone_reachability;
    bool due = now >= control->reachability_due_at &&
               (zone_reachability_needs_ping(reachability, now) || reachability->partitioned);
    if (!due) {
        return;
    }
    control->reachability_due_at = now + CHECK_INTERVAL_NS;
    const zone_reachability_inputs_t inputs = control_reachability_inputs(control);
    for (unsigned i = 0; i < REACHABILITY_PINGS; i++) {
        reachability_ping_t *ping = &control->reachability_pings[i];
        if (ping->sent_at != 0 && now >= ping->sent_at + PING_TIMEOUT_NS) {
            zone_reachability_note_timeout(reachability, ping->sent_at);
            close_ping(ping);
        }
        bool enough = i > 0 && reachability->timeouts == 0; /* one pooler that responds is enough */
        if (ping->sent_at == 0 && !enough && zone_reachability_needs_ping(reachability, now)) {
            send_ping(control, ping, &inputs, now);
        }
    }
    if (zone_reachability_evaluate(reachability, &inputs, now)) {
        log_change(control, &inputs, now);
        atomic_store(&control->shared.partitioned_since, reachability->partitioned ? now : 0);
        for (unsigned i = 0; i < control->workers_count; i++) {
            worker_wake(control->workers[i]);
        }
    }
}
