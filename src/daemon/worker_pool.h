/* The threads that run requests: bounded queues of jobs, and a list of jobs parked until a given
 * time. A request that waits for a new view or a slot is parked or queued elsewhere; it holds no
 * thread meanwhile.
 *
 * Jobs that other jobs wait for have lanes of their own, so that they make progress when the
 * workers are busy. New work waits for connections that open transactions hold, and for answers of
 * other daemons; a transaction's statement waits for locks until another transaction commits. A
 * request that another daemon serves waits for that daemon's databases; its lane is separate, so
 * that a slow group delays no other. Threads of these lanes are started when none is idle, and are
 * kept. */
#ifndef SW_DAEMON_WORKER_POOL_H
#define SW_DAEMON_WORKER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

struct worker_pool;

enum worker_lane {
    WORKER_LANE_NEW,         /* new work of local callers, and the daemon's own jobs */
    WORKER_LANE_FORWARDING,  /* new work of local callers that another daemon serves */
    WORKER_LANE_TRANSACTION, /* requests of open transactions: at most one for each */
    WORKER_LANE_FORWARDED,   /* requests of other daemons: one per connection of theirs at most */
    WORKER_LANE_COUNT,
};

/* One unit of work. Embedded in a struct that must stay valid until it has run. */
struct worker_job {
    void (*run)(struct worker_job *job);
    enum worker_lane lane;
    struct worker_job *next; /* used by the pool */
    time_ns due;             /* used by the pool: time until which it is parked */
};

/* Starts `threads` workers for new work. queue_limit bounds the jobs of each lane that were
 * submitted and have not started. */
struct worker_pool *worker_pool_new(uint32_t threads, uint32_t queue_limit);

/* Runs all queued jobs, then ends the threads. No job may be parked. */
void worker_pool_free(struct worker_pool *pool);

/* Queues work in its lane; false if the lane's queue is full. Any thread. */
bool worker_pool_submit(struct worker_pool *pool, struct worker_job *job);

/* Queues work that was admitted before, whatever the queue's length. Any thread. */
void worker_pool_resume(struct worker_pool *pool, struct worker_job *job);

/* Queues the job at `due`, or earlier when worker_pool_wake is called. Any thread. */
void worker_pool_park(struct worker_pool *pool, struct worker_job *job, time_ns due);

/* Queues all parked jobs now, since a view has changed. Any thread. */
void worker_pool_wake(struct worker_pool *pool);

/* Number of jobs queued or parked. */
uint32_t worker_pool_backlog(struct worker_pool *pool);

#endif
