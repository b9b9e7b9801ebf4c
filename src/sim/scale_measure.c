/* Samples, percentiles and names of the simulated fleet's measures. */
#include "sim/scale_measure.h"

const char *scale_traffic_name(enum scale_traffic traffic)
{
    static const char *const names[SCALE_TRAFFIC_COUNT] = {
        [SCALE_TRAFFIC_GOSSIP] = "gossip",
        [SCALE_TRAFFIC_CONFIGURATION] = "configuration",
        [SCALE_TRAFFIC_GROUP_STATUS] = "group_status",
        [SCALE_TRAFFIC_BUDGET] = "budget",
        [SCALE_TRAFFIC_OPINION] = "opinion",
    };
    return names[traffic];
}

const char *scale_part_name(enum scale_part part)
{
    static const char *const names[SCALE_PART_COUNT] = {
        [SCALE_PART_MEMBERSHIP] = "membership", [SCALE_PART_OWNERSHIP] = "ownership",
        [SCALE_PART_BUDGETS] = "budgets",       [SCALE_PART_DISSEMINATION] = "dissemination",
        [SCALE_PART_CURRENCY] = "currency",     [SCALE_PART_CONTROL] = "control",
    };
    return names[part];
}

void scale_samples_init(struct scale_samples *samples)
{
    samples->values = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    samples->sorted = true;
}

void scale_samples_clear(struct scale_samples *samples)
{
    g_clear_pointer(&samples->values, g_array_unref);
}

void scale_samples_add(struct scale_samples *samples, uint64_t value)
{
    g_array_append_val(samples->values, value);
    samples->sorted = false;
}

static gint compare_values(gconstpointer a, gconstpointer b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    if (left == right) {
        return 0;
    }
    return left < right ? -1 : 1;
}

uint64_t scale_samples_percentile(struct scale_samples *samples, double share)
{
    if (samples->values->len == 0) {
        return 0;
    }
    if (!samples->sorted) {
        g_array_sort(samples->values, compare_values);
        samples->sorted = true;
    }
    guint last = samples->values->len - 1;
    guint index = (guint)(share * (double)last + 0.5);
    return g_array_index(samples->values, uint64_t, MIN(index, last));
}

void scale_measures_init(struct scale_measures *measures, time_ns now)
{
    *measures = (struct scale_measures){.started = now};
    scale_samples_init(&measures->configuration);
    scale_samples_init(&measures->configuration_all);
    scale_samples_init(&measures->configuration_healed);
    scale_samples_init(&measures->status);
    scale_samples_init(&measures->status_all);
    scale_samples_init(&measures->status_healed);
    scale_samples_init(&measures->change_detect);
    scale_samples_init(&measures->change_fence);
    scale_samples_init(&measures->change_promote);
    scale_samples_init(&measures->change_learn);
    scale_samples_init(&measures->change_whole);
    scale_samples_init(&measures->death_detected);
    scale_samples_init(&measures->leave_detected);
}

void scale_measures_clear(struct scale_measures *measures)
{
    scale_samples_clear(&measures->configuration);
    scale_samples_clear(&measures->configuration_all);
    scale_samples_clear(&measures->configuration_healed);
    scale_samples_clear(&measures->status);
    scale_samples_clear(&measures->status_all);
    scale_samples_clear(&measures->status_healed);
    scale_samples_clear(&measures->change_detect);
    scale_samples_clear(&measures->change_fence);
    scale_samples_clear(&measures->change_promote);
    scale_samples_clear(&measures->change_learn);
    scale_samples_clear(&measures->change_whole);
    scale_samples_clear(&measures->death_detected);
    scale_samples_clear(&measures->leave_detected);
}
