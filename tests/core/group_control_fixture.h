/* One watcher's control of a group of three databases in three zones, and the statuses that these
 * report. */
#ifndef SW_TESTS_CORE_GROUP_CONTROL_FIXTURE_H
#define SW_TESTS_CORE_GROUP_CONTROL_FIXTURE_H

#include "core/group_control.h"

#define MS NANOSECONDS_PER_MILLISECOND

#define SELF  11
#define PEER1 22
#define PEER2 33

/* One watcher and the status of each of its three databases. */
struct rig {
    struct group_control *control;
    struct group_actions actions;
    struct group_control_options options;
    struct database_status databases[3];
    bool reachable[3];
    uint64_t sequence[100];
    time_ns now;
};

/* Feeds an event at the current time; the resulting actions are in rig->actions. */
void rig_feed(struct rig *rig, struct group_event event);
/* The first action of a kind, or of a kind for a database, or NULL. Valid until the next event. */
const struct group_action *rig_find(const struct rig *rig, enum group_action_kind kind);
const struct group_action *rig_find_for(const struct rig *rig, enum group_action_kind kind,
                                        uint32_t database);
bool rig_recorded(const struct rig *rig, enum group_record_kind kind, enum group_reason reason);
/* Sets the first `count` of SELF, PEER1 and PEER2 as watchers, each in its own zone. */
void rig_set_watchers(struct rig *rig, uint32_t count);
/* Feeds a probe of the database with its status in the rig. */
void rig_probe(struct rig *rig, uint32_t database);
/* A healthy group: database 0 leads term 5, the others follow it, all hold offset 10. `adjust` may
 * be NULL. */
void rig_start_with(struct rig *rig, uint32_t watchers,
                    void (*adjust)(struct group_control_options *));
void rig_start(struct rig *rig);
void rig_stop(struct rig *rig);
/* Advances in steps of 50 ms with probes of all databases. Stops early, with true, once `until`
 * occurs. */
bool rig_run(struct rig *rig, time_ns duration, enum group_action_kind until);
/* Feeds another watcher's opinion, with its next sequence number. */
void rig_opinion(struct rig *rig, struct group_opinion opinion);
/* Feeds the opinion of a peer that does not suspect the primary. */
void rig_peer_without_suspicion(struct rig *rig, uint64_t watcher);
/* Feeds the result of a command. */
void rig_complete(struct rig *rig, uint64_t command, enum group_command_result result,
                  struct database_status status);
/* Sets a database's promised term, or makes it the primary of a term; returns its new status. */
struct database_status rig_promise(struct rig *rig, uint32_t database, uint64_t term);
struct database_status rig_promote(struct rig *rig, uint32_t database, uint64_t term);

#endif
