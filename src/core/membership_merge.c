/* Merging of received updates: which of two updates about a member is newer, how this daemon
 * refutes one about itself, and what is reported to the caller. */
#include "core/membership_internal.h"

/* Orders updates about one member: by start, then incarnation, then state. */
static bool update_is_newer(const struct gossip_member *update, const struct member_record *record)
{
    if (update->start != record->start) {
        return update->start > record->start;
    }
    if (update->incarnation != record->incarnation) {
        return update->incarnation > record->incarnation;
    }
    return (uint8_t)update->state > record->state;
}

void membership_announce_self(struct membership *membership)
{
    struct member_record *self = membership_self_record(membership);
    membership_count_out(membership, self);
    self->incarnation++;
    membership_count_in(membership, self);
    membership_enqueue(membership, self);
}

/* Another daemon has a later start for this id. Before the first sync that can only be the record
 * of an earlier process with a higher number, which this daemon exceeds; after it, a process that
 * replaced this one. */
static void merge_later_start(struct membership *membership, const struct gossip_member *update,
                              struct membership_actions *actions)
{
    struct member_record *self = membership_self_record(membership);
    if (membership->synced) {
        membership->superseded = true;
        membership_report(actions, MEMBERSHIP_ACTION_SUPERSEDED, self);
        return;
    }
    membership_count_out(membership, self);
    self->start = update->start + 1;
    membership_count_in(membership, self);
    membership_announce_self(membership);
}

/* Merges an update about this daemon. */
static bool merge_self(struct membership *membership, const struct gossip_member *update,
                       struct membership_actions *actions)
{
    struct member_record *self = membership_self_record(membership);
    if (update->start > self->start) {
        merge_later_start(membership, update, actions);
        return true;
    }
    if (!update_is_newer(update, self)) {
        return false;
    }
    self->incarnation = MAX(self->incarnation, update->incarnation);
    membership_announce_self(membership);
    return true;
}

/* Overwrites a record with a newer update. */
static void apply_update(struct member_record *record, const struct gossip_member *update,
                         time_ns now)
{
    if (update->start != record->start) {
        record->configuration = (struct configuration_mark){0};
    }
    if (update->start != record->start || update->incarnation != record->incarnation) {
        record->absent = false; /* the member itself sent this; others can only change its state */
    }
    record->start = update->start;
    record->incarnation = update->incarnation;
    record->changed_at = now;
    record->state = (uint8_t)update->state;
    record->leaving = update->leaving;
    if (member_record_live(record)) {
        record->address = update->address;
        record->port = (uint16_t)update->port;
        record->zone = (uint16_t)update->zone;
        record->region = (uint16_t)update->region;
    }
}

/* Updates the probe ring, the relays and the suspicions after a change of a record. */
static void update_derived_state(struct membership *membership, const struct member_record *record,
                                 bool was_live, time_ns now)
{
    if (!was_live && membership->live_in_zone[record->zone] == 1) {
        membership->relays_stale = true;
    }
    if (record->zone != membership->self_zone) {
        return;
    }
    if (was_live != member_record_live(record)) {
        membership->relays_stale = true;
    }
    if (!was_live && member_record_live(record)) {
        membership_ring_add(membership, record->id);
    }
    if (record->state == MEMBER_STATE_SUSPECT) {
        membership_suspicion_start(membership, record->id, now);
    } else {
        membership_suspicion_end(membership, record->id);
    }
}

/* The kind of action that reports a change. */
static enum membership_action_kind change_kind(const struct member_record *before,
                                               const struct member_record *after)
{
    if (!member_record_live(after)) {
        return MEMBERSHIP_ACTION_MEMBER_REMOVED;
    }
    if (!member_record_live(before)) {
        return MEMBERSHIP_ACTION_MEMBER_JOINED;
    }
    if (before->start != after->start) {
        return MEMBERSHIP_ACTION_MEMBER_RESTARTED;
    }
    return MEMBERSHIP_ACTION_MEMBER_CHANGED;
}

/* True if the caller needs to know the change. An increment of the incarnation alone is none. */
static bool is_reportable(const struct member_record *before, const struct member_record *after)
{
    if (member_record_live(before) != member_record_live(after)) {
        return true;
    }
    return before->start != after->start || before->state != after->state ||
           before->leaving != after->leaving || before->absent != after->absent ||
           before->address != after->address || before->port != after->port ||
           before->zone != after->zone;
}

static void report_change(const struct member_record *before, const struct member_record *after,
                          struct membership_actions *actions)
{
    if (is_reportable(before, after)) {
        membership_report(actions, change_kind(before, after), after);
    }
}

/* Merges an update about an unknown member. Dead and left members are ignored, otherwise their
 * tombstones would circulate without end. */
static bool merge_unknown(struct membership *membership, const struct gossip_member *update,
                          time_ns now, struct membership_actions *actions)
{
    struct member_record record = {.id = update->member};
    apply_update(&record, update, now);
    if (!member_record_live(&record)) {
        return false;
    }
    record.configuration.version = update->configuration_version;
    struct member_record *inserted = membership_insert(membership, &record);
    membership_enqueue(membership, inserted);
    update_derived_state(membership, inserted, false, now);
    membership_report(actions, MEMBERSHIP_ACTION_MEMBER_JOINED, inserted);
    return true;
}

/* Updates the configuration known to be in force at a member. */
static void merge_member_configuration(struct member_record *record,
                                       const struct gossip_member *update)
{
    bool same_process = update->start == record->start;
    if (same_process && update->configuration_version > record->configuration.version) {
        record->configuration.version = update->configuration_version;
        record->configuration.hash = 0;
    }
}

static bool merge_known(struct membership *membership, struct member_record *record,
                        const struct gossip_member *update, time_ns now,
                        struct membership_actions *actions)
{
    bool newer = update_is_newer(update, record);
    if (newer) {
        struct member_record before = *record;
        membership_count_out(membership, record);
        apply_update(record, update, now);
        membership_count_in(membership, record);
        membership_enqueue(membership, record);
        update_derived_state(membership, record, member_record_live(&before), now);
        report_change(&before, record, actions);
    }
    merge_member_configuration(record, update);
    return newer;
}

bool membership_merge(struct membership *membership, const struct gossip_member *update,
                      time_ns now, struct membership_actions *actions)
{
    if (update->member == 0 || update->zone >= MEMBERSHIP_ZONES_MAX || update->port > UINT16_MAX ||
        update->region > UINT16_MAX) {
        return false;
    }
    if (update->member == membership->self_id) {
        return merge_self(membership, update, actions);
    }
    struct member_record *record = membership_record(membership, update->member);
    if (record == NULL) {
        return merge_unknown(membership, update, now, actions);
    }
    return merge_known(membership, record, update, now, actions);
}

void membership_set_state(struct membership *membership, struct member_record *record,
                          enum member_state state, time_ns now, struct membership_actions *actions)
{
    struct gossip_member update = membership_update_of(record);
    update.state = state;
    merge_known(membership, record, &update, now, actions);
}

void membership_merge_configuration(struct membership *membership, struct configuration_mark mark,
                                    const struct gossip_member *sender, bool holder,
                                    struct membership_actions *actions)
{
    uint64_t in_force = membership_self_record(membership)->configuration.version;
    bool newer = mark.version > membership->newest.version;
    bool obtainable =
        holder && mark.version > in_force && mark.version >= membership->newest.version;
    if (newer) {
        membership->newest = mark;
    }
    if (!newer && !obtainable) {
        return;
    }
    struct membership_action *action =
        membership_actions_add(actions, MEMBERSHIP_ACTION_CONFIGURATION_ANNOUNCED);
    action->configuration = mark;
    action->holder = holder;
    const struct member_record *record = membership_record(membership, sender->member);
    if (record != NULL) {
        action->member = member_of_record(record);
    }
}
