/* The control thread: it alone drives the core's control state machines (one group_control per
 * owned group, membership of daemons) with events from the prober, the datagram socket and the
 * clock, performs their actions, and publishes views for the request threads. */
#ifndef SW_DAEMON_CONTROL_H
#define SW_DAEMON_CONTROL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

struct control;
struct daemon;
struct group_runtime;

/* Owners of one group that a request may be sent to, at most. */
#define OWNERS_MAX 9

/* Room for "255.255.255.255:65535". */
#define ADDRESS_TEXT_SIZE 24

/* Who owns a group now. */
struct owner_list {
    bool self; /* this daemon is one of them */
    uint32_t count;
    char addresses[OWNERS_MAX][ADDRESS_TEXT_SIZE]; /* the others' peer addresses, nearest first */
    uint64_t watchers[OWNERS_MAX];                 /* ids in opinions, in the same order */
    uint64_t self_watcher;                         /* this daemon's, if it is an owner */
};

/* Starts the thread. The daemon's configuration is in force already. */
struct control *control_start(struct daemon *daemon, GError **error);

/* Ends the thread; with `leave`, tells the other daemons first. */
void control_stop(struct control *control);

/* Marks this daemon as leaving, or takes the mark back: others hand a leaving one nothing more, and
 * its groups go to others. */
void control_set_leaving(struct control *control, bool leaving);

/* True while requests are served from groups of this daemon, those being handed over included. Any
 * thread. */
bool control_holds_groups(struct control *control);

/* One daemon of the deployment, for operators. */
struct control_member {
    uint64_t id;
    char address[ADDRESS_TEXT_SIZE];
    uint32_t zone;
    bool usable; /* may own groups */
    bool self;
};

/* All members known, as an array of struct control_member. Any thread. */
GArray *control_list_members(struct control *control);

/* True once this daemon knows the others well enough to own groups and to forward. Any thread. */
bool control_is_settled(struct control *control);

/* Who owns a group. Any thread. */
void control_owners_of(struct control *control, uint32_t group, struct owner_list *owners);

/* Peer address of a daemon by name, or NULL if it is no member or known to be gone; the caller
 * frees it. Any thread. */
char *control_address_of(struct control *control, const char *daemon_name);

/* Has a database probed now, if that was not asked for in the last few milliseconds. Any thread. */
/* A request was queued for a slot: the other owners may have one to lend. Any thread. */
void control_slots_wanted(struct control *control);

void control_probe_now(struct control *control, struct group_runtime *group, uint32_t database);

/* Asks for a database to be drained or taken back. Any thread. */
void control_drain_database(struct control *control, uint32_t group, uint32_t database,
                            bool leaving);

#endif
