/**
 * @file
 * @brief The fleet: the poolers that share the connections to the databases, and which of them own
 * the connections of each group. No sockets, clock or threads: members are the input, owners the
 * output.
 *
 * A database accepts a bounded number of connections from all poolers together. If that is enough
 * for every pooler to hold some, each does. Otherwise a few poolers own a group's connections,
 * equally many in all zones, chosen by weighted rendezvous hashing, so that a pooler that joins or
 * leaves moves few groups. All other poolers forward statements to the owners (forward.h).
 *
 * Every pooler computes the owners itself from the list of members. So a change of the fleet costs
 * one message with one member per pooler, however many groups there are.
 */
#ifndef SW_POOLER_FLEET_H
#define SW_POOLER_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief A pooler that may own groups. Lives as long as its fleet. */
typedef struct fleet_member {
    char *address; /* where it accepts forwarded statements */
    size_t address_length;
    const char *zone; /* interned */
    uint32_t workers; /* number of threads that open connections */
    uint32_t weight;  /* proportional to the number of groups it owns; above 0 */
    uint64_t version; /* of its last change */
    bool gone;
    bool away;     /* absent, and may come back: it keeps its place in counting operations */
    bool entering; /* has a place in counting operations, and does not count yet */
    /* Private. */
    uint64_t confirmed; /* newest version of the fleet that named it as a member */
    guint zone_index;
    /* For the coordinator: when it first saw the member's state of this version. */
    uint64_t seen_version;
    time_ns seen_at;
    time_ns row_stored_at; /* when the store's row was seen to hold that state; 0: not yet */
} fleet_member_t;

/** @brief The poolers that hold the connections to one group's databases. */
typedef struct fleet_owners {
    uint64_t revision;    /* differs after each change of this group's owners */
    bool direct;          /* every pooler holds connections of its own; there are no owners */
    uint32_t connections; /* that each worker of an owner may open to one database */
    GPtrArray *members;   /* of fleet_member_t */
    /* Private. */
    GArray *scores; /* of double, one for each member */
    uint64_t seed;
    guint generation;
    guint target; /* number of owners, if there are enough members */
    uint32_t max_connections;
} fleet_owners_t;

typedef struct fleet fleet_t;

fleet_t *fleet_new(void);
void fleet_free(fleet_t *fleet);

/** @brief Adds a member, or updates it.
 * @return true if anything has changed. */
bool fleet_join(fleet_t *fleet, const char *address, const char *zone, uint32_t workers,
                uint32_t weight, uint64_t version);

/** @brief Marks a member as gone.
 * @return false if it was not a member. */
bool fleet_leave(fleet_t *fleet, const char *address, uint64_t version);

/** @brief Sets a member's state in counting operations (rate/roster.h), as of `version`.
 * @return true if anything has changed. */
bool fleet_set_counting(fleet_t *fleet, const char *address, bool away, bool entering,
                        uint64_t version);

/** @return a number that differs after each change of any member. */
uint64_t fleet_generation(const fleet_t *fleet);

/** @brief Removes all members that were not named in `version` or later. */
void fleet_leave_older(fleet_t *fleet, uint64_t version);

/** @brief Sets the number of poolers by which connections are divided where every pooler holds
 * some. */
void fleet_set_counted(fleet_t *fleet, uint32_t counted, uint64_t version);

/** @brief Notes that the fleet is known up to this version, even if that changed no member. The
 * next message contains only changes after it. */
void fleet_note_version(fleet_t *fleet, uint64_t version);

/** @return the number of poolers by which connections are divided. */
uint32_t fleet_counted(const fleet_t *fleet);

/** @return the number of poolers that may own groups now. */
uint32_t fleet_size(const fleet_t *fleet);

/** @return the highest weight of a member; 0 if there is none. */
uint32_t fleet_max_weight(const fleet_t *fleet);

/** @return the highest version of any change. */
uint64_t fleet_version(const fleet_t *fleet);

/** @return all present and former members, address -> fleet_member_t. */
GHashTable *fleet_members(const fleet_t *fleet);

/** @return the owners of the group's connections; NULL while the fleet has no members. Valid until
 * the next call for the same group, or until the fleet is freed. */
const fleet_owners_t *fleet_owners(fleet_t *fleet, const char *service, uint32_t max_connections);

/** @brief Divides the connections to one database among a group's owners, where each tenant has
 * connections of its own. Owners in the database's zone get more, as most statements reach it
 * through them.
 * @return how many each worker of an owner may open; `same_zone`: the owner is in the database's
 * zone. */
uint32_t fleet_owners_share(const fleet_t *fleet, const fleet_owners_t *owners, const char *zone,
                            bool same_zone);

/** @return true if the pooler at this address is one of the owners. */
bool fleet_owners_include(const fleet_owners_t *owners, const char *address);

#endif
