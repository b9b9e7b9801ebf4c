/* Routing decisions; see the header. */
#include "core/route.h"

#include "core/types.h"

/* What a running statement adds to a database's distance when all its slots would be taken. */
#define LOAD_PENALTY_US 10000

/* Added to a replica without a free slot: it is taken only if nothing else can serve. */
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

/* Moment between two samples at which the log passed `position`. */
static time_ns interpolate(const struct position_sample *older, const struct position_sample *newer,
                           struct log_position position)
{
    bool one_term = older->held.term == position.term && newer->held.term == position.term;
    if (!one_term || newer->held.offset == older->held.offset) {
        return older->at;
    }
    double part = (double)(position.offset - older->held.offset) /
                  (double)(newer->held.offset - older->held.offset);
    return older->at + (time_ns)(part * (double)(newer->at - older->at));
}

time_ns route_time_of_position(const struct group_view *view, struct log_position position,
                               time_ns now)
{
    if (view->sample_count == 0 || !log_position_covers(view->samples[0].held, position)) {
        return now;
    }
    if (log_position_covers(position, view->samples[0].held)) {
        return view->samples[0].at;
    }
    for (uint32_t i = 1; i < view->sample_count; i++) {
        if (log_position_covers(position, view->samples[i].held)) {
            return interpolate(&view->samples[i], &view->samples[i - 1], position);
        }
    }
    return 0;
}

/* What the primary held `bound` before now, from samples; false if no sample tells. */
static bool position_before(const struct group_view *view, time_ns now, time_ns bound,
                            struct log_position *position)
{
    if (view->sample_count == 0 || view->samples[0].at + bound < now) {
        return false;
    }
    uint32_t chosen = view->sample_count - 1;
    for (uint32_t i = 0; i < view->sample_count; i++) {
        if (view->samples[i].at + bound <= now) {
            /* The next newer sample is within the bound: it is what must be seen at most. */
            chosen = i;
            break;
        }
    }
    *position = view->samples[chosen].held;
    return true;
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
    if (!position_before(view, request->now, bound, &bounded)) {
        return false;
    }
    *needed = later_position(*needed, bounded);
    return true;
}

/* How long after now the replica is expected to have applied `needed`; UINT64_MAX if unknown. */
static time_ns expected_wait(const struct group_view *view, const struct database_view *replica,
                             struct log_position needed, time_ns now)
{
    if (log_position_covers(replica->status.applied, needed)) {
        return 0;
    }
    if (replica->status.term < view->term || view->sample_count == 0) {
        return UINT64_MAX;
    }
    time_ns applied_at = route_time_of_position(view, replica->status.applied, now);
    if (applied_at == 0) {
        return UINT64_MAX;
    }
    time_ns lag = replica->observed_at > applied_at ? replica->observed_at - applied_at : 0;
    time_ns written_at = route_time_of_position(view, needed, now);
    time_ns due = written_at + lag;
    return due > now ? due - now : 0;
}

/* Reason that rules a database out whatever its position; NONE if usable. */
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

/* Distance of a database in microseconds: round trip, and load as a share of its slots. */
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

/* Judges one replica; on NONE its distance and wait are set. */
static enum route_reason judge_replica(const struct group_view *view,
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

/* Finds the nearest replica that is or will be fresh enough. */
static void choose_replica(const struct group_view *view, const struct route_read_request *request,
                           struct log_position needed, struct route_decision *decision)
{
    uint64_t best = UINT64_MAX;
    for (uint32_t step = 0; step < view->database_count; step++) {
        /* Starting anywhere spreads equals. */
        uint32_t index = (uint32_t)((request->random + step) % view->database_count);
        if ((int32_t)index == view->primary) {
            continue;
        }
        uint64_t distance = 0;
        time_ns wait = 0;
        enum route_reason reason = judge_replica(view, request, index, needed, &distance, &wait);
        decision->refused[index] = reason == ROUTE_REASON_NONE ? ROUTE_REASON_FARTHER : reason;
        if (reason == ROUTE_REASON_NONE && distance < best) {
            best = distance;
            decision->database = (int32_t)index;
            bool covers = log_position_covers(view->databases[index].status.applied, needed);
            decision->reason = covers ? ROUTE_REASON_REPLICA_FRESH : ROUTE_REASON_REPLICA_GUARDED;
        }
    }
}

/* Falls back to the primary, within its read allowance. */
static void choose_primary(const struct group_view *view, const struct route_read_request *request,
                           struct route_decision *decision)
{
    uint32_t index = (uint32_t)view->primary;
    enum route_reason reason = rule_out(&view->databases[index], index, request->excluded);
    if (reason == ROUTE_REASON_LEAVING) {
        /* A leaving primary still leads until the planned change: it may end what is under way. */
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
