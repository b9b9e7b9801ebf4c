/* Rendezvous hashing of groups over members and zones, with a bound on the groups of one member.
 * Each zone is computed separately, so that a member's arrival or departure affects only its own
 * zone. */
#include "core/ownership.h"

#include <string.h>
#include <xxhash.h>

/* A member owns at most this many times the mean of its zone, rounded up. Plain hashing gives the
 * busiest of 84 members more than three times the mean; a tighter bound moves more groups. */
#define LOAD_BOUND 2

/* Owners of one group. */
struct group_owners {
    struct ownership_group group;
    uint32_t owner_count;
    int32_t position;                           /* of this daemon if it may be owner, or -1 */
    uint64_t zone_owners[OWNERSHIP_OWNERS_MAX]; /* owner in each of the group's first zones; 0: the
                                                   zone has no member */
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
};

struct ownership {
    struct ownership_options options;
    uint64_t self_id;
    bool settled;
    size_t owners_per_group; /* owners that each group should have */
    GArray *groups;          /* struct group_owners, by group number */
    GArray *members;         /* struct ownership_member that may own groups, by zone, then id */
    GArray *absent; /* struct ownership_member; also in `members` while too few others could replace
                       them */
    uint64_t ranks_computed;
};

/* Rank of a member for a group; members with the highest ranks own it. */
static uint64_t owner_rank(uint64_t id, uint32_t group)
{
    return XXH64(&id, sizeof(id), group);
}

int ownership_compare_for(const struct ownership_member *self, const struct ownership_member *left,
                          const struct ownership_member *right)
{
    bool left_in_zone = left->zone == self->zone;
    bool right_in_zone = right->zone == self->zone;
    if (left_in_zone != right_in_zone) {
        return left_in_zone ? -1 : 1;
    }
    uint64_t left_rank = XXH64(&left->id, sizeof(left->id), self->id);
    uint64_t right_rank = XXH64(&right->id, sizeof(right->id), self->id);
    if (left_rank == right_rank) {
        return 0;
    }
    return left_rank > right_rank ? -1 : 1;
}

void ownership_options_default(struct ownership_options *options)
{
    options->owners = 3;
    options->all_own_up_to = 5;
}

static bool owners_contain(const uint64_t *owners, size_t count, uint64_t id)
{
    for (size_t i = 0; i < count; i++) {
        if (owners[i] == id) {
            return true;
        }
    }
    return false;
}

/* Number of owners per group for the current number of members. */
static size_t compute_owners_per_group(const struct ownership *ownership)
{
    size_t members = ownership->members->len;
    bool few = members <= ownership->options.all_own_up_to;
    return MIN(few ? members : ownership->options.owners, OWNERSHIP_OWNERS_MAX);
}

struct ownership *ownership_new(const struct ownership_options *options, uint64_t self_id)
{
    struct ownership *ownership = g_new0(struct ownership, 1);
    ownership->options = *options;
    ownership->self_id = self_id;
    ownership->groups = g_array_new(FALSE, TRUE, sizeof(struct group_owners));
    ownership->members = g_array_new(FALSE, FALSE, sizeof(struct ownership_member));
    ownership->absent = g_array_new(FALSE, FALSE, sizeof(struct ownership_member));
    return ownership;
}

void ownership_free(struct ownership *ownership)
{
    if (ownership == NULL) {
        return;
    }
    g_array_free(ownership->groups, TRUE);
    g_array_free(ownership->members, TRUE);
    g_array_free(ownership->absent, TRUE);
    g_free(ownership);
}

static struct group_owners *group_at(const struct ownership *ownership, guint index)
{
    return &g_array_index(ownership->groups, struct group_owners, index);
}

static struct ownership_member *member_at(const struct ownership *ownership, guint index)
{
    return &g_array_index(ownership->members, struct ownership_member, index);
}

static int32_t position_of(const uint64_t *owners, size_t count, uint64_t id)
{
    for (size_t i = 0; i < count; i++) {
        if (owners[i] == id) {
            return (int32_t)i;
        }
    }
    return -1;
}

/* Index of the first member of the zone, or of the next later zone with members. */
static guint zone_start(const struct ownership *ownership, uint32_t zone)
{
    guint low = 0;
    guint high = ownership->members->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (member_at(ownership, middle)->zone < zone) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

/* The owner in each zone. */

/* The members of one zone, and the number of groups assigned to each so far. */
struct zone_members {
    uint16_t zone;
    guint start; /* index of the zone's first member */
    guint count;
    uint32_t bound; /* maximum number of groups of one member */
    uint32_t *loads;
};

/* Index of a zone among the group's zones that have an owner of their own, or -1. */
static int32_t slot_of_zone(const struct ownership *ownership, const struct ownership_group *group,
                            uint16_t zone)
{
    uint32_t slots = (uint32_t)MIN(group->zone_count, ownership->owners_per_group);
    for (uint32_t i = 0; i < slots; i++) {
        if (group->zones[i] == zone) {
            return (int32_t)i;
        }
    }
    return -1;
}

/* Counts the groups that have an owner of their own in the zone. */
static uint32_t count_slots(const struct ownership *ownership, uint16_t zone)
{
    uint32_t count = 0;
    for (guint i = 0; i < ownership->groups->len; i++) {
        count += slot_of_zone(ownership, &group_at(ownership, i)->group, zone) >= 0;
    }
    return count;
}

/* The highest ranked member of the zone below its bound; 0 if there is none. */
static uint64_t choose_in_zone(struct ownership *ownership, struct zone_members *zone,
                               uint32_t group)
{
    guint best = zone->count;
    uint64_t best_rank = 0;
    for (guint i = 0; i < zone->count; i++) {
        if (zone->loads[i] >= zone->bound) {
            continue;
        }
        uint64_t rank = owner_rank(member_at(ownership, zone->start + i)->id, group);
        if (best == zone->count || rank > best_rank) {
            best = i;
            best_rank = rank;
        }
    }
    ownership->ranks_computed += zone->count;
    if (best == zone->count) {
        return 0;
    }
    zone->loads[best]++;
    return member_at(ownership, zone->start + best)->id;
}

/* `factor` times the mean number of slots per member, rounded up. */
static uint32_t scaled_mean(uint32_t factor, uint32_t slots, uint32_t members)
{
    return members == 0 ? 0 : (factor * slots + members - 1) / members;
}

/* Computes the owners of all groups in one zone, in the order of the groups. */
static void assign_zone(struct ownership *ownership, uint16_t zone)
{
    uint32_t slots = count_slots(ownership, zone);
    if (slots == 0) {
        return;
    }
    struct zone_members members = {.zone = zone, .start = zone_start(ownership, zone)};
    members.count = zone_start(ownership, (uint32_t)zone + 1) - members.start;
    members.bound = scaled_mean(LOAD_BOUND, slots, members.count);
    members.loads = g_new0(uint32_t, members.count + 1);
    for (guint i = 0; i < ownership->groups->len; i++) {
        struct group_owners *entry = group_at(ownership, i);
        int32_t slot = slot_of_zone(ownership, &entry->group, zone);
        if (slot >= 0) {
            entry->zone_owners[slot] = choose_in_zone(ownership, &members, entry->group.group);
        }
    }
    g_free(members.loads);
}

/* Owners beyond the one in each zone. */

/* Appends the highest ranked member that is not an owner yet, of one zone or of all. False if there
 * is none. */
static bool append_best(struct ownership *ownership, struct group_owners *entry, bool any_zone,
                        uint16_t zone)
{
    uint64_t best = 0;
    uint64_t best_rank = 0;
    for (guint i = 0; i < ownership->members->len; i++) {
        const struct ownership_member *member = member_at(ownership, i);
        bool in_zone = any_zone || member->zone == zone;
        if (!in_zone || owners_contain(entry->owners, entry->owner_count, member->id)) {
            continue;
        }
        uint64_t rank = owner_rank(member->id, entry->group.group);
        ownership->ranks_computed++;
        if (best == 0 || rank > best_rank) {
            best = member->id;
            best_rank = rank;
        }
    }
    if (best == 0) {
        return false;
    }
    entry->owners[entry->owner_count] = best;
    entry->owner_count++;
    return true;
}

/* Appends one more owner from each zone of the group, up to the number needed. False if none was
 * found. */
static bool append_round(struct ownership *ownership, struct group_owners *entry)
{
    bool found = false;
    for (uint32_t i = 0; i < entry->group.zone_count; i++) {
        if (entry->owner_count == ownership->owners_per_group) {
            return found;
        }
        found |= append_best(ownership, entry, false, entry->group.zones[i]);
    }
    return found;
}

/* Builds the group's owners from those in its zones, and from others if these are too few. */
static void complete_owners(struct ownership *ownership, struct group_owners *entry)
{
    memset(entry->owners, 0, sizeof(entry->owners));
    entry->owner_count = 0;
    for (size_t i = 0; i < MIN(entry->group.zone_count, ownership->owners_per_group); i++) {
        if (entry->zone_owners[i] != 0) {
            entry->owners[entry->owner_count] = entry->zone_owners[i];
            entry->owner_count++;
        }
    }
    while (entry->owner_count < ownership->owners_per_group && append_round(ownership, entry)) {
    }
    while (entry->owner_count < ownership->owners_per_group &&
           append_best(ownership, entry, true, 0)) {
    }
}

/* Changes. */

/* This daemon's index among the owners; -1 if it may not become owner now. */
static int32_t allowed_position(const struct ownership *ownership, const struct group_owners *entry)
{
    bool may_take = ownership->settled || entry->position >= 0;
    return may_take ? position_of(entry->owners, entry->owner_count, ownership->self_id) : -1;
}

/* A former owner that is none now, or 0. */
static uint64_t removed_owner(const struct group_owners *before, const struct group_owners *after)
{
    for (uint32_t i = 0; i < before->owner_count; i++) {
        if (!owners_contain(after->owners, after->owner_count, before->owners[i])) {
            return before->owners[i];
        }
    }
    return 0;
}

static void report_change(const struct group_owners *before, const struct group_owners *after,
                          GArray *changes)
{
    struct ownership_change change = {
        .group = after->group.group,
        .position_before = before->position,
        .position = after->position,
        .removed = removed_owner(before, after),
    };
    g_array_append_val(changes, change);
}

/* Computes one group's owners and appends the change if there is one. */
static void update_group(struct ownership *ownership, struct group_owners *entry, GArray *changes)
{
    struct group_owners before = *entry;
    complete_owners(ownership, entry);
    entry->position = allowed_position(ownership, entry);
    bool same = memcmp(before.owners, entry->owners, sizeof(entry->owners)) == 0;
    if (!same || before.position != entry->position) {
        report_change(&before, entry, changes);
    }
}

static void update_all_groups(struct ownership *ownership, GArray *changes)
{
    ownership->owners_per_group = compute_owners_per_group(ownership);
    for (guint i = 0; i < ownership->groups->len; i++) {
        memset(group_at(ownership, i)->zone_owners, 0, sizeof(group_at(ownership, i)->zone_owners));
    }
    for (uint16_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        assign_zone(ownership, zone);
    }
    for (guint i = 0; i < ownership->groups->len; i++) {
        update_group(ownership, group_at(ownership, i), changes);
    }
}

/* True if all owners of the group come from its zones, one from each. */
static bool has_all_zone_owners(const struct ownership *ownership, const struct group_owners *entry)
{
    if (entry->group.zone_count < ownership->owners_per_group) {
        return false;
    }
    for (size_t i = 0; i < ownership->owners_per_group; i++) {
        if (entry->zone_owners[i] == 0) {
            return false;
        }
    }
    return true;
}

/* Updates groups after a zone gained or lost a member: those with an owner in this zone, and those
 * that need owners from other zones. */
static void update_zone_groups(struct ownership *ownership, uint16_t zone, GArray *changes)
{
    if (compute_owners_per_group(ownership) != ownership->owners_per_group) {
        update_all_groups(ownership, changes);
        return;
    }
    assign_zone(ownership, zone);
    for (guint i = 0; i < ownership->groups->len; i++) {
        struct group_owners *entry = group_at(ownership, i);
        bool in_zone = slot_of_zone(ownership, &entry->group, zone) >= 0;
        if (in_zone || !has_all_zone_owners(ownership, entry)) {
            update_group(ownership, entry, changes);
        }
    }
}

static gint compare_groups(gconstpointer a, gconstpointer b)
{
    const struct group_owners *left = a;
    const struct group_owners *right = b;
    if (left->group.group == right->group.group) {
        return 0;
    }
    return left->group.group < right->group.group ? -1 : 1;
}

static struct group_owners *find_group(const struct ownership *ownership, uint32_t group)
{
    struct group_owners key = {0};
    key.group.group = group;
    guint index = 0;
    if (!g_array_binary_search(ownership->groups, &key, compare_groups, &index)) {
        return NULL;
    }
    return group_at(ownership, index);
}

/* Reports for each removed group that this daemon is no longer its owner. */
static void report_lost_groups(struct ownership *ownership, const GArray *before, GArray *changes)
{
    for (guint i = 0; i < before->len; i++) {
        const struct group_owners *entry = &g_array_index(before, struct group_owners, i);
        if (find_group(ownership, entry->group.group) != NULL) {
            continue;
        }
        struct ownership_change change = {
            .group = entry->group.group,
            .position_before = entry->position,
            .position = -1,
        };
        g_array_append_val(changes, change);
    }
}

void ownership_set_groups(struct ownership *ownership, const struct ownership_group *groups,
                          size_t count, GArray *changes)
{
    g_autoptr(GArray) before = ownership->groups;
    ownership->groups = g_array_sized_new(FALSE, TRUE, sizeof(struct group_owners), (guint)count);
    g_array_sort(before, compare_groups);
    for (size_t i = 0; i < count; i++) {
        struct group_owners entry = {.group = groups[i], .position = -1};
        guint index = 0;
        if (g_array_binary_search(before, &entry, compare_groups, &index)) {
            entry = g_array_index(before, struct group_owners, index);
            entry.group = groups[i];
        }
        g_array_append_val(ownership->groups, entry);
    }
    g_array_sort(ownership->groups, compare_groups);
    report_lost_groups(ownership, before, changes);
    update_all_groups(ownership, changes);
}

/* Index of a member in one of the lists, or -1. */
static int32_t index_in(const GArray *list, uint64_t id)
{
    for (guint i = 0; i < list->len; i++) {
        if (g_array_index(list, struct ownership_member, i).id == id) {
            return (int32_t)i;
        }
    }
    return -1;
}

static void add_member(struct ownership *ownership, const struct ownership_member *member,
                       GArray *changes)
{
    guint place = zone_start(ownership, member->zone);
    while (place < ownership->members->len && member_at(ownership, place)->zone == member->zone &&
           member_at(ownership, place)->id < member->id) {
        place++;
    }
    g_array_insert_val(ownership->members, place, *member);
    update_zone_groups(ownership, member->zone, changes);
}

static void remove_member(struct ownership *ownership, uint64_t id, GArray *changes)
{
    int32_t index = index_in(ownership->members, id);
    if (index < 0) {
        return;
    }
    uint16_t zone = member_at(ownership, (guint)index)->zone;
    g_array_remove_index(ownership->members, (guint)index);
    update_zone_groups(ownership, zone, changes);
}

/* Lets the member own groups, in its current zone. */
static void ensure_member(struct ownership *ownership, const struct ownership_member *member,
                          GArray *changes)
{
    int32_t index = index_in(ownership->members, member->id);
    if (index >= 0 && member_at(ownership, (guint)index)->zone == member->zone) {
        return;
    }
    remove_member(ownership, member->id, changes);
    add_member(ownership, member, changes);
}

static void set_absent(struct ownership *ownership, const struct ownership_member *member,
                       bool absent)
{
    int32_t index = index_in(ownership->absent, member->id);
    if (index >= 0) {
        g_array_remove_index_fast(ownership->absent, (guint)index);
    }
    if (absent) {
        g_array_append_val(ownership->absent, *member);
    }
}

/* Counts the members that may own groups and are not absent. */
static guint count_present(const struct ownership *ownership)
{
    guint count = ownership->members->len;
    for (guint i = 0; i < ownership->absent->len; i++) {
        uint64_t id = g_array_index(ownership->absent, struct ownership_member, i).id;
        count -= index_in(ownership->members, id) >= 0;
    }
    return count;
}

/* Absent members keep their groups while too few others could replace them. */
static void update_absent_members(struct ownership *ownership, GArray *changes)
{
    bool replaceable = count_present(ownership) >= ownership->options.owners;
    for (guint i = 0; i < ownership->absent->len; i++) {
        struct ownership_member member =
            g_array_index(ownership->absent, struct ownership_member, i);
        if (replaceable) {
            remove_member(ownership, member.id, changes);
        } else {
            ensure_member(ownership, &member, changes);
        }
    }
}

void ownership_remove_member(struct ownership *ownership, uint64_t id, GArray *changes)
{
    struct ownership_member member = {.id = id};
    set_absent(ownership, &member, false);
    remove_member(ownership, id, changes);
    update_absent_members(ownership, changes);
}

void ownership_set_member(struct ownership *ownership, const struct member *member, GArray *changes)
{
    bool alive = member->state == MEMBER_STATE_ALIVE || member->state == MEMBER_STATE_SUSPECT;
    if (!alive || member->leaving) {
        ownership_remove_member(ownership, member->id, changes);
        return;
    }
    struct ownership_member placed = {member->id, member->zone};
    set_absent(ownership, &placed, member->absent);
    if (!member->absent) {
        ensure_member(ownership, &placed, changes);
    }
    update_absent_members(ownership, changes);
}

size_t ownership_owners(const struct ownership *ownership, uint32_t group, uint64_t *owners)
{
    const struct group_owners *entry = find_group(ownership, group);
    if (entry == NULL) {
        return 0;
    }
    memcpy(owners, entry->owners, sizeof(entry->owners));
    return entry->owner_count;
}

void ownership_set_settled(struct ownership *ownership, bool settled, GArray *changes)
{
    if (settled == ownership->settled) {
        return;
    }
    ownership->settled = settled;
    for (guint i = 0; i < ownership->groups->len; i++) {
        struct group_owners *entry = group_at(ownership, i);
        struct group_owners before = *entry;
        entry->position = allowed_position(ownership, entry);
        if (entry->position != before.position) {
            report_change(&before, entry, changes);
        }
    }
}

int32_t ownership_position(const struct ownership *ownership, uint32_t group)
{
    const struct group_owners *entry = find_group(ownership, group);
    return entry == NULL ? -1 : entry->position;
}

size_t ownership_memory(const struct ownership *ownership)
{
    return sizeof(*ownership) + ownership->groups->len * sizeof(struct group_owners) +
           (ownership->members->len + ownership->absent->len) * sizeof(struct ownership_member);
}

uint64_t ownership_ranks_computed(const struct ownership *ownership)
{
    return ownership->ranks_computed;
}
