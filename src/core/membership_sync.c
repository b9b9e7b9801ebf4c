/* Anti-entropy: two members compare digests of their lists and send each other the records of the
 * buckets that differ. This repairs lost datagrams, gives a new daemon the member list, and
 * synchronises zones after a partition. */
#include "core/membership_internal.h"

/* The list is complete if it has at least this share, in sixteenths, of a peer's live members. */
#define COMPLETE_SIXTEENTHS 15

/* One in this many rounds goes to a member of any zone. */
#define ANY_ZONE_SYNC_INTERVAL 4

static void add_digests(const struct membership *membership, struct gossip_message *message)
{
    message->digests = g_memdup2(membership->digests, sizeof(membership->digests));
    message->digests_count = MEMBERSHIP_BUCKETS;
}

void membership_sync_with(struct membership *membership, struct member_address to,
                          struct membership_actions *actions)
{
    struct gossip_message message;
    membership_begin(membership, GOSSIP_KIND_SYNC, &message);
    add_digests(membership, &message);
    membership_send_plain(&message, to, actions);
}

/* Bit per bucket whose digest differs from the peer's. */
static uint32_t differing_buckets(const struct membership *membership,
                                  const struct gossip_message *message)
{
    uint32_t differing = 0;
    for (size_t i = 0; i < MIN(message->digests_count, MEMBERSHIP_BUCKETS); i++) {
        if (message->digests[i] != membership->digests[i]) {
            differing |= UINT32_C(1) << i;
        }
    }
    return differing;
}

/* Records being sent to a peer. */
struct record_stream {
    struct membership *membership;
    struct member_address to;
    struct membership_actions *actions;
    struct gossip_message message;
    size_t size;
    uint32_t datagrams; /* sent so far */
};

/* Maximum number of records in a datagram; no live record is so short that more would fit. */
#define RECORDS_PER_DATAGRAM_MAX 64

static void stream_send(struct record_stream *stream)
{
    membership_send_plain(&stream->message, stream->to, stream->actions);
    stream->datagrams++;
    membership_begin(stream->membership, GOSSIP_KIND_SYNC_RECORDS, &stream->message);
    stream->size = membership_message_size(&stream->message);
}

static void stream_add(struct record_stream *stream, const struct member_record *record)
{
    struct gossip_member update = membership_update_of(record);
    update.configuration_version = record->configuration.version;
    size_t added = membership_update_size(&update);
    bool full = stream->size + added > MEMBERSHIP_DATAGRAM_MAX ||
                stream->message.updates_count == RECORDS_PER_DATAGRAM_MAX;
    if (full) {
        stream_send(stream);
    }
    if (stream->message.updates == NULL) {
        stream->message.updates = g_new0(struct gossip_member, RECORDS_PER_DATAGRAM_MAX);
    }
    stream->message.updates[stream->message.updates_count] = update;
    stream->message.updates_count++;
    stream->size += added;
}

/* Sends the records of the given buckets, starting at a random bucket, up to sync_datagrams. */
static void stream_records(struct record_stream *stream, uint32_t buckets)
{
    struct membership *membership = stream->membership;
    uint32_t first = membership_random(membership, MEMBERSHIP_BUCKETS);
    for (uint32_t i = 0; i < MEMBERSHIP_BUCKETS; i++) {
        uint32_t bucket = (first + i) % MEMBERSHIP_BUCKETS;
        if ((buckets >> bucket & 1) == 0) {
            continue;
        }
        for (size_t j = 0; j < membership->records->len; j++) {
            const struct member_record *record = membership_record_at(membership, j);
            if (record->id % MEMBERSHIP_BUCKETS == bucket) {
                stream_add(stream, record);
            }
            if (stream->datagrams >= membership->options.sync_datagrams) {
                return;
            }
        }
    }
}

/* Sends a first message followed by the records of the given buckets. */
static void answer_with_records(struct membership *membership, struct gossip_message *first,
                                uint32_t buckets, struct member_address to,
                                struct membership_actions *actions)
{
    struct record_stream stream = {
        .membership = membership,
        .to = to,
        .actions = actions,
        .message = *first,
        .size = membership_message_size(first),
    };
    stream_records(&stream, buckets);
    bool unsent = stream.datagrams == 0 || stream.message.updates_count > 0;
    if (unsent && stream.datagrams < membership->options.sync_datagrams) {
        membership_send_plain(&stream.message, to, actions);
    }
    gossip_message_clear(&stream.message);
}

/* Counts the known live members. */
static uint32_t live_members(const struct membership *membership)
{
    uint32_t live = 0;
    for (uint32_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        live += membership->live_in_zone[zone];
    }
    return live;
}

void membership_receive_sync(struct membership *membership, const struct gossip_message *message,
                             struct member_address from, time_ns now,
                             struct membership_actions *actions)
{
    struct gossip_message answer;
    membership_begin(membership, GOSSIP_KIND_SYNC_REPLY, &answer);
    add_digests(membership, &answer);
    answer.live_members = live_members(membership);
    uint32_t buckets = differing_buckets(membership, message);
    answer_with_records(membership, &answer, buckets, from, actions);
}

/* The list is complete once two consecutive replies found it so and it did not grow between them. A
 * single reply proves little when many daemons start at once, since all may be missing the same
 * members. */
static void update_synced(struct membership *membership, bool complete)
{
    uint32_t live = live_members(membership);
    bool again = complete && live == membership->complete_live_members;
    membership->complete_live_members = complete ? live : 0;
    membership->synced |= again;
}

void membership_receive_sync_reply(struct membership *membership,
                                   const struct gossip_message *message, struct member_address from,
                                   time_ns now, struct membership_actions *actions)
{
    uint64_t needed = (uint64_t)message->live_members * COMPLETE_SIXTEENTHS / 16;
    update_synced(membership, live_members(membership) >= needed);
    uint32_t buckets = differing_buckets(membership, message);
    if (buckets == 0) {
        return;
    }
    struct gossip_message records;
    membership_begin(membership, GOSSIP_KIND_SYNC_RECORDS, &records);
    answer_with_records(membership, &records, buckets, from, actions);
}

/* True if a live member has the address. */
static bool is_address_known(const struct membership *membership, struct member_address address)
{
    for (guint i = 0; i < membership->records->len; i++) {
        const struct member_record *record = membership_record_at(membership, i);
        bool same = record->address == address.address && record->port == address.port;
        if (same && member_record_live(record)) {
            return true;
        }
    }
    return false;
}

/* A random seed address that belongs to no live member, or NULL. */
static const struct member_address *unknown_seed(struct membership *membership)
{
    if (membership->seeds_count == 0) {
        return NULL;
    }
    uint32_t count = (uint32_t)membership->seeds_count;
    uint32_t first = membership_random(membership, count);
    for (uint32_t i = 0; i < count; i++) {
        const struct member_address *seed = &membership->seeds[(first + i) % count];
        if (!is_address_known(membership, *seed)) {
            return seed;
        }
    }
    return NULL;
}

/* A live member of any zone, or NULL. */
static const struct member_record *random_live(struct membership *membership)
{
    guint count = membership->records->len;
    guint first = membership_random(membership, count);
    for (guint i = 0; i < count; i++) {
        const struct member_record *record = membership_record_at(membership, (first + i) % count);
        if (member_record_live(record) && record->id != membership->self_id) {
            return record;
        }
    }
    return NULL;
}

/* A dead member may be alive beyond a partition that has ended: the ping contains its record so
 * that it can refute. */
static void ping_dead_member(struct membership *membership, struct membership_actions *actions)
{
    guint count = membership->records->len;
    guint first = membership_random(membership, count);
    for (guint i = 0; i < count; i++) {
        const struct member_record *record = membership_record_at(membership, (first + i) % count);
        if (record->state != MEMBER_STATE_DEAD) {
            continue;
        }
        struct gossip_message message;
        membership_begin(membership, GOSSIP_KIND_PING, &message);
        membership_send(membership, &message, record, member_record_address(record), actions);
        return;
    }
}

/* A random time from 3/4 to 5/4 of the interval, so that daemons started together don't act at
 * once. */
static time_ns jittered(struct membership *membership, time_ns interval)
{
    uint32_t half_ms = (uint32_t)(interval / 2 / NANOSECONDS_PER_MILLISECOND) + 1;
    time_ns jitter = membership_random(membership, half_ms) * NANOSECONDS_PER_MILLISECOND;
    return interval * 3 / 4 + jitter;
}

/* The member to compare lists with, mostly one of this zone. */
static const struct member_record *choose_sync_peer(struct membership *membership)
{
    const struct member_record *peer = NULL;
    if (membership_random(membership, ANY_ZONE_SYNC_INTERVAL) > 0) {
        peer = membership_random_in_zone(membership, membership->self_zone);
    }
    return peer != NULL ? peer : random_live(membership);
}

/* Time to the next round. Daemons that start together may first find only each other and have equal
 * lists, so each contacts its seeds for settle_time. */
static time_ns sync_wait(struct membership *membership, bool seed_unknown, time_ns now)
{
    bool settling = seed_unknown && now < membership->started + membership->options.settle_time;
    if (settling || !membership->synced) {
        return jittered(membership, membership->options.sync_retry);
    }
    return jittered(membership, membership->options.sync_interval);
}

void membership_sync_tick(struct membership *membership, time_ns now,
                          struct membership_actions *actions)
{
    if (now < membership->next_sync) {
        return;
    }
    const struct member_record *peer = choose_sync_peer(membership);
    if (peer != NULL) {
        membership_sync_with(membership, member_record_address(peer), actions);
    }
    const struct member_address *seed = unknown_seed(membership);
    if (seed != NULL) {
        membership_sync_with(membership, *seed, actions);
    }
    membership->next_sync = now + sync_wait(membership, seed != NULL, now);
    ping_dead_member(membership, actions);
}
