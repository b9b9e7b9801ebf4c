/* A client: one session that moves between daemons, reads and writes, and repeats what it may
 * repeat. A pinned one writes at a single daemon without pause: it measures gaps. */
#ifndef SW_SIM_CLIENT_H
#define SW_SIM_CLIENT_H

#include "sim/sim_daemon.h"

struct sim_client {
    struct sim_node node; /* first: daemons answer to it */
    struct sim_run *run;
    uint32_t index;
    struct log_position session;
    struct sim_operation *operation; /* of the write under way; NULL: a read */
    enum sim_work work;
    uint64_t transaction;        /* open, to be committed */
    uint32_t transaction_daemon; /* where it is open */
    struct sim_attempt *attempt; /* the one that it waits for */
    GHashTable *pending;         /* request id -> struct sim_attempt without an answer yet */
    int32_t pinned_daemon;       /* it writes there only, without pause; or -1 */
    time_ns give_up_at;          /* the write is not repeated after this */
    struct sim_operation *last_keyed;
};

struct sim_client *sim_client_new(struct sim_run *run, uint32_t index, uint32_t zone,
                                  int32_t pinned_daemon);
void sim_client_clear(struct sim_client *client);

/* Starts the first request after a short random time. */
void sim_client_start(struct sim_client *client);

/* Connections to the daemon broke: requests there are lost. */
void sim_client_daemon_died(struct sim_run *run, uint32_t daemon);

#endif
