/* The stand-in database as a whole: listener, sessions, connection limit, slots. */
#ifndef STANDIN_DATABASE_SERVER_H
#define STANDIN_DATABASE_SERVER_H

#include <netinet/in.h>

#include "advisory.h"
#include "database.h"
#include "faults.h"
#include "replication.h"
#include "slots.h"

/* The protocol parameter that reports the database's zone to clients. */
#define ZONE_PARAMETER "swiftworks_zone"

struct session;
struct admin;

struct server_options {
    const char *listen; /* HOST:PORT, port 0 for any */
    const char *admin;  /* HOST:PORT, or NULL for no admin listener */
    const char *name;
    const char *zone;
    enum database_role role;
    const char *primary; /* HOST:PORT, for a replica */
    guint slots;
    guint connections;
    int64_t open_delay_ms;
    int64_t zone_delay_us;
    int64_t replication_lag_ms;
    int64_t service_time_us;
    int64_t idle_transaction_ms; /* an open transaction idle for longer is ended; 0 for never */
};

/* Counters of violations, and peaks. Guarded by the server's lock. */
struct server_counters {
    uint64_t over_connection_limit;
    guint peak_connections;
};

struct server {
    struct server_options options; /* strings owned; immutable after the start */
    struct database *database;
    struct faults faults;
    struct slots slots;
    struct replication *replication;
    struct admin *admin;
    int listener;
    guint16 port;
    pthread_t acceptor;
    atomic_bool stopping;
    pthread_mutex_t lock;
    pthread_cond_t session_ended;
    GHashTable *sessions; /* set of running struct session * */
    guint connections;    /* number of connections counted against the limit */
    guint32 next_process;
    struct advisory_locks advisory_locks;
    struct server_counters counters;
};

/* Parses HOST:PORT, where HOST is an IPv4 address in numbers. */
bool server_parse_address(const char *text, struct sockaddr_in *address);

/* Starts listening and serving. Returns NULL with the error set (errno's text) if it can't listen.
 */
struct server *server_start(const struct server_options *options, GError **error);

/* The port of the listener. */
guint16 server_port(const struct server *server);

/* The port of its admin listener; 0 if it has none. */
guint16 server_admin_port(const struct server *server);

/* A copy of the counters. */
struct server_counters server_counters(struct server *server);

/* Ends all sessions and threads and frees the server. */
void server_stop(struct server *server);

/* Counts a session against the connection limit. Returns false, and counts a violation, if the
 * limit is reached. */
bool server_admit(struct server *server, struct session *session);

/* Cancels the statement of the session with these keys. */
void server_cancel(struct server *server, guint32 process, guint32 secret);

#endif
