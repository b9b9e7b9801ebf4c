/* A simulated daemon: group control, the connection pool and the read and write flows on virtual
 * time. All decisions are made by the core. */
#ifndef SW_SIM_DAEMON_H
#define SW_SIM_DAEMON_H

#include "core/admission.h"
#include "core/read_flow.h"
#include "core/retry_budget.h"
#include "core/slot_share.h"
#include "core/write_flow.h"
#include "sim/sim_run.h"

/* Most commands to databases in progress. */
#define SIM_COMMANDS_MAX 64

/* A client's request. */
struct sim_client_request {
    struct sim_node *from;
    sim_handler on_reply; /* takes a struct sim_client_reply */
    uint64_t request_id;
    uint32_t client;
    enum sim_work work;
    uint64_t transaction; /* of COMMIT */
    struct sim_operation *operation;
    struct log_position session;
    time_ns deadline;
};

/* The reply to it. */
struct sim_client_reply {
    uint64_t request_id;
    enum outcome outcome;
    enum error_kind error;
    uint32_t retry_after_ms;
    struct log_position session;
    uint64_t answered_id; /* id of the request that the data belongs to */
    struct sim_entry *seen;
    struct sim_entry *durable; /* last entry of `seen`'s log that a majority held at that time */
    bool by_replica;
    uint64_t transaction; /* of BEGIN */
};

struct sim_flow;

/* A connection to a database. Replies arrive in the order of the requests and carry no request id:
 * the flow that uses the connection gets the next one. */
struct sim_connection {
    struct sim_daemon *daemon;
    uint32_t database;
    uint64_t id;
    bool closed;
    struct sim_flow *user; /* NULL while idle */
};

/* One request being served. */
struct sim_flow {
    struct sim_daemon *daemon;
    struct sim_client_request request;
    struct write_flow write;
    struct read_flow read;
    bool in_progress; /* a statement or a request for evidence is in progress */
    uint64_t step;    /* number of the current step; events of earlier steps are dropped */
    struct write_step write_step;
    struct read_step read_step;
    struct sim_connection *connection;
    const struct sim_transaction
        *transaction;          /* of a COMMIT whose transaction was found here; else NULL */
    time_ns unavailable_since; /* of BEGIN; 0 while a primary is known */
    struct admission_ticket ticket;
    bool queued;           /* waits for a slot */
    int32_t slot_database; /* database whose slot the flow holds, or -1 */
    time_ns slot_since;
    uint64_t sent_term;   /* term of the view when the statement was sent */
    uint64_t answered_id; /* id of the request that the accepted reply belongs to */
    struct sim_entry *seen;
    struct sim_entry *durable; /* last entry of `seen`'s log that a majority held at that time */
};

/* A transaction that is open at a daemon. It keeps its connection. */
struct sim_transaction {
    uint64_t id;
    struct sim_connection *connection;
    uint64_t term; /* term in which it began */
};

/* An outstanding command of the group control. */
struct sim_command {
    uint64_t id; /* 0: free */
};

struct sim_probe_state {
    uint64_t last_sent;     /* number of the last probe */
    uint64_t last_accepted; /* replies to earlier probes are dropped */
    uint64_t last_ended;
};

struct sim_daemon {
    struct sim_node node;
    struct sim_run *run;
    uint32_t index;
    uint64_t watcher; /* watcher id; differs for each incarnation */
    struct group_control *control;
    struct group_view view;
    time_ns wake_at;
    struct sim_command commands[SIM_COMMANDS_MAX];
    GArray *issued; /* of struct trace_command, by command id */
    struct sim_probe_state probes[GROUP_DATABASES_MAX];
    bool drain_requested[GROUP_DATABASES_MAX];
    GPtrArray *idle[GROUP_DATABASES_MAX]; /* of struct sim_connection */
    GPtrArray *waiting;                   /* flows waiting for a new view */
    GPtrArray *transactions;              /* of struct sim_transaction, open */
    GPtrArray *running;    /* flows with a statement or a request for evidence in progress */
    uint64_t drain_change; /* planned change to report as drained; 0 if none */
    struct admission admissions[GROUP_DATABASES_MAX];
    bool admissions_begun;
    struct slot_share shares[GROUP_DATABASES_MAX];
    struct retry_budget retry_budget;
};

/* sim_daemon.c */
struct sim_daemon *sim_daemon_new(struct sim_run *run, uint32_t index, uint32_t zone);
void sim_daemon_free(struct sim_daemon *daemon);
/* Starts a new incarnation, without state of the previous one. */
void sim_daemon_start(struct sim_daemon *daemon);
void sim_daemon_kill(struct sim_daemon *daemon);
/* Feeds one event to the group control and performs the resulting actions. */
void sim_daemon_feed(struct sim_daemon *daemon, struct group_event *event);
/* Announces the watchers to every daemon, to each after a random delay. */
void sim_daemon_announce_membership(struct sim_run *run);
/* Applies an operator's drain request at the daemon. */
void sim_daemon_request_drain(struct sim_daemon *daemon, uint32_t database, bool drain);
/* Reports a completed pause once no older write runs. */
void sim_daemon_check_drained(struct sim_daemon *daemon);

/* sim_request.c: takes a client's request; a sim_handler on a daemon. */
void sim_daemon_on_request(void *object, const void *payload);
/* Resumes the flows that wait for a view, and abandons statements at a replaced primary. */
void sim_daemon_view_changed(struct sim_daemon *daemon, bool primary_changed);

/* sim_pool.c */
/* Sends the flow's statement over an idle or a new connection. */
void sim_pool_send(struct sim_flow *flow, struct sim_database_request *request);
/* Sends it over the connection of the flow's transaction. */
void sim_pool_send_held(struct sim_flow *flow, struct sim_database_request *request);
/* Detaches the connection from the flow: back to the idle ones if `healthy`, else closed. */
void sim_pool_release(struct sim_flow *flow, bool healthy);
/* In sim_request.c: the reply to the flow's statement arrived, or the statement could not be
 * sent. */
void sim_flow_answered(struct sim_flow *flow, const struct sim_database_reply *reply);
void sim_flow_not_sent(struct sim_flow *flow);

/* sim_admission.c */
/* Starts with empty queues and no slots taken. */
void sim_admission_start(struct sim_daemon *daemon);
void sim_admission_clear(struct sim_daemon *daemon);
/* Takes a slot, a place in the queue, or neither; see admission_enter. */
enum admission_verdict sim_admission_enter(struct sim_flow *flow, uint32_t database,
                                           enum admission_class rank, uint32_t *retry_after_ms);
/* Releases the flow's slot, if it has one, and resumes the next flow in the queue. */
void sim_admission_leave(struct sim_flow *flow);
/* Resumes the queued flows for which slots are free. */
void sim_admission_start_queued(struct sim_daemon *daemon, uint32_t database);
/* In sim_request.c: the flow left the queue, with a slot or with the time after which to retry. */
void sim_flow_dequeued(struct sim_flow *flow, bool admitted, uint32_t retry_after_ms);

/* sim_slots.c */
/* Starts without a position among the owners. */
void sim_slots_start(struct sim_daemon *daemon);
/* Sets the owners of the group at the daemon. */
void sim_slots_set_owners(struct sim_daemon *daemon, const struct group_watcher *owners,
                          uint32_t count);
/* Requests, lends and returns slots as due. */
void sim_slots_advance(struct sim_daemon *daemon, uint32_t database);

/* sim_transaction.c */
void sim_transaction_start(struct sim_flow *flow); /* a BEGIN */
void sim_transaction_timer(struct sim_flow *flow);
void sim_transaction_answered(struct sim_flow *flow, const struct sim_database_reply *reply);
void sim_transaction_lost(struct sim_flow *flow);
/* Removes the open transaction from the daemon's, for its commit; NULL if the daemon does not have
 * it. */
struct sim_transaction *sim_transaction_take(struct sim_daemon *daemon, uint64_t id);

/* sim_request.c, for sim_transaction.c */
void sim_flow_answer(struct sim_flow *flow, struct sim_client_reply *reply);
void sim_flow_wait_for_view(struct sim_flow *flow, time_ns until);
void sim_flow_set_running(struct sim_flow *flow, bool running);
/* Sets the time-out of the current step's statement. */
void sim_flow_schedule_timeout(struct sim_flow *flow, time_ns at);

/* sim_client.c: handles a reply; a sim_handler on a client. */
void sim_client_on_reply(void *object, const void *payload);

/* sim_fault.c: reports an event that may trigger a fault. */
void sim_fault_trigger(struct sim_run *run, enum sim_trigger trigger, struct sim_daemon *actor);

/* Probes a database now, before the interval has passed. */
void sim_daemon_probe_now(struct sim_daemon *daemon, uint32_t database);

#endif
