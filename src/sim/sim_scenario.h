/* Scenarios: sizes, load, faults and expectations, read from a key file. */
#ifndef SW_SIM_SCENARIO_H
#define SW_SIM_SCENARIO_H

#include "sim/sim_database.h"
#include "sim/sim_network.h"

#define SIM_FAULTS_MAX 32

enum sim_fault_kind {
    SIM_FAULT_KILL_DATABASE,
    SIM_FAULT_FORGET_DATABASE, /* dies, and restarts empty and without its promise */
    SIM_FAULT_PAUSE_DATABASE,
    SIM_FAULT_LAG_DATABASE,  /* sets apply_delay to `amount` */
    SIM_FAULT_HOLD_DATABASE, /* sets hold_delay to `amount` */
    SIM_FAULT_LOSE_REQUESTS, /* loses the share `probability` of statements */
    SIM_FAULT_LOSE_ANSWERS,  /* loses the share `probability` of answers to statements */
    SIM_FAULT_CUT_ZONE,      /* partitions a zone from all others, in both directions */
    SIM_FAULT_CUT_ZONE_OUT,  /* partitions the outgoing direction only */
    SIM_FAULT_CUT_ZONE_IN,   /* partitions the incoming direction only */
    SIM_FAULT_CUT_PAIR,      /* partitions the primary's zone from one other, in both directions */
    SIM_FAULT_CUT_REPLICATION, /* cuts a database's replication links, and only these */
    SIM_FAULT_KILL_DAEMON,
    SIM_FAULT_PAUSE_DAEMON,
    SIM_FAULT_DRAIN,
    SIM_FAULT_UNDRAIN,
    SIM_FAULT_COUNT,
};

/* The event that triggers a fault. All but TIME wait until `at` and then for the first such event.
 */
enum sim_trigger {
    SIM_TRIGGER_TIME,
    SIM_TRIGGER_FENCE_STARTED,  /* a daemon starts a failover attempt */
    SIM_TRIGGER_FENCE_MAJORITY, /* a daemon is about to promote */
    SIM_TRIGGER_PROMOTED,       /* a daemon received the confirmation of its promotion */
    SIM_TRIGGER_CHANGE_STARTED, /* a daemon pauses writes for a planned change */
    SIM_TRIGGER_WRITE_SENT,     /* a daemon has sent a write */
    SIM_TRIGGER_BEFORE_ANSWER,  /* a daemon is about to acknowledge a write */
    SIM_TRIGGER_COUNT,
};

enum sim_target {
    SIM_TARGET_RANDOM,
    SIM_TARGET_INDEX,
    SIM_TARGET_PRIMARY, /* the primary, or its zone */
    SIM_TARGET_REPLICA, /* a random one */
    SIM_TARGET_ACTOR,   /* the daemon of the triggering event */
    SIM_TARGET_ALL,
    SIM_TARGET_COUNT,
};

struct sim_fault {
    enum sim_fault_kind kind;
    enum sim_trigger trigger;
    enum sim_target target;
    uint32_t index;
    time_ns at;        /* since the start of the load */
    time_ns at_spread; /* a random part of this is added */
    time_ns duration;  /* 0: until the end of the scenario */
    time_ns every;     /* interval of repetition; 0: once */
    time_ns amount;
    double probability;
    uint32_t
        skip; /* a random number of triggering events, up to this, pass before the fault starts */
};

/* Conditions that must hold besides the guarantees. */
struct sim_expectations {
    bool no_failover;        /* no primary may be replaced */
    bool no_failed_requests; /* every answer must be `done` */
    time_ns write_gap_max;   /* longest time without an acknowledged write; 0: not checked */
    uint32_t failovers_max;  /* most primaries promoted; 0: not checked */
    time_ns
        leaving_bound; /* a drained database must get no work later than this; 0: not checked, for
                          scenarios whose faults prevent the replacement of a drained primary */
};

struct sim_scenario {
    char *name;
    char *description;
    time_ns duration; /* of the load and the faults */
    time_ns settle;   /* time after the faults have ended, before the final state is checked */
    uint32_t zones;
    uint32_t daemons;
    uint32_t databases;
    uint32_t clients;
    bool writers; /* adds a client at each daemon that writes there without pause */
    time_ns client_latency;
    time_ns think_time;
    time_ns request_deadline;
    double read_share;
    double unkeyed_share;     /* of writes */
    double transaction_share; /* of writes: sent as a transaction that is begun, kept open, and
                                 committed */
    time_ns transaction_time; /* longest time that a transaction is kept open */
    double same_key_share;    /* of keyed writes: sent to two daemons at once */
    double reused_key_share;  /* of keyed writes: sent under an old key with another body */
    struct sim_network_options network;
    struct sim_database_options database;
    uint32_t fault_count;
    struct sim_fault faults[SIM_FAULTS_MAX];
    struct sim_expectations expect;
};

/* Reads a scenario. NULL and an error if the file is not valid. Free with sim_scenario_free(). */
struct sim_scenario *sim_scenario_load(const char *path, GError **error);
void sim_scenario_free(struct sim_scenario *scenario);

const char *sim_fault_kind_name(enum sim_fault_kind kind);

#endif
