/* The schedule of a compressed day, and its run. */
#include "sim/scale_day.h"

#include "core/membership.h"

/* The size of the target deployment, for which the numbers of a day are given. */
#define TARGET_DAEMONS     760
#define DAY_FAILURES       14
#define DAY_RESTARTS       290
#define DAY_CONFIGURATIONS 1200

/* More than a day's four, because four give too few samples; each further one takes more run time.
 */
#define DAY_PRIMARY_CHANGES 40

#define ZONE_CUT     (60 * NANOSECONDS_PER_SECOND)
#define REGION_CUT   (90 * NANOSECONDS_PER_SECOND)
#define STORE_OUTAGE (45 * NANOSECONDS_PER_SECOND)

#define WARM_UP   (30 * NANOSECONDS_PER_SECOND)
#define SETTLE    (30 * NANOSECONDS_PER_SECOND)
#define DOWN_TIME (5 * NANOSECONDS_PER_SECOND)

/* A lost machine's replacement starts after this time. */
#define REPLACE_TIME (30 * NANOSECONDS_PER_SECOND)

enum day_event_kind {
    DAY_EVENT_FAILURE,
    DAY_EVENT_REPLACEMENT,
    DAY_EVENT_RESTART,
    DAY_EVENT_PRIMARY,
    DAY_EVENT_DATABASE_BACK,
    DAY_EVENT_CONFIGURATION,
    DAY_EVENT_ZONE_CUT,
    DAY_EVENT_ZONE_HEAL,
    DAY_EVENT_REGION_CUT,
    DAY_EVENT_REGION_HEAL,
    DAY_EVENT_STORE_DOWN,
    DAY_EVENT_STORE_UP,
};

struct day_event {
    time_ns at;
    enum day_event_kind kind;
    uint32_t subject;
};

static uint32_t in_proportion(uint32_t number, uint32_t daemons)
{
    return MAX(1, (number * daemons + TARGET_DAEMONS / 2) / TARGET_DAEMONS);
}

void scale_day_options_for(struct scale_day_options *options, uint32_t daemons, time_ns length)
{
    *options = (struct scale_day_options){
        .length = length,
        .failures = in_proportion(DAY_FAILURES, daemons),
        .restarts = in_proportion(DAY_RESTARTS, daemons),
        .primary_changes = DAY_PRIMARY_CHANGES,
        .configuration_changes = DAY_CONFIGURATIONS,
        .zone_cut = MIN(ZONE_CUT, length / 10),
        .region_cut = MIN(REGION_CUT, length / 10),
        .store_outage = MIN(STORE_OUTAGE, length / 10),
    };
}

void scale_day_options_quiet(struct scale_day_options *options, time_ns length)
{
    *options = (struct scale_day_options){.length = length};
}

static void add_event(GArray *schedule, time_ns at, enum day_event_kind kind, uint32_t subject)
{
    struct day_event event = {at, kind, subject};
    g_array_append_val(schedule, event);
}

/* A random time of the day, in whole milliseconds. */
static time_ns random_time(struct scale_fleet *fleet, time_ns length)
{
    uint32_t milliseconds = (uint32_t)(length / NANOSECONDS_PER_MILLISECOND);
    return scale_fleet_random(fleet, milliseconds) * NANOSECONDS_PER_MILLISECOND;
}

static void add_random_events(struct scale_fleet *fleet, const struct scale_day_options *options,
                              GArray *schedule)
{
    uint32_t daemons = scale_fleet_daemons(fleet);
    for (uint32_t i = 0; i < options->failures; i++) {
        time_ns at = random_time(fleet, options->length);
        uint32_t daemon = scale_fleet_random(fleet, daemons);
        add_event(schedule, at, DAY_EVENT_FAILURE, daemon);
        add_event(schedule, at + REPLACE_TIME, DAY_EVENT_REPLACEMENT, daemon);
    }
    for (uint32_t i = 0; i < options->restarts; i++) {
        time_ns at = random_time(fleet, options->length);
        add_event(schedule, at, DAY_EVENT_RESTART, scale_fleet_random(fleet, daemons));
    }
    for (uint32_t i = 0; i < options->configuration_changes; i++) {
        add_event(schedule, random_time(fleet, options->length), DAY_EVENT_CONFIGURATION, 0);
    }
    uint32_t groups = scale_fleet_groups(fleet);
    for (uint32_t i = 0; i < options->primary_changes && groups > 0; i++) {
        time_ns at = random_time(fleet, options->length);
        uint32_t group = scale_fleet_random(fleet, groups);
        add_event(schedule, at, DAY_EVENT_PRIMARY, group);
        add_event(schedule, at + REPLACE_TIME, DAY_EVENT_DATABASE_BACK, group);
    }
}

/* Partitions are at fixed times of the day and don't overlap. Zone 0 holds the store and is not
 * partitioned. */
static void add_cuts(const struct scale_day_options *options, GArray *schedule)
{
    time_ns length = options->length;
    if (options->zone_cut > 0) {
        add_event(schedule, length / 5, DAY_EVENT_ZONE_CUT, 1);
        add_event(schedule, length / 5 + options->zone_cut, DAY_EVENT_ZONE_HEAL, 1);
    }
    if (options->store_outage > 0) {
        add_event(schedule, length / 2, DAY_EVENT_STORE_DOWN, 0);
        add_event(schedule, length / 2 + options->store_outage, DAY_EVENT_STORE_UP, 0);
    }
    if (options->region_cut > 0) {
        add_event(schedule, length * 7 / 10, DAY_EVENT_REGION_CUT, 1);
        add_event(schedule, length * 7 / 10 + options->region_cut, DAY_EVENT_REGION_HEAL, 1);
    }
}

static gint compare_events(gconstpointer a, gconstpointer b)
{
    const struct day_event *left = a;
    const struct day_event *right = b;
    if (left->at != right->at) {
        return left->at < right->at ? -1 : 1;
    }
    return (gint)left->kind - (gint)right->kind;
}

/* Changes a group's primary. With group control, its machine is lost; without, the change has no
 * modelled reason. */
static void change_primary(struct scale_fleet *fleet, uint32_t group)
{
    if (!scale_fleet_has_control(fleet)) {
        scale_fleet_change_primary(fleet, group);
        return;
    }
    int32_t primary = scale_fleet_primary(fleet, group);
    if (primary >= 0) {
        scale_fleet_fail_database(fleet, group, (uint32_t)primary);
    }
}

static void return_databases(struct scale_fleet *fleet, uint32_t group)
{
    for (uint32_t place = 0; place < SCALE_GROUP_DATABASES; place++) {
        scale_fleet_return_database(fleet, group, place);
    }
}

static void perform(struct scale_fleet *fleet, const struct day_event *event)
{
    switch (event->kind) {
    case DAY_EVENT_FAILURE:
        scale_fleet_kill(fleet, event->subject, true);
        return;
    case DAY_EVENT_REPLACEMENT:
        scale_fleet_start(fleet, event->subject, true);
        return;
    case DAY_EVENT_RESTART:
        scale_fleet_stop(fleet, event->subject, DOWN_TIME);
        return;
    case DAY_EVENT_PRIMARY:
        change_primary(fleet, event->subject);
        return;
    case DAY_EVENT_DATABASE_BACK:
        return_databases(fleet, event->subject);
        return;
    case DAY_EVENT_CONFIGURATION:
        scale_fleet_publish(fleet);
        return;
    case DAY_EVENT_ZONE_CUT:
    case DAY_EVENT_ZONE_HEAL:
        scale_fleet_cut_zone(fleet, (uint16_t)event->subject, event->kind == DAY_EVENT_ZONE_CUT);
        return;
    case DAY_EVENT_REGION_CUT:
    case DAY_EVENT_REGION_HEAL:
        scale_fleet_cut_region(fleet, (uint16_t)event->subject,
                               event->kind == DAY_EVENT_REGION_CUT);
        return;
    case DAY_EVENT_STORE_DOWN:
    case DAY_EVENT_STORE_UP:
        scale_fleet_set_store_up(fleet, event->kind == DAY_EVENT_STORE_UP);
        return;
    }
}

static uint32_t count_live(const struct membership *membership)
{
    uint32_t count = 0;
    for (size_t i = 0; i < membership_count(membership); i++) {
        enum member_state state = membership_get(membership, i).state;
        count += state == MEMBER_STATE_ALIVE || state == MEMBER_STATE_SUSPECT;
    }
    return count;
}

void scale_day_evaluate(struct scale_fleet *fleet, uint64_t newest,
                        struct scale_day_outcome *outcome)
{
    *outcome = (struct scale_day_outcome){0};
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        outcome->running += scale_fleet_is_running(fleet, i);
    }
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        if (!scale_fleet_is_running(fleet, i)) {
            continue;
        }
        const struct currency *currency = scale_fleet_currency(fleet, i);
        outcome->outdated_daemons += currency_applied(currency).version != newest;
        outcome->not_serving += !currency_serving(currency);
        const struct membership *membership = scale_fleet_membership(fleet, i);
        outcome->views_differing += count_live(membership) != outcome->running;
    }
}

uint64_t scale_day_start(struct scale_fleet *fleet)
{
    scale_fleet_run(fleet, WARM_UP / 10);
    uint64_t newest = scale_fleet_publish(fleet);
    scale_fleet_run(fleet, WARM_UP);
    scale_fleet_measure_start(fleet);
    return newest;
}

void scale_day_run(struct scale_fleet *fleet, const struct scale_day_options *options,
                   struct scale_day_outcome *outcome)
{
    uint64_t newest = scale_day_start(fleet);
    g_autoptr(GArray) schedule = g_array_new(FALSE, FALSE, sizeof(struct day_event));
    add_random_events(fleet, options, schedule);
    add_cuts(options, schedule);
    g_array_sort(schedule, compare_events);
    time_ns start = scale_fleet_now(fleet);
    for (guint i = 0; i < schedule->len; i++) {
        const struct day_event *event = &g_array_index(schedule, struct day_event, i);
        scale_fleet_run(fleet, start + event->at - scale_fleet_now(fleet));
        perform(fleet, event);
    }
    time_ns end = MAX(start + options->length, scale_fleet_now(fleet));
    scale_fleet_run(fleet, end - scale_fleet_now(fleet) + SETTLE);
    newest = MAX(newest, scale_fleet_newest(fleet));
    scale_day_evaluate(fleet, newest, outcome);
}
