/* Computes the gap of a failover from a history whose clients write without pause. */
#include "sim/measure.h"

#include <stdio.h>

static const struct sim_record *find_record(const struct sim_run *run, time_ns after,
                                            enum group_record_kind first,
                                            enum group_record_kind second)
{
    for (guint i = 0; i < run->history.records->len; i++) {
        const struct sim_record *record =
            &g_array_index(run->history.records, struct sim_record, i);

        if (record->at >= after &&
            (record->record.kind == first || record->record.kind == second)) {
            return record;
        }
    }
    return NULL;
}

static gint compare_times(gconstpointer first, gconstpointer second)
{
    const time_ns *a = first;
    const time_ns *b = second;

    return *a < *b ? -1 : *a > *b;
}

/* The times at which writes were acknowledged, in ascending order. */
static GArray *acknowledged_times(const struct sim_run *run)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(time_ns));

    for (guint i = 0; i < run->history.attempts->len; i++) {
        const struct sim_attempt *attempt = g_ptr_array_index(run->history.attempts, i);

        if (attempt->work == SIM_WORK_WRITE && attempt->state == SIM_ATTEMPT_ANSWERED &&
            attempt->outcome == OUTCOME_DONE) {
            g_array_append_val(times, attempt->ended_at);
        }
    }
    g_array_sort(times, compare_times);
    return times;
}

/* The longest pause that ends after `from` and begins before `to`. */
static time_ns longest_pause(const GArray *times, time_ns from, time_ns to)
{
    time_ns longest = 0;

    for (guint i = 1; i < times->len; i++) {
        time_ns begin = g_array_index(times, time_ns, i - 1);
        time_ns end = g_array_index(times, time_ns, i);

        if (end >= from && begin <= to && end - begin > longest) {
            longest = end - begin;
        }
    }
    return longest;
}

time_ns measure_longest_gap(const struct sim_run *run)
{
    g_autoptr(GArray) times = acknowledged_times(run);
    time_ns end = run->clients_stop_at;

    g_array_prepend_val(times, run->load_starts_at);
    g_array_append_val(times, end);
    return longest_pause(times, run->load_starts_at, end);
}

static time_ns first_after(const GArray *times, time_ns from)
{
    for (guint i = 0; i < times->len; i++) {
        if (g_array_index(times, time_ns, i) >= from) {
            return g_array_index(times, time_ns, i);
        }
    }
    return 0;
}

struct measure_gap measure_first_gap(const struct sim_run *run)
{
    struct measure_gap gap = {0};
    g_autoptr(GArray) times = acknowledged_times(run);
    const struct sim_record *begun;
    const struct sim_record *promoted;
    time_ns fault_at;
    time_ns landed;

    if (run->history.faults->len == 0) {
        return gap;
    }
    fault_at = g_array_index(run->history.faults, struct sim_fault_mark, 0).at;
    begun = find_record(run, fault_at, GROUP_RECORD_FENCE_STARTED, GROUP_RECORD_CHANGE_STARTED);
    promoted = find_record(run, fault_at, GROUP_RECORD_PROMOTED, GROUP_RECORD_PROMOTED);
    if (begun == NULL || promoted == NULL) {
        return gap;
    }
    landed = first_after(times, promoted->at);
    if (landed == 0) {
        return gap;
    }
    gap.found = true;
    gap.detect = begun->at - fault_at;
    gap.promote = promoted->at - begun->at;
    gap.learn = landed - promoted->at;
    gap.gap = longest_pause(times, fault_at, promoted->at);
    return gap;
}

static gint compare_gaps(gconstpointer first, gconstpointer second)
{
    const struct measure_gap *a = first;
    const struct measure_gap *b = second;

    return compare_times(&a->gap, &b->gap);
}

static double milliseconds(time_ns time)
{
    return (double)time / (double)SIM_MILLISECOND;
}

static const struct measure_gap *at_percentile(const GArray *gaps, double percentile)
{
    guint index = (guint)(percentile / 100 * (gaps->len - 1) + 0.5);

    return &g_array_index(gaps, struct measure_gap, index);
}

static void print_line(const char *name, const struct measure_gap *gap)
{
    printf("  %-7s %8.1f ms  (detect %.1f, fence and promote %.1f, learn %.1f)\n", name,
           milliseconds(gap->gap), milliseconds(gap->detect), milliseconds(gap->promote),
           milliseconds(gap->learn));
}

void measure_print(GArray *gaps, const char *title)
{
    if (gaps->len == 0) {
        printf("%s: no replacement of the primary was measured\n", title);
        return;
    }
    g_array_sort(gaps, compare_gaps);
    printf("%s: time without an acknowledged write, over %u replacements\n", title, gaps->len);
    print_line("median", at_percentile(gaps, 50));
    print_line("p99", at_percentile(gaps, 99));
    print_line("worst", at_percentile(gaps, 100));
}
