/**
 * @file
 * @brief How many statements one database is given at once from here. Others give it theirs and
 * nobody tells how many: what it refuses and how long its answers take show it, as in congestion
 * control. A decision without sockets or clock: values and a time in, values out.
 */
#ifndef SW_POOLER_WINDOW_H
#define SW_POOLER_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Kinds of statements whose usual times are kept apart: three route kinds, each with reads,
 * writes and commits; see statement_time_kind(). */
#define STATEMENT_TIME_KINDS 9

/** @brief What each kind of statement takes at an idle database, in ms; 0: not known. Kept for each
 * group, as one database that is slow from the start can only be told by the others; and for all
 * groups of a worker, which stands in for a group that was never seen idle. Start from zeros. */
typedef struct baseline_times {
    double ms[STATEMENT_TIME_KINDS];
    time_ns at[STATEMENT_TIME_KINDS]; /**< when it was last learned */
} baseline_times_t;

/** @brief Moving average of what each kind takes at one database, in ms. Start from zeros. */
typedef struct recent_times {
    double ms[STATEMENT_TIME_KINDS];
    uint32_t answers[STATEMENT_TIME_KINDS]; /**< answers averaged so far; counting stops at some
                                               twenty */
} recent_times_t;

/** @brief The window of one database. Belongs to the database's worker. */
typedef struct window {
    double size;        /**< how many statements it may be given at once; 1 or more */
    uint32_t slots;     /**< statements that the database runs at once; 0: not known */
    uint32_t share;     /**< slots divided evenly among all that use it, rounded up */
    double slowness;    /**< moving average of (answer's time / usual time); 0: none yet */
    time_ns refused_at; /**< when it was last narrowed by a refusal */
    time_ns delayed_at; /**< when it was last narrowed by slow answers */
    uint32_t urgent;    /**< priority of the most urgent statement of late; 0: the highest */
    time_ns urgent_at;  /**< when that statement came; 0: none came */
    bool at_share;      /**< slow answers have narrowed it down to `share`, its minimum */
} window_t;

/**
 * @brief Which kind a statement is of.
 *
 * @param route enum route_kind
 * @param writes a write
 * @param commits the end of a transaction, or of one that writes alone
 */
unsigned statement_time_kind(unsigned route, bool writes, bool commits);

/** @return what a kind has taken at a database lately, in ms; `otherwise` while it has had too few
 * answers for an average. */
double recent_times_ms(const recent_times_t *lately, unsigned kind, double otherwise);

/** @brief Opens the window wide: nothing is known of the database yet. */
void window_init(window_t *window);

/**
 * @brief Takes over how many slots the database has and who shares them.
 *
 * @param slots statements that it runs at once; 0: not known
 * @param sharers workers, of all poolers, that give it statements; 0 counts as 1
 */
void window_set_slots(window_t *window, uint32_t slots, uint32_t sharers);

/** @brief A statement that the database could run has come, whether or not it is sent there. */
void window_note_arrival(window_t *window, uint32_t priority, time_ns now);

/**
 * @brief Whether the database may be given one more statement now.
 *
 * @param running statements of this worker that it runs already
 * @param priority of the new one: the last place is kept for more urgent ones if such came lately
 */
bool window_has_capacity(const window_t *window, uint32_t running, uint32_t priority, time_ns now);

/** @brief The database refused a statement for want of a slot. Narrows the window.
 * @param running statements of this worker that it runs */
void window_note_refusal(window_t *window, uint32_t running, time_ns now);

/**
 * @brief The database answered a statement. Widens the window, or narrows it if answers are slow.
 *
 * @param slowness the answer's time divided by the usual one (baseline_times_update()); 0: not
 * known
 * @param running statements of this worker that it runs, this one among them
 */
void window_note_answer(window_t *window, double slowness, uint32_t running, time_ns now);

/** @return true if answers take so long that statements must be waiting at the database. */
bool window_is_slow(const window_t *window);

/**
 * @brief Learns from the time of one answer.
 *
 * @param general usual times of all groups of the worker
 * @param usual those of the database's group
 * @param lately those of the database
 * @param kind of the statement, below STATEMENT_TIME_KINDS
 * @param ms time from sending to answer
 * @return `ms` divided by the kind's usual time; 0 while that is not known
 */
double baseline_times_update(baseline_times_t *general, baseline_times_t *usual,
                             recent_times_t *lately, unsigned kind, double ms, time_ns now);

#endif
