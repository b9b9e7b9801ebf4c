/* Replication between simulated databases: a primary pushes its log to the replicas that follow it
 * in its term. A replica accepts it only while that term is the one it has promised. */
#ifndef SW_SIM_REPLICATION_H
#define SW_SIM_REPLICATION_H

#include "sim/sim_database.h"

/* Starts the regular pushes and hellos. */
void sim_replication_start(struct sim_database *database);

/* Announces to the primary that this replica follows it. */
void sim_replication_hello(struct sim_database *database);

/* Pushes the log to the followers. */
void sim_replication_push(struct sim_database *database);

/* Answers waits after a change of the log, its applied part or a promise. */
void sim_replication_notify(struct sim_database *database);

/* In sim_database.c. */
void sim_database_wake(struct sim_database *database);

#endif
