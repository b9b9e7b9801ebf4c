/* The network between zones: latency with jitter (so messages overtake each other), loss, cuts in
 * one or both directions. */
#ifndef SW_SIM_NETWORK_H
#define SW_SIM_NETWORK_H

#include "sim/sim_world.h"

#define SIM_ZONES_MAX 8

struct sim_network_options {
    time_ns latency;       /* one way between zones */
    time_ns local_latency; /* one way within a zone */
    time_ns jitter;        /* added, uniform */
    double datagram_loss;  /* of opinions and probes */
    double stream_stall;   /* share of stream messages that arrive late */
    time_ns stall_time;    /* and how much later */
    double cut_holds;      /* share of messages in a cut that arrive once it is healed */
};

struct sim_network {
    struct sim_world *world;
    struct sim_network_options options;
    /* [from][to]: cut until this time; 0 if open */
    time_ns cut_until[SIM_ZONES_MAX][SIM_ZONES_MAX];
};

void sim_network_init(struct sim_network *network, struct sim_world *world,
                      const struct sim_network_options *options);

/* Cuts one direction until a time. */
void sim_network_cut(struct sim_network *network, uint32_t from, uint32_t to, time_ns until);

/* Sends a message to a node's incarnation. As over a connection: not lost, but held back or dropped
 * by a cut, and perhaps late. */
void sim_network_send(struct sim_network *network, uint32_t from_zone, struct sim_node *to,
                      uint64_t incarnation, sim_handler handler, void *object, const void *payload,
                      size_t payload_size);

/* As a datagram: lost with the stated probability, and in every cut. */
void sim_network_send_datagram(struct sim_network *network, uint32_t from_zone, struct sim_node *to,
                               uint64_t incarnation, sim_handler handler, void *object,
                               const void *payload, size_t payload_size);

#endif
