/* The shares of tenants' limits that this pooler counts; see the header. */
#define G_LOG_DOMAIN "rate"
#include "pooler/rate/counting.h"

#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <string.h>

/* Buckets may begin anew so often in a window: a machine that is killed again right after it has
 * come back, once more. */
#define STARTS_IN_WINDOW 3

/* Of the operations by which a limit may be exceeded, so many make up for fractions. */
#define FRACTIONS_PART 0.25

/* A tenant's shares that are counted here. */
typedef struct counted {
    bool mine[ROSTER_SHARES];
    bool started[ROSTER_SHARES];
    share_t shares[ROSTER_SHARES];
} counted_t;

struct counting {
    rate_bounds_t bounds;
    pthread_mutex_t lock; /* of all below */
    roster_t *roster;     /* a copy of what is needed of it; NULL: none is known */
    bool entering;        /* this pooler does not count yet */
    time_ns begun_at;     /* when this process began; it gave no token before */
    time_ns changed_at;   /* what it counts has been as it is since then, or longer */
    time_ns until;
    GHashTable *tenants; /* interned name -> counted_t */
};

counting_t *
counting_new(const rate_bounds_t *bounds, time_ns now)
{
    counting_t *counting = g_new0(counting_t, 1);
    counting->begun_at = now;
    counting->bounds = *bounds;
    pthread_mutex_init(&counting->lock, NULL);
    counting->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return counting;
}

void
counting_free(counting_t *counting)
{
    g_hash_table_unref(counting->tenants);
    g_clear_pointer(&counting->roster, roster_unref);
    pthread_mutex_destroy(&counting->lock);
    g_free(counting);
}

/* Which of the tenant's shares are counted here. A bucket that is not is forgotten: another home
 * has gone on with it. */
static void
find_shares(const roster_t *roster, const char *tenant, counted_t *counted)
{
    size_t homes[ROSTER_SHARES];
    roster_homes(roster, tenant, homes);
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        counted->mine[i] = roster->count > 0 && roster->members[homes[i]].self;
        counted->started[i] = counted->started[i] && counted->mine[i];
    }
}

static bool
counts_any(const counted_t *counted)
{
    bool any = false;
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        any = any || counted->mine[i];
    }
    return any;
}

static bool
is_entering(const roster_t *roster)
{
    for (size_t i = 0; i < roster->count; i++) {
        if (roster->members[i].self) {
            return roster->members[i].entering || roster->members[i].away;
        }
    }
    return true;
}

/* References to the published list are counted by the control thread alone: workers use this copy,
 * under the lock. */
static roster_t *
copy_of(const roster_t *roster)
{
    roster_t *copy = roster_new(roster->revision, roster->count);
    for (size_t i = 0; i < roster->count; i++) {
        copy->members[i] = roster->members[i];
        copy->members[i].address = g_strdup(roster->members[i].address);
    }
    return copy;
}

void
counting_set_roster(counting_t *counting, const roster_t *roster, time_ns now)
{
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    pthread_mutex_lock(&counting->lock);
    bool first = counting->roster == NULL;
    g_clear_pointer(&counting->roster, roster_unref);
    counting->roster = copy_of(roster);
    counting->entering = is_entering(roster);
    /* A pooler that the first list it hears of lets count had its places before: nobody else gave
     * tokens of these shares, and this process none since it began. So they may fill from then on,
     * and not only from the list's coming, a third of a second later after a loss of all poolers.
     */
    counting->changed_at = first && !counting->entering ? counting->begun_at : now;
    g_hash_table_iter_init(&iterator, counting->tenants);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        find_shares(roster, name, value);
        if (counting->entering || !counts_any(value)) {
            g_hash_table_iter_remove(&iterator);
        }
    }
    pthread_mutex_unlock(&counting->lock);
}

void
counting_set_valid_until(counting_t *counting, time_ns until)
{
    pthread_mutex_lock(&counting->lock);
    counting->until = MAX(counting->until, until);
    pthread_mutex_unlock(&counting->lock);
}

static counted_t *
counted_of(counting_t *counting, const tenant_t *tenant)
{
    counted_t *counted = g_hash_table_lookup(counting->tenants, tenant->name);
    if (counted == NULL) {
        counted = g_new0(counted_t, 1);
        find_shares(counting->roster, tenant->name, counted);
        g_hash_table_insert(counting->tenants, (gpointer)tenant->name, counted);
    }
    return counted;
}

bucket_limit_t
rate_share(const rate_bounds_t *bounds, const tenant_t *tenant)
{
    double more = fmin(bounds->slack * FRACTIONS_PART / ROSTER_SHARES, 1);
    return (bucket_limit_t){tenant->rate_per_s / ROSTER_SHARES,
                            fmax(tenant->burst / ROSTER_SHARES + more, 1)};
}

double
rate_start_tokens(const rate_bounds_t *bounds, const tenant_t *tenant)
{
    double limit = tenant->rate_per_s * bounds->window_s + tenant->burst;
    double more = rate_share(bounds, tenant).room * ROSTER_SHARES - tenant->burst;
    double exceeded = limit * bounds->overage + bounds->slack - more;
    double tokens = fmax(exceeded, 0) / (STARTS_IN_WINDOW * ROSTER_SHARES);
    return fmin(tokens, rate_share(bounds, tenant).room);
}

static token_answer_t
take_any(counting_t *counting, const tenant_t *tenant, uint32_t priority, time_ns now,
         time_ns *wait)
{
    counted_t *counted = counted_of(counting, tenant);
    const bucket_limit_t limit = rate_share(&counting->bounds, tenant);
    token_answer_t result = TOKEN_DECLINED;
    *wait = 0;
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        time_ns share_wait = 0;
        if (!counted->mine[i]) {
            continue;
        }
        if (!counted->started[i]) {
            counted->started[i] = true;
            share_start(&counted->shares[i], rate_start_tokens(&counting->bounds, tenant),
                        counting->changed_at);
        }
        if (share_take(&counted->shares[i], &limit, priority, now, &share_wait)) {
            return TOKEN_GRANTED;
        }
        result = TOKEN_REFUSED;
        *wait = *wait == 0 || (share_wait != 0 && share_wait < *wait) ? share_wait : *wait;
    }
    return result;
}

token_answer_t
counting_take(counting_t *counting, const tenant_t *tenant, uint32_t priority, time_ns now,
              time_ns *wait)
{
    token_answer_t result = TOKEN_DECLINED;
    pthread_mutex_lock(&counting->lock);
    if (counting->roster != NULL && !counting->entering && now < counting->until) {
        result = take_any(counting, tenant, priority, now, wait);
    }
    pthread_mutex_unlock(&counting->lock);
    return result;
}
