/* Reachability of zones. Relays exchange messages with other zones directly. Every reply to a probe
 * within a zone carries the age of the last contact with each other zone, so that all its members
 * know. */
#include "core/membership_internal.h"

#include <xxhash.h>

/* Members of each zone that query the store. */
#define STORE_QUERIERS 2

bool membership_zone_reachable(const struct membership *membership, uint16_t zone, time_ns now)
{
    if (zone >= MEMBERSHIP_ZONES_MAX) {
        return false;
    }
    if (zone == membership->self_zone && membership->live_in_zone[zone] <= 1) {
        return true;
    }
    time_ns last_contact = membership->zone_last_contact[zone];
    return last_contact != 0 && now <= last_contact + membership->options.zone_timeout;
}

/* Records contact with a zone at this time or later. */
static void update_zone_contact(struct membership *membership, uint16_t zone, time_ns at)
{
    membership->zone_last_contact[zone] = MAX(membership->zone_last_contact[zone], at);
}

void membership_add_zones(const struct membership *membership, time_ns now,
                          struct gossip_message *out)
{
    struct gossip_zone_age ages[MEMBERSHIP_AGE_COUNT];
    size_t count = 0;
    for (uint32_t zone = 0; zone < MEMBERSHIP_AGE_COUNT; zone++) {
        time_ns last_contact = membership->zone_last_contact[zone];
        if (last_contact == 0 || zone == membership->self_zone) {
            continue;
        }
        uint64_t age_ms = (now - MIN(last_contact, now)) / NANOSECONDS_PER_MILLISECOND;
        ages[count].zone = zone;
        ages[count].age_ms = (uint32_t)MIN(age_ms, UINT32_MAX);
        count++;
    }
    out->zones = g_memdup2(ages, count * sizeof(ages[0]));
    out->zones_count = count;
}

/* Applies the ages reported by a member of this zone, as of the time at which the probe was
 * sent. */
static void apply_zone_ages(struct membership *membership, const struct gossip_message *message,
                            time_ns sent_at)
{
    for (size_t i = 0; i < message->zones_count; i++) {
        const struct gossip_zone_age *age = &message->zones[i];
        uint64_t nanoseconds = (uint64_t)age->age_ms * NANOSECONDS_PER_MILLISECOND;
        if (age->zone < MEMBERSHIP_AGE_COUNT && nanoseconds < sent_at) {
            update_zone_contact(membership, (uint16_t)age->zone, sent_at - nanoseconds);
        }
    }
}

void membership_update_zones(struct membership *membership, const struct gossip_message *message,
                             time_ns sent_at)
{
    uint16_t zone = (uint16_t)message->sender.zone;
    update_zone_contact(membership, zone, sent_at);
    if (zone == membership->self_zone) {
        apply_zone_ages(membership, message, sent_at);
    }
}

void membership_zones_tick(struct membership *membership, time_ns now,
                           struct membership_actions *actions)
{
    for (uint16_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        if (membership->zone_last_contact[zone] == 0) {
            continue;
        }
        bool reachable = membership_zone_reachable(membership, zone, now);
        uint64_t bit = UINT64_C(1) << zone;
        if (reachable == ((membership->zones_reachable & bit) != 0)) {
            continue;
        }
        membership->zones_reachable ^= bit;
        struct membership_action *action =
            membership_actions_add(actions, MEMBERSHIP_ACTION_ZONE_CHANGED);
        action->zone = zone;
        action->reachable = reachable;
    }
}

/* Members that are the only ones of their zones. */

/* The only live member of a zone. */
static struct member_record *lone_member(const struct membership *membership, uint16_t zone)
{
    for (guint i = 0; i < membership->records->len; i++) {
        struct member_record *record = membership_record_at(membership, i);
        if (record->zone == zone && member_record_live(record)) {
            return record;
        }
    }
    return NULL;
}

static void set_absent(struct membership *membership, struct member_record *record, bool absent,
                       struct membership_actions *actions)
{
    uint64_t bit = UINT64_C(1) << record->zone;
    membership->zones_absent =
        absent ? membership->zones_absent | bit : membership->zones_absent & ~bit;
    bool matters = record->absent != absent && member_record_live(record);
    record->absent = absent;
    if (matters) {
        membership_report(actions, MEMBERSHIP_ACTION_MEMBER_CHANGED, record);
    }
}

/* Sets whether the only member of a zone is absent. No member of its zone can declare it dead.
 * Without contact to its zone it is absent, but only for daemons that reach a majority, since this
 * daemon may be the partitioned one, and so that no list shrinks to less than a majority. */
static void check_lone_member(struct membership *membership, uint16_t zone, time_ns now,
                              struct membership_actions *actions)
{
    time_ns timeout = membership->options.zone_timeout;
    bool was_absent = (membership->zones_absent >> zone & 1) != 0;
    bool in_contact = now <= membership->zone_last_contact[zone] + timeout;
    membership->zone_lone_at[zone] = now;
    if (in_contact && !was_absent) {
        return;
    }
    struct member_record *record = lone_member(membership, zone);
    if (in_contact || now <= record->changed_at + timeout) {
        set_absent(membership, record, false, actions);
    } else if (membership_majority_reachable(membership, now, timeout)) {
        set_absent(membership, record, true, actions);
    }
}

/* Once the zone has other members, they detect within this time whether the absent one is dead. */
static void end_absence(struct membership *membership, uint16_t zone, time_ns now,
                        struct membership_actions *actions)
{
    if (now <= membership->zone_lone_at[zone] + membership->options.zone_timeout) {
        return;
    }
    for (guint i = 0; i < membership->records->len; i++) {
        struct member_record *record = membership_record_at(membership, i);
        if (record->zone == zone && record->absent) {
            set_absent(membership, record, false, actions);
        }
    }
    membership->zones_absent &= ~(UINT64_C(1) << zone);
}

void membership_absence_tick(struct membership *membership, time_ns now,
                             struct membership_actions *actions)
{
    for (uint16_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        if (zone == membership->self_zone) {
            continue;
        }
        if (membership->live_in_zone[zone] == 1) {
            check_lone_member(membership, zone, now, actions);
        } else if ((membership->zones_absent >> zone & 1) != 0) {
            end_absence(membership, zone, now, actions);
        }
    }
}

/* Relays. */

/* Rank of a member as relay to a zone. The members with the highest ranks are its relays. */
static uint64_t relay_rank(uint64_t id, uint16_t zone)
{
    return XXH64(&id, sizeof(id), zone);
}

/* True if fewer than `places` other live members of this zone have a higher rank than this
 * daemon. */
static bool ranks_within(const struct membership *membership, uint16_t zone, uint32_t places)
{
    uint64_t own = relay_rank(membership->self_id, zone);
    uint32_t above = 0;
    for (guint i = 0; i < membership->ring->len; i++) {
        uint64_t id = g_array_index(membership->ring, uint64_t, i);
        const struct member_record *record = membership_record(membership, id);
        bool counts =
            record != NULL && member_record_live(record) && record->zone == membership->self_zone;
        if (counts && relay_rank(id, zone) > own) {
            above++;
        }
    }
    return above < places;
}

void membership_update_relays(struct membership *membership)
{
    membership->relays_stale = false;
    membership->relay_zones = 0;
    membership->queries_store = ranks_within(membership, MEMBERSHIP_STORE, STORE_QUERIERS);
    for (uint16_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        if (zone == membership->self_zone || membership->live_in_zone[zone] == 0) {
            continue;
        }
        if (ranks_within(membership, zone, membership->options.relays)) {
            membership->relay_zones |= UINT64_C(1) << zone;
        }
    }
}

bool membership_queries_store(const struct membership *membership)
{
    return membership->queries_store;
}

void membership_record_store_reply(struct membership *membership, time_ns sent_at)
{
    update_zone_contact(membership, MEMBERSHIP_STORE, sent_at);
}

time_ns membership_store_confirmed_at(const struct membership *membership)
{
    return membership->zone_last_contact[MEMBERSHIP_STORE];
}

/* The latest time before `before` at which there was contact with a zone; 0 if there is none. */
static time_ns latest_contact_before(const struct membership *membership, time_ns before)
{
    time_ns latest = 0;
    for (uint32_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        time_ns last_contact = membership->zone_last_contact[zone];
        if (last_contact < before) {
            latest = MAX(latest, last_contact);
        }
    }
    return latest;
}

time_ns membership_peers_confirmed_at(const struct membership *membership, time_ns now)
{
    time_ns at = now + 1;
    do {
        size_t reachable = 0;
        size_t known = 0;
        at = latest_contact_before(membership, at);
        membership_count_reachable(membership, now, now - at, &reachable, &known);
        if (2 * reachable > known && known > 1) {
            return at;
        }
    } while (at > 0);
    return 0;
}
