/* A simulated daemon: the shell of the group's control, of the connection pool and of the read and
 * write flows. All decisions are the core's. */
#ifndef SW_SIM_DAEMON_H
#define SW_SIM_DAEMON_H

#include "core/admission.h"
#include "core/read_flow.h"
#include "core/retry_budget.h"
#include "core/slot_share.h"
#include "core/write_flow.h"
#include "sim/sim_run.h"

/* Commands to databases under way, at most. */
#define SIM_COMMANDS_MAX 64

/* What a client sends. */
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

/* What it gets. */
struct sim_client_reply {
    uint64_t request_id;
    enum outcome outcome;
    enum error_kind error;
    uint32_t retry_after_ms;
    struct log_position session;
    uint64_t answered_id; /* request the data belongs to */
    struct sim_entry *seen;
    struct sim_entry *durable; /* the part of it that a majority held then */
    bool by_replica;
    uint64_t transaction; /* of BEGIN */
};

struct sim_flow;

/* A connection to a database. Answers come back in its order, without a tag of the request: who
 * uses the connection gets the next one. */
struct sim_connection {
    struct sim_daemon *daemon;
    uint32_t database;
    uint64_t id;
    bool closed;
    struct sim_flow *user; /* NULL while idle */
};

/* One request in the daemon. */
struct sim_flow {
    struct sim_daemon *daemon;
    struct sim_client_request request;
    struct write_flow write;
    struct read_flow read;
    bool in_progress; /* a statement or evidence is under way */
    uint64_t step;    /* number of the current step: late events of older ones are dropped */
    struct write_step write_step;
    struct read_step read_step;
    struct sim_connection *connection;
    const struct sim_transaction *transaction; /* of a COMMIT that found it; else NULL */
    time_ns unavailable_since;                 /* of BEGIN; 0 while a primary is known */
    struct admission_ticket ticket;
    bool queued;           /* for a slot */
    int32_t slot_database; /* whose slot the flow holds, or -1 */
    time_ns slot_since;
    uint64_t sent_term;   /* of the view when the statement was sent */
    uint64_t answered_id; /* request the accepted answer belongs to */
    struct sim_entry *seen;
    struct sim_entry *durable; /* the part of it that a majority held then */
};

/* A transaction that is open at a daemon. It holds its connection. */
struct sim_transaction {
    uint64_t id;
    struct sim_connection *connection;
    uint64_t term; /* in which it began */
};

/* Outstanding command of the control. */
struct sim_command {
    uint64_t id; /* 0: free */
};

struct sim_probe_state {
    uint64_t last_sent;     /* number of the last probe */
    uint64_t last_accepted; /* answers to earlier ones are dropped */
    uint64_t last_ended;
};

struct sim_daemon {
    struct sim_node node;
    struct sim_run *run;
    uint32_t index;
    uint64_t watcher; /* differs for each incarnation */
    struct group_control *control;
    struct group_view view;
    time_ns wake_at;
    struct sim_command commands[SIM_COMMANDS_MAX];
    GArray *issued; /* of struct trace_command, by command id */
    struct sim_probe_state probes[GROUP_DATABASES_MAX];
    bool drain_wish[GROUP_DATABASES_MAX];
    GPtrArray *idle[GROUP_DATABASES_MAX]; /* of struct sim_connection */
    GPtrArray *waiting;                   /* flows that wait for a new view */
    GPtrArray *transactions;              /* of struct sim_transaction, open */
    GPtrArray *running;                   /* flows with a statement or evidence under way */
    uint64_t drain_change;                /* planned change to report as drained; 0 if none */
    struct admission admissions[GROUP_DATABASES_MAX];
    bool admissions_begun;
    struct slot_share shares[GROUP_DATABASES_MAX];
    struct retry_budget retry_budget;
};

/* sim_daemon.c */
struct sim_daemon *sim_daemon_new(struct sim_run *run, uint32_t index, uint32_t zone);
void sim_daemon_free(struct sim_daemon *daemon);
/* Starts a new incarnation with nothing remembered. */
void sim_daemon_start(struct sim_daemon *daemon);
void sim_daemon_kill(struct sim_daemon *daemon);
/* Feeds one event to the control and performs the actions. */
void sim_daemon_feed(struct sim_daemon *daemon, struct group_event *event);
/* Tells every daemon who the watchers are, each after a delay of its own. */
void sim_daemon_spread_membership(struct sim_run *run);
/* An operator's wish reaches the daemon. */
void sim_daemon_wish(struct sim_daemon *daemon, uint32_t database, bool drain);
/* Reports a finished pause once no older write runs. */
void sim_daemon_check_drained(struct sim_daemon *daemon);

/* sim_request.c: takes a client's request; a sim_handler on a daemon. */
void sim_daemon_on_request(void *object, const void *payload);
/* Wakes the flows that wait for a view, and gives up statements at a replaced primary. */
void sim_daemon_view_changed(struct sim_daemon *daemon, bool primary_changed);

/* sim_pool.c */
/* Sends the flow's statement over an idle or a new connection. */
void sim_pool_send(struct sim_flow *flow, struct sim_database_request *request);
/* Sends it over the connection that the flow's transaction holds. */
void sim_pool_send_held(struct sim_flow *flow, struct sim_database_request *request);
/* Takes the connection from the flow: back to the idle ones, or closed. */
void sim_pool_release(struct sim_flow *flow, bool healthy);
/* In sim_request.c: the flow's statement was answered, or could not be sent. */
void sim_flow_answered(struct sim_flow *flow, const struct sim_database_reply *reply);
void sim_flow_not_sent(struct sim_flow *flow);

/* sim_admission.c */
/* Begins with empty queues, and without what an earlier incarnation held. */
void sim_admission_start(struct sim_daemon *daemon);
void sim_admission_clear(struct sim_daemon *daemon);
/* Takes a slot, a place in the queue, or neither; see admission_enter. */
enum admission_verdict sim_admission_enter(struct sim_flow *flow, uint32_t database,
                                           enum admission_class rank, uint32_t *retry_after_ms);
/* Gives the flow's slot back, if it has one, and goes on with who is next. */
void sim_admission_leave(struct sim_flow *flow);
/* Lets those in the queue go on that may. */
void sim_admission_start_queued(struct sim_daemon *daemon, uint32_t database);
/* In sim_request.c: the flow left the queue, with a slot or with the time to come back after. */
void sim_flow_dequeued(struct sim_flow *flow, bool admitted, uint32_t retry_after_ms);

/* sim_slots.c */
/* Begins without a place among the owners. */
void sim_slots_start(struct sim_daemon *daemon);
/* Tells the daemon who the owners are. */
void sim_slots_place(struct sim_daemon *daemon, const struct group_watcher *owners, uint32_t count);
/* Asks for slots, lends and gives back, as is due. */
void sim_slots_advance(struct sim_daemon *daemon, uint32_t database);

/* sim_transaction.c */
void sim_transaction_start(struct sim_flow *flow); /* a BEGIN */
void sim_transaction_timer(struct sim_flow *flow);
void sim_transaction_answered(struct sim_flow *flow, const struct sim_database_reply *reply);
void sim_transaction_lost(struct sim_flow *flow);
/* Takes the open transaction for its commit; NULL if the daemon does not have it. */
struct sim_transaction *sim_transaction_take(struct sim_daemon *daemon, uint64_t id);

/* sim_request.c, for sim_transaction.c */
void sim_flow_answer(struct sim_flow *flow, struct sim_client_reply *reply);
void sim_flow_wait_for_view(struct sim_flow *flow, time_ns until);
void sim_flow_set_running(struct sim_flow *flow, bool running);
/* The statement of the present step is given up at `at`. */
void sim_flow_schedule_timeout(struct sim_flow *flow, time_ns at);

/* sim_client.c: takes an answer; a sim_handler on a client. */
void sim_client_on_reply(void *object, const void *payload);

/* sim_fault.c: an event that may set a fault off. */
void sim_fault_trigger(struct sim_run *run, enum sim_trigger trigger, struct sim_daemon *actor);

/* Probes a database now, ahead of the interval. */
void sim_daemon_probe_now(struct sim_daemon *daemon, uint32_t database);

#endif
