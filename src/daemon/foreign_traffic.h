/* What other deployments send to this daemon, because an address was given out again or a setting
 * is wrong. It is counted and, at most once a minute, told in the log. */
#ifndef SW_DAEMON_FOREIGN_TRAFFIC_H
#define SW_DAEMON_FOREIGN_TRAFFIC_H

#include <netinet/in.h>

struct daemon;

/* How it came. */
enum foreign_traffic {
    FOREIGN_TRAFFIC_DATAGRAM,   /* dropped */
    FOREIGN_TRAFFIC_CONNECTION, /* a request, refused */
    FOREIGN_TRAFFIC_COUNT,
};

/* Notes one message, with its sender's address where that is known. Any thread. */
void foreign_traffic_note(struct daemon *daemon, enum foreign_traffic traffic,
                          const struct sockaddr_in *from);

#endif
