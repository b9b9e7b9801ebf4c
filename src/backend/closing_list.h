/* Connections that were closed on this side and whose end at the database has not been seen yet:
 * until then the database may still count them. */
#ifndef SW_BACKEND_CLOSING_LIST_H
#define SW_BACKEND_CLOSING_LIST_H

#include "backend/connection.h"

/* One such connection. */
struct closing_entry {
    int socket_fd; /* duplicate of the socket; -1 if there is none */
    time_ns until; /* assumed to have ended at this time at the latest */
    int32_t number;
    int cause; /* value for the caller */
};

/* Owned by one thread at a time; no locks. */
struct closing_list {
    GArray *items; /* of struct closing_entry */
};

void closing_list_init(struct closing_list *list);

/* Drops the remaining entries and frees the list. */
void closing_list_clear(struct closing_list *list);

/* Closes and frees a connection, and watches its socket until `until`. */
void closing_list_add(struct closing_list *list, struct backend_connection *connection, int cause,
                      time_ns until);

/* Removes an entry whose connection has ended and copies it to `ended`; false if there is none.
 * Never waits. */
bool closing_list_take_closed(struct closing_list *list, time_ns now, struct closing_entry *ended);

uint32_t closing_list_count(const struct closing_list *list);

#endif
