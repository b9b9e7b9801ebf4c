/* The step of a group's control: handles an event, advances each part and lists the caller's
 * actions. */
#include "core/group_control.h"
#include "core/group_control_internal.h"
#include "core/position_samples.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Minimum delay until the next step: everything that is due now has been done in this one. */
#define WAKE_DELAY_MIN NANOSECONDS_PER_MILLISECOND

void group_control_options_init(struct group_control_options *options)
{
    const time_ns ms = NANOSECONDS_PER_MILLISECOND;

    memset(options, 0, sizeof(*options));
    options->preferred_zone = -1;
    options->suspect_after = 400 * ms;
    options->replication_stall_after = 1500 * ms;
    options->unreachable_after = 400 * ms;
    options->suspicion_expiry = 500 * ms;
    options->suspicion_repeat = 100 * ms;
    options->opinion_interval = 1000 * ms;
    options->abstain_after = 2200 * ms;
    options->peer_alive = 2500 * ms;
    options->bootstrap_wait = 1000 * ms;
    options->rank_step = 200 * ms;
    options->jitter = 30 * ms;
    options->attempt_patience = 300 * ms;
    options->fence_grace = 20 * ms;
    options->attempt_timeout = 500 * ms;
    options->command_retry = 50 * ms;
    options->backoff = 50 * ms;
    options->backoff_max = 1000 * ms;
    options->heal_interval = 200 * ms;
    options->repair_after = 2000 * ms;
    options->pause_first = 75 * ms;
    options->pause_max = 300 * ms;
    options->pause_lease = 100 * ms;
    options->pause_poll = 4 * ms;
    options->forget_after = 150 * ms;
    options->own_stall_after = 200 * ms;
    options->tick_interval = 100 * ms;
    options->sample_interval = 2 * ms;
    options->publish_interval = 1 * ms;
    options->planned_attempts = 3;
}

struct group_control *group_control_new(const struct group_control_options *options, time_ns now)
{
    struct group_control *control = g_new0(struct group_control, 1);

    g_assert(options->database_count > 0 && options->database_count <= GROUP_DATABASES_MAX);
    control->options = *options;
    control->now = now;
    control->last_event_at = now;
    control->started_at = now;
    control->known_primary = NO_DATABASE;
    control->led_at = now;
    control->attempt.preferred = NO_DATABASE;
    control->view.group = options->group;
    control->view.primary = NO_DATABASE;
    control->view.database_count = options->database_count;
    for (uint32_t i = 0; i < options->database_count; i++) {
        control->members[i].last_success_at = now;
        control->view.databases[i].zone = options->database_zone[i];
    }
    return control;
}

void group_control_free(struct group_control *control)
{
    g_free(control);
}

const struct group_view *group_control_view(const struct group_control *control)
{
    return &control->view;
}

bool group_control_coordinates(const struct group_control *control)
{
    return control->attempt.state != ATTEMPT_STATE_IDLE ||
           control->change.state != CHANGE_STATE_IDLE;
}

struct group_action *control_add_action(struct group_control *control, enum group_action_kind kind)
{
    struct group_actions *actions = control->actions;
    struct group_action *action;

    g_assert(actions->count < GROUP_ACTIONS_MAX);
    action = &actions->items[actions->count];
    actions->count += 1;
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

struct group_action *control_add_command(struct group_control *control, enum group_action_kind kind,
                                         uint32_t database)
{
    struct group_action *action = control_add_action(control, kind);

    control->last_command += 1;
    action->command = control->last_command;
    action->database = database;
    return action;
}

void control_record(struct group_control *control, enum group_record_kind kind,
                    enum group_reason reason, uint64_t term, int32_t database,
                    struct log_position position)
{
    struct group_action *action = control_add_action(control, GROUP_ACTION_RECORD_EVENT);

    action->record.kind = kind;
    action->record.reason = reason;
    action->record.term = term;
    action->record.database = database;
    action->record.position = position;
}

void control_wake_at(struct group_control *control, time_ns at)
{
    if (at <= control->now) {
        at = control->now + WAKE_DELAY_MIN;
    }
    if (at < control->actions->wake_at) {
        control->actions->wake_at = at;
    }
}

time_ns control_jitter(struct group_control *control, time_ns bound)
{
    uint64_t key[3] = {control->options.seed, control->options.watcher, control->jitter_counter};

    control->jitter_counter += 1;
    if (bound == 0) {
        return 0;
    }
    return XXH64(key, sizeof(key), 0) % bound;
}

static void send_opinion(struct group_control *control)
{
    struct group_action *action = control_add_action(control, GROUP_ACTION_SEND_OPINION);
    struct group_opinion *opinion = &action->opinion;

    control->opinion_sequence += 1;
    opinion->watcher = control->options.watcher;
    opinion->sequence = control->opinion_sequence;
    opinion->term = control->known_term;
    opinion->primary = control->known_primary;
    opinion->suspects = control->suspects;
    opinion->reachable = observe_reachable_mask(control);
    opinion->promised = control->promised_max;
    opinion->change = control->change.state == CHANGE_STATE_IDLE ? 0 : control->change.id;
    opinion->drained = control->pause.drained;
    control->opinion_due = false;
    control->opinion_at = control->now + (control->suspects ? control->options.suspicion_repeat
                                                            : control->options.opinion_interval);
}

static void advance_opinion(struct group_control *control)
{
    if (!control->in_membership) {
        return;
    }
    if (control->opinion_due || control->now >= control->opinion_at) {
        send_opinion(control);
    }
    control_wake_at(control, control->opinion_at);
}

static void fill_view(struct group_control *control)
{
    struct group_view *view = &control->view;
    int32_t primary = observe_primary(control);

    view->term = control->known_term;
    view->primary = primary;
    view->writes_paused = control->pause.id != 0;
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        const struct group_member *member = &control->members[i];
        struct database_view *database = &view->databases[i];

        database->status = member->status;
        database->reachable = observe_is_reachable(control, i);
        database->observed_at = member->observed_at;
        database->round_trip_us = member->round_trip_us;
        if (member->requested == REQUESTED_STATE_DRAIN) {
            database->status.leaving = true;
        }
        /* A leaving primary takes work until another leads: see change_advance(). */
        if ((int32_t)i == primary || control->options.ignore_leaving) {
            database->status.leaving = false;
        }
    }
    if (primary == NO_DATABASE) {
        return;
    }
    const struct group_member *leader = &control->members[primary];
    time_ns last = view->sample_count > 0 ? view->samples[0].at : 0;
    if (view->sample_count == 0 || leader->observed_at >= last + control->options.sample_interval) {
        position_samples_add(view, leader->observed_at, leader->status.held);
    }
}

static void advance_view(struct group_control *control)
{
    struct group_view *view = &control->view;
    int32_t primary = observe_primary(control);
    struct group_action *action;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if (view->databases[i].reachable != observe_is_reachable(control, i)) {
            control->publish_due = true;
        }
    }
    if (view->primary != primary || view->term != control->known_term ||
        view->writes_paused != (control->pause.id != 0)) {
        control->publish_due = true;
    }
    if (!control->publish_due) {
        time_ns due = control->published_at + control->options.publish_interval;

        if (!control->positions_due) {
            return;
        }
        if (control->now < due) {
            control_wake_at(control, due);
            return;
        }
    }
    fill_view(control);
    control->publish_due = false;
    control->positions_due = false;
    control->published_at = control->now;
    action = control_add_action(control, GROUP_ACTION_PUBLISH_VIEW);
    if (control->pause.id != 0 && control->pause.drained != control->pause.id) {
        action->change = control->pause.id;
    }
}

/* The last request of an operator wins, whichever watcher received it. Its order is above every
 * order that this watcher knows, and since it is the time of the request also above earlier
 * requests that it does not know. */
static void handle_operator_request(struct group_control *control, const struct group_event *event,
                                    enum requested_state requested)
{
    struct group_member *member = &control->members[event->database];
    uint64_t known = MAX(member->status.leaving_order, member->requested_order);

    member->requested = requested;
    member->requested_order = MAX(event->order, known + 1);
    member->resync_after = 0;
    control->change.not_before = 0;
    control->change.blocked_recorded = false;
    control->publish_due = true;
}

/* The result belongs to the attempt in progress, to a resynchronisation, or to a superseded
 * command, which is ignored. */
static void handle_command(struct group_control *control, const struct group_event *event)
{
    if (failover_handle_command(control, event)) {
        return;
    }
    resync_handle_command(control, event);
}

static void handle_event(struct group_control *control, const struct group_event *event)
{
    if ((event->kind == GROUP_EVENT_PROBE || event->kind == GROUP_EVENT_DRAIN ||
         event->kind == GROUP_EVENT_UNDRAIN) &&
        event->database >= control->options.database_count) {
        return;
    }
    switch (event->kind) {
    case GROUP_EVENT_TICK:
        break;
    case GROUP_EVENT_PROBE:
        observe_probe(control, event);
        break;
    case GROUP_EVENT_OPINION:
        observe_opinion(control, &event->opinion);
        break;
    case GROUP_EVENT_COMMAND:
        handle_command(control, event);
        break;
    case GROUP_EVENT_WATCHERS:
        observe_watchers(control, event);
        break;
    case GROUP_EVENT_DRAIN:
        handle_operator_request(control, event, REQUESTED_STATE_DRAIN);
        break;
    case GROUP_EVENT_UNDRAIN:
        handle_operator_request(control, event, REQUESTED_STATE_SERVE);
        break;
    case GROUP_EVENT_WRITES_DRAINED:
        change_handle_drained(control, event->change);
        break;
    }
}

void group_control_step(struct group_control *control, const struct group_event *event,
                        struct group_actions *actions)
{
    actions->count = 0;
    actions->wake_at = event->now + control->options.tick_interval;
    control->actions = actions;
    if (event->now > control->now) {
        control->now = event->now;
    }
    observe_own_stall(control);
    handle_event(control, event);
    replication_advance(control);
    observe_suspicion(control);
    failover_advance(control);
    change_advance(control);
    resync_advance(control);
    advance_view(control);
    advance_opinion(control);
    control->last_event_at = control->now;
    control->actions = NULL;
}

/* Probes at a longer interval can't show a failure within the shorter times, so those start now. A
 * suspicion and an unreachable state stay as they are. */
static void restart_detection_timers(struct group_control *control, time_ns suspect_after,
                                     time_ns unreachable_after)
{
    if (suspect_after < control->options.suspect_after && !control->suspects) {
        control->led_at = control->now;
        replication_restart_timers(control);
    }
    if (unreachable_after >= control->options.unreachable_after) {
        return;
    }
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if (observe_is_reachable(control, i)) {
            control->members[i].last_success_at = control->now;
        }
    }
}

void group_control_set_detection(struct group_control *control, time_ns suspect_after,
                                 time_ns unreachable_after)
{
    restart_detection_timers(control, suspect_after, unreachable_after);
    control->options.suspect_after = suspect_after;
    control->options.unreachable_after = unreachable_after;
}
