/* The frontend's own metrics. */
#ifndef SW_FRONTEND_FRONTEND_METRICS_H
#define SW_FRONTEND_FRONTEND_METRICS_H

#include "frontend/metrics.h"
#include "generated/errors.h"
#include "generated/messages.h"

/* Metrics of a registry, which must outlive this struct. Any thread may update them. */
struct frontend_metrics {
    struct metric_counter *answers[OUTCOME_COUNT];
    struct metric_counter *errors[ERROR_KIND_COUNT];
    struct metric_histogram *seconds; /* from the first byte to the answer */
    struct metric_gauge *in_flight;
    struct metric_gauge *connections;
    struct metric_counter
        *abandoned; /* requests whose connection ended before the answer was written */
};

void frontend_metrics_init(struct frontend_metrics *handles, struct metrics *registry);

/* Counts one answer, sent `seconds` after the request's first byte. */
void frontend_metrics_count(const struct frontend_metrics *handles, const struct reply *reply,
                            double seconds);

#endif
