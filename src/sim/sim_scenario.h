/* Scenarios: sizes, load, faults and expectations, read from a key file. */
#ifndef SW_SIM_SCENARIO_H
#define SW_SIM_SCENARIO_H

#include "sim/sim_database.h"
#include "sim/sim_network.h"

#define SIM_FAULTS_MAX 32

enum sim_fault_kind {
    SIM_FAULT_KILL_DATABASE,
    SIM_FAULT_FORGET_DATABASE, /* dies, and comes back empty and without its promise */
    SIM_FAULT_PAUSE_DATABASE,
    SIM_FAULT_LAG_DATABASE,    /* apply_delay becomes `amount` */
    SIM_FAULT_HOLD_DATABASE,   /* hold_delay becomes `amount` */
    SIM_FAULT_LOSE_REQUESTS,   /* share `probability` of statements */
    SIM_FAULT_LOSE_ANSWERS,    /* share `probability` of answers to statements */
    SIM_FAULT_CUT_ZONE,        /* both ways from all other zones */
    SIM_FAULT_CUT_ZONE_OUT,    /* nothing gets out */
    SIM_FAULT_CUT_ZONE_IN,     /* nothing gets in */
    SIM_FAULT_CUT_PAIR,        /* both ways between the primary's zone and one other */
    SIM_FAULT_CUT_REPLICATION, /* a database's links to the others of its group, and only these */
    SIM_FAULT_KILL_DAEMON,
    SIM_FAULT_PAUSE_DAEMON,
    SIM_FAULT_DRAIN,
    SIM_FAULT_UNDRAIN,
    SIM_FAULT_COUNT,
};

/* What sets a fault off. All but TIME wait until `at` and then for the first such moment. */
enum sim_trigger {
    SIM_TRIGGER_TIME,
    SIM_TRIGGER_FENCE_STARTED,  /* a daemon begins an attempt */
    SIM_TRIGGER_FENCE_MAJORITY, /* a daemon is about to promote */
    SIM_TRIGGER_PROMOTED,       /* a daemon learned that its promotion succeeded */
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
    SIM_TARGET_ACTOR,   /* the daemon of the trigger */
    SIM_TARGET_ALL,
    SIM_TARGET_COUNT,
};

struct sim_fault {
    enum sim_fault_kind kind;
    enum sim_trigger trigger;
    enum sim_target target;
    uint32_t index;
    time_ns at;        /* from the start of the load */
    time_ns at_spread; /* up to so much later, by the seed */
    time_ns duration;  /* 0: until the end of the scenario */
    time_ns every;     /* repeats; 0: once */
    time_ns amount;
    double probability;
    uint32_t skip; /* of a trigger: so many moments pass first, by the seed up to this number */
};

/* What must hold besides the guarantees. */
struct sim_expectations {
    bool no_failover;        /* no primary is replaced */
    bool no_failed_requests; /* every answer is `done` */
    time_ns write_gap_max;   /* no longer time without an acknowledged write; 0: not judged */
    uint32_t failovers_max;  /* no more primaries are promoted; 0: not judged */
    time_ns leaving_bound;   /* a drained database gets no work later than this; 0: not judged,
                                where faults keep a drained primary from being replaced */
};

struct sim_scenario {
    char *name;
    char *description;
    time_ns duration; /* of the load and the faults */
    time_ns settle;   /* healed, before the final state is judged */
    uint32_t zones;
    uint32_t daemons;
    uint32_t databases;
    uint32_t clients;
    bool writers; /* and one at each daemon that writes without pause */
    time_ns client_latency;
    time_ns think_time;
    time_ns request_deadline;
    double read_share;
    double unkeyed_share;     /* of writes */
    double transaction_share; /* of writes: begun, held open, and committed */
    time_ns transaction_time; /* held open up to so long */
    double same_key_share;    /* of keyed writes sent to two daemons at once */
    double reused_key_share;  /* of keyed writes that repeat an old key with another body */
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
