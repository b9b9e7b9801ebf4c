/* The threads that run requests: bounded queues of jobs, and a list of jobs parked until a moment.
 * A request that has to wait for a new view or a slot is parked or queued elsewhere; it holds no
 * thread meanwhile.
 *
 * Jobs that others may wait for have lanes of their own, so that whatever fills the workers, what
 * it waits for goes on. New work waits for connections that open transactions hold, and for answers
 * of other daemons; a transaction's statement waits for locks until another one's commit. A request
 * that another daemon serves waits for that one's databases: it has a lane of its own, so that a
 * group that answers late holds up no other. Threads of these lanes are started when none is idle,
 * and stay. */
#ifndef SW_DAEMON_WORKER_POOL_H
#define SW_DAEMON_WORKER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

struct worker_pool;

enum worker_lane {
    WORKER_LANE_NEW,         /* new work of own callers, and the daemon's own jobs */
    WORKER_LANE_FORWARDING,  /* new work of own callers that another daemon serves */
    WORKER_LANE_TRANSACTION, /* requests of open transactions: one at a time for each */
    WORKER_LANE_FORWARDED,   /* other daemons' requests: one for each of their connections */
    WORKER_LANE_COUNT,
};

/* One piece of work; embedded in its owner, who keeps it valid until it has run. */
struct worker_job {
    void (*run)(struct worker_job *job);
    enum worker_lane lane;
    struct worker_job *next; /* the pool's */
    time_ns due;             /* the pool's: moment until which it is parked */
};

/* Starts `threads` workers for new work; queue_limit bounds jobs of each lane submitted and not yet
 * begun. */
struct worker_pool *worker_pool_new(uint32_t threads, uint32_t queue_limit);

/* Runs what is queued, drops nothing, ends the threads. Parked jobs must be gone. */
void worker_pool_free(struct worker_pool *pool);

/* Queues work in its lane; false if the lane's queue is full. Any thread. */
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
