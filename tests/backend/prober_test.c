/* Tests of the prober: its reports, that a frozen database delays no other, and commands. */
#include "backend/prober.h"
#include "backend_fixture.h"

#define GROUP     7
#define FOREVER   (60 * 60 * 1000)
#define DATABASES 3

/* Reports of the prober for one database. */
struct report {
    uint32_t reachable_count;
    uint32_t unreachable_count;
    struct database_status status;
    uint32_t round_trip_us;
};

/* Records all callbacks, and lets the test wait for them. */
struct recorder {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    struct report reports[DATABASES];
    uint32_t commands_done;
    struct channel_reply last_reply;
};

/* A group, a prober that probes it, and its reports. */
struct fixture {
    struct backend_group group;
    struct prober *prober;
    struct recorder recorder;
};

static void on_status(void *user, uint32_t group, uint32_t database, bool reachable,
                      const struct database_status *status, uint32_t round_trip_us, time_ns at)
{
    struct recorder *recorder = user;
    g_assert_cmpuint(group, ==, GROUP);
    g_assert_true(reachable == (status != NULL));
    g_assert_cmpuint(at, <=, backend_now());
    pthread_mutex_lock(&recorder->lock);
    struct report *report = &recorder->reports[database];
    if (reachable) {
        report->reachable_count++;
        report->status = *status;
        report->round_trip_us = round_trip_us;
    } else {
        report->unreachable_count++;
    }
    pthread_cond_broadcast(&recorder->changed);
    pthread_mutex_unlock(&recorder->lock);
}

static void on_command(void *user, uint32_t group, uint32_t database,
                       const struct channel_reply *reply)
{
    struct recorder *recorder = user;
    pthread_mutex_lock(&recorder->lock);
    recorder->commands_done++;
    recorder->last_reply = *reply;
    pthread_cond_broadcast(&recorder->changed);
    pthread_mutex_unlock(&recorder->lock);
}

static void set_up(struct fixture *fixture, const void *unused)
{
    struct prober_options options = {
        .interval_ms = 5,
        .timeout_ms = 200,
        .open_timeout_ms = 200,
        .on_status = on_status,
        .user = &fixture->recorder,
    };
    pthread_mutex_init(&fixture->recorder.lock, NULL);
    pthread_cond_init(&fixture->recorder.changed, NULL);
    fixture->group = backend_group_start(DATABASES);
    fixture->prober = prober_new(&options);
    for (uint32_t i = 0; i < DATABASES; i++) {
        struct connection_settings settings = backend_settings(fixture->group.servers[i]);
        prober_add(fixture->prober, GROUP, i, &settings);
    }
}

static void tear_down(struct fixture *fixture, const void *unused)
{
    prober_free(fixture->prober);
    backend_group_stop(&fixture->group);
    pthread_cond_destroy(&fixture->recorder.changed);
    pthread_mutex_destroy(&fixture->recorder.lock);
}

/* Number of reports so far. */
static uint32_t report_count(struct fixture *fixture, uint32_t database, bool reachable)
{
    struct recorder *recorder = &fixture->recorder;
    pthread_mutex_lock(&recorder->lock);
    const struct report *report = &recorder->reports[database];
    uint32_t count = reachable ? report->reachable_count : report->unreachable_count;
    pthread_mutex_unlock(&recorder->lock);
    return count;
}

/* Waits for `more` further reports. */
static void await_reports(struct fixture *fixture, uint32_t database, bool reachable, uint32_t more)
{
    struct recorder *recorder = &fixture->recorder;
    uint32_t target = report_count(fixture, database, reachable) + more;
    pthread_mutex_lock(&recorder->lock);
    const struct report *report = &recorder->reports[database];
    while ((reachable ? report->reachable_count : report->unreachable_count) < target) {
        pthread_cond_wait(&recorder->changed, &recorder->lock);
    }
    pthread_mutex_unlock(&recorder->lock);
}

static struct report last_report(struct fixture *fixture, uint32_t database)
{
    pthread_mutex_lock(&fixture->recorder.lock);
    struct report report = fixture->recorder.reports[database];
    pthread_mutex_unlock(&fixture->recorder.lock);
    return report;
}

/* Runs a command and waits for its result. */
static struct channel_reply run_command(struct fixture *fixture, uint32_t database,
                                        const struct adapter_call *call, time_ns deadline)
{
    struct recorder *recorder = &fixture->recorder;
    pthread_mutex_lock(&recorder->lock);
    uint32_t before = recorder->commands_done;
    pthread_mutex_unlock(&recorder->lock);
    prober_submit(fixture->prober, GROUP, database, call, deadline, on_command, recorder);
    pthread_mutex_lock(&recorder->lock);
    while (recorder->commands_done == before) {
        pthread_cond_wait(&recorder->changed, &recorder->lock);
    }
    g_assert_cmpuint(recorder->commands_done, ==, before + 1);
    struct channel_reply reply = recorder->last_reply;
    pthread_mutex_unlock(&recorder->lock);
    return reply;
}

static void test_status(struct fixture *fixture, const void *unused)
{
    for (uint32_t i = 0; i < DATABASES; i++) {
        await_reports(fixture, i, true, 3);
        struct report report = last_report(fixture, i);
        enum database_role role = i == 0 ? DATABASE_ROLE_PRIMARY : DATABASE_ROLE_REPLICA;
        g_assert_cmpint(report.status.role, ==, role);
        g_assert_cmpuint(report.round_trip_us, >, 0);
    }
    backend_write(fixture->group.servers[0], "CREATE TABLE numbers (value integer)");
    while (last_report(fixture, 2).status.applied.offset == 0) {
        await_reports(fixture, 2, true, 1);
    }
}

static void test_frozen_database_delays_no_other(struct fixture *fixture, const void *unused)
{
    struct server *frozen = fixture->group.servers[1];
    await_reports(fixture, 1, true, 1);
    faults_freeze(&frozen->faults, FOREVER);
    await_reports(fixture, 1, false, 1);
    /* The others are still probed while the frozen one times out repeatedly. */
    uint32_t before = report_count(fixture, 0, true);
    await_reports(fixture, 1, false, 2);
    g_assert_cmpuint(report_count(fixture, 0, true), >, before + 2);
    faults_heal(&frozen->faults);
    await_reports(fixture, 1, true, 2);
    pthread_mutex_lock(&frozen->lock);
    /* The fixture opens no connection here; a probe's closed connection may still be counted. */
    g_assert_cmpuint(frozen->counters.peak_connections, <=, 2);
    pthread_mutex_unlock(&frozen->lock);
}

static void test_connection_refused(struct fixture *fixture, const void *unused)
{
    struct connection_settings settings = backend_settings(fixture->group.servers[1]);
    settings.port = 1;
    prober_add(fixture->prober, GROUP, 1, &settings);
    await_reports(fixture, 1, false, 2);
    await_reports(fixture, 0, true, 1);
}

static void test_removed(struct fixture *fixture, const void *unused)
{
    struct adapter_call call = {.command = ADAPTER_COMMAND_STATUS};
    await_reports(fixture, 1, true, 1);
    prober_remove(fixture->prober, GROUP, 1);
    /* The reply is sent by the prober's thread, after the removal. */
    struct channel_reply reply = run_command(fixture, 1, &call, backend_test_deadline());
    assert_result(reply.result, EXECUTE_NOT_SENT);
    uint32_t reachable = report_count(fixture, 1, true);
    uint32_t unreachable = report_count(fixture, 1, false);
    await_reports(fixture, 0, true, 5);
    g_assert_cmpuint(report_count(fixture, 1, true), ==, reachable);
    g_assert_cmpuint(report_count(fixture, 1, false), ==, unreachable);
}

static void test_failover_by_commands(struct fixture *fixture, const void *unused)
{
    g_autofree char *address = fixture_address(fixture->group.servers[1]);
    struct adapter_call fence = {.command = ADAPTER_COMMAND_FENCE, .term = 2, .coordinator = "d1"};
    struct adapter_call late = {.command = ADAPTER_COMMAND_FENCE, .term = 2, .coordinator = "d2"};
    struct adapter_call promote = {
        .command = ADAPTER_COMMAND_PROMOTE, .term = 2, .coordinator = "d1"};
    struct adapter_call follow = {
        .command = ADAPTER_COMMAND_FOLLOW, .term = 2, .coordinator = "d1", .address = address};
    for (uint32_t i = 0; i < DATABASES; i++) {
        struct channel_reply reply = run_command(fixture, i, &fence, backend_test_deadline());
        assert_result(reply.result, EXECUTE_DONE);
        g_assert_cmpuint(reply.status.promised_term, ==, 2);
    }
    struct channel_reply refused = run_command(fixture, 0, &late, backend_test_deadline());
    assert_result(refused.result, EXECUTE_FAILED);
    g_assert_cmpstr(refused.sqlstate, ==, "55000");
    assert_result(run_command(fixture, 1, &promote, backend_test_deadline()).result, EXECUTE_DONE);
    assert_result(run_command(fixture, 0, &follow, backend_test_deadline()).result, EXECUTE_DONE);
    assert_result(run_command(fixture, 2, &follow, backend_test_deadline()).result, EXECUTE_DONE);
    while (last_report(fixture, 2).status.held.term != 2) {
        await_reports(fixture, 2, true, 1);
    }
    g_assert_cmpint(last_report(fixture, 1).status.role, ==, DATABASE_ROLE_PRIMARY);
}

static void test_command_to_frozen_database(struct fixture *fixture, const void *unused)
{
    struct adapter_call fence = {.command = ADAPTER_COMMAND_FENCE, .term = 2, .coordinator = "d1"};
    await_reports(fixture, 1, true, 1);
    faults_freeze(&fixture->group.servers[1]->faults, FOREVER);
    struct channel_reply reply = run_command(fixture, 1, &fence, backend_deadline_in(50));
    /* NOT_SENT if a probe timed out first and the connection is being reopened. */
    g_assert_true(reply.result == EXECUTE_LOST || reply.result == EXECUTE_NOT_SENT);
    assert_result(run_command(fixture, 0, &fence, backend_test_deadline()).result, EXECUTE_DONE);
    faults_heal(&fixture->group.servers[1]->faults);
    assert_result(run_command(fixture, 1, &fence, backend_test_deadline()).result, EXECUTE_DONE);
}

/* Freeing the prober completes a pending command. */
static void test_ends_with_pending_command(struct fixture *fixture, const void *unused)
{
    struct adapter_call fence = {.command = ADAPTER_COMMAND_FENCE, .term = 2, .coordinator = "d1"};
    struct prober_options options = {
        .interval_ms = 5,
        .timeout_ms = FOREVER,
        .open_timeout_ms = FOREVER,
        .on_status = on_status,
        .user = &fixture->recorder,
    };
    struct connection_settings settings = backend_settings(fixture->group.servers[2]);
    struct prober *other = prober_new(&options);
    faults_freeze(&fixture->group.servers[2]->faults, FOREVER);
    prober_add(other, GROUP, 2, &settings);
    prober_submit(other, GROUP, 2, &fence, backend_test_deadline(), on_command, &fixture->recorder);
    prober_free(other);
    g_assert_cmpuint(fixture->recorder.commands_done, ==, 1);
    assert_result(fixture->recorder.last_reply.result, EXECUTE_NOT_SENT);
    faults_heal(&fixture->group.servers[2]->faults);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/backend/prober/" name, struct fixture, NULL, set_up, function, tear_down)
    ADD("status", test_status);
    ADD("frozen-database-delays-no-other", test_frozen_database_delays_no_other);
    ADD("connection-refused", test_connection_refused);
    ADD("removed", test_removed);
    ADD("failover-by-commands", test_failover_by_commands);
    ADD("command-to-frozen-database", test_command_to_frozen_database);
    ADD("ends-with-pending-command", test_ends_with_pending_command);
    return g_test_run();
}
