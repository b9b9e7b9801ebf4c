/**
 * @file
 * @brief Followers: a few poolers that read the store's changes beside the coordinator. The
 * coordinator chooses them and announces them to all poolers. They can take over the lease, and
 * they relay the store's rows to the other poolers while there is no coordinator.
 */
#define G_LOG_DOMAIN "coordinator"
#include "pooler/control/control_internal.h"

/** Number of followers. */
#define FOLLOWERS 3

/* A follower that the store has not answered for this many milliseconds is replaced. Three poll
 * intervals. */
#define FOLLOWER_FAILING_MS 2700

static bool
is_failing_follower(const struct pooler_peer *pooler)
{
    return pooler->followed_store && pooler->store_age_ms > FOLLOWER_FAILING_MS;
}

/* Followers that the store does not answer come last. Then strong machines come first, as a
 * follower may become the coordinator, which receives the heartbeats of all poolers. Equals are
 * ordered by hash, so that the choice is stable. */
static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct pooler_peer *first = *(struct pooler_peer *const *)a;
    const struct pooler_peer *second = *(struct pooler_peer *const *)b;
    if (is_failing_follower(first) != is_failing_follower(second)) {
        return is_failing_follower(first) ? 1 : -1;
    }
    if (first->millicores != second->millicores) {
        return first->millicores > second->millicores ? -1 : 1;
    }
    guint first_hash = g_str_hash(first->name);
    guint second_hash = g_str_hash(second->name);
    return first_hash < second_hash ? -1 : first_hash > second_hash;
}

static bool
zone_has_follower(const GPtrArray *poolers, const char *zone)
{
    for (guint i = 0; i < poolers->len; i++) {
        const struct pooler_peer *pooler = g_ptr_array_index(poolers, i);
        if (pooler->follows_store && g_str_equal(pooler->zone, zone)) {
            return true;
        }
    }
    return false;
}

/* The poolers that may become followers, best first. */
static GPtrArray *
list_candidates(const struct control *control)
{
    GPtrArray *poolers = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_peer *pooler = value;
        bool self = g_str_equal(pooler->name, control->settings->pooler.name);
        pooler->followed_store = pooler->follows_store;
        pooler->follows_store = false;
        if (pooler->peer != NULL && !pooler->stopping && !self) {
            g_ptr_array_add(poolers, pooler);
        }
    }
    g_ptr_array_sort(poolers, compare_candidates);
    return poolers;
}

/* Updates the announced list: poolers that lose the coordinator connect to the followers. */
static void
update_followers(struct control *control, const GPtrArray *poolers)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < poolers->len; i++) {
        const struct pooler_peer *pooler = g_ptr_array_index(poolers, i);
        if (pooler->follows_store && pooler->peer_address != NULL) {
            g_ptr_array_add(names, g_strdup(pooler->peer_address));
        }
    }
    bool same = names->len == control->followers->len;
    for (guint i = 0; same && i < names->len; i++) {
        same = g_str_equal(g_ptr_array_index(names, i), g_ptr_array_index(control->followers, i));
    }
    if (same) {
        g_ptr_array_unref(names);
        return;
    }
    g_ptr_array_unref(control->followers);
    control->followers = names;
    control->followers_version++;
}

void
control_followers_choose(struct control *control)
{
    g_autoptr(GPtrArray) poolers = list_candidates(control);
    unsigned chosen = 0;
    for (int other_zones = 1; other_zones >= 0; other_zones--) {
        for (guint i = 0; i < poolers->len && chosen < FOLLOWERS; i++) {
            struct pooler_peer *pooler = g_ptr_array_index(poolers, i);
            bool eligible = !pooler->follows_store &&
                            (other_zones == 0 || (!zone_has_follower(poolers, pooler->zone) &&
                                                  !is_failing_follower(pooler)));
            pooler->follows_store = pooler->follows_store || eligible;
            chosen += eligible;
        }
    }
    update_followers(control, poolers);
}

void
control_followers_announce(const struct control *control, uint64_t known_version,
                           struct pooler_grant *grant)
{
    if (known_version == control->followers_version) {
        return;
    }
    grant->followers = g_new0(char *, control->followers->len + 1);
    for (guint i = 0; i < control->followers->len; i++) {
        grant->followers[grant->followers_count++] =
            g_strdup(g_ptr_array_index(control->followers, i));
    }
}

void
control_followers_take(struct control *control, const struct pooler_grant *grant)
{
    if (grant->followers_count == 0) {
        return;
    }
    g_ptr_array_set_size(control->followers, 0);
    for (size_t i = 0; i < grant->followers_count; i++) {
        g_ptr_array_add(control->followers, g_strdup(grant->followers[i]));
    }
}
