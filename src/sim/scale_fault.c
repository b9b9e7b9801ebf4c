/* The kinds of faults, and their runs. */
#include "sim/scale_fault.h"

#include <string.h>

/* Time between two faults of a run. A group's fault affects few others, a rack's affects many. */
#define GROUP_INTERVAL (1 * NANOSECONDS_PER_SECOND)
#define RACK_INTERVAL  (20 * NANOSECONDS_PER_SECOND)

/* Longest time to settle after the last fault or the end of a partition, and the interval at which
 * this is checked. */
#define SETTLE_TIME     (120 * NANOSECONDS_PER_SECOND)
#define SETTLE_INTERVAL (100 * NANOSECONDS_PER_MILLISECOND)

/* Time for the changes of primary that the last fault caused. */
#define CHANGE_TIME (15 * NANOSECONDS_PER_SECOND)

/* Interval at which configurations are published during a partition: 1,200 a day. */
#define PUBLISH_INTERVAL (72 * NANOSECONDS_PER_SECOND)

/* The region and the switch that are partitioned, and the zone that is lost. The store is in region
 * 0. */
#define LOST_REGION 1
#define LOST_ZONE   4
#define SWITCH_ZONE 1
#define SWITCH_RACK 0

/* Distance between a zone of one region and one of the next. */
#define ZONES_PER_REGION 3

/* Daemons that end together are down for the first time, and restart within the second. */
#define DOWN_TIME       (5 * NANOSECONDS_PER_SECOND)
#define START_PART      3
#define START_WITHIN_MS 2000

/* Attempts to find a group that has a primary and no change in progress. */
#define FIND_TRIES 100

const char *scale_fault_name(enum scale_fault_kind kind)
{
    static const char *const names[SCALE_FAULT_COUNT] = {
        [SCALE_FAULT_PRIMARY] = "primary", [SCALE_FAULT_COORDINATOR] = "coordinator",
        [SCALE_FAULT_SWITCH] = "switch",   [SCALE_FAULT_RACK] = "rack",
        [SCALE_FAULT_ZONE] = "zone",       [SCALE_FAULT_REGION] = "region",
        [SCALE_FAULT_STORE] = "store",
    };
    return names[kind];
}

bool scale_fault_find(const char *name, enum scale_fault_kind *kind)
{
    for (int i = 0; i < SCALE_FAULT_COUNT; i++) {
        if (strcmp(name, scale_fault_name((enum scale_fault_kind)i)) == 0) {
            *kind = (enum scale_fault_kind)i;
            return true;
        }
    }
    return false;
}

/* Loses the machine of a randomly chosen group's primary; all owners of the group stay up. */
static void lose_primary(struct scale_fleet *fleet, bool coordinator)
{
    for (uint32_t i = 0; i < FIND_TRIES; i++) {
        uint32_t group = scale_fleet_random(fleet, scale_fleet_groups(fleet));
        int32_t primary = scale_fleet_primary(fleet, group);
        if (primary < 0 || scale_fleet_was_changed(fleet, group)) {
            continue;
        }
        if (coordinator) {
            scale_fleet_fail_coordinator(fleet, group);
        }
        scale_fleet_fail_database(fleet, group, (uint32_t)primary);
        return;
    }
}

static void lose_primaries(struct scale_fleet *fleet, uint32_t count, bool coordinator)
{
    for (uint32_t i = 0; i < count; i++) {
        lose_primary(fleet, coordinator);
        scale_fleet_run(fleet, GROUP_INTERVAL);
    }
}

/* Loses racks, one in each region alternately. */
static void lose_racks(struct scale_fleet *fleet, uint32_t count)
{
    uint16_t zones = scale_fleet_zones(fleet);
    for (uint32_t i = 0; i < count; i++) {
        uint16_t zone = (uint16_t)((1 + i * ZONES_PER_REGION) % zones);
        scale_fleet_fail_rack(fleet, zone, i % scale_fleet_racks(fleet));
        scale_fleet_run(fleet, i + 1 < count ? RACK_INTERVAL : 0);
    }
}

static bool is_led(const struct scale_fleet *fleet, uint32_t group)
{
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        if (scale_fleet_leads(fleet, i, group) &&
            currency_serving(scale_fleet_currency(fleet, i))) {
            return true;
        }
    }
    return false;
}

/* Counts what works on each side of a long partition. */
static void count_both_sides(const struct scale_fleet *fleet, struct scale_fault_outcome *outcome)
{
    bool region = outcome->kind == SCALE_FAULT_REGION;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        size_t bytes[SCALE_PART_COUNT];
        if (!scale_fleet_state(fleet, i, bytes)) {
            continue;
        }
        bool hit = region ? scale_fleet_region(fleet, i) == LOST_REGION
                          : scale_fleet_is_in_rack(fleet, i, SWITCH_ZONE, SWITCH_RACK);
        bool serving = currency_serving(scale_fleet_currency(fleet, i));
        outcome->daemons_affected += hit;
        outcome->affected_serving += hit && serving;
        outcome->others_serving += !hit && serving;
        uint64_t all = 0;
        for (int part = 0; part < SCALE_PART_COUNT; part++) {
            all += bytes[part];
        }
        outcome->state_bytes_max = MAX(outcome->state_bytes_max, all);
    }
    for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
        bool hit = region && scale_fleet_group_region(fleet, group) == LOST_REGION;
        bool led = is_led(fleet, group);
        outcome->groups_affected += hit;
        outcome->affected_led += hit && led;
        outcome->others_led += !hit && led;
    }
}

static void set_cut(struct scale_fleet *fleet, enum scale_fault_kind kind, bool cut)
{
    if (kind == SCALE_FAULT_REGION) {
        scale_fleet_cut_region(fleet, LOST_REGION, cut);
    } else {
        scale_fleet_cut_rack(fleet, SWITCH_ZONE, SWITCH_RACK, cut);
    }
}

/* Partitions the region or rack, publishes configurations at a day's rate, counts what works on
 * both sides, and ends the partition. */
static uint64_t cut_off(struct scale_fleet *fleet, const struct scale_fault_options *options,
                        struct scale_fault_outcome *outcome)
{
    set_cut(fleet, options->kind, true);
    time_ns end = scale_fleet_now(fleet) + options->outage;
    while (scale_fleet_now(fleet) < end) {
        scale_fleet_publish(fleet);
        scale_fleet_run(fleet, MIN(PUBLISH_INTERVAL, end - scale_fleet_now(fleet)));
    }
    count_both_sides(fleet, outcome);
    set_cut(fleet, options->kind, false);
    return scale_fleet_newest(fleet);
}

/* Ends a third of the daemons at once and restarts all of them within a short time. */
static void restart_many(struct scale_fleet *fleet, struct scale_fault_outcome *outcome)
{
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i += START_PART) {
        scale_fleet_kill(fleet, i, false);
        outcome->daemons_affected++;
    }
    scale_fleet_run(fleet, DOWN_TIME);
    uint32_t milliseconds = START_WITHIN_MS * START_PART / scale_fleet_daemons(fleet) + 1;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i += START_PART) {
        scale_fleet_start(fleet, i, false);
        scale_fleet_run(fleet, milliseconds * NANOSECONDS_PER_MILLISECOND);
    }
}

/* The members of a zone that is lost entirely are held to be unreachable, not dead, because others
 * can't tell the loss from a partition. Their views therefore keep them. */
static bool has_settled(const struct scale_fault_outcome *outcome)
{
    const struct scale_day_outcome *day = &outcome->day;
    bool views = day->views_differing == 0 || outcome->kind == SCALE_FAULT_ZONE;
    return day->outdated_daemons == 0 && day->not_serving == 0 && views;
}

/* Waits until all daemons have settled on the configuration. */
static void settle(struct scale_fleet *fleet, uint64_t newest, struct scale_fault_outcome *outcome)
{
    time_ns start = scale_fleet_now(fleet);
    scale_day_evaluate(fleet, newest, &outcome->day);
    while (!has_settled(outcome) && scale_fleet_now(fleet) < start + SETTLE_TIME) {
        scale_fleet_run(fleet, SETTLE_INTERVAL);
        scale_day_evaluate(fleet, newest, &outcome->day);
    }
    outcome->settled = has_settled(outcome);
    outcome->settle_time = scale_fleet_now(fleet) - start;
    if (outcome->settle_time < CHANGE_TIME) {
        scale_fleet_run(fleet, CHANGE_TIME - outcome->settle_time);
    }
}

static void count_store(struct scale_fleet *fleet, struct scale_fault_outcome *outcome)
{
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        struct scale_counters counters = scale_fleet_counters(fleet, i);
        outcome->store_reads += counters.store_reads;
        outcome->store_refused += counters.store_refused;
    }
}

static bool is_cut(enum scale_fault_kind kind)
{
    return kind == SCALE_FAULT_REGION || kind == SCALE_FAULT_SWITCH;
}

void scale_fault_run(struct scale_fleet *fleet, const struct scale_fault_options *options,
                     struct scale_fault_outcome *outcome)
{
    *outcome = (struct scale_fault_outcome){
        .kind = options->kind,
        .repeats = options->repeats,
        .outage = is_cut(options->kind) ? options->outage : 0,
    };
    uint64_t newest = scale_day_start(fleet);
    switch (options->kind) {
    case SCALE_FAULT_PRIMARY:
    case SCALE_FAULT_COORDINATOR:
        lose_primaries(fleet, options->repeats, options->kind == SCALE_FAULT_COORDINATOR);
        break;
    case SCALE_FAULT_RACK:
        lose_racks(fleet, options->repeats);
        break;
    case SCALE_FAULT_ZONE:
        scale_fleet_fail_zone(fleet, LOST_ZONE);
        break;
    case SCALE_FAULT_REGION:
    case SCALE_FAULT_SWITCH:
        newest = cut_off(fleet, options, outcome);
        break;
    case SCALE_FAULT_STORE:
        restart_many(fleet, outcome);
        break;
    case SCALE_FAULT_COUNT:
        g_assert_not_reached();
    }
    settle(fleet, newest, outcome);
    count_store(fleet, outcome);
}
