/* Which poolers own a group's connections; see the header. */
#include "pooler/control/fleet.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* If each worker of each pooler would get fewer connections to a database than this, the group gets
 * owners. */
#define DIRECT_MIN 4

/* Number of connections to a database that an owner should have at least. */
#define OWNER_CONNECTIONS 5
#define OWNERS_MIN        2
#define OWNERS_MAX        10

/* Reserved for the coordinator and for connections of a lost pooler that the database still counts.
 */
#define CONNECTIONS_SPARE 3

/* An owner in a database's zone gets this many times the connections of one in another zone: three
 * owners of nine have 30 of 36 connections in use. With 83 machines, 84 tenants and 53 connections,
 * 8 scored 0.008 higher than 4 (docs/design/tenants.md). */
#define SAME_ZONE_PARTS 8

/* Number of recorded changes, by which a group's owners are checked. After more changes they are
 * computed again. */
#define CHANGES_KEPT 64

/* A member and its score for one group. */
typedef struct candidate {
    fleet_member_t *member;
    double score;
} candidate_t;

struct fleet {
    GHashTable *members; /* address -> fleet_member_t, owned */
    GPtrArray *active;   /* of fleet_member_t */
    GPtrArray *zones;    /* interned names, by the members' zone_index */
    GArray *zone_sizes;  /* of guint, number of active members of each zone */
    GHashTable *owners;  /* service -> fleet_owners_t, owned */
    fleet_member_t *changes[CHANGES_KEPT];
    guint generation;   /* number of changes; the last CHANGES_KEPT are recorded */
    guint valid_from;   /* owners of an earlier generation are computed again */
    uint64_t revisions; /* last revision that was assigned */
    uint64_t version;
    uint32_t counted;
    uint32_t max_workers;
};

static void
free_member(gpointer data)
{
    fleet_member_t *member = data;
    g_free(member->address);
    g_free(member);
}

static void
free_owners(gpointer data)
{
    fleet_owners_t *owners = data;
    g_array_unref(owners->scores);
    g_ptr_array_unref(owners->members);
    g_free(owners);
}

fleet_t *
fleet_new(void)
{
    fleet_t *fleet = g_new0(fleet_t, 1);
    fleet->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_member);
    fleet->active = g_ptr_array_new();
    fleet->zones = g_ptr_array_new();
    fleet->zone_sizes = g_array_new(FALSE, TRUE, sizeof(guint));
    fleet->owners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_owners);
    fleet->max_workers = 1;
    return fleet;
}

void
fleet_free(fleet_t *fleet)
{
    g_hash_table_unref(fleet->owners);
    g_array_unref(fleet->zone_sizes);
    g_ptr_array_unref(fleet->zones);
    g_ptr_array_unref(fleet->active);
    g_hash_table_unref(fleet->members);
    g_free(fleet);
}

uint32_t
fleet_counted(const fleet_t *fleet)
{
    return fleet->counted;
}

uint32_t
fleet_size(const fleet_t *fleet)
{
    return fleet->active->len;
}

uint32_t
fleet_max_weight(const fleet_t *fleet)
{
    uint32_t most = 0;
    for (guint i = 0; i < fleet->active->len; i++) {
        most = MAX(most, ((const fleet_member_t *)g_ptr_array_index(fleet->active, i))->weight);
    }
    return most;
}

uint64_t
fleet_version(const fleet_t *fleet)
{
    return fleet->version;
}

GHashTable *
fleet_members(const fleet_t *fleet)
{
    return fleet->members;
}

static void
invalidate_owners(fleet_t *fleet)
{
    fleet->valid_from = ++fleet->generation;
}

static void
note_change(fleet_t *fleet, fleet_member_t *member, uint64_t version)
{
    fleet->changes[fleet->generation % CHANGES_KEPT] = member;
    fleet->generation++;
    member->version = version;
    fleet->version = MAX(fleet->version, version);
}

static guint
zone_index(fleet_t *fleet, const char *zone)
{
    guint index = 0;
    if (g_ptr_array_find(fleet->zones, zone, &index)) {
        return index;
    }
    guint none = 0;
    g_ptr_array_add(fleet->zones, (gpointer)zone);
    g_array_append_val(fleet->zone_sizes, none);
    return fleet->zones->len - 1;
}

/* The number of owners of each group depends on the number of zones with members. */
static void
count_in_zone(fleet_t *fleet, guint index, int change)
{
    guint *size = &g_array_index(fleet->zone_sizes, guint, index);
    guint before = *size;
    *size = (guint)((int)before + change);
    if ((before == 0) != (*size == 0)) {
        invalidate_owners(fleet);
    }
}

static void
find_workers_most(fleet_t *fleet)
{
    uint32_t most = 1;
    for (guint i = 0; i < fleet->active->len; i++) {
        most = MAX(most, ((const fleet_member_t *)g_ptr_array_index(fleet->active, i))->workers);
    }
    if (most != fleet->max_workers) {
        fleet->max_workers = most;
        invalidate_owners(fleet);
    }
}

static void
deactivate(fleet_t *fleet, fleet_member_t *member)
{
    g_ptr_array_remove_fast(fleet->active, member);
    member->gone = true;
    count_in_zone(fleet, member->zone_index, -1);
}

bool
fleet_join(fleet_t *fleet, const char *address, const char *zone, uint32_t workers, uint32_t weight,
           uint64_t version)
{
    fleet_member_t *member = g_hash_table_lookup(fleet->members, address);
    const char *interned = g_intern_string(zone);
    bool same = member != NULL && !member->gone && member->zone == interned &&
                member->workers == workers && member->weight == weight;
    if (same) {
        member->confirmed = MAX(member->confirmed, version);
        return false;
    }
    if (member == NULL) {
        member = g_new0(fleet_member_t, 1);
        member->address = g_strdup(address);
        member->address_length = strlen(address);
        g_hash_table_insert(fleet->members, member->address, member);
    } else if (!member->gone) {
        deactivate(fleet, member);
        invalidate_owners(fleet);
    }
    member->entering = member->entering || (member->gone ? !member->away : member->version == 0);
    member->away = false;
    member->zone = interned;
    member->zone_index = zone_index(fleet, interned);
    member->workers = workers;
    member->weight = MAX(weight, 1);
    member->gone = false;
    member->confirmed = version;
    g_ptr_array_add(fleet->active, member);
    count_in_zone(fleet, member->zone_index, 1);
    note_change(fleet, member, version);
    find_workers_most(fleet);
    return true;
}

bool
fleet_leave(fleet_t *fleet, const char *address, uint64_t version)
{
    fleet_member_t *member = g_hash_table_lookup(fleet->members, address);
    if (member == NULL || member->gone) {
        return false;
    }
    deactivate(fleet, member);
    member->away = true;
    note_change(fleet, member, version);
    find_workers_most(fleet);
    return true;
}

bool
fleet_set_counting(fleet_t *fleet, const char *address, bool away, bool entering, uint64_t version)
{
    fleet_member_t *member = g_hash_table_lookup(fleet->members, address);
    if (member == NULL) {
        return false;
    }
    member->confirmed = MAX(member->confirmed, version);
    if (member->away == away && member->entering == entering) {
        return false;
    }
    member->away = away;
    member->entering = entering;
    note_change(fleet, member, version);
    return true;
}

uint64_t
fleet_generation(const fleet_t *fleet)
{
    return fleet->generation;
}

void
fleet_leave_older(fleet_t *fleet, uint64_t version)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet->members);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const fleet_member_t *member = value;
        if (member->confirmed < version) {
            fleet_leave(fleet, member->address, version);
            fleet_set_counting(fleet, member->address, false, member->entering, version);
        }
    }
}

void
fleet_set_counted(fleet_t *fleet, uint32_t counted, uint64_t version)
{
    if (fleet->counted != counted) {
        fleet->counted = counted;
        fleet->version = MAX(fleet->version, version);
    }
}

void
fleet_note_version(fleet_t *fleet, uint64_t version)
{
    fleet->version = MAX(fleet->version, version);
}

/* Pseudo-random number of the member for a group, above 0 and below 1. */
static double
member_draw(const fleet_member_t *member, uint64_t seed)
{
    uint64_t hash = XXH3_64bits_withSeed(member->address, member->address_length, seed);
    return ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
}

/* Weighted rendezvous hashing: the highest score wins, with probability proportional to the weight.
 */
static double
draw_score(const fleet_member_t *member, double draw)
{
    return -(double)member->weight / log(draw);
}

static double
member_score(const fleet_member_t *member, uint64_t seed)
{
    return draw_score(member, member_draw(member, seed));
}

/* Whether the member's score may be this high, without computing the logarithm: -log(x) is at least
 * 1 - x. A starting pooler ranks all members for all groups, and hardly any of them is chosen. */
static bool
may_exceed(const fleet_member_t *member, double draw, double score)
{
    return (double)member->weight >= score * (1 - draw);
}

static bool
is_better(const candidate_t *a, const candidate_t *b)
{
    if (a->score != b->score) {
        return a->score > b->score;
    }
    return strcmp(a->member->address, b->member->address) < 0;
}

/* Inserts the candidate in order into the `most` best ones; the one that no longer fits is dropped.
 */
static void
insert_ranked(candidate_t *best, guint *count, guint most, const candidate_t *candidate)
{
    guint place = *count;
    while (place > 0 && is_better(candidate, &best[place - 1])) {
        place--;
    }
    if (place >= most) {
        return;
    }
    *count = MIN(*count + 1, most);
    for (guint i = *count - 1; i > place; i--) {
        best[i] = best[i - 1];
    }
    best[place] = *candidate;
}

static guint
count_zones(const fleet_t *fleet)
{
    guint count = 0;
    for (guint i = 0; i < fleet->zone_sizes->len; i++) {
        count += g_array_index(fleet->zone_sizes, guint, i) > 0;
    }
    return count;
}

/* The same number in all zones, if there may be more owners than zones. */
static guint
count_owners(const fleet_t *fleet, uint32_t capacity)
{
    guint zones = count_zones(fleet);
    guint count = CLAMP(capacity / OWNER_CONNECTIONS, OWNERS_MIN, OWNERS_MAX);
    return zones > 0 && count > zones ? count - count % zones : count;
}

/* The best members of each zone and their number. */
typedef struct ranking {
    guint zones;
    guint depth; /* maximum number for each zone */
    candidate_t *best;
    guint *counts;
} ranking_t;

/* The number of members of each zone that gives `count` owners; more only if some zone has fewer
 * members than that. */
static guint
find_depth(const fleet_t *fleet, guint count)
{
    guint zones = MAX(count_zones(fleet), 1);
    guint depth = (count + zones - 1) / zones;
    for (guint i = 0; i < fleet->zone_sizes->len; i++) {
        guint size = g_array_index(fleet->zone_sizes, guint, i);
        if (size > 0 && size < depth) {
            return OWNERS_MAX;
        }
    }
    return depth;
}

static void
rank(const fleet_t *fleet, uint64_t seed, guint depth, ranking_t *out)
{
    out->zones = fleet->zones->len;
    out->depth = depth;
    out->best = g_new(candidate_t, (gsize)out->zones * depth);
    out->counts = g_new0(guint, out->zones);
    for (guint i = 0; i < fleet->active->len; i++) {
        fleet_member_t *member = g_ptr_array_index(fleet->active, i);
        double draw = member_draw(member, seed);
        guint zone = member->zone_index;
        candidate_t *best = &out->best[(gsize)zone * depth];
        if (out->counts[zone] == depth && !may_exceed(member, draw, best[depth - 1].score)) {
            continue;
        }
        const candidate_t candidate = {member, draw_score(member, draw)};
        insert_ranked(best, &out->counts[zone], depth, &candidate);
    }
}

/* Appends the members at one place of all zones' rankings, the best first. */
static void
add_rank(const ranking_t *ranking, guint place, guint count, GPtrArray *out)
{
    candidate_t *row = g_new(candidate_t, ranking->zones);
    guint length = 0;
    for (guint zone = 0; zone < ranking->zones; zone++) {
        if (place < ranking->counts[zone]) {
            insert_ranked(row, &length, ranking->zones,
                          &ranking->best[(gsize)zone * ranking->depth + place]);
        }
    }
    for (guint i = 0; i < length && out->len < count; i++) {
        g_ptr_array_add(out, row[i].member);
    }
    g_free(row);
}

/* The best member of each zone first, then the second best of each, and so on. */
static void
choose(const fleet_t *fleet, uint64_t seed, guint count, GPtrArray *out)
{
    ranking_t ranking;
    rank(fleet, seed, find_depth(fleet, count), &ranking);
    g_ptr_array_set_size(out, 0);
    for (guint place = 0; place < ranking.depth && out->len < count; place++) {
        add_rank(&ranking, place, count, out);
    }
    g_free(ranking.best);
    g_free(ranking.counts);
}

/* Kept for affects_owners(). */
static void
note_scores(fleet_owners_t *owners)
{
    g_array_set_size(owners->scores, 0);
    for (guint i = 0; i < owners->members->len; i++) {
        double score = member_score(g_ptr_array_index(owners->members, i), owners->seed);
        g_array_append_val(owners->scores, score);
    }
}

static bool
is_same(const GPtrArray *a, const GPtrArray *b)
{
    bool same = a->len == b->len;
    for (guint i = 0; same && i < a->len; i++) {
        same = g_ptr_array_index(a, i) == g_ptr_array_index(b, i);
    }
    return same;
}

/* Connections to a database that poolers share. */
static uint32_t
usable_connections(uint32_t max_connections)
{
    return max_connections > CONNECTIONS_SPARE ? max_connections - CONNECTIONS_SPARE : 1;
}

static bool
is_direct(const fleet_t *fleet, uint32_t max_connections)
{
    uint32_t shares = MAX(fleet->counted, 1) * fleet->max_workers;
    return usable_connections(max_connections) / shares >= DIRECT_MIN;
}

static void
decide(fleet_t *fleet, fleet_owners_t *owners)
{
    uint32_t capacity = usable_connections(owners->max_connections);
    bool direct = is_direct(fleet, owners->max_connections);
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    uint32_t connections = 0;
    if (!direct) {
        owners->target = count_owners(fleet, capacity);
        choose(fleet, owners->seed, owners->target, members);
        connections = MAX(capacity / ((members->len + 1) * fleet->max_workers), 1);
    }
    bool same = owners->revision != 0 && owners->direct == direct &&
                owners->connections == connections && is_same(owners->members, members);
    if (same) {
        return;
    }
    g_ptr_array_unref(owners->members);
    owners->members = g_steal_pointer(&members);
    note_scores(owners);
    owners->direct = direct;
    owners->connections = connections;
    owners->revision = ++fleet->revisions;
}

/* True if the change of this member may change the group's owners. */
static bool
affects_owners(const fleet_t *fleet, const fleet_owners_t *owners, const fleet_member_t *changed)
{
    if (owners->direct) {
        return false;
    }
    if (changed->gone) {
        return g_ptr_array_find(owners->members, changed, NULL);
    }
    guint in_zone = 0;
    const candidate_t joined = {(fleet_member_t *)changed, member_score(changed, owners->seed)};
    for (guint i = 0; i < owners->members->len; i++) {
        fleet_member_t *member = g_ptr_array_index(owners->members, i);
        const candidate_t owner = {member, g_array_index(owners->scores, double, i)};
        in_zone += member->zone_index == changed->zone_index;
        if (member->zone_index == changed->zone_index && is_better(&joined, &owner)) {
            return true;
        }
    }
    /* Also if its zone has fewer owners than the others. */
    return in_zone * count_zones(fleet) < owners->members->len ||
           owners->members->len < owners->target;
}

static bool
is_current(const fleet_t *fleet, const fleet_owners_t *owners)
{
    guint missed = fleet->generation - owners->generation;
    bool known =
        owners->revision != 0 && owners->generation >= fleet->valid_from && missed <= CHANGES_KEPT;
    if (!known || owners->direct != is_direct(fleet, owners->max_connections)) {
        return false;
    }
    for (guint i = owners->generation; i != fleet->generation; i++) {
        if (affects_owners(fleet, owners, fleet->changes[i % CHANGES_KEPT])) {
            return false;
        }
    }
    return true;
}

const fleet_owners_t *
fleet_owners(fleet_t *fleet, const char *service, uint32_t max_connections)
{
    fleet_owners_t *owners = g_hash_table_lookup(fleet->owners, service);
    if (fleet->active->len == 0) {
        return NULL;
    }
    if (owners == NULL) {
        owners = g_new0(fleet_owners_t, 1);
        owners->members = g_ptr_array_new();
        owners->scores = g_array_new(FALSE, FALSE, sizeof(double));
        owners->seed = XXH3_64bits(service, strlen(service));
        g_hash_table_insert(fleet->owners, g_strdup(service), owners);
    }
    if (owners->max_connections != max_connections || !is_current(fleet, owners)) {
        owners->max_connections = max_connections;
        decide(fleet, owners);
    }
    owners->generation = fleet->generation;
    return owners;
}

uint32_t
fleet_owners_share(const fleet_t *fleet, const fleet_owners_t *owners, const char *zone,
                   bool same_zone)
{
    const char *interned = g_intern_string(zone);
    guint parts = 0;
    for (guint i = 0; i < owners->members->len; i++) {
        const fleet_member_t *member = g_ptr_array_index(owners->members, i);
        parts += member->zone == interned ? SAME_ZONE_PARTS : 1;
    }
    /* One more owner is counted, as one that has left may still hold connections. */
    uint32_t capacity = usable_connections(owners->max_connections) / fleet->max_workers;
    uint32_t share = capacity * (same_zone ? SAME_ZONE_PARTS : 1) / (parts + SAME_ZONE_PARTS);
    return MAX(share, 1);
}

bool
fleet_owners_include(const fleet_owners_t *owners, const char *address)
{
    for (guint i = 0; i < owners->members->len; i++) {
        const fleet_member_t *member = g_ptr_array_index(owners->members, i);
        if (g_str_equal(member->address, address)) {
            return true;
        }
    }
    return false;
}
