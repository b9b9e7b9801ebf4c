/* The network of the simulated fleet in virtual time: an ordered event queue, and datagrams that
 * take the latency of their path, are lost with its probability, and do not pass partitions.
 * Single-threaded. */
#ifndef SW_SIM_SCALE_NETWORK_H
#define SW_SIM_SCALE_NETWORK_H

#include "core/types.h"

#include <glib.h>

#define SCALE_ZONES_MAX 32

/* One-way latency and loss by distance. */
struct scale_path {
    time_ns latency;
    time_ns jitter; /* added, uniformly distributed up to this */
    double loss;    /* share of datagrams that are lost */
};

struct scale_network_options {
    uint32_t zones;
    uint32_t zones_per_region;
    struct scale_path in_zone;
    struct scale_path in_region;
    struct scale_path between_regions;
    uint32_t seed;
};

/* An event at one daemon. */
struct scale_event {
    time_ns at;
    uint64_t order;  /* order of creation; events of the same time occur in this order */
    uint32_t kind;   /* defined by the fleet */
    uint32_t daemon; /* index of the daemon */
    uint32_t life;   /* that daemon's `life` when the event was created; 0: any */
    uint32_t from;   /* index of the sending daemon */
    uint64_t number;
    gpointer payload; /* owned by the event until it is taken */
};

struct scale_network;

void scale_network_options_default(struct scale_network_options *options);

struct scale_network *scale_network_new(const struct scale_network_options *options);
void scale_network_free(struct scale_network *network, GDestroyNotify payload_free);

time_ns scale_network_now(const struct scale_network *network);

/* Adds an event; sets its `order`. */
void scale_network_add(struct scale_network *network, const struct scale_event *event);

/* Removes the next event not later than `until` and advances the time to it. Without one, advances
 * the time to `until` and returns false. */
bool scale_network_next(struct scale_network *network, time_ns until, struct scale_event *event);

/* Computes when a message sent now from one zone arrives at another. False: it is lost. A
 * `reliable` one (of a stream) is lost only in a partition. */
bool scale_network_arrival(struct scale_network *network, uint16_t from_zone, uint16_t to_zone,
                           bool reliable, time_ns *at);

/* Starts or ends the partition from one zone to another, in this direction. */
void scale_network_set_cut(struct scale_network *network, uint16_t from_zone, uint16_t to_zone,
                           bool cut);
bool scale_network_is_cut(const struct scale_network *network, uint16_t from_zone,
                          uint16_t to_zone);

uint16_t scale_network_region(const struct scale_network *network, uint16_t zone);

/* A random number below `bound`. */
uint32_t scale_network_random(struct scale_network *network, uint32_t bound);

#endif
