/* Votes and ranks among the watchers of one group: when a suspicion is shared widely enough to act
 * on, and who acts first. Pure functions. Zones vote rather than watchers, so that the isolation of
 * one zone, however many watchers it has, never deposes a healthy primary. */
#ifndef SW_CORE_SUSPICION_H
#define SW_CORE_SUSPICION_H

#include "core/types.h"

/* Watchers of one group, at most. */
#define GROUP_WATCHERS_MAX 9

/* One watcher's vote on the current primary. */
struct suspicion_vote {
    uint32_t zone;
    bool suspects;
};

/* True if a majority of the zones that have watchers suspect the primary. A zone suspects when at
 * least half of its watchers do. With one zone this is half of the watchers there, and more than
 * half when there are several; with two zones both must agree. */
bool suspicion_confirmed(const struct suspicion_vote *votes, size_t count);

/* Rendezvous weight of a watcher for a group and term; the lowest weight coordinates first. */
uint64_t suspicion_weight(uint32_t group, uint64_t term, uint64_t watcher);

/* Number of others that come before `self`: 0 for the first. */
uint32_t suspicion_rank(uint32_t group, uint64_t term, uint64_t self, const uint64_t *others,
                        size_t count);

#endif
