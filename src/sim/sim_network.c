/* Latency, loss and partitions. */
#include "sim/sim_network.h"

#include <string.h>

void sim_network_init(struct sim_network *network, struct sim_world *world,
                      const struct sim_network_options *options)
{
    memset(network, 0, sizeof(*network));
    network->world = world;
    network->options = *options;
}

void sim_network_cut(struct sim_network *network, uint32_t from, uint32_t to, time_ns until)
{
    if (from == to) {
        return;
    }
    if (until > network->cut_until[from][to]) {
        network->cut_until[from][to] = until;
    }
}

static time_ns arrival(struct sim_network *network, uint32_t from, uint32_t to)
{
    const struct sim_network_options *options = &network->options;
    time_ns latency = from == to ? options->local_latency : options->latency;

    return network->world->now + latency + sim_random_below(network->world, options->jitter);
}

void sim_network_send(struct sim_network *network, uint32_t from_zone, struct sim_node *to,
                      uint64_t incarnation, sim_handler handler, void *object, const void *payload,
                      size_t payload_size)
{
    struct sim_world *world = network->world;
    time_ns at = arrival(network, from_zone, to->zone);
    time_ns cut_until = network->cut_until[from_zone][to->zone];

    if (cut_until > world->now) {
        if (!sim_random_chance(world, network->options.cut_holds)) {
            return;
        }
        at = cut_until + sim_random_below(world, 50 * SIM_MILLISECOND);
    }
    if (sim_random_chance(world, network->options.stream_stall)) {
        at += sim_random_below(world, network->options.stall_time);
    }
    sim_node_schedule_for(to, incarnation, at, handler, object, payload, payload_size);
}

void sim_network_send_datagram(struct sim_network *network, uint32_t from_zone, struct sim_node *to,
                               uint64_t incarnation, sim_handler handler, void *object,
                               const void *payload, size_t payload_size)
{
    struct sim_world *world = network->world;
    time_ns at = arrival(network, from_zone, to->zone);

    if (network->cut_until[from_zone][to->zone] > world->now ||
        sim_random_chance(world, network->options.datagram_loss)) {
        return;
    }
    sim_node_schedule_for(to, incarnation, at, handler, object, payload, payload_size);
}
