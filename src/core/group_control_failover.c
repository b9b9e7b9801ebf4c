/* Failover: fence every member at a new term, wait for a majority, promote the member with the
 * longest log, and let the others follow it. Several coordinators may try at once: a member
 * promises a term to one coordinator only, so at most one of them gets a majority in a term. */
#include "core/group_control_internal.h"

#include <glib.h>
#include <string.h>

static const struct log_position NO_POSITION = {0, 0};

/* After this many consecutive failed attempts a primary that replicates to no majority may be
 * chosen again: the group may have no other candidate. */
#define EXCLUSIONS_MAX 3

static void send_fence(struct group_control *control, uint32_t database)
{
    struct attempt *attempt = &control->attempt;
    struct group_action *action = control_add_command(control, GROUP_ACTION_FENCE, database);

    action->term = attempt->term;
    attempt->command[database] = action->command;
    attempt->retry_at[database] = 0;
}

static void send_promote(struct group_control *control)
{
    struct attempt *attempt = &control->attempt;
    struct group_action *action =
        control_add_command(control, GROUP_ACTION_PROMOTE, attempt->target);

    action->term = attempt->term;
    attempt->state = ATTEMPT_STATE_PROMOTING;
    attempt->command[attempt->target] = action->command;
}

/* A higher position wins; among equals the preferred database, then one that is not leaving, then
 * one in the preferred zone, then the lowest index. */
static bool is_better(const struct group_control *control, const struct database_status *statuses,
                      uint32_t candidate, uint32_t best)
{
    int order = log_position_compare(statuses[candidate].held, statuses[best].held);
    int32_t preferred = control->attempt.preferred;
    int32_t zone = control->options.preferred_zone;
    bool candidate_leaves;
    bool best_leaves;

    if (order != 0) {
        return order > 0;
    }
    if (preferred != NO_DATABASE &&
        (candidate == (uint32_t)preferred) != (best == (uint32_t)preferred)) {
        return candidate == (uint32_t)preferred;
    }
    candidate_leaves = statuses[candidate].leaving ||
                       control->members[candidate].requested == REQUESTED_STATE_DRAIN;
    best_leaves =
        statuses[best].leaving || control->members[best].requested == REQUESTED_STATE_DRAIN;
    if (candidate_leaves != best_leaves) {
        return best_leaves;
    }
    if (zone >= 0) {
        bool candidate_preferred = control->options.database_zone[candidate] == (uint32_t)zone;
        bool best_preferred = control->options.database_zone[best] == (uint32_t)zone;

        if (candidate_preferred != best_preferred) {
            return candidate_preferred;
        }
    }
    return candidate < best;
}

static int32_t choose_best(const struct group_control *control, uint32_t mask,
                           const struct database_status *statuses)
{
    int32_t best = NO_DATABASE;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if ((mask >> i & 1) == 0) {
            continue;
        }
        if (best == NO_DATABASE || is_better(control, statuses, i, (uint32_t)best)) {
            best = (int32_t)i;
        }
    }
    return best;
}

/* TEST ONLY (no_fence): fences only the member to promote, and not the old primary. */
static void fence_target_only(struct group_control *control)
{
    struct database_status statuses[GROUP_DATABASES_MAX];
    uint32_t mask = observe_reachable_mask(control);
    int32_t target;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        statuses[i] = control->members[i].status;
    }
    if (control->known_primary != NO_DATABASE) {
        mask &= ~(UINT32_C(1) << control->known_primary);
    }
    target = choose_best(control, mask, statuses);
    if (target != NO_DATABASE) {
        send_fence(control, (uint32_t)target);
    }
}

void failover_start(struct group_control *control, enum group_reason reason, int32_t preferred)
{
    struct attempt *attempt = &control->attempt;
    uint64_t highest = control->promised_max;

    if (control->proposed_max > highest) {
        highest = control->proposed_max;
    }
    memset(attempt, 0, sizeof(*attempt));
    attempt->state = ATTEMPT_STATE_FENCING;
    attempt->reason = reason;
    attempt->preferred = preferred;
    attempt->excluded =
        control->attempt_failures < EXCLUSIONS_MAX ? replication_excluded(control) : 0;
    attempt->term = highest + 1;
    attempt->deadline = control->now + control->options.attempt_timeout;
    control->proposed_max = attempt->term;
    control_record(control, GROUP_RECORD_FENCE_STARTED, reason, attempt->term, NO_DATABASE,
                   NO_POSITION);
    if (control->options.no_fence) {
        fence_target_only(control);
        return;
    }
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        send_fence(control, i);
    }
}

static void end_attempt(struct group_control *control, bool promoted)
{
    control->attempt.state = ATTEMPT_STATE_IDLE;
    control->start_at = 0;
    control->publish_due = true;
    control->opinion_due = true;
    change_attempt_ended(control, promoted);
}

static void fail_attempt(struct group_control *control, enum group_reason reason)
{
    time_ns wait = control->options.backoff;

    for (uint32_t i = 0; i < control->attempt_failures && wait < control->options.backoff_max;
         i++) {
        wait *= 2;
    }
    control_record(control, GROUP_RECORD_ATTEMPT_FAILED, reason, control->attempt.term, NO_DATABASE,
                   NO_POSITION);
    end_attempt(control, false);
    control->attempt_failures += 1;
    control->promised_seen = control->promised_max;
    control->start_at = control->now + wait + control_jitter(control, wait);
}

static void finish_attempt(struct group_control *control)
{
    struct attempt *attempt = &control->attempt;
    const struct group_member *leader = &control->members[attempt->target];

    control_record(control, GROUP_RECORD_PROMOTED, attempt->reason, attempt->term,
                   (int32_t)attempt->target, leader->status.held);
    control->attempt_failures = 0;
    resync_follow_all(control);
    end_attempt(control, true);
}

static uint32_t grants_needed(const struct group_control *control)
{
    if (control->options.no_fence) {
        return 1;
    }
    return majority_of(control->options.database_count);
}

/* Members whose grants make the majority, and from which the primary is chosen. */
static uint32_t counted_grants(const struct attempt *attempt)
{
    return attempt->granted & ~attempt->excluded;
}

/* A member that lost its state may have held acknowledged writes and given promises that it no
 * longer knows. So the others must make a majority without it. If too few of them are left for
 * that, all of them must grant. */
static bool grants_cover_lost_state(const struct group_control *control)
{
    uint32_t intact = 0;
    uint32_t granted = 0;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if (control->members[i].lost_state || control->members[i].regressed_since != 0) {
            continue;
        }
        intact += 1;
        granted += counted_grants(&control->attempt) >> i & 1;
    }
    return control->options.trust_forgetful || granted >= MIN(grants_needed(control), intact);
}

static void decide_target(struct group_control *control)
{
    struct attempt *attempt = &control->attempt;
    int32_t target = choose_best(control, counted_grants(attempt), attempt->status);

    attempt->target = (uint32_t)target;
    attempt->deadline = control->now + control->options.attempt_timeout;
    control_record(control, GROUP_RECORD_FENCE_MAJORITY, attempt->reason, attempt->term, target,
                   attempt->status[target].held);
    send_promote(control);
}

static void advance_fencing(struct group_control *control)
{
    struct attempt *attempt = &control->attempt;
    uint32_t needed = grants_needed(control);
    uint32_t granted = (uint32_t)__builtin_popcount(counted_grants(attempt));
    uint32_t answered = (uint32_t)__builtin_popcount(attempt->answered | attempt->excluded);
    uint32_t unanswered = control->options.database_count - answered;
    uint32_t awaited = observe_reachable_mask(control) & ~(attempt->answered | attempt->excluded);

    if (granted >= needed && grants_cover_lost_state(control)) {
        if (attempt->majority_at == 0) {
            attempt->majority_at = control->now;
        }
        if (awaited == 0 || control->options.no_fence ||
            control->now >= attempt->majority_at + control->options.fence_grace) {
            decide_target(control);
            return;
        }
        control_wake_at(control, attempt->majority_at + control->options.fence_grace);
    } else if (granted + unanswered < needed) {
        fail_attempt(control, GROUP_REASON_REFUSED);
        return;
    }
    if (control->now >= attempt->deadline) {
        fail_attempt(control, GROUP_REASON_TIMEOUT);
        return;
    }
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if (attempt->retry_at[i] == 0) {
            continue;
        }
        if (control->now >= attempt->retry_at[i]) {
            send_fence(control, i);
        } else {
            control_wake_at(control, attempt->retry_at[i]);
        }
    }
}

/* The promote command had no reply. The target's status shows whether it took effect; only a status
 * queried after the time-out counts. */
static void advance_checking(struct group_control *control)
{
    struct attempt *attempt = &control->attempt;
    const struct group_member *target = &control->members[attempt->target];

    if (target->status.promised_term > attempt->term) {
        fail_attempt(control, GROUP_REASON_REFUSED);
        return;
    }
    if (target->observed_at >= attempt->majority_at && target->failures == 0) {
        send_promote(control);
        return;
    }
    if (control->now >= attempt->retry_at[attempt->target]) {
        control_add_action(control, GROUP_ACTION_PROBE)->database = attempt->target;
        attempt->retry_at[attempt->target] = control->now + control->options.command_retry;
    }
    control_wake_at(control, attempt->retry_at[attempt->target]);
}

static void advance_attempt(struct group_control *control)
{
    struct attempt *attempt = &control->attempt;

    if (control->known_term >= attempt->term) {
        bool own = control->known_term == attempt->term &&
                   attempt->state != ATTEMPT_STATE_FENCING &&
                   control->known_primary == (int32_t)attempt->target;

        if (own) {
            finish_attempt(control);
        } else {
            fail_attempt(control, GROUP_REASON_NEWER_PRIMARY);
        }
        return;
    }
    if (attempt->state == ATTEMPT_STATE_FENCING) {
        advance_fencing(control);
        return;
    }
    if (control->now >= attempt->deadline) {
        fail_attempt(control, GROUP_REASON_TIMEOUT);
        return;
    }
    control_wake_at(control, attempt->deadline);
    if (attempt->state == ATTEMPT_STATE_CHECKING) {
        advance_checking(control);
    }
}

/* The rank separates the coordinators' start times. A watcher that only sees that the primary was
 * deposed first waits for the coordinator that did so. */
static time_ns first_start(struct group_control *control)
{
    uint32_t rank = observe_rank(control, control->confirmed);
    time_ns wait = rank * control->options.rank_step;

    if (!control->confirmed) {
        wait += control->options.attempt_patience;
    }
    return control->now + wait + control_jitter(control, control->options.jitter);
}

/* A promise that this watcher did not request shows that another coordinator is active. */
static void defer_to_other_coordinator(struct group_control *control)
{
    time_ns wait = control->options.attempt_patience;

    if (control->promised_max <= control->promised_seen) {
        return;
    }
    control->promised_seen = control->promised_max;
    wait += control_jitter(control, control->options.attempt_patience);
    if (control->start_at < control->now + wait) {
        control->start_at = control->now + wait;
    }
}

void failover_advance(struct group_control *control)
{
    enum group_reason reason = GROUP_REASON_PRIMARY_LOST;

    if (control->attempt.state != ATTEMPT_STATE_IDLE) {
        advance_attempt(control);
        return;
    }
    if (!control->in_membership || (!control->confirmed && !observe_deposed(control))) {
        control->start_at = 0;
        control->promised_seen = control->promised_max;
        return;
    }
    if (control->start_at == 0) {
        control->start_at = first_start(control);
    }
    defer_to_other_coordinator(control);
    if (control->now < control->start_at) {
        control_wake_at(control, control->start_at);
        return;
    }
    if (!observe_reaches_majority(control)) {
        return;
    }
    if (control->known_primary == NO_DATABASE) {
        reason = GROUP_REASON_NO_PRIMARY;
    } else if (replication_excluded(control) != 0) {
        reason = GROUP_REASON_REPLICATION_STALLED;
    }
    failover_start(control, reason, NO_DATABASE);
}

static void handle_fence_result(struct group_control *control, const struct group_event *event,
                                uint32_t database)
{
    struct attempt *attempt = &control->attempt;

    attempt->command[database] = 0;
    if (event->result == GROUP_COMMAND_LOST) {
        attempt->retry_at[database] = control->now + control->options.command_retry;
        return;
    }
    attempt->answered |= UINT32_C(1) << database;
    if (event->result == GROUP_COMMAND_OK) {
        attempt->granted |= UINT32_C(1) << database;
        attempt->status[database] = event->status;
    }
    observe_status(control, database, &event->status, 0);
}

static void handle_promote_result(struct group_control *control, const struct group_event *event)
{
    struct attempt *attempt = &control->attempt;

    attempt->command[attempt->target] = 0;
    if (event->result == GROUP_COMMAND_LOST) {
        attempt->state = ATTEMPT_STATE_CHECKING;
        attempt->majority_at = control->now;
        attempt->retry_at[attempt->target] = control->now;
        return;
    }
    observe_status(control, attempt->target, &event->status, 0);
    if (event->result == GROUP_COMMAND_REFUSED) {
        fail_attempt(control, GROUP_REASON_REFUSED);
    }
}

bool failover_handle_command(struct group_control *control, const struct group_event *event)
{
    struct attempt *attempt = &control->attempt;

    if (attempt->state == ATTEMPT_STATE_IDLE) {
        return false;
    }
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if (attempt->command[i] == 0 || attempt->command[i] != event->command) {
            continue;
        }
        if (attempt->state == ATTEMPT_STATE_FENCING) {
            handle_fence_result(control, event, i);
        } else if (attempt->state == ATTEMPT_STATE_PROMOTING && i == attempt->target) {
            handle_promote_result(control, event);
        }
        return true;
    }
    return false;
}
