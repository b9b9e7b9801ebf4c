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

/* How owners watch their groups' databases; as the settings of the same names. */
struct scale_watch_settings {
    bool enabled; /* false: groups have no control and change by scale_fleet_change_primary */
    time_ns probe_interval;
    time_ns probe_timeout;
    time_ns open_timeout;
    time_ns suspect_after;
    uint32_t probes_per_second; /* of one daemon, at most */
};

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
    uint32_t racks;             /* in each zone; daemons and databases stand in them in turn */
    uint32_t store_rate;        /* reads the store answers in a second, refusing more; 0: all */
    struct scale_watch_settings watch;
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

/* -- Faults of databases; with control of groups only -- */

/* The machine of one of a group's databases is lost, or is back with what it held. Where it led, a
 * change of primary is measured from now on. */
void scale_fleet_fail_database(struct scale_fleet *fleet, uint32_t group, uint32_t place);
void scale_fleet_return_database(struct scale_fleet *fleet, uint32_t group, uint32_t place);

/* All machines of a rack, or of a whole zone, are lost: daemons and databases. */
void scale_fleet_fail_rack(struct scale_fleet *fleet, uint16_t zone, uint32_t rack);
void scale_fleet_fail_zone(struct scale_fleet *fleet, uint16_t zone);

/* Cuts what stands in a rack off from all else, or joins it again: its switch. One at a time. */
void scale_fleet_cut_rack(struct scale_fleet *fleet, uint16_t zone, uint32_t rack, bool cut);
bool scale_fleet_is_in_rack(const struct scale_fleet *fleet, uint32_t index, uint16_t zone,
                            uint32_t rack);

/* The daemon that next begins to fence databases of the group is lost at that moment. */
void scale_fleet_fail_coordinator(struct scale_fleet *fleet, uint32_t group);

/* True if groups are watched and changed by their control. */
bool scale_fleet_has_control(const struct scale_fleet *fleet);

/* The group's database that leads and may confirm writes; -1 if none does. */
int32_t scale_fleet_primary(const struct scale_fleet *fleet, uint32_t group);

/* True if the daemon owns the group and its control holds a primary as usable. */
bool scale_fleet_leads(const struct scale_fleet *fleet, uint32_t index, uint32_t group);

uint16_t scale_fleet_region(const struct scale_fleet *fleet, uint32_t daemon);
uint16_t scale_fleet_zones(const struct scale_fleet *fleet);
uint16_t scale_fleet_group_region(const struct scale_fleet *fleet, uint32_t group);

/* True if a change of the group's primary is being measured, or was. */
bool scale_fleet_was_changed(const struct scale_fleet *fleet, uint32_t group);
uint32_t scale_fleet_racks(const struct scale_fleet *fleet);

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
