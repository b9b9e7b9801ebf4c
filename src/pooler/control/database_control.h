/**
 * @file
 * @brief The coordinator's control connection to one database, for status queries and the commands
 * pause, resume and step down, one command at a time. Opened on demand and closed when idle, as
 * databases accept few connections. Only for the control thread.
 */
#ifndef SW_POOLER_DATABASE_CONTROL_H
#define SW_POOLER_DATABASE_CONTROL_H

#include <event2/event.h>
#include <netinet/in.h>

#include "pooler/control/failover.h"

struct database_control;

/** @param report NULL if the database did not answer or has sent no status.
 *  @param refused the database answered that it has no free connection or slot now. */
typedef void database_control_callback(void *user, const char *service, const char *database,
                                       const struct database_report *report, bool refused);

struct database_control *database_control_new(struct event_base *base, const char *service,
                                              const char *database,
                                              database_control_callback *callback, void *user);
void database_control_free(struct database_control *control);

/** @brief Sends a command. The callback is called exactly once for it, at the latest after 300 ms.
 *  @return false, without a callback, if another command is pending. */
bool database_control_send(struct database_control *control, const struct sockaddr_in *address,
                           enum database_command command, uint64_t term);

/** @brief Closes the connection if no command was sent since `before`. */
void database_control_close_unused(struct database_control *control, time_ns before);

#endif
