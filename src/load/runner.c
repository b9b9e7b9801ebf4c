/* Threads of the sessions. See runner.h. */
#include "load/runner.h"

#include <pthread.h>
#include <time.h>

#include "core/types.h"

#define SESSION_STACK_BYTES (512U * 1024U)
/* Longest sleep between two checks of the stop flag. */
#define STOP_CHECK_NS (50 * NANOSECONDS_PER_MILLISECOND)

/* Set by a signal or at the end; read by all threads. */
static atomic_bool stop_requested;

/* One run, shared by its threads. `lock` guards the summary and the history file. */
struct runner {
    const struct runner_options *options;
    struct workload **workloads;
    uint64_t started_ns;
    uint64_t ends_ns;
    _Atomic uint64_t next_arrival; /* open loop: number of the next operation */
    pthread_mutex_t lock;
    struct summary *summary;
};

/* One session. Used by its thread only. */
struct session {
    struct runner *runner;
    struct workload *workload;
    struct client *client;
    const char *tenant;
    char *token; /* NULL until an answer has contained one */
    uint64_t requests;
    pthread_t thread;
};

uint64_t clock_now_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * NANOSECONDS_PER_SECOND + (uint64_t)now.tv_nsec;
}

void runner_stop(void)
{
    atomic_store(&stop_requested, true);
}

static bool is_over(const struct runner *runner, uint64_t now_ns)
{
    return atomic_load(&stop_requested) || now_ns >= runner->ends_ns;
}

/* Sleeps until `until_ns`, or less if the run is stopped. */
static void sleep_until(uint64_t until_ns)
{
    uint64_t now_ns = clock_now_ns();
    while (now_ns < until_ns && !atomic_load(&stop_requested)) {
        uint64_t wait_ns = MIN(until_ns - now_ns, STOP_CHECK_NS);
        struct timespec wait = {
            .tv_sec = (time_t)(wait_ns / NANOSECONDS_PER_SECOND),
            .tv_nsec = (long)(wait_ns % NANOSECONDS_PER_SECOND),
        };
        nanosleep(&wait, NULL);
        now_ns = clock_now_ns();
    }
}

/* The daemon for the next request; each request uses the next one of the list. */
static const char *next_address(struct session *session)
{
    GStrv addresses = session->runner->options->addresses;
    uint64_t place = session->workload->index + session->requests;
    session->requests++;
    return addresses[place % g_strv_length(addresses)];
}

/* Builds the record of an attempt. Takes the answer's content, except for its token and text. */
static struct history_record *make_record(const struct session *session,
                                          const struct operation *operation,
                                          struct client_answer *answer)
{
    struct history_record *record = history_record_new();
    record->session = g_strdup(session->workload->session);
    record->tenant = g_strdup(session->tenant);
    record->operation = operation->number;
    record->kind = operation->kind;
    record->id = g_strdup(operation->id);
    record->range = g_strdup(operation->range);
    record->key = g_strdup(operation->key);
    record->outcome = answer->outcome;
    record->error = g_steal_pointer(&answer->error);
    record->retry = answer->retry;
    record->retry_after_ms = answer->retry_after_ms;
    record->served_by = answer->served_by;
    answer->served_by = (struct served_by){0};
    record->rows = g_steal_pointer(&answer->rows);
    return record;
}

static void write_record(struct runner *runner, const struct history_record *record)
{
    g_autofree char *line =
        runner->options->history != NULL ? history_record_to_json(record) : NULL;
    pthread_mutex_lock(&runner->lock);
    summary_add(runner->summary, record);
    if (line != NULL) {
        fprintf(runner->options->history, "%s\n", line);
    }
    pthread_mutex_unlock(&runner->lock);
}

static void count_abandoned(struct runner *runner)
{
    pthread_mutex_lock(&runner->lock);
    runner->summary->abandoned++;
    pthread_mutex_unlock(&runner->lock);
}

/* Sends an operation once and records the attempt. Returns the record, which the caller frees. */
static struct history_record *make_attempt(struct session *session,
                                           const struct operation *operation, uint32_t attempt,
                                           uint64_t due_ns)
{
    struct client_request request = {
        .address = next_address(session),
        .tenant = session->tenant,
        .operation = operation,
        .session_token = session->token,
        .timeout_ms = session->runner->options->timeout_ms,
    };
    struct client_answer answer = {0};
    uint64_t sent_ns = clock_now_ns();
    session->client->call(session->client, &request, &answer);
    uint64_t answered_ns = clock_now_ns();
    if (answer.session_token != NULL) {
        g_free(session->token);
        session->token = g_steal_pointer(&answer.session_token);
    }
    struct history_record *record = make_record(session, operation, &answer);
    record->attempt = attempt;
    record->address = g_strdup(request.address);
    record->due_ns = due_ns;
    record->sent_ns = sent_ns;
    record->answered_ns = answered_ns;
    client_answer_clear(&answer);
    write_record(session->runner, record);
    return record;
}

/* Sends an operation until it has a final answer, its time limit has passed or the run is stopped.
 */
static void run_operation(struct session *session, struct operation *operation, uint64_t due_ns)
{
    struct runner *runner = session->runner;
    uint64_t begins_ns = due_ns != 0 ? due_ns : clock_now_ns();
    uint64_t gives_up_ns =
        begins_ns + runner->options->operation_timeout_ms * NANOSECONDS_PER_MILLISECOND;
    for (uint32_t attempt = 0;; attempt++) {
        if (clock_now_ns() >= gives_up_ns) {
            count_abandoned(runner);
            return;
        }
        struct history_record *record = make_attempt(session, operation, attempt, due_ns);
        enum retry_action action =
            retry_decide(operation->kind, operation->key != NULL, record->outcome, record->retry);
        double random = g_rand_double(session->workload->random);
        uint32_t delay_ms = retry_delay_ms(attempt + 1, record->retry_after_ms, random);
        uint64_t answered_ns = record->answered_ns;
        history_record_free(record);
        if (action == RETRY_ACTION_STOP || atomic_load(&stop_requested)) {
            return;
        }
        if (action == RETRY_ACTION_NEW_KEY) {
            g_free(operation->key);
            operation->key = workload_new_key(session->workload);
        }
        sleep_until(answered_ns + delay_ms * NANOSECONDS_PER_MILLISECOND);
    }
}

/* Waits for the start of the session's next operation. Returns false at the end of the run. *due_ns
 * is the time at which the operation was due, 0 in a closed loop. */
static bool wait_until_due(struct session *session, uint64_t *due_ns)
{
    struct runner *runner = session->runner;
    *due_ns = 0;
    if (runner->options->rate <= 0) {
        if (session->requests > 0 && runner->options->pause_ms > 0) {
            uint64_t pause_ns = runner->options->pause_ms * NANOSECONDS_PER_MILLISECOND;
            sleep_until(clock_now_ns() + pause_ns);
        }
        return !is_over(runner, clock_now_ns());
    }
    uint64_t arrival = atomic_fetch_add(&runner->next_arrival, 1);
    double offset_s = (double)arrival / runner->options->rate;
    *due_ns = runner->started_ns + (uint64_t)(offset_s * (double)NANOSECONDS_PER_SECOND);
    if (*due_ns >= runner->ends_ns) {
        return false;
    }
    sleep_until(*due_ns);
    return !atomic_load(&stop_requested);
}

static void *run_session(void *context)
{
    struct session *session = context;
    uint64_t due_ns;
    while (wait_until_due(session, &due_ns)) {
        struct operation *operation = workload_next(session->workload);
        run_operation(session, operation, due_ns);
        operation_free(operation);
    }
    return NULL;
}

static void start_sessions(struct runner *runner, struct session *sessions)
{
    const struct runner_options *options = runner->options;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, SESSION_STACK_BYTES);
    for (uint32_t i = 0; i < options->workload.sessions; i++) {
        struct session *session = &sessions[i];
        session->runner = runner;
        session->workload = runner->workloads[i];
        session->client = options->client_new();
        session->token = g_strdup(options->token);
        session->tenant = options->tenants[i % g_strv_length(options->tenants)];
        int failed = pthread_create(&session->thread, &attributes, run_session, session);
        if (failed != 0) {
            g_error("load: can't start the thread of session %u: %s", i, g_strerror(failed));
        }
    }
    pthread_attr_destroy(&attributes);
}

static void join_sessions(struct session *sessions, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        pthread_join(sessions[i].thread, NULL);
        sessions[i].client->free(sessions[i].client);
        g_free(sessions[i].token);
    }
}

struct summary *runner_run(const struct runner_options *options, uint64_t *ended_ns)
{
    uint32_t count = options->workload.sessions;
    uint64_t duration_ns = (uint64_t)(options->duration_s * (double)NANOSECONDS_PER_SECOND);
    struct runner runner = {
        .options = options,
        .workloads = g_new0(struct workload *, count),
        .lock = PTHREAD_MUTEX_INITIALIZER,
    };
    for (uint32_t i = 0; i < count; i++) {
        runner.workloads[i] = workload_new(&options->workload, runner.workloads, i);
    }
    runner.started_ns = clock_now_ns();
    runner.ends_ns = runner.started_ns + duration_ns;
    runner.summary =
        summary_new(runner.started_ns, options->gap_threshold_ms * NANOSECONDS_PER_MILLISECOND);
    struct session *sessions = g_new0(struct session, count);
    start_sessions(&runner, sessions);
    join_sessions(sessions, count);
    *ended_ns = clock_now_ns();
    summary_end(runner.summary, *ended_ns);
    for (uint32_t i = 0; i < count; i++) {
        workload_free(runner.workloads[i]);
    }
    g_free(runner.workloads);
    g_free(sessions);
    pthread_mutex_destroy(&runner.lock);
    return runner.summary;
}
