/* Proof that the configuration in force here was recently the store's newest; see the header. */
#include "pooler/access/proof.h"

#define MS_NS INT64_C(1000000)

/* Monotonic clocks of two machines are assumed to drift apart by at most 1 / DRIFT_PARTS of the
 * elapsed time: 200 ppm, several times the drift of a quartz clock. */
#define DRIFT_PARTS 5000

/* The store reports its clock in whole milliseconds, rounded down by up to one millisecond. */
#define ROUNDING_NS MS_NS

/* 1 / MARGIN_PARTS of the revocation bound is reserved for the time between the check of the proof
 * and the database's start on the statement: scheduling (100 ms where the processor share is a
 * quota), network latency, and retransmission of a lost packet (0.2 to 0.6 s). Half this margin
 * does not cover a second retransmission. Twice this margin makes proofs expire 1 s earlier when
 * the store is unreachable. */
#define MARGIN_PARTS 5

static int64_t
drift(const store_clock_t *clock, time_ns now)
{
    return (int64_t)(now - clock->measured_at) / DRIFT_PARTS;
}

void
store_clock_note(store_clock_t *clock, time_ns sent, time_ns now, uint64_t clock_ms)
{
    int64_t offset = (int64_t)sent - (int64_t)clock_ms * MS_NS - ROUNDING_NS;
    if (clock_ms == 0) {
        return;
    }
    if (!clock->known || offset > clock->offset_ns - drift(clock, now)) {
        *clock = (store_clock_t){true, offset, now};
    }
}

time_ns
store_clock_moment(const store_clock_t *clock, time_ns sent, time_ns now, uint64_t clock_ms)
{
    if (!clock->known || clock_ms == 0) {
        return sent;
    }
    int64_t earliest = (int64_t)clock_ms * MS_NS + clock->offset_ns - drift(clock, now);
    if (earliest < (int64_t)sent) {
        return sent;
    }
    return earliest > (int64_t)now ? now : (time_ns)earliest;
}

time_ns
proof_from_age(time_ns requested, uint32_t age_ms)
{
    time_ns age = (time_ns)age_ms * (time_ns)MS_NS;
    return age_ms == 0 || age >= requested ? 0 : requested - age;
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
