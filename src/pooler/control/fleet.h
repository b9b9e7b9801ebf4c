/**
 * @file
 * @brief The poolers that share the databases' connections, and which of them own those of each
 * group. A decision without sockets, clock or threads: members come in, owners go out.
 *
 * A database takes a bounded number of connections from all poolers together. While that is enough
 * for each of them, each holds some. Otherwise a few poolers own a group's connections, alike in
 * all zones, by weighted rendezvous hashing: a pooler that comes or goes moves few groups. All
 * others forward to them (forward.h).
 *
 * Every pooler works the owners out by itself, from the list of members alone. So a change of the
 * fleet costs a message of one member for each pooler, however many groups there are.
 */
#ifndef SW_POOLER_FLEET_H
#define SW_POOLER_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief A pooler that may own groups. Lives as long as its fleet. */
typedef struct fleet_member {
    char *address; /* where it takes forwarded statements */
    size_t address_length;
    const char *zone; /* interned */
    uint32_t workers; /* its threads that open connections */
    uint32_t weight;  /* twice the weight, twice the groups; above 0 */
    uint64_t version; /* of its last change */
    bool gone;
    bool away;     /* gone, and may come back: it keeps its place in counting operations */
    bool entering; /* has a place in counting operations, and does not count yet */
    /* Private. */
    uint64_t confirmed; /* newest version of which it was told that it is there */
    guint zone_index;
    /* For the coordinator: when it first saw the member's state of this version. */
    uint64_t seen_version;
    time_ns seen_at;
    time_ns row_stored_at; /* when the store's row was seen to hold that state; 0: not yet */
} fleet_member_t;

/** @brief Who holds the connections to one group's databases. */
typedef struct fleet_owners {
    uint64_t revision;    /* differs after each change of this group's owners */
    bool direct;          /* every pooler holds connections of its own; there are no owners */
    uint32_t connections; /* that each worker of an owner may open to one database */
    GPtrArray *members;   /* of fleet_member_t */
    /* Private. */
    GArray *scores; /* double, of each member here */
    uint64_t seed;
    guint generation;
    guint target; /* owners, if there are as many members */
    uint32_t max_connections;
} fleet_owners_t;

typedef struct fleet fleet_t;

fleet_t *fleet_new(void);
void fleet_free(fleet_t *fleet);

/** @brief Takes a member in, or takes over what has changed of it.
 *  @return true if anything has changed. */
bool fleet_join(fleet_t *fleet, const char *address, const char *zone, uint32_t workers,
                uint32_t weight, uint64_t version);

/** @brief Marks a member as gone. @return false if it was not there. */
bool fleet_leave(fleet_t *fleet, const char *address, uint64_t version);

/** @brief Sets a member's part in counting operations (rate/roster.h), as of `version`.
 *  @return true if anything has changed. */
bool fleet_set_counting(fleet_t *fleet, const char *address, bool away, bool entering,
                        uint64_t version);

/** @return a number that differs after each change of any member. */
uint64_t fleet_generation(const fleet_t *fleet);

/** @brief Takes all members out that no call has named as there in `version` or since. */
void fleet_leave_older(fleet_t *fleet, uint64_t version);

/** @brief Sets by how many poolers connections are shared, where every pooler holds some. */
void fleet_set_counted(fleet_t *fleet, uint32_t counted, uint64_t version);

/** @brief Notes that all up to this version is known, also if it changed no member. The next
 *  message tells only what has changed since this version. */
void fleet_note_version(fleet_t *fleet, uint64_t version);

/** @return by how many poolers connections are shared. */
uint32_t fleet_counted(const fleet_t *fleet);

/** @return how many poolers may own groups now. */
uint32_t fleet_size(const fleet_t *fleet);

/** @return the weight of the strongest member; 0 if there is none. */
uint32_t fleet_max_weight(const fleet_t *fleet);

/** @return the highest version of any change. */
uint64_t fleet_version(const fleet_t *fleet);

/** @return all members that ever were, address -> fleet_member_t. */
GHashTable *fleet_members(const fleet_t *fleet);

/** @return who owns the group's connections; NULL while the fleet has no members. Valid until the
 *  next call for the same group, and the fleet's end. */
const fleet_owners_t *fleet_owners(fleet_t *fleet, const char *service, uint32_t max_connections);

/** @brief Divides the connections to one database among a group's owners, where each tenant has its
 *  own: more to those in the database's zone, through which most statements reach it.
 *  @return how many each worker of an owner may open, `same_zone` for one of that zone. */
uint32_t fleet_owners_share(const fleet_t *fleet, const fleet_owners_t *owners, const char *zone,
                            bool same_zone);

/** @return true if the pooler at this address is one of them. */
bool fleet_owners_include(const fleet_owners_t *owners, const char *address);

#endif
