/* The daemon: one struct that holds its parts and the state they share. daemon_start creates the
 * parts in order of dependence, and daemon_stop ends them. */
#ifndef SW_DAEMON_DAEMON_H
#define SW_DAEMON_DAEMON_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "configuration/configuration.h"
#include "daemon/group_runtime.h"
#include "daemon/refusal_watch.h"
#include "daemon/worker_pool.h"
#include "frontend/frontend.h"
#include "generated/messages.h"
#include "generated/settings.h"
#include "session/token.h"
#include "wire/peer_pool.h"
#include "wire/peer_server.h"

struct admin;
struct configuration_share;
struct control;
struct daemon_metrics;
struct decision_log;
struct journal;
struct transaction_table;

/* Groups and tenants in force. Replaced as one unit and read under RCU. */
struct routing_table {
    struct configuration *configuration; /* one reference */
    GHashTable *groups;                  /* id as pointer -> struct group_runtime, one reference */
};

/* Lives from daemon_start to daemon_stop. Fields are set before threads start, except atomics and
 * the routing table. */
struct daemon {
    struct settings settings;
    _Atomic uint32_t zone;                /* id of settings.daemon.zone in the configuration */
    uint64_t incarnation;                 /* wall-clock microseconds at the start */
    uint32_t deployment;                  /* identity, see core/deployment.h */
    _Atomic uint64_t foreign_messages;    /* counted by daemon/foreign_traffic.h */
    _Atomic time_ns foreign_logged_until; /* see daemon/foreign_traffic.h */
    struct token_keys *token_keys;
    struct routing_table *table; /* RCU */
    struct worker_pool *workers;
    struct evidence_service *evidence;
    struct transaction_table *transactions;
    struct peer_pool *peers;
    struct peer_server *peer_server;
    struct frontend *frontend;
    struct control *control;
    struct daemon_metrics *metrics;
    struct admin *admin;
    struct journal *journal;
    struct trace_recorder *traces;
    struct decision_log *decisions;
    struct refusal_watch refusals;
    struct configuration_share *configuration_share; /* the version that other daemons may fetch */
    _Atomic time_ns serve_until; /* time up to which the configuration in force may serve */
    _Atomic bool ready;          /* the control thread runs: requests of other daemons are served */
    _Atomic bool stopping;       /* no new work is accepted */
    _Atomic uint32_t tasks_open; /* started and not answered */
};

/* Starts all parts from checked settings and takes ownership of them. Returns NULL with SW_ERROR if
 * a part fails to start. */
struct daemon *daemon_start(const struct settings *settings, GError **error);

/* Planned stop: refuses new work, waits for running work until `deadline`, then frees everything.
 * Returns the number of requests and transactions that were aborted. */
uint32_t daemon_stop(struct daemon *daemon, time_ns deadline);

/* The configuration in force with one reference, or NULL. Any thread. */
struct configuration *daemon_take_configuration(struct daemon *daemon);

/* A group's run time with one reference, or NULL if this daemon does not run it. Any thread. */
struct group_runtime *daemon_take_group(struct daemon *daemon, uint32_t group);

/* Run times of all groups that this daemon runs, with one reference each, which the array releases.
 * Any thread. */
GPtrArray *daemon_list_groups(struct daemon *daemon);

/* Puts a configuration in force; control thread, or before threads start. Takes a reference. */
void daemon_set_configuration(struct daemon *daemon, struct configuration *configuration);

/* Starts a group that this daemon has come to own. Returns its run time with one reference for the
 * caller, or NULL if the configuration has no such group. Control thread only. */
struct group_runtime *daemon_begin_group(struct daemon *daemon, uint32_t id);

/* Ends a group that this daemon no longer owns: new requests are forwarded, running ones complete.
 * Control thread only. */
void daemon_end_group(struct daemon *daemon, uint32_t id);

/* True while the configuration in force is known to be the newest, or was so within the configured
 * bound. Any thread. */
bool daemon_may_serve(struct daemon *daemon);

/* Counts a task as started. Returns false if the daemon is stopping and the request starts new
 * work; the task is then counted too, until daemon_task_ended. */
bool daemon_task_started(struct daemon *daemon, const struct request *request);

void daemon_task_ended(struct daemon *daemon);

/* Limits of one answer's results. */
const struct result_limits *daemon_result_limits(void);

#endif
