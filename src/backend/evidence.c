#include "backend/evidence.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "backend/channel.h"
#include "backend/clock.h"

/* Maximum of outstanding requests to one member. A write with a newer position adds a request, so
 * that its answer needn't wait for the earlier ones. Above this maximum the writes share the next
 * request. */
#define REQUESTS_MAX 8

/* Delay before the next request to a member that answered early without holding the position: it
 * has promised a newer term and does not follow it yet. */
#define RETRY_MS 5

/* One evidence_gather call that waits, on the stack of its thread. */
struct pending_write {
    pthread_cond_t decided;
    struct acknowledge_evidence *evidence;
    enum acknowledge_verdict verdict;
    bool ended; /* decided, or the group was removed */
};

/* One database of a group. */
struct evidence_member {
    struct evidence_service *service;
    struct evidence_group *group;
    uint32_t database;
    struct channel *channel;
    time_ns next_open_at;
    time_ns next_request_at;
    struct log_position requested; /* the highest position requested so far */
    bool known;
    struct database_status status; /* the last one read, if known */
};

struct evidence_group {
    uint32_t group;
    uint32_t count;
    struct evidence_member members[GROUP_DATABASES_MAX];
    GQueue pending_writes; /* of struct pending_write */
};

/* All fields that change are under `lock`, which no thread holds while it waits. Threads of writes
 * send requests themselves; the service's thread reads the answers. */
struct evidence_service {
    struct evidence_options options;
    pthread_t thread;
    int wake_fd;
    pthread_mutex_t lock;
    bool stopping;
    time_ns sleeping_until; /* wake-up time of the sleeping service thread; 0 while it runs */
    GHashTable *groups;     /* number to struct evidence_group */
};

/* The static functions below are called with the lock held, except run and init_member. */

static void wake(struct evidence_service *service)
{
    eventfd_write(service->wake_fd, 1);
}

/* Re-evaluates a write, and wakes its thread if it is decided. Returns true if so. */
static bool evaluate(struct pending_write *pending)
{
    pending->verdict = acknowledge_judge(pending->evidence);
    pending->ended = pending->verdict != ACKNOWLEDGE_PENDING;
    if (pending->ended) {
        pthread_cond_signal(&pending->decided);
    }
    return pending->ended;
}

/* Adds a member's status to the evidence of all pending writes. */
static void add_status(struct evidence_member *member, const struct database_status *status)
{
    GQueue *pending_writes = &member->group->pending_writes;
    GList *link = pending_writes->head;
    member->status = *status;
    member->known = true;
    while (link != NULL) {
        GList *next = link->next;
        struct pending_write *pending = link->data;
        acknowledge_add(pending->evidence, member->database, status);
        if (evaluate(pending)) {
            g_queue_delete_link(pending_writes, link);
        }
        link = next;
    }
}

/* The highest position for which a pending write still needs this member; false if there is none.
 */
static bool needed_position(const struct evidence_member *member, struct log_position *needed)
{
    uint32_t bit = UINT32_C(1) << member->database;
    bool found = false;
    for (const GList *link = member->group->pending_writes.head; link != NULL; link = link->next) {
        const struct pending_write *pending = link->data;
        const struct acknowledge_evidence *evidence = pending->evidence;
        if (((evidence->held_mask | evidence->fenced_mask) & bit) != 0) {
            continue;
        }
        if (!found || log_position_compare(evidence->position, *needed) > 0) {
            *needed = evidence->position;
            found = true;
        }
    }
    return found;
}

static void on_reply(void *user, const struct channel_reply *reply);

static void send_request(struct evidence_member *member, struct log_position position, time_ns now)
{
    const struct evidence_options *options = &member->service->options;
    struct adapter_call call = {
        .command = ADAPTER_COMMAND_WAIT_HELD,
        .position = position,
        .wait_ms = options->wait_ms,
    };
    time_ns timeout =
        (time_ns)(options->wait_ms + options->timeout_ms) * NANOSECONDS_PER_MILLISECOND;
    /* Each earlier outstanding request may use its full wait. */
    timeout +=
        channel_outstanding(member->channel) * options->wait_ms * NANOSECONDS_PER_MILLISECOND;
    member->requested = position;
    channel_send(member->channel, &call, now + timeout, on_reply, member, now);
}

/* Sends a request for the needed position unless one for it is outstanding. */
static void send_request_if_needed(struct evidence_member *member, time_ns now)
{
    struct log_position needed = {0};
    if (channel_state(member->channel) != CHANNEL_STATE_OPEN || now < member->next_request_at ||
        !needed_position(member, &needed)) {
        return;
    }
    uint32_t outstanding = channel_outstanding(member->channel);
    bool newer = log_position_compare(needed, member->requested) > 0;
    if (outstanding == 0 || (newer && outstanding < REQUESTS_MAX)) {
        send_request(member, needed, now);
    }
}

static void on_reply(void *user, const struct channel_reply *reply)
{
    struct evidence_member *member = user;
    if (reply->result != EXECUTE_DONE) {
        return;
    }
    add_status(member, &reply->status);
    /* With no other request outstanding, this answers the last one. */
    bool not_held = !log_position_covers(reply->status.held, member->requested);
    if (not_held && channel_outstanding(member->channel) == 0) {
        member->next_request_at = reply->received_at + RETRY_MS * NANOSECONDS_PER_MILLISECOND;
    }
}

/* Drives a member's connection, reopens it when due, and sends the next request. */
static void advance_member(struct evidence_member *member, short ready, time_ns now)
{
    channel_advance(member->channel, ready, now);
    if (channel_state(member->channel) == CHANNEL_STATE_CLOSED && now >= member->next_open_at) {
        uint32_t pause = member->service->options.reopen_ms;
        channel_open(member->channel, now);
        member->next_open_at = now + pause * NANOSECONDS_PER_MILLISECOND;
    }
    send_request_if_needed(member, now);
}

/* Time at which advance_member must run even without input. */
static time_ns member_wake_at(const struct evidence_member *member, time_ns now)
{
    struct log_position needed = {0};
    time_ns at = channel_wake_at(member->channel);
    if (channel_state(member->channel) == CHANNEL_STATE_CLOSED) {
        at = MIN(at, member->next_open_at);
    }
    if (member->next_request_at > now && needed_position(member, &needed)) {
        at = MIN(at, member->next_request_at);
    }
    return at;
}

static void free_group(void *data)
{
    struct evidence_group *group = data;
    struct pending_write *pending;
    while ((pending = g_queue_pop_head(&group->pending_writes)) != NULL) {
        pending->ended = true;
        pthread_cond_signal(&pending->decided);
    }
    for (uint32_t i = 0; i < group->count; i++) {
        channel_free(group->members[i].channel);
    }
    g_free(group);
}

static struct evidence_group *find_group(struct evidence_service *service, uint32_t group)
{
    return g_hash_table_lookup(service->groups, GUINT_TO_POINTER(group));
}

/* What the service's thread polls while it does not hold the lock. A member's entry is found by its
 * descriptor, since groups may be added and removed in the meantime. */
struct poll_set {
    GArray *poll_fds; /* of struct pollfd; the first is the wake descriptor */
    time_ns wake_at;
};

/* The poll events for a member's connection. */
static short ready_events(const struct poll_set *set, const struct evidence_member *member)
{
    int socket_fd = channel_pollfd(member->channel).fd;
    for (guint i = 1; socket_fd >= 0 && i < set->poll_fds->len; i++) {
        const struct pollfd *poll_fd = &g_array_index(set->poll_fds, struct pollfd, i);
        if (poll_fd->fd == socket_fd) {
            return poll_fd->revents;
        }
    }
    return 0;
}

/* Drives all connections, then builds the next poll set. */
static void advance_all(struct evidence_service *service, struct poll_set *set)
{
    GHashTableIter iterator;
    gpointer value;
    time_ns now = backend_now();
    struct poll_set next = {
        .poll_fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd)),
        .wake_at = UINT64_MAX,
    };
    struct pollfd wake_poll = {.fd = service->wake_fd, .events = POLLIN};
    g_array_append_val(next.poll_fds, wake_poll);
    g_hash_table_iter_init(&iterator, service->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct evidence_group *group = value;
        for (uint32_t i = 0; i < group->count; i++) {
            struct evidence_member *member = &group->members[i];
            advance_member(member, ready_events(set, member), now);
            struct pollfd poll_fd = channel_pollfd(member->channel);
            g_array_append_val(next.poll_fds, poll_fd);
            next.wake_at = MIN(next.wake_at, member_wake_at(member, now));
        }
    }
    g_array_unref(set->poll_fds);
    *set = next;
}

static void *run(void *data)
{
    struct evidence_service *service = data;
    struct poll_set set = {.poll_fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd))};
    eventfd_t ignored;
    pthread_setname_np(pthread_self(), "evidence");
    pthread_mutex_lock(&service->lock);
    while (!service->stopping) {
        advance_all(service, &set);
        service->sleeping_until = set.wake_at;
        pthread_mutex_unlock(&service->lock);
        poll((struct pollfd *)set.poll_fds->data, set.poll_fds->len,
             backend_poll_ms(set.wake_at, backend_now()));
        eventfd_read(service->wake_fd, &ignored);
        pthread_mutex_lock(&service->lock);
        service->sleeping_until = 0;
    }
    g_hash_table_remove_all(service->groups);
    pthread_mutex_unlock(&service->lock);
    g_array_unref(set.poll_fds);
    return NULL;
}

struct evidence_service *evidence_new(const struct evidence_options *options)
{
    struct evidence_service *service = g_new0(struct evidence_service, 1);
    service->options = *options;
    service->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    service->groups = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_group);
    pthread_mutex_init(&service->lock, NULL);
    pthread_create(&service->thread, NULL, run, service);
    return service;
}

void evidence_free(struct evidence_service *service)
{
    pthread_mutex_lock(&service->lock);
    service->stopping = true;
    wake(service);
    pthread_mutex_unlock(&service->lock);
    pthread_join(service->thread, NULL);
    g_hash_table_unref(service->groups);
    close(service->wake_fd);
    pthread_mutex_destroy(&service->lock);
    g_free(service);
}

static void init_member(struct evidence_service *service, struct evidence_group *group,
                        uint32_t database, const struct connection_settings *settings)
{
    struct evidence_member *member = &group->members[database];
    struct channel_options options = {
        .connection = *settings,
        .open_timeout_ms = service->options.open_timeout_ms,
        .closing_max = 0,
    };
    member->service = service;
    member->group = group;
    member->database = database;
    member->channel = channel_new(&options);
}

void evidence_add_group(struct evidence_service *service, uint32_t group,
                        const struct connection_settings *members, uint32_t count)
{
    struct evidence_group *added = g_new0(struct evidence_group, 1);
    added->group = group;
    added->count = count;
    g_queue_init(&added->pending_writes);
    for (uint32_t i = 0; i < count; i++) {
        init_member(service, added, i, &members[i]);
    }
    pthread_mutex_lock(&service->lock);
    g_hash_table_replace(service->groups, GUINT_TO_POINTER(group), added);
    wake(service);
    pthread_mutex_unlock(&service->lock);
}

void evidence_remove_group(struct evidence_service *service, uint32_t group)
{
    pthread_mutex_lock(&service->lock);
    g_hash_table_remove(service->groups, GUINT_TO_POINTER(group));
    wake(service);
    pthread_mutex_unlock(&service->lock);
}

/* Sends requests to all members of a group; wakes the service's thread if a time-out is due before
 * its wake-up time. */
static void send_requests(struct evidence_service *service, struct evidence_group *group)
{
    time_ns now = backend_now();
    time_ns wake_at = UINT64_MAX;
    for (uint32_t i = 0; i < group->count; i++) {
        send_request_if_needed(&group->members[i], now);
        wake_at = MIN(wake_at, member_wake_at(&group->members[i], now));
    }
    if (service->sleeping_until > wake_at) {
        wake(service);
    }
}

/* Adds the statuses known already to the evidence of a new write; true if that decides it. */
static bool add_known(struct evidence_group *group, struct pending_write *pending,
                      uint32_t known_database, const struct database_status *known)
{
    if (known != NULL) {
        acknowledge_add(pending->evidence, known_database, known);
    }
    for (uint32_t i = 0; i < group->count; i++) {
        if (group->members[i].known) {
            acknowledge_add(pending->evidence, i, &group->members[i].status);
        }
    }
    return evaluate(pending);
}

/* Waits until the write is decided, the group is removed, or `deadline` passes. */
static void wait_for_decision(struct evidence_service *service, uint32_t group,
                              struct pending_write *pending, time_ns deadline)
{
    struct timespec until = backend_timespec(deadline);
    int waited = 0;
    while (!pending->ended && waited == 0) {
        waited = pthread_cond_timedwait(&pending->decided, &service->lock, &until);
    }
    if (!pending->ended) {
        g_queue_remove(&find_group(service, group)->pending_writes, pending);
    }
}

static void gather_locked(struct evidence_service *service, uint32_t group,
                          struct pending_write *pending, uint32_t known_database,
                          const struct database_status *known, struct log_position position,
                          time_ns deadline)
{
    struct evidence_group *found = find_group(service, group);
    if (found == NULL) {
        return;
    }
    acknowledge_start(pending->evidence, position, found->count);
    if (add_known(found, pending, known_database, known)) {
        return;
    }
    g_queue_push_tail(&found->pending_writes, pending);
    send_requests(service, found);
    wait_for_decision(service, group, pending, deadline);
}

enum acknowledge_verdict evidence_gather(struct evidence_service *service, uint32_t group,
                                         struct log_position position, uint32_t known_database,
                                         const struct database_status *known, time_ns deadline,
                                         struct acknowledge_evidence *evidence)
{
    struct pending_write pending = {.evidence = evidence, .verdict = ACKNOWLEDGE_PENDING};
    pthread_condattr_t attributes;
    acknowledge_start(evidence, position, 0);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&pending.decided, &attributes);
    pthread_condattr_destroy(&attributes);
    pthread_mutex_lock(&service->lock);
    gather_locked(service, group, &pending, known_database, known, position, deadline);
    pthread_mutex_unlock(&service->lock);
    pthread_cond_destroy(&pending.decided);
    return pending.verdict;
}

void evidence_offer(struct evidence_service *service, uint32_t group, uint32_t database,
                    const struct database_status *status)
{
    pthread_mutex_lock(&service->lock);
    struct evidence_group *found = find_group(service, group);
    if (found != NULL && database < found->count) {
        add_status(&found->members[database], status);
    }
    pthread_mutex_unlock(&service->lock);
}
