/**
 * @file
 * @brief Whether this pooler's zone is partitioned from all others. No sockets and no clock:
 * contacts, time-outs and the current time are parameters.
 *
 * A partitioned zone can write nothing, as most databases of each group are elsewhere, and after a
 * second or two it can prove no read to be current. Its clients still reach it, and would be
 * refused for as long as the partition lasts. A pooler that reports not ready gets no new clients;
 * once all poolers of a zone do, the zone's clients are sent to another zone, where they are
 * served.
 *
 * Three conditions must hold together, so that the loss of the store, the coordinator or some
 * machines is not mistaken for a partition: several poolers of other zones were pinged one after
 * the other and none responded; most of the fleet is in other zones; and nothing newer is known of
 * the store from any pooler either. A refused connection is not a response, as routers at the edge
 * of a partition refuse connections, too.
 *
 * Readiness stops only new clients. Idle sessions are closed as well (worker.c); without that,
 * readiness alone has little effect. See docs/design/cut-off-zones.md for the effect of both.
 */
#ifndef SW_POOLER_ZONE_REACHABILITY_H
#define SW_POOLER_ZONE_REACHABILITY_H

#include <stdbool.h>

#include "core/types.h"

/** @brief Contacts with other zones. Start from zeros. Belongs to the control thread. */
typedef struct zone_reachability {
    time_ns last_contact_at; /* when a pooler of another zone last sent a message; 0: never */
    time_ns timeouts_since;  /* when the first of `timeouts` was sent; 0: there is none */
    unsigned timeouts;       /* pings without a response since the last contact */
    bool partitioned;        /* the last decision */
} zone_reachability_t;

/** @brief What the decision needs of the fleet and the store. */
typedef struct zone_reachability_inputs {
    unsigned members;        /* known poolers */
    unsigned in_other_zones; /* of these, poolers in other zones */
    time_ns store_known_at;  /* the rows known here were proven to be the store's newest at this
                                time; 0: never */
} zone_reachability_inputs_t;

/** @brief Notes a message from a pooler of another zone. */
void zone_reachability_note_contact(zone_reachability_t *reachability, time_ns now);

/** @brief Notes that a ping sent to another zone at `sent_at` had no response in time. */
void zone_reachability_note_timeout(zone_reachability_t *reachability, time_ns sent_at);

/** @return true if the last contact is so old that a pooler of another zone should be pinged. */
bool zone_reachability_needs_ping(const zone_reachability_t *reachability, time_ns now);

/** @brief Decides again.
 * @return true if the decision has changed. */
bool zone_reachability_evaluate(zone_reachability_t *reachability,
                                const zone_reachability_inputs_t *inputs, time_ns now);

#endif
