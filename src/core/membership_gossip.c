/* Construction of gossip datagrams: the sender's part, queued updates up to the size limit, and the
 * push of new updates. */
#include "core/membership_internal.h"

/* Bytes reserved for the envelope of a datagram: its array, its kind and the header of
 * `updates`. */
#define ENVELOPE_BYTES 8

/* Bytes of a field's header and id; the content is counted separately. */
#define FIELD_BYTES 1

struct membership_actions {
    GArray *items; /* struct membership_action */
};

struct membership_actions *membership_actions_new(void)
{
    struct membership_actions *actions = g_new0(struct membership_actions, 1);
    actions->items = g_array_new(FALSE, TRUE, sizeof(struct membership_action));
    return actions;
}

void membership_actions_clear(struct membership_actions *actions)
{
    for (guint i = 0; i < actions->items->len; i++) {
        gossip_message_clear(&g_array_index(actions->items, struct membership_action, i).message);
    }
    g_array_set_size(actions->items, 0);
}

void membership_actions_free(struct membership_actions *actions)
{
    if (actions == NULL) {
        return;
    }
    membership_actions_clear(actions);
    g_array_free(actions->items, TRUE);
    g_free(actions);
}

size_t membership_actions_count(const struct membership_actions *actions)
{
    return actions->items->len;
}

const struct membership_action *membership_actions_get(const struct membership_actions *actions,
                                                       size_t index)
{
    return &g_array_index(actions->items, struct membership_action, index);
}

struct membership_action *membership_actions_add(struct membership_actions *actions,
                                                 enum membership_action_kind kind)
{
    g_array_set_size(actions->items, actions->items->len + 1);
    struct membership_action *action =
        &g_array_index(actions->items, struct membership_action, actions->items->len - 1);
    action->kind = kind;
    return action;
}

void membership_report(struct membership_actions *actions, enum membership_action_kind kind,
                       const struct member_record *record)
{
    membership_actions_add(actions, kind)->member = member_of_record(record);
}

struct member_address member_record_address(const struct member_record *record)
{
    return (struct member_address){record->address, record->port};
}

struct gossip_member membership_update_of(const struct member_record *record)
{
    struct gossip_member update = {
        .member = record->id,
        .start = record->start,
        .incarnation = record->incarnation,
        .state = (enum member_state)record->state,
        .leaving = record->leaving,
    };
    if (member_record_live(record)) {
        update.address = record->address;
        update.port = record->port;
        update.zone = record->zone;
        update.region = record->region;
    }
    return update;
}

/* Encoded size of an unsigned integer. */
static size_t integer_size(uint64_t value)
{
    if (value < 24) {
        return 1;
    }
    if (value <= UINT8_MAX) {
        return 2;
    }
    if (value <= UINT16_MAX) {
        return 3;
    }
    return value <= UINT32_MAX ? 5 : 9;
}

/* Encoded size of an integer field. Fields with value zero are omitted. */
static size_t field_size(uint64_t value)
{
    return value == 0 ? 0 : FIELD_BYTES + integer_size(value);
}

size_t membership_update_size(const struct gossip_member *update)
{
    size_t size = 1;
    size += field_size(update->member);
    size += field_size(update->start);
    size += field_size(update->incarnation);
    size += field_size(update->state);
    size += field_size(update->leaving);
    size += field_size(update->address);
    size += field_size(update->port);
    size += field_size(update->zone);
    size += field_size(update->region);
    size += field_size(update->configuration_version);
    return size;
}

/* Encoded size of an array's own header and field id. */
static size_t array_header_size(size_t count)
{
    return count == 0 ? 0 : FIELD_BYTES + integer_size(count);
}

static size_t zones_size(const struct gossip_message *message)
{
    size_t size = array_header_size(message->zones_count);
    for (size_t i = 0; i < message->zones_count; i++) {
        size += 1;
        size += field_size(message->zones[i].zone);
        size += field_size(message->zones[i].age_ms);
    }
    return size;
}

static size_t digests_size(const struct gossip_message *message)
{
    size_t size = array_header_size(message->digests_count);
    for (size_t i = 0; i < message->digests_count; i++) {
        size += integer_size(message->digests[i]);
    }
    return size;
}

size_t membership_message_size(const struct gossip_message *message)
{
    size_t size = ENVELOPE_BYTES;
    size += field_size(message->kind);
    size += field_size(message->deployment);
    size += FIELD_BYTES + membership_update_size(&message->sender);
    size += field_size(message->sequence);
    size += field_size(message->target);
    size += field_size(message->target_address);
    size += field_size(message->target_port);
    size += field_size(message->configuration_hash);
    size += field_size(message->heard_version);
    size += field_size(message->heard_hash);
    size += field_size(message->live_members);
    size += field_size(message->deployment_hash);
    size += zones_size(message);
    size += digests_size(message);
    for (size_t i = 0; i < message->updates_count; i++) {
        size += membership_update_size(&message->updates[i]);
    }
    return size;
}

void membership_enqueue(struct membership *membership, struct member_record *record)
{
    if (membership->importing_list && record->id != membership->self_id) {
        return;
    }
    record->transmissions = 0;
    membership->push_pending = true;
    if (record->queued) {
        return;
    }
    record->queued = true;
    g_queue_push_head(&membership->queue, g_memdup2(&record->id, sizeof(record->id)));
}

void membership_begin(struct membership *membership, enum gossip_kind kind,
                      struct gossip_message *out)
{
    const struct member_record *self = membership_self_record(membership);
    gossip_message_init(out);
    out->kind = kind;
    out->deployment = MEMBERSHIP_DEPLOYMENT_FIXED;
    out->deployment_hash = membership->options.deployment;
    out->sender = membership_update_of(self);
    out->sender.configuration_version = self->configuration.version;
    out->configuration_hash = self->configuration.hash;
    if (membership->newest.version > self->configuration.version) {
        out->heard_version = membership->newest.version;
        out->heard_hash = membership->newest.hash;
    }
}

void membership_send_plain(struct gossip_message *message, struct member_address to,
                           struct membership_actions *actions)
{
    struct membership_action *action = membership_actions_add(actions, MEMBERSHIP_ACTION_SEND);
    action->to = to;
    action->message = *message;
    gossip_message_init(message);
}

/* Number of times that an update is sent. Grows with the logarithm of the zone's size. */
static uint32_t transmit_limit(const struct membership *membership)
{
    uint32_t members = membership->live_in_zone[membership->self_zone];
    uint32_t limit = membership->options.transmit_factor * g_bit_storage(members);
    return MIN(limit, UINT8_MAX);
}

/* Appends an update if it fits. */
static bool append_update(struct gossip_message *message, const struct gossip_member *update,
                          size_t *size)
{
    size_t added = membership_update_size(update);
    if (*size + added > MEMBERSHIP_DATAGRAM_MAX) {
        return false;
    }
    *size += added;
    message->updates[message->updates_count] = *update;
    message->updates_count++;
    return true;
}

/* Maximum number of updates in a message, as bounded by the schema. */
#define UPDATES_MAX 64

/* Takes updates from the front of the queue while they fit; those to be sent again go to its end.
 * What the message contains already (as sender, or as `skipped`) counts as sent. */
static void fill_updates(struct membership *membership, struct gossip_message *message,
                         uint64_t skipped, size_t size)
{
    guint queued = g_queue_get_length(&membership->queue);
    uint32_t limit = transmit_limit(membership);
    for (guint i = 0; i < queued && message->updates_count < UPDATES_MAX; i++) {
        g_autofree uint64_t *id = g_queue_pop_head(&membership->queue);
        struct member_record *record = membership_record(membership, *id);
        if (record == NULL) {
            continue;
        }
        struct gossip_member update = membership_update_of(record);
        bool carried = record->id == skipped || record->id == membership->self_id;
        if (!carried && !append_update(message, &update, &size)) {
            g_queue_push_head(&membership->queue, g_steal_pointer(&id));
            return;
        }
        record->transmissions++;
        if (record->transmissions >= limit) {
            record->queued = false;
            continue;
        }
        g_queue_push_tail(&membership->queue, g_steal_pointer(&id));
    }
}

void membership_send(struct membership *membership, struct gossip_message *message,
                     const struct member_record *first, struct member_address to,
                     struct membership_actions *actions)
{
    message->updates = g_new0(struct gossip_member, UPDATES_MAX);
    size_t size = membership_message_size(message);
    if (first != NULL) {
        struct gossip_member update = membership_update_of(first);
        append_update(message, &update, &size);
    }
    fill_updates(membership, message, first == NULL ? 0 : first->id, size);
    if (message->updates_count == 0) {
        g_clear_pointer(&message->updates, g_free);
    }
    membership_send_plain(message, to, actions);
}

time_ns membership_push_due(const struct membership *membership)
{
    if (!membership->push_pending) {
        return UINT64_MAX;
    }
    return membership->last_push + membership->options.push_interval;
}

static void push_to(struct membership *membership, const struct member_record *record,
                    struct membership_actions *actions)
{
    struct gossip_message message;
    membership_begin(membership, GOSSIP_KIND_PUSH, &message);
    membership_send(membership, &message, NULL, member_record_address(record), actions);
}

void membership_push(struct membership *membership, time_ns now, struct membership_actions *actions)
{
    membership->push_pending = false;
    membership->last_push = now;
    for (uint32_t i = 0; i < membership->options.push_fanout; i++) {
        const struct member_record *record =
            membership_random_in_zone(membership, membership->self_zone);
        if (record != NULL) {
            push_to(membership, record, actions);
        }
    }
    for (uint16_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        if ((membership->relay_zones >> zone & 1) == 0) {
            continue;
        }
        const struct member_record *record = membership_random_in_zone(membership, zone);
        if (record != NULL) {
            push_to(membership, record, actions);
        }
    }
}
