/* The control thread. It alone drives the core's control state machines (one group_control per
 * owned group, and the membership of daemons) with events from the prober, the datagram socket and
 * the clock, performs their actions, and publishes views for the request threads. */
#ifndef SW_DAEMON_CONTROL_H
#define SW_DAEMON_CONTROL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

struct control;
struct daemon;
struct group_runtime;

/* Maximum number of a group's owners that a request may be forwarded to. */
#define OWNERS_MAX 9

/* Size of "255.255.255.255:65535" with the terminating NUL. */
#define ADDRESS_TEXT_SIZE 24

/* The current owners of a group. */
struct owner_list {
    bool self; /* this daemon is one of them */
    uint32_t count;
    char addresses[OWNERS_MAX][ADDRESS_TEXT_SIZE]; /* peer addresses of the others, nearest first */
    uint64_t watchers[OWNERS_MAX]; /* their watcher ids in opinions, in the same order */
    uint64_t self_watcher;         /* this daemon's watcher id, if it is an owner */
};

/* Starts the thread. Requires that the daemon's configuration is in force. */
struct control *control_start(struct daemon *daemon, GError **error);

/* Ends the thread; with `leave`, announces that to the other daemons first. */
void control_stop(struct control *control);

/* Sets or clears this daemon's leaving mark. Others hand a leaving daemon no groups, and its groups
 * move to others. */
void control_set_leaving(struct control *control, bool leaving);

/* True while this daemon serves requests of groups, including those that are being handed over. Any
 * thread. */
bool control_holds_groups(struct control *control);

/* One daemon of the deployment, for operators. */
struct control_member {
    uint64_t id;
    char address[ADDRESS_TEXT_SIZE];
    uint32_t zone;
    bool usable; /* may own groups: present, not leaving, not temporarily absent */
    bool self;
};

/* All members known, as an array of struct control_member. Any thread. */
GArray *control_list_members(struct control *control);

/* True once this daemon's view of the membership is complete enough to own groups and to forward
 * requests. Any thread. */
bool control_is_settled(struct control *control);

/* The owners of a group. Any thread. */
void control_owners_of(struct control *control, uint32_t group, struct owner_list *owners);

/* Peer address of a daemon by name, or NULL if it is not a member or has left; the caller frees it.
 * Any thread. */
char *control_address_of(struct control *control, const char *daemon_name);

/* Reports that a request was queued for a slot, so that slots are requested from the other owners.
 * Any thread. */
void control_report_slot_demand(struct control *control);

/* Probes a database now, unless that was requested within the last few milliseconds. Any thread. */
void control_probe_now(struct control *control, struct group_runtime *group, uint32_t database);

/* Requests that a database is drained or put back into service. Any thread. */
void control_drain_database(struct control *control, uint32_t group, uint32_t database,
                            bool leaving);

#endif
