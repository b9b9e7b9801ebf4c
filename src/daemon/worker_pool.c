/* The threads that run requests; see the header. */
#include "daemon/worker_pool.h"

#include <glib.h>
#include <pthread.h>

#include "backend/clock.h"

struct worker_pool {
    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t changed;
    struct worker_job *first;
    struct worker_job **last;
    uint32_t queued;
    uint32_t queue_limit;
    GSequence *parked; /* of struct worker_job, by due time */
    bool stopping;
    uint32_t thread_count;
    pthread_t *threads;
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

static void append(struct worker_pool *pool, struct worker_job *job)
{
    job->next = NULL;
    *pool->last = job;
    pool->last = &job->next;
    pool->queued++;
}

static struct worker_job *take_first(struct worker_pool *pool)
{
    struct worker_job *job = pool->first;
    if (job == NULL) {
        return NULL;
    }
    pool->first = job->next;
    if (pool->first == NULL) {
        pool->last = &pool->first;
    }
    pool->queued--;
    return job;
}

static struct worker_job *first_parked(struct worker_pool *pool)
{
    GSequenceIter *begin = g_sequence_get_begin_iter(pool->parked);
    return g_sequence_iter_is_end(begin) ? NULL : g_sequence_get(begin);
}

/* Moves parked jobs that are due to the queue. */
static void release_parked(struct worker_pool *pool, time_ns now)
{
    struct worker_job *job = first_parked(pool);
    while (job != NULL && job->due <= now) {
        g_sequence_remove(g_sequence_get_begin_iter(pool->parked));
        append(pool, job);
        job = first_parked(pool);
    }
}

static void wait_for_work(struct worker_pool *pool)
{
    struct worker_job *parked = first_parked(pool);
    if (parked == NULL) {
        pthread_cond_wait(&pool->changed, &pool->lock);
        return;
    }
    struct timespec until = backend_timespec(parked->due);
    pthread_cond_timedwait(&pool->changed, &pool->lock, &until);
}

static void *worker_main(void *data)
{
    struct worker_pool *pool = data;
    pthread_mutex_lock(&pool->lock);
    for (;;) {
        release_parked(pool, backend_now());
        struct worker_job *job = take_first(pool);
        if (job != NULL) {
            pthread_mutex_unlock(&pool->lock);
            job->run(job);
            pthread_mutex_lock(&pool->lock);
            continue;
        }
        if (pool->stopping) {
            break;
        }
        wait_for_work(pool);
    }
    pthread_mutex_unlock(&pool->lock);
    return NULL;
}

struct worker_pool *worker_pool_new(uint32_t threads, uint32_t queue_limit)
{
    struct worker_pool *pool = g_new0(struct worker_pool, 1);
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&pool->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    pthread_mutex_init(&pool->lock, NULL);
    pool->last = &pool->first;
    pool->queue_limit = queue_limit;
    pool->parked = g_sequence_new(NULL);
    pool->thread_count = threads;
    pool->threads = g_new0(pthread_t, threads);
    for (uint32_t i = 0; i < threads; i++) {
        if (pthread_create(&pool->threads[i], NULL, worker_main, pool) != 0) {
            g_error("worker: Can't start thread %u of %u.", i + 1, threads);
        }
    }
    return pool;
}

void worker_pool_free(struct worker_pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->stopping = true;
    pthread_cond_broadcast(&pool->changed);
    pthread_mutex_unlock(&pool->lock);
    for (uint32_t i = 0; i < pool->thread_count; i++) {
        pthread_join(pool->threads[i], NULL);
    }
    g_assert(g_sequence_is_empty(pool->parked));
    g_sequence_free(pool->parked);
    pthread_cond_destroy(&pool->changed);
    pthread_mutex_destroy(&pool->lock);
    g_free(pool->threads);
    g_free(pool);
}

bool worker_pool_submit(struct worker_pool *pool, struct worker_job *job)
{
    pthread_mutex_lock(&pool->lock);
    bool accepted = pool->queued < pool->queue_limit;
    if (accepted) {
        append(pool, job);
        pthread_cond_signal(&pool->changed);
    }
    pthread_mutex_unlock(&pool->lock);
    return accepted;
}

void worker_pool_resume(struct worker_pool *pool, struct worker_job *job)
{
    pthread_mutex_lock(&pool->lock);
    append(pool, job);
    pthread_cond_signal(&pool->changed);
    pthread_mutex_unlock(&pool->lock);
}

void worker_pool_park(struct worker_pool *pool, struct worker_job *job, time_ns due)
{
    pthread_mutex_lock(&pool->lock);
    job->due = due;
    g_sequence_insert_sorted(pool->parked, job, compare_due, NULL);
    pthread_cond_signal(&pool->changed);
    pthread_mutex_unlock(&pool->lock);
}

void worker_pool_wake(struct worker_pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    release_parked(pool, UINT64_MAX);
    pthread_cond_broadcast(&pool->changed);
    pthread_mutex_unlock(&pool->lock);
}

uint32_t worker_pool_backlog(struct worker_pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    uint32_t backlog = pool->queued + (uint32_t)g_sequence_get_length(pool->parked);
    pthread_mutex_unlock(&pool->lock);
    return backlog;
}
