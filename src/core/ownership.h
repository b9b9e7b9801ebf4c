/* Owners of database groups. Each group has a few owner daemons that hold its connections and watch
 * it; all daemons work them out alike from the members, by rendezvous hashing: the highest ranked
 * member of each zone of the group that does not own twice the mean of its zone already. Where
 * zones are too few or empty, the next ranked of the group's zones, then of any. The result depends
 * on the members and groups only, not on how they came. See docs/design/ownership.md. */
#ifndef SW_CORE_OWNERSHIP_H
#define SW_CORE_OWNERSHIP_H

#include "core/membership.h"
#include "core/types.h"

#include <glib.h>

/* Owners of one group, at most. */
#define OWNERSHIP_OWNERS_MAX 9

/* A daemon that may own groups: alive and not leaving. */
struct ownership_member {
    uint64_t id;
    uint16_t zone;
};

/* Where the databases of a group are: each zone once. */
struct ownership_group {
    uint32_t group;
    uint32_t zone_count;
    uint16_t zones[GROUP_DATABASES_MAX];
};

struct ownership_options {
    uint32_t owners;        /* per group, at most OWNERSHIP_OWNERS_MAX */
    uint32_t all_own_up_to; /* with this many members or fewer, each owns every group */
};

/* A group whose owners changed, or which this daemon may now own. */
struct ownership_change {
    uint32_t group;
    int32_t position_before; /* of this daemon, see ownership_position */
    int32_t position;
    uint64_t removed; /* an owner that is none any more, or 0 */
};

/* Owners of all groups, kept up to date. One thread only: the control thread. */
struct ownership;

void ownership_options_default(struct ownership_options *options);

struct ownership *ownership_new(const struct ownership_options *options, uint64_t self_id);
void ownership_free(struct ownership *ownership);

/* Replaces the groups. Appends what changed to `changes` (struct ownership_change). */
void ownership_set_groups(struct ownership *ownership, const struct ownership_group *groups,
                          size_t count, GArray *changes);

/* Takes in what membership tells of a member: adds it while it is alive or suspect and not leaving,
 * else removes it. An absent one owns only where too few others are there to take its place.
 * Appends what changed to `changes`. */
void ownership_set_member(struct ownership *ownership, const struct member *member,
                          GArray *changes);

/* Removes a member that membership has forgotten. */
void ownership_remove_member(struct ownership *ownership, uint64_t id, GArray *changes);

/* Tells whether this daemon's view can be relied on: its member list is whole and a majority is in
 * reach. Until then, and while it can't, it takes no group that it does not own already; a fresh or
 * cut-off daemon would else think that it owns them all. Appends what changed to `changes`. */
void ownership_set_settled(struct ownership *ownership, bool settled, GArray *changes);

/* Owners of a group, into `owners` (room for OWNERSHIP_OWNERS_MAX). Returns how many; 0 if the
 * group is not known. */
size_t ownership_owners(const struct ownership *ownership, uint32_t group, uint64_t *owners);

/* Orders two owners of a group as a daemon that owns it not asks them to serve for it: negative if
 * `left` comes first. Those of its own zone come first; the others in an order of the daemon's own,
 * so that the daemons that ask share out over the owners. */
int ownership_compare_for(const struct ownership_member *self, const struct ownership_member *left,
                          const struct ownership_member *right);

/* This daemon's place among the group's owners if it may take it, see ownership_set_settled, or
 * -1. */
int32_t ownership_position(const struct ownership *ownership, uint32_t group);

/* Octets of memory held, and rank computations made so far. */
size_t ownership_memory(const struct ownership *ownership);
uint64_t ownership_ranks_computed(const struct ownership *ownership);

#endif
