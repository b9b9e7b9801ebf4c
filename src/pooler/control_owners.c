/**
 * @file
 * @brief Which poolers hold connections to each group's databases.
 *
 * A database takes a bounded number of connections from all poolers together. While that is enough
 * for each of them, each holds some. Otherwise the coordinator names a few owners for each group,
 * alike in all zones, by rendezvous hashing over the poolers that it hears: a pooler that comes or
 * goes moves few groups. All others forward to them (forward.h).
 *
 * Everybody keeps the newest ownership that it was told, so that the loss of a coordinator changes
 * nothing. A new coordinator goes on with what it was told as a pooler.
 */
#define G_LOG_DOMAIN "owners"
#include "pooler/control_internal.h"

#include <string.h>
#include <xxhash.h>

/** With fewer connections to a database for each pooler's worker than this, groups get owners;
 *  they lose them again only with one more. */
#define DIRECT_MIN 4

/** Connections to a database that an owner should have at least. */
#define OWNER_CONNECTIONS 5
#define OWNERS_MIN        2
#define OWNERS_MAX        10

/** Left for the coordinator's own and for connections that a lost pooler's database still counts.
 */
#define CONNECTIONS_SPARE 3

#define DECIDE_EVERY_NS (250 * MS)

/** A pooler that was not heard for this long owns nothing. */
#define OWNER_HEARD_NS (1200 * MS)

/** A new coordinator waits until it hears as many poolers as the one before, but no longer than
 *  this: a little where nothing is served without owners, longer where owners are at work, or all
 *  poolers can serve by themselves. */
#define GATHER_IDLE_NS   (400 * MS)
#define GATHER_SERVED_NS (1500 * MS)

/** A pooler that may own groups, and its place in the order of one group. */
typedef struct candidate {
    const struct pooler_peer *pooler;
    uint64_t score;
    uint32_t rank; /* among those of its zone */
} candidate_t;

static void
free_ownership(gpointer data)
{
    pooler_ownership_clear(data);
    g_free(data);
}

static void
set_ownership(struct control *control, struct pooler_ownership *ownership)
{
    control->ownership_newest = MAX(control->ownership_newest, ownership->version);
    g_hash_table_replace(control->ownerships, ownership->service, ownership);
    control->view_dirty = true;
}

void
control_owners_init(struct control *control)
{
    control->ownerships = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_ownership);
}

const struct pooler_ownership *
control_owners_of(const struct control *control, const char *service)
{
    return g_hash_table_lookup(control->ownerships, service);
}

static void
copy(struct pooler_ownership *to, const struct pooler_ownership *from)
{
    pooler_ownership_init(to);
    to->service = g_strdup(from->service);
    to->version = from->version;
    to->connections = from->connections;
    to->owners = g_new0(struct pooler_owner, from->owners_count + 1);
    for (size_t i = 0; i < from->owners_count; i++) {
        to->owners[i].address = g_strdup(from->owners[i].address);
        to->owners[i].zone = g_strdup(from->owners[i].zone);
    }
    to->owners_count = from->owners_count;
}

uint64_t
control_owners_fill(const struct control *control, uint64_t told, struct pooler_ownership **out,
                    size_t *count)
{
    uint64_t newest = told;
    GHashTableIter iterator;
    gpointer value = NULL;
    *count = 0;
    if (told >= control->ownership_newest) {
        *out = NULL;
        return told;
    }
    *out = g_new0(struct pooler_ownership, g_hash_table_size(control->ownerships) + 1);
    g_hash_table_iter_init(&iterator, control->ownerships);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct pooler_ownership *ownership = value;
        if (ownership->version > told) {
            copy(&(*out)[(*count)++], ownership);
            newest = MAX(newest, ownership->version);
        }
    }
    return newest;
}

void
control_owners_take(struct control *control, const struct pooler_ownership *all, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const struct pooler_ownership *told = &all[i];
        const struct pooler_ownership *known = control_owners_of(control, told->service);
        if (known != NULL && known->version >= told->version) {
            continue;
        }
        struct pooler_ownership *ownership = g_new0(struct pooler_ownership, 1);
        copy(ownership, told);
        set_ownership(control, ownership);
        g_info("Group %s has %zu owners, %u connections each.", told->service, told->owners_count,
               told->connections);
    }
}

static bool
may_own(const struct pooler_peer *pooler, time_ns now)
{
    return pooler->peer != NULL && !pooler->stopping && now < pooler->heard_at + OWNER_HEARD_NS &&
           pooler->forward_address != NULL && pooler->forward_address[0] != '\0';
}

static GArray *
list_candidates(const struct control *control, time_ns now)
{
    GArray *candidates = g_array_new(FALSE, TRUE, sizeof(candidate_t));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        candidate_t candidate = {.pooler = value};
        if (may_own(candidate.pooler, now)) {
            g_array_append_val(candidates, candidate);
        }
    }
    return candidates;
}

static gint
compare_scores(gconstpointer a, gconstpointer b)
{
    const candidate_t *first = a;
    const candidate_t *second = b;
    return first->score > second->score ? -1 : first->score < second->score;
}

/* By the rank in the zone first, so that all zones have as many. */
static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
    const candidate_t *first = a;
    const candidate_t *second = b;
    if (first->rank != second->rank) {
        return first->rank < second->rank ? -1 : 1;
    }
    return compare_scores(a, b);
}

/* Puts the candidates into the group's order. Returns how many zones they stand in. */
static uint32_t
rank(GArray *candidates, const char *service)
{
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    uint64_t seed = XXH3_64bits(service, strlen(service));
    for (guint i = 0; i < candidates->len; i++) {
        candidate_t *candidate = &g_array_index(candidates, candidate_t, i);
        const char *name = candidate->pooler->name;
        candidate->score = XXH3_64bits_withSeed(name, strlen(name), seed);
    }
    g_array_sort(candidates, compare_scores);
    for (guint i = 0; i < candidates->len; i++) {
        candidate_t *candidate = &g_array_index(candidates, candidate_t, i);
        char *zone = candidate->pooler->zone;
        candidate->rank = GPOINTER_TO_UINT(g_hash_table_lookup(zones, zone));
        g_hash_table_insert(zones, zone, GUINT_TO_POINTER(candidate->rank + 1));
    }
    g_array_sort(candidates, compare_ranks);
    return g_hash_table_size(zones);
}

static uint32_t
count_owners(uint32_t room, uint32_t zones, uint32_t candidates)
{
    uint32_t count = CLAMP(room / OWNER_CONNECTIONS, OWNERS_MIN, OWNERS_MAX);
    if (count > zones) {
        count -= count % zones;
    }
    return MIN(count, candidates);
}

static struct pooler_ownership *
choose_owners(GArray *candidates, const struct service *service, uint32_t room, uint32_t workers)
{
    struct pooler_ownership *out = g_new0(struct pooler_ownership, 1);
    uint32_t zones = rank(candidates, service->name);
    uint32_t count = count_owners(room, zones, candidates->len);
    out->service = g_strdup(service->name);
    out->connections = MAX(room / ((count + 1) * workers), 1);
    out->owners = g_new0(struct pooler_owner, count + 1);
    for (uint32_t i = 0; i < count; i++) {
        const struct pooler_peer *pooler = g_array_index(candidates, candidate_t, i).pooler;
        out->owners[i].address = g_strdup(pooler->forward_address);
        out->owners[i].zone = g_strdup(pooler->zone);
    }
    out->owners_count = count;
    return out;
}

static bool
has_owner(const struct pooler_ownership *ownership, const char *address)
{
    for (size_t i = 0; i < ownership->owners_count; i++) {
        if (g_str_equal(ownership->owners[i].address, address)) {
            return true;
        }
    }
    return false;
}

static bool
is_same(const struct pooler_ownership *a, const struct pooler_ownership *b)
{
    bool same = a->owners_count == b->owners_count && a->connections == b->connections;
    for (size_t i = 0; same && i < a->owners_count; i++) {
        same = has_owner(b, a->owners[i].address);
    }
    return same;
}

static uint32_t
most_workers(const GArray *candidates)
{
    uint32_t most = 1;
    for (guint i = 0; i < candidates->len; i++) {
        most = MAX(most, g_array_index(candidates, candidate_t, i).pooler->workers);
    }
    return most;
}

static bool
decide_group(struct control *control, const struct service *service, GArray *candidates)
{
    const struct pooler_ownership *known = control_owners_of(control, service->name);
    uint32_t workers = most_workers(candidates);
    uint32_t room = service->max_connections > CONNECTIONS_SPARE
                        ? service->max_connections - CONNECTIONS_SPARE
                        : 1;
    uint32_t share = room / (candidates->len * workers);
    bool owned = known != NULL && known->owners_count > 0;
    bool direct = share >= DIRECT_MIN + (owned ? 1 : 0);
    if (direct && !owned) {
        return false;
    }
    struct pooler_ownership *chosen = NULL;
    if (direct) {
        chosen = g_new0(struct pooler_ownership, 1);
        chosen->service = g_strdup(service->name);
    } else {
        chosen = choose_owners(candidates, service, room, workers);
    }
    if (known != NULL && is_same(chosen, known)) {
        free_ownership(chosen);
        return false;
    }
    chosen->version = (control->lease.token << EPOCH_SHIFT) + ++control->ownership_count;
    g_info("Group %s gets %zu owners of %u poolers, %u connections each.", service->name,
           chosen->owners_count, candidates->len, chosen->connections);
    set_ownership(control, chosen);
    return true;
}

/* Everything that owners are decided by. Independent of the candidates' order. */
static uint64_t
digest_of(const struct control *control, const GArray *candidates)
{
    uint64_t digest = control->configuration->version + control->ownership_newest;
    for (guint i = 0; i < candidates->len; i++) {
        const struct pooler_peer *pooler = g_array_index(candidates, candidate_t, i).pooler;
        uint64_t name = XXH3_64bits_withSeed(pooler->name, strlen(pooler->name), pooler->workers);
        uint64_t zone = XXH3_64bits_withSeed(pooler->zone, strlen(pooler->zone), name);
        digest +=
            XXH3_64bits_withSeed(pooler->forward_address, strlen(pooler->forward_address), zone);
    }
    return digest;
}

/* The order of all candidates is worked out for each group, so only if anything has changed. */
bool
control_owners_decide(struct control *control, time_ns now)
{
    g_autoptr(GArray) candidates = list_candidates(control, now);
    GPtrArray *services = control->configuration->services;
    bool changed = false;
    if (digest_of(control, candidates) == control->ownership_decided) {
        return false;
    }
    for (guint i = 0; candidates->len > 0 && i < services->len; i++) {
        changed = decide_group(control, g_ptr_array_index(services, i), candidates) || changed;
    }
    control->ownership_decided = digest_of(control, candidates);
    return changed;
}

/* True if every group has owners, or poolers that share its connections. */
static bool
is_served(const struct control *control)
{
    GPtrArray *services = control->configuration->services;
    for (guint i = 0; i < services->len; i++) {
        const struct service *service = g_ptr_array_index(services, i);
        bool served = control_owners_of(control, service->name) != NULL ||
                      control_direct_share(control, service) > 0;
        if (!served) {
            return false;
        }
    }
    return true;
}

bool
control_owners_early(const struct control *control, time_ns now)
{
    bool complete = control->members_before > 0 &&
                    g_hash_table_size(control->poolers) >= control->members_before;
    time_ns gather = is_served(control) ? GATHER_SERVED_NS : GATHER_IDLE_NS;
    return !complete && now < control->coordinator_since + gather;
}

void
control_owners_tick(struct control *control, time_ns now)
{
    if (control->configuration == NULL || now < control->owners_at ||
        control_owners_early(control, now)) {
        return;
    }
    control->owners_at = now + DECIDE_EVERY_NS;
    if (control_owners_decide(control, now)) {
        control_coordinator_push(control);
    }
}
