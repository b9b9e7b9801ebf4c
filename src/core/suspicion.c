/* Zone votes and rendezvous ranks of a group's watchers. */
#include "core/suspicion.h"

#include <xxhash.h>

/* True if an earlier vote comes from the same zone, which has been counted with it. */
static bool zone_seen_before(const struct suspicion_vote *votes, size_t index)
{
    for (size_t i = 0; i < index; i++) {
        if (votes[i].zone == votes[index].zone) {
            return true;
        }
    }
    return false;
}

static void count_zone(const struct suspicion_vote *votes, size_t count, uint32_t zone,
                       size_t *watchers, size_t *suspecting)
{
    *watchers = 0;
    *suspecting = 0;
    for (size_t i = 0; i < count; i++) {
        if (votes[i].zone != zone) {
            continue;
        }
        *watchers += 1;
        if (votes[i].suspects) {
            *suspecting += 1;
        }
    }
}

bool suspicion_confirmed(const struct suspicion_vote *votes, size_t count)
{
    size_t zones = 0;
    size_t zones_suspecting = 0;
    bool only_zone_has_majority = false;

    for (size_t i = 0; i < count; i++) {
        size_t watchers;
        size_t suspecting;

        if (zone_seen_before(votes, i)) {
            continue;
        }
        count_zone(votes, count, votes[i].zone, &watchers, &suspecting);
        zones += 1;
        if (suspecting * 2 >= watchers) {
            zones_suspecting += 1;
        }
        only_zone_has_majority = suspecting * 2 > watchers;
    }
    if (zones == 0) {
        return false;
    }
    if (zones == 1) {
        return only_zone_has_majority;
    }
    return zones_suspecting >= zones / 2 + 1;
}

uint64_t suspicion_weight(uint32_t group, uint64_t term, uint64_t watcher)
{
    uint64_t key[3] = {group, term, watcher};

    return XXH64(key, sizeof(key), 0);
}

uint32_t suspicion_rank(uint32_t group, uint64_t term, uint64_t self, const uint64_t *others,
                        size_t count)
{
    uint64_t own = suspicion_weight(group, term, self);
    uint32_t rank = 0;

    for (size_t i = 0; i < count; i++) {
        if (others[i] != self && suspicion_weight(group, term, others[i]) < own) {
            rank += 1;
        }
    }
    return rank;
}
