/* Maintenance of a group's ledger; see the header. */
#define G_LOG_DOMAIN "ledger"
#include "daemon/ledger_upkeep.h"

#include <glib.h>

#include "backend/adapter.h"
#include "backend/clock.h"

/* Time-out of one job. */
#define LEDGER_TIMEOUT_MS 2000

/* Rows removed in one transaction, which is kept short so that writes are hardly delayed. */
#define EXPIRE_ROWS 200

/* The kinds of jobs. */
enum ledger_task {
    LEDGER_TASK_CREATE,
    LEDGER_TASK_EXPIRE,
};

struct ledger_job {
    struct worker_job job; /* first member: a job is cast to its ledger_job */
    enum ledger_task task;
    struct group_runtime *group; /* one reference */
    int32_t primary;
    uint64_t term;
    uint32_t days; /* EXPIRE */
};

static void create(struct ledger_job *job, struct backend_connection *connection, time_ns deadline)
{
    struct execute_answer answer;
    execute_answer_init(&answer);
    enum execute_result result = adapter_create_ledger(connection, deadline, &answer);
    if (result == EXECUTE_DONE) {
        atomic_store(&job->group->ledger_term, job->term);
    } else {
        g_info("Creating the ledger of group %u failed: %s.", job->group->group->id,
               execute_result_name(result));
    }
    execute_answer_clear(&answer);
}

static void expire(struct ledger_job *job, struct backend_connection *connection, time_ns deadline)
{
    struct execute_answer answer;
    uint64_t removed = 0;
    execute_answer_init(&answer);
    enum execute_result result =
        adapter_expire_ledger(connection, job->days, EXPIRE_ROWS, deadline, &removed, &answer);
    if (result != EXECUTE_DONE) {
        g_info("Removing expired keys from the ledger of group %u failed: %s.",
               job->group->group->id, execute_result_name(result));
    } else if (removed > 0) {
        g_info("Ledger of group %u: %" G_GUINT64_FORMAT " keys older than %u days removed.",
               job->group->group->id, removed, job->days);
    }
    execute_answer_clear(&answer);
}

static void run(struct worker_job *worker_job)
{
    struct ledger_job *job = (struct ledger_job *)worker_job;
    struct pool *pool = job->group->databases[job->primary].pool;
    time_ns deadline = backend_now() + LEDGER_TIMEOUT_MS * NANOSECONDS_PER_MILLISECOND;
    struct backend_connection *connection = pool_acquire(pool, deadline, NULL);
    if (connection != NULL) {
        if (job->task == LEDGER_TASK_CREATE) {
            create(job, connection, deadline);
        } else {
            expire(job, connection, deadline);
        }
        pool_release(pool, connection, backend_connection_is_clean(connection));
    }
    group_runtime_unref(job->group);
    g_free(job);
}

static struct ledger_job *new_job(enum ledger_task task, struct group_runtime *group,
                                  const struct group_view *view)
{
    struct ledger_job *job = g_new0(struct ledger_job, 1);
    job->job.run = run;
    job->task = task;
    job->group = group_runtime_ref(group);
    job->primary = view->primary;
    job->term = view->term;
    return job;
}

void ledger_upkeep_create(struct worker_pool *workers, struct group_runtime *group,
                          const struct group_view *view)
{
    struct ledger_job *job = new_job(LEDGER_TASK_CREATE, group, view);
    worker_pool_resume(workers, &job->job);
}

void ledger_upkeep_expire(struct worker_pool *workers, struct group_runtime *group,
                          const struct group_view *view, uint32_t days)
{
    struct ledger_job *job = new_job(LEDGER_TASK_EXPIRE, group, view);
    job->days = days;
    worker_pool_resume(workers, &job->job);
}
