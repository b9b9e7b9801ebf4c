/* Messages between simulated daemons, through the real codec, and the accounting of processor time.
 */
#include "sim/scale_fleet_internal.h"

#include <time.h>

/* An address holds the daemon's index plus 1 in its low bits and its generation in its high bits.
 */
#define INDEX_BITS  16
#define GOSSIP_PORT 7946

struct member_address scale_daemon_address(const struct scale_daemon *daemon)
{
    uint32_t address = daemon->generation << INDEX_BITS | (daemon->index + 1);
    return (struct member_address){address, GOSSIP_PORT};
}

struct scale_daemon *scale_daemon_at(struct scale_fleet *fleet, struct member_address address)
{
    uint32_t index = (address.address & ((1u << INDEX_BITS) - 1)) - 1;
    if (index >= fleet->options.daemons) {
        return NULL;
    }
    struct scale_daemon *daemon = &fleet->daemons[index];
    return daemon->generation == address.address >> INDEX_BITS ? daemon : NULL;
}

struct scale_daemon *scale_daemon_of_id(struct scale_fleet *fleet, uint64_t id)
{
    return g_hash_table_lookup(fleet->by_id, &id);
}

void scale_payload_free(gpointer data)
{
    struct scale_payload *payload = data;
    if (payload->bytes != NULL) {
        g_byte_array_unref(payload->bytes);
    } else {
        message_clear(&payload->message);
    }
    g_free(payload);
}

/* Processor time of this thread. */
static time_ns cpu_now(void)
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (time_ns)time.tv_sec * NANOSECONDS_PER_SECOND + (time_ns)time.tv_nsec;
}

void scale_cpu_begin(struct scale_fleet *fleet)
{
    fleet->cpu_codec = 0;
    fleet->cpu_mark = fleet->options.encode ? cpu_now() : 0;
}

void scale_cpu_end(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    if (!fleet->options.encode) {
        return;
    }
    time_ns total = cpu_now() - fleet->cpu_mark;
    daemon->counters.codec_ns += fleet->cpu_codec;
    daemon->counters.core_ns += total - MIN(total, fleet->cpu_codec);
}

/* A deep copy of the kinds of message that simulated daemons send. */
static void copy_message(struct message *to, const struct message *from)
{
    message_init(to, from->kind);
    switch (from->kind) {
    case MESSAGE_KIND_GOSSIP:
        gossip_message_copy(&to->gossip, &from->gossip);
        return;
    case MESSAGE_KIND_GROUP_STATUS:
        group_status_copy(&to->group_status, &from->group_status);
        return;
    case MESSAGE_KIND_CONFIGURATION_REQUEST:
        configuration_request_copy(&to->configuration_request, &from->configuration_request);
        return;
    case MESSAGE_KIND_CONFIGURATION_REPLY:
        configuration_reply_copy(&to->configuration_reply, &from->configuration_reply);
        return;
    case MESSAGE_KIND_BUDGET_NOTICE:
        budget_notice_copy(&to->budget_notice, &from->budget_notice);
        return;
    case MESSAGE_KIND_OPINION:
        watcher_opinion_copy(&to->opinion, &from->opinion);
        return;
    default:
        g_assert_not_reached();
    }
}

static struct scale_payload *pack(struct scale_fleet *fleet, struct scale_daemon *from,
                                  const struct message *message, enum scale_traffic traffic)
{
    struct scale_payload *payload = g_new0(struct scale_payload, 1);
    from->counters.sent[traffic]++;
    if (!fleet->options.encode) {
        copy_message(&payload->message, message);
        return payload;
    }
    time_ns before = cpu_now();
    payload->bytes = message_encode(message);
    fleet->cpu_codec += cpu_now() - before;
    from->counters.sent_bytes[traffic] += payload->bytes->len;
    return payload;
}

struct scale_place scale_place_of_daemon(const struct scale_fleet *fleet,
                                         const struct scale_daemon *daemon)
{
    uint32_t rack = daemon->index / fleet->options.network.zones % fleet->options.racks;
    return (struct scale_place){daemon->zone, rack};
}

struct scale_place scale_place_of_database(const struct scale_fleet *fleet, uint32_t index)
{
    uint32_t regions = fleet->options.network.zones / fleet->options.network.zones_per_region;
    uint32_t in_zone = index / SCALE_GROUP_DATABASES / MAX(1, regions);
    return (struct scale_place){fleet->databases[index].zone, in_zone % fleet->options.racks};
}

bool scale_places_partitioned(const struct scale_fleet *fleet, struct scale_place one,
                              struct scale_place other)
{
    struct scale_place cut = fleet->rack_cut_at;
    bool one_in = one.zone == cut.zone && one.rack == cut.rack;
    bool other_in = other.zone == cut.zone && other.rack == cut.rack;
    return fleet->rack_cut && one_in != other_in;
}

bool scale_transport_cut(const struct scale_fleet *fleet, const struct scale_daemon *from,
                         const struct scale_daemon *to)
{
    bool split = from->zone == to->zone && fleet->zone_split[from->zone];
    if (split && from->index / fleet->options.network.zones % 2 !=
                     to->index / fleet->options.network.zones % 2) {
        return true;
    }
    if (scale_places_partitioned(fleet, scale_place_of_daemon(fleet, from),
                                 scale_place_of_daemon(fleet, to))) {
        return true;
    }
    return scale_network_is_cut(fleet->network, from->zone, to->zone);
}

void scale_transport_send(struct scale_fleet *fleet, struct scale_daemon *from,
                          struct scale_daemon *to, const struct message *message,
                          enum scale_traffic traffic, bool reliable)
{
    struct scale_payload *payload = pack(fleet, from, message, traffic);
    struct scale_event event = {.kind = SCALE_EVENT_DATAGRAM, .from = from->index};
    bool arrives = to != NULL && !scale_transport_cut(fleet, from, to) &&
                   scale_network_arrival(fleet->network, from->zone, to->zone, reliable, &event.at);
    if (!arrives) {
        scale_payload_free(payload);
        return;
    }
    event.daemon = to->index;
    event.payload = payload;
    scale_network_add(fleet->network, &event);
}

bool scale_transport_open(struct scale_fleet *fleet, struct scale_daemon *to,
                          struct scale_payload *payload, struct message *out)
{
    to->counters.received++;
    if (payload->bytes == NULL) {
        *out = payload->message;
        message_init(&payload->message, MESSAGE_KIND_NONE);
        return true;
    }
    to->counters.received_bytes += payload->bytes->len;
    time_ns before = cpu_now();
    bool decoded = message_decode(payload->bytes->data, payload->bytes->len, out, NULL);
    fleet->cpu_codec += cpu_now() - before;
    return decoded;
}
