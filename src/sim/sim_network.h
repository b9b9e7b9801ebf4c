/* The network between zones: latency with jitter (messages may overtake each other), loss, and
 * partitions in one or both directions. */
#ifndef SW_SIM_NETWORK_H
#define SW_SIM_NETWORK_H

#include "sim/sim_world.h"

#define SIM_ZONES_MAX 8

struct sim_network_options {
    time_ns latency;       /* one-way, between zones */
    time_ns local_latency; /* one-way, within a zone */
    time_ns jitter;        /* added to the latency, uniformly distributed */
    double datagram_loss;  /* share of datagrams (opinions and probes) lost */
    double stream_stall;   /* share of stream messages that are delayed by `stall_time` */
    time_ns stall_time;    /* that delay */
    double cut_holds; /* share of stream messages sent during a partition that arrive after its end;
                         the others are lost */
};

struct sim_network {
    struct sim_world *world;
    struct sim_network_options options;
    /* [from][to]: partitioned until this time; 0 if not */
    time_ns cut_until[SIM_ZONES_MAX][SIM_ZONES_MAX];
};

void sim_network_init(struct sim_network *network, struct sim_world *world,
                      const struct sim_network_options *options);

/* Partitions one direction until a time. */
void sim_network_cut(struct sim_network *network, uint32_t from, uint32_t to, time_ns until);

/* Sends a message to a node's incarnation as over a stream: not lost, but perhaps delayed, and
 * delayed or dropped by a partition. */
void sim_network_send(struct sim_network *network, uint32_t from_zone, struct sim_node *to,
                      uint64_t incarnation, sim_handler handler, void *object, const void *payload,
                      size_t payload_size);

/* Sends a message as a datagram: lost with the configured probability, and always in a partition.
 */
void sim_network_send_datagram(struct sim_network *network, uint32_t from_zone, struct sim_node *to,
                               uint64_t incarnation, sim_handler handler, void *object,
                               const void *payload, size_t payload_size);

#endif
