/* The coordinator's connection to one database: asks its status, pauses, resumes and steps it down,
 * one command at a time. Opened when it is needed and closed after a while without use, since
 * connections to databases are scarce. Belongs to the control thread. */
#ifndef SW_POOLER_DATABASE_CONTROL_H
#define SW_POOLER_DATABASE_CONTROL_H

#include <event2/event.h>
#include <netinet/in.h>

#include "pooler/control/failover.h"

struct database_control;

/* `report` is NULL without one; `refused`: the database answered that it has no room now. */
typedef void database_control_callback(void *user, const char *service, const char *database,
                                       const struct database_report *report, bool refused);

struct database_control *database_control_new(struct event_base *base, const char *service,
                                              const char *database,
                                              database_control_callback *callback, void *user);
void database_control_free(struct database_control *control);

/* Sends a command; the callback comes exactly once for each. A command while another runs is
 * dropped, and false is returned. */
bool database_control_send(struct database_control *control, const struct sockaddr_in *address,
                           enum database_command command, uint64_t term);

/* Closes the connection if it was not used since `before`. */
void database_control_close_unused(struct database_control *control, time_ns before);

#endif
