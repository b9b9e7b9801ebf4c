/**
 * @file
 * @brief To which owner of its group a statement is forwarded: near ones first, then the one that
 * has connections of the statement's tenant, then the one with the least to do.
 */
#include "pooler/forwarding/forward_internal.h"

#include "pooler/client/session_internal.h"

#include <string.h>
#include <xxhash.h>

/** Owners in other zones are tried where none of this zone has given a sign for so long: some
 *  times the way there and back. */
#define NEAR_FIRST_NS (50 * NANOSECONDS_PER_MILLISECOND)

/** A tenant's owner is passed over where another one has so many statements from here less: below
 *  OTHER_ZONE_COST, so that a statement leaves its zone for load alone. */
#define TENANT_COST 6

/** An owner in another zone is taken where the near ones have so many statements more. */
#define OTHER_ZONE_COST 12

/** @brief An owner that a statement may go to. */
typedef struct candidate {
    link_t *link; /* NULL: none */
    uint32_t cost;
    uint64_t rank; /* of the owner for the tenant: the same at all poolers */
} candidate_t;

static bool
is_usable(const link_t *link, time_ns now)
{
    return !link->doubted && now >= link->avoid_until;
}

/** @brief What a statement looks for in an owner. */
typedef struct wish {
    const char *tenant; /* NULL: any owner serves it as well as another */
    const char *zone;   /* near which it is best served; NULL: this pooler's */
} wish_t;

static bool
is_near(const struct group *group, guint place, const wish_t *wish)
{
    const link_t *link = g_ptr_array_index(group->links, place);
    return wish->zone == NULL ? place < group->links_same_zone : link->zone == wish->zone;
}

/* Where only the primary can serve a statement, its zone has to be reached in any case: there the
 * owners hold most of the connections to it. */
static wish_t
wish_of(const struct session *session)
{
    const struct group *group = session->route.group;
    bool keyed = session->worker->has_tenants && session->tenant != access_public_tenant();
    wish_t wish = {keyed ? session->tenant : NULL,
                   group->primary == NULL ? NULL : group->primary->zone};
    bool zoned = wish.zone != NULL && session->worker->has_tenants && router_needs_primary(session);
    for (guint i = 0; zoned && i < group->links->len; i++) {
        if (is_near(group, i, &wish)) {
            return wish;
        }
    }
    wish.zone = NULL;
    return wish;
}

/* Statements from here under way there, near ones by preference. */
static uint32_t
cost_of(const struct group *group, guint place, const wish_t *wish)
{
    const link_t *link = g_ptr_array_index(group->links, place);
    return link->running + (is_near(group, place, wish) ? 0 : OTHER_ZONE_COST);
}

static uint32_t
least_cost(const struct group *group, const wish_t *wish, time_ns now)
{
    uint32_t least = UINT32_MAX;
    for (guint i = 0; i < group->links->len; i++) {
        if (is_usable(g_ptr_array_index(group->links, i), now)) {
            least = MIN(least, cost_of(group, i, wish));
        }
    }
    return least;
}

static uint64_t
rank_for(const char *tenant, const char *address)
{
    return XXH3_64bits_withSeed(address, strlen(address), XXH3_64bits(tenant, strlen(tenant)));
}

/* The highest rank wins. Without a tenant that is the first of the list, which begins with another
 * owner at each pooler. */
static uint64_t
rank_of(const struct group *group, guint place, const wish_t *wish)
{
    const link_t *link = g_ptr_array_index(group->links, place);
    return wish->tenant == NULL ? UINT64_MAX - place : rank_for(wish->tenant, link->text);
}

/* The owner that the tenant's statements of this zone go to, so that they meet connections that are
 * open for it; another one where that has much more to do than the least busy. */
static link_t *
choose_reachable(const struct group *group, const wish_t *wish, time_ns now, uint32_t *best_cost)
{
    candidate_t best = {0};
    uint32_t least = least_cost(group, wish, now);
    uint32_t most = wish->tenant == NULL ? least : least + TENANT_COST;
    for (guint i = 0; i < group->links->len; i++) {
        link_t *link = g_ptr_array_index(group->links, i);
        const candidate_t candidate = {link, cost_of(group, i, wish), rank_of(group, i, wish)};
        bool taken = is_usable(link, now) && candidate.cost <= most;
        if (taken && (best.link == NULL || candidate.rank > best.rank)) {
            best = candidate;
        }
    }
    *best_cost = best.cost;
    return best.link;
}

/* Links are opened as they are needed: every pooler connected to every owner would be machines
 * squared. Those of other zones only where the near ones are lost, or have much to do. */
link_t *
owner_choose(const struct session *session, time_ns now)
{
    struct group *group = session->route.group;
    const wish_t found = wish_of(session);
    const wish_t *wish = &found;
    uint32_t cost = 0;
    link_t *best = choose_reachable(group, wish, now, &cost);
    bool forwards = router_forwards(group);
    if (best != NULL || !forwards) {
        group->unreachable_since = 0;
    } else if (group->unreachable_since == 0) {
        group->unreachable_since = now;
    }
    bool waited = best == NULL && forwards && now >= group->unreachable_since + NEAR_FIRST_NS;
    bool lonely = wish->zone == NULL && group->links_same_zone == 0 && forwards;
    bool far_too = waited || lonely || (best != NULL && cost >= OTHER_ZONE_COST);
    for (guint i = 0; i < group->links->len; i++) {
        link_t *link = g_ptr_array_index(group->links, i);
        if (link->doubted && (far_too || is_near(group, i, wish))) {
            link_try_again(link, now);
        }
    }
    return best;
}

/* An owner leaves statements of its own clients to the tenant's owner too, if that is another one,
 * as that one has the tenant's connections: an owner of this zone for what any database may serve,
 * one in the primary's zone for what only the primary may. This pooler may have only one connection
 * to a database of another zone, which tenants would take from each other. */
link_t *
owner_choose_elsewhere(const struct session *session, time_ns now)
{
    const struct group *group = session->route.group;
    bool owns = group->own_address != NULL && session->forwarded.caller == NULL;
    const wish_t wish = owns ? wish_of(session) : (wish_t){0};
    link_t *best = wish.tenant == NULL ? NULL : owner_choose(session, now);
    guint place = 0;
    if (best == NULL || !g_ptr_array_find(group->links, best, &place) ||
        !is_near(group, place, &wish)) {
        return NULL;
    }
    bool near_here = wish.zone == NULL || group->primary->same_zone;
    bool ranks_here = rank_for(wish.tenant, group->own_address) > rank_of(group, place, &wish);
    return near_here && ranks_here ? NULL : best;
}
