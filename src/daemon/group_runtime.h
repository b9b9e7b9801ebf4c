/* One database group at run time on this daemon: the published routing view, the connection pools,
 * the slots (permissions to run one statement at a database), and the state that its requests
 * share. Created by the control thread; read by request threads. */
#ifndef SW_DAEMON_GROUP_RUNTIME_H
#define SW_DAEMON_GROUP_RUNTIME_H

#include <pthread.h>
#include <stdatomic.h>

#include "backend/evidence.h"
#include "backend/pool.h"
#include "configuration/configuration.h"
#include "core/admission.h"
#include "core/retry_budget.h"
#include "core/slot_share.h"
#include "core/types.h"
#include "daemon/tenant_gate.h"
#include "daemon/active_calls.h"
#include "daemon/group_uses.h"

struct evidence_link;
struct shared_pool;

/* One database of the group. */
struct database_runtime {
    struct database_configuration configuration; /* strings owned by the group's configuration */
    struct pool *pool;                           /* the one in `shared` */
    struct shared_pool *shared;                  /* one reference */
    pthread_mutex_t admission_lock;              /* guards the next two */
    struct admission admission;
    struct slot_share share;
    _Atomic time_ns probed_at; /* last extra probe that a read requested */
    /* For routing without the lock: slots in use by this daemon, and requests queued for one. */
    _Atomic uint32_t in_flight;
    _Atomic uint32_t queued;
    _Atomic uint32_t slot_limit; /* the admission's slots */
};

/* Fixed settings of a group's run time. */
struct group_runtime_options {
    const char *daemon_name;
    const char *zone_name;
    struct evidence_service *evidence; /* outlives the group */
    uint32_t owner_count;              /* daemons that share the databases' connections */
    time_ns handover_time;             /* see struct budget_options */
    uint32_t queue_limit;              /* maximum number of requests queued for one database */
    uint32_t open_rate_per_second;
};

/* Called when no write that began before a paused view is running any more. */
typedef void (*group_drained_callback)(void *user, uint32_t runtime_number, uint64_t change);

/* Reference counted: the control thread holds one, the routing table one, every task one. When the
 * configuration changes a group's databases, a successor takes new requests; those in progress
 * complete on the run time that they began with. */
struct group_runtime {
    _Atomic uint32_t references;
    struct group_configuration *group; /* a copy: does not keep the configuration's bundle alive */
    uint32_t number; /* unique in the process; identifies it in probes and events */
    struct group_view
        *view; /* RCU: read by group_runtime_read_view, written by the control thread */
    uint32_t database_count;
    struct database_runtime databases[GROUP_DATABASES_MAX];
    struct retry_budget retry_budget;
    struct tenant_gate *gate;
    struct active_calls calls;
    struct group_uses uses;            /* which databases each owner reports to use */
    struct evidence_service *evidence; /* the daemon's */
    uint32_t evidence_group;           /* the group's number in `evidence` */
    struct evidence_link *link;        /* one reference */
    _Atomic uint32_t settling;      /* enum quorum_settling_state; written by the control thread */
    _Atomic uint64_t ledger_term;   /* last term in which the ledger table was created or found */
    _Atomic uint64_t reads;         /* answered reads */
    _Atomic uint64_t primary_reads; /* answered by the primary although replicas were allowed */

    pthread_mutex_t writes_lock; /* guards the three below */
    uint32_t writes_running;     /* writes and write transactions begun under an unpaused view */
    uint64_t drain_change;       /* planned change that waits for writes_running to be 0; or 0 */
    bool drain_armed;            /* all threads see the paused view */
    group_drained_callback on_drained;
    void *on_drained_user;
};

/* Starts pools and evidence for a group, which is copied. The view is empty until one is published,
 * and the pools open no connection until their position is set. State of the predecessor (or NULL)
 * for the same databases is shared, so that both together stay within the databases' connection
 * limits. */
struct group_runtime *group_runtime_new(const struct group_configuration *group,
                                        const struct group_runtime_options *options,
                                        struct group_runtime *predecessor);

/* True if the run time can be kept under a new configuration of its group. */
bool group_runtime_fits(const struct group_runtime *runtime,
                        const struct group_configuration *group);

struct group_runtime *group_runtime_ref(struct group_runtime *runtime);

/* The last reference closes the pools; all connections must have been returned. */
void group_runtime_unref(struct group_runtime *runtime);

/* True if there is a reference besides the caller's. */
bool group_runtime_is_shared(const struct group_runtime *runtime);

/* Load of a database for routing: this daemon's requests that hold one of its slots or wait for
 * one. Any thread. */
uint32_t database_runtime_load(const struct database_runtime *database);

/* Slots of a database that this daemon may use now; at least 1, since callers divide by it. Any
 * thread. */
uint32_t database_runtime_slots(const struct database_runtime *database);

/* Copies the newest view. Any thread, no lock (RCU). */
void group_runtime_read_view(struct group_runtime *runtime, struct group_view *view);

/* Publishes a view; control thread only. With `change`, on_drained is called once every write that
 * began before has ended. */
void group_runtime_publish(struct group_runtime *runtime, const struct group_view *view,
                           uint64_t change);

/* Copies the newest view and, if it accepts writes, counts one write as running. Returns false if
 * the view is paused: nothing was counted. */
bool group_runtime_begin_write(struct group_runtime *runtime, struct group_view *view);

/* Ends a counted write. */
void group_runtime_end_write(struct group_runtime *runtime);

#endif
