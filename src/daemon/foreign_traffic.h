/* Messages from other deployments, which arrive when an address was reused or a setting is wrong.
 * They are counted and logged at most once a minute. */
#ifndef SW_DAEMON_FOREIGN_TRAFFIC_H
#define SW_DAEMON_FOREIGN_TRAFFIC_H

#include <netinet/in.h>

struct daemon;

/* The transport of the message. */
enum foreign_traffic {
    FOREIGN_TRAFFIC_DATAGRAM,   /* dropped */
    FOREIGN_TRAFFIC_CONNECTION, /* a request, which is refused */
    FOREIGN_TRAFFIC_COUNT,
};

/* Records one message, with its sender's address if that is known. Any thread. */
void foreign_traffic_record(struct daemon *daemon, enum foreign_traffic traffic,
                            const struct sockaddr_in *from);

#endif
