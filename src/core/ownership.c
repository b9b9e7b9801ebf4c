/* Rendezvous hashing of groups over members and zones, from scratch and step by step. */
#include "core/ownership.h"

#include <string.h>
#include <xxhash.h>

/* Owners of one group as kept. */
struct group_owners {
    struct ownership_group group;
    uint32_t owner_count;
    int32_t position; /* of this daemon if it may take it, or -1 */
    bool filled;      /* its zones had too few members, so that any member may own it */
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
};

struct ownership {
    struct ownership_options options;
    uint64_t self_id;
    bool settled;
    GArray *groups;  /* struct group_owners, by group number */
    GArray *members; /* struct ownership_member, by zone, then id */
    uint64_t ranks_computed;
};

/* Rank of a member for a group: the highest own it. */
static uint64_t owner_rank(uint64_t id, uint32_t group)
{
    return XXH64(&id, sizeof(id), group);
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

/* Which members a search considers. */
struct search {
    const struct ownership_group *group;
    const uint64_t *taken;
    size_t taken_count;
    bool any_zone;
    uint16_t zone;
};

/* The highest ranked member of a span that is not taken; 0 if there is none. */
static uint64_t best_of_span(const struct search *search, const struct ownership_member *members,
                             size_t count, uint64_t *best_rank)
{
    uint64_t best = 0;
    for (size_t i = 0; i < count; i++) {
        bool in_zone = search->any_zone || members[i].zone == search->zone;
        if (!in_zone || owners_contain(search->taken, search->taken_count, members[i].id)) {
            continue;
        }
        uint64_t rank = owner_rank(members[i].id, search->group->group);
        bool better =
            best == 0 || rank > *best_rank || (rank == *best_rank && members[i].id > best);
        if (better) {
            best = members[i].id;
            *best_rank = rank;
        }
    }
    return best;
}

/* The members to choose from, and how many owners are wanted. */
struct selection {
    const struct ownership_group *group;
    const struct ownership_member *members;
    size_t member_count;
    size_t wanted;
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    size_t owner_count;
};

/* Appends the best of one zone, or of any zone; false if nobody is left. */
static bool select_one(struct selection *selection, bool any_zone, uint16_t zone)
{
    struct search search = {
        .group = selection->group,
        .taken = selection->owners,
        .taken_count = selection->owner_count,
        .any_zone = any_zone,
        .zone = zone,
    };
    uint64_t rank = 0;
    uint64_t best = best_of_span(&search, selection->members, selection->member_count, &rank);
    if (best == 0) {
        return false;
    }
    selection->owners[selection->owner_count] = best;
    selection->owner_count++;
    return true;
}

/* One round over the zones of the group; false if no zone gave a member. */
static bool select_round(struct selection *selection)
{
    bool found = false;
    for (uint32_t i = 0; i < selection->group->zone_count; i++) {
        if (selection->owner_count == selection->wanted) {
            return found;
        }
        found |= select_one(selection, false, selection->group->zones[i]);
    }
    return found;
}

/* How many owners a group has when so many members live. */
static size_t owners_wanted(const struct ownership_options *options, size_t member_count)
{
    size_t wanted = member_count <= options->all_own_up_to ? member_count : options->owners;
    return MIN(wanted, OWNERSHIP_OWNERS_MAX);
}

static size_t select_owners(struct selection *selection)
{
    while (selection->owner_count < selection->wanted && select_round(selection)) {
    }
    while (selection->owner_count < selection->wanted && select_one(selection, true, 0)) {
    }
    return selection->owner_count;
}

size_t ownership_owners_of(const struct ownership_options *options,
                           const struct ownership_group *group,
                           const struct ownership_member *members, size_t member_count,
                           uint64_t *owners)
{
    struct selection selection = {
        .group = group,
        .members = members,
        .member_count = member_count,
        .wanted = owners_wanted(options, member_count),
    };
    size_t count = select_owners(&selection);
    memcpy(owners, selection.owners, sizeof(selection.owners));
    return count;
}

struct ownership *ownership_new(const struct ownership_options *options, uint64_t self_id)
{
    struct ownership *ownership = g_new0(struct ownership, 1);
    ownership->options = *options;
    ownership->self_id = self_id;
    ownership->groups = g_array_new(FALSE, TRUE, sizeof(struct group_owners));
    ownership->members = g_array_new(FALSE, FALSE, sizeof(struct ownership_member));
    return ownership;
}

void ownership_free(struct ownership *ownership)
{
    if (ownership == NULL) {
        return;
    }
    g_array_free(ownership->groups, TRUE);
    g_array_free(ownership->members, TRUE);
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

/* First member of a zone or of a later one: where the zone's span starts. */
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

/* The members of the group's zones, which is all that most groups need. */
static GArray *members_of_zones(const struct ownership *ownership,
                                const struct ownership_group *group)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct ownership_member));
    for (uint32_t i = 0; i < group->zone_count; i++) {
        guint start = zone_start(ownership, group->zones[i]);
        guint end = zone_start(ownership, (uint32_t)group->zones[i] + 1);
        g_array_append_vals(members,
                            ownership->members->data + start * sizeof(struct ownership_member),
                            end - start);
    }
    return members;
}

/* This daemon's place among the owners, as far as it may take it now. */
static int32_t allowed_position(const struct ownership *ownership, const struct group_owners *entry)
{
    bool may_take = ownership->settled || entry->position >= 0;
    return may_take ? position_of(entry->owners, entry->owner_count, ownership->self_id) : -1;
}

/* An owner before that is none now, or 0. */
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

/* Works out one group's owners and appends the change, if there is one. */
static void work_out_group(struct ownership *ownership, struct group_owners *entry, GArray *changes)
{
    struct group_owners before = *entry;
    g_autoptr(GArray) candidates = members_of_zones(ownership, &entry->group);
    size_t wanted = owners_wanted(&ownership->options, ownership->members->len);
    entry->filled = candidates->len < wanted;
    const GArray *members = entry->filled ? ownership->members : candidates;
    struct selection selection = {
        .group = &entry->group,
        .members = (const struct ownership_member *)members->data,
        .member_count = members->len,
        .wanted = wanted,
    };
    entry->owner_count = (uint32_t)select_owners(&selection);
    memcpy(entry->owners, selection.owners, sizeof(entry->owners));
    ownership->ranks_computed += members->len;
    entry->position = allowed_position(ownership, entry);
    bool same = memcmp(before.owners, entry->owners, sizeof(entry->owners)) == 0;
    if (!same || before.position != entry->position) {
        report_change(&before, entry, changes);
    }
}

static void work_out_all(struct ownership *ownership, GArray *changes)
{
    for (guint i = 0; i < ownership->groups->len; i++) {
        work_out_group(ownership, group_at(ownership, i), changes);
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

/* Reports this daemon's end as owner of the groups that are no longer there. */
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
    work_out_all(ownership, changes);
}

/* Index of a member, or -1. */
static int32_t member_index(const struct ownership *ownership, uint64_t id)
{
    for (guint i = 0; i < ownership->members->len; i++) {
        if (member_at(ownership, i)->id == id) {
            return (int32_t)i;
        }
    }
    return -1;
}

static bool group_in_zone(const struct ownership_group *group, uint16_t zone)
{
    for (uint32_t i = 0; i < group->zone_count; i++) {
        if (group->zones[i] == zone) {
            return true;
        }
    }
    return false;
}

/* True if a new member may change the group's owners. If its zone had members before, it can only
 * do so by ranking above one of the owners. */
static bool joins_group(struct ownership *ownership, const struct group_owners *entry,
                        const struct ownership_member *member, bool first_of_zone)
{
    if (entry->filled) {
        return true;
    }
    if (!group_in_zone(&entry->group, member->zone)) {
        return false;
    }
    if (first_of_zone) {
        return true;
    }
    uint64_t rank = owner_rank(member->id, entry->group.group);
    ownership->ranks_computed += 1 + entry->owner_count;
    for (uint32_t i = 0; i < entry->owner_count; i++) {
        if (rank >= owner_rank(entry->owners[i], entry->group.group)) {
            return true;
        }
    }
    return false;
}

static void add_member(struct ownership *ownership, const struct ownership_member *member,
                       GArray *changes)
{
    guint place = zone_start(ownership, member->zone);
    bool first_of_zone = place == zone_start(ownership, (uint32_t)member->zone + 1);
    while (place < ownership->members->len && member_at(ownership, place)->zone == member->zone &&
           member_at(ownership, place)->id < member->id) {
        place++;
    }
    g_array_insert_val(ownership->members, place, *member);
    bool few = ownership->members->len <= ownership->options.all_own_up_to + 1;
    for (guint i = 0; i < ownership->groups->len; i++) {
        struct group_owners *entry = group_at(ownership, i);
        if (few || joins_group(ownership, entry, member, first_of_zone)) {
            work_out_group(ownership, entry, changes);
        }
    }
}

void ownership_remove_member(struct ownership *ownership, uint64_t id, GArray *changes)
{
    int32_t index = member_index(ownership, id);
    if (index < 0) {
        return;
    }
    g_array_remove_index(ownership->members, (guint)index);
    bool few = ownership->members->len <= ownership->options.all_own_up_to;
    for (guint i = 0; i < ownership->groups->len; i++) {
        struct group_owners *entry = group_at(ownership, i);
        if (few || owners_contain(entry->owners, entry->owner_count, id)) {
            work_out_group(ownership, entry, changes);
        }
    }
}

void ownership_set_member(struct ownership *ownership, const struct member *member, GArray *changes)
{
    bool alive = member->state == MEMBER_STATE_ALIVE || member->state == MEMBER_STATE_SUSPECT;
    if (!alive || member->leaving) {
        ownership_remove_member(ownership, member->id, changes);
        return;
    }
    int32_t index = member_index(ownership, member->id);
    if (index >= 0 && member_at(ownership, (guint)index)->zone == member->zone) {
        return;
    }
    ownership_remove_member(ownership, member->id, changes);
    struct ownership_member added = {member->id, member->zone};
    add_member(ownership, &added, changes);
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
           ownership->members->len * sizeof(struct ownership_member);
}

uint64_t ownership_ranks_computed(const struct ownership *ownership)
{
    return ownership->ranks_computed;
}
