/* Lease handover: to which pooler the coordinator hands its lease over, at a graceful shutdown, if
 * the store does not answer it, and if there is a stronger machine. */
#define G_LOG_DOMAIN "coordinator"
#include "pooler/control/control_internal.h"

/* Maximum age of a successor's last heartbeat. */
#define SUCCESSOR_CONTACT_NS (600 * MS)

/* If the store does not answer this coordinator, it must have answered the successor at least this
 * long after the renewal here became due. */
#define ANSWERED_SINCE_MS ((uint64_t)100)

/* A weak machine holds the lease at least for WEAK_HOLDS_MIN_NS before it hands it over to a
 * stronger one: time to receive a heartbeat from each pooler, and for groups without a primary to
 * get one. The store must have answered the stronger one within STRONGER_STORE_AGE_MAX_MS. */
#define WEAK_HOLDS_MIN_NS         (1000 * MS)
#define STRONGER_STORE_AGE_MAX_MS ((uint64_t)1500)

/* Time since the store last answered the pooler, in milliseconds. */
static uint64_t
store_age_ms(const struct pooler_peer *pooler, time_ns now)
{
    return pooler->store_age_ms + (now - pooler->contact.last_heartbeat_at) / MS;
}

bool
control_coordinator_prefers(const struct pooler_peer *pooler, const struct pooler_peer *than,
                            time_ns now)
{
    if (than == NULL || pooler->millicores != than->millicores) {
        return than == NULL || pooler->millicores > than->millicores;
    }
    return store_age_ms(pooler, now) < store_age_ms(than, now);
}

/* The best successor that the store answered less than `age_max_ms` ago; NULL if there is none. */
static struct pooler_peer *
find_successor(const struct control *control, uint64_t age_max_ms, time_ns now)
{
    struct pooler_peer *best = NULL;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_peer *pooler = value;
        bool eligible = pooler->peer != NULL && !pooler->stopping &&
                        g_strcmp0(pooler->name, control->settings->pooler.name) != 0 &&
                        now < pooler->contact.last_heartbeat_at + SUCCESSOR_CONTACT_NS &&
                        store_age_ms(pooler, now) < age_max_ms;
        if (eligible && control_coordinator_prefers(pooler, best, now)) {
            best = pooler;
        }
    }
    return best;
}

static void
hand_over_to(struct control *control, struct pooler_peer *successor)
{
    struct pooler_grant grant;
    pooler_grant_init(&grant);
    grant.coordinator = g_strdup(control->settings->pooler.name);
    grant.token = control->lease.token;
    grant.cedes = true;
    g_message("Handing the lease over to %s.", successor->name);
    peer_send(successor->peer, pooler_grant_encode(&grant));
    pooler_grant_clear(&grant);
}

bool
control_coordinator_hand_over(struct control *control, bool planned)
{
    time_ns now = backend_now();
    /* Few poolers call the store. While it answers this one, it will answer any other. If it does
     * not answer this one, a successor is useful only if the store has answered it since: if the
     * store answers no pooler, a handover gains nothing, and the read permits would end with the
     * lease. */
    uint64_t overdue_ms = control_lease_overdue(control, now) / MS;
    uint64_t age_max_ms =
        planned ? UINT64_MAX : MAX(overdue_ms, ANSWERED_SINCE_MS) - ANSWERED_SINCE_MS;
    struct pooler_peer *successor = find_successor(control, age_max_ms, now);
    if (successor == NULL) {
        return false;
    }
    hand_over_to(control, successor);
    return true;
}

/* A pooler on a stronger machine that the store answers; NULL if there is none, or if this lease is
 * too young. */
static struct pooler_peer *
find_stronger(const struct control *control, time_ns now)
{
    struct pooler_peer *best = find_successor(control, STRONGER_STORE_AGE_MAX_MS, now);
    bool stronger = best != NULL && best->millicores > control_millicores(control);
    return stronger && now > control->coordinator_since + WEAK_HOLDS_MIN_NS ? best : NULL;
}

bool
control_coordinator_hand_over_to_stronger(struct control *control, time_ns now)
{
    struct pooler_peer *stronger = find_stronger(control, now);
    if (stronger == NULL || control->lease.calling) {
        return false;
    }
    hand_over_to(control, stronger);
    control_lease_end(control, "handed the lease over to a stronger machine");
    return true;
}
