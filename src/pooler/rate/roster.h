/**
 * @file
 * @brief Which poolers count the operations of each tenant. Pure: members come in, places go out.
 *
 * A tenant's limit holds over all poolers together, cut off or not. It is divided into shares of
 * equal size, once and for all. Each share is counted by one pooler at a time, its home: the member
 * that comes first by weighted rendezvous hashing of tenant, share and member. A pooler that takes
 * an operation asks a home for a token; a home that has none left sends it to the tenant's other
 * ones. Because the token is asked for after the client has sent its request, and before a database
 * gets it, what runs in any span of time is no more than the tokens that homes gave in it.
 *
 * No two poolers may count one share at the same time. So
 * - a home counts only while its list of members is current: a coordinator answered a heartbeat
 * that was sent less than ROSTER_VALID_NS ago, or the store told the list;
 * - a member that leaves keeps its places for ROSTER_AWAY_NS, in which most come back (a process
 *   that was killed is back in 1 to 4 s), and it has stopped counting long before they are over;
 * - a member that joins takes its places at once, so that whoever had them stops. It counts once
 *   every other member has confirmed a list in which it has them (roster_member_is_up_to_date()),
 * mostly within a second; otherwise ROSTER_ENTERING_NS later, when those that did not hear of it
 * have stopped. Meanwhile such a share gives no tokens. The other shares do, so that a tenant has
 * the greater part of its limit.
 *
 * A process that starts has forgotten the tokens that it gave. Its buckets begin with a part of
 * what the limit may be exceeded by (rate_start_tokens), so that this can happen some times in a
 * window.
 */
#ifndef SW_POOLER_RATE_ROSTER_H
#define SW_POOLER_RATE_ROSTER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** Shares of a tenant's limit. With fewer, more of a limit is lost with one machine; with more, a
 *  tenant near its limit asks more homes in vain, one round trip each. */
#define ROSTER_SHARES 5

/** A list of members is relied on for so long: longer than a fleet of 300 goes without a
 * coordinator after one was lost, 6.1 s. With 4 s, tenants were refused from then on. */
#define ROSTER_VALID_NS (UINT64_C(7000) * 1000 * 1000)

/** Longer than that by what a heartbeat may take. */
#define ROSTER_ENTERING_NS (UINT64_C(8000) * 1000 * 1000)

/** Twice as long: a machine that lost power or was cut off is mostly back by then. */
#define ROSTER_AWAY_NS (UINT64_C(16000) * 1000 * 1000)

/** @return true if a member that has been away since then loses its places. */
bool roster_loses_place(bool away, time_ns since, time_ns now);

/** @return true if a member that has been entering since then counts from now on, whatever others
 * have heard. */
bool roster_may_count(bool entering, time_ns since, time_ns now);

/** @brief What a coordinator knows of a member that may still count by an earlier list. */
typedef struct roster_standing {
    uint64_t confirmed;      /* version of the list that its last heartbeat told */
    time_ns confirmed_as_of; /* a moment before that heartbeat was sent; 0: not known */
    bool away;               /* the list has it as away */
    time_ns away_since;      /* since then */
} roster_member_state_t;

/** @return true if the member certainly counts by the list of `version` or a later one, or not at
 * all. A confirmation only counts if it was sent after the store's row held the list: before, the
 * member's process could have been restarted and learn an earlier list from the row. A member that
 * is away has stopped counting after ROSTER_ENTERING_NS.
 *  @param written_at when the row held the list, at the latest; 0: not yet. */
bool roster_member_is_up_to_date(const roster_member_state_t *standing, uint64_t version,
                                 time_ns written_at, time_ns now);

/** @brief A pooler that has a place in counting operations. */
typedef struct roster_member {
    char *address; /* where it takes questions, as text */
    struct sockaddr_in socket_address;
    uint32_t weight; /* twice the weight, twice the shares; above 0 */
    bool same_zone;
    bool self;
    bool away;     /* it is gone, and nobody counts in its place */
    bool entering; /* it does not count yet */
} roster_member_t;

/** @brief All members, immutable once published. References are counted by the control thread. */
typedef struct roster {
    uint64_t revision; /* differs after each change */
    size_t count;
    roster_member_t *members;
} roster_t;

roster_t *roster_new(uint64_t revision, size_t count);
roster_t *roster_ref(roster_t *roster);
void roster_unref(roster_t *roster);

/** @brief Finds the homes of a tenant's shares.
 *  @param out places of the members, one for each share; not written if there are no members. */
void roster_homes(const roster_t *roster, const char *tenant, size_t out[ROSTER_SHARES]);

#endif
