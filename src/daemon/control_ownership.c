/* The groups that this daemon owns: feeds ownership with members and groups, starts gained groups
 * and releases lost ones, and publishes the owners that request threads forward to. */
#define G_LOG_DOMAIN "owners"
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "backend/clock.h"
#include "daemon/control_budget.h"
#include "daemon/control_configuration.h"
#include "daemon/control_slots.h"
#include "daemon/daemon.h"

/* Time after which a daemon that finds no other claims its groups. */
#define OWNERSHIP_SETTLE_MS 1000

/* A zone counts as reachable if a message from it was received within this time. */
#define MAJORITY_WITHIN_MS 5000

static void fill_group(struct ownership_group *out, const struct group_configuration *group)
{
    out->group = group->id;
    out->zone_count = group->zone_count;
    for (uint32_t i = 0; i < group->zone_count; i++) {
        out->zones[i] = (uint16_t)group->zones[i];
    }
}

static void fill_owners(struct control *control, struct group_owners *out, uint32_t group)
{
    out->group = group;
    out->count = (uint32_t)ownership_owners(control->ownership, group, out->owners);
}

/* Replaces the table of owners that request threads read; groups are ordered by id. */
static void publish_owners(struct control *control)
{
    struct configuration *configuration = daemon_take_configuration(control->daemon);
    guint count = configuration->groups->len;
    struct owner_table *next =
        g_malloc0(sizeof(struct owner_table) + count * sizeof(struct group_owners));
    next->count = count;
    for (guint i = 0; i < count; i++) {
        const struct group_configuration *group = g_ptr_array_index(configuration->groups, i);
        fill_owners(control, &next->groups[i], group->id);
    }
    configuration_unref(configuration);
    struct owner_table *previous = control->owners;
    rcu_assign_pointer(control->owners, next);
    synchronize_rcu();
    g_free(previous);
}

static void record_change(struct control *control, uint32_t group, const char *kind)
{
    struct journal_entry entry = {.group = group, .database = -1};
    g_strlcpy(entry.kind, kind, sizeof(entry.kind));
    g_strlcpy(entry.text, "by membership", sizeof(entry.text));
    journal_add(control->journal, &entry);
}

/* Starts gained groups and hands over lost ones. */
static void apply_changes(struct control *control, const GArray *changes)
{
    for (guint i = 0; i < changes->len; i++) {
        const struct ownership_change *change = &g_array_index(changes, struct ownership_change, i);
        int32_t position = ownership_position(control->ownership, change->group);
        bool runs = control_groups_runs(control, change->group);
        if (position >= 0 && !runs) {
            control_groups_begin(control, change->group);
            record_change(control, change->group, "ownership_gained");
        } else if (position < 0 && runs) {
            control_budget_release(control->budget, change->group);
            record_change(control, change->group, "ownership_lost");
        }
        if (position >= 0) {
            control_budget_set_position(control->budget, change->group, position);
        }
    }
    publish_owners(control);
    control_groups_set_watchers(control, backend_now());
    control_slots_set_owners(control);
}

void control_ownership_start(struct control *control, uint64_t self)
{
    struct ownership_options options;
    uint32_t owners = control->daemon->settings.ownership.owners_per_group;
    ownership_options_default(&options);
    options.owners = MIN(owners, OWNERS_MAX);
    options.all_own_up_to = options.owners;
    control->ownership = ownership_new(&options, self);
    control->owners = g_malloc0(sizeof(struct owner_table));
    control->owners_settle_at = backend_now() + OWNERSHIP_SETTLE_MS * NANOSECONDS_PER_MILLISECOND;
}

void control_ownership_stop(struct control *control)
{
    ownership_free(control->ownership);
    synchronize_rcu();
    g_free(control->owners);
}

void control_ownership_set_groups(struct control *control)
{
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    struct configuration *configuration = daemon_take_configuration(control->daemon);
    guint count = configuration->groups->len;
    struct ownership_group *groups = g_new0(struct ownership_group, count + 1);
    for (guint i = 0; i < count; i++) {
        fill_group(&groups[i], g_ptr_array_index(configuration->groups, i));
    }
    configuration_unref(configuration);
    ownership_set_groups(control->ownership, groups, count, changes);
    g_free(groups);
    apply_changes(control, changes);
}

/* Copies the current members into ownership. */
static void take_members(struct control *control, GArray *changes)
{
    for (size_t i = 0; i < membership_count(control->membership); i++) {
        struct member member = membership_get(control->membership, i);
        ownership_set_member(control->ownership, &member, changes);
    }
}

void control_ownership_members_changed(struct control *control)
{
    if (!control->owners_settled) {
        return;
    }
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    take_members(control, changes);
    if (changes->len > 0) {
        apply_changes(control, changes);
    }
}

void control_ownership_forget(struct control *control, uint64_t member)
{
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_remove_member(control->ownership, member, changes);
    if (changes->len > 0) {
        apply_changes(control, changes);
    }
}

/* True if the member list is complete and more than half of the members are reachable. */
static bool members_are_reliable(struct control *control, time_ns now)
{
    if (control->daemon->settings.daemon.peers.count == 0) {
        return true;
    }
    if (membership_count(control->membership) <= 1) {
        return now >= control->owners_settle_at;
    }
    time_ns within = MAJORITY_WITHIN_MS * NANOSECONDS_PER_MILLISECOND;
    return membership_synced(control->membership) &&
           membership_majority_reachable(control->membership, now, within);
}

void control_ownership_tick(struct control *control, time_ns now)
{
    if (control->membership == NULL || !control_configuration_was_confirmed(control)) {
        return;
    }
    bool reliable = members_are_reliable(control, now);
    if (reliable == control->members_reliable) {
        return;
    }
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    control->members_reliable = reliable;
    g_message("The member list is %s.",
              reliable ? "complete, and a majority is reachable" : "not reliable");
    ownership_set_settled(control->ownership, reliable, changes);
    if (atomic_load(&control->owners_settled)) {
        apply_changes(control, changes);
        return;
    }
    take_members(control, changes);
    control_ownership_set_groups(control);
    atomic_store(&control->owners_settled, true);
}

bool control_is_settled(struct control *control)
{
    return atomic_load(&control->owners_settled);
}

static int compare_group(const void *key, const void *element)
{
    uint32_t group = *(const uint32_t *)key;
    const struct group_owners *owners = element;
    if (group == owners->group) {
        return 0;
    }
    return group < owners->group ? -1 : 1;
}

void control_ownership_entries(struct control *control, uint32_t group, struct member_entry *owners,
                               uint32_t *count)
{
    *count = 0;
    rcu_read_lock();
    const struct owner_table *table = rcu_dereference(control->owners);
    const struct member_table *members = rcu_dereference(control->members);
    const struct group_owners *found =
        bsearch(&group, table->groups, table->count, sizeof(struct group_owners), compare_group);
    for (uint32_t i = 0; found != NULL && i < found->count; i++) {
        const struct member_entry *entry = control_find_member(members, found->owners[i]);
        if (entry != NULL) {
            owners[(*count)++] = *entry;
        }
    }
    rcu_read_unlock();
}
