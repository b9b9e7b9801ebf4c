/* A worker with stand-in databases, and its clients; see the header. */
#include "worker_fixture.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "free_port.h"
#include "wire/address.h"

static void
add_route(struct configuration *configuration, const char *database, enum route_kind kind,
          const struct fixture *fixture)
{
    struct route *route = g_new0(struct route, 1);
    route->database = g_strdup(database);
    route->service = g_strdup("ledger");
    route->kind = kind;
    route->timeout_ms = fixture->timeout_ms;
    route->target_ms = kind == ROUTE_KIND_READ_YOUR_WRITES ? fixture->own_target_ms : 250;
    route->priority = kind == ROUTE_KIND_PRIMARY ? fixture->strict_priority : 0;
    route->staleness_ms = fixture->staleness_ms;
    route->is_public = g_str_has_prefix(database, "public");
    configuration_add_route(configuration, route);
}

static void
add_keys(struct configuration *configuration, const struct fixture *fixture,
         const char *const *keys)
{
    configuration_require_keys(configuration);
    for (const char *const *pair = keys; *pair != NULL; pair++) {
        g_auto(GStrv) words = g_strsplit(*pair, " ", 2);
        tenant_t *tenant = configuration_add_tenant(configuration, words[0]);
        tenant->limited = fixture->rate_per_s != 0;
        tenant->rate_per_s = MAX(fixture->rate_per_s, 0);
        tenant->burst = fixture->burst;
        configuration_add_key(configuration, words[1], tenant);
    }
}

static struct configuration *
make_configuration(const struct fixture *fixture, uint64_t version, const char *const *keys)
{
    struct configuration *configuration = configuration_new();
    configuration->version = version;
    if (keys != NULL) {
        add_keys(configuration, fixture, keys);
        add_route(configuration, "public", ROUTE_KIND_BOUNDED_STALENESS, fixture);
    }
    configuration->transaction_idle_ms = 60000;
    configuration_add_service(configuration, "ledger", 30, 1);
    if (fixture->with_route) {
        add_route(configuration, "strict", ROUTE_KIND_PRIMARY, fixture);
        add_route(configuration, "stale", ROUTE_KIND_BOUNDED_STALENESS, fixture);
        add_route(configuration, "own", ROUTE_KIND_READ_YOUR_WRITES, fixture);
    }
    return configuration;
}

static void
fill_member(const struct fixture *fixture, unsigned index, struct member_shared *shared,
            struct member_view *member)
{
    member->shared = shared;
    member->address.sin_family = AF_INET;
    member->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    member->address.sin_port = htons(line_group_port(fixture->group, index));
    member->same_zone = index == 1;
    member->zone = (int)index == fixture->primary ? fixture->primary_zone : NULL;
    member->closed = (fixture->evacuated & 1U << index) != 0;
    member->takes_work = !member->closed;
}

static struct view *
make_view(const struct fixture *fixture, struct group_shared *figures,
          struct member_shared *const *members, uint32_t connections, uint64_t version,
          const char *const *keys)
{
    struct view *view = g_new0(struct view, 1);
    view->configuration = make_configuration(fixture, version, keys);
    view->roster = fixture->roster == NULL ? NULL : roster_ref(fixture->roster);
    static uint64_t published;
    view->number = ++published;
    view->groups = g_new0(struct pooled_group *, 1);
    view->groups_count = 1;
    view->groups[0] = pooled_group_new();
    *view->groups[0] = (struct pooled_group){
        .shared = figures,
        .revision = published,
        .epoch = fixture->epoch,
        .phase = fixture->phase,
        .term = fixture->term,
        .primary = fixture->primary,
        .sync_replicas = 1,
        .connections = connections,
        .members = g_new0(struct member_view, DATABASES),
        .members_count = DATABASES,
    };
    for (unsigned i = 0; i < DATABASES; i++) {
        fill_member(fixture, i, members[i], &view->groups[0]->members[i]);
    }
    return view;
}

static void
exchange_view(struct worker_shared *shared, const struct worker *worker, struct view *view)
{
    struct view *old = rcu_xchg_pointer(&shared->view, view);
    worker_wake((struct worker *)worker);
    synchronize_rcu();
    view_free(old);
}

/* Adds the running owners to the view. Returns their number. */
static unsigned
add_owners(const struct fixture *fixture, struct pooled_group *group)
{
    group->owners = g_new0(owner_view_t, OWNERS + 1);
    for (unsigned i = 0; i < OWNERS; i++) {
        const owner_t *owner = &fixture->owners[i];
        if (owner->worker != NULL) {
            owner_view_t *view = &group->owners[group->owners_count++];
            view->address = owner->shared.forward_listen;
            view->text = format_address(&view->address);
            view->same_zone = i == 0 && fixture->owners_zone == NULL;
            view->zone = fixture->owners_zone;
        }
    }
    if (fixture->owns) {
        owner_view_t *view = &group->owners[group->owners_count++];
        view->text = g_strdup("this worker");
        view->same_zone = true;
        view->self = true;
    }
    return (unsigned)group->owners_count;
}

void
publish(struct fixture *fixture)
{
    fixture->epoch++;
    for (unsigned i = 0; i < OWNERS; i++) {
        owner_t *owner = &fixture->owners[i];
        if (owner->worker != NULL) {
            uint32_t connections = owner->declines ? 0 : fixture->connections;
            exchange_view(
                &owner->shared, owner->worker,
                make_view(fixture, owner->figures, owner->members, connections,
                          fixture->version - fixture->owners_behind,
                          fixture->owners_keys == NULL ? fixture->keys : fixture->owners_keys));
        }
    }
    struct view *view = make_view(fixture, fixture->figures, fixture->members, fixture->connections,
                                  fixture->version, fixture->keys);
    if (add_owners(fixture, view->groups[0]) > 0 && !fixture->owns) {
        view->groups[0]->connections = 0;
        view->groups[0]->fallback_connections = fixture->fallback_connections;
    }
    exchange_view(&fixture->shared, fixture->worker, view);
}

void
permit(struct fixture *fixture, time_ns until)
{
    atomic_store(&fixture->figures->permit_until, until);
    for (unsigned i = 0; i < OWNERS; i++) {
        if (fixture->owners[i].figures != NULL) {
            atomic_store(&fixture->owners[i].figures->permit_until, until);
        }
    }
}

static void
start_shared(const struct fixture *fixture, struct worker_shared *shared)
{
    shared->control_wake = eventfd(0, EFD_NONBLOCK);
    shared->listen.sin_family = AF_INET;
    shared->listen.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    shared->listen.sin_port = htons(free_port());
    shared->sessions_max = 100;
    shared->stop_grace = 6 * NANOSECONDS_PER_SECOND;
}

static struct group_shared *
figures_new(void)
{
    struct group_shared *figures = g_new0(struct group_shared, 1);
    figures->service = g_strdup("ledger");
    return figures;
}

static void
members_new(const struct fixture *fixture, struct member_shared **members)
{
    for (unsigned i = 0; i < DATABASES; i++) {
        members[i] = g_new0(struct member_shared, 1);
        members[i]->id = g_strdup(line_group_id(fixture->group, i));
    }
}

static void
stop_shared(struct worker_shared *shared, struct worker *worker)
{
    shared->stop_grace = 0;
    atomic_store(&shared->stop_at, backend_now());
    worker_wake(worker);
    worker_join(worker);
    view_free(shared->view);
    close(shared->control_wake);
}

static void
free_figures(struct group_shared *figures, struct member_shared **members)
{
    for (unsigned i = 0; i < DATABASES; i++) {
        g_free(members[i]->id);
        g_free(members[i]);
    }
    g_free(figures->service);
    g_free(figures);
}

void
set_up_unpublished(struct fixture *fixture, gconstpointer unused)
{
    g_autoptr(GError) error = NULL;
    fixture->group = line_group_start("ledger", DATABASES, 1);
    fixture->figures = figures_new();
    members_new(fixture, fixture->members);
    fixture->phase = GROUP_PHASE_OPEN;
    fixture->term = 1;
    fixture->connections = 4;
    fixture->staleness_ms = 60000;
    fixture->timeout_ms = 4000;
    fixture->own_target_ms = 250;
    fixture->with_route = true;
    fixture->version = 100;
    start_shared(fixture, &fixture->shared);
    fixture->worker = worker_start(&fixture->shared, 0, &error);
    g_assert_no_error(error);
}

void
start_owner(struct fixture *fixture, unsigned index)
{
    g_autoptr(GError) error = NULL;
    owner_t *owner = &fixture->owners[index];
    owner->figures = figures_new();
    members_new(fixture, owner->members);
    start_shared(fixture, &owner->shared);
    owner->shared.forward_listen = owner->shared.listen;
    owner->shared.forward_listen.sin_port = htons(free_port());
    owner->worker = worker_start(&owner->shared, 0, &error);
    g_assert_no_error(error);
}

void
stop_owner(struct fixture *fixture, unsigned index)
{
    owner_t *owner = &fixture->owners[index];
    stop_shared(&owner->shared, owner->worker);
    free_figures(owner->figures, owner->members);
    *owner = (owner_t){0};
}

void
set_up(struct fixture *fixture, gconstpointer unused)
{
    set_up_unpublished(fixture, unused);
    permit(fixture, PERMIT_FOREVER);
    publish(fixture);
}

void
set_up_forwarding(struct fixture *fixture, gconstpointer unused)
{
    set_up_unpublished(fixture, unused);
    start_owner(fixture, 0);
    permit(fixture, PERMIT_FOREVER);
    publish(fixture);
}

void
tear_down(struct fixture *fixture, gconstpointer unused)
{
    stop_shared(&fixture->shared, fixture->worker);
    for (unsigned i = 0; i < OWNERS; i++) {
        if (fixture->owners[i].worker != NULL) {
            stop_owner(fixture, i);
        }
    }
    line_group_stop(fixture->group);
    free_figures(fixture->figures, fixture->members);
}

/* Clients */

void
send_line(struct client *client, const char *line)
{
    size_t length = strlen(line);
    g_assert_cmpint(send(fileno(client->stream), line, length, MSG_NOSIGNAL), ==, (ssize_t)length);
}

struct client *
client_connect(const struct fixture *fixture)
{
    struct client *client = g_new0(struct client, 1);
    struct timeval timeout = {ANSWER_WAIT_S, 0};
    int handle = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(handle, (const struct sockaddr *)&fixture->shared.listen,
                            sizeof fixture->shared.listen),
                    ==, 0);
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    client->stream = fdopen(handle, "r");
    return client;
}

struct client *
client_begin_as(const struct fixture *fixture, const char *database, const char *key)
{
    struct client *client = client_connect(fixture);
    g_autofree char *start = g_strdup_printf("STARTUP %s %s\r\n", database, key);
    send_line(client, start);
    return client;
}

struct client *
client_begin(const struct fixture *fixture, const char *database)
{
    return client_begin_as(fixture, database, "user");
}

void
client_read(struct client *client)
{
    client->row[0] = '\0';
    client->result[0] = '\0';
    client->state = '-';
    while (fgets(client->line, sizeof client->line, client->stream) != NULL) {
        g_strchomp(client->line);
        if (g_str_has_prefix(client->line, "ROW ")) {
            g_strlcpy(client->row, client->line + 4, sizeof client->row);
        } else if (g_str_has_prefix(client->line, "READY ")) {
            client->state = client->line[6];
            return;
        } else {
            g_strlcpy(client->result, client->line, sizeof client->result);
        }
    }
}

struct client *
client_open(const struct fixture *fixture, const char *database)
{
    return client_open_as(fixture, database, "user");
}

struct client *
client_open_as(const struct fixture *fixture, const char *database, const char *key)
{
    struct client *client = client_begin_as(fixture, database, key);
    client_read(client);
    g_assert_true(client->state == 'I');
    return client;
}

void
client_close(struct client *client)
{
    fclose(client->stream);
    g_free(client);
}

void
client_send(struct client *client, const char *text)
{
    g_autofree char *line =
        g_strdup_printf("QUERY q%p-%u %s\r\n", (void *)client, ++client->next_id, text);
    send_line(client, line);
}

void
execute(struct client *client, const char *text)
{
    client_send(client, text);
    client_read(client);
}

void
expect_success(struct client *client, const char *text, char state)
{
    execute(client, text);
    g_assert_cmpstr(client->line, !=, "");
    if (!g_str_has_prefix(client->result, "COMPLETE ")) {
        g_test_message("%s: %s", text, client->result);
    }
    g_assert_true(g_str_has_prefix(client->result, "COMPLETE "));
    g_assert_true(client->state == state);
}

void
expect_error(struct client *client, const char *text, const char *code, char state)
{
    execute(client, text);
    g_autofree char *start = g_strdup_printf("ERROR %s", code);
    if (!g_str_has_prefix(client->result, start)) {
        g_test_message("%s: %s", text, client->result);
    }
    g_assert_true(g_str_has_prefix(client->result, start));
    g_assert_true(client->state == state);
}

const struct line_run *
find_run(GPtrArray *runs, const char *text)
{
    for (guint i = runs->len; i > 0; i--) {
        const struct line_run *run = g_ptr_array_index(runs, i - 1);
        if (strstr(run->text, text) != NULL) {
            return run;
        }
    }
    g_error("no database ran %s", text);
}
