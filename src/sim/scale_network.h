/* The network of the hollow fleet on virtual time: an ordered queue of events, and datagrams that
 * take the latency of their path, are lost now and then, and stop at cuts. One thread. */
#ifndef SW_SIM_SCALE_NETWORK_H
#define SW_SIM_SCALE_NETWORK_H

#include "core/types.h"

#include <glib.h>

#define SCALE_ZONES_MAX 32

/* One-way latency and loss by distance. */
struct scale_path {
    time_ns latency;
    time_ns jitter; /* up to this much is added */
    double loss;    /* share of datagrams that vanish */
};

struct scale_network_options {
    uint32_t zones;
    uint32_t zones_per_region;
    struct scale_path in_zone;
    struct scale_path in_region;
    struct scale_path between_regions;
    uint32_t seed;
};

/* Something that happens to one daemon at a time. */
struct scale_event {
    time_ns at;
    uint64_t order;  /* events of one time happen in the order they were made */
    uint32_t kind;   /* the fleet's own */
    uint32_t daemon; /* index of the daemon that it concerns */
    uint32_t life;   /* of that daemon when the event was made; 0: any */
    uint32_t from;   /* index of the sending daemon */
    uint64_t number;
    gpointer payload; /* owned by the event until it is taken */
};

struct scale_network;

void scale_network_options_default(struct scale_network_options *options);

struct scale_network *scale_network_new(const struct scale_network_options *options);
void scale_network_free(struct scale_network *network, GDestroyNotify payload_free);

time_ns scale_network_now(const struct scale_network *network);

/* Adds an event; its `order` is set here. */
void scale_network_add(struct scale_network *network, const struct scale_event *event);

/* Takes the next event not later than `until` and moves the time on to it. Without one, moves the
 * time on to `until` and returns false. */
bool scale_network_next(struct scale_network *network, time_ns until, struct scale_event *event);

/* Works out when something sent now from one zone to another arrives. False: it is lost.
 * `reliable` (a stream) is only lost in a cut. */
bool scale_network_arrival(struct scale_network *network, uint16_t from_zone, uint16_t to_zone,
                           bool reliable, time_ns *at);

/* Cuts or joins the way from one zone to another, in this direction. */
void scale_network_set_cut(struct scale_network *network, uint16_t from_zone, uint16_t to_zone,
                           bool cut);
bool scale_network_is_cut(const struct scale_network *network, uint16_t from_zone,
                          uint16_t to_zone);

uint16_t scale_network_region(const struct scale_network *network, uint16_t zone);

/* A random number below `bound`. */
uint32_t scale_network_random(struct scale_network *network, uint32_t bound);

#endif
