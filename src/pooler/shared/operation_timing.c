/* Time of an operation by stage; see the header. */
#include "pooler/shared/operation_timing.h"

static const char *const stage_names[STAGE_COUNT + 1] = {
    [STAGE_START] = "start",       [STAGE_OWN] = "own",     [STAGE_TOKEN] = "token",
    [STAGE_QUEUE] = "queue",       [STAGE_PROOF] = "proof", [STAGE_OWNER_QUEUE] = "owner_queue",
    [STAGE_OPENING] = "opening",   [STAGE_HOP] = "hop",     [STAGE_BEGIN] = "begin",
    [STAGE_DATABASE] = "database", [STAGE_RETRY] = "retry", [STAGE_PAUSE] = "pause",
};

const char *
operation_stage_name(operation_stage_t stage)
{
    return stage_names[stage];
}

void
operation_timing_begin(operation_timing_t *timing, operation_stage_t stage, time_ns now)
{
    *timing = (operation_timing_t){.stage = stage, .since = now};
}

/* Adds the time since the last accounting to this stage. */
static void
add_elapsed(operation_timing_t *timing, operation_stage_t stage, time_ns now)
{
    timing->spent[stage] += now > timing->since ? now - timing->since : 0;
    timing->since = now;
}

void
operation_timing_enter(operation_timing_t *timing, operation_stage_t stage, time_ns now)
{
    add_elapsed(timing, timing->stage, now);
    timing->stage = stage;
}

void
operation_timing_retry(operation_timing_t *timing, time_ns now)
{
    add_elapsed(timing, STAGE_RETRY, now);
    timing->stage = STAGE_RETRY;
}

/* Maps an owner's stage to the client's pooler's: the owner's STAGE_QUEUE is STAGE_OWNER_QUEUE. */
static operation_stage_t
map_owner_stage(size_t owner_stage)
{
    return owner_stage == STAGE_QUEUE ? STAGE_OWNER_QUEUE : (operation_stage_t)owner_stage;
}

void
operation_timing_merge(operation_timing_t *timing, const uint32_t *spent_us, size_t count,
                       time_ns now)
{
    time_ns unaccounted = now > timing->since ? now - timing->since : 0;
    for (size_t i = 0; i < count && i < STAGE_COUNT; i++) {
        time_ns spent = spent_us[i] * NANOSECONDS_PER_MICROSECOND;
        spent = spent < unaccounted ? spent : unaccounted;
        timing->spent[map_owner_stage(i)] += spent;
        unaccounted -= spent;
    }
    timing->spent[STAGE_HOP] += unaccounted;
    timing->since = now;
    timing->stage = STAGE_OWN;
}

size_t
operation_timing_report(const operation_timing_t *timing, uint32_t *spent_us)
{
    size_t count = 0;
    for (size_t i = 0; i < STAGE_COUNT; i++) {
        time_ns spent = timing->spent[i] / NANOSECONDS_PER_MICROSECOND;
        spent_us[i] = spent < UINT32_MAX ? (uint32_t)spent : UINT32_MAX;
        count = spent_us[i] > 0 ? i + 1 : count;
    }
    return count;
}

time_ns
operation_timing_total(const operation_timing_t *timing)
{
    time_ns total = 0;
    for (int i = 0; i < STAGE_COUNT; i++) {
        total += timing->spent[i];
    }
    return total;
}
