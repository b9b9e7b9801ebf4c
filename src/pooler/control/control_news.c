/**
 * @file
 * @brief The coordinator's updates to poolers: the orders of the groups and the members of the
 * fleet.
 *
 * A new coordinator sends all groups to every pooler, and all members to every new pooler. With 300
 * poolers and 1,000 groups these are 20 MB from one link. Many poolers are missing the same: the
 * message for them is built and compressed once, and all get the same bytes.
 */
#define G_LOG_DOMAIN "coordinator"
#include "pooler/control/control_internal.h"
#include "pooler/control/compression.h"

/* Updates that encode to fewer bytes are sent uncompressed. */
#define NEWS_COMPRESSION_MIN 1024

/* Maximum number of cached messages, one for each pair of versions that receivers have. A few are
 * in use, as most receivers have the versions of the last push or of a state between two pushes. */
#define CACHE_MAX 32

/* The message for receivers that have these versions of orders and fleet. */
typedef struct compressed_news {
    uint64_t orders_from;
    uint64_t fleet_from;
    GBytes *compressed; /* NULL: it is small and sent uncompressed */
    uint32_t length;    /* bytes before compression */
} compressed_news_t;

static void
compressed_news_free(gpointer data)
{
    compressed_news_t *news = data;
    g_clear_pointer(&news->compressed, g_bytes_unref);
    g_free(news);
}

void
control_news_clear(news_cache_t *cache)
{
    g_clear_pointer(&cache->entries, g_ptr_array_unref);
}

static void
add_order(struct pooler_grant *grant, const char *service, uint64_t epoch, enum group_phase phase,
          const char *primary, uint64_t term)
{
    struct pooler_group_order *order = &grant->groups[grant->groups_count++];
    order->service = g_strdup(service);
    order->epoch = epoch;
    order->phase = phase;
    order->primary = g_strdup(primary == NULL ? "" : primary);
    order->term = term;
}

static void
add_orders(const struct control *control, uint64_t from, struct pooler_grant *grant)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    if (from >= control->orders_version) {
        return;
    }
    grant->groups = g_new0(struct pooler_group_order, g_hash_table_size(control->controlled) + 1);
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct controlled_group *group = value;
        const struct failover *failover = group->failover;
        if (group->orders_version > from) {
            add_order(grant, failover->service, failover->epoch, failover->phase, failover->primary,
                      failover->term);
        }
    }
}

/* The orders as this pooler follows them. */
static void
add_followed_orders(const struct control *control, struct pooler_grant *grant)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    grant->groups = g_new0(struct pooler_group_order, g_hash_table_size(control->groups) + 1);
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct group_state *group = value;
        if (group->epoch != 0) {
            add_order(grant, group->shared->service, group->epoch, group->phase, group->primary,
                      group->term);
        }
    }
}

/* Compresses the grant's groups and fleet, unless they are small. The grant keeps its own. */
static compressed_news_t *
compress_news(const struct pooler_grant *grant, uint64_t orders_from, uint64_t fleet_from)
{
    const struct pooler_news news = {grant->groups, grant->groups_count, grant->fleet};
    compressed_news_t *out = g_new0(compressed_news_t, 1);
    *out = (compressed_news_t){.orders_from = orders_from, .fleet_from = fleet_from};
    g_autoptr(GBytes) content = g_byte_array_free_to_bytes(pooler_news_encode(&news));
    gsize length = g_bytes_get_size(content);
    if (length >= NEWS_COMPRESSION_MIN) {
        out->length = (uint32_t)length;
        out->compressed = compression_compress(content);
    }
    return out;
}

/* Empties the cache if orders or fleet have changed since it was filled. */
static void
clear_outdated(news_cache_t *cache, uint64_t orders, uint64_t fleet)
{
    if (cache->entries == NULL || cache->orders != orders || cache->fleet != fleet) {
        control_news_clear(cache);
        cache->entries = g_ptr_array_new_with_free_func(compressed_news_free);
        cache->orders = orders;
        cache->fleet = fleet;
    }
}

static const compressed_news_t *
find_compressed(const news_cache_t *cache, uint64_t orders_from, uint64_t fleet_from)
{
    for (guint i = 0; i < cache->entries->len; i++) {
        const compressed_news_t *news = g_ptr_array_index(cache->entries, i);
        if (news->orders_from == orders_from && news->fleet_from == fleet_from) {
            return news;
        }
    }
    return NULL;
}

static void
clear_plain(struct pooler_grant *grant)
{
    struct pooler_news plain = {grant->groups, grant->groups_count, grant->fleet};
    pooler_news_clear(&plain);
    grant->groups = NULL;
    grant->groups_count = 0;
    pooler_fleet_init(&grant->fleet);
}

/* Replaces the grant's groups and fleet by the compressed message.
 * @return false if there is none. */
static bool
use_compressed(const compressed_news_t *news, struct pooler_grant *grant)
{
    if (news == NULL || news->compressed == NULL) {
        return false;
    }
    gsize size = 0;
    gconstpointer data = g_bytes_get_data(news->compressed, &size);
    clear_plain(grant);
    grant->news = g_memdup2(data, size);
    grant->news_length = size;
    grant->news_unpacked = news->length;
    return true;
}

/* Compresses the grant's groups and fleet, caches the result for other receivers that have the same
 * versions, and uses it. */
static void
cache_compressed(news_cache_t *cache, uint64_t orders_from, uint64_t fleet_from,
                 struct pooler_grant *grant)
{
    bool known = find_compressed(cache, orders_from, fleet_from) !=
                 NULL; /* cached without content, as it is small */
    if (!known && cache->entries->len < CACHE_MAX) {
        compressed_news_t *news = compress_news(grant, orders_from, fleet_from);
        g_ptr_array_add(cache->entries, news);
        use_compressed(news, grant);
    }
}

void
control_news_fill(struct control *control, struct pooler_peer *pooler, struct pooler_grant *grant)
{
    uint64_t orders_from = pooler->orders_sent;
    uint64_t fleet_from = pooler->fleet_sent;
    uint64_t fleet = control_fleet_version(control);
    grant->orders_version = control->orders_version;
    if (orders_from >= control->orders_version && fleet_from >= fleet) {
        return;
    }
    pooler->orders_sent = MAX(orders_from, control->orders_version);
    pooler->fleet_sent = MAX(fleet_from, fleet);
    clear_outdated(&control->news, control->orders_version, fleet);
    if (pooler->takes_news &&
        use_compressed(find_compressed(&control->news, orders_from, fleet_from), grant)) {
        return;
    }
    add_orders(control, orders_from, grant);
    control_fleet_fill(control, fleet_from, &grant->fleet);
    if (pooler->takes_news) {
        cache_compressed(&control->news, orders_from, fleet_from, grant);
    }
}

void
control_news_fill_nonauthoritative(struct control *control,
                                   const struct pooler_heartbeat *heartbeat,
                                   struct pooler_grant *grant)
{
    bool orders = heartbeat->orders_known < control->orders_known;
    uint64_t orders_from = orders ? 0 : control->orders_known; /* all orders, or none */
    uint64_t fleet_from = heartbeat->fleet_version;
    uint64_t fleet = control_fleet_version(control);
    grant->orders_version = orders ? control->orders_known : 0;
    if (!orders && fleet_from >= fleet) {
        return;
    }
    clear_outdated(&control->nonauthoritative_news, control->orders_known, fleet);
    if (heartbeat->takes_news &&
        use_compressed(find_compressed(&control->nonauthoritative_news, orders_from, fleet_from),
                       grant)) {
        return;
    }
    if (orders) {
        add_followed_orders(control, grant);
    }
    control_fleet_fill(control, fleet_from, &grant->fleet);
    if (heartbeat->takes_news) {
        cache_compressed(&control->nonauthoritative_news, orders_from, fleet_from, grant);
    }
}

bool
control_news_decompress(struct pooler_grant *grant, GError **error)
{
    struct pooler_news news = {0};
    if (grant->news_unpacked == 0) {
        return true;
    }
    g_autoptr(GBytes) content =
        compression_decompress(grant->news, grant->news_length, grant->news_unpacked, error);
    gsize length = 0;
    const uint8_t *data = content == NULL ? NULL : g_bytes_get_data(content, &length);
    if (data == NULL || !pooler_news_decode(data, length, &news, error)) {
        return false;
    }
    clear_plain(grant);
    grant->groups = news.groups;
    grant->groups_count = news.groups_count;
    grant->fleet = news.fleet;
    return true;
}
