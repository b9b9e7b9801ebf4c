/* What happened in a run, as the clients, the daemons' journals and the faults tell it. */
#ifndef SW_SIM_HISTORY_H
#define SW_SIM_HISTORY_H

#include <glib.h>

#include "core/group_control.h"
#include "generated/errors.h"
#include "generated/messages.h"
#include "sim/sim_entry.h"

/* How one request of a client ended. */
enum sim_attempt_state {
    SIM_ATTEMPT_PENDING,
    SIM_ATTEMPT_ANSWERED,
    SIM_ATTEMPT_NOT_SENT, /* the daemon refused the connection */
    SIM_ATTEMPT_LOST,     /* no answer */
};

/* What a request asks for. */
enum sim_work {
    SIM_WORK_READ,
    SIM_WORK_WRITE,
    SIM_WORK_BEGIN,  /* opens a transaction; the write runs at its commit */
    SIM_WORK_COMMIT, /* ends it, or resolves it by its key */
};

/* One request of a client, and its answer. */
struct sim_attempt {
    uint64_t request_id;
    uint32_t client;
    uint32_t daemon;
    enum sim_work work;
    struct sim_operation *operation; /* of a write */
    time_ns started_at;
    time_ns ended_at;
    enum sim_attempt_state state;
    enum outcome outcome;
    enum error_kind error;
    uint64_t answered_id;      /* request the answer's data belongs to */
    struct sim_entry *seen;    /* of a read */
    struct sim_entry *durable; /* the part of it that a majority held then */
    bool by_replica;           /* a read that a replica answered */
};

/* One journal entry of a daemon. */
struct sim_record {
    time_ns at;
    uint32_t daemon;
    struct group_record record;
};

/* A fault that began. */
struct sim_fault_mark {
    time_ns at;
    uint32_t fault; /* index in the scenario */
    uint32_t target;
};

struct sim_history {
    GPtrArray *attempts; /* of struct sim_attempt, in the order of their start */
    GArray *records;     /* of struct sim_record */
    GArray *faults;      /* of struct sim_fault_mark */
};

void sim_history_init(struct sim_history *history);
void sim_history_clear(struct sim_history *history);

#endif
