/* What is believed of a home of limits; see the header. */
#include "pooler/rate/home_health.h"

#include <glib.h>

/* A home whose answer takes longer than usual is asked last for so long, or until something comes
 * from it. */
#define SLOW_NS (250 * NANOSECONDS_PER_MILLISECOND)

/* A silent home is asked last for AVOID_FIRST_NS, and for twice as long after each further question
 * in vain: a machine that is cut off stays so for seconds, and each question costs an operation
 * some milliseconds. AVOID_LAST_NS is the most, as the next question may be the only way to learn
 * that the machine is back. */
#define AVOID_FIRST_NS (250 * NANOSECONDS_PER_MILLISECOND)
#define AVOID_LAST_NS  (4000 * NANOSECONDS_PER_MILLISECOND)
#define DOUBLED_MOST   4U

/* The newest answer's weight in the averages of time and spread: an eighth and a fourth, as in
 * TCP's retransmission timer. They follow some ten answers. */
#define USUAL_PART  8
#define SPREAD_PART 4

/* Another home is asked beside this one after the usual time and so many times its spread, by which
 * all but a few in a hundred answers have come. If both grant, the tenant loses a token. */
#define SPREADS 4

/* That wait is at least so long, as a machine that shares its processor needs to get its turn; and
 * so long where no answer has come yet. */
#define PATIENCE_LEAST_NS   (8 * NANOSECONDS_PER_MILLISECOND)
#define PATIENCE_UNKNOWN_NS (20 * NANOSECONDS_PER_MILLISECOND)

void
home_health_answered(home_health_t *belief, time_ns took)
{
    time_ns off = took > belief->usual ? took - belief->usual : belief->usual - took;
    if (belief->usual == 0) {
        belief->usual = MAX(took, 1);
        belief->spread = took / 2;
    } else {
        belief->spread = belief->spread - belief->spread / SPREAD_PART + off / SPREAD_PART;
        belief->usual = MAX(belief->usual - belief->usual / USUAL_PART + took / USUAL_PART, 1);
    }
}

bool
home_health_message_received(home_health_t *belief)
{
    bool silent = belief->silences > 0;
    belief->silences = 0;
    belief->avoid_until = 0;
    return silent;
}

void
home_health_note_slow(home_health_t *belief, time_ns now)
{
    belief->avoid_until = MAX(belief->avoid_until, now + SLOW_NS);
}

bool
home_health_note_timeout(home_health_t *belief, time_ns now)
{
    if (belief->silences > 0 && now < belief->avoid_until) {
        return false; /* asked before it was taken for silent: one silence */
    }
    time_ns avoid = AVOID_FIRST_NS << MIN(belief->silences, DOUBLED_MOST);
    belief->avoid_until = now + MIN(avoid, AVOID_LAST_NS);
    return belief->silences++ == 0;
}

bool
home_health_is_avoided(const home_health_t *belief, time_ns now)
{
    return now < belief->avoid_until;
}

bool
home_health_is_unresponsive(const home_health_t *belief, time_ns now)
{
    return belief->silences > 0 && now < belief->avoid_until;
}

time_ns
home_health_hedge_delay(const home_health_t *belief)
{
    if (belief->usual == 0) {
        return PATIENCE_UNKNOWN_NS;
    }
    return CLAMP(belief->usual + belief->spread * SPREADS, PATIENCE_LEAST_NS, HOME_TIMEOUT_NS);
}
