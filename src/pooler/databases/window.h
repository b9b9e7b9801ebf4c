/**
 * @file
 * @brief Concurrency window: limits the number of statements that one worker runs at a database at
 * once. Other workers and poolers use the same database without exchanging their numbers. As in
 * congestion control, the window follows from refusals and from the times of answers. Pure
 * functions of the values and times passed in.
 */
#ifndef SW_POOLER_WINDOW_H
#define SW_POOLER_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Number of statement kinds with separate times: reads, writes and commits of three route
 * kinds; see statement_time_kind(). */
#define STATEMENT_TIME_KINDS 9

/** @brief Baseline: the time of each kind of statement at a database without load, in ms; 0: not
 * known. There is one for each group, because a database that is slow from the start is recognized
 * only by comparison with the others, and one for all groups of a worker, which replaces the
 * baseline of a group that has been under load from the start. Initialize with zeros. */
typedef struct baseline_times {
    double ms[STATEMENT_TIME_KINDS];
    time_ns at[STATEMENT_TIME_KINDS]; /**< last update */
} baseline_times_t;

/** @brief Moving average of the recent times of each kind at one database, in ms. Initialize with
 * zeros. */
typedef struct recent_times {
    double ms[STATEMENT_TIME_KINDS];
    uint32_t answers[STATEMENT_TIME_KINDS]; /**< number of answers in the average, up to 20 */
} recent_times_t;

/** @brief The window of one database. Belongs to the database's worker. */
typedef struct window {
    double size;        /**< maximum number of running statements; 1 or more */
    uint32_t slots;     /**< statements that the database can run at once; 0: not known */
    uint32_t share;     /**< slots divided by the number of workers that use them, rounded up */
    double slowness;    /**< moving average of (time of an answer / baseline); 0: none yet */
    time_ns refused_at; /**< when the window was last narrowed by a refusal */
    time_ns slowed_at;  /**< when the window was last narrowed by slow answers */
    uint32_t top;       /**< highest recent priority, which is the lowest number */
    time_ns top_at;     /**< last arrival of that priority; 0: none */
    bool at_share;      /**< slow answers have narrowed the window to `share`, the minimum */
} window_t;

/**
 * @brief The kind of a statement.
 *
 * @param route enum route_kind
 * @param writes the statement is a write
 * @param commits the statement commits a transaction; ignored if it is a write
 */
unsigned statement_time_kind(unsigned route, bool writes, bool commits);

/** @return the recent average time of a kind at a database, in ms; `fallback` while there are too
 * few answers for an average. */
double recent_times_ms(const recent_times_t *recent, unsigned kind, double fallback);

/** @brief Initializes a window without a limit, for a database of which nothing is known yet. */
void window_init(window_t *window);

/**
 * @brief Sets the number of slots of the database, and of the workers that share them.
 *
 * @param slots number of statements that the database can run at once; 0: not known
 * @param sharers number of workers, over all poolers, that use the database; 0 counts as 1
 */
void window_set_slots(window_t *window, uint32_t slots, uint32_t sharers);

/** @brief Records the arrival of a statement that the database could run, whether or not it is sent
 * there. */
void window_note_arrival(window_t *window, uint32_t priority, time_ns now);

/**
 * @brief Whether one more statement may be sent to the database now.
 *
 * @param running number of statements of this worker that it runs
 * @param priority of the new statement: one slot is reserved for higher priorities if such
 *        statements arrived recently
 */
bool window_has_capacity(const window_t *window, uint32_t running, uint32_t priority, time_ns now);

/** @brief Narrows the window after the database refused a statement because it had no free slot.
 * @param running number of statements of this worker that it runs */
void window_note_refusal(window_t *window, uint32_t running, time_ns now);

/**
 * @brief Widens the window after an answer, or narrows it if answers are slow.
 *
 * @param slowness the time of the answer divided by the baseline (baseline_times_update()); 0: not
 *        known
 * @param running number of statements of this worker that the database runs, including this one
 */
void window_note_answer(window_t *window, double slowness, uint32_t running, time_ns now);

/** @return true if answers are so slow that statements must be queued inside the database. */
bool window_is_slow(const window_t *window);

/**
 * @brief Updates the baselines and recent averages from the time of one answer.
 *
 * @param general baseline over all groups of the worker
 * @param baseline baseline of the database's group
 * @param recent recent averages of the database
 * @param kind of the statement, below STATEMENT_TIME_KINDS
 * @param ms time from sending to answer
 * @return `ms` divided by the baseline of the kind; 0 while that is not known
 */
double baseline_times_update(baseline_times_t *general, baseline_times_t *baseline,
                             recent_times_t *recent, unsigned kind, double ms, time_ns now);

#endif
