/* One simulated daemon: connects the core objects with each other and with the fleet's network, as
 * the control thread of a real daemon does. */
#include "sim/scale_fleet_internal.h"

/* The store's time to serve a request, in addition to the network. */
#define STORE_HEAD_TIME  (10 * NANOSECONDS_PER_MILLISECOND)
#define STORE_FETCH_TIME (40 * NANOSECONDS_PER_MILLISECOND)

/* The zone of the store. */
#define STORE_ZONE 0

/* The shortest and the longest time until the next wake-up; the longest is the interval at which
 * ownership is checked. */
#define WAKE_MIN      (1 * NANOSECONDS_PER_MILLISECOND)
#define WAKE_INTERVAL (500 * NANOSECONDS_PER_MILLISECOND)

/* Databases detect the end of a daemon's process after this time, when its connections are closed.
 */
#define PROCESS_END_DETECT_TIME (2 * NANOSECONDS_PER_MILLISECOND)

static time_ns fleet_now(const struct scale_fleet *fleet)
{
    return scale_network_now(fleet->network);
}

/* -- Currency -- */

/* Counts a read against the store's rate limit. True if it exceeds the limit of this second. */
static bool exceeds_store_rate(struct scale_fleet *fleet)
{
    time_ns second = fleet_now(fleet) / NANOSECONDS_PER_SECOND;
    if (second != fleet->store_second) {
        fleet->store_second = second;
        fleet->store_reads = 0;
    }
    fleet->store_reads++;
    return fleet->options.store_rate > 0 && fleet->store_reads > fleet->options.store_rate;
}

/* Sends a request to the store. The reply arrives as an event, with number 0 if there is none. */
static void send_store_request(struct scale_fleet *fleet, struct scale_daemon *daemon,
                               enum scale_event_kind kind, time_ns work)
{
    struct scale_event event = {
        .kind = kind,
        .daemon = daemon->index,
        .life = daemon->life,
        .number = fleet->publications->len - 1,
    };
    struct scale_place store = {STORE_ZONE, UINT32_MAX};
    bool apart = scale_places_partitioned(fleet, scale_place_of_daemon(fleet, daemon), store);
    bool refused = fleet->store_up && exceeds_store_rate(fleet);
    bool answered =
        fleet->store_up && !apart &&
        scale_network_arrival(fleet->network, daemon->zone, STORE_ZONE, true, &event.at);
    if (!answered) {
        event.number = 0;
        event.at = fleet_now(fleet) + NANOSECONDS_PER_SECOND;
    } else {
        event.at += work + (event.at - fleet_now(fleet));
    }
    if (refused) {
        event.number = 0;
        daemon->counters.store_refused++;
    }
    daemon->counters.store_reads++;
    scale_network_add(fleet->network, &event);
}

static struct configuration_mark mark_of_version(uint64_t version)
{
    return (struct configuration_mark){version, version * UINT64_C(0x9E3779B97F4A7C15)};
}

static void fetch_from_peer(struct scale_fleet *fleet, struct scale_daemon *daemon,
                            const struct currency_action *action)
{
    struct message message;
    message_init(&message, MESSAGE_KIND_CONFIGURATION_REQUEST);
    message.configuration_request.version = action->mark.version;
    struct configuration_mark applied = currency_applied(daemon->currency);
    message.configuration_request.have_version = applied.version;
    message.configuration_request.have_hash = applied.hash;
    struct scale_daemon *peer = scale_daemon_of_id(fleet, action->peer);
    scale_transport_send(fleet, daemon, peer, &message, SCALE_TRAFFIC_CONFIGURATION, true);
}

static void perform_membership(struct scale_fleet *fleet, struct scale_daemon *daemon);

static void apply_configuration(struct scale_fleet *fleet, struct scale_daemon *daemon,
                                struct configuration_mark mark)
{
    uint64_t before = membership_self(daemon->membership).configuration.version;
    scale_observe_applied(fleet, daemon, before, mark.version);
    membership_set_configuration(daemon->membership, mark, fleet_now(fleet), fleet->actions);
}

static void perform_currency(struct scale_fleet *fleet, struct scale_daemon *daemon,
                             const GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        const struct currency_action *action = &g_array_index(actions, struct currency_action, i);
        switch (action->kind) {
        case CURRENCY_ACTION_FETCH_PEER:
            fetch_from_peer(fleet, daemon, action);
            break;
        case CURRENCY_ACTION_FETCH_STORE:
            send_store_request(fleet, daemon, SCALE_EVENT_FETCHED, STORE_FETCH_TIME);
            break;
        case CURRENCY_ACTION_READ_HEAD:
            daemon->head_asked_at = fleet_now(fleet);
            send_store_request(fleet, daemon, SCALE_EVENT_HEAD, STORE_HEAD_TIME);
            break;
        case CURRENCY_ACTION_APPLY:
            apply_configuration(fleet, daemon, action->mark);
            break;
        case CURRENCY_ACTION_SERVE:
        case CURRENCY_ACTION_STOP:
            scale_observe_serving(fleet, daemon, action->kind == CURRENCY_ACTION_SERVE);
            break;
        }
    }
}

static void hear_configuration(struct scale_fleet *fleet, struct scale_daemon *daemon,
                               const struct membership_action *action)
{
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
    uint64_t holder = action->holder ? action->member.id : 0;
    currency_announced(daemon->currency, action->configuration, holder, fleet_now(fleet), actions);
    perform_currency(fleet, daemon, actions);
}

static void head_answered(struct scale_fleet *fleet, struct scale_daemon *daemon, uint64_t version)
{
    if (version == 0) {
        currency_head_failed(daemon->currency, fleet_now(fleet));
        return;
    }
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
    struct configuration_mark head = mark_of_version(version);
    membership_announce_configuration(daemon->membership, head);
    membership_record_store_reply(daemon->membership, daemon->head_asked_at);
    currency_head_read(daemon->currency, head, fleet_now(fleet), actions);
    perform_currency(fleet, daemon, actions);
}

static void fetch_answered(struct scale_fleet *fleet, struct scale_daemon *daemon, uint64_t version)
{
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
    if (version == 0) {
        currency_fetch_failed(daemon->currency, fleet_now(fleet), actions);
    } else {
        currency_fetched(daemon->currency, mark_of_version(version), fleet_now(fleet), actions);
    }
    perform_currency(fleet, daemon, actions);
}

static void answer_configuration_request(struct scale_fleet *fleet, struct scale_daemon *daemon,
                                         struct scale_daemon *asker,
                                         const struct configuration_request *request)
{
    struct message message;
    message_init(&message, MESSAGE_KIND_CONFIGURATION_REPLY);
    struct configuration_mark applied = currency_applied(daemon->currency);
    if (applied.version >= request->version) {
        message.configuration_reply.version = applied.version;
        message.configuration_reply.base_version = request->have_version;
        message.configuration_reply.hash = g_strnfill(64, 'a');
        size_t bytes = fleet->options.difference_bytes;
        message.configuration_reply.content = g_malloc0(bytes);
        message.configuration_reply.content_length = bytes;
    }
    scale_transport_send(fleet, daemon, asker, &message, SCALE_TRAFFIC_CONFIGURATION, true);
    message_clear(&message);
}

static void tick_currency(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    struct currency_evidence evidence = {
        .synced = membership_synced(daemon->membership),
        .queries_store = membership_queries_store(daemon->membership),
        .store_confirmed_at = membership_store_confirmed_at(daemon->membership),
        .peers_confirmed_at = membership_peers_confirmed_at(daemon->membership, fleet_now(fleet)),
    };
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
    currency_tick(daemon->currency, &evidence, fleet_now(fleet), actions);
    perform_currency(fleet, daemon, actions);
}

/* -- Group status -- */

static void send_statuses(struct scale_fleet *fleet, struct scale_daemon *daemon,
                          const GArray *sends)
{
    for (guint i = 0; i < sends->len; i++) {
        const struct dissemination_send *send = &g_array_index(sends, struct dissemination_send, i);
        struct message message;
        message_init(&message, MESSAGE_KIND_GROUP_STATUS);
        message.group_status = send->status;
        struct scale_daemon *to = scale_daemon_of_id(fleet, send->to);
        scale_transport_send(fleet, daemon, to, &message, SCALE_TRAFFIC_GROUP_STATUS, false);
    }
}

static void receive_status(struct scale_fleet *fleet, struct scale_daemon *daemon,
                           const struct group_status *status)
{
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    if (dissemination_receive(daemon->dissemination, status, fleet_now(fleet), sends)) {
        scale_observe_status(fleet, daemon, status);
    }
    send_statuses(fleet, daemon, sends);
}

void scale_daemon_publish_status(struct scale_fleet *fleet, struct scale_daemon *daemon,
                                 const struct group_status *status)
{
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    if (dissemination_publish(daemon->dissemination, status, fleet_now(fleet), sends)) {
        scale_observe_status(fleet, daemon, status);
    }
    send_statuses(fleet, daemon, sends);
}

/* Passes a group's newer status on to the other daemon, as requests and replies of forwarded work
 * do. */
static void exchange_status(struct scale_fleet *fleet, struct scale_daemon *from,
                            struct scale_daemon *to, uint32_t group)
{
    struct group_status status;
    if (!dissemination_status(from->dissemination, group, &status)) {
        return;
    }
    struct group_status known = {0};
    dissemination_status(to->dissemination, group, &known);
    if (status.term > known.term) {
        status.sender = from->id;
        status.acknowledge = true;
        receive_status(fleet, to, &status);
    }
}

/* The owner to which a daemon forwards: one in its own zone if reachable, else any reachable one.
 */
static struct scale_daemon *choose_owner(struct scale_fleet *fleet, struct scale_daemon *daemon,
                                         uint32_t group)
{
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    size_t count = ownership_owners(daemon->ownership, group, owners);
    struct scale_daemon *chosen = NULL;
    for (size_t i = 0; i < count; i++) {
        size_t place = (i + daemon->index) % count;
        struct scale_daemon *owner = scale_daemon_of_id(fleet, owners[place]);
        bool reachable = owner != NULL && owner->running && !owner->paused &&
                         !scale_transport_cut(fleet, daemon, owner) &&
                         !scale_transport_cut(fleet, owner, daemon);
        if (reachable && (chosen == NULL || owner->zone == daemon->zone)) {
            chosen = owner;
        }
    }
    return chosen;
}

static void forward_on_all_groups(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    for (uint32_t group = 0; group < fleet->group_count; group++) {
        struct scale_daemon *owner = choose_owner(fleet, daemon, group);
        if (owner == NULL || owner == daemon) {
            continue;
        }
        dissemination_note_forwarder(owner->dissemination, group, daemon->id, fleet_now(fleet));
        exchange_status(fleet, owner, daemon, group);
        exchange_status(fleet, daemon, owner, group);
    }
    struct scale_event event = {
        .at = fleet_now(fleet) + fleet->options.forward_interval,
        .kind = SCALE_EVENT_FORWARD,
        .daemon = daemon->index,
        .life = daemon->life,
    };
    scale_network_add(fleet->network, &event);
}

/* -- Membership -- */

static void follow_member(struct scale_fleet *fleet, struct scale_daemon *daemon,
                          const struct member *member)
{
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_member(daemon->ownership, member, changes);
    bool alive = member->state == MEMBER_STATE_ALIVE || member->state == MEMBER_STATE_SUSPECT;
    scale_holdings_changed(fleet, daemon, changes, alive && !member->absent);
}

static void settle_ownership(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    bool settled = membership_synced(daemon->membership) &&
                   membership_majority_reachable(daemon->membership, fleet_now(fleet),
                                                 fleet->options.membership.zone_timeout);
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_settled(daemon->ownership, settled, changes);
    scale_holdings_changed(fleet, daemon, changes, true);
}

static void send_gossip(struct scale_fleet *fleet, struct scale_daemon *daemon,
                        const struct membership_action *action)
{
    struct message message;
    message_init(&message, MESSAGE_KIND_GOSSIP);
    message.gossip = action->message;
    struct scale_daemon *to = scale_daemon_at(fleet, action->to);
    scale_transport_send(fleet, daemon, to, &message, SCALE_TRAFFIC_GOSSIP, false);
}

static void perform_membership(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    for (size_t i = 0; i < membership_actions_count(fleet->actions); i++) {
        struct membership_action action = *membership_actions_get(fleet->actions, i);
        switch (action.kind) {
        case MEMBERSHIP_ACTION_SEND:
            send_gossip(fleet, daemon, &action);
            break;
        case MEMBERSHIP_ACTION_CONFIGURATION_ANNOUNCED:
            hear_configuration(fleet, daemon, &action);
            break;
        case MEMBERSHIP_ACTION_MEMBER_JOINED:
        case MEMBERSHIP_ACTION_MEMBER_RESTARTED:
        case MEMBERSHIP_ACTION_MEMBER_CHANGED:
        case MEMBERSHIP_ACTION_MEMBER_REMOVED:
            scale_observe_member(fleet, daemon, &action);
            follow_member(fleet, daemon, &action.member);
            break;
        case MEMBERSHIP_ACTION_ZONE_CHANGED:
        case MEMBERSHIP_ACTION_SUPERSEDED:
            break;
        }
    }
    membership_actions_clear(fleet->actions);
}

/* -- Events -- */

static void schedule_wakeup(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    time_ns now = fleet_now(fleet);
    time_ns wakeup = now + WAKE_INTERVAL;
    wakeup = MIN(wakeup, membership_next_wakeup(daemon->membership));
    wakeup = MIN(wakeup, currency_next_wakeup(daemon->currency));
    wakeup = MIN(wakeup, dissemination_next_wakeup(daemon->dissemination));
    wakeup = MIN(wakeup, scale_holdings_wakeup(daemon));
    wakeup = MAX(wakeup, now + WAKE_MIN);
    if (daemon->wake_at > now && daemon->wake_at <= wakeup) {
        return;
    }
    daemon->wake_at = wakeup;
    struct scale_event event = {
        .at = wakeup,
        .kind = SCALE_EVENT_WAKEUP,
        .daemon = daemon->index,
        .life = daemon->life,
    };
    scale_network_add(fleet->network, &event);
}

static void wake_up(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    uint64_t suspicions = membership_suspicions(daemon->membership);
    membership_tick(daemon->membership, fleet_now(fleet), fleet->actions);
    scale_observe_suspicions(fleet, daemon, membership_suspicions(daemon->membership) - suspicions);
    perform_membership(fleet, daemon);
    settle_ownership(fleet, daemon);
    tick_currency(fleet, daemon);
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    dissemination_tick(daemon->dissemination, fleet_now(fleet), sends);
    send_statuses(fleet, daemon, sends);
    scale_holdings_tick(fleet, daemon);
}

static void receive(struct scale_fleet *fleet, struct scale_daemon *daemon,
                    struct scale_daemon *from, struct scale_payload *payload)
{
    struct message message;
    if (!scale_transport_open(fleet, daemon, payload, &message)) {
        g_error("scale: a datagram could not be decoded");
    }
    switch (message.kind) {
    case MESSAGE_KIND_GOSSIP:
        membership_receive(daemon->membership, &message.gossip, scale_daemon_address(from),
                           fleet_now(fleet), fleet->actions);
        break;
    case MESSAGE_KIND_GROUP_STATUS:
        receive_status(fleet, daemon, &message.group_status);
        break;
    case MESSAGE_KIND_CONFIGURATION_REQUEST:
        answer_configuration_request(fleet, daemon, from, &message.configuration_request);
        break;
    case MESSAGE_KIND_CONFIGURATION_REPLY:
        fetch_answered(fleet, daemon, message.configuration_reply.version);
        break;
    case MESSAGE_KIND_BUDGET_NOTICE:
        scale_holdings_notice(fleet, daemon, &message.budget_notice);
        break;
    case MESSAGE_KIND_OPINION:
        scale_control_opinion(fleet, daemon, &message.opinion);
        break;
    default:
        break;
    }
    message_clear(&message);
}

static void dispatch(struct scale_fleet *fleet, struct scale_daemon *daemon,
                     struct scale_event *event)
{
    switch (event->kind) {
    case SCALE_EVENT_DATAGRAM:
        receive(fleet, daemon, &fleet->daemons[event->from], event->payload);
        scale_payload_free(event->payload);
        return;
    case SCALE_EVENT_WAKEUP:
        wake_up(fleet, daemon);
        return;
    case SCALE_EVENT_HEAD:
        head_answered(fleet, daemon, event->number);
        return;
    case SCALE_EVENT_FETCHED:
        fetch_answered(fleet, daemon, event->number);
        return;
    case SCALE_EVENT_REPLY:
        scale_control_answered(fleet, daemon, event->payload);
        scale_payload_free(event->payload);
        return;
    default:
        scale_holdings_event(fleet, daemon, event);
        return;
    }
}

void scale_daemon_handle(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         struct scale_event *event)
{
    if (event->kind == SCALE_EVENT_FORWARD) {
        forward_on_all_groups(fleet, daemon);
        return;
    }
    if (event->kind == SCALE_EVENT_WAKEUP && event->at != daemon->wake_at) {
        return;
    }
    scale_cpu_begin(fleet);
    if (event->kind == SCALE_EVENT_CONTROL) {
        scale_control_due(fleet, daemon, event);
        scale_cpu_end(fleet, daemon);
        return;
    }
    dispatch(fleet, daemon, event);
    perform_membership(fleet, daemon);
    schedule_wakeup(fleet, daemon);
    scale_cpu_end(fleet, daemon);
}

/* -- Start and end -- */

/* Adds addresses from the machine list; daemons at some of them may be down. */
static void set_seeds(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    uint32_t count = MIN(fleet->options.seeds, fleet->options.daemons);
    struct member_address *seeds = g_new0(struct member_address, count);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = scale_network_random(fleet->network, fleet->options.daemons);
        seeds[i] = scale_daemon_address(&fleet->daemons[index]);
    }
    membership_set_seeds(daemon->membership, seeds, count);
    g_free(seeds);
}

static void set_groups(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    struct ownership_group *groups = g_new0(struct ownership_group, fleet->group_count);
    for (uint32_t i = 0; i < fleet->group_count; i++) {
        groups[i] = fleet->groups[i].ownership;
    }
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_groups(daemon->ownership, groups, fleet->group_count, changes);
    g_free(groups);
}

static void make_core(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    struct membership_options options = fleet->options.membership;
    options.random_seed = scale_network_random(fleet->network, INT32_MAX);
    struct membership_self self = {
        .id = daemon->id,
        .start = daemon->start,
        .address = scale_daemon_address(daemon),
        .zone = daemon->zone,
        .region = scale_network_region(fleet->network, daemon->zone),
    };
    struct ownership_options ownership_options;
    ownership_options_default(&ownership_options);
    ownership_options.all_own_up_to = SCALE_GROUP_DATABASES;
    daemon->membership = membership_new(&options, &self, fleet_now(fleet));
    daemon->ownership = ownership_new(&ownership_options, daemon->id);
    daemon->dissemination = dissemination_new(&fleet->options.dissemination, daemon->id);
    daemon->currency = currency_new(&fleet->options.currency, fleet_now(fleet));
    daemon->holdings = g_hash_table_new(g_direct_hash, g_direct_equal);
    daemon->waiting = g_array_new(FALSE, FALSE, sizeof(struct scale_event));
}

void scale_daemon_start(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    g_autofree char *name = g_strdup_printf("daemon-%u-%u", daemon->index, daemon->generation);
    g_hash_table_remove(fleet->by_id, &daemon->id);
    daemon->id = membership_id_of_name(name);
    g_hash_table_insert(fleet->by_id, &daemon->id, daemon);
    daemon->start = fleet_now(fleet) / NANOSECONDS_PER_MILLISECOND;
    daemon->life++;
    daemon->running = true;
    daemon->paused = false;
    daemon->leaving = false;
    daemon->wake_at = 0;
    daemon->started_at = fleet_now(fleet);
    daemon->counted_from = fleet_now(fleet);
    make_core(fleet, daemon);
    set_seeds(fleet, daemon);
    set_groups(fleet, daemon);
    struct member self = membership_self(daemon->membership);
    follow_member(fleet, daemon, &self);
    schedule_wakeup(fleet, daemon);
    uint32_t interval_ms =
        (uint32_t)(fleet->options.forward_interval / NANOSECONDS_PER_MILLISECOND) + 1;
    struct scale_event event = {
        .at = fleet_now(fleet) +
              scale_network_random(fleet->network, interval_ms) * NANOSECONDS_PER_MILLISECOND,
        .kind = SCALE_EVENT_FORWARD,
        .daemon = daemon->index,
        .life = daemon->life,
    };
    scale_network_add(fleet->network, &event);
}

void scale_daemon_end(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    if (!daemon->running) {
        return;
    }
    daemon->counters.running += fleet_now(fleet) - daemon->counted_from;
    daemon->running = false;
    daemon->ended_at = fleet_now(fleet);
    for (guint i = 0; i < daemon->waiting->len; i++) {
        struct scale_event *event = &g_array_index(daemon->waiting, struct scale_event, i);
        g_clear_pointer(&event->payload, scale_payload_free);
    }
    g_array_free(daemon->waiting, TRUE);
    membership_free(daemon->membership);
    ownership_free(daemon->ownership);
    dissemination_free(daemon->dissemination);
    currency_free(daemon->currency);
    g_hash_table_destroy(daemon->holdings);
    daemon->membership = NULL;
    daemon->ownership = NULL;
    daemon->dissemination = NULL;
    daemon->currency = NULL;
    daemon->life++;
}

void scale_daemon_leave_begin(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    daemon->leaving = true;
    daemon->mark_at = fleet_now(fleet);
    scale_cpu_begin(fleet);
    membership_set_leaving(daemon->membership, true, fleet_now(fleet), fleet->actions);
    perform_membership(fleet, daemon);
    struct member self = membership_self(daemon->membership);
    follow_member(fleet, daemon, &self);
    schedule_wakeup(fleet, daemon);
    scale_cpu_end(fleet, daemon);
}

void scale_daemon_leave_end(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    membership_leave(daemon->membership, fleet_now(fleet), fleet->actions);
    perform_membership(fleet, daemon);
    scale_holdings_end(fleet, daemon, PROCESS_END_DETECT_TIME);
    scale_daemon_end(fleet, daemon);
}
