/* The kinds of faults, and their runs. */
#include "sim/scale_fault.h"

#include <string.h>

/* Between two faults of a run: those of one group touch little else, a rack's touch much. */
#define GROUP_INTERVAL (1 * NANOSECONDS_PER_SECOND)
#define RACK_INTERVAL  (20 * NANOSECONDS_PER_SECOND)

/* After the last fault, or the heal, all must settle within this time; looked at so often. */
#define SETTLE_TIME     (120 * NANOSECONDS_PER_SECOND)
#define SETTLE_INTERVAL (100 * NANOSECONDS_PER_MILLISECOND)

/* Changes of primary that the last fault caused are given this time. */
#define CHANGE_TIME (15 * NANOSECONDS_PER_SECOND)

/* A configuration is published this often while a region is cut off: 1,200 a day. */
#define PUBLISH_INTERVAL (72 * NANOSECONDS_PER_SECOND)

/* The region and the switch that are cut off, and the zone that is lost. The store is in region 0.
 */
#define LOST_REGION 1
#define LOST_ZONE   4
#define SWITCH_ZONE 1
#define SWITCH_RACK 0

/* From a zone of one region to one of the next. */
#define ZONES_PER_REGION 3

/* Daemons that end at once are down for this time, and start within that. */
#define DOWN_TIME       (5 * NANOSECONDS_PER_SECOND)
#define START_PART      3
#define START_WITHIN_MS 2000

/* Tries to find a group that is led and not being changed. */
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

/* Loses the machine of a primary by chance; its owners are all there. */
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

/* One rack in each region in turn. */
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

/* What each side has when the region has been cut off for long. */
static void look_at_sides(const struct scale_fleet *fleet, struct scale_fault_outcome *outcome)
{
    bool region = outcome->kind == SCALE_FAULT_REGION;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        size_t octets[SCALE_PART_COUNT];
        if (!scale_fleet_state(fleet, i, octets)) {
            continue;
        }
        bool hit = region ? scale_fleet_region(fleet, i) == LOST_REGION
                          : scale_fleet_is_in_rack(fleet, i, SWITCH_ZONE, SWITCH_RACK);
        bool serving = currency_serving(scale_fleet_currency(fleet, i));
        outcome->daemons_hit += hit;
        outcome->hit_serving += hit && serving;
        outcome->others_serving += !hit && serving;
        uint64_t all = 0;
        for (int part = 0; part < SCALE_PART_COUNT; part++) {
            all += octets[part];
        }
        outcome->state_most = MAX(outcome->state_most, all);
    }
    for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
        bool hit = region && scale_fleet_group_region(fleet, group) == LOST_REGION;
        bool led = is_led(fleet, group);
        outcome->groups_hit += hit;
        outcome->hit_led += hit && led;
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

/* Cuts the region or rack off, publishes as on a day, looks at both sides, and joins it again. */
static uint64_t cut_off(struct scale_fleet *fleet, const struct scale_fault_options *options,
                        struct scale_fault_outcome *outcome)
{
    set_cut(fleet, options->kind, true);
    time_ns end = scale_fleet_now(fleet) + options->outage;
    while (scale_fleet_now(fleet) < end) {
        scale_fleet_publish(fleet);
        scale_fleet_run(fleet, MIN(PUBLISH_INTERVAL, end - scale_fleet_now(fleet)));
    }
    look_at_sides(fleet, outcome);
    set_cut(fleet, options->kind, false);
    return scale_fleet_newest(fleet);
}

/* A third of the daemons ends at once and starts again, all within a short time. */
static void restart_many(struct scale_fleet *fleet, struct scale_fault_outcome *outcome)
{
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i += START_PART) {
        scale_fleet_kill(fleet, i, false);
        outcome->daemons_hit++;
    }
    scale_fleet_run(fleet, DOWN_TIME);
    uint32_t milliseconds = START_WITHIN_MS * START_PART / scale_fleet_daemons(fleet) + 1;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i += START_PART) {
        scale_fleet_start(fleet, i, false);
        scale_fleet_run(fleet, milliseconds * NANOSECONDS_PER_MILLISECOND);
    }
}

/* The members of a zone that is lost as a whole are held unreachable, not dead: others can't tell
 * it from a cut. So views keep them. */
static bool has_settled(const struct scale_fault_outcome *outcome)
{
    const struct scale_day_outcome *day = &outcome->day;
    bool views = day->views_differing == 0 || outcome->kind == SCALE_FAULT_ZONE;
    return day->stragglers == 0 && day->not_serving == 0 && views;
}

/* Waits until all have settled on the configuration. */
static void settle(struct scale_fleet *fleet, uint64_t newest, struct scale_fault_outcome *outcome)
{
    time_ns start = scale_fleet_now(fleet);
    scale_day_judge(fleet, newest, &outcome->day);
    while (!has_settled(outcome) && scale_fleet_now(fleet) < start + SETTLE_TIME) {
        scale_fleet_run(fleet, SETTLE_INTERVAL);
        scale_day_judge(fleet, newest, &outcome->day);
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
