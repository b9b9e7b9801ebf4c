/* Proof that the configuration in force here was the store's newest; see the header. */
#include "pooler/access/proof.h"

#define MS_NS INT64_C(1000000)

/* Steady clocks of two machines part by this much at most: a stated choice, some times what a
 * quartz clock drifts. In parts of the time passed. */
#define DRIFT_PARTS 5000

/* The store tells whole milliseconds: its clock may have stood almost one further. */
#define ROUNDING_NS MS_NS

/* Of the bound, so much is kept for what happens between the proof's check and the database's start
 * on the statement: a turn of the processor (100 ms where the share of a core is a quota), the way,
 * and a lost packet that is sent again (0.2 to 0.6 s). At half of it the second retransmission is
 * late; at twice of it, proof runs out 1 s sooner where the store is away. */
#define MARGIN_PARTS 5

static int64_t
drift(const store_clock_t *clock, time_ns now)
{
    return (int64_t)(now - clock->noted_at) / DRIFT_PARTS;
}

void
store_clock_note(store_clock_t *clock, time_ns sent, time_ns now, uint64_t clock_ms)
{
    int64_t behind = (int64_t)sent - (int64_t)clock_ms * MS_NS - ROUNDING_NS;
    if (clock_ms == 0) {
        return;
    }
    if (!clock->known || behind > clock->behind_ns - drift(clock, now)) {
        *clock = (store_clock_t){true, behind, now};
    }
}

time_ns
store_clock_moment(const store_clock_t *clock, time_ns sent, time_ns now, uint64_t clock_ms)
{
    if (!clock->known || clock_ms == 0) {
        return sent;
    }
    int64_t moment = (int64_t)clock_ms * MS_NS + clock->behind_ns - drift(clock, now);
    if (moment < (int64_t)sent) {
        return sent;
    }
    return moment > (int64_t)now ? now : (time_ns)moment;
}

time_ns
proof_from_age(time_ns asked, uint32_t age_ms)
{
    time_ns age = (time_ns)age_ms * (time_ns)MS_NS;
    return age_ms == 0 || age >= asked ? 0 : asked - age;
}

uint32_t
proof_age_ms(time_ns proven_at, time_ns now)
{
    if (proven_at == 0 || proven_at > now) {
        return 0;
    }
    time_ns age = (now - proven_at) / (time_ns)MS_NS + 1;
    return age < UINT32_MAX ? (uint32_t)age : 0;
}

time_ns
proof_lifetime_ns(uint32_t revoke_ms)
{
    return (time_ns)(revoke_ms - revoke_ms / MARGIN_PARTS) * (time_ns)MS_NS;
}

bool
proof_is_valid(time_ns proven_at, time_ns lifetime, time_ns now)
{
    return lifetime == 0 || (proven_at != 0 && now < proven_at + lifetime);
}
