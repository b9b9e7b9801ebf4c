/* Sharing of slots with the other owners; see the header. */
#include "daemon/control_slots.h"

#include <urcu-bp.h>

#include "backend/clock.h"

#include "daemon/daemon.h"
#include "daemon/task.h"

/* An owner of a group and its peer address. */
struct owner_address {
    bool found;
    struct sockaddr_in address;
};

static struct owner_address address_of(struct control *control, uint64_t id)
{
    struct owner_address owner = {0};
    rcu_read_lock();
    const struct member_entry *entry = control_find_member(rcu_dereference(control->members), id);
    if (entry != NULL) {
        owner.found = true;
        owner.address = entry->address;
    }
    rcu_read_unlock();
    return owner;
}

static void send_action(struct controlled_group *group, uint32_t database,
                        const struct slot_share_action *action)
{
    struct control *control = group->control;
    struct owner_address to = address_of(control, action->to);
    if (!to.found) {
        return;
    }
    struct message message;
    message_init(&message, MESSAGE_KIND_SLOT_NOTICE);
    struct slot_notice *notice = &message.slot_notice;
    notice->group = group->id;
    notice->database = database;
    notice->sender = control->self_id;
    notice->asks = action->message.asks;
    notice->incarnation = action->message.incarnation;
    notice->to_incarnation = action->message.to_incarnation;
    notice->number = action->message.number;
    notice->answers = action->message.answers;
    notice->slots = action->message.slots;
    notice->in_use = action->message.in_use;
    notice->deployment_hash = control->daemon->deployment;
    control_send(control, &to.address, &message);
    message_clear(&message);
}

static void send_actions(struct controlled_group *group, uint32_t database, const GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        send_action(group, database, &g_array_index(actions, struct slot_share_action, i));
    }
}

static struct slot_share_load take_load(struct database_runtime *database)
{
    struct slot_share_load load = {
        .in_flight = database->admission.in_flight,
        .demand = admission_take_demand(&database->admission),
    };
    return load;
}

/* Sets the number of slots and starts the queued requests that fit. Called with the admission_lock
 * held. */
static void apply_limit(struct controlled_group *group, uint32_t index, time_ns now)
{
    struct database_runtime *database = &group->runtime->databases[index];
    uint32_t limit = slot_share_limit(&database->share, now);
    if (limit != database->admission.slots) {
        admission_set_slots(&database->admission, limit);
        atomic_store(&database->slot_limit, limit);
        task_start_queued(group->control->daemon, group->runtime, index, now);
    }
}

void control_slots_tick(struct controlled_group *group, time_ns now)
{
    for (uint32_t i = 0; i < group->runtime->database_count; i++) {
        struct database_runtime *database = &group->runtime->databases[i];
        g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct slot_share_action));
        pthread_mutex_lock(&database->admission_lock);
        struct slot_share_load load = take_load(database);
        slot_share_tick(&database->share, &load, now, actions);
        apply_limit(group, i, now);
        pthread_mutex_unlock(&database->admission_lock);
        send_actions(group, i, actions);
    }
}

time_ns control_slots_next_wakeup(const struct controlled_group *group)
{
    time_ns now = backend_now();
    bool active = false;
    for (uint32_t i = 0; i < group->runtime->database_count; i++) {
        struct database_runtime *database = &group->runtime->databases[i];
        pthread_mutex_lock(&database->admission_lock);
        active = active || slot_share_is_active(&database->share, now);
        pthread_mutex_unlock(&database->admission_lock);
    }
    return active ? now + SLOT_SHARE_TICK : UINT64_MAX;
}

static void set_group_owners(struct controlled_group *group, uint32_t databases, time_ns now)
{
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    struct control *control = group->control;
    uint32_t count = (uint32_t)ownership_owners(control->ownership, group->id, owners);
    int32_t place = -1;
    for (uint32_t i = 0; i < count; i++) {
        if (owners[i] == control->self_id) {
            place = (int32_t)i;
        }
    }
    for (uint32_t i = 0; i < group->runtime->database_count; i++) {
        struct database_runtime *database = &group->runtime->databases[i];
        pthread_mutex_lock(&database->admission_lock);
        slot_share_set_database_count(&database->share, databases);
        slot_share_set_position(&database->share, owners, count, place, i, now);
        apply_limit(group, i, now);
        pthread_mutex_unlock(&database->admission_lock);
    }
}

void control_slots_set_owners(struct control *control)
{
    GHashTableIter iterator;
    gpointer value;
    uint32_t databases = control_groups_count_databases(control);
    time_ns now = backend_now();
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        set_group_owners(value, databases, now);
    }
}

void control_slots_receive(struct control *control, const struct slot_notice *notice)
{
    struct controlled_group *group =
        g_hash_table_lookup(control->groups, GUINT_TO_POINTER(notice->group));
    if (group == NULL || notice->database >= group->runtime->database_count) {
        return;
    }
    struct slot_share_message message = {
        .asks = notice->asks,
        .incarnation = notice->incarnation,
        .to_incarnation = notice->to_incarnation,
        .number = notice->number,
        .answers = notice->answers,
        .slots = notice->slots,
        .in_use = notice->in_use,
    };
    struct database_runtime *database = &group->runtime->databases[notice->database];
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct slot_share_action));
    time_ns now = backend_now();
    pthread_mutex_lock(&database->admission_lock);
    struct slot_share_load load = take_load(database);
    slot_share_receive(&database->share, notice->sender, &message, &load, now, actions);
    apply_limit(group, notice->database, now);
    pthread_mutex_unlock(&database->admission_lock);
    send_actions(group, notice->database, actions);
}
