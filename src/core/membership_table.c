/* The table of member records, ordered by id, with its counts and digests. */
#include "core/membership_internal.h"

#include <xxhash.h>

bool member_record_live(const struct member_record *record)
{
    return record->state == MEMBER_STATE_ALIVE || record->state == MEMBER_STATE_SUSPECT;
}

/* Index of the first record whose id is not lower. */
static guint lower_bound(const struct membership *membership, uint64_t id)
{
    guint low = 0;
    guint high = membership->records->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (membership_record_at(membership, middle)->id < id) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

struct member_record *membership_record_at(const struct membership *membership, size_t index)
{
    return &g_array_index(membership->records, struct member_record, index);
}

struct member_record *membership_record(const struct membership *membership, uint64_t id)
{
    guint index = lower_bound(membership, id);
    if (index == membership->records->len) {
        return NULL;
    }
    struct member_record *record = membership_record_at(membership, index);
    return record->id == id ? record : NULL;
}

struct member_record *membership_self_record(const struct membership *membership)
{
    return membership_record(membership, membership->self_id);
}

/* Digest of those fields of a live member that anti-entropy compares. */
static uint32_t record_digest(const struct member_record *record)
{
    struct {
        uint64_t id;
        uint64_t start;
        uint64_t rest;
    } content = {record->id, record->start, (uint64_t)record->incarnation << 1 | record->leaving};
    return (uint32_t)XXH64(&content, sizeof(content), 0);
}

void membership_count_in(struct membership *membership, const struct member_record *record)
{
    if (record->state == MEMBER_STATE_DEAD) {
        membership->dead++;
    }
    if (member_record_live(record)) {
        membership->live_in_zone[record->zone]++;
        membership->digests[record->id % MEMBERSHIP_BUCKETS] ^= record_digest(record);
    }
}

void membership_count_out(struct membership *membership, const struct member_record *record)
{
    if (record->state == MEMBER_STATE_DEAD) {
        membership->dead--;
    }
    if (member_record_live(record)) {
        membership->live_in_zone[record->zone]--;
        membership->digests[record->id % MEMBERSHIP_BUCKETS] ^= record_digest(record);
    }
}

struct member_record *membership_insert(struct membership *membership,
                                        const struct member_record *record)
{
    guint index = lower_bound(membership, record->id);
    g_array_insert_val(membership->records, index, *record);
    struct member_record *inserted = membership_record_at(membership, index);
    membership_count_in(membership, inserted);
    return inserted;
}

void membership_remove_at(struct membership *membership, size_t index)
{
    struct member_record *record = membership_record_at(membership, index);
    membership_count_out(membership, record);
    g_array_remove_index(membership->records, (guint)index);
}

struct member member_of_record(const struct member_record *record)
{
    return (struct member){
        .id = record->id,
        .start = record->start,
        .incarnation = record->incarnation,
        .address = member_record_address(record),
        .zone = record->zone,
        .region = record->region,
        .state = (enum member_state)record->state,
        .leaving = record->leaving,
        .absent = record->absent,
        .configuration = record->configuration,
    };
}

uint32_t membership_random(struct membership *membership, uint32_t bound)
{
    membership->random += UINT64_C(0x9E3779B97F4A7C15);
    uint64_t value = XXH64(&membership->random, sizeof(membership->random), 0);
    return (uint32_t)(((value >> 32) * bound) >> 32);
}

struct member_record *membership_random_in_zone(struct membership *membership, uint16_t zone)
{
    uint32_t candidates = membership->live_in_zone[zone];
    if (zone == membership->self_zone && candidates > 0) {
        candidates--;
    }
    if (candidates == 0) {
        return NULL;
    }
    uint32_t skip = membership_random(membership, candidates);
    for (guint i = 0; i < membership->records->len; i++) {
        struct member_record *record = membership_record_at(membership, i);
        bool usable =
            record->zone == zone && member_record_live(record) && record->id != membership->self_id;
        if (usable && skip-- == 0) {
            return record;
        }
    }
    return NULL;
}
