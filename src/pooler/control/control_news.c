/**
 * @file
 * @brief Who leads each group and who belongs to the fleet, as poolers are told it.
 *
 * A new coordinator tells every pooler all groups, and every new pooler all members. At 300 poolers
 * and 1,000 groups that is 20 MB from one link. What many poolers lack is the same for all of them:
 * it is put together and packed once, and the same bytes go to each.
 */
#define G_LOG_DOMAIN "coordinator"
#include "pooler/control/control_internal.h"
#include "pooler/control/compression.h"

/* News that encode to fewer bytes are sent uncompressed. */
#define PACKED_MIN 1024

/* Messages kept at most, one for each pair of versions that receivers know. In use are a few: most
 * receivers know the last push, or a state between two pushes. */
#define KEPT_MOST 32

/* The message for receivers that know orders and fleet up to these versions. */
typedef struct packed_news {
    uint64_t orders_from;
    uint64_t fleet_from;
    GBytes *packed;  /* NULL: it is small and sent uncompressed */
    uint32_t length; /* bytes before compression */
} packed_news_t;

static void
packed_free(gpointer data)
{
    packed_news_t *news = data;
    g_clear_pointer(&news->packed, g_bytes_unref);
    g_free(news);
}

void
control_news_clear(news_cache_t *cache)
{
    g_clear_pointer(&cache->kept, g_ptr_array_unref);
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
add_followed(const struct control *control, struct pooler_grant *grant)
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

/* Compresses the grant's groups and fleet, unless they are small. The grant keeps them. */
static packed_news_t *
pack(const struct pooler_grant *grant, uint64_t orders_from, uint64_t fleet_from)
{
    const struct pooler_news news = {grant->groups, grant->groups_count, grant->fleet};
    packed_news_t *out = g_new0(packed_news_t, 1);
    *out = (packed_news_t){.orders_from = orders_from, .fleet_from = fleet_from};
    g_autoptr(GBytes) content = g_byte_array_free_to_bytes(pooler_news_encode(&news));
    gsize length = g_bytes_get_size(content);
    if (length >= PACKED_MIN) {
        out->length = (uint32_t)length;
        out->packed = compression_compress(content);
    }
    return out;
}

/* Empties the cache if orders or fleet have changed since it was filled. */
static void
forget_outdated(news_cache_t *cache, uint64_t orders, uint64_t fleet)
{
    if (cache->kept == NULL || cache->orders != orders || cache->fleet != fleet) {
        control_news_clear(cache);
        cache->kept = g_ptr_array_new_with_free_func(packed_free);
        cache->orders = orders;
        cache->fleet = fleet;
    }
}

static const packed_news_t *
find_packed(const news_cache_t *cache, uint64_t orders_from, uint64_t fleet_from)
{
    for (guint i = 0; i < cache->kept->len; i++) {
        const packed_news_t *news = g_ptr_array_index(cache->kept, i);
        if (news->orders_from == orders_from && news->fleet_from == fleet_from) {
            return news;
        }
    }
    return NULL;
}

static void
drop_plain(struct pooler_grant *grant)
{
    struct pooler_news plain = {grant->groups, grant->groups_count, grant->fleet};
    pooler_news_clear(&plain);
    grant->groups = NULL;
    grant->groups_count = 0;
    pooler_fleet_init(&grant->fleet);
}

/* Puts the compressed message into the grant, in place of its groups and fleet. False if there is
 * none. */
static bool
use_packed(const packed_news_t *news, struct pooler_grant *grant)
{
    if (news == NULL || news->packed == NULL) {
        return false;
    }
    gsize size = 0;
    gconstpointer data = g_bytes_get_data(news->packed, &size);
    drop_plain(grant);
    grant->news = g_memdup2(data, size);
    grant->news_length = size;
    grant->news_unpacked = news->length;
    return true;
}

/* Compresses what the grant tells, keeps that for others who lack the same, and uses it. */
static void
keep_packed(news_cache_t *cache, uint64_t orders_from, uint64_t fleet_from,
            struct pooler_grant *grant)
{
    bool known = find_packed(cache, orders_from, fleet_from) != NULL; /* and so is small */
    if (!known && cache->kept->len < KEPT_MOST) {
        packed_news_t *news = pack(grant, orders_from, fleet_from);
        g_ptr_array_add(cache->kept, news);
        use_packed(news, grant);
    }
}

void
control_news_fill(struct control *control, struct pooler_peer *pooler, struct pooler_grant *grant)
{
    uint64_t orders_from = pooler->orders_sent;
    uint64_t fleet_from = pooler->fleet_told;
    uint64_t fleet = control_fleet_version(control);
    grant->orders_version = control->orders_version;
    if (orders_from >= control->orders_version && fleet_from >= fleet) {
        return;
    }
    pooler->orders_sent = MAX(orders_from, control->orders_version);
    pooler->fleet_told = MAX(fleet_from, fleet);
    forget_outdated(&control->news, control->orders_version, fleet);
    if (pooler->takes_news &&
        use_packed(find_packed(&control->news, orders_from, fleet_from), grant)) {
        return;
    }
    add_orders(control, orders_from, grant);
    control_fleet_fill(control, fleet_from, &grant->fleet);
    if (pooler->takes_news) {
        keep_packed(&control->news, orders_from, fleet_from, grant);
    }
}

void
control_news_fill_nonauthoritative(struct control *control,
                                   const struct pooler_heartbeat *heartbeat,
                                   struct pooler_grant *grant)
{
    bool orders = heartbeat->orders_known < control->orders_known;
    uint64_t orders_from = orders ? 0 : control->orders_known; /* all of them, or none */
    uint64_t fleet_from = heartbeat->fleet_version;
    uint64_t fleet = control_fleet_version(control);
    grant->orders_version = orders ? control->orders_known : 0;
    if (!orders && fleet_from >= fleet) {
        return;
    }
    forget_outdated(&control->hearsay, control->orders_known, fleet);
    if (heartbeat->takes_news &&
        use_packed(find_packed(&control->hearsay, orders_from, fleet_from), grant)) {
        return;
    }
    if (orders) {
        add_followed(control, grant);
    }
    control_fleet_fill(control, fleet_from, &grant->fleet);
    if (heartbeat->takes_news) {
        keep_packed(&control->hearsay, orders_from, fleet_from, grant);
    }
}

bool
control_news_unpack(struct pooler_grant *grant, GError **error)
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
    drop_plain(grant);
    grant->groups = news.groups;
    grant->groups_count = news.groups_count;
    grant->fleet = news.fleet;
    return true;
}
