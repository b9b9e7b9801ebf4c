/**
 * @file
 * @brief Proof that the configuration in force here was the store's newest at some moment. Pure:
 * moments come in, moments go out.
 *
 * A key that was taken away must not be served for long, also by a pooler that is cut off and hears
 * of nothing. So a statement that needs a key goes to a database only while such a moment lies less
 * than a bound in the past. Each step that passes a moment on takes it for earlier than it may have
 * been, never for later: answers count from their asking, as they may have been delayed, and a
 * machine may have been frozen, on the way.
 */
#ifndef SW_POOLER_ACCESS_PROOF_H
#define SW_POOLER_ACCESS_PROOF_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief How the store's steady clock stands to ours, as far as its answers tell. */
typedef struct store_clock {
    bool known;
    int64_t behind_ns; /* our clock was at least so far ahead of the store's, at noted_at */
    time_ns noted_at;
} store_clock_t;

/** @brief Notes an answer that tells the store's clock.
 *  @param sent when the call was sent, by our clock. */
void store_clock_note(store_clock_t *clock, time_ns sent, time_ns now, uint64_t clock_ms);

/** @return the earliest moment, by our clock, at which the store's may have stood so; not before
 *  the call was sent that told it, nor after it was answered. */
time_ns store_clock_moment(const store_clock_t *clock, time_ns sent, time_ns now,
                           uint64_t clock_ms);

/** @brief The moment that an age stands for that was told in answer to something.
 *  @param asked when that was sent, by our clock: the age was told later than that.
 *  @param age_ms as told; 0: none was.
 *  @return 0 if there is none. */
time_ns proof_from_age(time_ns asked, uint32_t age_ms);

/** @return the age to tell others of a moment, rounded up; 0 if there is none. */
uint32_t proof_age_ms(time_ns proven_at, time_ns now);

/** @return for how long proof is good where keys must be gone after `revoke_ms` everywhere; 0: no
 *  proof is asked for. */
time_ns proof_lifetime_ns(uint32_t revoke_ms);

/** @return true if what was proven at that moment may be relied on now. */
bool proof_is_valid(time_ns proven_at, time_ns lifetime, time_ns now);

#endif
