/* The admin listener: HTTP requests by which tests inject faults and read the database's state. All
 * replies are JSON. */
#ifndef STANDIN_DATABASE_ADMIN_H
#define STANDIN_DATABASE_ADMIN_H

#include "server.h"

struct admin;

/* Listens at the server's admin address. Returns NULL with the error set if it can't. */
struct admin *admin_start(struct server *server, GError **error);

guint16 admin_port(const struct admin *admin);

/* Stops listening and frees. NULL is allowed. */
void admin_stop(struct admin *admin);

#endif
