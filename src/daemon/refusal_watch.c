/* Detection of refusal storms; see the header. */
#include "daemon/refusal_watch.h"

#include <string.h>

void refusal_watch_count(struct refusal_watch *watch, enum error_kind kind)
{
    if (error_entry_of(kind)->retry == ERROR_RETRY_YES) {
        atomic_fetch_add_explicit(&watch->counts[kind], 1, memory_order_relaxed);
    }
}

/* Computes the refusals since the last check, by kind. Returns their sum. */
static uint64_t take_counts(struct refusal_watch *watch, uint64_t fresh[ERROR_KIND_COUNT])
{
    uint64_t sum = 0;
    for (int kind = 0; kind < ERROR_KIND_COUNT; kind++) {
        uint64_t count = atomic_load_explicit(&watch->counts[kind], memory_order_relaxed);
        fresh[kind] = count - watch->seen[kind];
        watch->seen[kind] = count;
        sum += fresh[kind];
    }
    return sum;
}

static struct refusal_event make_event(const struct refusal_watch *watch,
                                       enum refusal_change change)
{
    struct refusal_event event = {.change = change, .seconds = watch->seconds};
    for (int kind = 0; kind < ERROR_KIND_COUNT; kind++) {
        event.count += watch->storm[kind];
        if (watch->storm[kind] > watch->storm[event.most_frequent]) {
            event.most_frequent = (enum error_kind)kind;
        }
    }
    return event;
}

static struct refusal_event begin_storm(struct refusal_watch *watch, const uint64_t *fresh)
{
    watch->is_storm = true;
    watch->seconds = 1;
    watch->seconds_below = 0;
    memcpy(watch->storm, fresh, sizeof(watch->storm));
    return make_event(watch, REFUSAL_CHANGE_BEGAN);
}

static struct refusal_event continue_storm(struct refusal_watch *watch, const uint64_t *fresh,
                                           uint64_t sum)
{
    for (int kind = 0; kind < ERROR_KIND_COUNT; kind++) {
        watch->storm[kind] += fresh[kind];
    }
    watch->seconds++;
    watch->seconds_below = sum < REFUSALS_END_PER_SECOND ? watch->seconds_below + 1 : 0;
    if (watch->seconds_below < REFUSALS_END_SECONDS) {
        return (struct refusal_event){.change = REFUSAL_CHANGE_NONE};
    }
    watch->is_storm = false;
    watch->seconds -= REFUSALS_END_SECONDS;
    return make_event(watch, REFUSAL_CHANGE_ENDED);
}

struct refusal_event refusal_watch_check(struct refusal_watch *watch, time_ns now)
{
    struct refusal_event none = {.change = REFUSAL_CHANGE_NONE};
    uint64_t fresh[ERROR_KIND_COUNT];
    if (now < watch->check_at) {
        return none;
    }
    watch->check_at = now + NANOSECONDS_PER_SECOND;
    uint64_t sum = take_counts(watch, fresh);
    if (watch->is_storm) {
        return continue_storm(watch, fresh, sum);
    }
    return sum >= REFUSALS_BEGIN_PER_SECOND ? begin_storm(watch, fresh) : none;
}
