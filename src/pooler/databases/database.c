/* State of a database in a worker: its connections, latency and faults. */
#include "pooler/databases/pool.h"
#include "pooler/shared/socket.h"
#include "pooler/worker/worker_internal.h"

#include <string.h>

/* Latency assumed for a database that has not answered yet. */
#define LATENCY_START_MS 5.0

/* Weight of the newest opening in the moving average of the group's openings. */
#define OPENING_WEIGHT 0.1

/* Without any answer for this time while requests are pending, a database is unresponsive. */
#define UNRESPONSIVE_AFTER_NS (450 * NANOSECONDS_PER_MILLISECOND)

/* Without an answer for this time plus LOST_LATENCIES times the average latency, while the database
 * sends other answers, the answer to a statement is considered lost. */
#define LOST_AFTER_NS  (250 * NANOSECONDS_PER_MILLISECOND)
#define LOST_LATENCIES 3

/* Time-outs of a statement whose session has ended, and of a status query. */
#define ORPHAN_MAX_NS (2000 * NANOSECONDS_PER_MILLISECOND)
#define STATUS_MAX_NS (400 * NANOSECONDS_PER_MILLISECOND)

/* Number of connections that are kept open, used or not. */
#define READY_CONNECTIONS 2U

/* If a write has had no answer for this time while other answers arrive, replication is stalled. */
#define STALLED_AFTER_NS (600 * NANOSECONDS_PER_MILLISECOND)

/* How long the fault of a database that refuses to act as the primary is kept. */
#define REFUSAL_KEPT_NS (500 * NANOSECONDS_PER_MILLISECOND)

/* Back-off after a failure to open a connection. */
#define RETRY_MIN_NS (50 * NANOSECONDS_PER_MILLISECOND)
#define RETRY_MAX_NS (800 * NANOSECONDS_PER_MILLISECOND)

/* Back-off if the database is at its limit of connections. The maximum is a little below the 3 s
 * for which a database counts connections of a machine that became unreachable. */
#define FULL_RETRY_MIN_NS (150 * NANOSECONDS_PER_MILLISECOND)
#define FULL_RETRY_MAX_NS (2400 * NANOSECONDS_PER_MILLISECOND)

/* If a database has answered on another connection within this time, it is alive, and a failure to
 * open a connection means that it is at its limit. */
#define ALIVE_NS (500 * NANOSECONDS_PER_MILLISECOND)

struct database *
database_new(struct group *group, struct member_shared *shared)
{
    struct database *database = g_new0(struct database, 1);
    database->group = group;
    database->shared = shared;
    database->servers = g_ptr_array_new();
    database->latency_ms = LATENCY_START_MS;
    window_init(&database->window);
    return database;
}

void
database_free(struct database *database)
{
    g_ptr_array_unref(database->servers);
    g_free(database);
}

enum database_fault
database_fault(const struct database *database)
{
    return (enum database_fault)atomic_load(&database->shared->fault);
}

/* Counts the databases of the group with a fault. `old` is the fault that was actually replaced,
 * because another worker may have changed it in the meantime. */
static void
count_fault(struct group_shared *shared, enum database_fault old, enum database_fault fault)
{
    if (old == DATABASE_FAULT_NONE && fault != DATABASE_FAULT_NONE) {
        atomic_fetch_add(&shared->faults, 1);
    } else if (old != DATABASE_FAULT_NONE && fault == DATABASE_FAULT_NONE) {
        atomic_fetch_sub(&shared->faults, 1);
    }
}

void
database_set_fault(struct database *database, enum database_fault fault, time_ns now)
{
    if (database_fault(database) == fault) {
        return;
    }
    atomic_store(&database->shared->fault_since, now);
    enum database_fault old =
        (enum database_fault)atomic_exchange(&database->shared->fault, (unsigned)fault);
    count_fault(database->group->shared, old, fault);
    g_log_structured("database", G_LOG_LEVEL_INFO, "SW_DATABASE", database->shared->id,
                     "SW_SERVICE", database->group->shared->service, "MESSAGE",
                     "Database %s: %s, before %s.", database->shared->id,
                     database_fault_name(fault), database_fault_name(old));
    worker_notify_coordinator(database->group->worker);
}

void
database_note_answer(struct database *database, time_ns now)
{
    atomic_store_explicit(&database->shared->answered_at, now, memory_order_relaxed);
    enum database_fault fault = database_fault(database);
    if (fault == DATABASE_FAULT_SILENT || fault == DATABASE_FAULT_UNREACHABLE) {
        database_set_fault(database, DATABASE_FAULT_NONE, now);
    }
}

/* Exponential back-off with jitter of -50% to +50%, so that hundreds of poolers that failed at the
 * same time do not retry at the same time. */
static time_ns
backoff(time_ns min, time_ns max, uint32_t failures)
{
    time_ns wait = MIN(min << MIN(failures, 10U), max);
    return wait / 2 + (time_ns)(g_random_double() * (double)wait);
}

/* True if a connection was rejected because the database is at its limit: some databases reset such
 * a connection, others answer with an error. */
static bool
is_full(const struct database *database, enum answer_code code, time_ns now)
{
    time_ns answered = atomic_load(&database->shared->answered_at);
    bool alive = answered != 0 && now < answered + ALIVE_NS;
    return alive || code == ANSWER_OVERLOADED || code == ANSWER_BUSY;
}

void
database_note_open_failure(struct database *database, enum answer_code code)
{
    time_ns now = backend_now();
    metrics_count(&database->group->worker->metrics, METRICS_CONNECTIONS_FAILED);
    if (is_full(database, code, now)) {
        database->retry_at =
            now + backoff(FULL_RETRY_MIN_NS, FULL_RETRY_MAX_NS, database->failures);
    } else {
        database->retry_at = now + backoff(RETRY_MIN_NS, RETRY_MAX_NS, database->failures);
        database_set_fault(database, DATABASE_FAULT_UNREACHABLE, now);
    }
    database->failures++;
}

void
database_note_opening(struct database *database, time_ns took)
{
    double ms = (double)took / (double)NANOSECONDS_PER_MILLISECOND;
    double *known = &database->group->opening_ms;
    *known = *known == 0 ? ms : *known + (ms - *known) * OPENING_WEIGHT;
    database->failures = 0;
}

void
database_note_rtt(struct database *database, time_ns took)
{
    database->rtt_ms =
        placement_update_rtt(database->rtt_ms, (double)took / (double)NANOSECONDS_PER_MILLISECOND);
}

/* Setup that the connection needs before it can serve the session; lower is better. */
static unsigned
setup_cost(const struct server *server, const struct session *session)
{
    guint present = g_hash_table_size(server->values);
    guint needed = session->values == NULL ? 0 : g_hash_table_size(session->values);
    return present > needed ? 2 : present != needed;
}

struct server *
database_idle_server(const struct database *database, const struct session *session)
{
    struct server *best = NULL;
    unsigned best_cost = 0;
    for (guint i = 0; i < database->servers->len; i++) {
        struct server *server = g_ptr_array_index(database->servers, i);
        if (server->state != SERVER_IDLE || server->tenant != session->tenant) {
            continue;
        }
        unsigned cost = setup_cost(server, session);
        bool better = best == NULL || cost < best_cost ||
                      (cost == best_cost && server->idle_since > best->idle_since);
        if (better) {
            best = server;
            best_cost = cost;
        }
    }
    return best;
}

struct server *
database_any_idle(const struct database *database)
{
    for (guint i = 0; i < database->servers->len; i++) {
        struct server *server = g_ptr_array_index(database->servers, i);
        if (server->state == SERVER_IDLE) {
            return server;
        }
    }
    return NULL;
}

/* Number of statements running at the database; an idle transaction takes no slot. */
static uint32_t
count_running(const struct database *database)
{
    uint32_t count = 0;
    for (guint i = 0; i < database->servers->len; i++) {
        const struct server *server = g_ptr_array_index(database->servers, i);
        count += server->state == SERVER_RUNNING;
    }
    return count;
}

bool
database_has_capacity(const struct database *database, uint32_t priority, time_ns now)
{
    return window_has_capacity(&database->window, count_running(database), priority, now);
}

void
database_narrow_window(struct database *database, time_ns now)
{
    window_note_refusal(&database->window, count_running(database), now);
}

/* Logs that the window has been narrowed to the share of the slots, or has been widened again. */
static void
log_window(const struct database *database)
{
    const window_t *window = &database->window;
    g_autofree char *slowness = g_strdup_printf("%.1f", window->slowness);
    g_log_structured("database", G_LOG_LEVEL_INFO, "SW_DATABASE", database->shared->id,
                     "SW_SERVICE", database->group->shared->service, "SW_SLOWNESS", slowness,
                     "MESSAGE", "Database %s: answers take %s times the baseline; %s.",
                     database->shared->id, slowness,
                     window->at_share ? "concurrent statements limited to a share of its slots"
                                      : "limit of concurrent statements raised again");
}

void
database_note_statement_answer(struct database *database, double slowness, time_ns now)
{
    window_t *window = &database->window;
    bool was_at_share = window->at_share;
    window_note_answer(window, slowness, count_running(database), now);
    if (window->at_share != was_at_share) {
        if (window->at_share) {
            metrics_count(&database->group->worker->metrics, METRICS_WINDOWS_NARROWED);
        }
        log_window(database);
    }
}

/* The numbers of connections for the rules of the pool (pool.h). */
static pool_t
count_pool(const struct database *database)
{
    const struct group *group = database->group;
    pool_t pool = {.per_tenant = group->worker->has_tenants,
                   .max = database_connections(database),
                   .open = database->servers->len,
                   .waiting = group->queue.length};
    for (guint i = 0; i < database->servers->len; i++) {
        const struct server *server = g_ptr_array_index(database->servers, i);
        bool opens = server->state == SERVER_CONNECTING || server->state == SERVER_STARTING;
        if (opens && (pool.opening == 0 || server->sent_at < pool.opening_since)) {
            pool.opening_since = server->sent_at;
        }
        pool.opening += opens;
        pool.idle += server->state == SERVER_IDLE;
    }
    return pool;
}

bool
database_is_opening(const struct database *database)
{
    return count_pool(database).opening > 0;
}

/* The connection that has been idle longest; NULL if none is idle. */
static struct server *
longest_idle(const struct database *database)
{
    struct server *found = NULL;
    for (guint i = 0; i < database->servers->len; i++) {
        struct server *server = g_ptr_array_index(database->servers, i);
        bool older = found == NULL || server->idle_since < found->idle_since;
        if (server->state == SERVER_IDLE && older) {
            found = server;
        }
    }
    return found;
}

uint32_t
database_connections(const struct database *database)
{
    const struct group *group = database->group;
    bool own_limit = !group->direct_fallback && group->connections > 0 && database->connections > 0;
    return own_limit ? database->connections : group->connections;
}

bool
database_free_connection(struct database *database)
{
    if (database->servers->len < MAX(database_connections(database), 1)) {
        return true;
    }
    struct server *idle = longest_idle(database);
    if (idle == NULL) {
        return false;
    }
    metrics_count(&database->group->worker->metrics, METRICS_CONNECTIONS_REPLACED);
    server_close(idle, ANSWER_NONE);
    return true;
}

bool
database_will_open(const struct database *database, time_ns now)
{
    const pool_t pool = count_pool(database);
    return now >= database->retry_at && pool_will_open(&pool, now);
}

bool
database_may_open(const struct database *database, time_ns now)
{
    const pool_t pool = count_pool(database);
    return now >= database->retry_at && pool_may_open(&pool);
}

bool
database_may_open_ahead(const struct database *database, time_ns now)
{
    const pool_t pool = count_pool(database);
    return now >= database->retry_at && pool_may_open_ahead(&pool);
}

static bool
any_matches(const struct database *database, server_predicate *matches, time_ns now)
{
    for (guint i = 0; i < database->servers->len; i++) {
        const struct server *server = g_ptr_array_index(database->servers, i);
        if (server->state != SERVER_CLOSED && matches(server, now)) {
            return true;
        }
    }
    return false;
}

void
database_close_where(struct database *database, server_predicate *matches, time_ns now,
                     enum answer_code reason)
{
    if (!any_matches(database, matches, now)) {
        return;
    }
    /* Works on a copy, because closing one connection may close others. Closed connections are
     * freed only after the current callback. */
    g_autoptr(GPtrArray) servers = g_ptr_array_copy(database->servers, NULL, NULL);
    for (guint i = 0; i < servers->len; i++) {
        struct server *server = g_ptr_array_index(servers, i);
        if (server->state != SERVER_CLOSED && matches(server, now)) {
            server_close(server, reason);
        }
    }
}

static bool
is_idle(const struct server *server, time_ns now)
{
    return server->state == SERVER_IDLE;
}

void
database_close_idle(struct database *database)
{
    database_close_where(database, is_idle, 0, ANSWER_NONE);
}

/* When the oldest running statement was sent; 0 if there is none. */
static time_ns
oldest_sent(const struct database *database, bool writes_only)
{
    time_ns oldest = 0;
    for (guint i = 0; i < database->servers->len; i++) {
        const struct server *server = g_ptr_array_index(database->servers, i);
        bool counts = server->state == SERVER_RUNNING && (!writes_only || server->running_writes);
        if (counts && (oldest == 0 || server->sent_at < oldest)) {
            oldest = server->sent_at;
        }
    }
    return oldest;
}

/* True for idle connections and reads outside of transactions. At an unresponsive database they are
 * closed, and the reads are retried at another database. */
static bool
is_read_or_idle(const struct server *server, time_ns now)
{
    bool read =
        server->state == SERVER_RUNNING && !server->in_transaction && !server->running_writes;
    return read || is_idle(server, now);
}

/* True if the answer to a statement is considered lost (LOST_AFTER_NS). A read is then retried at
 * another database, and a transaction is rolled back, in time for the client to retry. */
static bool
has_lost_answer(const struct server *server, time_ns now)
{
    const struct database *database = server->database;
    time_ns answered = atomic_load(&database->shared->answered_at);
    time_ns latency =
        (time_ns)(database->latency_ms * LOST_LATENCIES) * NANOSECONDS_PER_MILLISECOND;
    return server->state == SERVER_RUNNING && !server->running_writes &&
           now > server->sent_at + LOST_AFTER_NS + latency &&
           answered > server->sent_at + LOST_AFTER_NS / 2;
}

/* True if a statement whose session has ended, or a status query, has timed out. No client time-out
 * applies to them: without an answer they would occupy their connections for ever. */
static bool
is_orphan(const struct server *server, time_ns now)
{
    time_ns timeout = server->checking ? STATUS_MAX_NS : ORPHAN_MAX_NS;
    return server->state == SERVER_RUNNING && server->session == NULL &&
           now > server->sent_at + timeout;
}

/* True if a statement is still in the local send buffer after held_max. It is withdrawn, because
 * the proof that its key is valid (proof.h) may expire before the database receives the statement.
 */
static bool
is_unsent(const struct server *server, time_ns now)
{
    const struct worker *worker = server->database->group->worker;
    return server->state == SERVER_RUNNING &&
           now > server->sent_at + worker->shared->unacknowledged_max &&
           socket_has_unacknowledged(server->socket);
}

static void
check_unresponsive(struct database *database, time_ns now)
{
    time_ns sent = oldest_sent(database, false);
    time_ns answered = atomic_load(&database->shared->answered_at);
    bool unresponsive = sent != 0 && now > MAX(sent, answered) + UNRESPONSIVE_AFTER_NS;
    if (unresponsive) {
        database->retry_at = MAX(database->retry_at, now + RETRY_MIN_NS);
        database_set_fault(database, DATABASE_FAULT_SILENT, now);
        database_close_where(database, is_read_or_idle, now, ANSWER_BUSY);
    }
}

static void
check_stall(struct database *database, time_ns now)
{
    time_ns sent = oldest_sent(database, true);
    /* If a later write was acknowledged, only the answer was lost, and replication works. */
    bool stalled = sent != 0 && now > sent + STALLED_AFTER_NS && database->written_at < sent;
    enum database_fault fault = database_fault(database);
    if (stalled && fault == DATABASE_FAULT_NONE) {
        database_set_fault(database, DATABASE_FAULT_STALLED, now);
    } else if (!stalled && fault == DATABASE_FAULT_STALLED) {
        database_set_fault(database, DATABASE_FAULT_NONE, now);
    }
}

void
database_open_ready(struct database *database, time_ns now)
{
    if (database->group->worker->has_tenants) {
        return; /* each connection serves one tenant, and the next tenant is not known */
    }
    bool usable = database->takes_work && database_fault(database) == DATABASE_FAULT_NONE;
    while (usable && database->servers->len < READY_CONNECTIONS &&
           database_may_open(database, now) &&
           server_open(database, access_public_tenant(), METRICS_OPENED_READY) != NULL) {
    }
}

/* Unused connections are closed because after a power loss of this machine a database counts them
 * against its limit for seconds, together with the new ones. */
void
database_close_unused(struct database *database, time_ns now)
{
    bool tenants = database->group->worker->has_tenants;
    guint ready = tenants ? 0 : MIN(database->group->connections, READY_CONNECTIONS);
    for (guint i = database->servers->len; i > 0 && database->servers->len > ready; i--) {
        struct server *server = g_ptr_array_index(database->servers, i - 1);
        if (server->state == SERVER_IDLE && pool_is_unused(server->idle_since, tenants, now)) {
            server_close(server, ANSWER_NONE);
        }
    }
}

/* Clears the fault of a primary that refused to act as the primary after a while, so that
 * statements are sent to it again unless another database has become the primary. */
static void
check_refusal(struct database *database, time_ns now)
{
    time_ns since = atomic_load(&database->shared->fault_since);
    if (database_fault(database) == DATABASE_FAULT_REFUSING && now > since + REFUSAL_KEPT_NS) {
        database_set_fault(database, DATABASE_FAULT_NONE, now);
    }
}

void
database_tick(struct database *database, time_ns now)
{
    if (database->group->connections == 0 && database->servers->len == 0) {
        database_set_fault(database, DATABASE_FAULT_NONE, now); /* owners detect its faults */
        return;
    }
    check_refusal(database, now);
    database_close_unused(database, now);
    database_close_where(database, is_orphan, now, ANSWER_TIMEOUT);
    if (database->group->worker->shared->unacknowledged_max != 0) {
        database_close_where(database, is_unsent, now, ANSWER_TIMEOUT);
    }
    check_unresponsive(database, now);
    database_close_where(database, has_lost_answer, now, ANSWER_BUSY);
    check_stall(database, now);
    bool probe = database->takes_work && database_fault(database) != DATABASE_FAULT_NONE &&
                 count_pool(database).opening == 0;
    if (probe && database_may_open(database, now)) {
        server_open(database, access_public_tenant(), METRICS_OPENED_PROBE);
    }
}
