/* How many statements a database is given at once; see the header. */
#include "pooler/databases/window.h"

#include <glib.h>

/* A refusal narrows the window to this part, at most once in this time, as the statements that were
 * on their way with the refused one are refused as well and tell nothing new. Each good answer
 * widens it by WIDENED_PER_ANSWER / size. With additive increase and multiplicative decrease, many
 * poolers that share a database come to equal shares. A window of SIZE_OPEN does not limit. */
#define REFUSED_TO         0.7
#define REFUSED_EVERY_NS   (50 * NANOSECONDS_PER_MILLISECOND)
#define SIZE_MIN           1.0
#define SIZE_OPEN          64.0
#define WIDENED_PER_ANSWER 0.5

/* Statements beyond the database's slots: one, which travels there while an answer travels back.
 * More would only wait in the database's own queue, which knows neither priority nor objective. */
#define ON_THE_WAY 1

/* Slow answers narrow the window to this part, at most once in this time. Gentler than a refusal:
 * they tell of a queue that still drains. */
#define DELAYED_TO       0.9
#define DELAYED_EVERY_NS (100 * NANOSECONDS_PER_MILLISECOND)

/* From this slowness on, statements are taken to queue at the database. The usual time is the least
 * of moving averages, some three quarters of the true mean where a few statements take 5 to 7 times
 * as long. So this is twice the mean: as much time is spent waiting as working. */
#define SLOW_FROM 2.7

/* For so long after an urgent statement came, a window of KEPT_FROM or more keeps its last place
 * for its like, so that the next one begins at once and does not wait until a running one ends. */
#define KEPT_NS   NANOSECONDS_PER_SECOND
#define KEPT_FROM 3

/* Weight of the newest answer in `slowness`, which so follows some ten answers: a single one of 5
 * to 7 usual times, which is common, narrows nothing. */
#define SLOWNESS_WEIGHT 0.1

/* A database's average of a kind follows some twenty answers, and counts after eight. */
#define LATELY_WEIGHT 0.05
#define LATELY_KNOWN  8U

/* The usual time follows the database's average: down by a tenth of the difference with each
 * answer, up by 1% a second at most, so that load must last for a minute to pass for the usual. The
 * time since the last answer counts up to USUAL_PAUSE_NS. It never falls below USUAL_LEAST_MS. */
#define USUAL_FALLS       0.1
#define USUAL_RISES_PER_S 0.01
#define USUAL_PAUSE_NS    NANOSECONDS_PER_SECOND
#define USUAL_LEAST_MS    0.1

unsigned
statement_time_kind(unsigned route, bool writes, bool commits)
{
    unsigned what = writes ? 1 : commits ? 2 : 0;
    return route * 3 + what;
}

double
recent_times_ms(const recent_times_t *lately, unsigned kind, double otherwise)
{
    return lately->answers[kind] < LATELY_KNOWN ? otherwise : lately->ms[kind];
}

void
window_init(window_t *window)
{
    *window = (window_t){.size = SIZE_OPEN};
}

static double
size_max(const window_t *window)
{
    return window->slots == 0 ? SIZE_OPEN : MIN(SIZE_OPEN, (double)window->slots + ON_THE_WAY);
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
    bool gone = window->urgent_at == 0 || now >= window->urgent_at + KEPT_NS;
    if (gone || priority <= window->urgent) {
        window->urgent = priority;
        window->urgent_at = now;
    }
}

bool
window_has_capacity(const window_t *window, uint32_t running, uint32_t priority, time_ns now)
{
    bool keeps = window->size >= KEPT_FROM && window->urgent_at != 0 && priority > window->urgent &&
                 now < window->urgent_at + KEPT_NS;
    return window->size >= SIZE_OPEN || running + (keeps ? 1 : 0) < window->size;
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

/* Narrows for slow answers, down to the even share of the slots: below it, some would stay unused.
 */
static void
narrow_slowly(window_t *window, uint32_t running, time_ns now)
{
    double least = MAX(window->share, SIZE_MIN);
    bool known = window->slots > 0;
    if (!known || window->size <= least || now < window->delayed_at + DELAYED_EVERY_NS) {
        return;
    }
    window->delayed_at = now;
    window->size = MAX(MIN(window->size, running) * DELAYED_TO, least);
    window->at_share = window->size <= least;
}

void
window_note_answer(window_t *window, double slowness, uint32_t running, time_ns now)
{
    if (slowness > 0) {
        double before = window->slowness == 0 ? 1 : window->slowness;
        window->slowness = before + (slowness - before) * SLOWNESS_WEIGHT;
    }
    if (window_is_slow(window)) {
        narrow_slowly(window, running, now);
        return;
    }
    window->size = MIN(window->size + WIDENED_PER_ANSWER / window->size, size_max(window));
    /* Only one statement above the share ends it: else the log would tell each small change. */
    if (window->size >= MIN((double)window->share + 1, size_max(window))) {
        window->at_share = false;
    }
}

bool
window_is_slow(const window_t *window)
{
    return window->slowness > SLOW_FROM;
}

/* The average of a kind at the database; 0 while too few answers are known. */
static double
average(recent_times_t *lately, unsigned kind, double ms)
{
    double *known = &lately->ms[kind];
    uint32_t *answers = &lately->answers[kind];
    *answers = MIN(*answers + 1, (uint32_t)(1 / LATELY_WEIGHT));
    *known += (ms - *known) / *answers;
    return *answers < LATELY_KNOWN ? 0 : *known;
}

/* Follows the average of a kind, quickly down and slowly up. */
static void
follow(baseline_times_t *usual, unsigned kind, double recent, time_ns now)
{
    double *known = &usual->ms[kind];
    time_ns since = MIN(now - usual->at[kind], USUAL_PAUSE_NS);
    if (*known == 0) {
        *known = recent;
    } else if (recent < *known) {
        *known += (recent - *known) * USUAL_FALLS;
    } else {
        *known *= 1 + USUAL_RISES_PER_S * (double)since / (double)NANOSECONDS_PER_SECOND;
    }
    *known = MAX(*known, USUAL_LEAST_MS);
    usual->at[kind] = now;
}

double
baseline_times_update(baseline_times_t *general, baseline_times_t *usual, recent_times_t *lately,
                      unsigned kind, double ms, time_ns now)
{
    double recent = average(lately, kind, ms);
    if (recent > 0) {
        follow(general, kind, recent, now);
        follow(usual, kind, usual->ms[kind] == 0 ? general->ms[kind] : recent, now);
    }
    return usual->ms[kind] == 0 ? 0 : ms / usual->ms[kind];
}
