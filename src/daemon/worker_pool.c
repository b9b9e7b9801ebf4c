/* The threads that run requests; see the header. */
#include "daemon/worker_pool.h"

#include <glib.h>
#include <pthread.h>

#include "backend/clock.h"

/* Maximum number of threads of a lane that starts them on demand. */
#define LANE_THREADS_MAX 4096

/* The same for requests that other daemons serve. At the target size a daemon forwards 408 requests
 * per second, and each may wait for 2 s while no primary is known: this suffices for three of ten.
 * More threads would only open more connections to the owners when all callers send at once. */
#define FORWARDING_THREADS_MAX 256

/* One queue with its threads. */
struct lane {
    struct worker_pool *pool;
    pthread_cond_t queued_more; /* a job was queued, or the pool stops */
    struct worker_job *first;
    struct worker_job **last;
    uint32_t queued;
    uint32_t idle; /* threads waiting for a job */
    uint32_t threads_max;
    GArray *threads; /* of pthread_t */
};

struct worker_pool {
    pthread_mutex_t lock; /* guards all below, and the lanes */
    struct lane lanes[WORKER_LANE_COUNT];
    uint32_t queue_limit;
    bool stopping;

    GSequence *parked; /* of struct worker_job, by due time */
    pthread_cond_t parked_changed;
    pthread_t timer; /* queues parked jobs that are due */
};

static int compare_due(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct worker_job *first = a;
    const struct worker_job *second = b;
    if (first->due == second->due) {
        return 0;
    }
    return first->due < second->due ? -1 : 1;
}

/* The functions below are called with the lock held. */

static struct worker_job *take_first(struct lane *lane)
{
    struct worker_job *job = lane->first;
    if (job == NULL) {
        return NULL;
    }
    lane->first = job->next;
    if (lane->first == NULL) {
        lane->last = &lane->first;
    }
    lane->queued--;
    return job;
}

static void wait_for_job(struct lane *lane)
{
    lane->idle++;
    pthread_cond_wait(&lane->queued_more, &lane->pool->lock);
    lane->idle--;
}

static void *worker_main(void *data)
{
    struct lane *lane = data;
    struct worker_pool *pool = lane->pool;
    pthread_setname_np(pthread_self(), "worker");
    pthread_mutex_lock(&pool->lock);
    for (;;) {
        struct worker_job *job = take_first(lane);
        if (job != NULL) {
            pthread_mutex_unlock(&pool->lock);
            job->run(job);
            pthread_mutex_lock(&pool->lock);
        } else if (pool->stopping) {
            break;
        } else {
            wait_for_job(lane);
        }
    }
    pthread_mutex_unlock(&pool->lock);
    return NULL;
}

/* Starts one more thread. If the lane has none at all, no job could run, which is fatal; otherwise
 * jobs wait for the existing threads. */
static void start_thread(struct lane *lane)
{
    pthread_t thread;
    if (pthread_create(&thread, NULL, worker_main, lane) == 0) {
        g_array_append_val(lane->threads, thread);
    } else if (lane->threads->len == 0) {
        g_error("worker: Can't start a thread.");
    }
}

static void append(struct worker_pool *pool, struct worker_job *job)
{
    struct lane *lane = &pool->lanes[job->lane];
    job->next = NULL;
    *lane->last = job;
    lane->last = &job->next;
    lane->queued++;
    if (lane->queued > lane->idle && lane->threads->len < lane->threads_max) {
        start_thread(lane);
    }
    pthread_cond_signal(&lane->queued_more);
}

static struct worker_job *first_parked(struct worker_pool *pool)
{
    GSequenceIter *begin = g_sequence_get_begin_iter(pool->parked);
    return g_sequence_iter_is_end(begin) ? NULL : g_sequence_get(begin);
}

/* Moves parked jobs that are due to their queues. */
static void release_parked(struct worker_pool *pool, time_ns now)
{
    struct worker_job *job = first_parked(pool);
    while (job != NULL && job->due <= now) {
        g_sequence_remove(g_sequence_get_begin_iter(pool->parked));
        append(pool, job);
        job = first_parked(pool);
    }
}

static void wait_for_due(struct worker_pool *pool)
{
    struct worker_job *job = first_parked(pool);
    if (job == NULL) {
        pthread_cond_wait(&pool->parked_changed, &pool->lock);
        return;
    }
    struct timespec until = backend_timespec(job->due);
    pthread_cond_timedwait(&pool->parked_changed, &pool->lock, &until);
}

static void *timer_main(void *data)
{
    struct worker_pool *pool = data;
    pthread_setname_np(pthread_self(), "worker-timer");
    pthread_mutex_lock(&pool->lock);
    while (!pool->stopping) {
        release_parked(pool, backend_now());
        wait_for_due(pool);
    }
    pthread_mutex_unlock(&pool->lock);
    return NULL;
}

static void init_lane(struct worker_pool *pool, enum worker_lane index, uint32_t threads_max)
{
    struct lane *lane = &pool->lanes[index];
    lane->pool = pool;
    pthread_cond_init(&lane->queued_more, NULL);
    lane->last = &lane->first;
    lane->threads_max = threads_max;
    lane->threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
}

static void start_timer(struct worker_pool *pool)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&pool->parked_changed, &attributes);
    pthread_condattr_destroy(&attributes);
    pool->parked = g_sequence_new(NULL);
    if (pthread_create(&pool->timer, NULL, timer_main, pool) != 0) {
        g_error("worker: Can't start the timer's thread.");
    }
}

struct worker_pool *worker_pool_new(uint32_t threads, uint32_t queue_limit)
{
    struct worker_pool *pool = g_new0(struct worker_pool, 1);
    pthread_mutex_init(&pool->lock, NULL);
    pool->queue_limit = queue_limit;
    init_lane(pool, WORKER_LANE_NEW, threads);
    init_lane(pool, WORKER_LANE_FORWARDING, FORWARDING_THREADS_MAX);
    init_lane(pool, WORKER_LANE_TRANSACTION, LANE_THREADS_MAX);
    init_lane(pool, WORKER_LANE_FORWARDED, LANE_THREADS_MAX);
    start_timer(pool);
    return pool;
}

/* Ends a lane's threads after its last job. No more threads are started then. */
static void stop_lane(struct lane *lane)
{
    for (guint i = 0; i < lane->threads->len; i++) {
        pthread_join(g_array_index(lane->threads, pthread_t, i), NULL);
    }
    g_assert(lane->first == NULL);
    g_array_unref(lane->threads);
    pthread_cond_destroy(&lane->queued_more);
}

void worker_pool_free(struct worker_pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->stopping = true;
    pthread_cond_broadcast(&pool->parked_changed);
    for (int i = 0; i < WORKER_LANE_COUNT; i++) {
        pthread_cond_broadcast(&pool->lanes[i].queued_more);
    }
    pthread_mutex_unlock(&pool->lock);
    pthread_join(pool->timer, NULL);
    for (int i = 0; i < WORKER_LANE_COUNT; i++) {
        stop_lane(&pool->lanes[i]);
    }
    g_assert(g_sequence_is_empty(pool->parked));
    g_sequence_free(pool->parked);
    pthread_cond_destroy(&pool->parked_changed);
    pthread_mutex_destroy(&pool->lock);
    g_free(pool);
}

bool worker_pool_submit(struct worker_pool *pool, struct worker_job *job)
{
    pthread_mutex_lock(&pool->lock);
    bool accepted = pool->lanes[job->lane].queued < pool->queue_limit;
    if (accepted) {
        append(pool, job);
    }
    pthread_mutex_unlock(&pool->lock);
    return accepted;
}

void worker_pool_resume(struct worker_pool *pool, struct worker_job *job)
{
    pthread_mutex_lock(&pool->lock);
    append(pool, job);
    pthread_mutex_unlock(&pool->lock);
}

void worker_pool_park(struct worker_pool *pool, struct worker_job *job, time_ns due)
{
    pthread_mutex_lock(&pool->lock);
    job->due = due;
    g_sequence_insert_sorted(pool->parked, job, compare_due, NULL);
    if (first_parked(pool) == job) {
        pthread_cond_signal(&pool->parked_changed);
    }
    pthread_mutex_unlock(&pool->lock);
}

void worker_pool_wake(struct worker_pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    release_parked(pool, UINT64_MAX);
    pthread_mutex_unlock(&pool->lock);
}

uint32_t worker_pool_backlog(struct worker_pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    uint32_t backlog = (uint32_t)g_sequence_get_length(pool->parked);
    for (int i = 0; i < WORKER_LANE_COUNT; i++) {
        backlog += pool->lanes[i].queued;
    }
    pthread_mutex_unlock(&pool->lock);
    return backlog;
}
