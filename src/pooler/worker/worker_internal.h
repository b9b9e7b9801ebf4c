/* The structs of one worker: client sessions, groups of databases, and connections to databases.
 * All belong to the worker's thread, so none is locked.
 *
 * A group is a set of databases with one replicated log: one primary and its replicas. The owners
 * of a group are the poolers that open connections to its databases. A home of a tenant's rate
 * limit is a pooler that grants the tokens of one share of it. */
#ifndef SW_POOLER_WORKER_INTERNAL_H
#define SW_POOLER_WORKER_INTERNAL_H

#include <event2/event.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <urcu-bp.h>

#include "backend/clock.h"
#include "pooler/access/access.h"
#include "pooler/shared/buffer.h"
#include "pooler/databases/window.h"
#include "pooler/forwarding/forward.h"
#include "pooler/routing/freshness.h"
#include "pooler/routing/queue_rate.h"
#include "pooler/routing/placement.h"
#include "pooler/routing/shortage.h"
#include "pooler/shared/metrics.h"
#include "pooler/shared/operation_timing.h"
#include "pooler/rate/bucket.h"
#include "pooler/rate/admission.h"
#include "pooler/shared/view.h"
#include "pooler/shared/wire.h"
#include "pooler/worker/worker.h"

/* What a client's session is doing. */
enum session_state {
    SESSION_STARTING,  /* the client has not named its database yet */
    SESSION_IDLE,      /* no statement is in progress */
    SESSION_ADMITTING, /* waits for a rate-limit token to begin an operation */
    SESSION_QUEUED,    /* its statement waits for a connection to a database */
    SESSION_RUNNING,   /* its statement was sent to a database or an owner */
    SESSION_ENDED,     /* closed; freed at the end of the callback */
};

enum session_transaction {
    SESSION_TRANSACTION_NONE,
    SESSION_TRANSACTION_REQUESTED, /* begun by the client, not yet at a database */
    SESSION_TRANSACTION_OPEN,      /* begun at a database */
    SESSION_TRANSACTION_FAILED,    /* rolled back; the client must end it */
};

/* A statement that a client prepared under a name. */
struct prepared {
    bool writes;
    char *shape;
};

/* The session's route as of the start of its transaction or single statement. */
struct session_route {
    struct group *group;
    enum route_kind kind;
    uint32_t timeout_ms;
    uint32_t target_ms;
    uint32_t priority;
    uint32_t staleness_ms;
    bool is_public;         /* clients need no key */
    uint64_t configuration; /* version of the configuration with this route; of a forwarded session,
                               the forwarding pooler's */
};

/* The statement that a session is processing. */
struct session_request {
    char *message; /* the client's message; the spans point into it */
    size_t message_length;
    struct statement statement;
    bool writes;            /* a write, or the execution of a prepared one */
    time_ns arrived;        /* when the message was read */
    time_ns deadline;       /* arrival plus the route's timeout */
    time_ns sent;           /* when it was last sent to a database or an owner */
    const char *sent_to;    /* id of that database, or address of that owner; NULL: not sent yet */
    time_ns not_before;     /* earliest time of the next attempt */
    time_ns last_opened_at; /* when a connection was last opened for it */
    bool deferred;     /* it was deferred until a replica would be fresh enough; at most once */
    queue_line_t line; /* the queue that it waits in, or would */
    uint32_t homes_requested; /* bit set of the homes of the tenant's limit that a token was
                                 requested from */
    token_request_t *token_requests[ROSTER_SHARES]; /* open ones, by home; NULL: none */
    time_ns next_token_at; /* earliest time at which a home that refused has a token again; 0: none
                              refused */
    uint64_t homes_revision; /* revision of the roster that the homes were taken from */
    uint32_t attempts;
    bool may_have_run;     /* it was sent to a database or an owner */
    bool at_primary;       /* it was last sent to its group's primary, as far as known */
    const char *refusal;   /* why it was refused before it was sent; NULL: not refused */
    time_ns recovery_time; /* expected time until the cause of its refusal is over; 0: not known */
};

/** @brief Operations that differ between a session with a client connection of its own and a
 * session whose statements another pooler forwards. */
typedef struct client_ops {
    /** Delivers the answer, which is complete in the session's `out`. May end the session. */
    void (*answered)(struct session *session, enum answer_code code,
                     const struct log_position *position);
    /** Sets the session's route from the newest view. False if the view has none. */
    bool (*bind_route)(struct session *session);
    /** Closes the client's connection. */
    void (*close)(struct session *session);
} client_ops_t;

/** @brief The owner that a session's statement or transaction is forwarded to; link NULL: it is not
 * forwarded. */
typedef struct session_forward {
    link_t *link;
    uint64_t channel;
    bool running; /* a statement was sent and has no answer yet */
} session_forward_t;

/** @brief The pooler that forwards a session's statements; caller NULL: the session has a client
 * connection of its own. */
typedef struct session_forwarded {
    caller_t *caller;
    uint64_t channel;
} session_forwarded_t;

struct session {
    struct worker *worker;
    const client_ops_t *client;
    session_forward_t forward;
    session_forwarded_t forwarded;
    int socket;
    struct event *readable;
    struct event *writable;
    struct event *timer;
    struct buffer in;
    struct buffer out;
    enum session_state state;
    enum session_transaction transaction;
    bool read_only;       /* the transaction is read-only */
    bool statements_run;  /* the open transaction has run a statement */
    char *database;       /* named by the client's start message; NULL before */
    char *key;            /* the client's key, a secret, from the start message; NULL before */
    const char *tenant;   /* the tenant that the key belongs to, interned; NULL before the key was
                             looked up */
    GHashTable *values;   /* name -> value set by the client; NULL while there is none */
    GHashTable *prepared; /* name -> struct prepared; NULL while there is none */
    struct session_route route;
    struct session_request request;
    operation_timing_t timing; /* of its operation; of a forwarded session, of its statement */
    struct server *server;     /* runs its statement or holds its transaction; NULL: none */
    bool has_own_commit;
    struct log_position own_commit; /* last acknowledged commit of the session */
    time_ns own_commit_at;
    time_ns advised_retry_at; /* time at which its refused client was advised to retry; 0: none, or
                                 it has retried */
    time_ns began;            /* when the transaction's first message was read */
    time_ns opened;
    time_ns start_took;  /* from `opened` to the answer to the start message; 0: counted already */
    bool waits_for_view; /* its start message came before the first view */
    GList *queue_link;   /* in the group's queue while SESSION_QUEUED */
    GList *worker_link;
};

/* State of a connection to a database. */
enum server_state {
    SERVER_CONNECTING,
    SERVER_STARTING, /* connected; the database has not answered the start message */
    SERVER_IDLE,
    SERVER_RESERVED, /* holds a session's transaction; no statement is in progress */
    SERVER_RUNNING,  /* runs a session's statement */
    SERVER_CLEANING, /* rolls back after its session released it */
    SERVER_CLOSED,
};

/* What an outstanding answer of a database belongs to. */
enum expected {
    EXPECT_START,
    EXPECT_SETUP, /* session values and prepared names, set before a statement */
    EXPECT_BEGIN,
    EXPECT_STATEMENT,
    EXPECT_ROLLBACK,
    EXPECT_STATUS, /* status query of a leadership check */
};

struct server {
    struct database *database;
    const char *tenant; /* the only tenant whose statements it serves, interned */
    bool opened_ahead;  /* opened before a statement needed it, and not used yet */
    int socket;
    struct event *readable;
    struct event *writable;
    struct event *timer; /* time-out of connecting and of the clean-up rollback */
    struct buffer in;
    struct buffer out;
    enum server_state state;
    GByteArray *expected;    /* enum expected of each pending answer, oldest first */
    GHashTable *values;      /* session values set at the database: name -> value */
    GHashTable *prepared;    /* statements prepared at the database: mode and shape -> name there */
    uint32_t prepared_count; /* number of names used for prepared statements so far */
    struct session *session; /* NULL: the session has ended, or there is none */
    bool in_transaction;
    time_ns sent_at;     /* when the running statement was sent, or the opening was started */
    bool running_writes; /* the running statement is a write, or a commit */
    bool writes;         /* the running statement is a write */
    bool wrote;          /* the open transaction, or the single statement, has written */
    bool had_permit;     /* the group's read permit was valid when the statement was sent */
    bool checking;       /* runs a status query of a leadership check */
    bool has_report;     /* `report` is the answer to that query */
    struct database_report report;
    time_ns idle_since;
    struct log_position min_position; /* the database must have applied the log up to here */
    uint64_t epoch;                   /* of the group when the statement was sent */
    /* The answer so far. */
    struct buffer rows;
    char *signature;
    enum answer_code code;
    char *error_text;
};

struct database {
    struct group *group;
    struct member_shared *shared;
    struct sockaddr_in address;
    const char *zone; /* interned; NULL: not known */
    bool same_zone;
    uint32_t connections;         /* limit for this worker; 0: the limit of the group applies */
    bool takes_work;              /* statements may be sent to it */
    bool in_view;                 /* a member of the group in the newest view */
    GPtrArray *servers;           /* of struct server */
    uint32_t in_flight;           /* number of servers reserved or running */
    window_t window;              /* limits the number of statements that it runs at once */
    recent_times_t recent;        /* recent average times of its statements, by kind */
    uint32_t failures;            /* consecutive failures to open a connection; answers on other
                                     connections do not reset the number */
    time_ns retry_at;             /* no connection is opened before */
    double latency_ms;            /* moving average from sending a statement to its answer */
    time_ns latency_at;           /* last update of latency_ms */
    double rtt_ms;                /* network round-trip time; 0: not known */
    struct log_position position; /* last reported */
    struct log_position missing_position; /* last position that it reported not to have reached */
    time_ns missing_at;                   /* when it reported that */
    time_ns written_at;                   /* when it last acknowledged a write */
    time_ns lag;                          /* replication lag as of lag_at */
    time_ns lag_at;
};

/* A leadership check in progress; see leadership.c. */
struct leadership_check {
    bool running;
    time_ns started;
    uint32_t pending;   /* number of answers still to come */
    bool primary_leads; /* the primary reports that it is the primary */
    uint64_t primary_term;
    uint64_t newest_term;         /* newest term that any replica reports, or is paused for */
    uint64_t replicas_term;       /* term of the replicas counted in replicas_following */
    uint32_t replicas_following;  /* replicas that follow in that term and are not paused */
    struct log_position position; /* of the primary */
};

struct group {
    struct worker *worker;
    struct group_shared *shared;
    uint64_t revision; /* of the published group that was applied last; 0: none yet */
    uint64_t epoch;
    enum group_phase phase;
    uint64_t term;
    uint32_t sync_replicas;
    uint32_t connections;          /* limit for each database; 0: statements go to the owners */
    uint32_t fallback_connections; /* the limit while none of the owners is reachable */
    bool direct_fallback;          /* in force: `connections` is fallback_connections */
    time_ns unreachable_since;     /* since when statements have found no owner reachable; 0: one
                                      is, or there were no statements */
    GPtrArray *databases;          /* of struct database, owned */
    GPtrArray *links;              /* link_t to the group's other owners, same zone first */
    const char *own_address;       /* of this pooler if it is an owner, interned; otherwise NULL */
    guint links_same_zone;         /* number of links to owners in this zone */
    struct database *primary;
    double latency_ms;         /* as database.latency_ms, over all its databases */
    double opening_ms;         /* moving average of the time to open a connection; 0: not known */
    double primary_only_share; /* part of the primary's statements that no replica could run */
    GQueue queue;              /* of struct session, highest priority first */
    uint32_t waiting[QUEUE_LINE_COUNT]; /* number of queued statements in each line */
    queue_rate_t queue_rate[QUEUE_LINE_COUNT];
    shortage_t shortage[QUEUE_LINE_COUNT];
    struct freshness freshness;
    baseline_times_t baseline; /* times of statements at its databases without load */
    struct leadership_check check;
    time_ns check_again_at;       /* no leadership check is started before */
    time_ns check_deferred_since; /* the check waits for connections to open; 0: it does not */
    uint32_t checks_failed;       /* consecutive failures */
    time_ns no_primary_since;     /* since when no primary has taken work; 0: one does */
    time_ns leadership_proven_at; /* latest time at which the primary provably led; 0: none */
};

struct worker {
    struct worker_shared *shared;
    unsigned index;
    pthread_t thread;
    struct event_base *base;
    int listener;
    struct event *acceptable;
    int wake;
    struct event *woken;
    struct event *tick;
    bool tick_armed;
    struct event *deferral_timer; /* expires at next_deferred_at */
    time_ns next_deferred_at;     /* when the first deferred statement may be sent; 0: none is */
    _Atomic uint64_t view_number; /* number of the view that was applied last; 0: none yet */
    time_ns refreshed_at;         /* when groups without a newer view were last refreshed */
    bool has_tenants;             /* clients are identified by keys */
    time_ns transaction_idle;     /* an open transaction that is idle for longer is rolled back */
    GHashTable *groups;           /* service -> struct group */
    baseline_times_t
        general_baseline; /* baseline statement times of lightly loaded databases, all groups */
    GHashTable *links;    /* address as text -> link_t */
    GHashTable *homes;    /* tenant, interned -> homes of its limit, as last requested */
    GPtrArray *callers;   /* caller_t */
    int forward_listener; /* -1: none */
    struct event *forward_acceptable;
    GQueue sessions;
    GPtrArray *ended;         /* sessions to free after the callback */
    GPtrArray *closed;        /* servers to free after the callback */
    GPtrArray *groups_to_run; /* groups whose queues worker_run_deferred() runs */
    bool stopping;
    uint32_t busy; /* sessions that wait for a token, queued or running */
    _Atomic uint32_t session_count;
    _Atomic bool has_ended;
    struct metrics metrics;
    bucket_t late_log_bucket; /* limits the log lines about late operations */
};

/* worker.c */
/* Runs the queues in groups_to_run and frees closed connections and ended sessions. Called at the
 * end of each callback of the event loop. */
void worker_run_deferred(struct worker *worker);
/* Starts the timer of the next tick unless it runs already. */
void worker_arm_tick(struct worker *worker);
/* Runs all queues at that time or earlier. */
void worker_run_queues_at(struct worker *worker, time_ns at);
/* Wakes the control thread. */
void worker_wake_control(struct worker *worker);
/* Wakes the control thread to report a change to the coordinator at once. */
void worker_notify_coordinator(struct worker *worker);

/* session.c */
void session_open(struct worker *worker, int socket);
/* Closes the client's connection. A statement that still runs is left to its database connection.
 */
void session_end(struct session *session);
void session_free(struct session *session);
/* Handles the database's answer to the session's statement. */
void session_answer(struct session *session, struct server *server, enum transaction_state state,
                    const struct log_position *position);
/* The session's database connection or forwarding link broke or was closed while it served the
 * session. */
void session_server_lost(struct session *session, enum answer_code reason);
/* Queues a statement that has not run for another attempt, or refuses it if its deadline has passed
 * or too many attempts were made. */
void session_retry(struct session *session, enum answer_code reason);
/* Refuses the session's statement before it is sent; the answer says when to retry. */
void session_refuse(struct session *session, enum metrics_refusal why);
/* The same for a queued statement. It leaves the queue only after the current callback, so this is
 * safe while the queue is iterated. */
void session_refuse_queued(struct session *session, enum metrics_refusal why);
/* Refuses to begin the session's operation; the answer says when to retry. */
void session_refuse_operation(struct session *session, enum answer_code code, uint32_t retry_ms);
/* The operation was admitted: passes its statement to the router. */
void session_route(struct session *session);
/* The session's statement is being sent: starts its timer. */
void session_sent(struct session *session);
/* Processes the start message of a session that waited for the first view. */
void session_continue(struct session *session);
/* True if no statement or transaction is open and nothing is buffered, so that closing the
 * connection loses nothing. */
bool session_is_idle(const struct session *session);
/* During a planned stop: ends the session if it is idle. */
void session_check_stop(struct session *session, time_ns now);

/* server.c */
/* Opens a connection for a tenant, or with access_public_tenant() for the pooler's own requests.
 * `why` is the reason to count, one of METRICS_OPENED_*. Returns NULL if the limit of connections
 * is reached and none is idle, or no socket could be opened. */
struct server *server_open(struct database *database, const char *tenant, enum metrics_counter why);
void server_free(struct server *server);
/* Closes the connection. A session that it serves gets `reason` by session_server_lost(). */
void server_close(struct server *server, enum answer_code reason);
/* Sends the session's statement, after the session values and prepared statement that it needs. The
 * server must be idle, or already serve the session. `min_position`: log position that the database
 * must have applied; NULL: any. */
void server_run(struct server *server, struct session *session,
                const struct log_position *min_position);
/* Detaches the connection from its session: rolls back an open transaction and returns the
 * connection to the pool. A running statement is awaited first. */
void server_release(struct server *server);

/* Sends a status query of a leadership check. The server must be idle. */
void server_query_status(struct server *server);

/* leadership.c */
/* Starts a leadership check: queries the status of the primary and its replicas to prove that the
 * primary still leads. Does nothing while one is in progress, or too soon after the last one. */
void leadership_check_start(struct group *group);
/* Handles the answer of a database to a status query; NULL: its connection was closed or the answer
 * was an error. */
void leadership_check_answer(struct group *group, const struct database *database,
                             const struct database_report *report);
/* Records that the primary provably led at the time `at`. */
void leadership_note_proven(struct group *group, time_ns at);

/* database.c */
struct database *database_new(struct group *group, struct member_shared *shared);
void database_free(struct database *database);
/* The idle connection of the session's tenant that needs the least setup; NULL if there is none. */
struct server *database_idle_server(const struct database *database, const struct session *session);
/* Any idle connection; NULL if there is none. */
struct server *database_any_idle(const struct database *database);
/** @return true if a connection to the database is being opened. */
bool database_is_opening(const struct database *database);
/* True if a connection may be opened now, or as soon as the openings in progress end (pool.h). */
bool database_will_open(const struct database *database, time_ns now);
/* True if a connection may be opened now (pool.h). */
bool database_may_open(const struct database *database, time_ns now);
/* True if a connection may be opened now for a statement that has not arrived yet (pool.h). */
bool database_may_open_ahead(const struct database *database, time_ns now);
/* Maximum number of open connections of this worker to the database. */
uint32_t database_connections(const struct database *database);
/* Makes sure that another connection may be opened: at the limit, closes the connection that has
 * been idle longest. False if none is idle. */
bool database_free_connection(struct database *database);
/* Opens the idle connections that are kept ready for statements without a tenant. */
void database_open_ready(struct database *database, time_ns now);
void database_set_fault(struct database *database, enum database_fault fault, time_ns now);
enum database_fault database_fault(const struct database *database);
/* True if the window allows another statement of this priority now (window.h). */
bool database_has_capacity(const struct database *database, uint32_t priority, time_ns now);
/* Narrows the window after the database refused a statement because it had no free slot. */
void database_narrow_window(struct database *database, time_ns now);
/* Adjusts the window after a statement has run. `slowness`: its time divided by the baseline; 0:
 * not known. */
void database_note_statement_answer(struct database *database, double slowness, time_ns now);
/* Records that a message came from the database, which ends a fault of being unresponsive. */
void database_note_answer(struct database *database, time_ns now);
/* Records that a connection could not be opened, and backs off. */
void database_note_open_failure(struct database *database, enum answer_code code);
/* Records that a connection was opened, and how long that took. */
void database_note_opening(struct database *database, time_ns took);
/* Updates the round-trip time from the first round trip of an opening. */
void database_note_rtt(struct database *database, time_ns took);
/* Closes connections that were idle for too long, except those kept ready. */
void database_close_unused(struct database *database, time_ns now);
/* Checks time-outs and faults, and probes a faulty database by opening a connection. */
void database_tick(struct database *database, time_ns now);
/* Closes the connections for which `matches` returns true. */
typedef bool server_predicate(const struct server *server, time_ns now);
void database_close_where(struct database *database, server_predicate *matches, time_ns now,
                          enum answer_code reason);
/* Closes all idle connections. */
void database_close_idle(struct database *database);

/* router.c */
/* Sends the session's statement on a suitable connection, or queues or refuses it. */
void router_submit(struct session *session);
/* Removes the session from its group's queue, if it is queued. */
void router_leave_queue(struct session *session);
/* Opens a connection for a statement that the session is likely to send soon, here or at an owner
 * of the group, unless its tenant has an idle one. */
void router_announce(const struct session *session);
/* Sends the queued statements that can be sent now. */
void router_run_queue(struct group *group);
/* False if a statement of the open transaction could be acknowledged by a primary that has been
 * replaced: in a group whose commits need no replica, they need a permit. */
bool router_may_write_on(const struct session *session);
/* True if the group's read permit is valid: reads at the primary see every commit that was
 * acknowledged before `now`. */
bool router_has_permit(const struct group *group, time_ns now);
/* Logs the end of shortages that are over. True while one of the group's lines has a shortage
 * (shortage.h). */
bool router_check_shortage(struct group *group, time_ns now);
/* True if the session's statement can be served by the primary only, because it writes or by its
 * route. */
bool router_needs_primary(const struct session *session);
/* Expected time until a request that is refused now could be served here; 0: not known. */
time_ns router_retry_after(struct session *session, time_ns now);
/* True if other poolers, the owners, hold the connections to the group's databases. */
bool router_forwards(const struct group *group);

/* group.c */
struct group *group_of(struct worker *worker, struct group_shared *shared);
void group_apply(struct group *group, const struct pooled_group *view);
/* Periodic work while the view does not change: opens and closes connections, and retries
 * unreachable owners. */
void group_refresh(struct group *group);
/** @brief Starts the direct fallback: serves the group by connections of this worker while none of
 * the group's owners is reachable.
 *  @return false if the group has no fallback connections, or an owner may be reachable. */
bool group_start_direct_fallback(struct group *group);
/** @brief Ends the direct fallback after an owner has responded. */
void group_end_direct_fallback(struct group *group);
/* Checks the group's databases and its queue. True while a shortage lasts or a database in use has
 * a fault, which only further ticks can clear. */
bool group_tick(struct group *group, time_ns now);
void group_note_in_flight(struct group *group);

#endif
