/* Operations of a session. See workload.h. */
#include "load/workload.h"

/* Bounds of the back-off used when the answer names no delay; it doubles with each attempt. */
#define BACKOFF_FIRST_MS   10U
#define BACKOFF_LONGEST_MS 200U

struct workload *workload_new(const struct workload_options *options, struct workload *const *all,
                              uint32_t index)
{
    struct workload *workload = g_new0(struct workload, 1);
    workload->options = options;
    workload->all = all;
    workload->index = index;
    workload->session = g_strdup_printf("%s-s%u", options->run, index);
    const guint32 seeds[] = {options->seed, index};
    workload->random = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
    return workload;
}

void workload_free(struct workload *workload)
{
    if (workload == NULL) {
        return;
    }
    g_rand_free(workload->random);
    g_free(workload->session);
    g_free(workload);
}

static char *range_of(const struct workload *workload)
{
    uint32_t generation = atomic_load(&workload->generation);
    return g_strdup_printf("%s.%u/", workload->session, generation);
}

static bool chance(struct workload *workload, double share)
{
    return g_rand_double(workload->random) < share;
}

static struct operation *next_read(struct workload *workload)
{
    const struct workload *writer = workload;
    if (!chance(workload, workload->options->own_read_share)) {
        gint32 sessions = (gint32)workload->options->sessions;
        writer = workload->all[g_rand_int_range(workload->random, 0, sessions)];
    }
    g_autofree char *range = range_of(writer);
    return operation_read_new(workload->operations, range);
}

static struct operation *next_write(struct workload *workload)
{
    atomic_store(&workload->generation, (uint32_t)(workload->writes / WORKLOAD_RANGE_WRITES));
    g_autofree char *range = range_of(workload);
    g_autofree char *id = g_strdup_printf("%s%08" G_GUINT64_FORMAT, range, workload->writes);
    workload->writes++;
    bool batch = chance(workload, workload->options->batch_share);
    bool keyed = !chance(workload, workload->options->unkeyed_share);
    struct operation *operation =
        batch ? operation_batch_new(workload->operations, range, id, workload->session)
              : operation_entry_new(workload->operations, range, id);
    operation->key = keyed ? workload_new_key(workload) : NULL;
    return operation;
}

struct operation *workload_next(struct workload *workload)
{
    workload->operations++;
    bool read = chance(workload, workload->options->read_share);
    return read ? next_read(workload) : next_write(workload);
}

char *workload_new_key(struct workload *workload)
{
    return g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%08x", workload->session, workload->operations,
                           g_rand_int(workload->random));
}

static enum retry_action follow_advice(bool repeatable, enum error_retry advice)
{
    switch (advice) {
    case ERROR_RETRY_YES:
        return RETRY_ACTION_SAME_KEY;
    case ERROR_RETRY_NEW_KEY:
        return RETRY_ACTION_NEW_KEY;
    case ERROR_RETRY_SAME_KEY:
        return repeatable ? RETRY_ACTION_SAME_KEY : RETRY_ACTION_STOP;
    case ERROR_RETRY_NO:
        break;
    }
    return RETRY_ACTION_STOP;
}

enum retry_action retry_decide(enum operation_kind kind, bool keyed, enum attempt_outcome outcome,
                               enum error_retry advice)
{
    bool repeatable = keyed || !operation_is_write(kind);
    switch (outcome) {
    case ATTEMPT_NOT_SENT:
        return RETRY_ACTION_SAME_KEY;
    case ATTEMPT_LOST:
        return repeatable ? RETRY_ACTION_SAME_KEY : RETRY_ACTION_STOP;
    case ATTEMPT_REFUSED:
    case ATTEMPT_FAILED:
    case ATTEMPT_UNKNOWN:
        return follow_advice(repeatable, advice);
    case ATTEMPT_DONE:
    case ATTEMPT_OUTCOME_COUNT:
        break;
    }
    return RETRY_ACTION_STOP;
}

uint32_t retry_delay_ms(uint32_t attempt, uint32_t retry_after_ms, double random)
{
    if (retry_after_ms > 0) {
        return retry_after_ms;
    }
    uint32_t longest = BACKOFF_FIRST_MS;
    for (uint32_t i = 1; i < attempt && longest < BACKOFF_LONGEST_MS; i++) {
        longest *= 2;
    }
    longest = MIN(longest, BACKOFF_LONGEST_MS);
    /* Half of the delay is random, so that clients do not retry together. */
    return (uint32_t)((double)longest * (0.5 + random / 2));
}
