/* Owners of database groups. Each group has a few owner daemons that hold its connections and
 * monitor it. All daemons compute the same owners from the members, by rendezvous hashing: from
 * each zone of the group, the highest ranked member that does not already own twice the mean of its
 * zone. Where zones are too few or empty, the next ranked of the group's zones, then of any zone.
 * The result depends on the members and groups only, not on the order in which they became known.
 * See docs/design/ownership.md. */
#ifndef SW_CORE_OWNERSHIP_H
#define SW_CORE_OWNERSHIP_H

#include "core/membership.h"
#include "core/types.h"

#include <glib.h>

/* Maximum number of owners of one group. */
#define OWNERSHIP_OWNERS_MAX 9

/* A daemon that may own groups: alive and not leaving. */
struct ownership_member {
    uint64_t id;
    uint16_t zone;
};

/* The zones of a group's databases, each once. */
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
    int32_t position_before; /* of this daemon, see ownership_position() */
    int32_t position;
    uint64_t removed; /* a former owner, or 0 */
};

/* Current owners of all groups. Used by one thread only, the control thread. */
struct ownership;

void ownership_options_default(struct ownership_options *options);

struct ownership *ownership_new(const struct ownership_options *options, uint64_t self_id);
void ownership_free(struct ownership *ownership);

/* Replaces the groups. Appends the changes to `changes` (struct ownership_change). */
void ownership_set_groups(struct ownership *ownership, const struct ownership_group *groups,
                          size_t count, GArray *changes);

/* Applies a change of membership: the member may own groups while it is alive or suspect and not
 * leaving. An absent one owns groups only where too few others could replace it. Appends the
 * changes to `changes`. */
void ownership_set_member(struct ownership *ownership, const struct member *member,
                          GArray *changes);

/* Removes a member that is no longer in the membership. */
void ownership_remove_member(struct ownership *ownership, uint64_t id, GArray *changes);

/* Sets whether this daemon's view is reliable: its member list is complete and a majority is
 * reachable. While it is not, this daemon becomes owner of no further groups; a new or partitioned
 * daemon would otherwise take itself for the owner of all. Appends the changes to `changes`. */
void ownership_set_settled(struct ownership *ownership, bool settled, GArray *changes);

/* Copies the owners of a group to `owners` (capacity OWNERSHIP_OWNERS_MAX). Returns their number; 0
 * if the group is unknown. */
size_t ownership_owners(const struct ownership *ownership, uint32_t group, uint64_t *owners);

/* Orders two owners of a group by the preference of a daemon `self` that is none and sends its
 * requests to them: negative if `left` comes first. Owners in its own zone come first. The others
 * come in an order that differs by daemon, so that the daemons spread over the owners. */
int ownership_compare_for(const struct ownership_member *self, const struct ownership_member *left,
                          const struct ownership_member *right);

/* This daemon's index among the group's owners, or -1 if it is none or may not become one now, see
 * ownership_set_settled(). */
int32_t ownership_position(const struct ownership *ownership, uint32_t group);

/* Memory in use in bytes, and rank computations since creation. */
size_t ownership_memory(const struct ownership *ownership);
uint64_t ownership_ranks_computed(const struct ownership *ownership);

#endif
