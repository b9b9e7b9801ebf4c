/* Token buckets of the shares that this pooler counts; see the header. */
#define G_LOG_DOMAIN "rate"
#include "pooler/rate/counting.h"

#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <string.h>

/* Number of starts of a bucket within a window that the limit must allow for: a process that is
 * killed again right after its restart starts the bucket a third time. */
#define STARTS_IN_WINDOW 3

/* Part of the slack that is used to make up for fractions of tokens (rate_share()). */
#define FRACTIONS_PART 0.25

/* The shares of one tenant's limit. */
typedef struct tenant_shares {
    bool counted[ROSTER_SHARES]; /* this pooler is the share's home */
    bool started[ROSTER_SHARES]; /* `shares` is initialized */
    share_t shares[ROSTER_SHARES];
} tenant_shares_t;

struct counting {
    rate_bounds_t bounds;
    pthread_mutex_t lock; /* protects the fields below */
    roster_t *roster;     /* private copy; NULL: none was received yet */
    bool entering;        /* the roster has this pooler as entering or away: it must not count */
    time_ns started_at;   /* start time of the process, which granted no token before */
    time_ns changed_at;   /* buckets that start now fill from this time on */
    time_ns valid_until;  /* of the roster */
    GHashTable *tenants;  /* interned name -> tenant_shares_t */
};

counting_t *
counting_new(const rate_bounds_t *bounds, time_ns now)
{
    counting_t *counting = g_new0(counting_t, 1);
    counting->started_at = now;
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

/* Finds the tenant's shares that are counted here. The bucket of a share that is not is
 * discarded, because another home counts the share meanwhile. */
static void
find_shares(const roster_t *roster, const char *tenant, tenant_shares_t *tenant_shares)
{
    size_t homes[ROSTER_SHARES];
    roster_homes(roster, tenant, homes);
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        tenant_shares->counted[i] = roster->count > 0 && roster->members[homes[i]].self;
        tenant_shares->started[i] = tenant_shares->started[i] && tenant_shares->counted[i];
    }
}

static bool
counts_any(const tenant_shares_t *tenant_shares)
{
    bool any = false;
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        any = any || tenant_shares->counted[i];
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

/* Only the control thread may change the reference count of the published roster. Workers use this
 * copy, under the lock. */
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
    /* If the first roster of this process allows it to count, the pooler was a home of its shares
     * before its restart: no other pooler has granted tokens of them, and this process has granted
     * none yet. Their buckets therefore fill from the start of the process on, and not only from
     * the receipt of the roster, which is a third of a second later after a loss of all poolers. */
    counting->changed_at = first && !counting->entering ? counting->started_at : now;
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
    counting->valid_until = MAX(counting->valid_until, until);
    pthread_mutex_unlock(&counting->lock);
}

static tenant_shares_t *
shares_of(counting_t *counting, const tenant_t *tenant)
{
    tenant_shares_t *tenant_shares = g_hash_table_lookup(counting->tenants, tenant->name);
    if (tenant_shares == NULL) {
        tenant_shares = g_new0(tenant_shares_t, 1);
        find_shares(counting->roster, tenant->name, tenant_shares);
        g_hash_table_insert(counting->tenants, (gpointer)tenant->name, tenant_shares);
    }
    return tenant_shares;
}

bucket_limit_t
rate_share(const rate_bounds_t *bounds, const tenant_t *tenant)
{
    double extra = fmin(bounds->slack * FRACTIONS_PART / ROSTER_SHARES, 1);
    return (bucket_limit_t){tenant->rate_per_s / ROSTER_SHARES,
                            fmax(tenant->burst / ROSTER_SHARES + extra, 1)};
}

double
rate_start_tokens(const rate_bounds_t *bounds, const tenant_t *tenant)
{
    double limit = tenant->rate_per_s * bounds->window_s + tenant->burst;
    double extra = rate_share(bounds, tenant).capacity * ROSTER_SHARES - tenant->burst;
    double permitted = limit * bounds->overage + bounds->slack - extra;
    double tokens = fmax(permitted, 0) / (STARTS_IN_WINDOW * ROSTER_SHARES);
    return fmin(tokens, rate_share(bounds, tenant).capacity);
}

static token_answer_t
take_any(counting_t *counting, const tenant_t *tenant, uint32_t priority, time_ns now,
         time_ns *wait)
{
    tenant_shares_t *tenant_shares = shares_of(counting, tenant);
    const bucket_limit_t limit = rate_share(&counting->bounds, tenant);
    token_answer_t result = TOKEN_DECLINED;
    *wait = 0;
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        time_ns share_wait = 0;
        if (!tenant_shares->counted[i]) {
            continue;
        }
        if (!tenant_shares->started[i]) {
            tenant_shares->started[i] = true;
            share_start(&tenant_shares->shares[i], rate_start_tokens(&counting->bounds, tenant),
                        counting->changed_at);
        }
        if (share_take(&tenant_shares->shares[i], &limit, priority, now, &share_wait)) {
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
    if (counting->roster != NULL && !counting->entering && now < counting->valid_until) {
        result = take_any(counting, tenant, priority, now, wait);
    }
    pthread_mutex_unlock(&counting->lock);
    return result;
}
