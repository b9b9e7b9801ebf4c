/* Resynchronisation: members that restarted, were partitioned or led an older term get the command
 * to follow the current primary, and leaving marks are set as operators request. Every command is
 * safe to repeat, and refused by a database that promised a higher term. */
#include "core/group_control_internal.h"

static bool must_follow(const struct group_control *control, uint32_t database)
{
    const struct group_member *member = &control->members[database];

    if (!observe_is_reachable(control, database) || (int32_t)database == control->known_primary) {
        return false;
    }
    if (member->status.promised_term > control->known_term) {
        return false;
    }
    /* The coordinator that promoted the primary has sent follow commands to the others. Query their
     * status before sending another. */
    if (member->observed_at < control->learned_at) {
        return false;
    }
    return member->status.role != DATABASE_ROLE_REPLICA ||
           member->status.term < control->known_term;
}

static void send_follow(struct group_control *control, uint32_t database)
{
    struct group_member *member = &control->members[database];
    struct group_action *action = control_add_command(control, GROUP_ACTION_FOLLOW, database);

    action->term = control->known_term;
    action->primary = (uint32_t)control->known_primary;
    member->resync_command = action->command;
    member->resync_after = control->now + control->options.heal_interval;
    control_record(control, GROUP_RECORD_FOLLOW, GROUP_REASON_NONE, control->known_term,
                   (int32_t)database, member->status.held);
}

void resync_follow_all(struct group_control *control)
{
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if ((int32_t)i != control->known_primary) {
            send_follow(control, i);
        }
    }
}

static void set_leaving(struct group_control *control, uint32_t database, bool leaving)
{
    struct group_member *member = &control->members[database];
    struct group_action *action = control_add_command(control, GROUP_ACTION_SET_LEAVING, database);

    action->leaving = leaving;
    action->order = member->requested_order;
    member->resync_command = action->command;
    member->resync_after = control->now + control->options.heal_interval;
    control_record(control, leaving ? GROUP_RECORD_LEAVING : GROUP_RECORD_RETURNED,
                   GROUP_REASON_DRAIN, control->known_term, (int32_t)database, member->status.held);
}

/* A request is complete once the database has its mark, or that of a newer request to another
 * watcher. */
static bool request_is_complete(const struct group_member *member)
{
    return member->resync_command == 0 && member->status.leaving_order >= member->requested_order;
}

/* The primary is marked only once another database leads. */
static void resync_leaving(struct group_control *control, uint32_t database)
{
    struct group_member *member = &control->members[database];
    bool leaves = member->requested == REQUESTED_STATE_DRAIN;

    if (member->requested != REQUESTED_STATE_NONE && request_is_complete(member)) {
        member->requested = REQUESTED_STATE_NONE;
        control->publish_due = true;
    }
    if (member->requested == REQUESTED_STATE_NONE || !observe_is_reachable(control, database) ||
        control->options.ignore_leaving || control->now < member->resync_after) {
        return;
    }
    if (!leaves || (int32_t)database != control->known_primary) {
        set_leaving(control, database, leaves);
    }
}

static void resync_follow(struct group_control *control, uint32_t database)
{
    struct group_member *member = &control->members[database];
    time_ns due;

    if (!must_follow(control, database)) {
        member->stale_since = 0;
        return;
    }
    if (member->stale_since == 0) {
        member->stale_since = control->now;
    }
    due = member->stale_since + observe_rank(control, false) * control->options.rank_step;
    if (due < member->resync_after) {
        due = member->resync_after;
    }
    if (control->now < due) {
        control_wake_at(control, due);
        return;
    }
    send_follow(control, database);
}

void resync_advance(struct group_control *control)
{
    if (!control->in_membership || control->attempt.state != ATTEMPT_STATE_IDLE) {
        return;
    }
    if (observe_primary(control) == NO_DATABASE) {
        return;
    }
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        resync_follow(control, i);
        resync_leaving(control, i);
    }
}

bool resync_handle_command(struct group_control *control, const struct group_event *event)
{
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        struct group_member *member = &control->members[i];

        if (member->resync_command == 0 || member->resync_command != event->command) {
            continue;
        }
        member->resync_command = 0;
        if (event->result != GROUP_COMMAND_LOST) {
            observe_status(control, i, &event->status, 0);
        }
        return true;
    }
    return false;
}
