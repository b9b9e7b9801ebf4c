/* What the daemon counts; see the header. */
#include "daemon/metrics.h"

#include <stdatomic.h>

#include "daemon/task.h"

struct daemon_metrics {
    _Atomic uint64_t replies[OUTCOME_COUNT];
};

struct daemon_metrics *metrics_new(void)
{
    return g_new0(struct daemon_metrics, 1);
}

void metrics_free(struct daemon_metrics *metrics)
{
    g_free(metrics);
}

void metrics_count_reply(struct daemon_metrics *metrics, const struct task *task, time_ns now)
{
    if (task->reply.outcome < OUTCOME_COUNT) {
        atomic_fetch_add(&metrics->replies[task->reply.outcome], 1);
    }
}

char *metrics_text(struct daemon_metrics *metrics)
{
    return g_strdup("");
}
