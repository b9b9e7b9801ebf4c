/* The structs of one worker: sessions of clients, groups with their databases, and connections to
 * these. All belong to the worker's thread; nothing here is locked. */
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

/* One client's connection, from its start to its end. */
enum session_state {
    SESSION_STARTING,  /* has not named its database yet */
    SESSION_IDLE,      /* nothing is asked */
    SESSION_ADMITTING, /* a token to begin an operation is asked for */
    SESSION_QUEUED,    /* a statement waits for a connection to a database */
    SESSION_RUNNING,   /* a statement is at a database */
    SESSION_ENDED,     /* closed; freed at the end of the callback */
};

enum session_transaction {
    SESSION_TRANSACTION_NONE,
    SESSION_TRANSACTION_REQUESTED, /* begun by the client, at no database yet */
    SESSION_TRANSACTION_OPEN,      /* begun at a database */
    SESSION_TRANSACTION_FAILED,    /* rolled back; the client must end it */
};

/* A name that a client prepared. */
struct prepared {
    bool writes;
    char *shape;
};

/* What a session's route said when the transaction or single statement began. */
struct session_route {
    struct group *group;
    enum route_kind kind;
    uint32_t timeout_ms;
    uint32_t target_ms;
    uint32_t priority;
    uint32_t staleness_ms;
    bool is_public;         /* needs no key */
    uint64_t configuration; /* version that the route is of; of a forwarded session, the asker's */
};

/* The statement that a session asks at the moment. */
struct session_request {
    char *message; /* the client's message; the spans point into it */
    size_t message_length;
    struct statement statement;
    bool writes;          /* a write, or the execution of a prepared one */
    time_ns arrived;      /* when it was read */
    time_ns deadline;     /* of its route's timeout */
    time_ns sent;         /* when it was last sent to a database */
    const char *sent_to;  /* id of that database, NULL: to none yet */
    time_ns not_before;   /* it is not sent again before */
    time_ns opened_at;    /* a connection was last opened for it */
    bool held;            /* it has waited for a replica to be fresh enough; only once */
    queue_line_t line;    /* in which it waits, or would */
    uint32_t homes_asked; /* bit set: homes of the tenant's limit asked for a token */
    token_question_t *questions[ROSTER_SHARES]; /* open ones, by home; NULL: none */
    time_ns token_at; /* when the first home that refused has a token again; 0: none refused */
    uint64_t homes_revision; /* of the roster that the homes are of */
    uint32_t attempts;
    bool may_have_run;   /* it was sent to a database */
    bool at_primary;     /* it was sent to its group's primary, as far as known */
    const char *refusal; /* why it was refused as it came; NULL: it was not */
    time_ns over_in;     /* expected time until what refused it is over; 0: not known */
};

/** @brief What differs between a client of this pooler and one whose pooler forwards to it. */
typedef struct client_ops {
    /** The answer to what was asked stands in the session's `out`. May end the session. */
    void (*answered)(struct session *session, enum answer_code code,
                     const struct log_position *position);
    /** Takes the session's route from the newest view; false if there is none. */
    bool (*bind_route)(struct session *session);
    /** Closes the client's connection. */
    void (*close)(struct session *session);
} client_ops_t;

/** @brief Where a session's statement or transaction is forwarded to; link NULL: nowhere. */
typedef struct session_forward {
    link_t *link;
    uint64_t channel;
    bool running; /* an answer is awaited */
} session_forward_t;

/** @brief Whom a forwarded session belongs to; caller NULL: to a client of this pooler. */
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
    bool read_only;       /* the transaction only reads */
    bool statements_run;  /* the open transaction has run a statement */
    char *database;       /* as named at the start; NULL before */
    char *key;            /* as named at the start: a secret; NULL before */
    const char *tenant;   /* who holds the key, interned; NULL before it was looked up */
    GHashTable *values;   /* name -> value; NULL while there is none */
    GHashTable *prepared; /* name -> struct prepared; NULL while there is none */
    struct session_route route;
    struct session_request request;
    operation_timing_t timing; /* of its operation; of a forwarded session, of its statement */
    struct server *server;     /* the connection that serves it, NULL for none */
    bool has_own_commit;
    struct log_position own_commit; /* last acknowledged commit of the session */
    time_ns own_commit_at;
    time_ns told_back_at; /* when its client was told to come back; 0: it was not, or has come */
    time_ns began;        /* when the transaction's first message was read */
    time_ns opened;
    time_ns start_took;  /* from `opened` to the answer to its start; 0: counted already */
    bool waits_for_view; /* its start came before any configuration was known */
    GList *queue_link;   /* in the group's queue while SESSION_QUEUED */
    GList *worker_link;
};

/* A connection to a database. */
enum server_state {
    SERVER_CONNECTING,
    SERVER_STARTING, /* connected; the database has not answered the start */
    SERVER_IDLE,
    SERVER_RESERVED, /* inside a session's transaction, nothing is asked */
    SERVER_RUNNING,  /* works for a session */
    SERVER_CLEANING, /* rolls back */
    SERVER_CLOSED,
};

/* What an answer that is still to come belongs to. */
enum expected {
    EXPECT_START,
    EXPECT_SETUP, /* values and prepared names */
    EXPECT_BEGIN,
    EXPECT_STATEMENT,
    EXPECT_ROLLBACK,
    EXPECT_STATUS, /* of a check of leadership */
};

struct server {
    struct database *database;
    const char *tenant; /* for whom it was opened, interned */
    bool ahead;         /* opened ahead, and not used yet */
    int socket;
    struct event *readable;
    struct event *writable;
    struct event *timer; /* bound of connecting and of cleaning */
    struct buffer in;
    struct buffer out;
    enum server_state state;
    GByteArray *expected; /* of enum expected, oldest first */
    GHashTable *values;   /* name -> value, as the database holds them */
    GHashTable *prepared; /* mode and shape -> name at the database */
    uint32_t names_given;
    struct session *session; /* NULL: the session is gone, or there is none */
    bool in_transaction;
    time_ns sent_at;     /* when the running statement was sent, or its opening began */
    bool running_writes; /* the running statement is a write, or a commit */
    bool writes;         /* the running statement is a write */
    bool wrote;          /* the open transaction, or the single statement, has written */
    bool permitted;      /* the group's read permit held when it was sent */
    bool checking;       /* works for a check of leadership */
    bool has_report;
    struct database_report report;
    time_ns idle_since;
    struct log_position after; /* that the running statement must see */
    uint64_t epoch;            /* of the group when it was sent */
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
    uint32_t connections; /* that it may get from here; 0: as the group's others */
    bool takes_work;
    bool listed;                  /* in the newest view */
    GPtrArray *servers;           /* of struct server */
    uint32_t in_flight;           /* servers reserved or running */
    window_t window;              /* statements that it is given at once */
    recent_times_t lately;        /* what they took, by kind */
    uint32_t failures;            /* in a row, of opening a connection; answers on others don't end
                                     the row */
    time_ns retry_at;             /* no connection is opened before */
    double latency_ms;            /* moving average of answers, the way included */
    time_ns latency_at;           /* when it was last renewed */
    double way_ms;                /* there and back; 0: not known */
    struct log_position position; /* last seen */
    struct log_position lacking;  /* a position that it lacked */
    time_ns lacking_at;
    time_ns written_at; /* when a write was last acknowledged */
    time_ns lag;        /* by which it was behind the primary at lag_at */
    time_ns lag_at;
};

/* A check of leadership under way; see leadership.c. */
struct leadership_check {
    bool running;
    time_ns started;
    uint32_t waiting;  /* answers still to come */
    bool primary_good; /* it says that it leads */
    uint64_t primary_term;
    uint64_t newest_term;         /* that any replica tells, or is paused for */
    uint64_t replicas_term;       /* of the replicas counted */
    uint32_t replicas_good;       /* that follow in that term and are not paused */
    struct log_position position; /* of the primary */
};

struct group {
    struct worker *worker;
    struct group_shared *shared;
    uint64_t revision; /* of the published group that is followed; 0: none yet */
    uint64_t epoch;
    enum group_phase phase;
    uint64_t term;
    uint32_t sync_replicas;
    uint32_t connections;          /* to each database; 0: statements go to the group's owners */
    uint32_t fallback_connections; /* the same while none of the owners can be reached */
    bool alone;                    /* which is so now */
    time_ns unreachable_since;     /* none of the owners could be reached since then, as statements
                                    came;     0: one can */
    GPtrArray *databases;          /* of struct database, owned */
    GPtrArray *links;              /* link_t to the group's other owners, near ones first */
    const char *own_address;       /* this pooler's if it is an owner, interned; NULL: it is none */
    guint links_same_zone;         /* how many of them are in this zone */
    struct database *primary;
    double latency_ms; /* moving average of the answers of all its databases */
    double opening_ms; /* moving average of what opening a connection takes; 0: not known */
    double led_share;  /* part of the primary's statements that no replica could run: 0 to 1 */
    GQueue queue;      /* of struct session, most urgent first */
    uint32_t waiting[QUEUE_LINE_COUNT]; /* how many of the queue are in each line */
    queue_rate_t pace[QUEUE_LINE_COUNT];
    shortage_t shortage[QUEUE_LINE_COUNT];
    struct freshness freshness;
    baseline_times_t usual; /* what statements take at its databases at rest */
    struct leadership_check check;
    time_ns check_again_at;
    time_ns check_held_since; /* the check waits for connections since then; 0: it does not */
    uint32_t checks_failed;   /* in a row */
    time_ns closed_since;     /* nobody has been open as the primary since then; 0: one is */
    time_ns led_at;           /* the primary is known to have led at this moment; 0: never */
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
    struct event *held;           /* timer for held_at */
    time_ns held_at;              /* when the first held statement may go; 0: none is held */
    _Atomic uint64_t view_number; /* of the view that is followed; 0: none yet */
    time_ns refreshed_at;         /* groups whose view has not changed were looked after */
    bool has_tenants;             /* clients are known by keys */
    time_ns transaction_idle;     /* an open transaction that rests longer is rolled back */
    GHashTable *groups;           /* service -> struct group */
    baseline_times_t usual;       /* what statements take at databases of any group at rest */
    GHashTable *links;            /* address as text -> link_t */
    GHashTable *homes;            /* tenant, interned -> homes of its limit, as asked last */
    GPtrArray *callers;           /* caller_t */
    int forward_listener;         /* -1: none */
    struct event *forward_acceptable;
    GQueue sessions;
    GPtrArray *ended;         /* sessions to free after the callback */
    GPtrArray *closed;        /* servers to free after the callback */
    GPtrArray *groups_to_run; /* groups whose queue may move */
    bool stopping;
    uint32_t busy; /* sessions queued or running */
    _Atomic uint32_t session_count;
    _Atomic bool has_ended;
    struct metrics metrics;
    bucket_t late_lines; /* limits the log's lines of late operations */
};

/* worker.c */
/* Frees what ended and lets queues move. At the end of each callback of the event loop. */
void worker_settle(struct worker *worker);
/* Sees to it that the tick goes off while anything is asked. */
void worker_arm_tick(struct worker *worker);
/* Runs all queues at that moment, at the latest. */
void worker_run_at(struct worker *worker, time_ns at);
/* Wakes the control thread. */
void worker_alert(struct worker *worker);
/* The same, for something that the coordinator should hear of at once. */
void worker_tell_news(struct worker *worker);

/* session.c */
void session_open(struct worker *worker, int socket);
/* Closes the client's connection; what runs for it is left to its server. */
void session_end(struct session *session);
void session_free(struct session *session);
/* The statement is answered by the database. */
void session_answer(struct session *session, struct server *server, enum transaction_state state,
                    const struct log_position *position);
/* The server broke or was given up while it worked for the session. */
void session_server_lost(struct session *session, enum answer_code reason);
/* The statement has not run and may go elsewhere: queues it again or refuses it. */
void session_try_again(struct session *session, enum answer_code reason);
/* Its statement is not run, as it would be late; the client is told when to come back. */
void session_refuse(struct session *session, enum metrics_refusal why);
/* The same for one in a queue, which is left only after the current callback: safe while the queue
 * is walked. */
void session_end_wait(struct session *session, enum metrics_refusal why);
/* The operation is not begun; the client is told when to come back. */
void session_refuse_operation(struct session *session, enum answer_code code, uint32_t retry_ms);
/* The operation may begin: its statement goes to the router. */
void session_route(struct session *session);
/* Its statement goes to a database. */
void session_sent(struct session *session);
/* Goes on with a session whose start came before the first view. */
void session_continue(struct session *session);
/* True if no statement or transaction is open and nothing is buffered: its client does not take a
 * close for a failure. */
bool session_is_at_rest(const struct session *session);
/* Ends idle sessions of a worker that stops. */
void session_check_stop(struct session *session, time_ns now);

/* server.c */
/* Opens a connection for a tenant, or, for questions of our own, as nobody's
 * (access_public_tenant). `why` is one of METRICS_OPENED_*. NULL if no socket could be had. */
struct server *server_open(struct database *database, const char *tenant, enum metrics_counter why);
void server_free(struct server *server);
/* Gives the connection up; a session that it serves is told with the reason. */
void server_close(struct server *server, enum answer_code reason);
/* Sends the session's statement, with what it needs before. The server is idle or the session's. */
void server_run(struct server *server, struct session *session, const struct log_position *after);
/* The session needs it no longer: rolls back what is open and returns to the pool. */
void server_release(struct server *server);

/* Asks the database for its status, for a check of leadership. The server is idle. */
void server_query_status(struct server *server);

/* leadership.c */
/* Asks the primary and its replicas whether it still leads, unless that is under way. */
void leadership_check_start(struct group *group);
/* One of them answered, or did not (NULL). `asked` is when the check began. */
void leadership_check_answer(struct group *group, const struct database *database,
                             const struct database_report *report);
/* The primary has shown that it led at this moment. */
void leadership_note_proven(struct group *group, time_ns at);

/* database.c */
struct database *database_new(struct group *group, struct member_shared *shared);
void database_free(struct database *database);
/* An idle connection of the session's tenant that suits it best; NULL if there is none. */
struct server *database_idle_server(const struct database *database, const struct session *session);
/* Any idle connection; NULL if there is none. */
struct server *database_any_idle(const struct database *database);
/** @return true if a connection to the database is being opened. */
bool database_is_opening(const struct database *database);
/* True if another connection may be opened to it now, or as soon as the openings under way end. */
bool database_will_open(const struct database *database, time_ns now);
/* True if one may be opened now (pool.h). */
bool database_may_open(const struct database *database, time_ns now);
/* True if one may be opened now for a statement that has not come yet (pool.h). */
bool database_may_open_ahead(const struct database *database, time_ns now);
/* How many connections to it may be open here. */
uint32_t database_connections(const struct database *database);
/* Makes room for a connection, where there is none, by closing the idle one unused for longest.
 * False if none is idle. */
bool database_free_connection(struct database *database);
/* Opens what the next statements are likely to need. */
void database_open_ready(struct database *database, time_ns now);
void database_set_fault(struct database *database, enum database_fault fault, time_ns now);
enum database_fault database_fault(const struct database *database);
/* True if the database is given another statement of this priority now. */
bool database_has_capacity(const struct database *database, uint32_t priority, time_ns now);
/* A statement was refused for want of a slot: it is given fewer at once. */
void database_narrow_window(struct database *database, time_ns now);
/* A statement was run: the window may widen, or narrow if it was slow. `slowness`: its time divided
 * by the usual one; 0: not known. */
void database_note_statement_answer(struct database *database, double slowness, time_ns now);
/* Notes an answer. */
void database_note_answer(struct database *database, time_ns now);
/* Notes that a connection could not be opened, and waits longer each time. */
void database_note_open_failure(struct database *database, enum answer_code code);
/* Notes that one was opened, and how long it took. */
void database_note_opening(struct database *database, time_ns took);
/* Notes how long the first round trip of an opening took. */
void database_note_rtt(struct database *database, time_ns took);
/* Closes connections that have not been used for a while, beside those kept ready. */
void database_close_unused(struct database *database, time_ns now);
/* Looks for silence and stalls, and opens connections anew where they failed. */
void database_tick(struct database *database, time_ns now);
/* Closes the connections that match. */
typedef bool server_predicate(const struct server *server, time_ns now);
void database_close_where(struct database *database, server_predicate *matches, time_ns now,
                          enum answer_code reason);
/* Closes idle connections, as when it leaves. */
void database_close_idle(struct database *database);

/* router.c */
/* Finds a connection for the session's statement and sends it, or leaves it queued. */
void router_submit(struct session *session);
/* Takes the session out of its group's queue, if it is in it. */
void router_leave_queue(struct session *session);
/* The session is likely to ask soon: opens a connection for it, here or at an owner, where its
 * tenant has none that is idle. */
void router_announce(const struct session *session);
/* Lets waiting statements go where they can. */
void router_run_queue(struct group *group);
/* False if a statement of the open transaction could be acknowledged by a replaced primary: where
 * no replica has to receive commits, they need a permit. */
bool router_may_write_on(const struct session *session);
/* True if reads at the primary see every commit that was acknowledged until now. */
bool router_has_permit(const struct group *group, time_ns now);
/* Logs the end of each shortage that is over. True while a line of the group is short of room. */
bool router_check_shortage(struct group *group, time_ns now);
/* True if only the primary can serve the session's statement, whatever else is known. */
bool router_needs_primary(const struct session *session);
/* In how long a request that is refused now could be served here; 0: not known. */
time_ns router_retry_after(struct session *session, time_ns now);
/* True if other poolers hold the connections to the group's databases. */
bool router_forwards(const struct group *group);

/* group.c */
struct group *group_of(struct worker *worker, struct group_shared *shared);
void group_apply(struct group *group, const struct pooled_group *view);
/* Keeps connections ready and tries lost owners again, while the view has not changed. */
void group_refresh(struct group *group);
/** @brief Serves the group by connections of its own, if none of its owners can be reached.
 *  @return false if it has none to open, or an owner may be reached. */
bool group_start_direct_fallback(struct group *group);
/** @brief Leaves the group to its owners again, as one of them has given a sign. */
void group_end_direct_fallback(struct group *group);
/* Looks at what waits or is silent. True while a database in use has a fault: only a look at it
 * takes that back. */
bool group_tick(struct group *group, time_ns now);
void group_note_in_flight(struct group *group);

#endif
