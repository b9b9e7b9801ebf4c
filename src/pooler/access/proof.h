/**
 * @file
 * @brief Proof of currency of the configuration: the latest time at which the configuration in
 * force here was known to be the store's newest. Pure functions of times, without clock or I/O.
 *
 * A revoked key must be rejected within a bound, also by a pooler that is partitioned from the
 * store and from all other poolers. A statement that needs a key is therefore sent to a database
 * only while the proof is younger than that bound. Wherever a proof is passed on, its time is
 * rounded to the past, never to the future: a reply counts from the time its request was sent,
 * because the reply may have been delayed and either machine may have been frozen in between.
 */
#ifndef SW_POOLER_ACCESS_PROOF_H
#define SW_POOLER_ACCESS_PROOF_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Estimated offset between the store's monotonic clock and the local one. */
typedef struct store_clock {
    bool known;
    int64_t offset_ns; /* lower bound of local clock minus store clock, as of measured_at */
    time_ns measured_at;
} store_clock_t;

/** @brief Updates the offset from a reply that carries the store's clock.
 *  @param sent when the request was sent, by the local clock.
 *  @param now when the reply was received, by the local clock.
 *  @param clock_ms the store's clock in the reply; 0: the reply has none. */
void store_clock_note(store_clock_t *clock, time_ns sent, time_ns now, uint64_t clock_ms);

/** @return the earliest local time at which the store's clock can have read `clock_ms`: not before
 *  `sent`, when the request was sent, and not after `now`, when its reply was received. */
time_ns store_clock_moment(const store_clock_t *clock, time_ns sent, time_ns now,
                           uint64_t clock_ms);

/** @brief Converts the age of a proof, as received in a reply, into a local time.
 *  @param requested when the request was sent, by the local clock; the sender of the reply
 *         determined the age after this.
 *  @param age_ms the age received; 0: the sender has no proof.
 *  @return 0 if there is no proof. */
time_ns proof_from_age(time_ns requested, uint32_t age_ms);

/** @return the age of a proof to send to other poolers, rounded up; 0 if there is no proof. */
uint32_t proof_age_ms(time_ns proven_at, time_ns now);

/** @return how long a proof is valid if a revoked key must be rejected by every pooler after
 *  `revoke_ms`; 0: no proof is required. */
time_ns proof_lifetime_ns(uint32_t revoke_ms);

/** @return true if a proof from `proven_at` is still valid, or none is required. */
bool proof_is_valid(time_ns proven_at, time_ns lifetime, time_ns now);

#endif
