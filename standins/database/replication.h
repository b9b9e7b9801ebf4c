/* Replication of a replica from its primary: one thread pulls log entries over the PostgreSQL
 * protocol, another applies them after the replication lag. */
#ifndef STANDIN_DATABASE_REPLICATION_H
#define STANDIN_DATABASE_REPLICATION_H

#include "database.h"
#include "faults.h"

struct replication;

/* Starts both threads. The database and the faults must outlive them. */
struct replication *replication_start(struct database *database, struct faults *faults,
                                      const char *zone);

/* Waits for both threads to end and frees them; the caller has called database_stop before. */
void replication_join(struct replication *replication);

#endif
