/* Shared by the files of the control thread. Not for use elsewhere. */
#ifndef SW_DAEMON_CONTROL_INTERNAL_H
#define SW_DAEMON_CONTROL_INTERNAL_H

#include <netinet/in.h>
#include <pthread.h>

#include "backend/prober.h"
#include "core/group_control.h"
#include "core/membership.h"
#include "core/ownership.h"
#include "core/quorum_settling.h"
#include "daemon/configuration_fetch.h"
#include "daemon/control.h"
#include "daemon/group_runtime.h"
#include "daemon/journal.h"
#include "trace/trace_recorder.h"

enum control_event_kind {
    CONTROL_EVENT_GROUP,         /* an event for a group's control */
    CONTROL_EVENT_RUNTIME,       /* likewise, from a run time; ignored once that was replaced */
    CONTROL_EVENT_LEAVING,       /* the leaving mark of this daemon is to be set or cleared */
    CONTROL_EVENT_CONFIGURATION, /* the result of a fetch of a configuration */
};

/* One input from another thread. */
struct control_event {
    enum control_event_kind kind;
    uint32_t group;               /* GROUP: id */
    uint32_t runtime;             /* RUNTIME: number of the group's run time */
    struct group_event event;     /* GROUP, RUNTIME */
    bool leaving;                 /* LEAVING */
    struct fetch_result *fetched; /* CONFIGURATION; owned */
};

/* One group that this daemon controls. Control thread only. */
struct controlled_group {
    struct control *control;
    uint32_t id;
    struct group_runtime *runtime; /* one reference */
    struct group_control *machine;
    struct trace_group *trace; /* of `machine`; NULL if it is not recorded */
    time_ns started_at;
    struct quorum_settling settling; /* of its present set of databases */
    time_ns wake_at;
    uint64_t ledger_term;     /* last term for which the ledger table was requested */
    time_ns ledger_expire_at; /* next removal of old keys */
};

/* One daemon, as request threads see it. */
struct member_entry {
    uint64_t id;
    uint64_t watcher; /* id of its incarnation in group_control */
    uint32_t zone;
    struct sockaddr_in address;
    char address_text[ADDRESS_TEXT_SIZE];
    bool present; /* alive or suspect */
    bool usable;  /* present, not leaving, and not absent: see struct member */
    bool self;
};

/* All daemons at a moment. Immutable; replaced under RCU. */
struct member_table {
    uint32_t count;
    struct member_entry entries[]; /* in the order of ids */
};

/* Owners of one group, by member id. */
struct group_owners {
    uint32_t group;
    uint32_t count;
    uint64_t owners[OWNERS_MAX];
};

/* Owners of all groups at a moment, by group id. Immutable; replaced under RCU. */
struct owner_table {
    uint32_t count;
    struct group_owners groups[];
};

struct control_budget;
struct control_configuration;

struct control {
    struct daemon *daemon;
    pthread_t thread;
    int wake_fd; /* eventfd: the inbox has something */
    int socket;  /* UDP to other daemons */
    pthread_mutex_t inbox_lock;
    GQueue inbox;  /* struct control_event, owned */
    bool stopping; /* under inbox_lock */

    /* Control thread only. */
    GHashTable *groups; /* id as pointer -> struct controlled_group */
    GHashTable
        *runtimes; /* number of the run time as pointer -> struct controlled_group, borrowed */
    struct membership *membership; /* NULL until the number of this daemon's zone is known */
    struct membership_actions *actions;
    bool members_changed;
    uint64_t self_id; /* this daemon's id as a member */
    time_ns peers_sweep_at;
    uint64_t watcher_self;
    bool leaving;                                /* requested state of this daemon */
    struct control_configuration *configuration; /* NULL if it is static */

    struct control_budget *budget; /* control thread only */
    _Atomic bool slot_demand;      /* a request was queued since the slots were last processed */
    _Atomic uint32_t groups_held;  /* size of `groups` */

    struct prober *prober;
    uint32_t probe_interval_ms;   /* interval last set in the prober */
    struct journal *journal;      /* the daemon's */
    struct member_table *members; /* RCU */
    struct ownership *ownership;  /* control thread only */
    _Atomic bool owners_settled;  /* membership is complete enough to claim groups */
    bool members_reliable;        /* see control_ownership_tick */
    time_ns owners_settle_at;
    struct owner_table *owners; /* RCU */
};

/* Queues an event; any thread. */
void control_post(struct control *control, const struct control_event *event);

/* Groups: control_groups.c. */
void control_groups_start(struct control *control);
void control_groups_stop(struct control *control);
void control_groups_feed(struct control *control, uint32_t id, const struct group_event *event);
/* Records another owner's report on which of the group's databases it uses. */
void control_groups_record_uses(struct control *control, uint32_t id, uint64_t watcher,
                                uint32_t used);
void control_groups_feed_runtime(struct control *control, uint32_t runtime,
                                 const struct group_event *event);
void control_groups_tick(struct control *control, time_ns now);
time_ns control_groups_next_wakeup(struct control *control);
bool control_groups_runs(struct control *control, uint32_t group);
/* Number of databases of all groups that run here. */
uint32_t control_groups_count_databases(const struct control *control);
/* The run time of a group that runs here, or NULL. */
struct group_runtime *control_groups_runtime(struct control *control, uint32_t group);
void control_groups_begin(struct control *control, uint32_t group);
void control_groups_end(struct control *control, uint32_t id);
/* Replaces run times by the successors that a new configuration brought. */
void control_groups_switch_runtimes(struct control *control);
/* Checks whether the last change of each group's databases is complete. `agreed_at` is when a
 * majority of the daemons was last known to have the configuration in force here; 0 if it does not.
 */
void control_groups_settle(struct control *control, time_ns agreed_at, time_ns now);
/* Sets the watchers of every group from the membership. */
void control_groups_set_watchers(struct control *control, time_ns now);

/* Probes: control_probes.c. */
void control_probes_start(struct control *control);
void control_probes_stop(struct control *control);
/* Starts or stops the probes of the databases of the group's run time. */
void control_probes_add(struct control *control, const struct controlled_group *group);
void control_probes_remove(struct control *control, const struct controlled_group *group);
/* Divides the probes that this daemon may make among the databases of its groups. */
void control_probes_pace(struct control *control);

/* Members: control_members.c. */
/* The entry of a member, or NULL. Any thread, within an RCU read-side section. */
const struct member_entry *control_find_member(const struct member_table *table, uint64_t id);
/* Sends one datagram to another daemon, without retransmission, and counts it. Control thread only.
 */
void control_send(struct control *control, const struct sockaddr_in *to,
                  const struct message *message);
bool control_members_start(struct control *control, GError **error);
/* Joins the other daemons. Requires that the number of this daemon's zone is known. */
void control_members_join(struct control *control);
/* Performs the actions that a call to membership has put into control->actions. */
void control_members_perform(struct control *control);
/* Formats the peer address of a member into `text` (ADDRESS_TEXT_SIZE bytes). */
void control_members_format(const struct member *member, char *text);
void control_members_stop(struct control *control);
void control_members_receive(struct control *control, time_ns now);
void control_members_tick(struct control *control, time_ns now);
time_ns control_members_next_wakeup(struct control *control);
void control_members_set_leaving(struct control *control, bool leaving, time_ns now);

/* Ownership: control_ownership.c. */
void control_ownership_start(struct control *control, uint64_t self);
void control_ownership_stop(struct control *control);
/* The configuration in force has changed its groups, or is the first. */
void control_ownership_set_groups(struct control *control);
void control_ownership_members_changed(struct control *control);
void control_ownership_forget(struct control *control, uint64_t member);
void control_ownership_tick(struct control *control, time_ns now);
/* Copies the owners of a group into `owners` (OWNERS_MAX entries). Any thread (RCU). */
void control_ownership_entries(struct control *control, uint32_t group, struct member_entry *owners,
                               uint32_t *count);

#endif
