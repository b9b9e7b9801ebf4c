/* Concurrency window of a database; see the header. */
#include "pooler/databases/window.h"

#include <glib.h>

/* A refusal narrows the window to REFUSED_TO of its size, at most once in REFUSED_EVERY_NS, because
 * statements that were in transit together with the refused one are refused as well and carry no
 * new information. Each successful answer widens it by WIDENED_PER_ANSWER / size. By additive
 * increase and multiplicative decrease, the windows of poolers that share a database converge to
 * equal sizes. A window of SIZE_OPEN is not limited. */
#define REFUSED_TO         0.7
#define REFUSED_EVERY_NS   (50 * NANOSECONDS_PER_MILLISECOND)
#define SIZE_MIN           1.0
#define SIZE_OPEN          64.0
#define WIDENED_PER_ANSWER 0.5

/* Number of statements beyond the database's slots: one, which is in transit to the database while
 * an answer is in transit back. More would only wait in the database's own queue, which knows
 * neither priorities nor objectives. */
#define IN_TRANSIT 1

/* Slow answers narrow the window to SLOWED_TO of its size, at most once in SLOWED_EVERY_NS. This is
 * less than after a refusal, because the database's queue still drains. */
#define SLOWED_TO       0.9
#define SLOWED_EVERY_NS (100 * NANOSECONDS_PER_MILLISECOND)

/* Above this slowness, statements are assumed to be queued at the database. The baseline is the
 * minimum of moving averages, about 3/4 of the true mean where a few statements take 5 to 7 times
 * as long. The threshold is therefore twice the mean: statements wait as long as they run. */
#define SLOW_FROM 2.7

/* For this time after a high-priority statement arrived, a window of RESERVE_FROM or more reserves
 * one slot for that priority, so that the next such statement need not wait for a running one. */
#define RESERVE_NS   NANOSECONDS_PER_SECOND
#define RESERVE_FROM 3

/* Weight of the newest answer in `slowness`, which follows about ten answers. A single answer that
 * takes 5 to 7 times the baseline is common, and must not narrow the window. */
#define SLOWNESS_WEIGHT 0.1

/* Weight of the newest answer in the recent average of a kind, which follows about twenty answers,
 * and the number of answers from which on the average is used. */
#define RECENT_WEIGHT 0.05
#define RECENT_MIN    8U

/* The baseline follows the recent average: down by BASELINE_FALL_WEIGHT of the difference with each
 * answer, up by at most 1% a second, so that only load of more than a minute raises it noticeably.
 * Time since the last answer counts up to BASELINE_PAUSE_NS. BASELINE_MIN_MS is the minimum. */
#define BASELINE_FALL_WEIGHT 0.1
#define BASELINE_RISE_PER_S  0.01
#define BASELINE_PAUSE_NS    NANOSECONDS_PER_SECOND
#define BASELINE_MIN_MS      0.1

unsigned
statement_time_kind(unsigned route, bool writes, bool commits)
{
    unsigned what = writes ? 1 : commits ? 2 : 0;
    return route * 3 + what;
}

double
recent_times_ms(const recent_times_t *recent, unsigned kind, double fallback)
{
    return recent->answers[kind] < RECENT_MIN ? fallback : recent->ms[kind];
}

void
window_init(window_t *window)
{
    *window = (window_t){.size = SIZE_OPEN};
}

static double
size_max(const window_t *window)
{
    return window->slots == 0 ? SIZE_OPEN : MIN(SIZE_OPEN, (double)window->slots + IN_TRANSIT);
}

void
window_set_slots(window_t *window, uint32_t slots, uint32_t sharers)
{
    uint32_t among = MAX(sharers, 1);
    window->slots = slots;
    window->share = (slots + among - 1) / among;
    window->size = MIN(window->size, size_max(window));
}

void
window_note_arrival(window_t *window, uint32_t priority, time_ns now)
{
    bool expired = window->top_at == 0 || now >= window->top_at + RESERVE_NS;
    if (expired || priority <= window->top) {
        window->top = priority;
        window->top_at = now;
    }
}

bool
window_has_capacity(const window_t *window, uint32_t running, uint32_t priority, time_ns now)
{
    bool reserves = window->size >= RESERVE_FROM && window->top_at != 0 && priority > window->top &&
                    now < window->top_at + RESERVE_NS;
    return window->size >= SIZE_OPEN || running + (reserves ? 1 : 0) < window->size;
}

void
window_note_refusal(window_t *window, uint32_t running, time_ns now)
{
    if (now < window->refused_at + REFUSED_EVERY_NS) {
        return;
    }
    window->refused_at = now;
    window->size = MAX(MIN(window->size, running) * REFUSED_TO, SIZE_MIN);
}

/* Narrows the window after slow answers, at most to the even share of the slots: below that, slots
 * would stay unused. */
static void
narrow_for_slowness(window_t *window, uint32_t running, time_ns now)
{
    double min = MAX(window->share, SIZE_MIN);
    bool known = window->slots > 0;
    if (!known || window->size <= min || now < window->slowed_at + SLOWED_EVERY_NS) {
        return;
    }
    window->slowed_at = now;
    window->size = MAX(MIN(window->size, running) * SLOWED_TO, min);
    window->at_share = window->size <= min;
}

void
window_note_answer(window_t *window, double slowness, uint32_t running, time_ns now)
{
    if (slowness > 0) {
        double before = window->slowness == 0 ? 1 : window->slowness;
        window->slowness = before + (slowness - before) * SLOWNESS_WEIGHT;
    }
    if (window_is_slow(window)) {
        narrow_for_slowness(window, running, now);
        return;
    }
    window->size = MIN(window->size + WIDENED_PER_ANSWER / window->size, size_max(window));
    /* at_share ends only one statement above the share: otherwise each small change of the window
     * would be logged. */
    if (window->size >= MIN((double)window->share + 1, size_max(window))) {
        window->at_share = false;
    }
}

bool
window_is_slow(const window_t *window)
{
    return window->slowness > SLOW_FROM;
}

/* Updates the recent average of a kind. Returns it, or 0 while there are too few answers. */
static double
update_recent(recent_times_t *recent, unsigned kind, double ms)
{
    double *current = &recent->ms[kind];
    uint32_t *answers = &recent->answers[kind];
    *answers = MIN(*answers + 1, (uint32_t)(1 / RECENT_WEIGHT));
    *current += (ms - *current) / *answers;
    return *answers < RECENT_MIN ? 0 : *current;
}

/* Updates the baseline of a kind from the recent average: quickly down, slowly up. */
static void
update_baseline(baseline_times_t *baseline, unsigned kind, double average, time_ns now)
{
    double *current = &baseline->ms[kind];
    time_ns since = MIN(now - baseline->at[kind], BASELINE_PAUSE_NS);
    if (*current == 0) {
        *current = average;
    } else if (average < *current) {
        *current += (average - *current) * BASELINE_FALL_WEIGHT;
    } else {
        *current *= 1 + BASELINE_RISE_PER_S * (double)since / (double)NANOSECONDS_PER_SECOND;
    }
    *current = MAX(*current, BASELINE_MIN_MS);
    baseline->at[kind] = now;
}

double
baseline_times_update(baseline_times_t *general, baseline_times_t *baseline, recent_times_t *recent,
                      unsigned kind, double ms, time_ns now)
{
    double average = update_recent(recent, kind, ms);
    if (average > 0) {
        update_baseline(general, kind, average, now);
        update_baseline(baseline, kind, baseline->ms[kind] == 0 ? general->ms[kind] : average, now);
    }
    return baseline->ms[kind] == 0 ? 0 : ms / baseline->ms[kind];
}
