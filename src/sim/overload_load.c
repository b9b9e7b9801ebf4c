/* Clients that arrive at a fixed rate and retry; see overload_load.h. */
#include "sim/overload_load.h"

#include <math.h>

#include "sim/sim_daemon.h"

/* An attempt's deadline, and how long after it the client still waits for the answer. */
#define ATTEMPT_DEADLINE      (1 * SIM_SECOND)
#define ANSWER_TIMEOUT_MARGIN (500 * SIM_MILLISECOND)
/* Time limit of an operation. */
#define OPERATION_TIME (3 * SIM_SECOND)
/* A client that ignores Retry-After, or whose attempt was lost, retries after this time. */
#define DEFAULT_RETRY_DELAY (50 * SIM_MILLISECOND)
/* Time after the start of the load from which goodput is counted. */
#define WARM_TIME (1 * SIM_SECOND)
/* Load after the overload, as a part of the capacity. */
#define HALF_LOAD_FACTOR 0.5

/* One operation of one client. */
struct overload_operation {
    time_ns arrived_at;
    time_ns sent_at; /* of the current attempt */
    uint64_t attempt;
    uint32_t attempts;
    bool patient;
    bool done;
    struct sim_operation write;
};

/* All clients of one zone. */
struct overload_source {
    struct sim_node node; /* first member, because daemons reply to the node */
    struct overload_load *load;
    GHashTable *pending; /* number of the attempt -> struct overload_operation */
};

struct overload_load {
    struct sim_run *run;
    const struct overload_options *options;
    struct overload_source sources[SIM_ZONES_MAX];
    double capacity_per_s;
    time_ns starts_at;
    time_ns ends_at;
    time_ns recovery_from; /* operations that arrive from here on count for the recovery time */
    time_ns last_failed_arrival; /* last arrival of an operation that failed at its first attempt */
    uint64_t arrivals;
    uint64_t done_in_time;
    uint64_t attempts;
    uint64_t lost;
    uint64_t given_up;
    GArray *done_times;    /* of time_ns, of attempts sent during the load */
    GArray *refused_times; /* likewise */
};

static void send_attempt(struct overload_source *source, struct overload_operation *operation);

static bool in_load(const struct overload_load *load, time_ns at)
{
    return at >= load->starts_at + WARM_TIME && at < load->ends_at;
}

static void on_retry(void *object, const void *payload)
{
    send_attempt(object, *(struct overload_operation *const *)payload);
}

/* The attempt failed: schedules another one if time is left. */
static void retry_after(struct overload_source *source, struct overload_operation *operation,
                        time_ns wait)
{
    struct overload_load *load = source->load;
    time_ns now = source->node.world->now;

    if (operation->attempts == 1 && operation->arrived_at >= load->recovery_from) {
        load->last_failed_arrival = MAX(load->last_failed_arrival, operation->arrived_at);
    }
    if (now + wait >= operation->arrived_at + OPERATION_TIME) {
        load->given_up += 1;
        return;
    }
    sim_node_schedule(&source->node, now + wait, on_retry, source, &operation, sizeof(operation));
}

static struct overload_operation *take_pending(struct overload_source *source, uint64_t attempt)
{
    struct overload_operation *operation = g_hash_table_lookup(source->pending, &attempt);

    if (operation != NULL) {
        g_hash_table_remove(source->pending, &attempt);
    }
    return operation;
}

static void on_no_answer(void *object, const void *payload)
{
    struct overload_source *source = object;
    struct overload_operation *operation = take_pending(source, *(const uint64_t *)payload);

    if (operation != NULL) {
        source->load->lost += 1;
        retry_after(source, operation, DEFAULT_RETRY_DELAY);
    }
}

static void note_done(struct overload_load *load, struct overload_operation *operation, time_ns now)
{
    time_ns latency = now - operation->sent_at;

    operation->done = true;
    if (in_load(load, now)) {
        load->done_in_time += 1;
    }
    if (in_load(load, operation->sent_at)) {
        g_array_append_val(load->done_times, latency);
    }
}

static void note_refused(struct overload_load *load, const struct overload_operation *operation,
                         time_ns now)
{
    time_ns latency = now - operation->sent_at;

    if (in_load(load, operation->sent_at)) {
        g_array_append_val(load->refused_times, latency);
    }
}

static void on_reply(void *object, const void *payload)
{
    struct overload_source *source = object;
    const struct sim_client_reply *reply = payload;
    struct overload_operation *operation = take_pending(source, reply->request_id);
    time_ns now = source->node.world->now;

    if (operation == NULL) {
        return;
    }
    if (reply->outcome == OUTCOME_DONE) {
        note_done(source->load, operation, now);
        return;
    }
    if (reply->outcome == OUTCOME_REFUSED) {
        note_refused(source->load, operation, now);
    } else {
        source->load->lost += 1;
    }
    retry_after(source, operation,
                operation->patient ? reply->retry_after_ms * SIM_MILLISECOND : DEFAULT_RETRY_DELAY);
}

static uint32_t choose_owner(const struct overload_load *load)
{
    struct sim_world *world = load->run->world;

    if (sim_random_chance(world, load->options->first_share)) {
        return 0;
    }
    return (uint32_t)sim_random_below(world, load->run->daemon_count);
}

static void on_arrived(void *object, const void *payload)
{
    struct overload_source *source = object;
    const struct sim_client_request *request = payload;
    struct sim_run *run = source->load->run;
    struct sim_daemon *daemon = run->daemons[request->client];

    if (daemon->node.alive) {
        sim_network_send(&run->network, source->node.zone, &daemon->node, daemon->node.incarnation,
                         sim_daemon_on_request, daemon, request, sizeof(*request));
    }
}

static void send_attempt(struct overload_source *source, struct overload_operation *operation)
{
    struct overload_load *load = source->load;
    struct sim_world *world = source->node.world;
    /* the clients of each owner form one tenant */
    struct sim_client_request request = {
        .from = &source->node,
        .on_reply = on_reply,
        .request_id = sim_world_next_id(world),
        .client = choose_owner(load),
        .work = load->options->writes ? SIM_WORK_WRITE : SIM_WORK_READ,
        .operation = &operation->write,
        .deadline = world->now + ATTEMPT_DEADLINE,
    };

    operation->attempt = request.request_id;
    operation->attempts += 1;
    operation->sent_at = world->now;
    load->attempts += 1;
    g_hash_table_insert(source->pending, &operation->attempt, operation);
    sim_node_schedule(&source->node, world->now + load->run->scenario->client_latency, on_arrived,
                      source, &request, sizeof(request));
    sim_node_schedule(&source->node, request.deadline + ANSWER_TIMEOUT_MARGIN, on_no_answer, source,
                      &operation->attempt, sizeof(operation->attempt));
}

static void start_operation(struct overload_source *source)
{
    struct sim_world *world = source->node.world;
    struct overload_operation *operation = sim_world_allocate(world, sizeof(*operation));

    operation->arrived_at = world->now;
    operation->patient = sim_random_chance(world, source->load->options->retry_after_share);
    operation->write.id = sim_world_next_id(world);
    operation->write.key = operation->write.id;
    operation->write.fingerprint = operation->write.id;
    source->load->arrivals += in_load(source->load, world->now) ? 1 : 0;
    send_attempt(source, operation);
}

/* Time until the next arrival of a Poisson process. */
static time_ns next_gap(const struct overload_load *load)
{
    time_ns now = load->run->world->now;
    double factor = now < load->ends_at ? load->options->factor : HALF_LOAD_FACTOR;
    double seconds =
        -log(1 - g_rand_double(load->run->world->random)) / (factor * load->capacity_per_s);

    return (time_ns)(seconds * (double)SIM_SECOND);
}

static void on_next_arrival(void *object, const void *payload)
{
    struct overload_load *load = object;
    struct sim_run *run = load->run;
    uint32_t zone = (uint32_t)sim_random_below(run->world, run->scenario->zones);

    (void)payload;
    if (run->world->now >= load->ends_at + OVERLOAD_REST_TIME) {
        return;
    }
    start_operation(&load->sources[zone]);
    sim_node_schedule(&run->operator_node, run->world->now + next_gap(load), on_next_arrival, load,
                      NULL, 0);
}

static double capacity_of(const struct overload_options *options)
{
    const struct sim_scenario *scenario = options->scenario;
    /* Replicas serve reads; the primary serves them only if no replica can. */
    double databases = options->writes ? 1 : scenario->databases - 1;

    return databases * scenario->database.slots * (double)SIM_SECOND /
           (double)scenario->database.service_time;
}

struct overload_load *overload_load_new(struct sim_run *run, const struct overload_options *options)
{
    struct overload_load *load = g_new0(struct overload_load, 1);

    load->run = run;
    load->options = options;
    load->capacity_per_s = capacity_of(options);
    load->starts_at = run->world->now + SIM_BOOTSTRAP_TIME;
    load->ends_at = load->starts_at + OVERLOAD_TIME;
    load->recovery_from = load->ends_at;
    if (run->scenario->fault_count > 0) {
        load->recovery_from = load->starts_at + run->scenario->faults[0].at;
    }
    load->done_times = g_array_new(FALSE, FALSE, sizeof(time_ns));
    load->refused_times = g_array_new(FALSE, FALSE, sizeof(time_ns));
    for (uint32_t i = 0; i < run->scenario->zones; i++) {
        load->sources[i].load = load;
        load->sources[i].pending = g_hash_table_new(g_int64_hash, g_int64_equal);
        sim_node_init(&load->sources[i].node, run->world, i);
    }
    sim_node_schedule(&run->operator_node, load->starts_at, on_next_arrival, load, NULL, 0);
    return load;
}

void overload_load_free(struct overload_load *load)
{
    for (uint32_t i = 0; i < load->run->scenario->zones; i++) {
        g_hash_table_unref(load->sources[i].pending);
    }
    g_array_unref(load->done_times);
    g_array_unref(load->refused_times);
    g_free(load);
}

static gint compare_times(gconstpointer first, gconstpointer second)
{
    const time_ns *a = first;
    const time_ns *b = second;

    return *a < *b ? -1 : *a > *b;
}

/* A percentile of sorted times. */
static time_ns at_percentile(const GArray *times, double percentile)
{
    if (times->len == 0) {
        return 0;
    }
    return g_array_index(times, time_ns, (guint)(percentile / 100 * (times->len - 1) + 0.5));
}

void overload_load_evaluate(struct overload_load *load, struct overload_result *result)
{
    double seconds = (double)(OVERLOAD_TIME - WARM_TIME) / (double)SIM_SECOND;

    g_array_sort(load->done_times, compare_times);
    g_array_sort(load->refused_times, compare_times);
    result->capacity_per_s = load->capacity_per_s;
    result->offered_per_s = (double)load->arrivals / seconds;
    result->goodput_per_s = (double)load->done_in_time / seconds;
    result->done_p50 = at_percentile(load->done_times, 50);
    result->done_p99 = at_percentile(load->done_times, 99);
    result->attempts = load->attempts;
    result->refused = load->refused_times->len;
    result->refused_p50 = at_percentile(load->refused_times, 50);
    result->refused_p99 = at_percentile(load->refused_times, 99);
    result->lost = load->lost;
    result->given_up = load->given_up;
    if (load->last_failed_arrival > 0) {
        result->recovery = load->last_failed_arrival - load->recovery_from;
    }
}
