/* The simulated fleet: the control plane of many daemons in one process and thread, in virtual
 * time. Each simulated daemon runs the real core objects (membership, ownership, budgets,
 * dissemination, currency) and the real codec; network, databases and store are models. Runs are
 * deterministic for each seed. */
#ifndef SW_SIM_SCALE_FLEET_H
#define SW_SIM_SCALE_FLEET_H

#include "core/config_currency.h"
#include "core/dissemination.h"
#include "core/membership.h"
#include "core/ownership.h"
#include "sim/scale_measure.h"
#include "sim/scale_network.h"

/* Identity of the fleet's deployment; its encoded length is that of any other. */
#define SCALE_DEPLOYMENT UINT32_C(0x5CA1AB1E)

#define SCALE_GROUP_DATABASES 3

/* How owners watch their groups' databases; the settings of the same names. */
struct scale_watch_settings {
    bool enabled; /* false: groups have no control and change only by scale_fleet_change_primary */
    time_ns probe_interval;
    time_ns probe_timeout;
    time_ns open_timeout;
    time_ns suspect_after;
    uint32_t probes_per_second; /* limit of one daemon's probes */
};

struct scale_fleet_options {
    struct scale_network_options network;
    struct membership_options membership;
    struct currency_options currency;
    struct dissemination_options dissemination;
    uint32_t daemons;
    uint32_t databases;
    uint32_t connection_limit; /* of each database */
    time_ns connect_time;      /* time to open a connection */
    time_ns forward_interval;  /* interval at which each daemon forwards work on every group */
    time_ns publish_time;      /* time from a configuration's acceptance until the publisher has
                                  delivered it to a daemon */
    time_ns stop_time;         /* duration of a planned stop, from the leaving mark to the end */
    uint32_t difference_bytes; /* encoded size of one change of configuration */
    uint32_t seeds;            /* addresses in the machine list that a daemon starts with */
    bool encode;    /* datagrams pass through the real codec; false: faster, without sizes */
    uint32_t racks; /* in each zone; daemons and databases are spread over them round robin */
    uint32_t
        store_rate; /* reads that the store answers in a second; it refuses more; 0: no limit */
    struct scale_watch_settings watch;
};

struct scale_fleet;

/* Zones, daemons and databases in the proportions of the target deployment, with `daemons` daemons
 * and `databases` databases. */
void scale_fleet_options_default(struct scale_fleet_options *options, uint32_t daemons,
                                 uint32_t databases, uint32_t seed);

/* Creates the fleet; its daemons start within the first second. */
struct scale_fleet *scale_fleet_new(const struct scale_fleet_options *options);
void scale_fleet_free(struct scale_fleet *fleet);

/* Advances virtual time. */
void scale_fleet_run(struct scale_fleet *fleet, time_ns duration);
time_ns scale_fleet_now(const struct scale_fleet *fleet);
uint32_t scale_fleet_random(struct scale_fleet *fleet, uint32_t bound);

/* Ends a daemon at once. With `machine`, its machine is lost, which databases detect only by their
 * keep-alive. */
void scale_fleet_kill(struct scale_fleet *fleet, uint32_t index, bool machine);

/* Starts a daemon that is down: the same one again, or a replacement with a new name and address.
 */
void scale_fleet_start(struct scale_fleet *fleet, uint32_t daemon, bool replaced);

/* Planned stop: the daemon leaves, ends, and restarts after `down` unless that is 0. */
void scale_fleet_stop(struct scale_fleet *fleet, uint32_t index, time_ns down);

/* A paused daemon handles no events; they are buffered. */
void scale_fleet_pause(struct scale_fleet *fleet, uint32_t daemon);
void scale_fleet_resume(struct scale_fleet *fleet, uint32_t index);

/* Starts or ends the partition of a zone from all others, or of a region from the others. The store
 * is in zone 0. */
void scale_fleet_cut_zone(struct scale_fleet *fleet, uint16_t zone, bool cut);
void scale_fleet_cut_region(struct scale_fleet *fleet, uint16_t region, bool cut);

/* Starts or ends a partition inside a zone, between its daemons with even and with odd indices. */
void scale_fleet_split_zone(struct scale_fleet *fleet, uint16_t zone, bool split);

void scale_fleet_set_store_up(struct scale_fleet *fleet, bool up);

/* Publishes a new configuration to the store and delivers it to one daemon. Returns its version; 0
 * if the store is down. */
uint64_t scale_fleet_publish(struct scale_fleet *fleet);

/* The version published last; 0: none yet. */
uint64_t scale_fleet_newest(const struct scale_fleet *fleet);

/* Gives a group a new primary, as if one of its owners had changed it. */
void scale_fleet_change_primary(struct scale_fleet *fleet, uint32_t index);

/* -- Faults of databases; only with control of groups -- */

/* Loses the machine of one of a group's databases, or returns it with its state. If the database
 * was primary, a change of primary is measured from now on. */
void scale_fleet_fail_database(struct scale_fleet *fleet, uint32_t group, uint32_t place);
void scale_fleet_return_database(struct scale_fleet *fleet, uint32_t group, uint32_t place);

/* Loses all machines of a rack, or of a whole zone: daemons and databases. */
void scale_fleet_fail_rack(struct scale_fleet *fleet, uint16_t zone, uint32_t rack);
void scale_fleet_fail_zone(struct scale_fleet *fleet, uint16_t zone);

/* Starts or ends the partition of a rack from everything else, as by its switch. Only one rack at a
 * time. */
void scale_fleet_cut_rack(struct scale_fleet *fleet, uint16_t zone, uint32_t rack, bool cut);
bool scale_fleet_is_in_rack(const struct scale_fleet *fleet, uint32_t index, uint16_t zone,
                            uint32_t rack);

/* The next daemon that begins to fence databases of the group is lost at that moment. */
void scale_fleet_fail_coordinator(struct scale_fleet *fleet, uint32_t group);

/* True if groups are watched and changed by group control. */
bool scale_fleet_has_control(const struct scale_fleet *fleet);

/* The group's database that is primary and can confirm writes; -1 if there is none. */
int32_t scale_fleet_primary(const struct scale_fleet *fleet, uint32_t group);

/* True if the daemon owns the group and its control holds a primary to be usable. */
bool scale_fleet_leads(const struct scale_fleet *fleet, uint32_t index, uint32_t group);

uint16_t scale_fleet_region(const struct scale_fleet *fleet, uint32_t daemon);
uint16_t scale_fleet_zones(const struct scale_fleet *fleet);
uint16_t scale_fleet_group_region(const struct scale_fleet *fleet, uint32_t group);

/* True if a change of the group's primary is or was measured. */
bool scale_fleet_was_changed(const struct scale_fleet *fleet, uint32_t group);
uint32_t scale_fleet_racks(const struct scale_fleet *fleet);

/* State for tests and measurements; NULL while a daemon is down. */
uint32_t scale_fleet_daemons(const struct scale_fleet *fleet);
uint32_t scale_fleet_groups(const struct scale_fleet *fleet);
bool scale_fleet_is_running(const struct scale_fleet *fleet, uint32_t daemon);
bool scale_fleet_is_paused(const struct scale_fleet *fleet, uint32_t index);

/* True if the daemon runs and can serve every database of the group over its own connections. */
bool scale_fleet_serves(const struct scale_fleet *fleet, uint32_t index, uint32_t group);
struct membership *scale_fleet_membership(const struct scale_fleet *fleet, uint32_t daemon);
struct ownership *scale_fleet_ownership(const struct scale_fleet *fleet, uint32_t daemon);
struct currency *scale_fleet_currency(const struct scale_fleet *fleet, uint32_t daemon);
struct dissemination *scale_fleet_dissemination(const struct scale_fleet *fleet, uint32_t daemon);
uint64_t scale_fleet_id(const struct scale_fleet *fleet, uint32_t daemon);
uint16_t scale_fleet_zone(const struct scale_fleet *fleet, uint32_t daemon);

/* Delivers a datagram to a daemon as if from another, at a later time: for old gossip. */
void scale_fleet_inject(struct scale_fleet *fleet, uint32_t from, uint32_t to,
                        const struct gossip_message *message, time_ns delay);

/* Resets and starts the measurement; returns the figures measured since. */
void scale_fleet_measure_start(struct scale_fleet *fleet);
struct scale_measures *scale_fleet_measures(struct scale_fleet *fleet);
struct scale_counters scale_fleet_counters(const struct scale_fleet *fleet, uint32_t index);

/* Bytes held by the parts of a daemon, and the number of groups that it owns or hands over. False
 * if it is down. */
bool scale_fleet_state(const struct scale_fleet *fleet, uint32_t index,
                       size_t bytes[SCALE_PART_COUNT]);
uint32_t scale_fleet_groups_owned(const struct scale_fleet *fleet, uint32_t index);

#endif
