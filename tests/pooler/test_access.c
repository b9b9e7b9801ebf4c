/* Access control: keys, connections per tenant, public routes, proof that a key has not been
 * revoked, and rate limits, at one worker and over a forwarding hop. */
#include "worker_fixture.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "free_port.h"
#include "generated/messages.h"
#include "pooler/shared/socket.h"
#include "pooler/worker/worker_internal.h"
#include "wire/address.h"

#define ADD(path, set_up_by, test)                                                                 \
    g_test_add("/access/" path, struct fixture, NULL, set_up_by, test, tear_down)

/* Address of this pooler in the roster; no connections are made to it. */
#define OWN_ADDRESS "127.0.0.1:1"

static const char *const two_tenants[] = {"toubkal key-t", "imlil key-i", NULL};
static const char *const imlil_only[] = {"imlil key-i", NULL};

static void
set_keys(struct fixture *fixture, const char *const *keys)
{
    fixture->keys = keys;
    fixture->version++;
    publish(fixture);
}

static void
set_up_keyed(struct fixture *fixture, gconstpointer unused)
{
    set_up(fixture, unused);
    set_keys(fixture, two_tenants);
}

static void
set_up_keyed_forwarding(struct fixture *fixture, gconstpointer unused)
{
    set_up_forwarding(fixture, unused);
    set_keys(fixture, two_tenants);
}

/* Both workers require proof from now on, and have it until the given time. */
static void
prove_until(struct fixture *fixture, time_ns until)
{
    struct worker_shared *all[] = {&fixture->shared, &fixture->owners[0].shared};
    for (unsigned i = 0; i < G_N_ELEMENTS(all); i++) {
        all[i]->proof_lifetime = NANOSECONDS_PER_SECOND;
        atomic_store(&all[i]->configuration_proven_at, until - NANOSECONDS_PER_SECOND);
    }
}

static time_ns
in_an_hour(void)
{
    return backend_now() + 3600 * NANOSECONDS_PER_SECOND;
}

static void
expect_refused_start(const struct fixture *fixture, const char *key, const char *code)
{
    struct client *client = client_begin_as(fixture, "strict", key);
    client_read(client);
    g_autofree char *start = g_strdup_printf("ERROR %s", code);
    g_assert_true(g_str_has_prefix(client->result, start));
    g_assert_null(strstr(client->result, key)); /* a key must not be disclosed */
    client_close(client);
}

/* A connection serves one tenant only, whose name the database receives. */
static void
test_connections_are_per_tenant(struct fixture *fixture, gconstpointer unused)
{
    struct client *first = client_open_as(fixture, "strict", "key-t");
    struct client *second = client_open_as(fixture, "strict", "key-i");
    for (unsigned i = 0; i < 6; i++) {
        expect_success(first, "WRITE a of-toubkal", 'I');
        expect_success(second, "WRITE b of-imlil", 'I');
    }
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    for (guint i = 0; i < runs->len; i++) {
        const struct line_run *run = g_ptr_array_index(runs, i);
        const char *expected = strstr(run->text, "of-toubkal") != NULL ? "toubkal" : "imlil";
        g_assert_cmpstr(run->tenant, ==, expected);
    }
    g_assert_cmpuint(runs->len, ==, 12);
    client_close(first);
    client_close(second);
}

/* At a limit of one connection, the idle connection of a tenant is replaced by one of another. */
static void
test_idle_connection_is_replaced(struct fixture *fixture, gconstpointer unused)
{
    fixture->connections = 1;
    publish(fixture);
    struct client *first = client_open_as(fixture, "strict", "key-t");
    struct client *second = client_open_as(fixture, "strict", "key-i");
    expect_success(first, "WRITE a 1", 'I');
    expect_success(second, "WRITE b 2", 'I');
    expect_success(first, "WRITE c 3", 'I');
    g_assert_cmpuint(line_group_connections(fixture->group, 0), <=, 2);
    client_close(first);
    client_close(second);
}

/* A counter of the worker that holds the connections. */
static uint64_t
count_at_databases(const struct fixture *fixture, enum metrics_counter counter)
{
    struct worker *owner = fixture->owners[0].worker;
    return atomic_load(&worker_metrics(owner == NULL ? fixture->worker : owner)->counters[counter]);
}

static void
wait_for_opened_ahead(const struct fixture *fixture, uint64_t expected)
{
    for (int i = 0; count_at_databases(fixture, METRICS_OPENED_AHEAD) < expected; i++) {
        g_assert_cmpint(i, <, ANSWER_WAIT_S * 1000);
        g_usleep(1000);
    }
}

/* When a tenant without open connections starts a session, a connection is opened ahead, and no
 * other one is opened for its first statement. */
static void
test_opened_ahead_for_session(struct fixture *fixture, gconstpointer unused)
{
    struct client *first = client_open_as(fixture, "strict", "key-t");
    expect_success(first, "WRITE a 1", 'I'); /* the link to an owner works */
    uint64_t ahead = count_at_databases(fixture, METRICS_OPENED_AHEAD);
    uint64_t for_statement = count_at_databases(fixture, METRICS_OPENED_STATEMENT);
    struct client *second = client_open_as(fixture, "strict", "key-i");
    wait_for_opened_ahead(fixture, ahead + 1);
    expect_success(second, "WRITE b 2", 'I');
    g_assert_cmpuint(count_at_databases(fixture, METRICS_OPENED_STATEMENT), ==, for_statement);
    g_assert_cmpuint(count_at_databases(fixture, METRICS_AHEAD_USED), ==, ahead + 1);
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpstr(find_run(runs, "WRITE b 2")->tenant, ==, "imlil");
    client_close(first);
    client_close(second);
}

/* If a tenant has an idle connection, none is opened when it starts sessions and transactions. */
static void
test_not_opened_beside_idle(struct fixture *fixture, gconstpointer unused)
{
    struct client *first = client_open_as(fixture, "strict", "key-t");
    expect_success(first, "WRITE a 1", 'I');
    uint64_t opened = count_at_databases(fixture, METRICS_CONNECTIONS_OPENED);
    for (unsigned i = 0; i < 5; i++) {
        struct client *next = client_open_as(fixture, "strict", "key-t");
        expect_success(next, "BEGIN", 'T');
        expect_success(next, "WRITE a 2", 'T');
        expect_success(next, "COMMIT", 'I');
        client_close(next);
    }
    g_assert_cmpuint(count_at_databases(fixture, METRICS_CONNECTIONS_OPENED), ==, opened);
    client_close(first);
}

/* An idle transaction keeps its connection, also when another tenant needs one. */
static void
test_open_transaction_keeps_its_connection(struct fixture *fixture, gconstpointer unused)
{
    struct client *first = client_open_as(fixture, "strict", "key-t");
    struct client *second = client_open_as(fixture, "strict", "key-i");
    expect_success(first, "BEGIN", 'T');
    expect_success(first, "WRITE a 1", 'T');
    expect_success(second, "WRITE b 2", 'I');
    expect_success(first, "COMMIT", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "a", "1"), ==, 1);
    client_close(first);
    client_close(second);
}

static void
test_unknown_key(struct fixture *fixture, gconstpointer unused)
{
    expect_refused_start(fixture, "key-of-nobody", "UNAUTH");
}

static void
test_public_route_needs_no_key(struct fixture *fixture, gconstpointer unused)
{
    prove_until(fixture, 1); /* and no proof */
    struct client *client = client_open_as(fixture, "public", "key-of-nobody");
    expect_success(client, "READ a", 'I');
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpstr(find_run(runs, "READ a")->tenant, ==, "public");
    client_close(client);
}

/* After a key was revoked, its transaction is rolled back, its statements and new sessions are
 * rejected, and other keys are not affected. */
static void
test_key_is_revoked(struct fixture *fixture, gconstpointer unused)
{
    struct client *idle = client_open_as(fixture, "strict", "key-t");
    struct client *open = client_open_as(fixture, "strict", "key-t");
    struct client *other = client_open_as(fixture, "strict", "key-i");
    expect_success(idle, "WRITE a 1", 'I');
    expect_success(open, "BEGIN", 'T');
    expect_success(open, "WRITE b 2", 'T');
    set_keys(fixture, imlil_only);
    expect_error(idle, "WRITE c 3", "UNAUTH", 'I');
    expect_error(open, "COMMIT", "ABORTED", 'I');
    expect_success(other, "WRITE d 4", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "b", "2"), ==, 0);
    g_assert_cmpuint(line_group_committed(fixture->group, "c", "3"), ==, 0);
    expect_refused_start(fixture, "key-t", "UNAUTH");
    client_close(idle);
    client_close(open);
    client_close(other);
}

/* A queued statement is not run if its key is revoked meanwhile. */
static void
test_key_is_revoked_while_queued(struct fixture *fixture, gconstpointer unused)
{
    struct line_faults busy = {.busy = true};
    struct line_faults none = {0};
    struct client *client = client_open_as(fixture, "strict", "key-t");
    expect_success(client, "WRITE a 1", 'I');
    line_group_set_faults(fixture->group, 0, &busy);
    client_send(client, "WRITE b 2");
    g_usleep(60 * 1000);
    set_keys(fixture, imlil_only);
    line_group_set_faults(fixture->group, 0, &none);
    client_read(client);
    g_assert_true(g_str_has_prefix(client->result, "ERROR "));
    g_assert_cmpuint(line_group_committed(fixture->group, "b", "2"), ==, 0);
    client_close(client);
}

/* Without valid proof, a statement that needs a key is refused at once, with a retry time, and does
 * not run. */
static void
test_no_proof(struct fixture *fixture, gconstpointer unused)
{
    prove_until(fixture, in_an_hour());
    struct client *client = client_open_as(fixture, "strict", "key-t");
    expect_success(client, "WRITE a 1", 'I');
    prove_until(fixture, 1);
    time_ns before = backend_now();
    expect_error(client, "WRITE b 2", "BUSY", 'I');
    g_assert_cmpuint(backend_now() - before, <, NANOSECONDS_PER_SECOND);
    g_assert_nonnull(strstr(client->result, "retry in"));
    expect_refused_start(fixture, "key-t", "BUSY");
    prove_until(fixture, in_an_hour());
    expect_success(client, "WRITE c 3", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "b", "2"), ==, 0);
    client_close(client);
}

/* If the proof expires, an open transaction is rolled back. */
static void
test_no_proof_in_a_transaction(struct fixture *fixture, gconstpointer unused)
{
    prove_until(fixture, in_an_hour());
    struct client *client = client_open_as(fixture, "strict", "key-t");
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE a 1", 'T');
    prove_until(fixture, 1);
    expect_error(client, "WRITE b 2", "ABORTED", 'E');
    expect_success(client, "ROLLBACK", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "a", "1"), ==, 0);
    client_close(client);
}

/* ---- over a forwarding hop ---- */

/* An owner with an older configuration, in which the key is unknown, does not refuse the statement:
 * another owner may know the key, or this one a moment later. */
static void
test_owner_has_older_configuration(struct fixture *fixture, gconstpointer unused)
{
    fixture->owners_behind = 1;
    fixture->owners_keys = imlil_only;
    publish(fixture);
    struct client *client = client_open_as(fixture, "strict", "key-t");
    client_send(client, "WRITE a 1");
    g_usleep(100 * 1000);
    g_assert_cmpuint(line_group_committed(fixture->group, "a", "1"), ==, 0);
    fixture->owners_behind = 0;
    fixture->owners_keys = NULL;
    publish(fixture);
    client_read(client);
    g_assert_true(g_str_has_prefix(client->result, "COMPLETE "));
    client_close(client);
}

/* An owner whose configuration is as new or newer refuses the statement: the key was revoked. */
static void
test_owner_knows_of_revocation(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open_as(fixture, "strict", "key-t");
    expect_success(client, "WRITE a 1", 'I');
    fixture->owners_keys = imlil_only;
    publish(fixture);
    expect_error(client, "WRITE b 2", "UNAUTH", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "b", "2"), ==, 0);
    client_close(client);
}

/* The owner requires its own valid proof. */
static void
test_owner_without_proof(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open_as(fixture, "strict", "key-t");
    expect_success(client, "WRITE a 1", 'I');
    fixture->owners[0].shared.proof_lifetime = NANOSECONDS_PER_SECOND;
    atomic_store(&fixture->owners[0].shared.configuration_proven_at, 1);
    execute(client, "WRITE b 2");
    g_assert_true(g_str_has_prefix(client->result, "ERROR "));
    g_assert_cmpuint(line_group_committed(fixture->group, "b", "2"), ==, 0);
    client_close(client);
}

/* ---- limits ---- */

/* Bounds with which each share's bucket starts with this number of tokens and holds no more; see
 * rate_start_tokens() and rate_share(). */
static rate_bounds_t
bounds_of_full_shares(double tokens_each)
{
    const double starts_in_window = 3;
    const double for_fractions = ROSTER_SHARES; /* one token of each share */
    return (rate_bounds_t){5, 0, tokens_each * ROSTER_SHARES * starts_in_window + for_fractions};
}

/* Sets a roster of this pooler and others, and a limit. All shares together start with `tokens`, so
 * that the result does not depend on the clock's value, which is low after a boot of the machine.
 */
static void
set_limit_among(struct fixture *fixture, double rate_per_s, double tokens,
                const char *const *others)
{
    const rate_bounds_t bounds = bounds_of_full_shares(tokens / ROSTER_SHARES);
    roster_t *roster = roster_new(1, 1 + g_strv_length((char **)others));
    roster->members[0] = (roster_member_t){
        .address = g_strdup(OWN_ADDRESS), .weight = 1, .same_zone = true, .self = true};
    for (unsigned i = 0; others[i] != NULL; i++) {
        roster_member_t *member = &roster->members[i + 1];
        *member = (roster_member_t){.address = g_strdup(others[i]),
                                    .weight = 1,
                                    .same_zone = i == 0}; /* receives the first request */
        g_assert_true(parse_address(others[i], &member->socket_address));
    }
    fixture->roster = roster;
    fixture->rate_per_s = rate_per_s;
    fixture->burst = tokens - ROSTER_SHARES; /* a share holds one token more than its part */
    fixture->shared.counting = counting_new(&bounds, backend_now());
    counting_set_roster(fixture->shared.counting, roster, backend_now());
    counting_set_valid_until(fixture->shared.counting, in_an_hour());
    set_keys(fixture, two_tenants);
}

static void
set_limit_with(struct fixture *fixture, double rate_per_s, double tokens, const char *other)
{
    const char *const others[] = {other, NULL};
    set_limit_among(fixture, rate_per_s, tokens, others);
}

static void
set_limit_here(struct fixture *fixture, double rate_per_s, double tokens)
{
    set_limit_with(fixture, rate_per_s, tokens, NULL);
}

static void
remove_limit(struct fixture *fixture)
{
    counting_t *counting = fixture->shared.counting;
    fixture->keys = imlil_only; /* no more token requests */
    fixture->rate_per_s = 0;
    publish(fixture);
    g_usleep(20 * 1000);
    fixture->shared.counting = NULL;
    counting_free(counting);
    roster_unref(fixture->roster);
    fixture->roster = NULL;
}

/* Above its limit, a tenant's operations are refused at once, with a retry time, and do not run.
 * Another tenant's limit is separate. */
static void
test_limit(struct fixture *fixture, gconstpointer unused)
{
    set_limit_here(fixture, 0.05, 10);
    struct client *client = client_open_as(fixture, "strict", "key-t");
    struct client *other = client_open_as(fixture, "strict", "key-i");
    for (unsigned i = 0; i < 10; i++) {
        expect_success(client, "WRITE a 1", 'I');
    }
    expect_error(client, "WRITE b 2", "OVERLOAD", 'I');
    g_assert_nonnull(strstr(client->result, "retry in"));
    expect_error(client, "READ a", "OVERLOAD", 'I');
    expect_success(other, "WRITE c 3", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "b", "2"), ==, 0);
    g_usleep(20 * 1000);
    g_assert_cmpuint(fixture->worker->busy, ==, 0); /* no session is left queued or running */
    client_close(client);
    client_close(other);
    remove_limit(fixture);
}

/* With a rate of 0, the retry time of a refusal is not short. */
static void
test_limit_with_rate_zero(struct fixture *fixture, gconstpointer unused)
{
    set_limit_here(fixture, RATE_NONE, 10);
    struct client *client = client_open_as(fixture, "strict", "key-t");
    for (unsigned i = 0; i < 10; i++) {
        expect_success(client, "WRITE a 1", 'I');
    }
    expect_error(client, "WRITE b 2", "OVERLOAD", 'I');
    const char *advice = strstr(client->result, "retry in ");
    g_assert_nonnull(advice);
    g_assert_cmpint(atoi(advice + strlen("retry in ")), >=, 1000);
    client_close(client);
    remove_limit(fixture);
}

/* A transaction counts as one operation. One that is begun above the limit can be rolled back. */
static void
test_transaction_counts_once(struct fixture *fixture, gconstpointer unused)
{
    set_limit_here(fixture, 0.05, 5);
    struct client *client = client_open_as(fixture, "strict", "key-t");
    for (unsigned i = 0; i < 5; i++) {
        expect_success(client, "BEGIN", 'T');
        expect_success(client, "WRITE a 1", 'T');
        expect_success(client, "READ a", 'T');
        expect_success(client, "COMMIT", 'I');
    }
    expect_success(client, "BEGIN", 'T');
    expect_error(client, "WRITE a 1", "ABORTED", 'E');
    expect_success(client, "ROLLBACK", 'I');
    client_close(client);
    remove_limit(fixture);
}

/* If no home can decide on an operation, it is refused as busy and not as above the limit. */
static void
test_no_home(struct fixture *fixture, gconstpointer unused)
{
    set_limit_here(fixture, 5, 5);
    counting_t *counting = fixture->shared.counting;
    const rate_bounds_t bounds = {5, 0, 0};
    fixture->shared.counting = counting_new(&bounds, backend_now()); /* without a valid roster */
    struct client *client = client_open_as(fixture, "strict", "key-t");
    expect_error(client, "WRITE a 1", "BUSY", 'I');
    g_assert_nonnull(strstr(client->result, "retry in"));
    client_close(client);
    remove_limit(fixture);
    counting_free(counting);
}

/* Number of the tenant's shares that this pooler counts in a roster with a pooler at `other`. */
static unsigned
own_shares(const char *other)
{
    size_t homes[ROSTER_SHARES];
    unsigned own = 0;
    roster_t *roster = roster_new(1, 2);
    roster->members[0] = (roster_member_t){
        .address = g_strdup(OWN_ADDRESS), .weight = 1, .same_zone = true, .self = true};
    roster->members[1] = (roster_member_t){.address = g_strdup(other), .weight = 1};
    roster_homes(roster, "toubkal", homes);
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        own += homes[i] == 0;
    }
    roster_unref(roster);
    return own;
}

/* Finds a free port for another pooler so that each of the two counts some shares. By chance one of
 * them could have all shares, and the unresponsive one could not refuse. */
static void
choose_port(struct sockaddr_in *address)
{
    unsigned own = 0;
    while (own == 0 || own == ROSTER_SHARES) {
        address->sin_port = htons(free_port());
        g_autofree char *text = format_address(address);
        own = own_shares(text);
    }
}

/* A home that accepts connections and never answers does not delay operations: a token of another
 * home is requested instead, and once that has no token left, the refusal comes without delay. */
static void
test_unresponsive_home(struct fixture *fixture, gconstpointer unused)
{
    g_autoptr(GError) error = NULL;
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    choose_port(&address);
    int unresponsive = socket_listen(&address, 4, false, &error);
    g_autofree char *text = format_address(&address);
    g_assert_no_error(error);
    set_limit_with(fixture, 0.05, 10, text);
    struct client *client = client_open_as(fixture, "strict", "key-t");
    bool refused = false;
    for (unsigned i = 0; i < 20 && !refused; i++) {
        time_ns before = backend_now();
        execute(client, "WRITE a 1");
        refused = g_str_has_prefix(client->result, "ERROR ");
        g_assert_cmpuint(backend_now() - before, <, 2 * NANOSECONDS_PER_SECOND);
    }
    g_assert_true(refused);
    g_assert_nonnull(strstr(client->result, "retry in"));
    /* From then on, refusals do not wait for the home, and are because of the limit. */
    for (unsigned i = 0; i < 3; i++) {
        time_ns before = backend_now();
        expect_error(client, "WRITE a 1", "OVERLOAD", 'I');
        g_assert_cmpuint(backend_now() - before, <, 50 * MS);
    }
    client_close(client);
    remove_limit(fixture);
    close(unresponsive);
}

/* ---- homes that answer ---- */

/* A stand-in for another pooler, which grants every token after a delay. */
typedef struct granting_home {
    int listener;
    time_ns delay;
    char *address;
    GThread *thread;
    _Atomic unsigned requests;
} granting_home_t;

static bool
read_exactly(int handle, void *data, size_t len)
{
    return recv(handle, data, len, MSG_WAITALL) == (ssize_t)len;
}

static void
grant(granting_home_t *home, int handle, const struct forward_ask *ask)
{
    struct forward_answer answer;
    forward_answer_init(&answer);
    answer.channel = ask->channel;
    if (ask->channel != 0) {
        atomic_fetch_add(&home->requests, 1);
        g_usleep(home->delay / NANOSECONDS_PER_MICROSECOND);
    }
    g_autoptr(GByteArray) message = forward_answer_encode(&answer);
    uint32_t header = htonl(message->len);
    g_byte_array_prepend(message, (const guint8 *)&header, sizeof header);
    g_assert_cmpint(send(handle, message->data, message->len, MSG_NOSIGNAL), >, 0);
    forward_answer_clear(&answer);
}

static gpointer
grant_all(gpointer data)
{
    granting_home_t *home = data;
    int handle = accept(home->listener, NULL, NULL);
    uint32_t header = 0;
    uint8_t content[4096];
    while (handle >= 0 && read_exactly(handle, &header, sizeof header)) {
        struct forward_ask ask = {0};
        g_assert_cmpuint(ntohl(header), <=, sizeof content);
        g_assert_true(read_exactly(handle, content, ntohl(header)));
        g_assert_true(forward_ask_decode(content, ntohl(header), &ask, NULL));
        grant(home, handle, &ask);
        forward_ask_clear(&ask);
    }
    close(handle);
    return NULL;
}

static void
granting_home_start(granting_home_t *home, time_ns delay, struct sockaddr_in *address)
{
    g_autoptr(GError) error = NULL;
    *home = (granting_home_t){.delay = delay, .address = format_address(address)};
    home->listener = socket_listen(address, 4, false, &error);
    g_assert_no_error(error);
    int flags = fcntl(home->listener, F_GETFL);
    g_assert_cmpint(fcntl(home->listener, F_SETFL, flags & ~O_NONBLOCK), ==, 0);
    home->thread = g_thread_new("home", grant_all, home);
}

/* Call after the worker has closed its connection. */
static void
granting_home_stop(granting_home_t *home)
{
    shutdown(home->listener, SHUT_RDWR);
    close(home->listener);
    g_free(home->address);
}

/* Finds two free ports for other poolers so that each of the three poolers counts some shares. */
static void
choose_two_ports(struct sockaddr_in addresses[2])
{
    unsigned shares[3] = {0};
    while (shares[0] == 0 || shares[1] == 0 || shares[2] == 0) {
        roster_t *roster = roster_new(1, 3);
        size_t homes[ROSTER_SHARES];
        roster->members[0] = (roster_member_t){.address = g_strdup(OWN_ADDRESS), .weight = 1};
        for (unsigned i = 0; i < 2; i++) {
            addresses[i] = (struct sockaddr_in){.sin_family = AF_INET,
                                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                                .sin_port = htons(free_port())};
            roster->members[i + 1] =
                (roster_member_t){.address = format_address(&addresses[i]), .weight = 1};
        }
        roster_homes(roster, "toubkal", homes);
        memset(shares, 0, sizeof shares);
        for (unsigned i = 0; i < ROSTER_SHARES; i++) {
            shares[homes[i]]++;
        }
        roster_unref(roster);
    }
}

/* If the preferred home takes 300 ms for each token, a token is requested from another home as well
 * after the hedge delay, and the operation proceeds with the first answer. The token that comes
 * late is lost and counted, and the slow home is avoided for a while. */
static void
test_slow_home(struct fixture *fixture, gconstpointer unused)
{
    struct sockaddr_in addresses[2];
    granting_home_t slow;
    granting_home_t fast;
    const struct metrics *metrics = &fixture->worker->metrics;
    choose_two_ports(addresses);
    granting_home_start(&slow, 300 * MS, &addresses[0]);
    granting_home_start(&fast, 0, &addresses[1]);
    const char *const others[] = {slow.address, fast.address, NULL};
    set_limit_among(fixture, 0.001, 5, others);
    struct client *client = client_open_as(fixture, "strict", "key-t");
    unsigned served = 0;
    unsigned soon = 0;
    for (unsigned i = 0; i < 20; i++) {
        time_ns before = backend_now();
        execute(client, "WRITE a 1");
        served += g_str_has_prefix(client->result, "COMPLETE ");
        soon += backend_now() - before < 50 * MS;
    }
    g_assert_cmpuint(served, >=, 18); /* the machine of the test may stall for a moment */
    g_assert_cmpuint(soon, >=, 15);
    g_assert_cmpuint(atomic_load(&metrics->counters[METRICS_TOKENS_HEDGED]), >=, 1);
    g_assert_cmpuint(atomic_load(&slow.requests), <=, 5);
    g_assert_cmpuint(atomic_load(&fast.requests), >=, 10);
    g_usleep(700 * 1000);
    g_assert_cmpuint(atomic_load(&metrics->counters[METRICS_TOKENS_LATE]), >=, 1);
    client_close(client);
    remove_limit(fixture);
    granting_home_stop(&slow);
    granting_home_stop(&fast);
}

/* Without a coordinator and without open connections to replicas, as in groups with many more
 * tenants than connections, the leadership check of the first read at the primary waits for
 * connections to open. A check without them would fail and delay the read by 200 ms. */
static void
test_check_waits_for_connections(struct fixture *fixture, gconstpointer unused)
{
    fixture->keys = two_tenants;
    fixture->version++;
    publish(fixture);
    struct client *client = client_open_as(fixture, "strict", "key-t");
    time_ns start = backend_now();
    expect_success(client, "READ hut", 'I');
    g_assert_cmpuint((backend_now() - start) / MS, <, 150);
    client_close(client);
}

/* If both replicas accept connections and never answer, the leadership check is deferred for a
 * limited time only. */
static void
test_check_with_unresponsive_replicas(struct fixture *fixture, gconstpointer unused)
{
    fixture->keys = two_tenants;
    fixture->version++;
    fixture->timeout_ms = 900;
    publish(fixture);
    for (unsigned i = 1; i < DATABASES; i++) {
        line_group_set_faults(fixture->group, i, &(struct line_faults){.unresponsive = true});
    }
    struct client *client = client_open_as(fixture, "strict", "key-t");
    time_ns start = backend_now();
    expect_error(client, "READ hut", "BUSY", 'I');
    g_assert_cmpuint((backend_now() - start) / MS, <, 1500);
    client_close(client);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("check-waits-for-connections", set_up_unpublished, test_check_waits_for_connections);
    ADD("check-with-unresponsive-replicas", set_up_unpublished,
        test_check_with_unresponsive_replicas);
    ADD("connections-are-a-tenants", set_up_keyed, test_connections_are_per_tenant);
    ADD("idle-connection-is-replaced", set_up_keyed, test_idle_connection_is_replaced);
    ADD("opened-ahead-for-session", set_up_keyed, test_opened_ahead_for_session);
    ADD("not-opened-beside-idle", set_up_keyed, test_not_opened_beside_idle);
    ADD("open-transaction", set_up_keyed, test_open_transaction_keeps_its_connection);
    ADD("unknown-key", set_up_keyed, test_unknown_key);
    ADD("public", set_up_keyed, test_public_route_needs_no_key);
    ADD("key-goes-away", set_up_keyed, test_key_is_revoked);
    ADD("key-goes-away-queued", set_up_keyed, test_key_is_revoked_while_queued);
    ADD("no-proof", set_up_keyed, test_no_proof);
    ADD("no-proof-in-transaction", set_up_keyed, test_no_proof_in_a_transaction);
    ADD("limit", set_up_keyed, test_limit);
    ADD("limit-rate-zero", set_up_keyed, test_limit_with_rate_zero);
    ADD("transaction-counts-once", set_up_keyed, test_transaction_counts_once);
    ADD("no-home", set_up_keyed, test_no_home);
    ADD("unresponsive-home", set_up_keyed, test_unresponsive_home);
    ADD("slow-home", set_up_keyed, test_slow_home);
    ADD("forwarding/connections", set_up_keyed_forwarding, test_connections_are_per_tenant);
    ADD("forwarding/opened-ahead-for-session", set_up_keyed_forwarding,
        test_opened_ahead_for_session);
    ADD("forwarding/not-opened-beside-idle", set_up_keyed_forwarding, test_not_opened_beside_idle);
    ADD("forwarding/unknown-key", set_up_keyed_forwarding, test_unknown_key);
    ADD("forwarding/public", set_up_keyed_forwarding, test_public_route_needs_no_key);
    ADD("forwarding/key-goes-away", set_up_keyed_forwarding, test_key_is_revoked);
    ADD("forwarding/no-proof", set_up_keyed_forwarding, test_no_proof);
    ADD("forwarding/owner-has-older-configuration", set_up_keyed_forwarding,
        test_owner_has_older_configuration);
    ADD("forwarding/owner-knows-of-the-end", set_up_keyed_forwarding,
        test_owner_knows_of_revocation);
    ADD("forwarding/owner-without-proof", set_up_keyed_forwarding, test_owner_without_proof);
    ADD("forwarding/limit", set_up_keyed_forwarding, test_limit);
    return g_test_run();
}
