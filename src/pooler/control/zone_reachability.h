/**
 * @file
 * @brief Whether this pooler's zone is cut off from all others. A decision without sockets or
 * clock: what was heard and asked comes in.
 *
 * A zone that is cut off can write nothing, as most databases of each group are elsewhere, and
 * after a second or two it can prove no read. Its clients still reach it, and would be refused for
 * as long as that lasts. A pooler that calls itself not ready gets no new clients; once all of a
 * zone do, the zone's clients go to another, where they are served.
 *
 * Three things have to come together, so that no lost store, coordinator or machine is taken for
 * it: several poolers of other zones were asked one after the other, and none answered; most of the
 * fleet is in other zones; and nobody has told anything newer of the store either. What refuses a
 * connection has not answered: the edge of a partition refuses, too.
 *
 * Not being ready only turns away new clients. Sessions that are already open and at rest are
 * closed as well (let_clients_go() in worker.c); without that, readiness alone changes little. What
 * it is worth stands in docs/design/cut-off-zones.md.
 */
#ifndef SW_POOLER_ZONE_REACHABILITY_H
#define SW_POOLER_ZONE_REACHABILITY_H

#include <stdbool.h>

#include "core/types.h"

/** @brief What was heard of other zones. Start from zeros. Belongs to the control thread. */
typedef struct zone_reachability {
    time_ns last_contact_at; /* when a pooler of another zone was last heard; 0: never */
    time_ns timeouts_since;  /* when the first of `unanswered` was sent; 0: there is none */
    unsigned timeouts;       /* questions without an answer since one was heard */
    bool partitioned;        /* as decided last */
} zone_reachability_t;

/** @brief What the decision needs of the fleet and the store. */
typedef struct zone_reachability_inputs {
    unsigned members;        /* poolers known */
    unsigned in_other_zones; /* of these, in other zones */
    time_ns store_known_at; /* what is known here was certainly the store's newest then; 0: never */
} zone_reachability_inputs_t;

/** @brief A pooler of another zone was heard. */
void zone_reachability_note_contact(zone_reachability_t *reach, time_ns now);

/** @brief A pooler of another zone that was asked at `asked` has not answered in time. */
void zone_reachability_note_timeout(zone_reachability_t *reach, time_ns asked);

/** @return true if none was heard for so long that one should be asked now. */
bool zone_reachability_needs_ping(const zone_reachability_t *reach, time_ns now);

/** @brief Decides anew. @return true if the decision has changed. */
bool zone_reachability_evaluate(zone_reachability_t *reach,
                                const zone_reachability_inputs_t *inputs, time_ns now);

#endif
