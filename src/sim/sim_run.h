/* One run: a simulated world with a group of databases, daemons and clients, the faults of a
 * scenario, and the history that the checker evaluates. */
#ifndef SW_SIM_RUN_H
#define SW_SIM_RUN_H

#include "core/group_control.h"
#include "sim/sim_database.h"
#include "sim/sim_history.h"
#include "sim/sim_network.h"
#include "sim/sim_scenario.h"

#include <stdio.h>

/* Time for the group to elect its first primary before the load starts. */
#define SIM_BOOTSTRAP_TIME (6 * SIM_SECOND)

struct sim_daemon;
struct sim_client;

/* TEST ONLY: switches that each turn one mechanism off. */
enum sim_mutation {
    SIM_MUTATION_NONE,
    SIM_MUTATION_TRUST_COMMIT,
    SIM_MUTATION_NO_FENCE,
    SIM_MUTATION_SINGLE_WATCHER_DEPOSES,
    SIM_MUTATION_IGNORE_GUARD,
    SIM_MUTATION_RESEND_UNKEYED,
    SIM_MUTATION_NO_LEDGER,        /* databases keep no idempotency keys */
    SIM_MUTATION_LOST_IS_NOT_SENT, /* a lost answer is treated as a request that was not sent */
    SIM_MUTATION_REUSE_CONNECTION, /* a connection is reused after a lost answer */
    SIM_MUTATION_IGNORE_LEAVING,
    SIM_MUTATION_NO_PAUSE,
    SIM_MUTATION_TRUST_FORGETFUL,
    SIM_MUTATION_IGNORE_STALLED_REPLICATION,
    SIM_MUTATION_COUNT,
};

/* Name of a mutation on the command line. */
const char *sim_mutation_name(enum sim_mutation mutation);

/* Finds a mutation by name; false if there is none. */
bool sim_mutation_from_name(const char *name, enum sim_mutation *mutation);

struct sim_run {
    const struct sim_scenario *scenario;
    uint64_t seed;
    enum sim_mutation mutation;
    struct sim_world *world;
    struct sim_network network;
    uint32_t database_count;
    struct sim_database databases[GROUP_DATABASES_MAX];
    struct sim_database *database_pointers[GROUP_DATABASES_MAX];
    GHashTable *keys;
    uint32_t daemon_count;
    struct sim_daemon *daemons[GROUP_WATCHERS_MAX];
    uint32_t client_count;
    struct sim_client **clients;
    struct sim_history history;
    uint32_t slots_taken[GROUP_DATABASES_MAX]; /* slots in use at each database, over all daemons */
    uint32_t slots_peak[GROUP_DATABASES_MAX];
    uint64_t slot_messages;        /* messages sent to share slots */
    time_ns clients_stop_at;       /* end of the load; also of faults without a duration */
    struct sim_node operator_node; /* runs the events of faults and drain requests; never fails */
    time_ns load_starts_at;
    uint32_t faults_fired;                /* bit per fault that an event has triggered */
    uint32_t fault_skips[SIM_FAULTS_MAX]; /* matching events that still pass before the fault is
                                             triggered */
    FILE *trace;                          /* file for the core's events; NULL: not recorded */
    time_ns trace_until;                  /* end of the recording */
};

/* Builds the world, runs the scenario to its end, ends all faults and lets the group settle. */
struct sim_run *sim_run_new(const struct sim_scenario *scenario, uint64_t seed,
                            enum sim_mutation mutation, bool with_journal);
void sim_run_execute(struct sim_run *run);
void sim_run_free(struct sim_run *run);

/* The database that leads the highest term and may write, or NULL. */
struct sim_database *sim_run_primary(struct sim_run *run);

#endif
