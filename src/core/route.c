/* Routing decisions; see the header. */
#include "core/route.h"

#include <glib.h>

#include "core/position_samples.h"
#include "core/types.h"

/* Added to a database's distance when requests take all its slots, in proportion when fewer. */
#define LOAD_PENALTY_US 10000

/* Added to the distance of a database without a free slot, so that it is chosen only if no other
 * can serve. */
#define BUSY_PENALTY_US 1000000

static const char *const reason_names[ROUTE_REASON_COUNT] = {
    [ROUTE_REASON_NONE] = "none",
    [ROUTE_REASON_REPLICA_FRESH] = "replica_fresh",
    [ROUTE_REASON_REPLICA_GUARDED] = "replica_guarded",
    [ROUTE_REASON_PRIMARY_WRITE] = "primary_write",
    [ROUTE_REASON_PRIMARY_READ] = "primary_read",
    [ROUTE_REASON_PRIMARY_ONLY] = "primary_only",
    [ROUTE_REASON_UNREACHABLE] = "unreachable",
    [ROUTE_REASON_LEAVING] = "leaving",
    [ROUTE_REASON_BEHIND] = "behind",
    [ROUTE_REASON_OLDER_TERM] = "older_term",
    [ROUTE_REASON_TRIED] = "tried",
    [ROUTE_REASON_BUSY] = "busy",
    [ROUTE_REASON_FARTHER] = "farther",
    [ROUTE_REASON_RESERVED] = "reserved",
    [ROUTE_REASON_NO_PRIMARY] = "no_primary",
    [ROUTE_REASON_WRITES_PAUSED] = "writes_paused",
    [ROUTE_REASON_NO_DATABASE] = "no_database",
};

const char *route_reason_name(enum route_reason reason)
{
    if (reason < 0 || reason >= ROUTE_REASON_COUNT) {
        return "unknown";
    }
    return reason_names[reason];
}

static struct log_position later_position(struct log_position a, struct log_position b)
{
    return log_position_compare(a, b) >= 0 ? a : b;
}

bool route_needed_position(const struct group_view *view, const struct route_read_request *request,
                           struct log_position *needed)
{
    *needed = request->session;
    if (request->max_staleness_ms == 0) {
        return true;
    }
    struct log_position bounded;
    time_ns bound = request->max_staleness_ms * NANOSECONDS_PER_MILLISECOND;
    time_ns moment = request->now > bound ? request->now - bound : 0;
    if (!position_samples_at(view, moment, &bounded)) {
        return false;
    }
    *needed = later_position(*needed, bounded);
    return true;
}

/* Replication lag of the replica when it was observed: the time since the primary held an entry
 * that the replica had not applied. False if the samples don't reach back that far. */
static bool replica_lag(const struct group_view *view, const struct database_view *replica,
                        time_ns now, time_ns *lag)
{
    struct log_position missing = replica->status.applied;
    missing.offset++;
    time_ns missing_since = position_samples_time_of(view, missing, now);
    *lag = replica->observed_at > missing_since ? replica->observed_at - missing_since : 0;
    return missing_since != 0;
}

/* Expected time until the replica has applied `needed`; UINT64_MAX if unknown. */
static time_ns expected_wait(const struct group_view *view, const struct database_view *replica,
                             struct log_position needed, time_ns now)
{
    if (log_position_covers(replica->status.applied, needed)) {
        return 0;
    }
    if (replica->status.term < view->term || view->sample_count == 0) {
        return UINT64_MAX;
    }
    time_ns lag;
    if (!replica_lag(view, replica, now, &lag)) {
        return UINT64_MAX;
    }
    time_ns written_at = position_samples_time_of(view, needed, now);
    time_ns due = written_at + lag;
    /* The replica has not applied it yet, so the wait is never 0, whatever the estimate. */
    return MAX(due, now + NANOSECONDS_PER_MILLISECOND) - now;
}

/* Reason that excludes a database regardless of its position; NONE if there is none. */
static enum route_reason rule_out(const struct database_view *database, uint32_t index,
                                  uint32_t excluded)
{
    if (excluded & (UINT32_C(1) << index)) {
        return ROUTE_REASON_TRIED;
    }
    if (!database->reachable) {
        return ROUTE_REASON_UNREACHABLE;
    }
    if (database->status.leaving) {
        return ROUTE_REASON_LEAVING;
    }
    return ROUTE_REASON_NONE;
}

/* Distance of a database in microseconds: round-trip time, expected wait and load. */
static uint64_t distance_of(const struct database_view *database, uint32_t in_flight,
                            uint32_t slots, time_ns wait)
{
    uint64_t distance = database->round_trip_us + wait / 1000;
    if (slots == 0) {
        return distance + in_flight * (uint64_t)LOAD_PENALTY_US / 8;
    }
    distance += in_flight * (uint64_t)LOAD_PENALTY_US / slots;
    if (in_flight >= slots) {
        distance += BUSY_PENALTY_US;
    }
    return distance;
}

/* Checks whether one replica can serve; if NONE is returned, its distance and wait are set. */
static enum route_reason check_replica(const struct group_view *view,
                                       const struct route_read_request *request, uint32_t index,
                                       struct log_position needed, uint64_t *distance,
                                       time_ns *wait)
{
    const struct database_view *replica = &view->databases[index];
    enum route_reason reason = rule_out(replica, index, request->excluded);
    if (reason != ROUTE_REASON_NONE) {
        return reason;
    }
    *wait = expected_wait(view, replica, needed, request->now);
    if (*wait == UINT64_MAX && replica->status.term < view->term) {
        return ROUTE_REASON_OLDER_TERM;
    }
    if (*wait > request->guard_wait_max_ms * NANOSECONDS_PER_MILLISECOND) {
        return ROUTE_REASON_BEHIND;
    }
    *distance = distance_of(replica, request->in_flight[index], request->slots[index], *wait);
    return ROUTE_REASON_NONE;
}

/* Chooses the nearest replica that is fresh enough or will be within the guard wait. */
static void choose_replica(const struct group_view *view, const struct route_read_request *request,
                           struct log_position needed, struct route_decision *decision)
{
    uint64_t best = UINT64_MAX;
    for (uint32_t step = 0; step < view->database_count; step++) {
        /* A random start index spreads reads over equal replicas. */
        uint32_t index = (uint32_t)((request->random + step) % view->database_count);
        if ((int32_t)index == view->primary) {
            continue;
        }
        uint64_t distance = 0;
        time_ns wait = 0;
        enum route_reason reason = check_replica(view, request, index, needed, &distance, &wait);
        decision->refused[index] = reason == ROUTE_REASON_NONE ? ROUTE_REASON_FARTHER : reason;
        if (reason == ROUTE_REASON_NONE && distance < best) {
            best = distance;
            decision->database = (int32_t)index;
            bool covers = log_position_covers(view->databases[index].status.applied, needed);
            decision->reason = covers ? ROUTE_REASON_REPLICA_FRESH : ROUTE_REASON_REPLICA_GUARDED;
        }
    }
}

/* Chooses the primary, within its read allowance. */
static void choose_primary(const struct group_view *view, const struct route_read_request *request,
                           struct route_decision *decision)
{
    uint32_t index = (uint32_t)view->primary;
    enum route_reason reason = rule_out(&view->databases[index], index, request->excluded);
    if (reason == ROUTE_REASON_LEAVING) {
        /* A leaving primary leads until the planned change and takes work until then. */
        reason = ROUTE_REASON_NONE;
    }
    if (reason == ROUTE_REASON_NONE && request->replicas_allowed && !request->primary_allowed) {
        reason = ROUTE_REASON_RESERVED;
    }
    decision->refused[index] = reason;
    if (reason == ROUTE_REASON_NONE) {
        decision->database = view->primary;
        decision->reason =
            request->replicas_allowed ? ROUTE_REASON_PRIMARY_READ : ROUTE_REASON_PRIMARY_ONLY;
    }
}

struct route_decision route_read(const struct group_view *view,
                                 const struct route_read_request *request)
{
    struct route_decision decision = {.database = -1, .reason = ROUTE_REASON_NO_DATABASE};
    struct log_position needed;
    bool bounded = route_needed_position(view, request, &needed);
    if (request->replicas_allowed && bounded && view->database_count > 0) {
        choose_replica(view, request, needed, &decision);
    }
    decision.bound_unknown = request->replicas_allowed && !bounded;
    if (decision.database < 0 && view->primary >= 0) {
        choose_primary(view, request, &decision);
    }
    if (decision.database >= 0) {
        decision.refused[decision.database] = ROUTE_REASON_NONE;
        decision.guard = needed;
        decision.guard_wait_ms = request->guard_wait_max_ms;
    }
    return decision;
}

struct route_decision route_write(const struct group_view *view)
{
    struct route_decision decision = {.database = -1, .reason = ROUTE_REASON_NO_PRIMARY};
    for (uint32_t i = 0; i < view->database_count; i++) {
        decision.refused[i] = ROUTE_REASON_NONE;
    }
    if (view->primary < 0) {
        return decision;
    }
    if (view->writes_paused) {
        decision.reason = ROUTE_REASON_WRITES_PAUSED;
        return decision;
    }
    if (!view->databases[view->primary].reachable) {
        decision.refused[view->primary] = ROUTE_REASON_UNREACHABLE;
        return decision;
    }
    decision.database = view->primary;
    decision.reason = ROUTE_REASON_PRIMARY_WRITE;
    return decision;
}
