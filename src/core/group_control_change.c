/* Planned change of primary: pause new writes at every owner, wait until those in progress have
 * ended and the target has caught up, then fence and promote as in a failover. Used to drain a
 * primary, and to establish a term above a stray promise. */
#include "core/group_control_internal.h"

#include <glib.h>

static const struct log_position NO_POSITION = {0, 0};

static void set_pause(struct group_control *control, uint64_t id, uint64_t coordinator,
                      time_ns until)
{
    if (control->pause.id != id) {
        control->publish_due = true;
        control->pause.drained = 0;
    }
    control->pause.id = id;
    control->pause.coordinator = coordinator;
    control->pause.until = until;
}

static void clear_pause(struct group_control *control)
{
    if (control->pause.id != 0) {
        control->publish_due = true;
        control->opinion_due = true;
    }
    control->pause.id = 0;
    control->pause.drained = 0;
}

/* A peer's opinion starts, extends or ends the pause that the peer coordinates. */
void change_handle_opinion(struct group_control *control, const struct group_opinion *opinion)
{
    struct pause *pause = &control->pause;

    if (opinion->change == 0) {
        if (pause->id != 0 && pause->coordinator == opinion->watcher) {
            clear_pause(control);
        }
        return;
    }
    if (control->change.state != CHANGE_STATE_IDLE) {
        return;
    }
    /* One coordinator at a time: another watcher starts a change only some time after the last
     * opinion that announced this one. */
    control->change.not_before = control->now + control->options.backoff_max * 2 +
                                 observe_rank(control, false) * control->options.rank_step;
    if (pause->id != 0 && pause->id != opinion->change) {
        return;
    }
    if (opinion->term == control->known_term) {
        set_pause(control, opinion->change, opinion->watcher,
                  control->now + control->options.pause_lease);
    }
}

void change_handle_drained(struct group_control *control, uint64_t change)
{
    if (change == 0 || control->pause.id != change || control->pause.drained == change) {
        return;
    }
    control->pause.drained = change;
    control->opinion_due = true;
}

static void abort_change(struct group_control *control, enum group_reason reason)
{
    struct change *change = &control->change;

    control_record(control, GROUP_RECORD_CHANGE_ABORTED, reason, change->term,
                   (int32_t)change->target, NO_POSITION);
    change->state = CHANGE_STATE_IDLE;
    change->aborts += 1;
    change->not_before = control->now + control->options.backoff_max;
    clear_pause(control);
    control->opinion_due = true;
}

/* Another database than the target may lead: the old primary, if it committed once more before its
 * promise. No transaction is open there now, so the next change starts soon and waits for none. */
static void note_outcome(struct change *change, const struct group_control *control, bool promoted)
{
    bool meant = control->attempt.target == change->target;

    change->not_before = control->now + (promoted && !meant ? control->options.rank_step
                                                            : control->options.backoff_max);
    if (promoted && meant) {
        change->aborts = 0;
    }
}

void change_attempt_ended(struct group_control *control, bool promoted)
{
    struct change *change = &control->change;

    if (change->state != CHANGE_STATE_IDLE) {
        change->state = CHANGE_STATE_IDLE;
        note_outcome(change, control, promoted);
    }
    if (promoted) {
        control->repair_since = 0;
    }
    clear_pause(control);
}

/* True if every owner has reported that its writes ended. After several aborted changes only owners
 * that are alive count: a write of an unresponsive one is then fenced and resolved by its
 * idempotency key. */
static bool owners_drained(const struct group_control *control)
{
    const struct change *change = &control->change;

    if (control->options.no_pause) {
        return true;
    }
    if (control->pause.drained != change->id) {
        return false;
    }
    for (uint32_t i = 0; i < control->peer_count; i++) {
        const struct peer *peer = &control->peers[i];
        bool waited_for =
            change->aborts < control->options.planned_attempts || observe_peer_alive(control, peer);

        if (waited_for && peer->opinion.drained != change->id) {
            return false;
        }
    }
    return true;
}

static bool target_caught_up(const struct group_control *control)
{
    const struct change *change = &control->change;
    const struct group_member *target = &control->members[change->target];
    const struct group_member *leader = &control->members[control->known_primary];

    if ((int32_t)change->target == control->known_primary) {
        return true;
    }
    if (target->observed_at < change->drained_at || leader->observed_at < change->drained_at) {
        return false;
    }
    return log_position_compare(target->status.held, leader->status.held) == 0;
}

static void poll_members(struct group_control *control)
{
    struct change *change = &control->change;

    if (control->now >= change->poll_at) {
        change->poll_at = control->now + control->options.pause_poll;
        control_add_action(control, GROUP_ACTION_PROBE)->database =
            (uint32_t)control->known_primary;
        if ((int32_t)change->target != control->known_primary) {
            control_add_action(control, GROUP_ACTION_PROBE)->database = change->target;
        }
        control->opinion_due = true;
    }
    control_wake_at(control, change->poll_at);
}

static void start_moving(struct group_control *control)
{
    control->change.state = CHANGE_STATE_MOVING;
    control->opinion_due = true;
    failover_start(control, control->change.reason, (int32_t)control->change.target);
}

/* The pause grows only after shorter pauses were not enough for the writes in progress. */
static time_ns pause_bound(const struct group_control *control)
{
    time_ns bound = control->options.pause_first;

    for (uint32_t i = 0; i < control->change.aborts && bound < control->options.pause_max; i++) {
        bound *= 2;
    }
    return MIN(bound, control->options.pause_max);
}

/* A drain must complete even where transactions are always open: after several pauses that were not
 * enough, and half of another, the fence rolls back the open ones. Not while the target is behind,
 * since the old primary would then be chosen again. */
static bool may_force(const struct group_control *control)
{
    const struct change *change = &control->change;
    const struct group_member *target = &control->members[change->target];
    const struct group_member *leader = &control->members[control->known_primary];
    time_ns half = pause_bound(control) / 2;

    return change->reason == GROUP_REASON_DRAIN &&
           change->aborts >= control->options.planned_attempts &&
           control->now + half >= change->deadline &&
           log_position_compare(target->status.held, leader->status.held) == 0;
}

static void advance_pausing(struct group_control *control)
{
    struct change *change = &control->change;

    if (control->known_term != change->term || observe_primary(control) == NO_DATABASE) {
        abort_change(control, GROUP_REASON_NEWER_PRIMARY);
        return;
    }
    if (control->confirmed) {
        abort_change(control, GROUP_REASON_PRIMARY_LOST);
        return;
    }
    if (may_force(control)) {
        start_moving(control);
        return;
    }
    if (control->now >= change->deadline) {
        abort_change(control, GROUP_REASON_TIMEOUT);
        return;
    }
    if (change->drained_at == 0 && owners_drained(control)) {
        change->drained_at = control->now;
        change->poll_at = control->now;
    }
    if (change->drained_at != 0 && (control->options.no_pause || target_caught_up(control))) {
        start_moving(control);
        return;
    }
    poll_members(control);
    control_wake_at(control, change->deadline);
}

static void start_change(struct group_control *control, enum group_reason reason, uint32_t target)
{
    struct change *change = &control->change;

    change->state = CHANGE_STATE_PAUSING;
    change->reason = reason;
    change->count += 1;
    change->id =
        suspicion_weight(control->options.group, change->count, control->options.watcher) | 1;
    change->term = control->known_term;
    change->target = target;
    change->deadline = control->now + pause_bound(control);
    change->drained_at = 0;
    change->poll_at = control->now;
    control_record(control, GROUP_RECORD_CHANGE_STARTED, reason, change->term, (int32_t)target,
                   NO_POSITION);
    if (!control->options.no_pause) {
        set_pause(control, change->id, control->options.watcher, change->deadline);
    }
    control->opinion_due = true;
    advance_pausing(control);
}

static bool can_take_over(const struct group_control *control, uint32_t database)
{
    const struct group_member *member = &control->members[database];

    return (int32_t)database != control->known_primary &&
           member->requested != REQUESTED_STATE_DRAIN && !member->status.leaving &&
           !member->lost_state && observe_is_reachable(control, database) &&
           member->status.role == DATABASE_ROLE_REPLICA &&
           member->status.term == control->known_term;
}

static int32_t choose_target(const struct group_control *control)
{
    int32_t best = NO_DATABASE;
    int32_t zone = control->options.preferred_zone;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        bool in_zone = zone >= 0 && control->options.database_zone[i] == (uint32_t)zone;
        int order;

        if (!can_take_over(control, i)) {
            continue;
        }
        if (best == NO_DATABASE) {
            best = (int32_t)i;
            continue;
        }
        order = log_position_compare(control->members[i].status.held,
                                     control->members[best].status.held);
        if (order > 0 || (order == 0 && in_zone)) {
            best = (int32_t)i;
        }
    }
    return best;
}

static bool primary_must_leave(const struct group_control *control, int32_t primary)
{
    const struct group_member *member = &control->members[primary];

    if (member->requested == REQUESTED_STATE_SERVE) {
        return false;
    }
    return member->requested == REQUESTED_STATE_DRAIN || member->status.leaving;
}

static void drain_primary(struct group_control *control, int32_t primary)
{
    struct change *change = &control->change;
    int32_t target = choose_target(control);

    if (target != NO_DATABASE) {
        start_change(control, GROUP_REASON_DRAIN, (uint32_t)target);
        return;
    }
    if (!change->blocked_recorded) {
        change->blocked_recorded = true;
        control_record(control, GROUP_RECORD_DRAIN_BLOCKED, GROUP_REASON_DRAIN, control->known_term,
                       primary, NO_POSITION);
    }
}

static bool all_owners_alive(const struct group_control *control)
{
    for (uint32_t i = 0; i < control->peer_count; i++) {
        if (!observe_peer_alive(control, &control->peers[i])) {
            return false;
        }
    }
    return true;
}

static void consider_change(struct group_control *control)
{
    struct change *change = &control->change;
    int32_t primary = observe_primary(control);
    bool repair = repair_is_due(control);
    time_ns rank_wait;

    if (!control->in_membership || primary == NO_DATABASE || control->suspects ||
        control->attempt.state != ATTEMPT_STATE_IDLE || control->pause.id != 0) {
        return;
    }
    if (repair_is_urgent(control)) {
        failover_start(control, GROUP_REASON_STRAY_PROMISE, primary);
        return;
    }
    if (!repair && !primary_must_leave(control, primary)) {
        change->not_before = 0;
        change->aborts = 0;
        return;
    }
    if (change->not_before == 0) {
        rank_wait = observe_rank(control, false) * control->options.rank_step * 2;
        change->not_before = control->now + rank_wait;
    }
    if (control->now < change->not_before) {
        control_wake_at(control, change->not_before);
        return;
    }
    if (change->aborts < control->options.planned_attempts && !all_owners_alive(control)) {
        change->aborts += 1;
        change->not_before = control->now + control->options.backoff_max;
        return;
    }
    if (primary_must_leave(control, primary)) {
        drain_primary(control, primary);
    } else {
        start_change(control, GROUP_REASON_STRAY_PROMISE, (uint32_t)primary);
    }
}

/* The other watchers' pause expires without further opinions. */
static void renew_pause(struct group_control *control)
{
    struct change *change = &control->change;

    if (control->now >= change->poll_at) {
        change->poll_at = control->now + control->options.pause_lease / 5;
        control->opinion_due = true;
    }
    control_wake_at(control, change->poll_at);
}

void change_advance(struct group_control *control)
{
    struct pause *pause = &control->pause;

    if (control->change.state == CHANGE_STATE_PAUSING) {
        advance_pausing(control);
        return;
    }
    if (control->change.state == CHANGE_STATE_MOVING) {
        renew_pause(control);
        return;
    }
    if (pause->id != 0) {
        if (control->now >= pause->until) {
            clear_pause(control);
        } else {
            control_wake_at(control, pause->until);
        }
    }
    consider_change(control);
}
