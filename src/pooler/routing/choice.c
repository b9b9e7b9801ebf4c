/* Choice of a database for a statement: the log position that the statement requires, the databases
 * that have applied it or will soon, and the cost of each (placement.h). */
#include "pooler/routing/router_internal.h"

/* Time assumed for opening a connection until the group has opened one, from the specifications of
 * platforms. */
#define OPENING_TYPICAL_MS 15.0

/* For how long a database is skipped for a position that it reported not to have reached. */
#define MISSING_KEPT_NS (60 * NANOSECONDS_PER_MILLISECOND)

/* Lag assumed for a replica whose lag is not known, and the validity of a known lag. */
#define LAG_TYPICAL_NS (20 * NANOSECONDS_PER_MILLISECOND)
#define LAG_KEPT_NS    (500 * NANOSECONDS_PER_MILLISECOND)

/* A longer lag remains valid until a statement has probed the replica (may_probe()). Several times
 * the longest normal lag, 150 ms. */
#define LAG_LONG_NS (600 * NANOSECONDS_PER_MILLISECOND)

/* When the transaction or the single statement began. */
static time_ns
began_at(const struct session *session)
{
    return session->transaction == SESSION_TRANSACTION_NONE ? session->request.arrived
                                                            : session->began;
}

/* Finds the position that a read with a staleness bound requires, and when the primary had it.
 * Returns false if it is not known. */
static bool
find_position(const struct session *session, struct need *out)
{
    const struct session_route *route = &session->route;
    time_ns bound = route->staleness_ms * NANOSECONDS_PER_MILLISECOND;
    time_ns began = began_at(session);
    time_ns oldest = began > bound ? began - bound : 0;
    const struct freshness_sample *sample = freshness_find(&route->group->freshness, oldest);
    if (sample == NULL) {
        return false;
    }
    out->position = sample->position;
    out->position_at = sample->at;
    bool own = route->kind == ROUTE_KIND_READ_YOUR_WRITES && session->has_own_commit;
    if (own && log_position_compare(session->own_commit, out->position) > 0) {
        out->position = session->own_commit;
        out->position_at = session->own_commit_at;
    }
    return true;
}

void
choice_find_need(const struct session *session, struct need *out)
{
    const struct session_route *route = &session->route;
    bool read_write = session->transaction != SESSION_TRANSACTION_NONE && !session->read_only;
    bool single_write = session->transaction == SESSION_TRANSACTION_NONE && session->request.writes;
    *out = (struct need){.primary = read_write || single_write};
    if (single_write) {
        out->permit = route->group->sync_replicas == 0;
        out->writes = out->permit;
        return;
    }
    bool current = route->kind == ROUTE_KIND_PRIMARY;
    if (!current) {
        out->has_position = find_position(session, out);
    }
    if (!out->has_position) {
        out->primary = true;
        out->permit = true;
    }
}

/* When the database will have applied the required position, as estimated from its lag; 0: it has.
 */
static time_ns
fresh_at(const struct database *database, const struct need *need, time_ns now)
{
    if (!need->has_position || database == database->group->primary ||
        log_position_covers(database->position, need->position)) {
        return 0;
    }
    bool lag_known = now < database->lag_at + LAG_KEPT_NS;
    time_ns lag = lag_known || database->lag > LAG_LONG_NS ? database->lag : LAG_TYPICAL_NS;
    time_ns at = need->position_at + lag;
    if (log_position_covers(need->position, database->missing_position)) {
        at = MAX(at, database->missing_at + MISSING_KEPT_NS);
    }
    return at > now ? at : 0;
}

bool
choice_is_behind(const struct database *database, const struct need *need, time_ns now)
{
    return fresh_at(database, need, now) != 0;
}

/* True if a statement may be sent to a replica with a long lag to find out whether it has caught
 * up. One statement per LAG_KEPT_NS is. */
static bool
may_probe(const struct database *database, time_ns now)
{
    return database->lag > LAG_LONG_NS && now >= database->lag_at + LAG_KEPT_NS;
}

void
choice_note_probe(struct database *database, time_ns now)
{
    if (may_probe(database, now)) {
        database->lag_at = now;
    }
}

time_ns
choice_objective(const struct session *session)
{
    return session->request.arrived + session->route.target_ms * NANOSECONDS_PER_MILLISECOND;
}

/* The cost of a statement at the database; `fresh`: when it will be fresh enough, 0: it is. */
static double
cost_of(const struct database *database, bool open, time_ns fresh, time_ns now)
{
    const struct group *group = database->group;
    double ms =
        placement_decayed_ms(database->latency_ms, group->latency_ms, now - database->latency_at);
    double opening_ms = group->opening_ms == 0 ? OPENING_TYPICAL_MS : group->opening_ms;
    place_t place = {
        .rtt_ms = database->rtt_ms,
        .service_ms = MAX(ms - database->rtt_ms, 0),
        .opening_ms = open ? 0 : opening_ms,
        .fresh_in_ms = fresh == 0 ? 0 : (double)(fresh - now) / (double)NANOSECONDS_PER_MILLISECOND,
        .running = database->in_flight,
        .slots = database->window.slots,
        .other_zone = !database->same_zone,
        .is_primary = database == group->primary,
        .primary_only_share = group->primary_only_share,
    };
    return placement_cost_ms(&place);
}

/* Considers a database that may run the statement now. */
static void
consider(struct database *database, const struct session *session, time_ns now,
         struct choice *choice)
{
    if (!database_has_capacity(database, session->route.priority, now)) {
        return;
    }
    struct server *server = database_idle_server(database, session);
    double cost = cost_of(database, server != NULL, 0, now);
    if (server != NULL) {
        if (choice->server == NULL || cost < choice->server_cost) {
            choice->server = server;
            choice->server_cost = cost;
        }
    } else if (database_will_open(database, now) &&
               (choice->to_open == NULL || cost < choice->open_cost)) {
        choice->to_open = database;
        choice->open_cost = cost;
    }
}

/* Considers waiting for a replica that will be fresh enough at `fresh`, which may be faster than
 * the primary. A statement is deferred only once, because the replica may turn out to be later. */
static void
consider_deferring(struct database *database, const struct session *session, time_ns fresh,
                   time_ns now, struct choice *choice)
{
    if (session->request.deferred || fresh >= choice_objective(session)) {
        return;
    }
    bool open = database_idle_server(database, session) != NULL;
    double cost = cost_of(database, open, fresh, now);
    if (choice->defer_until == 0 || cost < choice->defer_cost) {
        choice->defer_until = fresh;
        choice->defer_cost = cost;
    }
}

void
choice_find(const struct session *session, const struct need *need, time_ns now,
            struct choice *choice)
{
    const struct group *group = session->route.group;
    *choice = (struct choice){0};
    if (need->primary) {
        bool open = group->primary != NULL && group->phase == GROUP_PHASE_OPEN &&
                    database_fault(group->primary) != DATABASE_FAULT_REFUSING;
        time_ns permitted_at = need->writes ? now + WRITE_MARGIN_NS : now;
        bool proven = !need->writes && group->leadership_proven_at >= began_at(session);
        if (open && need->permit && !router_has_permit(group, permitted_at) && !proven) {
            choice->check = true;
        } else if (open) {
            consider(group->primary, session, now, choice);
        }
        return;
    }
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        bool closed = database == group->primary && group->phase != GROUP_PHASE_OPEN;
        bool usable =
            database->takes_work && !closed && database_fault(database) <= DATABASE_FAULT_NONE;
        time_ns fresh = usable ? fresh_at(database, need, now) : 0;
        if (usable && (fresh == 0 || may_probe(database, now))) {
            consider(database, session, now, choice);
        } else if (usable) {
            consider_deferring(database, session, fresh, now, choice);
        }
    }
    bool sooner = choice->defer_until != 0 &&
                  (choice->server == NULL || choice->defer_cost < choice->server_cost) &&
                  (choice->to_open == NULL || choice->defer_cost < choice->open_cost);
    if (!sooner) {
        choice->defer_until = 0;
    }
}
