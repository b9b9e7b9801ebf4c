/* A worker's thread: event loop, listeners, application of views, planned stop; see the header. */
#define G_LOG_DOMAIN "worker"
#include "pooler/shared/socket.h"
#include "pooler/worker/worker_internal.h"

#include <errno.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Interval of the checks for time-outs and unresponsive peers while any statement is in progress.
 */
#define TICK_MS 50

#define LISTEN_BACKLOG 512
#define ACCEPTS_MAX    64

/* Interval of group_refresh(), which restores ready connections and reconnects to lost owners, for
 * groups that no new view has changed. */
#define REFRESH_INTERVAL_NS (900 * NANOSECONDS_PER_MILLISECOND)

/* A planned stop accepts new clients for this long: until then the load balancer may not have
 * noticed that this pooler is not ready. */
#define STOP_MIN_NS (2600 * NANOSECONDS_PER_MILLISECOND)

/* Sessions that are still open are ended this long before the end of the grace period. */
#define STOP_RESERVE_NS (700 * NANOSECONDS_PER_MILLISECOND)

void
worker_wake_control(struct worker *worker)
{
    uint64_t one = 1;
    if (write(worker->shared->control_wake, &one, sizeof one) < 0) {
        return; /* the eventfd's counter is full: a wake-up is pending */
    }
}

void
worker_notify_coordinator(struct worker *worker)
{
    atomic_fetch_add(&worker->shared->urgent_updates, 1);
    worker_wake_control(worker);
}

void
worker_wake(struct worker *worker)
{
    uint64_t one = 1;
    if (write(worker->wake, &one, sizeof one) < 0) {
        return; /* the eventfd's counter is full: a wake-up is pending */
    }
}

uint64_t
worker_view_number(const struct worker *worker)
{
    return atomic_load(&worker->view_number);
}

bool
worker_ended(const struct worker *worker)
{
    return atomic_load(&worker->has_ended);
}

uint32_t
worker_sessions(const struct worker *worker)
{
    return atomic_load(&worker->session_count);
}

struct metrics *
worker_metrics(struct worker *worker)
{
    return &worker->metrics;
}

void
worker_run_deferred(struct worker *worker)
{
    while (worker->groups_to_run->len > 0) {
        guint last = worker->groups_to_run->len - 1;
        struct group *group = g_ptr_array_remove_index(worker->groups_to_run, last);
        router_run_queue(group);
    }
    for (guint i = 0; i < worker->closed->len; i++) {
        server_free(g_ptr_array_index(worker->closed, i));
    }
    g_ptr_array_set_size(worker->closed, 0);
    for (guint i = 0; i < worker->ended->len; i++) {
        session_free(g_ptr_array_index(worker->ended, i));
    }
    g_ptr_array_set_size(worker->ended, 0);
}

void
worker_arm_tick(struct worker *worker)
{
    if (!worker->tick_armed) {
        struct timeval wait = {0, TICK_MS * 1000};
        worker->tick_armed = true;
        evtimer_add(worker->tick, &wait);
    }
}

/* Processes the start messages that came before the first view. */
static void
continue_sessions(struct worker *worker)
{
    for (GList *link = worker->sessions.head; link != NULL;) {
        struct session *session = link->data;
        link = link->next;
        session_continue(session);
    }
}

/* Most views change few groups or none: unchanged groups keep their revision and are skipped. */
static void
apply_group(struct worker *worker, const struct pooled_group *published, bool refresh)
{
    struct group *group = group_of(worker, published->shared);
    if (group->revision != published->revision) {
        group->revision = published->revision;
        group_apply(group, published);
        g_ptr_array_add(worker->groups_to_run, group);
    } else if (refresh) {
        group_refresh(group);
    }
}

static void
apply_groups(struct worker *worker, const struct view *view)
{
    time_ns now = backend_now();
    bool refresh = now >= worker->refreshed_at + REFRESH_INTERVAL_NS;
    if (refresh) {
        worker->refreshed_at = now;
    }
    for (size_t i = 0; i < view->groups_count; i++) {
        apply_group(worker, view->groups[i], refresh);
    }
}

/* Views are compared by number, not by address: a new view may be allocated where a freed one was.
 */
static void
apply_view(struct worker *worker)
{
    rcu_read_lock();
    const struct view *view = rcu_dereference(worker->shared->view);
    uint64_t before = worker->view_number;
    if (view != NULL && view->number != before) {
        worker->has_tenants = view->configuration != NULL && view->configuration->keys != NULL;
        apply_groups(worker, view);
        if (view->configuration != NULL) {
            worker->transaction_idle =
                view->configuration->transaction_idle_ms * NANOSECONDS_PER_MILLISECOND;
        }
        atomic_store(&worker->view_number, view->number);
        worker_wake_control(worker);
    }
    rcu_read_unlock();
    if (before == 0 && worker->view_number != 0) {
        continue_sessions(worker);
    }
}

static void
end_loop(struct worker *worker)
{
    atomic_store(&worker->has_ended, true);
    event_base_loopbreak(worker->base);
    worker_wake_control(worker);
}

/* Ends idle sessions; shortly before the end of the grace period ends all that are left, except
 * those with a running statement. Queued statements of other poolers are declined, so that their
 * poolers send them to another owner. */
static void
check_stop(struct worker *worker, time_ns now)
{
    time_ns began = atomic_load(&worker->shared->stop_at);
    if (began == 0) {
        return;
    }
    worker->stopping = true;
    bool grace_over = now > began + worker->shared->stop_grace - STOP_RESERVE_NS;
    for (GList *link = worker->sessions.head; link != NULL;) {
        struct session *session = link->data;
        link = link->next;
        if (grace_over && session->state == SESSION_QUEUED && session->forwarded.caller != NULL) {
            caller_decline(session);
        } else if (grace_over && session->state != SESSION_RUNNING) {
            session_end(session);
        } else {
            session_check_stop(session, now);
        }
    }
    bool done = worker->sessions.length == 0 && now > began + STOP_MIN_NS;
    if (done || now > began + worker->shared->stop_grace - STOP_RESERVE_NS / 3) {
        end_loop(worker);
        return;
    }
    worker_arm_tick(worker);
}

/* Idle clients are disconnected this long after a network partition of the zone was detected. The
 * load balancer sends new clients to other zones only after two consecutive probes, one second
 * apart, found this pooler not ready; a client disconnected earlier would reconnect to this zone.
 */
#define CLOSE_IDLE_AFTER_NS (2 * NANOSECONDS_PER_SECOND)

/* Each TICK_MS, one in CLOSE_IDLE_PART of a worker's sessions is closed, and at least
 * CLOSE_IDLE_MIN. Most are closed within a second, but not all at once: their reconnects would
 * overload the other zones. */
#define CLOSE_IDLE_PART 10
#define CLOSE_IDLE_MIN  4U

/* Closes idle sessions while the zone is partitioned: their clients reconnect, and the load
 * balancer sends them to another zone. Left open, they would stay here and have their statements
 * refused. */
static void
close_idle_sessions(struct worker *worker, time_ns now)
{
    time_ns since = atomic_load(&worker->shared->partitioned_since);
    if (since == 0) {
        return;
    }
    worker_arm_tick(worker);
    guint left = now < since + CLOSE_IDLE_AFTER_NS
                     ? 0
                     : MAX(worker->sessions.length / CLOSE_IDLE_PART, CLOSE_IDLE_MIN);
    for (GList *link = worker->sessions.head; link != NULL && left > 0;) {
        struct session *session = link->data;
        link = link->next;
        if (session->forwarded.caller == NULL && session_is_idle(session)) {
            metrics_count(&worker->metrics, METRICS_SESSIONS_CLOSED_PARTITIONED);
            session_end(session);
            left--;
        }
    }
}

static void
on_tick(evutil_socket_t socket, short events, void *user)
{
    struct worker *worker = user;
    time_ns now = backend_now();
    GHashTableIter iterator;
    gpointer value = NULL;
    bool faulty = false;
    worker->tick_armed = false;
    g_hash_table_iter_init(&iterator, worker->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        faulty = group_tick(value, now) || faulty;
    }
    forward_tick(worker, now);
    check_stop(worker, now);
    close_idle_sessions(worker, now);
    if (worker->busy > 0 || faulty) {
        worker_arm_tick(worker);
    }
    worker_run_deferred(worker);
}

/* The earliest deferred statement may be sent: runs all queues. Statements that are still deferred
 * set the timer again (worker_run_queues_at()). */
static void
on_deferral_timer(evutil_socket_t socket, short events, void *user)
{
    struct worker *worker = user;
    GHashTableIter iterator;
    gpointer value = NULL;
    worker->next_deferred_at = 0;
    g_hash_table_iter_init(&iterator, worker->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct group *group = value;
        if (group->queue.length > 0) {
            g_ptr_array_add(worker->groups_to_run, group);
        }
    }
    worker_run_deferred(worker);
}

void
worker_run_queues_at(struct worker *worker, time_ns at)
{
    if (worker->next_deferred_at != 0 && worker->next_deferred_at <= at) {
        return;
    }
    time_ns now = backend_now();
    time_ns wait = at > now ? at - now : 0;
    struct timeval left = {(time_t)(wait / NANOSECONDS_PER_SECOND),
                           (suseconds_t)(wait % NANOSECONDS_PER_SECOND / 1000) + 1};
    worker->next_deferred_at = at;
    evtimer_add(worker->deferral_timer, &left);
}

static void
on_wake(evutil_socket_t socket, short events, void *user)
{
    struct worker *worker = user;
    uint64_t count = 0;
    if (read(worker->wake, &count, sizeof count) < 0 && errno != EAGAIN) {
        g_warning("Reading the wake-up eventfd failed.");
    }
    apply_view(worker);
    check_stop(worker, backend_now());
    if (atomic_load(&worker->shared->partitioned_since) != 0) {
        worker_arm_tick(worker); /* for close_idle_sessions() */
    }
    worker_run_deferred(worker);
}

static void
on_acceptable(evutil_socket_t listener, short events, void *user)
{
    struct worker *worker = user;
    for (int i = 0; i < ACCEPTS_MAX; i++) {
        int handle = socket_accept(worker->listener);
        if (handle < 0) {
            break;
        }
        if (worker->sessions.length >= worker->shared->sessions_max) {
            close(handle);
            continue;
        }
        session_open(worker, handle);
    }
    worker_run_deferred(worker);
}

static void
on_caller_acceptable(evutil_socket_t listener, short events, void *user)
{
    struct worker *worker = user;
    int handle = socket_accept(worker->forward_listener);
    if (handle >= 0) {
        caller_accept(worker, handle);
    }
}

/* Listens for poolers that forward statements, if an address is set for that. */
static bool
listen_for_callers(struct worker *worker, GError **error)
{
    worker->forward_listener = -1;
    if (worker->shared->forward_listen.sin_port == 0) {
        return true;
    }
    worker->forward_listener =
        socket_listen(&worker->shared->forward_listen, LISTEN_BACKLOG, true, error);
    if (worker->forward_listener < 0) {
        return false;
    }
    worker->forward_acceptable = event_new(worker->base, worker->forward_listener,
                                           EV_READ | EV_PERSIST, on_caller_acceptable, worker);
    event_add(worker->forward_acceptable, NULL);
    return true;
}

static void *
run(void *user)
{
    struct worker *worker = user;
    event_base_dispatch(worker->base);
    return NULL;
}

static void
free_group(gpointer data)
{
    struct group *group = data;
    for (guint i = 0; i < group->databases->len; i++) {
        database_free(g_ptr_array_index(group->databases, i));
    }
    g_ptr_array_unref(group->databases);
    g_ptr_array_unref(group->links);
    g_free(group);
}

struct worker *
worker_start(struct worker_shared *shared, unsigned index, GError **error)
{
    int listener = socket_listen(&shared->listen, LISTEN_BACKLOG, true, error);
    if (listener < 0) {
        return NULL;
    }
    struct worker *worker = g_new0(struct worker, 1);
    worker->shared = shared;
    worker->index = index;
    worker->listener = listener;
    worker->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    worker->base = event_base_new();
    worker->acceptable =
        event_new(worker->base, listener, EV_READ | EV_PERSIST, on_acceptable, worker);
    worker->woken = event_new(worker->base, worker->wake, EV_READ | EV_PERSIST, on_wake, worker);
    worker->tick = evtimer_new(worker->base, on_tick, worker);
    worker->deferral_timer = evtimer_new(worker->base, on_deferral_timer, worker);
    worker->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_group);
    worker->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)link_free);
    worker->homes = admission_homes_new();
    worker->callers = g_ptr_array_new();
    worker->ended = g_ptr_array_new();
    worker->closed = g_ptr_array_new();
    worker->groups_to_run = g_ptr_array_new();
    g_queue_init(&worker->sessions);
    event_add(worker->acceptable, NULL);
    event_add(worker->woken, NULL);
    if (!listen_for_callers(worker, error)) {
        return NULL; /* the process exits: nothing is freed */
    }
    pthread_create(&worker->thread, NULL, run, worker);
    return worker;
}

/* Closes the sessions and connections that the planned stop left open. After the thread has ended.
 */
static void
close_remaining(struct worker *worker)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    while (worker->callers->len > 0) {
        caller_free(g_ptr_array_remove_index(worker->callers, 0));
    }
    while (worker->sessions.head != NULL) {
        session_end(worker->sessions.head->data);
    }
    g_hash_table_iter_init(&iterator, worker->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct group *group = value;
        for (guint i = 0; i < group->databases->len; i++) {
            struct database *database = g_ptr_array_index(group->databases, i);
            while (database->servers->len > 0) {
                server_close(g_ptr_array_index(database->servers, 0), ANSWER_NONE);
            }
        }
    }
    g_ptr_array_set_size(worker->groups_to_run, 0);
    worker_run_deferred(worker);
}

void
worker_join(struct worker *worker)
{
    pthread_join(worker->thread, NULL);
    close_remaining(worker);
    event_free(worker->acceptable);
    event_free(worker->woken);
    event_free(worker->tick);
    event_free(worker->deferral_timer);
    g_clear_pointer(&worker->forward_acceptable, event_free);
    g_hash_table_unref(worker->homes);
    g_hash_table_unref(worker->links);
    g_ptr_array_unref(worker->callers);
    event_base_free(worker->base);
    close(worker->listener);
    if (worker->forward_listener >= 0) {
        close(worker->forward_listener);
    }
    close(worker->wake);
    g_hash_table_unref(worker->groups);
    g_ptr_array_unref(worker->ended);
    g_ptr_array_unref(worker->closed);
    g_ptr_array_unref(worker->groups_to_run);
    g_free(worker);
}
