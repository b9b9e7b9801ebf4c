/* What a watcher knows of its group: probe results, other watchers' opinions, and the suspicion
 * derived from them. */
#include "core/group_control_internal.h"

#include <string.h>

/* While this daemon was stalled (paused, starved) it did not probe: the gap must not count as time
 * without successful probes. */
void observe_own_stall(struct group_control *control)
{
    time_ns gap = control->now - control->last_event_at;

    if (gap <= control->options.own_stall_after) {
        return;
    }
    control->led_at += gap;
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        control->members[i].last_success_at += gap;
        if (control->members[i].behind_since != 0) {
            control->members[i].behind_since += gap;
        }
    }
}

bool observe_is_reachable(const struct group_control *control, uint32_t database)
{
    const struct group_member *member = &control->members[database];

    if (!member->status_known || member->failures >= 2) {
        return false;
    }
    return control->now < member->last_success_at + control->options.unreachable_after;
}

uint32_t observe_reachable_mask(const struct group_control *control)
{
    uint32_t mask = 0;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if (observe_is_reachable(control, i)) {
            mask |= UINT32_C(1) << i;
        }
    }
    return mask;
}

/* Counts members known to have promised a higher term. */
static uint32_t count_promised_beyond(const struct group_control *control, uint64_t term)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        if (control->members[i].status_known && control->members[i].status.promised_term > term) {
            count += 1;
        }
    }
    return count;
}

/* A watcher that knows no primary can't tell the promise that elected one from a promise that
 * deposed one. It waits for the other watchers' votes, as for a failed primary. */
bool observe_deposed(const struct group_control *control)
{
    if (control->known_primary == NO_DATABASE) {
        return false;
    }
    return count_promised_beyond(control, control->known_term) >=
           majority_of(control->options.database_count);
}

bool observe_leads(const struct group_control *control, uint32_t database)
{
    const struct database_status *status = &control->members[database].status;

    if (!control->members[database].status_known || status->role != DATABASE_ROLE_PRIMARY) {
        return false;
    }
    if (status->term != control->known_term || status->promised_term != status->term) {
        return false;
    }
    return !observe_deposed(control);
}

int32_t observe_primary(const struct group_control *control)
{
    int32_t primary = control->known_primary;

    if (primary == NO_DATABASE || !observe_leads(control, (uint32_t)primary)) {
        return NO_DATABASE;
    }
    return primary;
}

static void learn_primary(struct group_control *control, uint64_t term, uint32_t database,
                          struct log_position position)
{
    replication_primary_replaced(control);
    control->known_term = term;
    control->known_primary = (int32_t)database;
    control->learned_at = control->now;
    control->led_at = control->now;
    control->publish_due = true;
    control->opinion_due = true;
    control_record(control, GROUP_RECORD_PRIMARY_LEARNED, GROUP_REASON_NONE, term,
                   (int32_t)database, position);
}

/* Promises and terms never decrease, so a status with a lower one was sent earlier or its database
 * lost its state. */
static bool status_has_regressed(const struct group_member *member,
                                 const struct database_status *status)
{
    if (!member->status_known) {
        return false;
    }
    if (status->promised_term != member->status.promised_term) {
        return status->promised_term < member->status.promised_term;
    }
    return status->term < member->status.term;
}

/* A late status is followed by current ones; a database that lost its state keeps reporting the
 * lower one. */
static bool regression_persists(struct group_control *control, struct group_member *member,
                                time_ns observed_at)
{
    if (observed_at == 0) {
        return false;
    }
    if (member->regressed_since == 0) {
        member->regressed_since = control->now;
    }
    return control->now >= member->regressed_since + control->options.forget_after;
}

/* A status with a new promise can't be a late one. A lower term, or a shorter log in the same term,
 * then shows that the database lost its log. */
static bool has_lost_log(const struct group_member *member, const struct database_status *status)
{
    if (!member->status_known || status->promised_term <= member->status.promised_term) {
        return false;
    }
    if (status->term != member->status.term) {
        return status->term < member->status.term;
    }
    return log_position_compare(status->held, member->status.held) < 0;
}

/* A member that lost its state counts again once it holds the log of the current primary. */
static bool has_caught_up(const struct group_control *control, const struct database_status *status)
{
    return status->term == control->known_term && status->promised_term == status->term &&
           status->held.term == status->term;
}

static void update_state_lost(struct group_control *control, uint32_t database,
                              const struct database_status *status, bool lost)
{
    struct group_member *member = &control->members[database];

    member->regressed_since = 0;
    if (lost) {
        member->lost_state = true;
        control_record(control, GROUP_RECORD_STATE_LOST, GROUP_REASON_NONE, status->term,
                       (int32_t)database, status->held);
    } else if (member->lost_state && has_caught_up(control, status)) {
        member->lost_state = false;
    }
}

static bool changes_routing(const struct group_member *member, const struct database_status *status)
{
    return !member->status_known || member->status.leaving != status->leaving ||
           member->status.role != status->role || member->status.term != status->term;
}

bool observe_status(struct group_control *control, uint32_t database,
                    const struct database_status *status, time_ns observed_at)
{
    struct group_member *member = &control->members[database];
    bool older = status_has_regressed(member, status);
    bool lost = older || has_lost_log(member, status);

    if (older && !regression_persists(control, member, observed_at)) {
        return false;
    }
    if (changes_routing(member, status)) {
        control->publish_due = true;
    }
    member->status = *status;
    member->status_known = true;
    if (observed_at > member->observed_at) {
        member->observed_at = observed_at;
    }
    if (status->promised_term > control->promised_max) {
        control->promised_max = status->promised_term;
    }
    if (status->role == DATABASE_ROLE_PRIMARY && status->promised_term == status->term &&
        status->term > control->known_term) {
        learn_primary(control, status->term, database, status->held);
    }
    update_state_lost(control, database, status, lost);
    control->positions_due = true;
    return true;
}

static void smooth_round_trip(struct group_member *member, time_ns round_trip)
{
    uint32_t sample_us = (uint32_t)(round_trip / 1000);

    if (member->round_trip_us == 0) {
        member->round_trip_us = sample_us;
        return;
    }
    member->round_trip_us = (uint32_t)(((uint64_t)member->round_trip_us * 7 + sample_us) / 8);
}

void observe_probe(struct group_control *control, const struct group_event *event)
{
    struct group_member *member = &control->members[event->database];

    if (!event->reachable) {
        member->failures += 1;
        return;
    }
    member->failures = 0;
    member->last_success_at = control->now;
    smooth_round_trip(member, event->round_trip);
    bool taken =
        observe_status(control, event->database, &event->status, control->now - event->round_trip);
    if (taken && (int32_t)event->database == control->known_primary &&
        observe_leads(control, event->database)) {
        control->led_at = control->now;
    }
}

static struct peer *find_peer(struct group_control *control, uint64_t watcher)
{
    for (uint32_t i = 0; i < control->peer_count; i++) {
        if (control->peers[i].watcher.id == watcher) {
            return &control->peers[i];
        }
    }
    return NULL;
}

void observe_opinion(struct group_control *control, const struct group_opinion *opinion)
{
    struct peer *peer = find_peer(control, opinion->watcher);

    if (peer == NULL || (peer->has_opinion && opinion->sequence <= peer->opinion.sequence)) {
        return;
    }
    peer->has_opinion = true;
    peer->last_opinion_at = control->now;
    peer->opinion = *opinion;
    if (opinion->promised > control->promised_max) {
        control->promised_max = opinion->promised;
    }
    if (opinion->term > control->known_term && opinion->primary >= 0 &&
        (uint32_t)opinion->primary < control->options.database_count) {
        struct log_position unknown = {0, 0};

        learn_primary(control, opinion->term, (uint32_t)opinion->primary, unknown);
        control_add_action(control, GROUP_ACTION_PROBE)->database = (uint32_t)opinion->primary;
    }
    change_handle_opinion(control, opinion);
}

void observe_watchers(struct group_control *control, const struct group_event *event)
{
    struct peer old[GROUP_WATCHERS_MAX];
    uint32_t old_count = control->peer_count;
    uint32_t count = event->watcher_count;

    if (count > GROUP_WATCHERS_MAX) {
        count = GROUP_WATCHERS_MAX;
    }
    memcpy(old, control->peers, sizeof(old));
    memset(control->peers, 0, sizeof(control->peers));
    memcpy(control->watchers, event->watchers, sizeof(control->watchers));
    control->watcher_count = count;
    control->in_membership = false;
    control->peer_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        struct peer *peer = &control->peers[control->peer_count];

        if (event->watchers[i].id == control->options.watcher) {
            control->in_membership = true;
            continue;
        }
        for (uint32_t j = 0; j < old_count; j++) {
            if (old[j].watcher.id == event->watchers[i].id) {
                *peer = old[j];
            }
        }
        if (peer->last_opinion_at == 0) {
            peer->last_opinion_at = control->now;
        }
        peer->watcher = event->watchers[i];
        control->peer_count += 1;
    }
    control->opinion_due = true;
}

bool observe_peer_alive(const struct group_control *control, const struct peer *peer)
{
    return peer->has_opinion && control->now < peer->last_opinion_at + control->options.peer_alive;
}

static bool peer_suspects(const struct group_control *control, const struct peer *peer)
{
    return peer->has_opinion &&
           control->now < peer->last_opinion_at + control->options.suspicion_expiry &&
           peer->opinion.suspects && peer->opinion.term == control->known_term;
}

static uint32_t count_bits(uint32_t mask)
{
    return (uint32_t)__builtin_popcount(mask);
}

bool observe_reaches_majority(const struct group_control *control)
{
    return count_bits(observe_reachable_mask(control)) >=
           majority_of(control->options.database_count);
}

uint32_t observe_rank(const struct group_control *control, bool suspecting_only)
{
    uint64_t others[GROUP_WATCHERS_MAX];
    size_t count = 0;

    for (uint32_t i = 0; i < control->peer_count; i++) {
        const struct peer *peer = &control->peers[i];
        bool takes_part = suspecting_only ? peer_suspects(control, peer)
                                          : observe_peer_alive(control, peer) &&
                                                peer->opinion.term == control->known_term;

        if (takes_part &&
            count_bits(peer->opinion.reachable) >= majority_of(control->options.database_count)) {
            others[count] = peer->watcher.id;
            count += 1;
        }
    }
    return suspicion_rank(control->options.group, control->known_term, control->options.watcher,
                          others, count);
}

/* When the primary will be suspected unless it is seen to lead before. */
static time_ns suspicion_due(const struct group_control *control)
{
    if (control->known_primary == NO_DATABASE) {
        return control->led_at + control->options.bootstrap_wait;
    }
    return control->led_at + control->options.suspect_after;
}

/* A watcher that failed or stalled must not block the others. One that is unreachable only from
 * here keeps its vote unless this side of a partition has a majority of the databases. */
static bool abstains(const struct group_control *control, const struct peer *peer)
{
    return control->now >= peer->last_opinion_at + control->options.abstain_after &&
           observe_reaches_majority(control);
}

static bool zones_agree(const struct group_control *control)
{
    struct suspicion_vote votes[GROUP_WATCHERS_MAX];
    size_t count = 0;

    if (!control->in_membership || !control->suspects) {
        return false;
    }
    if (control->options.single_watcher_deposes) {
        return true;
    }
    for (uint32_t i = 0; i < control->peer_count; i++) {
        if (abstains(control, &control->peers[i])) {
            continue;
        }
        votes[count].zone = control->peers[i].watcher.zone;
        votes[count].suspects = peer_suspects(control, &control->peers[i]);
        count += 1;
    }
    votes[count].zone = control->options.zone;
    votes[count].suspects = true;
    count += 1;
    return suspicion_confirmed(votes, count);
}

void observe_suspicion(struct group_control *control)
{
    struct log_position none = {0, 0};
    bool lost = control->now >= suspicion_due(control);
    bool suspects = lost || control->replication_stalled;
    enum group_reason reason =
        !lost && suspects ? GROUP_REASON_REPLICATION_STALLED : GROUP_REASON_NONE;
    bool confirmed;

    if (suspects != control->suspects) {
        control->suspects = suspects;
        control->opinion_due = true;
        control_record(control, suspects ? GROUP_RECORD_SUSPECTED : GROUP_RECORD_CLEARED, reason,
                       control->known_term, control->known_primary, none);
    }
    if (!lost) {
        control_wake_at(control, suspicion_due(control));
    }
    confirmed = zones_agree(control);
    if (confirmed && !control->confirmed) {
        control_record(control, GROUP_RECORD_CONFIRMED, reason, control->known_term,
                       control->known_primary, none);
    }
    control->confirmed = confirmed;
}
