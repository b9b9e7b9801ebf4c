/* The hollow fleet: many daemons' control plane in one process and thread, on virtual time. Each
 * hollow daemon runs the real core objects (membership, ownership, budgets, dissemination,
 * currency) and the real codec; network, databases and store are models. Deterministic by seed. */
#ifndef SW_SIM_SCALE_FLEET_H
#define SW_SIM_SCALE_FLEET_H

#include "core/config_currency.h"
#include "core/dissemination.h"
#include "core/membership.h"
#include "core/ownership.h"
#include "sim/scale_measure.h"
#include "sim/scale_network.h"

/* Identity of the fleet's deployment; of the length of any other. */
#define SCALE_DEPLOYMENT UINT32_C(0x5CA1AB1E)

#define SCALE_GROUP_DATABASES 3

struct scale_fleet_options {
    struct scale_network_options network;
    struct membership_options membership;
    struct currency_options currency;
    struct dissemination_options dissemination;
    uint32_t daemons;
    uint32_t databases;
    uint32_t connection_limit;  /* of each database */
    time_ns connect_time;       /* to open a connection */
    time_ns forward_interval;   /* each daemon forwards work on every group this often */
    time_ns publish_time;       /* from acceptance until the publisher has given it to a daemon */
    time_ns stop_time;          /* a planned stop takes so long, from the mark to the end */
    uint32_t difference_octets; /* one change of configuration, as it travels */
    uint32_t seeds;             /* addresses in the machine list that a daemon starts with */
    bool encode;                /* datagrams pass the real codec; false: faster, no sizes */
};

struct scale_fleet;

/* Zones, daemons and databases as at the target size, but `daemons` and `databases` of them. */
void scale_fleet_options_default(struct scale_fleet_options *options, uint32_t daemons,
                                 uint32_t databases, uint32_t seed);

/* Makes the fleet; its daemons start within the first second. */
struct scale_fleet *scale_fleet_new(const struct scale_fleet_options *options);
void scale_fleet_free(struct scale_fleet *fleet);

/* Lets virtual time pass. */
void scale_fleet_run(struct scale_fleet *fleet, time_ns duration);
time_ns scale_fleet_now(const struct scale_fleet *fleet);
uint32_t scale_fleet_random(struct scale_fleet *fleet, uint32_t bound);

/* Ends a daemon at once; its machine is lost if `machine`, so that databases notice late. */
void scale_fleet_kill(struct scale_fleet *fleet, uint32_t index, bool machine);

/* Starts a daemon that is down: the same daemon again, or one with a new name and address. */
void scale_fleet_start(struct scale_fleet *fleet, uint32_t daemon, bool replaced);

/* Planned stop: leaves, ends, and starts again after `down` unless that is 0. */
void scale_fleet_stop(struct scale_fleet *fleet, uint32_t index, time_ns down);

/* A paused daemon does nothing; what arrives waits. */
void scale_fleet_pause(struct scale_fleet *fleet, uint32_t daemon);
void scale_fleet_resume(struct scale_fleet *fleet, uint32_t index);

/* Cuts or joins zones from all others, or a region from the others. The store is in zone 0. */
void scale_fleet_cut_zone(struct scale_fleet *fleet, uint16_t zone, bool cut);
void scale_fleet_cut_region(struct scale_fleet *fleet, uint16_t region, bool cut);

/* Splits one zone: its even daemons no longer reach its odd ones, or do again. */
void scale_fleet_split_zone(struct scale_fleet *fleet, uint16_t zone, bool split);

void scale_fleet_set_store_up(struct scale_fleet *fleet, bool up);

/* Publishes a new configuration to the store and gives it to one daemon; its version. 0 if the
 * store is down. */
uint64_t scale_fleet_publish(struct scale_fleet *fleet);

/* The version published last; 0: none yet. */
uint64_t scale_fleet_newest(const struct scale_fleet *fleet);

/* A group gets a new primary, which one of its owners has just brought about. */
void scale_fleet_change_primary(struct scale_fleet *fleet, uint32_t index);

/* State for tests and measurements; NULL while a daemon is down. */
uint32_t scale_fleet_daemons(const struct scale_fleet *fleet);
uint32_t scale_fleet_groups(const struct scale_fleet *fleet);
bool scale_fleet_is_running(const struct scale_fleet *fleet, uint32_t daemon);
bool scale_fleet_is_paused(const struct scale_fleet *fleet, uint32_t index);

/* True if the daemon runs and can serve every database of the group from its own connections. */
bool scale_fleet_serves(const struct scale_fleet *fleet, uint32_t index, uint32_t group);
struct membership *scale_fleet_membership(const struct scale_fleet *fleet, uint32_t daemon);
struct ownership *scale_fleet_ownership(const struct scale_fleet *fleet, uint32_t daemon);
struct currency *scale_fleet_currency(const struct scale_fleet *fleet, uint32_t daemon);
struct dissemination *scale_fleet_dissemination(const struct scale_fleet *fleet, uint32_t daemon);
uint64_t scale_fleet_id(const struct scale_fleet *fleet, uint32_t daemon);
uint16_t scale_fleet_zone(const struct scale_fleet *fleet, uint32_t daemon);

/* Sends a datagram to a daemon as if from another, at a time still to come: for old gossip. */
void scale_fleet_inject(struct scale_fleet *fleet, uint32_t from, uint32_t to,
                        const struct gossip_message *message, time_ns delay);

/* Starts measuring from nothing, as of now; and what was measured since. */
void scale_fleet_measure_start(struct scale_fleet *fleet);
struct scale_measures *scale_fleet_measures(struct scale_fleet *fleet);
struct scale_counters scale_fleet_counters(const struct scale_fleet *fleet, uint32_t index);

/* Octets held by the parts of a daemon; false if it is down. Groups that it owns or hands over. */
bool scale_fleet_state(const struct scale_fleet *fleet, uint32_t index,
                       size_t octets[SCALE_PART_COUNT]);
uint32_t scale_fleet_groups_owned(const struct scale_fleet *fleet, uint32_t index);

#endif
