/* A watcher of many healthy groups: the real control of each, fed with probe replies and opinions.
 */
#include "sim/scale_watch.h"

#include "core/group_control.h"
#include "core/group_opinion_message.h"
#include "generated/messages.h"
#include "sim/scale_fleet.h"

#include <glib.h>
#include <malloc.h>
#include <time.h>

#define DATABASES 3
#define WATCHERS  3

/* As in the daemon: the least number of probe intervals without a successful probe before a primary
 * is suspected. */
#define PROBES_BEFORE_SUSPICION 4

/* Virtual time moves in steps of this. */
#define STEP (1 * NANOSECONDS_PER_MILLISECOND)

struct watched_group {
    struct group_control *control;
    time_ns probe_at[DATABASES];
    time_ns opinion_at[WATCHERS];
    time_ns wake_at;
    uint64_t sequence;
};

struct watch {
    const struct scale_watch_options *options;
    struct watched_group *groups;
    struct group_actions actions;
    time_ns now;
    uint64_t offset; /* length of the logs, which all grow alike */
    uint64_t probes;
    uint64_t opinions;
    uint64_t opinion_bytes;
    uint64_t core_ns;
    uint64_t codec_ns;
};

static uint64_t cpu_now(void)
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (uint64_t)time.tv_sec * NANOSECONDS_PER_SECOND + (uint64_t)time.tv_nsec;
}

static void to_message(const struct group_opinion *opinion, uint32_t group, struct message *message)
{
    message_init(message, MESSAGE_KIND_OPINION);
    message->opinion = group_opinion_to_message(opinion, group);
    message->opinion.deployment_hash = SCALE_DEPLOYMENT;
}

/* Sends an opinion to both other watchers: encoded once, counted twice. */
static void send_opinion(struct watch *watch, uint32_t group, const struct group_opinion *opinion)
{
    struct message message;
    to_message(opinion, group, &message);
    uint64_t before = cpu_now();
    g_autoptr(GByteArray) bytes = message_encode(&message);
    watch->codec_ns += cpu_now() - before;
    watch->opinions += WATCHERS - 1;
    watch->opinion_bytes += (WATCHERS - 1) * bytes->len;
}

static void step(struct watch *watch, uint32_t group, const struct group_event *event)
{
    struct watched_group *watched = &watch->groups[group];
    uint64_t before = cpu_now();
    group_control_step(watched->control, event, &watch->actions);
    watch->core_ns += cpu_now() - before;
    watched->wake_at = watch->actions.wake_at;
    for (uint32_t i = 0; i < watch->actions.count; i++) {
        const struct group_action *action = &watch->actions.items[i];
        if (action->kind == GROUP_ACTION_SEND_OPINION) {
            send_opinion(watch, group, &action->opinion);
        }
    }
}

/* A healthy database's answer; database 0 leads. */
static void answer_probe(struct watch *watch, uint32_t group, uint32_t database)
{
    struct group_event event = {
        .kind = GROUP_EVENT_PROBE,
        .now = watch->now,
        .database = database,
        .reachable = true,
        .round_trip = 3 * NANOSECONDS_PER_MILLISECOND,
    };
    event.status = (struct database_status){
        .role = database == 0 ? DATABASE_ROLE_PRIMARY : DATABASE_ROLE_REPLICA,
        .term = 1,
        .promised_term = 1,
        .held = {1, watch->offset},
        .applied = {1, watch->offset},
    };
    watch->probes++;
    step(watch, group, &event);
}

/* Feeds another watcher's opinion that all is well, decoded as if received. */
static void receive_opinion(struct watch *watch, uint32_t group, uint32_t watcher)
{
    struct watched_group *watched = &watch->groups[group];
    struct group_opinion opinion = {
        .watcher = watcher + 1,
        .sequence = ++watched->sequence,
        .term = 1,
        .primary = 0,
        .reachable = (1u << DATABASES) - 1,
        .promised = 1,
    };
    struct message message;
    to_message(&opinion, group, &message);
    g_autoptr(GByteArray) bytes = message_encode(&message);
    struct message decoded;
    uint64_t before = cpu_now();
    bool valid = message_decode(bytes->data, bytes->len, &decoded, NULL);
    watch->codec_ns += cpu_now() - before;
    g_assert(valid);
    message_clear(&decoded);
    struct group_event event = {.kind = GROUP_EVENT_OPINION, .now = watch->now, .opinion = opinion};
    step(watch, group, &event);
}

static void tell_watchers(struct watch *watch, uint32_t group)
{
    struct group_event event = {
        .kind = GROUP_EVENT_WATCHERS,
        .now = watch->now,
        .watcher_count = WATCHERS,
    };
    for (uint32_t i = 0; i < WATCHERS; i++) {
        event.watchers[i] = (struct group_watcher){i + 1, i};
    }
    step(watch, group, &event);
}

static void start_group(struct watch *watch, uint32_t group)
{
    struct watched_group *watched = &watch->groups[group];
    struct group_control_options options;
    group_control_options_init(&options);
    options.group = group;
    options.watcher = 1;
    options.preferred_zone = -1;
    options.database_count = DATABASES;
    options.seed = group + 1;
    time_ns detection = watch->options->probe_interval * PROBES_BEFORE_SUSPICION;
    options.suspect_after = MAX(options.suspect_after, detection);
    options.unreachable_after = options.suspect_after;
    for (uint32_t i = 0; i < DATABASES; i++) {
        options.database_zone[i] = i;
        watched->probe_at[i] = watch->now + (group * 7 + i * 31) % 100 * STEP;
    }
    for (uint32_t i = 1; i < WATCHERS; i++) {
        watched->opinion_at[i] = watch->now + (group * 13 + i * 400) % 1000 * STEP;
    }
    watched->control = group_control_new(&options, watch->now);
    tell_watchers(watch, group);
}

static void advance_group(struct watch *watch, uint32_t group)
{
    struct watched_group *watched = &watch->groups[group];
    for (uint32_t i = 0; i < DATABASES; i++) {
        if (watch->now >= watched->probe_at[i]) {
            watched->probe_at[i] += watch->options->probe_interval;
            answer_probe(watch, group, i);
        }
    }
    for (uint32_t i = 1; i < WATCHERS; i++) {
        if (watch->now >= watched->opinion_at[i]) {
            watched->opinion_at[i] += NANOSECONDS_PER_SECOND;
            receive_opinion(watch, group, i);
        }
    }
    if (watch->now >= watched->wake_at) {
        struct group_event tick = {.kind = GROUP_EVENT_TICK, .now = watch->now};
        step(watch, group, &tick);
    }
}

static void report(const struct watch *watch, struct scale_watch_measures *measures)
{
    double seconds = (double)watch->options->length / (double)NANOSECONDS_PER_SECOND;
    double state = 0;
    for (uint32_t i = 0; i < watch->options->groups; i++) {
        state += (double)malloc_usable_size(watch->groups[i].control);
    }
    *measures = (struct scale_watch_measures){
        .probes = (double)watch->probes / seconds,
        .opinions = (double)watch->opinions / seconds,
        .opinion_bytes = (double)watch->opinion_bytes / seconds,
        .core_percent = 100.0 * (double)watch->core_ns / (double)watch->options->length,
        .codec_percent = 100.0 * (double)watch->codec_ns / (double)watch->options->length,
        .state_bytes = state,
    };
}

void scale_watch_run(const struct scale_watch_options *options,
                     struct scale_watch_measures *measures)
{
    struct watch watch = {.options = options, .now = NANOSECONDS_PER_SECOND};
    watch.groups = g_new0(struct watched_group, options->groups);
    for (uint32_t i = 0; i < options->groups; i++) {
        start_group(&watch, i);
    }
    time_ns end = watch.now + options->length;
    while (watch.now < end) {
        watch.now += STEP;
        watch.offset++;
        for (uint32_t i = 0; i < options->groups; i++) {
            advance_group(&watch, i);
        }
    }
    report(&watch, measures);
    for (uint32_t i = 0; i < options->groups; i++) {
        group_control_free(watch.groups[i].control);
    }
    g_free(watch.groups);
}
