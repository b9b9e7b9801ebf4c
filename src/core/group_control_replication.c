/* Stalled replication: a primary that responds and holds more than its replicas, while the replicas
 * respond too but their logs do not grow. It can't confirm writes, and no probe of it fails.
 *
 * Only the results of probes are used. A replica has stalled if for the whole time limit it was
 * behind the primary and its log did not change. The primary has stalled when the members that have
 * not stalled, itself included, are fewer than a majority, while the replicas that follow it are a
 * majority without it: those can promise a new term and hold all acknowledged writes. */
#include "core/group_control_internal.h"

#include <glib.h>

/* Each replacement for this reason doubles the time limit of the next one, up to this many times:
 * where no database can replicate, another primary does not help. */
#define REPLACEMENTS_COUNTED_MAX 4

/* A longer probe interval needs a longer time without progress, as for other suspicions. */
static time_ns stall_bound(const struct group_control *control, uint32_t replacements)
{
    return MAX(control->options.replication_stall_after, control->options.suspect_after)
           << replacements;
}

/* True if the database reports that it follows the known primary. */
static bool follows(const struct group_control *control, uint32_t database)
{
    const struct group_member *member = &control->members[database];

    return (int32_t)database != control->known_primary && observe_is_reachable(control, database) &&
           !member->lost_state && member->regressed_since == 0 &&
           member->status.role == DATABASE_ROLE_REPLICA &&
           member->status.term == control->known_term &&
           member->status.promised_term == control->known_term;
}

static void update_progress(struct group_control *control, struct group_member *member, bool behind)
{
    if (!behind) {
        member->behind_since = 0;
        return;
    }
    if (member->behind_since == 0 ||
        log_position_compare(member->status.held, member->behind_position) != 0) {
        member->behind_since = control->now;
        member->behind_position = member->status.held;
    }
}

static bool has_stalled(const struct group_member *member, time_ns now, time_ns bound)
{
    return member->behind_since != 0 && now >= member->behind_since + bound;
}

/* Counts the primary and the members that hold all of its log or have received some of it within
 * the time limit. */
static uint32_t count_progressing(const struct group_control *control, time_ns bound)
{
    uint32_t count = 1;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        count += follows(control, i) && !has_stalled(&control->members[i], control->now, bound);
    }
    return count;
}

static uint32_t count_following(const struct group_control *control)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        count += follows(control, i);
    }
    return count;
}

/* A stall found before is kept while a newer promise keeps members from following, since that
 * promise is made to replace the primary. */
static bool is_stalled_primary(const struct group_control *control, time_ns bound, bool before)
{
    uint32_t majority = majority_of(control->options.database_count);

    if (count_progressing(control, bound) >= majority) {
        return false;
    }
    if (count_following(control) >= majority) {
        return true;
    }
    return before && control->promised_max > control->known_term;
}

/* A primary that has replicated for as long as the longest time limit ends a series of
 * replacements. */
static void reset_replacement_count(struct group_control *control)
{
    if (control->now >= control->learned_at + stall_bound(control, REPLACEMENTS_COUNTED_MAX) &&
        count_progressing(control, 0) >= majority_of(control->options.database_count)) {
        control->stall_replacements = 0;
    }
}

static void update_all_progress(struct group_control *control, int32_t primary, time_ns bound)
{
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        struct group_member *member = &control->members[i];
        bool behind =
            primary != NO_DATABASE && follows(control, i) &&
            log_position_compare(member->status.held, control->members[primary].status.held) < 0;

        update_progress(control, member, behind);
        if (behind) {
            control_wake_at(control, member->behind_since + bound);
        }
    }
}

void replication_advance(struct group_control *control)
{
    int32_t primary = observe_primary(control);
    time_ns bound = stall_bound(control, control->stall_replacements);

    if (primary != NO_DATABASE && !observe_is_reachable(control, (uint32_t)primary)) {
        primary = NO_DATABASE;
    }
    update_all_progress(control, primary, bound);
    if (primary == NO_DATABASE || control->options.ignore_stalled_replication) {
        return;
    }
    reset_replacement_count(control);
    control->replication_stalled = is_stalled_primary(control, bound, control->replication_stalled);
    control->replication_stall_likely =
        is_stalled_primary(control, bound / 2, control->replication_stall_likely);
}

void replication_restart_timers(struct group_control *control)
{
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        control->members[i].behind_since = 0;
    }
}

void replication_primary_replaced(struct group_control *control)
{
    if (control->replication_stall_likely &&
        control->stall_replacements < REPLACEMENTS_COUNTED_MAX) {
        control->stall_replacements += 1;
    }
    control->replication_stalled = false;
    control->replication_stall_likely = false;
    replication_restart_timers(control);
}

uint32_t replication_excluded(const struct group_control *control)
{
    uint32_t primary = UINT32_C(1) << (uint32_t)MAX(control->known_primary, 0);
    uint32_t others = observe_reachable_mask(control) & ~primary;

    if (!control->replication_stalled ||
        (uint32_t)__builtin_popcount(others) < majority_of(control->options.database_count)) {
        return 0;
    }
    return primary;
}
