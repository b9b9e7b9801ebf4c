/* Life cycle of membership, its entry points and its queries. */
#include "core/membership_internal.h"

#include "core/deployment.h"

#include <string.h>
#include <xxhash.h>

/* Time between two searches for tombstones and members to remove. */
#define SWEEP_INTERVAL (5 * NANOSECONDS_PER_SECOND)

void membership_options_default(struct membership_options *options)
{
    *options = (struct membership_options){
        .deployment = DEPLOYMENT_UNNAMED,
        .random_seed = 1,
        .probe_period = 500 * NANOSECONDS_PER_MILLISECOND,
        .probe_wait = 150 * NANOSECONDS_PER_MILLISECOND,
        .probe_helpers = 3,
        .suspicion_factor = 4,
        .relays = 3,
        .zone_timeout = 8 * NANOSECONDS_PER_SECOND,
        .transmit_factor = 3,
        .push_fanout = 3,
        .push_interval = 200 * NANOSECONDS_PER_MILLISECOND,
        .sync_interval = 10 * NANOSECONDS_PER_SECOND,
        .sync_retry = 250 * NANOSECONDS_PER_MILLISECOND,
        .settle_time = 10 * NANOSECONDS_PER_SECOND,
        .sync_datagrams = 8,
        .tombstone_time = 2 * 3600 * NANOSECONDS_PER_SECOND,
        .forget_time = 6 * 3600 * NANOSECONDS_PER_SECOND,
    };
}

uint64_t membership_id_of_name(const char *name)
{
    uint64_t id = XXH64(name, strlen(name), 0);
    return id == 0 ? 1 : id;
}

static void insert_self(struct membership *membership, const struct membership_self *self,
                        time_ns now)
{
    struct member_record record = {
        .id = self->id,
        .start = self->start,
        .address = self->address.address,
        .port = self->address.port,
        .zone = self->zone,
        .region = self->region,
        .state = MEMBER_STATE_ALIVE,
        .changed_at = now,
    };
    membership_enqueue(membership, membership_insert(membership, &record));
}

struct membership *membership_new(const struct membership_options *options,
                                  const struct membership_self *self, time_ns now)
{
    g_assert(self->id != 0 && self->zone < MEMBERSHIP_ZONES_MAX);
    struct membership *membership = g_new0(struct membership, 1);
    membership->options = *options;
    membership->random = options->random_seed ^ self->id ^ self->start;
    membership->started = now;
    membership->self_id = self->id;
    membership->self_zone = self->zone;
    membership->records = g_array_new(FALSE, FALSE, sizeof(struct member_record));
    membership->ring = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    membership->probes = g_array_new(FALSE, FALSE, sizeof(struct probe));
    membership->helped_probes = g_array_new(FALSE, FALSE, sizeof(struct helped_probe));
    membership->suspicions = g_array_new(FALSE, FALSE, sizeof(struct suspicion));
    g_queue_init(&membership->queue);
    insert_self(membership, self, now);
    uint32_t period_ms = (uint32_t)(options->probe_period / NANOSECONDS_PER_MILLISECOND) + 1;
    membership->next_probe =
        now + membership_random(membership, period_ms) * NANOSECONDS_PER_MILLISECOND;
    membership->next_sync = now;
    membership->next_sweep = now + SWEEP_INTERVAL;
    return membership;
}

void membership_free(struct membership *membership)
{
    if (membership == NULL) {
        return;
    }
    g_array_free(membership->records, TRUE);
    g_array_free(membership->ring, TRUE);
    g_array_free(membership->probes, TRUE);
    g_array_free(membership->helped_probes, TRUE);
    g_array_free(membership->suspicions, TRUE);
    g_queue_clear_full(&membership->queue, g_free);
    g_free(membership->seeds);
    g_free(membership);
}

void membership_set_seeds(struct membership *membership, const struct member_address *seeds,
                          size_t count)
{
    g_free(membership->seeds);
    membership->seeds = g_memdup2(seeds, count * sizeof(*seeds));
    membership->seeds_count = count;
}

/* True once this daemon has left or was superseded. */
static bool has_stopped(const struct membership *membership)
{
    return membership->left || membership->superseded;
}

/* True for records of a peer's list while this daemon's own list is incomplete. Sending each of
 * them on as an update would exceed all other gossip traffic. */
static bool is_initial_list(const struct membership *membership,
                            const struct gossip_message *message)
{
    bool list =
        message->kind == GOSSIP_KIND_SYNC_REPLY || message->kind == GOSSIP_KIND_SYNC_RECORDS;
    return list && !membership->synced;
}

/* Merges the parts that every datagram has: the sender, its configuration and updates. */
static void merge_message(struct membership *membership, const struct gossip_message *message,
                          time_ns now, struct membership_actions *actions)
{
    const struct gossip_member *sender = &message->sender;
    membership_merge(membership, sender, now, actions);
    struct configuration_mark in_force = {sender->configuration_version,
                                          message->configuration_hash};
    struct configuration_mark newest = {message->heard_version, message->heard_hash};
    membership_merge_configuration(membership, in_force, sender, true, actions);
    membership_merge_configuration(membership, newest, sender, false, actions);
    struct member_record *record = membership_record(membership, sender->member);
    if (record != NULL && record->configuration.version == in_force.version) {
        record->configuration.hash = in_force.hash;
    }
    membership->importing_list = is_initial_list(membership, message);
    for (size_t i = 0; i < message->updates_count; i++) {
        membership_merge(membership, &message->updates[i], now, actions);
    }
    membership->importing_list = false;
}

/* Sends the reply for this kind of datagram. */
static void answer_message(struct membership *membership, const struct gossip_message *message,
                           struct member_address from, time_ns now,
                           struct membership_actions *actions)
{
    switch (message->kind) {
    case GOSSIP_KIND_PING:
        membership_receive_ping(membership, message, from, now, actions);
        return;
    case GOSSIP_KIND_PING_REQUEST:
        membership_receive_ping_request(membership, message, from, now, actions);
        return;
    case GOSSIP_KIND_ACK:
        membership_receive_ack(membership, message, from, now, actions);
        return;
    case GOSSIP_KIND_SYNC:
        membership_receive_sync(membership, message, from, now, actions);
        return;
    case GOSSIP_KIND_SYNC_REPLY:
        membership_receive_sync_reply(membership, message, from, now, actions);
        return;
    case GOSSIP_KIND_PUSH:
    case GOSSIP_KIND_SYNC_RECORDS:
    case GOSSIP_KIND_COUNT:
        return;
    }
}

void membership_receive(struct membership *membership, const struct gossip_message *message,
                        struct member_address from, time_ns now, struct membership_actions *actions)
{
    bool foreign = message->deployment != MEMBERSHIP_DEPLOYMENT_FIXED ||
                   deployment_differs(membership->options.deployment, message->deployment_hash) ||
                   message->sender.member == membership->self_id ||
                   message->sender.zone >= MEMBERSHIP_ZONES_MAX;
    if (foreign || has_stopped(membership)) {
        return;
    }
    answer_message(membership, message, from, now, actions);
    merge_message(membership, message, now, actions);
}

/* Removes members whose forget_time or tombstone_time has passed. Removes none while no majority
 * is reachable: in a shrinking list the few members left would look like a majority. */
static void sweep(struct membership *membership, time_ns now, struct membership_actions *actions)
{
    if (!membership_majority_reachable(membership, now, membership->options.zone_timeout)) {
        return;
    }
    for (size_t i = membership->records->len; i > 0; i--) {
        const struct member_record *record = membership_record_at(membership, i - 1);
        if (record->id == membership->self_id) {
            continue;
        }
        bool expired;
        if (member_record_live(record)) {
            time_ns last_contact =
                MAX(membership->zone_last_contact[record->zone], record->changed_at);
            expired = now > last_contact + membership->options.forget_time;
        } else {
            expired = now > record->changed_at + membership->options.tombstone_time;
        }
        if (expired && member_record_live(record)) {
            struct member_record removed = *record;
            removed.state = MEMBER_STATE_LEFT;
            membership_report(actions, MEMBERSHIP_ACTION_MEMBER_REMOVED, &removed);
        }
        if (expired) {
            membership_remove_at(membership, i - 1);
        }
    }
}

void membership_tick(struct membership *membership, time_ns now, struct membership_actions *actions)
{
    if (has_stopped(membership)) {
        return;
    }
    if (now > membership->next_probe + membership->options.probe_period) {
        membership_skip_pause(membership, now - membership->next_probe);
    }
    if (membership->relays_stale) {
        membership_update_relays(membership);
    }
    membership_probe_tick(membership, now, actions);
    membership_sync_tick(membership, now, actions);
    membership_zones_tick(membership, now, actions);
    membership_absence_tick(membership, now, actions);
    if (now >= membership->next_sweep) {
        membership->next_sweep = now + SWEEP_INTERVAL;
        membership_update_relays(membership);
        sweep(membership, now, actions);
    }
    if (now >= membership_push_due(membership)) {
        membership_push(membership, now, actions);
    }
}

time_ns membership_next_wakeup(const struct membership *membership)
{
    if (has_stopped(membership)) {
        return UINT64_MAX;
    }
    time_ns wakeup = membership_probe_wakeup(membership);
    wakeup = MIN(wakeup, membership->next_sync);
    wakeup = MIN(wakeup, membership->next_sweep);
    return MIN(wakeup, membership_push_due(membership));
}

bool membership_superseded(const struct membership *membership)
{
    return membership->superseded;
}

void membership_set_leaving(struct membership *membership, bool leaving, time_ns now,
                            struct membership_actions *actions)
{
    struct member_record *self = membership_self_record(membership);
    if (self->leaving == leaving || has_stopped(membership)) {
        return;
    }
    membership_count_out(membership, self);
    self->leaving = leaving;
    membership_count_in(membership, self);
    membership_announce_self(membership);
    membership_push(membership, now, actions);
}

void membership_leave(struct membership *membership, time_ns now,
                      struct membership_actions *actions)
{
    if (has_stopped(membership)) {
        return;
    }
    struct member_record *self = membership_self_record(membership);
    membership_count_out(membership, self);
    self->state = MEMBER_STATE_LEFT;
    self->changed_at = now;
    membership_enqueue(membership, self);
    membership_push(membership, now, actions);
    membership->left = true;
}

void membership_set_configuration(struct membership *membership, struct configuration_mark in_force,
                                  time_ns now, struct membership_actions *actions)
{
    struct member_record *self = membership_self_record(membership);
    if (in_force.version <= self->configuration.version || has_stopped(membership)) {
        return;
    }
    self->configuration = in_force;
    membership_announce_configuration(membership, in_force);
    membership_push(membership, now, actions);
}

void membership_announce_configuration(struct membership *membership,
                                       struct configuration_mark mark)
{
    if (mark.version > membership->newest.version) {
        membership->newest = mark;
    }
}

struct configuration_mark membership_newest_configuration(const struct membership *membership)
{
    return membership->newest;
}

struct member membership_self(const struct membership *membership)
{
    return member_of_record(membership_self_record(membership));
}

size_t membership_count(const struct membership *membership)
{
    return membership->records->len;
}

struct member membership_get(const struct membership *membership, size_t index)
{
    return member_of_record(membership_record_at(membership, index));
}

bool membership_find(const struct membership *membership, uint64_t id, struct member *out)
{
    const struct member_record *record = membership_record(membership, id);
    if (record == NULL) {
        return false;
    }
    *out = member_of_record(record);
    return true;
}

void membership_count_reachable(const struct membership *membership, time_ns now, time_ns within,
                                size_t *reachable, size_t *known)
{
    *reachable = 0;
    *known = membership->dead;
    for (uint32_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        uint32_t live = membership->live_in_zone[zone];
        time_ns last_contact = membership->zone_last_contact[zone];
        *known += live;
        if (last_contact != 0 && now <= last_contact + within) {
            *reachable += live;
        } else if (zone == membership->self_zone) {
            *reachable += 1;
        }
    }
}

bool membership_majority_reachable(const struct membership *membership, time_ns now, time_ns within)
{
    size_t reachable = 0;
    size_t known = 0;
    membership_count_reachable(membership, now, within, &reachable, &known);
    return 2 * reachable > known;
}

bool membership_synced(const struct membership *membership)
{
    return membership->synced;
}

size_t membership_memory(const struct membership *membership)
{
    size_t memory = sizeof(*membership);
    memory += membership->records->len * sizeof(struct member_record);
    memory += membership->ring->len * sizeof(uint64_t);
    memory += membership->probes->len * sizeof(struct probe);
    memory += membership->helped_probes->len * sizeof(struct helped_probe);
    memory += membership->suspicions->len * sizeof(struct suspicion);
    memory += membership->queue.length * (sizeof(GList) + sizeof(uint64_t));
    memory += membership->seeds_count * sizeof(struct member_address);
    return memory;
}

uint64_t membership_suspicions(const struct membership *membership)
{
    return membership->suspicions_raised;
}
