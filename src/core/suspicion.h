/* Votes and ranks among the watchers of one group: whether enough of them suspect the primary, and
 * which of them acts first. Pure functions. Zones vote rather than watchers, so that the isolation
 * of one zone, however many watchers it has, never deposes a healthy primary. */
#ifndef SW_CORE_SUSPICION_H
#define SW_CORE_SUSPICION_H

#include "core/types.h"

/* Maximum number of watchers of one group. */
#define GROUP_WATCHERS_MAX 9

/* One watcher's vote on the current primary. */
struct suspicion_vote {
    uint32_t zone;
    bool suspects;
};

/* True if a majority of the zones that have watchers suspect the primary. A zone suspects it when
 * at least half of its watchers do. A single zone must have more than half; of two zones both must
 * agree. */
bool suspicion_confirmed(const struct suspicion_vote *votes, size_t count);

/* Rendezvous weight of a watcher for a group and term. The watcher with the lowest weight
 * coordinates first. */
uint64_t suspicion_weight(uint32_t group, uint64_t term, uint64_t watcher);

/* Number of others with a lower weight than `self`. */
uint32_t suspicion_rank(uint32_t group, uint64_t term, uint64_t self, const uint64_t *others,
                        size_t count);

#endif
