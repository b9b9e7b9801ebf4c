/**
 * @file
 * @brief The roster: the list of poolers that count the operations of rate-limited tenants, and the
 * assignment of shares to them. Pure functions of rosters and times.
 *
 * A tenant's limit applies to all poolers together, even when they are partitioned from each other.
 * It is divided into ROSTER_SHARES shares of equal size. Each share is counted by one pooler at a
 * time, its home: the member with the highest score in weighted rendezvous hashing of tenant, share
 * and member. A pooler that accepts an operation requests a token from one home, and from the next
 * if that one has no token left. The token is requested after the client has sent its request and
 * before the request reaches a database, so that over any interval no more operations run than
 * tokens were granted.
 *
 * No two poolers may count the same share at the same time. Therefore:
 * - A home counts only while its roster is valid: a coordinator answered a heartbeat that was sent
 *   less than ROSTER_VALID_NS ago, or the roster was read from the store within that time.
 * - A member that leaves keeps its shares for ROSTER_AWAY_NS. Most return within that time; a
 *   killed process restarts in 1 to 4 s. The member has stopped counting long before it ends.
 * - A member that joins is assigned its shares at once, so that their previous homes stop counting
 *   them. It counts once every other member has confirmed a roster with the new assignment
 *   (roster_member_is_up_to_date()), usually within a second. Otherwise it counts after
 *   ROSTER_ENTERING_NS, when the roster of any member that did not receive the new one has expired.
 *   Until then no tokens are granted from these shares. The tenant still has its other shares, the
 *   greater part of its limit.
 *
 * A restarted process has lost its record of granted tokens. Its buckets start with a part of the
 * permitted overage (rate_start_tokens()), so that several restarts within a window stay within it.
 */
#ifndef SW_POOLER_RATE_ROSTER_H
#define SW_POOLER_RATE_ROSTER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** Number of shares of a tenant's limit. With fewer, the loss of one machine takes more of a limit;
 *  with more, a tenant near its limit requests tokens from more homes in vain, each for one round
 *  trip. */
#define ROSTER_SHARES 5

/** Validity of a roster. Longer than the time for which a fleet of 300 poolers is without a
 * coordinator after its loss, 6.1 s. With a validity of 4 s, tenants were refused in that time. */
#define ROSTER_VALID_NS (UINT64_C(7000) * 1000 * 1000)

/** ROSTER_VALID_NS plus the time that a heartbeat may take. */
#define ROSTER_ENTERING_NS (UINT64_C(8000) * 1000 * 1000)

/** Twice ROSTER_ENTERING_NS: by then most machines are back after a power loss or a partition. */
#define ROSTER_AWAY_NS (UINT64_C(16000) * 1000 * 1000)

/** @return true if a member that has been away since `since` loses its shares. */
bool roster_loses_place(bool away, time_ns since, time_ns now);

/** @return true if a member that has been entering since `since` may count, whether or not the
 *  other members have confirmed the roster. */
bool roster_may_count(bool entering, time_ns since, time_ns now);

/** @brief A coordinator's knowledge of the roster that a member uses. */
typedef struct roster_member_state {
    uint64_t confirmed;      /* version of the roster in the member's last heartbeat */
    time_ns confirmed_as_of; /* a time before that heartbeat was sent; 0: not known */
    bool away;               /* as in the coordinator's roster */
    time_ns away_since;
} roster_member_state_t;

/** @return true if the member is known either to use the roster of `version` or a later one, or not
 * to count at all. A confirmation is accepted only if it was sent after the store's row had the
 * roster: before that, the member's process could be restarted and read an earlier roster from the
 * row. A member that is away has stopped counting after ROSTER_ENTERING_NS.
 *  @param written_at a time by which the row had the roster; 0: not yet. */
bool roster_member_is_up_to_date(const roster_member_state_t *state, uint64_t version,
                                 time_ns written_at, time_ns now);

/** @brief A pooler to which shares are assigned. */
typedef struct roster_member {
    char *address; /* for token requests, as text */
    struct sockaddr_in socket_address;
    uint32_t weight; /* number of shares is proportional to it; above 0 */
    bool same_zone;
    bool self;
    bool away;     /* temporarily absent: no pooler counts its shares */
    bool entering; /* joined, and must not count yet */
} roster_member_t;

/** @brief All members; immutable once published. Only the control thread takes and releases
 * references. */
typedef struct roster {
    uint64_t revision; /* unique for each change */
    size_t count;
    roster_member_t *members;
} roster_t;

roster_t *roster_new(uint64_t revision, size_t count);
roster_t *roster_ref(roster_t *roster);
void roster_unref(roster_t *roster);

/** @brief Finds the homes of a tenant's shares.
 *  @param out index of the home of each share in `members`; not written if there are no members. */
void roster_homes(const roster_t *roster, const char *tenant, size_t out[ROSTER_SHARES]);

#endif
