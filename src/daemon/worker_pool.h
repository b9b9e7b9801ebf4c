/* The threads that run requests: a bounded queue of jobs, and a list of jobs parked until a moment.
 * A request that has to wait for a new view or a slot is parked or queued elsewhere; it holds no
 * thread meanwhile. */
#ifndef SW_DAEMON_WORKER_POOL_H
#define SW_DAEMON_WORKER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

struct worker_pool;

/* One piece of work; embedded in its owner, who keeps it valid until it has run. */
struct worker_job {
    void (*run)(struct worker_job *job);
    struct worker_job *next; /* the pool's */
    time_ns due;             /* the pool's: moment until which it is parked */
};

/* Starts `threads` workers; queue_limit bounds jobs submitted and not yet begun. */
struct worker_pool *worker_pool_new(uint32_t threads, uint32_t queue_limit);

/* Runs what is queued, drops nothing, ends the threads. Parked jobs must be gone. */
void worker_pool_free(struct worker_pool *pool);

/* Queues new work; false if the queue is full. Any thread. */
bool worker_pool_submit(struct worker_pool *pool, struct worker_job *job);

/* Queues work that was admitted before and must go on, whatever the queue's length. Any thread. */
void worker_pool_resume(struct worker_pool *pool, struct worker_job *job);

/* Queues the job at `due`, or earlier when worker_pool_wake is called. Any thread. */
void worker_pool_park(struct worker_pool *pool, struct worker_job *job, time_ns due);

/* Queues all parked jobs now: a view changed. Any thread. */
void worker_pool_wake(struct worker_pool *pool);

/* Jobs queued or parked. */
uint32_t worker_pool_backlog(struct worker_pool *pool);

#endif
