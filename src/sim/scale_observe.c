/* Measurements of the simulated fleet: spreading, detection and serving. */
#include "sim/scale_fleet_internal.h"

/* While a promotion is still being announced, a second coordinator may begin a term. Later terms
 * are unneeded. */
#define RACE_TIME (1 * NANOSECONDS_PER_SECOND)

/* Time within which a daemon refutes its death after the partition of its rack has ended. */
#define REFUTE_TIME (5 * NANOSECONDS_PER_SECOND)

bool scale_was_cut(const struct scale_fleet *fleet, uint16_t zone, time_ns since)
{
    return fleet->zone_cut[zone] || fleet->zone_healed_at[zone] > since;
}

/* True if the daemon is in the rack that is partitioned, or was last. */
static bool is_in_cut_rack(const struct scale_fleet *fleet, const struct scale_daemon *daemon)
{
    struct scale_place place = scale_place_of_daemon(fleet, daemon);
    return place.zone == fleet->rack_cut_at.zone && place.rack == fleet->rack_cut_at.rack;
}

bool scale_daemon_was_cut(const struct scale_fleet *fleet, const struct scale_daemon *daemon,
                          time_ns since)
{
    bool rack = fleet->rack_cut || fleet->rack_healed_at > since;
    return scale_was_cut(fleet, daemon->zone, since) || (rack && is_in_cut_rack(fleet, daemon));
}

/* The end of the last partition that the daemon was in; 0 if it was in none. */
static time_ns healed_at(const struct scale_fleet *fleet, const struct scale_daemon *daemon)
{
    time_ns rack = is_in_cut_rack(fleet, daemon) ? fleet->rack_healed_at : 0;
    return MAX(fleet->zone_healed_at[daemon->zone], rack);
}

static struct scale_publication *publication_at(struct scale_fleet *fleet, uint64_t version)
{
    return &g_array_index(fleet->publications, struct scale_publication, version);
}

/* Records that a configuration came into force at a daemon. */
static void observe_version(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                            uint64_t version)
{
    time_ns now = scale_network_now(fleet->network);
    struct scale_publication *publication = publication_at(fleet, version);
    bool counts =
        publication->at >= fleet->measures.started && publication->at >= daemon->started_at;
    if (!counts) {
        return;
    }
    if (scale_daemon_was_cut(fleet, daemon, now)) {
        return;
    }
    if (scale_daemon_was_cut(fleet, daemon, publication->at)) {
        time_ns since = MAX(publication->at, healed_at(fleet, daemon));
        scale_samples_add(&fleet->measures.configuration_healed, now - since);
        return;
    }
    scale_samples_add(&fleet->measures.configuration, now - publication->at);
    publication->worst = MAX(publication->worst, now - publication->at);
}

void scale_observe_applied(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                           uint64_t before, uint64_t version)
{
    for (uint64_t i = before + 1; i <= version; i++) {
        observe_version(fleet, daemon, i);
    }
}

void scale_observe_status(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                          const struct group_status *status)
{
    time_ns now = scale_network_now(fleet->network);
    struct scale_group *group = &fleet->groups[status->group];
    bool counts = status->term == group->term && group->changed_at >= daemon->started_at &&
                  group->changed_at >= fleet->measures.started;
    if (!counts) {
        return;
    }
    bool cut = scale_daemon_was_cut(fleet, daemon, group->changed_at) ||
               scale_was_cut(fleet, group->changed_in, group->changed_at);
    if (cut) {
        time_ns healed = MAX(healed_at(fleet, daemon), fleet->zone_healed_at[group->changed_in]);
        scale_samples_add(&fleet->measures.status_healed,
                          now - MIN(now, MAX(healed, group->changed_at)));
        return;
    }
    scale_samples_add(&fleet->measures.status, now - group->changed_at);
    group->known_worst = MAX(group->known_worst, now - group->changed_at);
}

/* True if the daemon ran and the observer could reach it. */
static bool is_reachable(const struct scale_fleet *fleet, const struct scale_daemon *observer,
                         const struct scale_daemon *daemon)
{
    return daemon->running && !daemon->paused && !scale_transport_cut(fleet, observer, daemon) &&
           !scale_transport_cut(fleet, daemon, observer);
}

/* True if the partition of the daemon's rack has just ended. Reports of its death are not false
 * until it has refuted them. */
static bool was_in_cut_rack(const struct scale_fleet *fleet, const struct scale_daemon *daemon)
{
    time_ns now = scale_network_now(fleet->network);
    return is_in_cut_rack(fleet, daemon) && fleet->rack_healed_at > 0 &&
           now < fleet->rack_healed_at + REFUTE_TIME;
}

static void observe_removed(struct scale_fleet *fleet, const struct scale_daemon *observer,
                            const struct scale_daemon *removed, const struct member *member)
{
    time_ns now = scale_network_now(fleet->network);
    if (member->state != MEMBER_STATE_DEAD || removed->start != member->start) {
        return;
    }
    if (is_reachable(fleet, observer, removed) && !was_in_cut_rack(fleet, removed)) {
        fleet->measures.false_deaths++;
        return;
    }
    bool counts = !removed->running && removed->ended_at >= fleet->measures.started &&
                  removed->ended_at >= observer->started_at &&
                  !scale_daemon_was_cut(fleet, observer, removed->ended_at) &&
                  !scale_daemon_was_cut(fleet, removed, removed->ended_at);
    if (counts) {
        scale_samples_add(&fleet->measures.death_detected, now - removed->ended_at);
    }
}

static void observe_changed(struct scale_fleet *fleet, const struct scale_daemon *observer,
                            const struct scale_daemon *daemon, const struct member *member)
{
    time_ns now = scale_network_now(fleet->network);
    if (member->start != daemon->start) {
        return;
    }
    bool counts = member->leaving && daemon->mark_at >= fleet->measures.started &&
                  daemon->mark_at >= observer->started_at &&
                  !scale_daemon_was_cut(fleet, observer, daemon->mark_at) &&
                  !scale_daemon_was_cut(fleet, daemon, daemon->mark_at);
    if (counts && member->state == MEMBER_STATE_ALIVE) {
        scale_samples_add(&fleet->measures.leave_detected, now - daemon->mark_at);
    }
}

void scale_observe_member(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                          const struct membership_action *action)
{
    const struct scale_daemon *about = scale_daemon_of_id(fleet, action->member.id);
    if (about == NULL) {
        return;
    }
    if (action->kind == MEMBERSHIP_ACTION_MEMBER_REMOVED) {
        observe_removed(fleet, daemon, about, &action->member);
        return;
    }
    if (action->kind == MEMBERSHIP_ACTION_MEMBER_CHANGED) {
        observe_changed(fleet, daemon, about, &action->member);
    }
}

void scale_observe_suspicions(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                              uint64_t raised)
{
    if (raised == 0) {
        return;
    }
    fleet->measures.suspicions += raised;
    for (size_t i = 0; i < membership_actions_count(fleet->actions); i++) {
        const struct membership_action *action = membership_actions_get(fleet->actions, i);
        const struct scale_daemon *about = scale_daemon_of_id(fleet, action->member.id);
        bool suspected = action->kind == MEMBERSHIP_ACTION_MEMBER_CHANGED &&
                         action->member.state == MEMBER_STATE_SUSPECT && about != NULL;
        if (suspected && about->start == action->member.start &&
            is_reachable(fleet, daemon, about)) {
            fleet->measures.false_suspicions++;
        }
    }
}

void scale_observe_serving(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                           bool serving)
{
    time_ns now = scale_network_now(fleet->network);
    time_ns recent = now - MIN(now, 2 * fleet->options.currency.bound);
    if (!serving && !daemon->leaving && !scale_daemon_was_cut(fleet, daemon, recent)) {
        fleet->measures.stops++;
    }
}

/* -- Changes of primary -- */

void scale_observe_failed(struct scale_fleet *fleet, struct scale_group *group)
{
    scale_observe_close(fleet, group);
    group->change = (struct scale_change){
        .open = true,
        .failed_at = scale_network_now(fleet->network),
        .term = group->term,
    };
}

/* True if the group's database leads and the daemon could reach it. */
static bool leads_in_reach(const struct scale_fleet *fleet, const struct scale_daemon *daemon,
                           uint32_t group, int32_t place)
{
    if (place < 0 || scale_fleet_primary(fleet, group) != place) {
        return false;
    }
    uint32_t index = group * SCALE_GROUP_DATABASES + (uint32_t)place;
    return !scale_network_is_cut(fleet->network, daemon->zone, fleet->databases[index].zone) &&
           !scale_places_partitioned(fleet, scale_place_of_daemon(fleet, daemon),
                                     scale_place_of_database(fleet, index));
}

void scale_observe_record(struct scale_fleet *fleet, struct scale_daemon *daemon, uint32_t group,
                          const struct group_record *record)
{
    time_ns now = scale_network_now(fleet->network);
    struct scale_group *changed = &fleet->groups[group];
    struct scale_change *change = &changed->change;
    bool running = change->open && change->promoted_at == 0;
    if (record->kind == GROUP_RECORD_SUSPECTED &&
        leads_in_reach(fleet, daemon, group, record->database)) {
        fleet->measures.primaries_suspected++;
    }
    if (record->kind == GROUP_RECORD_CONFIRMED && running && change->confirmed_at == 0) {
        change->confirmed_at = now;
    }
    if (record->kind == GROUP_RECORD_FENCE_MAJORITY && running) {
        change->fenced_at = now;
    }
    if (record->kind != GROUP_RECORD_FENCE_STARTED) {
        return;
    }
    bool settled = !running && now > changed->changed_at + RACE_TIME;
    fleet->measures.changes_unneeded += settled && now >= fleet->measures.started;
    if (changed->kill_coordinator) {
        changed->kill_coordinator = false;
        struct scale_event event = {
            .at = now,
            .kind = SCALE_EVENT_KILL,
            .daemon = daemon->index,
            .life = daemon->life,
        };
        scale_network_add(fleet->network, &event);
    }
}

void scale_observe_promoted(struct scale_fleet *fleet, struct scale_group *group, uint64_t term,
                            uint16_t zone)
{
    time_ns now = scale_network_now(fleet->network);
    group->term = term;
    group->changed_at = now;
    group->changed_in = zone;
    if (group->change.open && group->change.promoted_at == 0) {
        group->change.promoted_at = now;
        group->change.term = term;
    }
}

void scale_observe_learned(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                           const struct scale_holding *holding)
{
    struct scale_change *change = &fleet->groups[holding->group].change;
    bool counts = change->open && change->promoted_at > 0 &&
                  holding->control.learned >= change->term &&
                  holding->control.began_at < change->promoted_at &&
                  !scale_daemon_was_cut(fleet, daemon, change->failed_at);
    if (counts) {
        change->learned_at = scale_network_now(fleet->network);
    }
}

/* Number of owners, not partitioned, that don't hold the change's new primary to be usable. */
static uint32_t count_uninformed(const struct scale_fleet *fleet, uint32_t group)
{
    const struct scale_change *change = &fleet->groups[group].change;
    uint32_t count = 0;
    for (uint32_t i = 0; i < fleet->options.daemons; i++) {
        const struct scale_daemon *daemon = &fleet->daemons[i];
        if (!daemon->running || ownership_position(daemon->ownership, group) < 0) {
            continue;
        }
        const struct scale_holding *holding = scale_holdings_find(daemon, group);
        count += holding != NULL && holding->control.began_at < change->promoted_at &&
                 holding->control.learned < change->term &&
                 !scale_daemon_was_cut(fleet, daemon, change->failed_at);
    }
    return count;
}

static void close_change(struct scale_fleet *fleet, struct scale_group *group)
{
    const struct scale_change *change = &group->change;
    struct scale_measures *measures = &fleet->measures;
    if (change->failed_at < measures->started) {
        return;
    }
    if (change->blocked) {
        measures->changes_blocked++;
        return;
    }
    if (change->promoted_at == 0 || change->learned_at == 0) {
        measures->changes_unfinished++;
        return;
    }
    time_ns confirmed_at = change->confirmed_at;
    if (confirmed_at == 0 || confirmed_at > change->fenced_at) {
        confirmed_at = change->fenced_at;
    }
    measures->changes_uninformed += count_uninformed(fleet, (uint32_t)(group - fleet->groups));
    scale_samples_add(&measures->change_detect, confirmed_at - change->failed_at);
    scale_samples_add(&measures->change_fence, change->fenced_at - confirmed_at);
    scale_samples_add(&measures->change_promote, change->promoted_at - change->fenced_at);
    scale_samples_add(&measures->change_learn, change->learned_at - change->promoted_at);
    scale_samples_add(&measures->change_whole, change->learned_at - change->failed_at);
}

void scale_observe_close(struct scale_fleet *fleet, struct scale_group *group)
{
    if (group->known_worst > 0) {
        scale_samples_add(&fleet->measures.status_all, group->known_worst);
        group->known_worst = 0;
    }
    if (group->change.open) {
        close_change(fleet, group);
        group->change.open = false;
    }
}
