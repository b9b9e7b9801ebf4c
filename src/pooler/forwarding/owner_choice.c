/**
 * @file
 * @brief Choice of the owner that a statement is forwarded to: preferably one of the near zone,
 * that already has connections of the statement's tenant, and that is not much busier than the
 * others.
 */
#include "pooler/forwarding/forward_internal.h"

#include "pooler/client/session_internal.h"

#include <string.h>
#include <xxhash.h>

/** Owners in other zones are tried after none of the near zone could be reached for this time: a
 * few round trips. */
#define OTHER_ZONE_DELAY_NS (50 * NANOSECONDS_PER_MILLISECOND)

/** The tenant's preferred owner is not used if it has this many statements of this worker more in
 * progress than the least busy one. Below OTHER_ZONE_COST, so that tenant affinity alone never
 * sends a statement to another zone. */
#define TENANT_COST 6

/** An owner in another zone is used if the near ones have this many statements of this worker more
 * in progress. */
#define OTHER_ZONE_COST 12

/** @brief An owner that a statement may be sent to. */
typedef struct candidate {
    link_t *link; /* NULL: none */
    uint32_t cost;
    uint64_t rank; /* of the owner for the tenant, equal at all poolers; the highest is preferred */
} candidate_t;

static bool
is_usable(const link_t *link, time_ns now)
{
    return !link->unconfirmed && now >= link->avoid_until;
}

/** @brief Which owners a statement prefers. */
typedef struct owner_preference {
    const char *tenant; /* tenant whose preferred owner is used; NULL: no preference */
    const char *zone;   /* zone of the near owners; NULL: this pooler's zone */
} owner_preference_t;

static bool
is_near(const struct group *group, guint index, const owner_preference_t *preference)
{
    const link_t *link = g_ptr_array_index(group->links, index);
    return preference->zone == NULL ? index < group->links_same_zone
                                    : link->zone == preference->zone;
}

/* A statement that only the primary can serve prefers owners in the primary's zone: it has to go to
 * that zone anyway, and the owners there hold most of the connections to the primary. */
static owner_preference_t
preference_of(const struct session *session)
{
    const struct group *group = session->route.group;
    bool keyed = session->worker->has_tenants && session->tenant != access_public_tenant();
    owner_preference_t preference = {keyed ? session->tenant : NULL,
                                     group->primary == NULL ? NULL : group->primary->zone};
    bool zoned =
        preference.zone != NULL && session->worker->has_tenants && router_needs_primary(session);
    for (guint i = 0; zoned && i < group->links->len; i++) {
        if (is_near(group, i, &preference)) {
            return preference;
        }
    }
    preference.zone = NULL;
    return preference;
}

/* Statements of this worker in progress at the owner, plus OTHER_ZONE_COST unless it is near. */
static uint32_t
cost_of(const struct group *group, guint index, const owner_preference_t *preference)
{
    const link_t *link = g_ptr_array_index(group->links, index);
    return link->running + (is_near(group, index, preference) ? 0 : OTHER_ZONE_COST);
}

static uint32_t
least_cost(const struct group *group, const owner_preference_t *preference, time_ns now)
{
    uint32_t least = UINT32_MAX;
    for (guint i = 0; i < group->links->len; i++) {
        if (is_usable(g_ptr_array_index(group->links, i), now)) {
            least = MIN(least, cost_of(group, i, preference));
        }
    }
    return least;
}

static uint64_t
rank_for(const char *tenant, const char *address)
{
    return XXH3_64bits_withSeed(address, strlen(address), XXH3_64bits(tenant, strlen(tenant)));
}

/* The highest rank is preferred. Without a tenant that is the first owner of the list, whose order
 * differs between poolers. */
static uint64_t
rank_of(const struct group *group, guint index, const owner_preference_t *preference)
{
    const link_t *link = g_ptr_array_index(group->links, index);
    return preference->tenant == NULL ? UINT64_MAX - index
                                      : rank_for(preference->tenant, link->text);
}

/* The reachable owner with the highest rank for the tenant, so that the tenant's statements find
 * connections open for it, among those that cost at most TENANT_COST more than the cheapest. */
static link_t *
choose_reachable(const struct group *group, const owner_preference_t *preference, time_ns now,
                 uint32_t *best_cost)
{
    candidate_t best = {0};
    uint32_t least = least_cost(group, preference, now);
    uint32_t most = preference->tenant == NULL ? least : least + TENANT_COST;
    for (guint i = 0; i < group->links->len; i++) {
        link_t *link = g_ptr_array_index(group->links, i);
        const candidate_t candidate = {link, cost_of(group, i, preference),
                                       rank_of(group, i, preference)};
        bool taken = is_usable(link, now) && candidate.cost <= most;
        if (taken && (best.link == NULL || candidate.rank > best.rank)) {
            best = candidate;
        }
    }
    *best_cost = best.cost;
    return best.link;
}

/* Links are connected only when needed: connecting every pooler to every owner would make the
 * number of connections quadratic in the number of poolers. Links to other zones are connected only
 * if the near owners are unreachable or busy. */
link_t *
owner_choose(const struct session *session, time_ns now)
{
    struct group *group = session->route.group;
    const owner_preference_t found = preference_of(session);
    const owner_preference_t *preference = &found;
    uint32_t cost = 0;
    link_t *best = choose_reachable(group, preference, now, &cost);
    bool forwards = router_forwards(group);
    if (best != NULL || !forwards) {
        group->unreachable_since = 0;
    } else if (group->unreachable_since == 0) {
        group->unreachable_since = now;
    }
    bool delay_over =
        best == NULL && forwards && now >= group->unreachable_since + OTHER_ZONE_DELAY_NS;
    bool no_near_owner = preference->zone == NULL && group->links_same_zone == 0 && forwards;
    bool other_zones = delay_over || no_near_owner || (best != NULL && cost >= OTHER_ZONE_COST);
    for (guint i = 0; i < group->links->len; i++) {
        link_t *link = g_ptr_array_index(group->links, i);
        if (link->unconfirmed && (other_zones || is_near(group, i, preference))) {
            link_reconnect(link, now);
        }
    }
    return best;
}

/* An owner, too, forwards statements of its own clients to the tenant's preferred owner, which has
 * the tenant's connections: to one of this zone if any database may serve the statement, to one in
 * the primary's zone if only the primary may. This pooler may be allowed only one connection to a
 * database of another zone, which tenants would keep replacing. */
link_t *
owner_choose_elsewhere(const struct session *session, time_ns now)
{
    const struct group *group = session->route.group;
    bool owns = group->own_address != NULL && session->forwarded.caller == NULL;
    const owner_preference_t preference = owns ? preference_of(session) : (owner_preference_t){0};
    link_t *best = preference.tenant == NULL ? NULL : owner_choose(session, now);
    guint index = 0;
    if (best == NULL || !g_ptr_array_find(group->links, best, &index) ||
        !is_near(group, index, &preference)) {
        return NULL;
    }
    bool zone_is_own = preference.zone == NULL || group->primary->same_zone;
    bool ranks_first =
        rank_for(preference.tenant, group->own_address) > rank_of(group, index, &preference);
    return zone_is_own && ranks_first ? NULL : best;
}
