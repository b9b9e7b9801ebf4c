/* Members whose directory row was deleted. Such a database may have ended, and may have been the
 * only replica that confirmed some commits. Once the primary has reported its log since then, it is
 * known what the database may have confirmed at most: no more than the primary held. As soon as
 * another replica holds as much, the database's log is not needed. Until then the database is kept
 * as a departed member, also after it was removed from the members.
 *
 * A group without a complete record may have had members that nobody knows of. One departed member
 * stands for them, and is released by the same condition. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/failover_internal.h"

#include <inttypes.h>
#include <string.h>

void
failover_free_departed(gpointer data)
{
    struct departed_member *departed = data;
    g_free(departed->id);
    g_free(departed);
}

static struct departed_member *
departed_at(const struct failover *failover, guint index)
{
    return g_ptr_array_index(failover->departed, index);
}

static struct departed_member *
find_departed(const struct failover *failover, const char *id)
{
    for (guint i = 0; i < failover->departed->len; i++) {
        struct departed_member *departed = departed_at(failover, i);
        if (!departed->unrecorded && strcmp(departed->id, id) == 0) {
            return departed;
        }
    }
    return NULL;
}

static struct log_position
later(struct log_position a, struct log_position b)
{
    return log_position_compare(a, b) >= 0 ? a : b;
}

/* True if a replica that is present holds this part of the log. */
static bool
replica_holds(const struct failover *failover, struct log_position position)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool counts = !failover_is_primary(failover, member) && member->absent_since == 0 &&
                      member->log_unverified_since == 0 && member->has_report;
        if (counts && log_position_covers(member->report.received, position)) {
            return true;
        }
    }
    return false;
}

/* True if the log of the database that confirmed these commits is not needed. */
static bool
is_covered(const struct failover *failover, const struct confirmed_log *confirmed)
{
    return confirmed->final && replica_holds(failover, confirmed->position);
}

static void
log_departed(const struct failover *failover, const struct departed_member *departed,
             const char *message)
{
    const struct confirmed_log *confirmed = &departed->confirmed;
    g_autofree char *position = g_strdup_printf("%" PRIu64 ".%" PRIu64, confirmed->position.term,
                                                confirmed->position.offset);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_DATABASE", departed->id, "SW_PRIMARY",
                     failover->primary == NULL ? "" : failover->primary, "SW_POSITION", position,
                     "SW_FINAL", confirmed->final ? "yes" : "no", "MESSAGE", "Group %s: %s %s.",
                     failover->service, departed->id, message);
}

static void
add_departed(struct failover *failover, const struct departed_member *added)
{
    struct departed_member *departed = g_new(struct departed_member, 1);
    *departed = *added;
    departed->id = g_strdup(added->id);
    g_ptr_array_add(failover->departed, departed);
    failover->membership_revision++;
    if (!departed->unrecorded) {
        log_departed(
            failover, departed,
            "has left, and no other replica is known to hold all commits that it confirmed");
    }
}

static struct departed_member *
find_unrecorded(const struct failover *failover)
{
    for (guint i = 0; i < failover->departed->len; i++) {
        if (departed_at(failover, i)->unrecorded) {
            return departed_at(failover, i);
        }
    }
    return NULL;
}

/* Name in the log of the members that no record names. */
#define UNRECORDED_MEMBERS "(members without a record)"

void
failover_note_members_unrecorded(struct failover *failover, time_ns now)
{
    struct departed_member all = {.id = UNRECORDED_MEMBERS, .since = now, .unrecorded = true};
    if (failover->sync_replicas > 0 && find_unrecorded(failover) == NULL) {
        add_departed(failover, &all);
    }
}

void
failover_note_members_recorded(struct failover *failover)
{
    struct departed_member *unrecorded = find_unrecorded(failover);
    if (unrecorded != NULL) {
        g_ptr_array_remove(failover->departed, unrecorded);
        failover->membership_revision++;
    }
}

void
failover_give_up_departed(struct failover *failover)
{
    for (guint i = 0; i < failover->departed->len; i++) {
        log_departed(failover, departed_at(failover, i),
                     "is not waited for: an operator has given up the commits that only it holds");
        failover->membership_revision++;
    }
    g_ptr_array_set_size(failover->departed, 0);
}

bool
failover_members_are_known(const struct failover *failover)
{
    return failover->sync_replicas > 0 && find_unrecorded(failover) == NULL;
}

/* What an earlier coordinator learned of an absent database holds, if the database has not
 * restarted since. */
static void
take_confirmed(struct confirmed_log *known, struct confirmed_log recorded)
{
    if (recorded.final && !known->final) {
        *known = recorded;
    }
}

void
failover_note_recorded_member(struct failover *failover, const char *id, uint64_t endpoint,
                              uint64_t born_ms, struct confirmed_log confirmed, time_ns now)
{
    struct failover_member *member = failover_find(failover, id);
    struct departed_member *departed = find_departed(failover, id);
    if (member != NULL) {
        if (member->absent_since != 0 && member->born_ms == born_ms) {
            take_confirmed(&member->confirmed, confirmed);
        }
    } else if (departed != NULL) {
        take_confirmed(&departed->confirmed, confirmed);
    } else if (failover->sync_replicas > 0 && g_strcmp0(failover_last_primary(failover), id) != 0) {
        add_departed(failover, &(struct departed_member){.id = (char *)id,
                                                         .endpoint = endpoint,
                                                         .born_ms = born_ms,
                                                         .since = now,
                                                         .confirmed = confirmed});
    }
}

void
failover_note_absent(struct failover *failover, const char *id, time_ns since)
{
    struct failover_member *member = failover_find(failover, id);
    const struct failover_member *primary = failover_primary(failover);
    if (member == NULL || (since != 0) == (member->absent_since != 0)) {
        return;
    }
    failover->membership_revision++;
    member->absent_since = since;
    member->confirmed = (struct confirmed_log){0};
    if (member->has_report) {
        member->confirmed.position = member->report.received;
    }
    if (primary != NULL && primary->has_report) {
        member->confirmed.position = later(member->confirmed.position, primary->report.received);
    }
}

/* A database that returns is a member again, and a restart since its departure is noticed by its
 * start time. */
static void
restore_departed(struct failover *failover, struct failover_member *member)
{
    struct departed_member *departed = find_departed(failover, member->id);
    if (departed != NULL) {
        member->born_ms = departed->born_ms;
        g_ptr_array_remove(failover->departed, departed);
    } else if (failover_is_primary(failover, member)) {
        member->born_ms = failover->primary_born_ms;
    }
}

void
failover_set_member(struct failover *failover, const char *id, bool takes_work,
                    bool reports_leading)
{
    struct failover_member *member = failover_find(failover, id);
    if (member == NULL) {
        member = g_new0(struct failover_member, 1);
        member->id = g_strdup(id);
        g_ptr_array_add(failover->members, member);
        failover->membership_revision++;
        restore_departed(failover, member);
    }
    member->listed = true;
    member->takes_work = takes_work;
    member->reports_leading = reports_leading;
}

static void
take_absent_primary(struct failover *failover, const char *id, uint64_t born_ms, time_ns since)
{
    struct departed_member *departed = find_departed(failover, id);
    if (departed != NULL) {
        g_ptr_array_remove(failover->departed, departed);
    }
    if (failover->primary == NULL) {
        failover->primary = g_strdup(id);
    }
    failover->primary_born_ms = born_ms;
    failover->primary_absent_since = since;
}

void
failover_note_recorded_primary(struct failover *failover, const char *database, uint64_t born_ms,
                               time_ns now)
{
    g_free(failover->recorded_primary);
    failover->recorded_primary = g_strdup(database);
    if (failover->primary == NULL && failover_find(failover, database) == NULL) {
        take_absent_primary(failover, database, born_ms, now);
    }
}

void
failover_note_endpoint(struct failover *failover, const char *id, uint64_t endpoint)
{
    struct failover_member *member = failover_find(failover, id);
    if (member != NULL && member->endpoint != endpoint) {
        member->endpoint = endpoint;
        failover->membership_revision++;
    }
}

void
failover_remove_member(struct failover *failover, const char *id)
{
    struct failover_member *member = failover_find(failover, id);
    if (member == NULL) {
        return;
    }
    time_ns since = MAX(member->absent_since, member->reported_at);
    if (g_strcmp0(failover_last_primary(failover), id) == 0) {
        take_absent_primary(failover, id, member->born_ms, since);
    } else if (failover->sync_replicas > 0 && !is_covered(failover, &member->confirmed)) {
        add_departed(failover, &(struct departed_member){.id = member->id,
                                                         .endpoint = member->endpoint,
                                                         .born_ms = member->born_ms,
                                                         .since = since,
                                                         .confirmed = member->confirmed});
    }
    g_ptr_array_remove(failover->members, member);
    failover->membership_revision++;
}

/* The present member that listens where the database did that had this log, if it has that log
 * still. A restart keeps the complete log or loses all of it. */
static const struct failover_member *
find_successor(const struct failover *failover, uint64_t endpoint, struct log_position position)
{
    for (guint i = 0; endpoint != 0 && i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        bool same = member->endpoint == endpoint && member->absent_since == 0;
        if (same && member->has_report && member->report.received.offset > 0 &&
            log_position_covers(member->report.received, position)) {
            return member;
        }
    }
    return NULL;
}

static void
log_successor(const struct failover *failover, const char *id,
              const struct failover_member *successor)
{
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_DATABASE", id, "SW_SUCCESSOR", successor->id, "MESSAGE",
                     "Group %s: %s has restarted as %s and kept its log.", failover->service, id,
                     successor->id);
}

static void
release_restarted_members(struct failover *failover)
{
    for (guint i = failover->members->len; i > 0; i--) {
        const struct failover_member *member = failover_member_at(failover, i - 1);
        if (member->absent_since == 0 || failover_is_primary(failover, member)) {
            continue;
        }
        const struct failover_member *successor =
            find_successor(failover, member->endpoint, member->confirmed.position);
        if (successor != NULL) {
            log_successor(failover, member->id, successor);
            g_ptr_array_remove_index(failover->members, i - 1);
            failover->membership_revision++;
        }
    }
}

void
failover_release_departed(struct failover *failover)
{
    release_restarted_members(failover);
    for (guint i = failover->departed->len; i > 0; i--) {
        const struct departed_member *departed = departed_at(failover, i - 1);
        const struct failover_member *successor =
            find_successor(failover, departed->endpoint, departed->confirmed.position);
        bool covered = is_covered(failover, &departed->confirmed);
        if (successor != NULL) {
            log_successor(failover, departed->id, successor);
        } else if (covered && !departed->unrecorded) {
            log_departed(failover, departed,
                         "is no longer needed: a replica holds all commits that it confirmed");
        }
        if (successor != NULL || covered) {
            g_ptr_array_remove_index(failover->departed, i - 1);
            failover->membership_revision++;
        }
    }
}

/* True if as many replicas have a log as the last primary had: a lost one is back under another id
 * and at another endpoint. Only a database that has been a member of the group has a log, as there
 * is no primary to receive it from. */
static bool
replicas_are_back(const struct failover *failover)
{
    uint32_t back = 0;
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        back += !failover_is_primary(failover, member) && member->absent_since == 0 &&
                member->answered && member->log_unverified_since == 0 &&
                member->report.received.offset > 0;
    }
    return failover->replicas_led != 0 && back >= failover->replicas_led;
}

/* True if a database whose row was deleted at `since` may return with its log. */
static bool
may_return(const struct failover *failover, time_ns since, time_ns now)
{
    if (now < since + failover->gone_after) {
        return true;
    }
    bool limited = failover->lost_log_wait != FAILOVER_NO_LIMIT;
    return !replicas_are_back(failover) && (!limited || now < since + failover->lost_log_wait);
}

/* The same of the primary, although it does not answer. */
static bool
primary_may_return(const struct failover *failover, time_ns now)
{
    const struct failover_member *primary = failover_primary(failover);
    bool present = primary != NULL && primary->absent_since == 0;
    time_ns since = primary == NULL ? failover->primary_absent_since : primary->absent_since;
    return present || may_return(failover, since, now);
}

bool
failover_covers_departed(const struct failover *failover, struct log_position highest, time_ns now)
{
    for (guint i = 0; failover->sync_replicas > 0 && i < failover->departed->len; i++) {
        const struct departed_member *departed = departed_at(failover, i);
        bool expected = departed->unrecorded || may_return(failover, departed->since, now) ||
                        primary_may_return(failover, now);
        if (!log_position_covers(highest, departed->confirmed.position) ||
            (!departed->confirmed.final && expected)) {
            return false;
        }
    }
    return true;
}

static bool
has_present_replica(const struct failover *failover)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        if (member->absent_since == 0 && !failover_is_primary(failover, member)) {
            return true;
        }
    }
    return false;
}

void
failover_count_replicas(struct failover *failover)
{
    const struct failover_member *primary = failover_primary(failover);
    if (primary == NULL || primary->absent_since != 0) {
        return;
    }
    uint32_t replicas = failover->members->len - 1;
    for (guint i = 0; i < failover->departed->len; i++) {
        replicas += !departed_at(failover, i)->unrecorded;
    }
    if (replicas != failover->replicas_led) {
        failover->replicas_led = replicas;
        failover->membership_revision++;
    }
}

bool
failover_has_unknown_absence(const struct failover *failover)
{
    bool comparable = has_present_replica(failover);
    for (guint i = 0; failover->sync_replicas > 0 && i < failover->members->len; i++) {
        const struct failover_member *member = failover_member_at(failover, i);
        const struct confirmed_log *confirmed = &member->confirmed;
        bool absent = member->absent_since != 0 && !failover_is_primary(failover, member);
        if (absent && (!confirmed->final || (comparable && !is_covered(failover, confirmed)))) {
            return true;
        }
    }
    for (guint i = 0; i < failover->departed->len; i++) {
        if (comparable || !departed_at(failover, i)->confirmed.final) {
            return true;
        }
    }
    return false;
}

void
failover_query_absence(struct failover *failover, time_ns now)
{
    if (!failover_has_unknown_absence(failover)) {
        return;
    }
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        if (member->absent_since == 0 || failover_is_primary(failover, member)) {
            failover_send_command(failover, member, DATABASE_COMMAND_STATUS, 0, SEARCH_EVERY_NS,
                                  now);
        }
    }
}

static void
limit_confirmed(struct failover *failover, struct confirmed_log *confirmed, time_ns since,
                const struct failover_member *primary)
{
    if (since != 0 && !confirmed->final && primary->command_sent_at >= since) {
        confirmed->position = primary->report.received;
        confirmed->final = true;
        failover->membership_revision++;
    }
}

void
failover_note_primary_log(struct failover *failover, const struct failover_member *primary)
{
    if (!primary->report.leads || primary->report.term < failover->term ||
        primary->log_unverified_since != 0) {
        return;
    }
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = failover_member_at(failover, i);
        limit_confirmed(failover, &member->confirmed, member->absent_since, primary);
    }
    for (guint i = 0; i < failover->departed->len; i++) {
        struct departed_member *departed = departed_at(failover, i);
        limit_confirmed(failover, &departed->confirmed, departed->since, primary);
    }
}

void
failover_note_alive(struct failover *failover, struct failover_member *member, time_ns now)
{
    if (member->absent_since != 0) {
        failover->membership_revision += member->confirmed.final;
        member->absent_since = now;
        member->confirmed.final = false;
        member->confirmed.position = later(member->confirmed.position, member->report.received);
    }
}
