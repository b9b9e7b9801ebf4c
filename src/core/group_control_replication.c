/* Replication that stands still: a primary that answers, holds more than its replicas, and whose
 * replicas answer too but take nothing of it. It can't confirm writes, and no probe of it fails.
 *
 * The evidence is what probes say anyway. A replica stands still if for the whole bound it was
 * behind the primary and its log did not change. The primary is stalled when those that don't stand
 * still, itself included, are fewer than a majority, while the replicas that follow it are a
 * majority without it: then they can promise a new term and hold all that was acknowledged. */
#include "core/group_control_internal.h"

#include <glib.h>

/* Each replacement for this reason doubles the bound for the next one, up to so many times: where
 * no database can replicate, another primary mends nothing. */
#define REPLACEMENTS_COUNTED_MAX 4

/* A longer probe interval needs a longer time without progress, as for other suspicions. */
static time_ns stall_bound(const struct group_control *control, uint32_t replacements)
{
    return MAX(control->options.replication_stall_after, control->options.suspect_after)
           << replacements;
}

/* True if the database follows the known primary as far as it says itself. */
static bool follows(const struct group_control *control, uint32_t database)
{
    const struct member *member = &control->members[database];

    return (int32_t)database != control->known_primary && observe_is_reachable(control, database) &&
           !member->forgot && member->older_since == 0 &&
           member->status.role == DATABASE_ROLE_REPLICA &&
           member->status.term == control->known_term &&
           member->status.promised_term == control->known_term;
}

static void follow_progress(struct group_control *control, struct member *member, bool behind)
{
    if (!behind) {
        member->behind_since = 0;
        return;
    }
    if (member->behind_since == 0 ||
        log_position_compare(member->status.held, member->behind_at) != 0) {
        member->behind_since = control->now;
        member->behind_at = member->status.held;
    }
}

static bool stands_still(const struct member *member, time_ns now, time_ns bound)
{
    return member->behind_since != 0 && now >= member->behind_since + bound;
}

/* Members that hold what the primary holds, or have taken some of it within the bound; the primary
 * is one of them. */
static uint32_t count_progressing(const struct group_control *control, time_ns bound)
{
    uint32_t count = 1;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        count += follows(control, i) && !stands_still(&control->members[i], control->now, bound);
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

/* What was found stays while a newer promise keeps members from following: it was made for that. */
static bool judge(const struct group_control *control, time_ns bound, bool before)
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

/* A primary that has replicated for as long as the longest bound is no longer one of a series. */
static void forget_replacements(struct group_control *control)
{
    if (control->now >= control->learned_at + stall_bound(control, REPLACEMENTS_COUNTED_MAX) &&
        count_progressing(control, 0) >= majority_of(control->options.database_count)) {
        control->stall_replacements = 0;
    }
}

static void watch_progress(struct group_control *control, int32_t primary, time_ns bound)
{
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        struct member *member = &control->members[i];
        bool behind =
            primary != NO_DATABASE && follows(control, i) &&
            log_position_compare(member->status.held, control->members[primary].status.held) < 0;

        follow_progress(control, member, behind);
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
    watch_progress(control, primary, bound);
    if (primary == NO_DATABASE || control->options.ignore_stalled_replication) {
        return;
    }
    forget_replacements(control);
    control->replication_stalled = judge(control, bound, control->replication_stalled);
    control->replication_doubted = judge(control, bound / 2, control->replication_doubted);
}

void replication_watch_anew(struct group_control *control)
{
    for (uint32_t i = 0; i < control->options.database_count; i++) {
        control->members[i].behind_since = 0;
    }
}

void replication_primary_replaced(struct group_control *control)
{
    if (control->replication_doubted && control->stall_replacements < REPLACEMENTS_COUNTED_MAX) {
        control->stall_replacements += 1;
    }
    control->replication_stalled = false;
    control->replication_doubted = false;
    replication_watch_anew(control);
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
