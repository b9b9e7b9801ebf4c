/* Probes within the zone, indirect probes and suspicions; pings of relays to other zones. */
#include "core/membership_internal.h"

#include <math.h>

/* Maximum number of simultaneous probes made on request of others. */
#define HELPED_PROBES_MAX 64

/* Added to a zone's size before the logarithm, so that the time-out of small zones is one
 * factor. */
#define SUSPICION_MEMBERS_OFFSET 10

/* The ring of members to probe. */

void membership_ring_add(struct membership *membership, uint64_t id)
{
    GArray *ring = membership->ring;
    g_array_append_val(ring, id);
    guint place = membership_random(membership, ring->len);
    uint64_t displaced = g_array_index(ring, uint64_t, place);
    g_array_index(ring, uint64_t, place) = id;
    g_array_index(ring, uint64_t, ring->len - 1) = displaced;
}

static bool ring_member_usable(const struct membership *membership,
                               const struct member_record *record)
{
    return record != NULL && member_record_live(record) && record->zone == membership->self_zone &&
           record->id != membership->self_id;
}

/* Fills the ring with the zone's live members in random order. */
static void ring_rebuild(struct membership *membership)
{
    g_array_set_size(membership->ring, 0);
    membership->ring_next = 0;
    for (size_t i = 0; i < membership->records->len; i++) {
        const struct member_record *record = membership_record_at(membership, i);
        if (ring_member_usable(membership, record)) {
            membership_ring_add(membership, record->id);
        }
    }
}

/* The next member to probe: each once per round, in random order. NULL if there is none. */
static struct member_record *next_ring_member(struct membership *membership)
{
    for (int rounds = 0; rounds < 2; rounds++) {
        while (membership->ring_next < membership->ring->len) {
            uint64_t id = g_array_index(membership->ring, uint64_t, membership->ring_next);
            membership->ring_next++;
            struct member_record *record = membership_record(membership, id);
            if (ring_member_usable(membership, record)) {
                return record;
            }
        }
        ring_rebuild(membership);
    }
    return NULL;
}

/* Suspicions. */

static time_ns suspicion_timeout(const struct membership *membership)
{
    uint32_t members = membership->live_in_zone[membership->self_zone];
    double periods =
        membership->options.suspicion_factor * log10((double)members + SUSPICION_MEMBERS_OFFSET);
    return (time_ns)(periods * (double)membership->options.probe_period);
}

void membership_suspicion_end(struct membership *membership, uint64_t id)
{
    for (guint i = 0; i < membership->suspicions->len; i++) {
        if (g_array_index(membership->suspicions, struct suspicion, i).id == id) {
            g_array_remove_index_fast(membership->suspicions, i);
            return;
        }
    }
}

void membership_suspicion_start(struct membership *membership, uint64_t id, time_ns now)
{
    membership_suspicion_end(membership, id);
    struct suspicion suspicion = {.id = id, .deadline = now + suspicion_timeout(membership)};
    g_array_append_val(membership->suspicions, suspicion);
}

/* Defers the end of a due suspicion; true if the member may not be declared dead yet. A daemon
 * without contact to most members is probably partitioned itself, for example behind a failed
 * switch, and after the partition it would announce deaths of members that are alive. So it waits.
 * Once most members are reachable again, the suspect gets a complete time-out to refute. */
static bool defer_suspicion(const struct membership *membership, struct suspicion *suspicion,
                            time_ns now)
{
    time_ns timeout = suspicion_timeout(membership);
    if (!membership_majority_reachable(membership, now, timeout)) {
        suspicion->deferred = true;
        suspicion->deadline = now + membership->options.probe_period;
        return true;
    }
    if (suspicion->deferred) {
        suspicion->deferred = false;
        suspicion->deadline = now + timeout;
        return true;
    }
    return false;
}

static void end_due_suspicions(struct membership *membership, time_ns now,
                               struct membership_actions *actions)
{
    guint i = 0;
    while (i < membership->suspicions->len) {
        struct suspicion *suspicion = &g_array_index(membership->suspicions, struct suspicion, i);
        if (suspicion->deadline > now || defer_suspicion(membership, suspicion, now)) {
            i++;
            continue;
        }
        uint64_t id = suspicion->id;
        g_array_remove_index_fast(membership->suspicions, i);
        struct member_record *record = membership_record(membership, id);
        if (record != NULL && record->state == MEMBER_STATE_SUSPECT) {
            membership_set_state(membership, record, MEMBER_STATE_DEAD, now, actions);
        }
    }
}

/* Sending of probes. */

static void send_ping(struct membership *membership, const struct member_record *target,
                      uint32_t sequence, struct membership_actions *actions)
{
    struct gossip_message message;
    membership_begin(membership, GOSSIP_KIND_PING, &message);
    message.sequence = sequence;
    const struct member_record *first = target->state == MEMBER_STATE_ALIVE ? NULL : target;
    membership_send(membership, &message, first, member_record_address(target), actions);
}

/* Pings a member and records the probe. */
static void start_probe(struct membership *membership, const struct member_record *target,
                        time_ns now, struct membership_actions *actions)
{
    struct probe probe = {
        .target = target->id,
        .sequence = ++membership->next_sequence,
        .other_zone = target->zone != membership->self_zone,
        .sent_at = now,
        .due = now + membership->options.probe_wait,
        .give_up = now + membership->options.probe_period,
    };
    g_array_append_val(membership->probes, probe);
    send_ping(membership, target, probe.sequence, actions);
}

/* A relay pings one member of each of its zones. A missing reply raises no suspicion, since only
 * the member's own zone may decide that. */
static void probe_zones(struct membership *membership, time_ns now,
                        struct membership_actions *actions)
{
    for (uint16_t zone = 0; zone < MEMBERSHIP_ZONES_MAX; zone++) {
        if ((membership->relay_zones >> zone & 1) == 0) {
            continue;
        }
        const struct member_record *target = membership_random_in_zone(membership, zone);
        if (target != NULL) {
            start_probe(membership, target, now, actions);
        }
    }
}

static void send_ping_request(struct membership *membership, const struct probe *probe,
                              const struct member_record *helper,
                              const struct member_record *target,
                              struct membership_actions *actions)
{
    struct gossip_message message;
    membership_begin(membership, GOSSIP_KIND_PING_REQUEST, &message);
    message.sequence = probe->sequence;
    message.target = target->id;
    message.target_address = target->address;
    message.target_port = target->port;
    membership_send(membership, &message, NULL, member_record_address(helper), actions);
}

/* Chooses a member for an indirect probe. The first is from any zone, since this zone may be
 * partitioned. */
static const struct member_record *choose_helper(struct membership *membership, uint32_t number)
{
    guint count = membership->records->len;
    if (number > 0) {
        return membership_random_in_zone(membership, membership->self_zone);
    }
    guint index = membership_random(membership, count);
    const struct member_record *record = membership_record_at(membership, index);
    return member_record_live(record) ? record : NULL;
}

static void request_helper_probes(struct membership *membership, const struct probe *probe,
                                  struct membership_actions *actions)
{
    const struct member_record *target = membership_record(membership, probe->target);
    if (target == NULL || probe->other_zone) {
        return;
    }
    for (uint32_t i = 0; i < membership->options.probe_helpers; i++) {
        const struct member_record *helper = choose_helper(membership, i);
        bool usable =
            helper != NULL && helper->id != target->id && helper->id != membership->self_id;
        if (usable) {
            send_ping_request(membership, probe, helper, target, actions);
        }
    }
}

/* Neither the probe nor the indirect ones had a reply: the member becomes suspect, and gets a
 * message with this update so that it can refute. */
static void give_up_probe(struct membership *membership, const struct probe *probe, time_ns now,
                          struct membership_actions *actions)
{
    struct member_record *target = membership_record(membership, probe->target);
    if (target == NULL || target->state != MEMBER_STATE_ALIVE || probe->other_zone) {
        return;
    }
    membership->suspicions_raised++;
    membership_set_state(membership, target, MEMBER_STATE_SUSPECT, now, actions);
    send_ping(membership, target, 0, actions);
}

static void advance_probes(struct membership *membership, time_ns now,
                           struct membership_actions *actions)
{
    guint i = 0;
    while (i < membership->probes->len) {
        struct probe *probe = &g_array_index(membership->probes, struct probe, i);
        if (probe->due > now) {
            i++;
            continue;
        }
        if (probe->due < probe->give_up) {
            probe->due = probe->give_up;
            request_helper_probes(membership, probe, actions);
            i++;
            continue;
        }
        struct probe failed = *probe;
        g_array_remove_index_fast(membership->probes, i);
        give_up_probe(membership, &failed, now, actions);
    }
}

static void expire_helped_probes(struct membership *membership, time_ns now)
{
    guint i = 0;
    while (i < membership->helped_probes->len) {
        if (g_array_index(membership->helped_probes, struct helped_probe, i).expires <= now) {
            g_array_remove_index_fast(membership->helped_probes, i);
        } else {
            i++;
        }
    }
}

void membership_probe_tick(struct membership *membership, time_ns now,
                           struct membership_actions *actions)
{
    advance_probes(membership, now, actions);
    end_due_suspicions(membership, now, actions);
    if (now < membership->next_probe) {
        return;
    }
    membership->next_probe = now + membership->options.probe_period;
    expire_helped_probes(membership, now);
    const struct member_record *target = next_ring_member(membership);
    if (target != NULL) {
        start_probe(membership, target, now, actions);
    }
    probe_zones(membership, now, actions);
}

time_ns membership_probe_wakeup(const struct membership *membership)
{
    time_ns wakeup = membership->next_probe;
    for (guint i = 0; i < membership->probes->len; i++) {
        wakeup = MIN(wakeup, g_array_index(membership->probes, struct probe, i).due);
    }
    for (guint i = 0; i < membership->suspicions->len; i++) {
        wakeup = MIN(wakeup, g_array_index(membership->suspicions, struct suspicion, i).deadline);
    }
    return wakeup;
}

void membership_skip_pause(struct membership *membership, time_ns pause)
{
    g_array_set_size(membership->probes, 0);
    for (guint i = 0; i < membership->suspicions->len; i++) {
        g_array_index(membership->suspicions, struct suspicion, i).deadline += pause;
    }
}

/* Replies. */

/* The sender's record if it is known here as suspect, dead or left, so that it can refute. */
static const struct member_record *record_to_refute(const struct membership *membership,
                                                    const struct gossip_message *message)
{
    const struct member_record *record = membership_record(membership, message->sender.member);
    return record != NULL && record->state != MEMBER_STATE_ALIVE ? record : NULL;
}

void membership_receive_ping(struct membership *membership, const struct gossip_message *message,
                             struct member_address from, time_ns now,
                             struct membership_actions *actions)
{
    struct gossip_message answer;
    membership_begin(membership, GOSSIP_KIND_ACK, &answer);
    answer.sequence = message->sequence;
    if (message->sender.zone == membership->self_zone) {
        membership_add_zones(membership, now, &answer);
    }
    membership_send(membership, &answer, record_to_refute(membership, message), from, actions);
}

void membership_receive_ping_request(struct membership *membership,
                                     const struct gossip_message *message,
                                     struct member_address from, time_ns now,
                                     struct membership_actions *actions)
{
    if (membership->helped_probes->len >= HELPED_PROBES_MAX || message->target_port > UINT16_MAX) {
        return;
    }
    struct helped_probe helped = {
        .origin = from,
        .origin_sequence = message->sequence,
        .sequence = ++membership->next_sequence,
        .target = message->target,
        .expires = now + 2 * membership->options.probe_period,
    };
    g_array_append_val(membership->helped_probes, helped);
    struct gossip_message ping;
    membership_begin(membership, GOSSIP_KIND_PING, &ping);
    ping.sequence = helped.sequence;
    struct member_address to = {message->target_address, (uint16_t)message->target_port};
    membership_send(membership, &ping, NULL, to, actions);
}

/* Forwards the reply to the member that requested the probe. */
static void forward_ack(struct membership *membership, const struct helped_probe *helped,
                        struct membership_actions *actions)
{
    struct gossip_message answer;
    membership_begin(membership, GOSSIP_KIND_ACK, &answer);
    answer.sequence = helped->origin_sequence;
    answer.target = helped->target;
    membership_send(membership, &answer, NULL, helped->origin, actions);
}

/* Handles the reply to a probe of this daemon. A forwarded reply contains no ages of zones. */
static void end_probe(struct membership *membership, guint index,
                      const struct gossip_message *message, struct member_address from, time_ns now,
                      struct membership_actions *actions)
{
    struct probe probe = g_array_index(membership->probes, struct probe, index);
    g_array_remove_index_fast(membership->probes, index);
    if (message->target != 0) {
        return;
    }
    uint64_t zone_bit = UINT64_C(1) << message->sender.zone;
    bool back = (membership->zones_reachable & zone_bit) == 0;
    membership_update_zones(membership, message, probe.sent_at);
    membership_zones_tick(membership, now, actions);
    if (back && membership->synced) {
        membership_sync_with(membership, from, actions);
    }
}

void membership_receive_ack(struct membership *membership, const struct gossip_message *message,
                            struct member_address from, time_ns now,
                            struct membership_actions *actions)
{
    uint64_t answered = message->target != 0 ? message->target : message->sender.member;
    for (guint i = 0; i < membership->probes->len; i++) {
        const struct probe *probe = &g_array_index(membership->probes, struct probe, i);
        if (probe->sequence == message->sequence && probe->target == answered) {
            end_probe(membership, i, message, from, now, actions);
            return;
        }
    }
    for (guint i = 0; i < membership->helped_probes->len; i++) {
        struct helped_probe helped =
            g_array_index(membership->helped_probes, struct helped_probe, i);
        if (helped.sequence == message->sequence && helped.target == answered) {
            g_array_remove_index_fast(membership->helped_probes, i);
            forward_ack(membership, &helped, actions);
            return;
        }
    }
}
