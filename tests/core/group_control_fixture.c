/* See the header. */
#include "group_control_fixture.h"

#include <glib.h>
#include <string.h>

void rig_feed(struct rig *rig, struct group_event event)
{
    event.now = rig->now;
    group_control_step(rig->control, &event, &rig->actions);
    g_assert_cmpuint(rig->actions.wake_at, >, rig->now);
}

const struct group_action *rig_find(const struct rig *rig, enum group_action_kind kind)
{
    for (uint32_t i = 0; i < rig->actions.count; i++) {
        if (rig->actions.items[i].kind == kind) {
            return &rig->actions.items[i];
        }
    }
    return NULL;
}

const struct group_action *rig_find_for(const struct rig *rig, enum group_action_kind kind,
                                        uint32_t database)
{
    for (uint32_t i = 0; i < rig->actions.count; i++) {
        const struct group_action *action = &rig->actions.items[i];
        if (action->kind == kind && action->database == database) {
            return action;
        }
    }
    return NULL;
}

bool rig_recorded(const struct rig *rig, enum group_record_kind kind, enum group_reason reason)
{
    for (uint32_t i = 0; i < rig->actions.count; i++) {
        const struct group_action *action = &rig->actions.items[i];
        if (action->kind == GROUP_ACTION_RECORD_EVENT && action->record.kind == kind &&
            action->record.reason == reason) {
            return true;
        }
    }
    return false;
}

void rig_set_watchers(struct rig *rig, uint32_t count)
{
    struct group_event event = {.kind = GROUP_EVENT_WATCHERS, .watcher_count = count};
    const uint64_t ids[3] = {SELF, PEER1, PEER2};
    for (uint32_t i = 0; i < count; i++) {
        event.watchers[i] = (struct group_watcher){.id = ids[i], .zone = i};
    }
    rig_feed(rig, event);
}

void rig_probe(struct rig *rig, uint32_t database)
{
    rig_feed(rig, (struct group_event){.kind = GROUP_EVENT_PROBE,
                                       .database = database,
                                       .reachable = rig->reachable[database],
                                       .round_trip = MS,
                                       .status = rig->databases[database]});
}

/* Starts with a healthy group: database 0 leads term 5, the others follow it, all hold offset
 * 10. */
void rig_start_with(struct rig *rig, uint32_t watchers,
                    void (*adjust)(struct group_control_options *))
{
    memset(rig, 0, sizeof(*rig));
    rig->now = 1000 * MS;
    group_control_options_init(&rig->options);
    rig->options.group = 7;
    rig->options.watcher = SELF;
    rig->options.database_count = 3;
    rig->options.jitter = 0;
    for (uint32_t i = 0; i < 3; i++) {
        rig->options.database_zone[i] = i;
        rig->reachable[i] = true;
        rig->databases[i] = (struct database_status){
            .role = i == 0 ? DATABASE_ROLE_PRIMARY : DATABASE_ROLE_REPLICA,
            .term = 5,
            .promised_term = 5,
            .held = {5, 10},
            .applied = {5, 10},
        };
    }
    if (adjust != NULL) {
        adjust(&rig->options);
    }
    rig->control = group_control_new(&rig->options, rig->now);
    rig_set_watchers(rig, watchers);
    for (uint32_t i = 0; i < 3; i++) {
        rig_probe(rig, i);
    }
}

void rig_start(struct rig *rig)
{
    rig_start_with(rig, 3, NULL);
}

void rig_stop(struct rig *rig)
{
    group_control_free(rig->control);
}

/* Advances in steps of 50 ms with probes of all databases. Stops early once `until` occurs. */
bool rig_run(struct rig *rig, time_ns duration, enum group_action_kind until)
{
    time_ns end = rig->now + duration;
    while (rig->now < end) {
        rig->now += 50 * MS;
        for (uint32_t i = 0; i < 3; i++) {
            rig_probe(rig, i);
            if (rig_find(rig, until) != NULL) {
                return true;
            }
        }
    }
    return false;
}

void rig_opinion(struct rig *rig, struct group_opinion opinion)
{
    rig->sequence[opinion.watcher] += 1;
    opinion.sequence = rig->sequence[opinion.watcher];
    rig_feed(rig, (struct group_event){.kind = GROUP_EVENT_OPINION, .opinion = opinion});
}

void rig_peer_without_suspicion(struct rig *rig, uint64_t watcher)
{
    rig_opinion(
        rig, (struct group_opinion){.watcher = watcher, .term = 5, .primary = 0, .reachable = 7});
}

/* Reports the result of a command. */
void rig_complete(struct rig *rig, uint64_t command, enum group_command_result result,
                  struct database_status status)
{
    rig_feed(rig, (struct group_event){.kind = GROUP_EVENT_COMMAND,
                                       .command = command,
                                       .result = result,
                                       .status = status});
}

struct database_status rig_promise(struct rig *rig, uint32_t database, uint64_t term)
{
    rig->databases[database].promised_term = term;
    return rig->databases[database];
}

struct database_status rig_promote(struct rig *rig, uint32_t database, uint64_t term)
{
    rig->databases[database].role = DATABASE_ROLE_PRIMARY;
    rig->databases[database].term = term;
    rig->databases[database].promised_term = term;
    rig->databases[database].held = (struct log_position){term, 12};
    return rig->databases[database];
}
