/* Internal to the files of the simulated fleet: its state and the functions that they call in each
 * other. */
#ifndef SW_SIM_SCALE_FLEET_INTERNAL_H
#define SW_SIM_SCALE_FLEET_INTERNAL_H

#include "core/budget.h"
#include "core/group_control.h"
#include "sim/scale_fleet.h"

/* Kinds of events in the network's queue. */
enum scale_event_kind {
    SCALE_EVENT_DATAGRAM, /* payload: struct scale_payload; from */
    SCALE_EVENT_WAKEUP,   /* of the daemon's core objects */
    SCALE_EVENT_FORWARD,  /* the daemon forwards work on every group */
    SCALE_EVENT_HEAD,     /* the store replies with its newest version: number; 0: no reply */
    SCALE_EVENT_FETCHED,  /* the store replies with a configuration: number; 0: no reply */
    SCALE_EVENT_CONNECT,  /* a connection reaches a database; number: see connection_number */
    SCALE_EVENT_LOCK,     /* the connection requests its number's lock */
    SCALE_EVENT_OPENED,   /* the daemon receives the confirmation of the number */
    SCALE_EVENT_TAKEN,    /* the daemon receives the message that another holds the number */
    SCALE_EVENT_FAILED,   /* the daemon receives the failure of the connect */
    SCALE_EVENT_CLOSE,    /* the close arrives at the database */
    SCALE_EVENT_CLOSED,   /* the daemon receives the confirmation of the close */
    SCALE_EVENT_LEAVE,    /* a planned stop ends; number: time until the next start, or 0 */
    SCALE_EVENT_START,    /* number: 1 for a replaced machine */
    SCALE_EVENT_CONTROL,  /* a group's probes or control are due; number: group, from: serial */
    SCALE_EVENT_REQUEST,  /* a request arrives at a database; payload: struct scale_database_request
                           */
    SCALE_EVENT_REPLY,    /* its reply, or its time-out, arrives at the daemon; the same payload */
    SCALE_EVENT_KILL,     /* the daemon's machine is lost */
};

/* A message in transit: encoded, or as a copy. */
struct scale_payload {
    GByteArray *bytes; /* NULL if not encoded */
    struct message message;
};

void scale_payload_free(gpointer data);

/* The kinds of requests that a daemon sends to a database over its control connection. */
enum scale_request_kind {
    SCALE_REQUEST_OPEN, /* opens the connection */
    SCALE_REQUEST_STATUS,
    SCALE_REQUEST_FENCE,
    SCALE_REQUEST_PROMOTE,
    SCALE_REQUEST_FOLLOW,
    SCALE_REQUEST_SET_LEAVING,
};

struct scale_database_request {
    struct scale_payload payload; /* empty; first member, so that all payloads are freed alike */
    enum scale_request_kind kind;
    uint32_t group;
    uint32_t place;  /* index of the database in the group */
    uint32_t serial; /* serial of the control that sent the request */
    uint64_t command;
    uint64_t term;
    uint64_t coordinator;
    bool leaving;
    time_ns sent_at;
    time_ns timeout;
    enum group_command_result result; /* of the reply */
    struct database_status status;    /* of the reply, unless it was lost */
};

/* The control connection of one database. */
struct scale_probe {
    time_ns next_at;
    bool open;
    bool waiting;
};

/* The control of one group at a daemon. */
struct scale_control {
    struct group_control *machine;
    uint32_t serial; /* distinguishes its events from those of an earlier control of the group */
    time_ns began_at;
    time_ns wake_at;  /* of the group control */
    time_ns event_at; /* of its next SCALE_EVENT_CONTROL */
    uint64_t learned; /* term whose primary it holds to be usable */
    struct scale_probe probes[SCALE_GROUP_DATABASES];
};

/* The connections of one group at a daemon that owns the group or hands it over. */
struct scale_holding {
    uint32_t group;
    uint64_t removed; /* owner that the last change removed, or 0 */
    struct budget *budgets[SCALE_GROUP_DATABASES];
    struct scale_control control; /* its `machine` is NULL without group control */
};

struct scale_daemon {
    uint64_t id;
    uint64_t start;
    uint32_t index;
    uint32_t life; /* incremented at each start and end; events of an earlier life are ignored */
    uint32_t generation; /* incremented when the machine is replaced */
    uint16_t zone;
    bool running;
    bool paused;
    bool leaving;
    time_ns started_at;
    time_ns ended_at;
    time_ns mark_at; /* time of its leaving mark */
    time_ns head_asked_at;
    time_ns wake_at; /* of its newest wake-up event */
    time_ns probe_interval;
    struct membership *membership;
    struct ownership *ownership;
    struct dissemination *dissemination;
    struct currency *currency;
    GHashTable *holdings; /* group -> struct scale_holding */
    GArray *waiting;      /* struct scale_event buffered while paused */
    struct scale_counters counters;
    time_ns counted_from;
};

struct scale_database {
    uint16_t zone;
    uint32_t unnumbered; /* connections without a number */
    uint32_t numbered;
    int32_t holder[BUDGET_CONNECTIONS_MAX]; /* daemon that holds each number, or -1 */
    uint32_t holder_life[BUDGET_CONNECTIONS_MAX];
    bool down; /* its machine is lost */
    struct database_status status;
    uint64_t promised_to;
};

/* One change of primary, from the loss of the old one. */
struct scale_change {
    bool open;
    bool blocked; /* at some time fewer than a majority of the databases were up and reachable */
    time_ns failed_at;
    time_ns confirmed_at; /* first agreement of the watchers; 0: not yet, as in the next fields */
    time_ns fenced_at;    /* a majority had promised, before the promotion */
    time_ns promoted_at;
    time_ns learned_at; /* the last owner held the new primary to be usable */
    uint64_t term;
};

/* The true state of a group, as opposed to what daemons know. */
struct scale_group {
    struct ownership_group ownership;
    uint64_t term;
    time_ns changed_at;
    uint16_t changed_in; /* zone of the owner that published the change */
    time_ns known_worst; /* longest time until a daemon that was not partitioned received it */
    time_ns log_at;      /* time up to which the log has been extended */
    struct scale_change change;
    bool kill_coordinator;
};

/* The location of a machine. */
struct scale_place {
    uint16_t zone;
    uint32_t rack;
};

/* One published configuration; its version is its index. */
struct scale_publication {
    time_ns at;
    time_ns worst; /* longest time until in force at a daemon that was not partitioned */
};

struct scale_fleet {
    struct scale_fleet_options options;
    struct scale_network *network;
    struct scale_daemon *daemons;
    GHashTable *by_id; /* uint64_t * -> struct scale_daemon */
    struct scale_group *groups;
    uint32_t group_count;
    struct scale_database *databases;
    struct budget_options budget;
    bool store_up;
    time_ns store_second; /* the second in which `store_reads` are counted */
    uint32_t store_reads;
    uint32_t last_serial;                    /* of the controls */
    GArray *publications;                    /* struct scale_publication; the first is unused */
    time_ns zone_healed_at[SCALE_ZONES_MAX]; /* end of the zone's last partition */
    bool zone_cut[SCALE_ZONES_MAX];
    bool zone_split[SCALE_ZONES_MAX];
    struct scale_place rack_cut_at; /* the rack that is partitioned, or was last */
    bool rack_cut;
    time_ns rack_healed_at;
    struct scale_measures measures;

    struct membership_actions *actions; /* reused */
    time_ns cpu_mark;                   /* processor time when the current step began */
    uint64_t cpu_codec;                 /* the part of it that was spent in the codec */
};

/* -- scale_daemon.c: one simulated daemon -- */

void scale_daemon_start(struct scale_fleet *fleet, struct scale_daemon *daemon);
void scale_daemon_end(struct scale_fleet *fleet, struct scale_daemon *daemon);
void scale_daemon_handle(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         struct scale_event *event);
void scale_daemon_leave_begin(struct scale_fleet *fleet, struct scale_daemon *daemon);
void scale_daemon_leave_end(struct scale_fleet *fleet, struct scale_daemon *daemon);
void scale_daemon_publish_status(struct scale_fleet *fleet, struct scale_daemon *daemon,
                                 const struct group_status *status);

/* -- scale_transport.c: messages between daemons -- */

struct member_address scale_daemon_address(const struct scale_daemon *daemon);

/* The daemon of an address or id; NULL if it no longer exists. */
struct scale_daemon *scale_daemon_at(struct scale_fleet *fleet, struct member_address address);
struct scale_daemon *scale_daemon_of_id(struct scale_fleet *fleet, uint64_t id);

/* Sends a copy of the message. */
void scale_transport_send(struct scale_fleet *fleet, struct scale_daemon *from,
                          struct scale_daemon *to, const struct message *message,
                          enum scale_traffic traffic, bool reliable);

/* Decodes the message of a payload. False if it can't be decoded. */
bool scale_transport_open(struct scale_fleet *fleet, struct scale_daemon *to,
                          struct scale_payload *payload, struct message *out);

/* The locations of a daemon and of a database (by its index over all groups). */
struct scale_place scale_place_of_daemon(const struct scale_fleet *fleet,
                                         const struct scale_daemon *daemon);
struct scale_place scale_place_of_database(const struct scale_fleet *fleet, uint32_t index);

/* True if a partitioned rack separates the two locations. */
bool scale_places_partitioned(const struct scale_fleet *fleet, struct scale_place one,
                              struct scale_place other);

/* True if a message sent now from one daemon can't reach the other. */
bool scale_transport_cut(const struct scale_fleet *fleet, const struct scale_daemon *from,
                         const struct scale_daemon *to);

/* Processor time: marks the start of a step, and adds its time to the counters. */
void scale_cpu_begin(struct scale_fleet *fleet);
void scale_cpu_end(struct scale_fleet *fleet, struct scale_daemon *daemon);

/* -- scale_holdings.c: owned groups, their budgets and the databases' side -- */

void scale_holdings_init(struct scale_fleet *fleet);
void scale_holdings_changed(struct scale_fleet *fleet, struct scale_daemon *daemon,
                            const GArray *changes, bool handing_over);
void scale_holdings_tick(struct scale_fleet *fleet, struct scale_daemon *daemon);
time_ns scale_holdings_wakeup(const struct scale_daemon *daemon);
void scale_holdings_notice(struct scale_fleet *fleet, struct scale_daemon *daemon,
                           const struct budget_notice *notice);
void scale_holdings_end(struct scale_fleet *fleet, struct scale_daemon *daemon,
                        time_ns detect_time);
void scale_holdings_event(struct scale_fleet *fleet, struct scale_daemon *daemon,
                          const struct scale_event *event);
bool scale_holdings_serve(const struct scale_daemon *daemon, uint32_t group);
size_t scale_holdings_memory(const struct scale_daemon *daemon);

struct scale_holding *scale_holdings_find(const struct scale_daemon *daemon, uint32_t group);

/* -- scale_control.c: control of the groups that a daemon owns -- */

/* Starts the control of a group that the daemon owns from now on, ends it, and updates the watchers
 * after a change of owners. */
void scale_control_begin(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         struct scale_holding *holding);
void scale_control_end(struct scale_holding *holding);
/* Sets the daemon's probe interval after a change of the number of databases that it watches. */
void scale_control_update_probe_interval(struct scale_fleet *fleet, struct scale_daemon *daemon);
void scale_control_owners_changed(struct scale_fleet *fleet, struct scale_daemon *daemon);

void scale_control_due(struct scale_fleet *fleet, struct scale_daemon *daemon,
                       const struct scale_event *event);
void scale_control_answered(struct scale_fleet *fleet, struct scale_daemon *daemon,
                            const struct scale_database_request *request);
void scale_control_opinion(struct scale_fleet *fleet, struct scale_daemon *daemon,
                           const struct watcher_opinion *opinion);
size_t scale_control_memory(const struct scale_daemon *daemon);

/* -- scale_database.c: the databases' side of control -- */

void scale_databases_init(struct scale_fleet *fleet);
/* Delivers a request to its database; takes ownership of the payload. */
void scale_database_serve(struct scale_fleet *fleet, const struct scale_event *event);
/* A zone or rack has been partitioned: groups whose primary is there have lost it. */
void scale_databases_cut(struct scale_fleet *fleet);

/* -- scale_observe.c: measurements -- */

void scale_observe_failed(struct scale_fleet *fleet, struct scale_group *group);
void scale_observe_record(struct scale_fleet *fleet, struct scale_daemon *daemon, uint32_t group,
                          const struct group_record *record);
void scale_observe_promoted(struct scale_fleet *fleet, struct scale_group *group, uint64_t term,
                            uint16_t zone);
void scale_observe_learned(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                           const struct scale_holding *holding);
/* Ends the measurement of a group's last change and of how it spread. */
void scale_observe_close(struct scale_fleet *fleet, struct scale_group *group);

void scale_observe_applied(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                           uint64_t before, uint64_t version);
void scale_observe_status(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                          const struct group_status *status);
void scale_observe_member(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                          const struct membership_action *action);
/* The daemon raised this many suspicions in its last step, whose actions are in fleet->actions. */
void scale_observe_suspicions(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                              uint64_t raised);
void scale_observe_serving(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                           bool serving);

/* True if the zone is partitioned, or was at some time since `since`. */
bool scale_was_cut(const struct scale_fleet *fleet, uint16_t zone, time_ns since);

/* The same for a daemon: its zone or its rack. */
bool scale_daemon_was_cut(const struct scale_fleet *fleet, const struct scale_daemon *daemon,
                          time_ns since);

#endif
