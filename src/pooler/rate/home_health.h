/**
 * @file
 * @brief What a pooler believes of another one that it asks for tokens: how long it usually takes
 * to answer, and whether it is asked at all. Pure; time comes in.
 *
 * Without it each operation would wait for HOME_TIMEOUT_NS for a machine that is cut off, and the
 * next ones again a quarter of a second later. What it is worth stands in docs/design/tenants.md.
 */
#ifndef SW_POOLER_RATE_HOME_HEALTH_H
#define SW_POOLER_RATE_HOME_HEALTH_H

#include <stdbool.h>

#include "core/types.h"

/** @brief One home, as one link to it sees it. Start from zeros. Belongs to the link's worker. */
typedef struct home_belief {
    time_ns usual;       /* moving average of its answers' time; 0: not known */
    time_ns spread;      /* moving average of their distance from it */
    unsigned silences;   /* times in a row that it was found silent, without a sign since */
    time_ns avoid_until; /* other homes are asked first until then */
} home_health_t;

/** @brief It answered a question, in time or not. */
void home_health_answered(home_health_t *belief, time_ns took);

/** @brief Something came from it, an answer or any other message.
 *  @return true if it was taken for silent until now. */
bool home_health_message_received(home_health_t *belief);

/** @brief An answer takes longer than usual: others are asked first for a while, or until something
 *  comes from it. */
void home_health_note_slow(home_health_t *belief, time_ns now);

/** @brief A question had no answer within HOME_TIMEOUT_NS.
 *  @return true if it was not taken for silent before. */
bool home_health_note_timeout(home_health_t *belief, time_ns now);

/** @return true if others are asked first. */
bool home_health_is_avoided(const home_health_t *belief, time_ns now);

/** @return true if others are asked first because it is silent, and not only slow. */
bool home_health_is_unresponsive(const home_health_t *belief, time_ns now);

/** @return how long an answer is waited for alone. Then another home is asked as well. */
time_ns home_health_hedge_delay(const home_health_t *belief);

/** A question without an answer for so long is given up: some times the way to another zone and
 *  back (4 ms), on a machine whose quota of a tenth of a second is spent. */
#define HOME_TIMEOUT_NS (60 * NANOSECONDS_PER_MILLISECOND)

#endif
