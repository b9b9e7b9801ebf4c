/* Tests of the evidence service: a majority, fencing, and members that don't answer. */
#include "backend/evidence.h"
#include "backend_fixture.h"

#define GROUP     3
#define DATABASES 3
#define WRITERS   8
#define FOREVER   (60 * 60 * 1000)

/* A group of three databases, and an evidence service connected to them. */
struct fixture {
    struct backend_group group;
    struct evidence_service *service;
};

static struct evidence_service *new_service(void)
{
    struct evidence_options options = {
        .wait_ms = 50,
        .timeout_ms = 500,
        .open_timeout_ms = 500,
        .reopen_ms = 20,
    };
    return evidence_new(&options);
}

/* Waits until the table is replicated to every member. */
static void await_replication(struct fixture *fixture)
{
    for (uint32_t i = 0; i < DATABASES; i++) {
        struct backend_connection *connection = backend_open(fixture->group.servers[i]);
        struct adapter_call call = {
            .command = ADAPTER_COMMAND_WAIT_APPLIED,
            .position = {.term = 1, .offset = 1},
            .wait_ms = 60000,
        };
        struct execute_answer answer;
        execute_answer_init(&answer);
        assert_result(adapter_run(connection, &call, backend_test_deadline(), &answer),
                      EXECUTE_DONE);
        g_assert_cmpuint(answer.status.applied.offset, ==, 1);
        execute_answer_clear(&answer);
        backend_connection_close(connection);
    }
}

static void set_up(struct fixture *fixture, const void *unused)
{
    struct connection_settings members[DATABASES];
    fixture->group = backend_group_start(DATABASES);
    backend_write(fixture->group.servers[0], "CREATE TABLE bookings (place text)");
    await_replication(fixture);
    fixture->service = new_service();
    for (uint32_t i = 0; i < DATABASES; i++) {
        members[i] = backend_settings(fixture->group.servers[i]);
    }
    evidence_add_group(fixture->service, GROUP, members, DATABASES);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
    evidence_free(fixture->service);
    backend_group_stop(&fixture->group);
}

/* Commits one write at the primary. */
static struct log_position commit_one(const struct server *primary, struct database_status *status)
{
    struct backend_connection *connection = backend_open(primary);
    struct sql_statement statement = backend_statement("INSERT INTO bookings VALUES ('imlil')");
    struct execute_answer answer;
    execute_answer_init(&answer);
    assert_result(
        adapter_write(connection, NULL, &statement, 1, backend_test_deadline(), NULL, &answer),
        EXECUTE_DONE);
    struct log_position position = answer.position;
    *status = answer.status;
    execute_answer_clear(&answer);
    backend_connection_close(connection);
    return position;
}

static void freeze(struct fixture *fixture, uint32_t database)
{
    faults_freeze(&fixture->group.servers[database]->faults, FOREVER);
}

static void unfreeze(struct fixture *fixture, uint32_t database)
{
    faults_heal(&fixture->group.servers[database]->faults);
}

static void run_command(struct fixture *fixture, uint32_t database, enum adapter_command command,
                        uint64_t term, const char *address)
{
    struct backend_connection *connection = backend_open(fixture->group.servers[database]);
    struct adapter_call call = {
        .command = command,
        .term = term,
        .coordinator = "d2",
        .address = address,
    };
    struct execute_answer answer;
    execute_answer_init(&answer);
    assert_result(adapter_run(connection, &call, backend_test_deadline(), &answer), EXECUTE_DONE);
    execute_answer_clear(&answer);
    backend_connection_close(connection);
}

static void test_held(struct fixture *fixture, const void *unused)
{
    struct database_status status;
    struct acknowledge_evidence evidence;
    struct log_position position = commit_one(fixture->group.servers[0], &status);
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 0, NULL,
                                                       backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
    g_assert_cmpint(acknowledge_judge(&evidence), ==, ACKNOWLEDGE_HELD);
    g_assert_cmpuint(evidence.position.offset, ==, position.offset);
    verdict = evidence_gather(fixture->service, GROUP, position, 0, &status,
                              backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
}

/* One frozen member of three does not prevent a majority. */
static void test_one_member_frozen(struct fixture *fixture, const void *unused)
{
    struct database_status status;
    struct acknowledge_evidence evidence;
    freeze(fixture, 1);
    struct log_position position = commit_one(fixture->group.servers[0], &status);
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 0,
                                                       &status, backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
    g_assert_cmpuint(evidence.held_mask, ==, 0x5);
    unfreeze(fixture, 1);
}

/* Without a majority the write stays pending, until enough members respond again. */
static void test_no_majority(struct fixture *fixture, const void *unused)
{
    struct database_status status;
    struct acknowledge_evidence evidence;
    freeze(fixture, 1);
    freeze(fixture, 2);
    struct log_position position = commit_one(fixture->group.servers[0], &status);
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 0,
                                                       &status, backend_deadline_in(30), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_PENDING);
    g_assert_cmpuint(evidence.held_mask, ==, 0x1);
    unfreeze(fixture, 2);
    verdict = evidence_gather(fixture->service, GROUP, position, 0, &status,
                              backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
    unfreeze(fixture, 1);
}

/* A write that a partitioned primary committed is never acknowledged once a majority has been
 * fenced. */
static void test_fenced(struct fixture *fixture, const void *unused)
{
    struct database_status status;
    struct acknowledge_evidence evidence;
    run_command(fixture, 1, ADAPTER_COMMAND_FENCE, 2, NULL);
    run_command(fixture, 2, ADAPTER_COMMAND_FENCE, 2, NULL);
    /* The members leave the old primary: otherwise they could still receive the entry by
     * replication after their promise. */
    run_command(fixture, 1, ADAPTER_COMMAND_PROMOTE, 2, NULL);
    g_autofree char *address = fixture_address(fixture->group.servers[1]);
    run_command(fixture, 2, ADAPTER_COMMAND_FOLLOW, 2, address);
    struct log_position position = commit_one(fixture->group.servers[0], &status);
    g_assert_cmpuint(position.term, ==, 1);
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 0,
                                                       &status, backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_FENCED);
    g_assert_cmpuint(evidence.fenced_mask, ==, 0x6);
    /* The new primary's writes are held by itself and its replica. */
    struct log_position next = commit_one(fixture->group.servers[1], &status);
    verdict = evidence_gather(fixture->service, GROUP, next, 1, &status, backend_test_deadline(),
                              &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
    g_assert_cmpuint(next.term, ==, 2);
}

/* A member that has promised the new term and does not follow it yet is queried again. */
static void test_late_follower(struct fixture *fixture, const void *unused)
{
    struct database_status status;
    struct acknowledge_evidence evidence;
    g_autofree char *address = fixture_address(fixture->group.servers[1]);
    run_command(fixture, 1, ADAPTER_COMMAND_FENCE, 2, NULL);
    run_command(fixture, 2, ADAPTER_COMMAND_FENCE, 2, NULL);
    run_command(fixture, 1, ADAPTER_COMMAND_PROMOTE, 2, NULL);
    struct log_position position = commit_one(fixture->group.servers[1], &status);
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 1,
                                                       &status, backend_deadline_in(50), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_PENDING);
    run_command(fixture, 2, ADAPTER_COMMAND_FOLLOW, 2, address);
    verdict = evidence_gather(fixture->service, GROUP, position, 1, &status,
                              backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
}

static void test_offered(struct fixture *fixture, const void *unused)
{
    struct acknowledge_evidence evidence;
    struct log_position position = {.term = 1, .offset = 1000};
    struct database_status status = {.held = position};
    evidence_offer(fixture->service, GROUP, 0, &status);
    evidence_offer(fixture->service, GROUP, 2, &status);
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 0, NULL,
                                                       backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
    g_assert_cmpuint(evidence.held_mask, ==, 0x5);
}

static void test_unknown_group(struct fixture *fixture, const void *unused)
{
    struct acknowledge_evidence evidence;
    struct log_position position = {.term = 1, .offset = 1};
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP + 1, position, 0,
                                                       NULL, backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_PENDING);
}

/* Gathers evidence for a position that is never reached, until the group is removed. */
static void *gather_until_removed(void *data)
{
    struct fixture *fixture = data;
    struct acknowledge_evidence evidence;
    struct log_position position = {.term = 1, .offset = 1000000};
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 0, NULL,
                                                       backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_PENDING);
    return NULL;
}

static void test_group_removed_while_waiting(struct fixture *fixture, const void *unused)
{
    struct database_status status;
    struct acknowledge_evidence evidence;
    pthread_t thread;
    pthread_create(&thread, NULL, gather_until_removed, fixture);
    /* A write with a lower position is not delayed by the one that waits for ever. */
    struct log_position position = commit_one(fixture->group.servers[0], &status);
    enum acknowledge_verdict verdict = evidence_gather(fixture->service, GROUP, position, 0,
                                                       &status, backend_test_deadline(), &evidence);
    g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
    evidence_remove_group(fixture->service, GROUP);
    pthread_join(thread, NULL);
}

/* Many writers share one connection to each member. */
static void *write_and_gather(void *data)
{
    struct fixture *fixture = data;
    struct backend_connection *connection = backend_open(fixture->group.servers[0]);
    struct sql_statement statement = backend_statement("INSERT INTO bookings VALUES ('imlil')");
    for (uint32_t i = 0; i < 20; i++) {
        struct execute_answer answer;
        struct acknowledge_evidence evidence;
        execute_answer_init(&answer);
        assert_result(
            adapter_write(connection, NULL, &statement, 1, backend_test_deadline(), NULL, &answer),
            EXECUTE_DONE);
        enum acknowledge_verdict verdict =
            evidence_gather(fixture->service, GROUP, answer.position, 0, &answer.status,
                            backend_test_deadline(), &evidence);
        g_assert_cmpint(verdict, ==, ACKNOWLEDGE_HELD);
        execute_answer_clear(&answer);
    }
    backend_connection_close(connection);
    return NULL;
}

static void test_many_writers(struct fixture *fixture, const void *unused)
{
    pthread_t threads[WRITERS];
    for (uint32_t i = 0; i < WRITERS; i++) {
        pthread_create(&threads[i], NULL, write_and_gather, fixture);
    }
    for (uint32_t i = 0; i < WRITERS; i++) {
        pthread_join(threads[i], NULL);
    }
    for (uint32_t i = 1; i < DATABASES; i++) {
        struct server *server = fixture->group.servers[i];
        pthread_mutex_lock(&server->lock);
        /* The service's connection and the fixture's, which may not have ended yet. */
        g_assert_cmpuint(server->counters.peak_connections, <=, 2);
        pthread_mutex_unlock(&server->lock);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/backend/evidence/" name, struct fixture, NULL, set_up, function, tear_down)
    ADD("held", test_held);
    ADD("one-member-frozen", test_one_member_frozen);
    ADD("no-majority", test_no_majority);
    ADD("fenced", test_fenced);
    ADD("late-follower", test_late_follower);
    ADD("offered", test_offered);
    ADD("unknown-group", test_unknown_group);
    ADD("group-removed-while-waiting", test_group_removed_while_waiting);
    ADD("many-writers", test_many_writers);
    return g_test_run();
}
