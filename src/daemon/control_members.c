/* The control thread's membership: drives it over the datagram socket, and publishes the member
 * table from which owners are derived. */
#define G_LOG_DOMAIN "members"
#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>
#include <urcu-bp.h>
#include <xxhash.h>

#include "backend/clock.h"
#include "core/deployment.h"
#include "core/error.h"
#include "core/group_opinion_message.h"
#include "daemon/control_budget.h"
#include "daemon/control_slots.h"
#include "daemon/control_configuration.h"
#include "daemon/daemon.h"
#include "daemon/daemon_metrics.h"
#include "daemon/foreign_traffic.h"
#include "generated/errors.h"
#include "wire/address.h"
#include "wire/datagram.h"

/* Datagrams received in one pass, so that other work is not delayed. */
#define DATAGRAMS_PER_PASS 64

/* Watcher id of an incarnation of a daemon. */
static uint64_t watcher_id(uint64_t member, uint64_t start)
{
    return XXH3_64bits_withSeed(&member, sizeof(member), start);
}

static struct sockaddr_in to_socket_address(struct member_address address)
{
    struct sockaddr_in result = {
        .sin_family = AF_INET,
        .sin_port = htons(address.port),
        .sin_addr = {.s_addr = htonl(address.address)},
    };
    return result;
}

static struct member_address to_member_address(const struct sockaddr_in *address)
{
    struct member_address result = {
        .address = ntohl(address->sin_addr.s_addr),
        .port = ntohs(address->sin_port),
    };
    return result;
}

void control_members_format(const struct member *member, char *text)
{
    struct sockaddr_in address = to_socket_address(member->address);
    g_autofree char *formatted = format_address(&address);
    g_strlcpy(text, formatted, ADDRESS_TEXT_SIZE);
}

static void fill_entry(struct member_entry *entry, const struct member *member, uint64_t self)
{
    entry->id = member->id;
    entry->watcher = watcher_id(member->id, member->start);
    entry->zone = member->zone;
    entry->address = to_socket_address(member->address);
    control_members_format(member, entry->address_text);
    entry->present = member->state == MEMBER_STATE_ALIVE || member->state == MEMBER_STATE_SUSPECT;
    entry->usable = entry->present && !member->leaving && !member->absent;
    entry->self = member->id == self;
}

static int compare_id(const void *key, const void *element)
{
    uint64_t id = *(const uint64_t *)key;
    const struct member_entry *entry = element;
    if (id == entry->id) {
        return 0;
    }
    return id < entry->id ? -1 : 1;
}

const struct member_entry *control_find_member(const struct member_table *table, uint64_t id)
{
    return bsearch(&id, table->entries, table->count, sizeof(struct member_entry), compare_id);
}

/* Replaces the member table that request threads read. */
static void publish_members(struct control *control)
{
    size_t count = membership_count(control->membership);
    uint64_t self = membership_self(control->membership).id;
    struct member_table *next =
        g_malloc0(sizeof(struct member_table) + count * sizeof(struct member_entry));
    for (size_t i = 0; i < count; i++) {
        struct member member = membership_get(control->membership, i);
        fill_entry(&next->entries[next->count++], &member, self);
    }
    struct member_table *previous = control->members;
    rcu_assign_pointer(control->members, next);
    synchronize_rcu();
    g_free(previous);
}

static void record_change(struct control *control, const struct member *member, const char *what)
{
    struct journal_entry entry = {.database = -1};
    struct sockaddr_in address = to_socket_address(member->address);
    g_autofree char *text = format_address(&address);
    g_strlcpy(entry.kind, what, sizeof(entry.kind));
    g_snprintf(entry.text, sizeof(entry.text), "member=%" G_GINT64_MODIFIER "x at %s%s", member->id,
               text,
               member->leaving  ? " leaving"
               : member->absent ? " absent"
                                : "");
    journal_add(control->journal, &entry);
    control->members_changed = true;
}

void control_send(struct control *control, const struct sockaddr_in *to,
                  const struct message *message)
{
    size_t bytes = 0;
    if (wire_datagram_send(control->socket, to, message, &bytes, NULL)) {
        daemon_metrics_datagram(control->daemon->metrics, DATAGRAM_SENT, bytes);
    }
}

static void send_gossip(struct control *control, const struct membership_action *action)
{
    struct sockaddr_in to = to_socket_address(action->to);
    /* The encoder only reads, so that the message may borrow from the list. */
    struct message message = {.kind = MESSAGE_KIND_GOSSIP, .gossip = action->message};
    control_send(control, &to, &message);
}

static void perform(struct control *control, const struct membership_action *action)
{
    switch (action->kind) {
    case MEMBERSHIP_ACTION_SEND:
        send_gossip(control, action);
        break;
    case MEMBERSHIP_ACTION_MEMBER_JOINED:
        record_change(control, &action->member, "member_joined");
        break;
    case MEMBERSHIP_ACTION_MEMBER_RESTARTED:
        record_change(control, &action->member, "member_restarted");
        break;
    case MEMBERSHIP_ACTION_MEMBER_CHANGED:
        record_change(control, &action->member, "member_changed");
        break;
    case MEMBERSHIP_ACTION_MEMBER_REMOVED:
        record_change(control, &action->member, "member_gone");
        control_ownership_forget(control, action->member.id);
        break;
    case MEMBERSHIP_ACTION_SUPERSEDED:
        g_critical("Another daemon runs under this name: this one has stopped sending gossip.");
        break;
    case MEMBERSHIP_ACTION_CONFIGURATION_ANNOUNCED:
        control_configuration_receive_mark(control, action->configuration,
                                           action->holder ? action->member.id : 0);
        break;
    case MEMBERSHIP_ACTION_ZONE_CHANGED:
        break;
    }
}

void control_members_perform(struct control *control)
{
    for (size_t i = 0; i < membership_actions_count(control->actions); i++) {
        perform(control, membership_actions_get(control->actions, i));
    }
    membership_actions_clear(control->actions);
    if (control->members_changed) {
        control->members_changed = false;
        publish_members(control);
        control_ownership_members_changed(control);
    }
}

static void receive_opinion(struct control *control, const struct watcher_opinion *opinion)
{
    struct group_event event = group_opinion_event(opinion);
    control_groups_feed(control, opinion->group, &event);
    if (opinion->has_uses) {
        control_groups_record_uses(control, opinion->group, opinion->watcher, opinion->uses);
    }
}

/* Deployment that a datagram claims to belong to. */
static uint32_t deployment_of(const struct message *message)
{
    switch (message->kind) {
    case MESSAGE_KIND_GOSSIP:
        return message->gossip.deployment_hash;
    case MESSAGE_KIND_OPINION:
        return message->opinion.deployment_hash;
    case MESSAGE_KIND_BUDGET_NOTICE:
        return message->budget_notice.deployment_hash;
    case MESSAGE_KIND_SLOT_NOTICE:
        return message->slot_notice.deployment_hash;
    default:
        return DEPLOYMENT_UNNAMED;
    }
}

static void take_datagram(struct control *control, const struct message *message,
                          const struct sockaddr_in *from, time_ns now)
{
    if (deployment_differs(control->daemon->deployment, deployment_of(message))) {
        foreign_traffic_record(control->daemon, FOREIGN_TRAFFIC_DATAGRAM, from);
    } else if (message->kind == MESSAGE_KIND_GOSSIP && control->membership != NULL) {
        membership_receive(control->membership, &message->gossip, to_member_address(from), now,
                           control->actions);
    } else if (message->kind == MESSAGE_KIND_OPINION) {
        receive_opinion(control, &message->opinion);
    } else if (message->kind == MESSAGE_KIND_BUDGET_NOTICE) {
        control_budget_receive(control->budget, &message->budget_notice, from);
    } else if (message->kind == MESSAGE_KIND_SLOT_NOTICE) {
        control_slots_receive(control, &message->slot_notice);
    }
}

void control_members_receive(struct control *control, time_ns now)
{
    for (int i = 0; i < DATAGRAMS_PER_PASS; i++) {
        struct message message;
        struct sockaddr_in from;
        size_t bytes;
        g_autoptr(GError) error = NULL;
        bool decoded = wire_datagram_receive(control->socket, &message, &from, &bytes, now, &error);
        if (decoded || g_error_matches(error, SW_ERROR, ERROR_KIND_BAD_REQUEST)) {
            daemon_metrics_datagram(control->daemon->metrics, DATAGRAM_RECEIVED, bytes);
        }
        if (!decoded) {
            if (g_error_matches(error, SW_ERROR, ERROR_KIND_BAD_REQUEST)) {
                continue;
            }
            break;
        }
        take_datagram(control, &message, &from, now);
        message_clear(&message);
        control_members_perform(control);
    }
}

void control_members_tick(struct control *control, time_ns now)
{
    if (now >= control_members_next_wakeup(control)) {
        membership_tick(control->membership, now, control->actions);
        control_members_perform(control);
    }
}

time_ns control_members_next_wakeup(struct control *control)
{
    return control->membership != NULL ? membership_next_wakeup(control->membership) : UINT64_MAX;
}

void control_members_set_leaving(struct control *control, bool leaving, time_ns now)
{
    control->leaving = leaving;
    if (control->membership == NULL) {
        return;
    }
    membership_set_leaving(control->membership, leaving, now, control->actions);
    control->members_changed = true;
    control_members_perform(control);
}

static void set_seeds(struct control *control)
{
    const struct address_list *peers = &control->daemon->settings.daemon.peers;
    struct member_address *seeds = g_new0(struct member_address, peers->count + 1);
    size_t count = 0;
    for (size_t i = 0; i < peers->count; i++) {
        struct sockaddr_in address;
        if (parse_address(peers->items[i], &address)) {
            seeds[count++] = to_member_address(&address);
        }
    }
    membership_set_seeds(control->membership, seeds, count);
    g_free(seeds);
}

bool control_members_start(struct control *control, GError **error)
{
    const char *listen = peer_server_address(control->daemon->peer_server);
    control->self_id = membership_id_of_name(control->daemon->settings.daemon.name);
    control->socket = wire_datagram_open(listen, NULL, error);
    control->actions = membership_actions_new();
    control->members = g_malloc0(sizeof(struct member_table));
    control->watcher_self = watcher_id(control->self_id, control->daemon->incarnation);
    control_ownership_start(control, control->self_id);
    return control->socket >= 0;
}

void control_members_join(struct control *control)
{
    struct daemon *daemon = control->daemon;
    struct sockaddr_in own_address;
    struct membership_options options;
    parse_address(peer_server_address(daemon->peer_server), &own_address);
    membership_options_default(&options);
    options.deployment = daemon->deployment;
    options.random_seed = daemon->incarnation;
    struct membership_self self = {
        .id = control->self_id,
        .start = daemon->incarnation,
        .address = to_member_address(&own_address),
        .zone = (uint16_t)daemon->zone,
    };
    control->membership = membership_new(&options, &self, backend_now());
    set_seeds(control);
    publish_members(control);
    if (control->leaving) {
        control_members_set_leaving(control, true, backend_now());
    }
}

void control_members_stop(struct control *control)
{
    if (control->membership != NULL) {
        membership_leave(control->membership, backend_now(), control->actions);
        control_members_perform(control);
        membership_free(control->membership);
    }
    control_ownership_stop(control);
    membership_actions_free(control->actions);
    if (control->socket >= 0) {
        close(control->socket);
    }
    synchronize_rcu();
    g_free(control->members);
}
