/* The history of a run: the clients' attempts, the daemons' journal records and the faults. */
#ifndef SW_SIM_HISTORY_H
#define SW_SIM_HISTORY_H

#include <glib.h>

#include "core/group_control.h"
#include "generated/errors.h"
#include "generated/messages.h"
#include "sim/sim_entry.h"

/* How a client's attempt ended. */
enum sim_attempt_state {
    SIM_ATTEMPT_PENDING,
    SIM_ATTEMPT_ANSWERED,
    SIM_ATTEMPT_NOT_SENT, /* the daemon refused the connection */
    SIM_ATTEMPT_LOST,     /* no answer */
};

/* The kind of work that a request asks for. */
enum sim_work {
    SIM_WORK_READ,
    SIM_WORK_WRITE,
    SIM_WORK_BEGIN,  /* opens a transaction; its write runs at the commit */
    SIM_WORK_COMMIT, /* commits it, or resolves its outcome by its key */
};

/* One attempt of a client, and the answer to it. */
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
    uint64_t answered_id;      /* id of the request that the answer's data belongs to */
    struct sim_entry *seen;    /* of a read */
    struct sim_entry *durable; /* last entry of `seen`'s log that a majority held at that time */
    bool by_replica;           /* the read was answered by a replica */
};

/* One journal entry of a daemon. */
struct sim_record {
    time_ns at;
    uint32_t daemon;
    struct group_record record;
};

/* The start of a fault. */
struct sim_fault_mark {
    time_ns at;
    uint32_t fault; /* its index in the scenario */
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
