/* A client: one session that moves between daemons, reads and writes, and retries requests where
 * that is safe. A pinned client writes at a single daemon without pause and measures gaps in
 * service. */
#ifndef SW_SIM_CLIENT_H
#define SW_SIM_CLIENT_H

#include "sim/sim_daemon.h"

struct sim_client {
    struct sim_node node; /* first member, because daemons reply to the node */
    struct sim_run *run;
    uint32_t index;
    struct log_position session;
    struct sim_operation *operation; /* of the write in progress; NULL: a read */
    enum sim_work work;
    uint64_t transaction;        /* the open transaction, to be committed */
    uint32_t transaction_daemon; /* daemon that holds it */
    struct sim_attempt *attempt; /* attempt whose answer the client waits for */
    GHashTable *pending;         /* request id -> struct sim_attempt without an answer yet */
    int32_t pinned_daemon;       /* the only daemon that it writes to, without pause; or -1 */
    time_ns retry_until;         /* the write is not retried after this time */
    struct sim_operation *last_keyed;
};

struct sim_client *sim_client_new(struct sim_run *run, uint32_t index, uint32_t zone,
                                  int32_t pinned_daemon);
void sim_client_clear(struct sim_client *client);

/* Starts the first request after a short random time. */
void sim_client_start(struct sim_client *client);

/* The connections to the daemon broke: requests pending there are lost. */
void sim_client_daemon_died(struct sim_run *run, uint32_t daemon);

#endif
