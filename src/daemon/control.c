/* The control thread's loop and inbox; see the header. */
#define G_LOG_DOMAIN "control"
#include "daemon/control.h"

#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "backend/clock.h"
#include "core/error.h"
#include "daemon/control_budget.h"
#include "daemon/control_configuration.h"
#include "daemon/daemon.h"
#include "daemon/transaction.h"
#include "generated/errors.h"

/* Longest time between two passes of the loop. */
#define CONTROL_PERIOD_MS 100

/* Interval at which idle connections to other daemons are closed. */
#define PEERS_SWEEP_MS 2000

void control_post(struct control *control, const struct control_event *event)
{
    struct control_event *copy = g_new(struct control_event, 1);
    *copy = *event;
    pthread_mutex_lock(&control->inbox_lock);
    g_queue_push_tail(&control->inbox, copy);
    pthread_mutex_unlock(&control->inbox_lock);
    eventfd_write(control->wake_fd, 1);
}

/* Takes the oldest event, or NULL. */
static struct control_event *take_event(struct control *control)
{
    pthread_mutex_lock(&control->inbox_lock);
    struct control_event *event = g_queue_pop_head(&control->inbox);
    pthread_mutex_unlock(&control->inbox_lock);
    return event;
}

static bool is_stopping(struct control *control)
{
    pthread_mutex_lock(&control->inbox_lock);
    bool stopping = control->stopping;
    pthread_mutex_unlock(&control->inbox_lock);
    return stopping;
}

static void handle_event(struct control *control, struct control_event *event)
{
    switch (event->kind) {
    case CONTROL_EVENT_GROUP:
        control_groups_feed(control, event->group, &event->event);
        break;
    case CONTROL_EVENT_RUNTIME:
        control_groups_feed_runtime(control, event->runtime, &event->event);
        break;
    case CONTROL_EVENT_LEAVING:
        control_members_set_leaving(control, event->leaving, backend_now());
        break;
    case CONTROL_EVENT_CONFIGURATION:
        control_configuration_process(control, event->fetched);
        break;
    }
}

static void handle_inbox(struct control *control)
{
    struct control_event *event = take_event(control);
    while (event != NULL) {
        handle_event(control, event);
        g_free(event);
        event = take_event(control);
    }
}

static void wait_for_input(struct control *control)
{
    struct pollfd waits[] = {
        {.fd = control->wake_fd, .events = POLLIN},
        {.fd = control->socket, .events = POLLIN},
    };
    time_ns now = backend_now();
    time_ns until = now + CONTROL_PERIOD_MS * NANOSECONDS_PER_MILLISECOND;
    until = MIN(until, control_groups_next_wakeup(control));
    until = MIN(until, control_members_next_wakeup(control));
    until = MIN(until, control_budget_next_wakeup(control->budget));
    until = MIN(until, control_configuration_next_wakeup(control));
    poll(waits, G_N_ELEMENTS(waits), backend_poll_ms(until, now));
    eventfd_t ignored;
    if (waits[0].revents != 0) {
        eventfd_read(control->wake_fd, &ignored);
    }
    if (waits[1].revents != 0) {
        control_members_receive(control, backend_now());
    }
}

/* Closes idle connections to other daemons. */
static void peers_tick(struct control *control, time_ns now)
{
    if (now < control->peers_sweep_at) {
        return;
    }
    control->peers_sweep_at = now + PEERS_SWEEP_MS * NANOSECONDS_PER_MILLISECOND;
    time_ns idle_since = now > PEER_POOL_IDLE_NS ? now - PEER_POOL_IDLE_NS : 0;
    peer_pool_close_idle(control->daemon->peers, idle_since);
}

/* Records the begin and the end of a refusal storm in the journal. */
static void refusals_tick(struct control *control, time_ns now)
{
    struct refusal_event event = refusal_watch_check(&control->daemon->refusals, now);
    if (event.change == REFUSAL_CHANGE_NONE) {
        return;
    }
    struct journal_entry entry = {.database = -1};
    bool began = event.change == REFUSAL_CHANGE_BEGAN;
    g_strlcpy(entry.kind, began ? "refusals_began" : "refusals_ended", sizeof(entry.kind));
    g_snprintf(entry.text, sizeof(entry.text), "%" G_GUINT64_FORMAT " in %u s, most %s",
               event.count, event.seconds, error_entry_of(event.most_frequent)->name);
    journal_add(control->journal, &entry);
}

static void *control_main(void *data)
{
    struct control *control = data;
    pthread_setname_np(pthread_self(), "control");
    control_groups_start(control);
    while (!is_stopping(control)) {
        wait_for_input(control);
        atomic_store(&control->slot_demand, false);
        handle_inbox(control);
        time_ns now = backend_now();
        control_members_tick(control, now);
        control_configuration_tick(control, now);
        control_ownership_tick(control, now);
        control_groups_tick(control, now);
        control_budget_tick(control->budget, now);
        peers_tick(control, now);
        refusals_tick(control, now);
        transaction_table_expire(control->daemon->transactions, now, false);
    }
    return NULL;
}

static void free_control(struct control *control)
{
    control_configuration_stop(control);
    struct control_event *event = take_event(control);
    while (event != NULL) {
        fetch_result_free(event->fetched);
        g_free(event);
        event = take_event(control);
    }
    control_members_stop(control);
    control_budget_free(control->budget);
    pthread_mutex_destroy(&control->inbox_lock);
    close(control->wake_fd);
    g_free(control);
}

struct control *control_start(struct daemon *daemon, GError **error)
{
    struct control *control = g_new0(struct control, 1);
    control->daemon = daemon;
    control->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    control->socket = -1;
    pthread_mutex_init(&control->inbox_lock, NULL);
    g_queue_init(&control->inbox);
    control->journal = daemon->journal;
    control->budget = control_budget_new(control);
    if (!control_members_start(control, error) || !control_configuration_start(control, error)) {
        free_control(control);
        return NULL;
    }
    if (control->configuration == NULL) {
        control_members_join(control);
    }
    if (pthread_create(&control->thread, NULL, control_main, control) != 0) {
        g_error("Can't start the control thread.");
    }
    return control;
}

void control_stop(struct control *control)
{
    pthread_mutex_lock(&control->inbox_lock);
    control->stopping = true;
    pthread_mutex_unlock(&control->inbox_lock);
    eventfd_write(control->wake_fd, 1);
    pthread_join(control->thread, NULL);
    control_groups_stop(control);
    free_control(control);
}

void control_set_leaving(struct control *control, bool leaving)
{
    struct control_event event = {.kind = CONTROL_EVENT_LEAVING, .leaving = leaving};
    control_post(control, &event);
}

void control_report_slot_demand(struct control *control)
{
    if (!atomic_exchange(&control->slot_demand, true)) {
        eventfd_write(control->wake_fd, 1);
    }
}

bool control_holds_groups(struct control *control)
{
    return atomic_load(&control->groups_held) > 0;
}

GArray *control_list_members(struct control *control)
{
    GArray *members = g_array_new(FALSE, TRUE, sizeof(struct control_member));
    rcu_read_lock();
    const struct member_table *table = rcu_dereference(control->members);
    for (uint32_t i = 0; i < table->count; i++) {
        const struct member_entry *entry = &table->entries[i];
        struct control_member member = {
            .id = entry->id,
            .zone = entry->zone,
            .usable = entry->usable,
            .self = entry->self,
        };
        g_strlcpy(member.address, entry->address_text, sizeof(member.address));
        g_array_append_val(members, member);
    }
    rcu_read_unlock();
    return members;
}

void control_drain_database(struct control *control, uint32_t group, uint32_t database,
                            bool leaving)
{
    struct control_event event = {
        .kind = CONTROL_EVENT_GROUP,
        .group = group,
        .event = {.kind = leaving ? GROUP_EVENT_DRAIN : GROUP_EVENT_UNDRAIN,
                  .now = backend_now(),
                  .database = database,
                  .order = (uint64_t)g_get_real_time()},
    };
    control_post(control, &event);
}

static gint compare_owners(gconstpointer left, gconstpointer right, gpointer user)
{
    const struct member_entry *a = left;
    const struct member_entry *b = right;
    struct ownership_member first = {.id = a->id, .zone = (uint16_t)a->zone};
    struct ownership_member second = {.id = b->id, .zone = (uint16_t)b->zone};
    return ownership_compare_for(user, &first, &second);
}

void control_owners_of(struct control *control, uint32_t group, struct owner_list *owners)
{
    struct member_entry entries[OWNERS_MAX];
    uint32_t count = 0;
    memset(owners, 0, sizeof(*owners));
    struct ownership_member self = {
        .id = control->self_id,
        .zone = (uint16_t)control->daemon->zone,
    };
    control_ownership_entries(control, group, entries, &count);
    g_qsort_with_data(entries, (gint)count, sizeof(entries[0]), compare_owners, &self);
    for (uint32_t i = 0; i < count; i++) {
        if (entries[i].self) {
            owners->self = true;
            owners->self_watcher = entries[i].watcher;
            continue;
        }
        owners->watchers[owners->count] = entries[i].watcher;
        memcpy(owners->addresses[owners->count++], entries[i].address_text, ADDRESS_TEXT_SIZE);
    }
}

char *control_address_of(struct control *control, const char *daemon_name)
{
    uint64_t id = membership_id_of_name(daemon_name);
    rcu_read_lock();
    const struct member_entry *entry = control_find_member(rcu_dereference(control->members), id);
    bool present = entry != NULL && entry->present;
    char *address = present ? g_strdup(entry->address_text) : NULL;
    rcu_read_unlock();
    return address;
}
