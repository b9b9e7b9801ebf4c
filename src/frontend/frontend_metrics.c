#include "frontend/frontend_metrics.h"

#define NAME_ANSWERS     "swiftworks_frontend_answers_total"
#define NAME_ERRORS      "swiftworks_frontend_errors_total"
#define NAME_SECONDS     "swiftworks_frontend_request_seconds"
#define NAME_IN_FLIGHT   "swiftworks_frontend_requests_in_flight"
#define NAME_CONNECTIONS "swiftworks_frontend_connections"
#define NAME_ABANDONED   "swiftworks_frontend_abandoned_total"

/* In seconds; from a read in the same zone to the longest time-out. */
static const double second_bounds[] = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                       0.2,   0.5,   1,     2,    5,    10,   30};

void frontend_metrics_init(struct frontend_metrics *handles, struct metrics *registry)
{
    for (unsigned i = 0; i < OUTCOME_COUNT; i++) {
        const struct metric_label labels[] = {{"outcome", outcome_name((enum outcome)i)},
                                              {NULL, NULL}};
        handles->answers[i] =
            metrics_counter(registry, NAME_ANSWERS, "Answers to callers by outcome.", labels);
    }
    for (unsigned i = 0; i < ERROR_KIND_COUNT; i++) {
        const struct metric_label labels[] = {{"kind", error_entry_of((enum error_kind)i)->name},
                                              {NULL, NULL}};
        handles->errors[i] = metrics_counter(
            registry, NAME_ERRORS, "Answers that are not done, by kind of error.", labels);
    }
    handles->seconds = metrics_histogram(registry, NAME_SECONDS,
                                         "Seconds from a request's first octet to its answer.",
                                         NULL, second_bounds, G_N_ELEMENTS(second_bounds));
    handles->in_flight = metrics_gauge(registry, NAME_IN_FLIGHT,
                                       "Requests that arrive or await their answer.", NULL);
    handles->connections =
        metrics_gauge(registry, NAME_CONNECTIONS, "Connections of callers.", NULL);
    handles->abandoned =
        metrics_counter(registry, NAME_ABANDONED,
                        "Requests whose connection ended before the answer was written.", NULL);
}

void frontend_metrics_count(const struct frontend_metrics *handles, const struct reply *reply,
                            double seconds)
{
    if ((unsigned)reply->outcome < OUTCOME_COUNT) {
        metric_counter_add(handles->answers[reply->outcome], 1);
    }
    if (reply->outcome != OUTCOME_DONE) {
        enum error_kind kind = error_entry_of((enum error_kind)reply->error_kind)->kind;
        metric_counter_add(handles->errors[kind], 1);
    }
    metric_histogram_observe(handles->seconds, seconds);
}
