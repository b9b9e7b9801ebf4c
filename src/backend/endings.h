/* Connections that were closed here and whose end at the database has not been seen yet: until then
 * the database may still count them. */
#ifndef SW_BACKEND_ENDINGS_H
#define SW_BACKEND_ENDINGS_H

#include "backend/connection.h"

/* One such connection. */
struct ending {
    int socket_fd; /* or -1 if there is nothing to watch */
    time_ns until; /* taken to have ended at this time at the latest */
    int32_t number;
    int cause; /* the user's */
};

/* Owned by one thread at a time; no locks. */
struct endings {
    GArray *items; /* of struct ending */
};

void endings_init(struct endings *endings);

/* Forgets those that are left. */
void endings_clear(struct endings *endings);

/* Closes and frees a connection, and watches for its end until `until`. */
void endings_add(struct endings *endings, struct backend_connection *connection, int cause,
                 time_ns until);

/* Takes one that has ended out; false if there is none. Never waits. */
bool endings_take(struct endings *endings, time_ns now, struct ending *ended);

uint32_t endings_count(const struct endings *endings);

#endif
