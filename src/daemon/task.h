/* One caller's request while this daemon serves it: the request, its flow, its slot and its answer.
 * At any time a task is run by one worker, parked, queued for a slot, or answered. */
#ifndef SW_DAEMON_TASK_H
#define SW_DAEMON_TASK_H

#include "backend/adapter.h"
#include "core/admission.h"
#include "core/read_flow.h"
#include "core/write_flow.h"
#include "daemon/decision_log.h"
#include "daemon/group_runtime.h"
#include "daemon/worker_pool.h"
#include "generated/messages.h"
#include "trace/write_trace.h"

struct daemon;
struct transaction;

/* Receives the answer of a task, which owns `reply`. Called once, on a worker. */
typedef void (*task_answer_function)(void *origin, const struct reply *reply);

enum task_state {
    TASK_STATE_STARTING,  /* no step taken yet */
    TASK_STATE_READING,   /* read_step is to be performed */
    TASK_STATE_WRITING,   /* write_step is to be performed */
    TASK_STATE_BEGINNING, /* waiting for a database or a connection */
    TASK_STATE_ANSWERED,
};

/* Used by one thread at a time; no locks. */
struct task {
    struct worker_job job; /* first member: a job is cast to its task */
    struct daemon *daemon;
    struct request *request; /* owned */
    task_answer_function answer;
    void *origin;

    struct configuration *configuration; /* one reference; owns `route` */
    const struct tenant_route *route;
    struct group_runtime *group; /* one reference; NULL if this daemon does not own the group */
    time_ns started_at;
    time_ns deadline;

    enum task_state state;
    struct read_flow read_flow;
    struct read_step read_step;
    struct write_flow write_flow;
    struct write_step write_step;
    struct write_trace *write_trace; /* NULL if it is not recorded */

    uint32_t begin_attempts;   /* for BEGINNING, as the next two */
    uint32_t begin_excluded;   /* bit per database that was tried without success */
    time_ns unavailable_since; /* since when no database can serve; 0 if one can */

    struct admission_ticket ticket;
    int32_t slot_database; /* database whose slot the task holds, or -1 */
    bool ticket_expired;   /* the queue returned the ticket without a slot */
    time_ns slot_since;
    int32_t run_database; /* database of the last step, or -1 */
    bool in_gate;         /* counted among the tenant's requests in the group */
    bool resolve_only;    /* a commit whose transaction is no longer open */
    bool counts_as_write; /* in the group's writes_running */

    struct transaction *transaction; /* to be committed; rolled back if still set at the end */
    char *ledger_key;                /* tenant and idempotency key, or NULL */
    struct execute_answer run;       /* of the last step */
    struct execute_answer failure;   /* the error to answer with once the key is closed */
    struct decision_record decision; /* recorded for explain when the task is answered */
    struct reply reply;
};

/* Starts a task for a valid request, whose ownership it takes. Answers at once with STOPPING,
 * NOT_READY, UNKNOWN_TENANT or OVERLOADED if it can't run. Any thread. */
void task_submit(struct daemon *daemon, struct request *request, task_answer_function answer,
                 void *origin);

/* Answers and frees the task. Rolls a transaction back that the task still has. */
void task_finish(struct task *task);

/* Fills the reply with an outcome other than done, and finishes. */
void task_refuse(struct task *task, enum outcome outcome, enum error_kind error, const char *text,
                 uint32_t retry_after_ms);

/* Runs the read flow until the task is answered, parked or queued. */
void task_run_read(struct task *task);

/* Runs the write flow until the task is answered, parked or queued. */
void task_run_write(struct task *task);

/* Runs a request of an open interactive transaction. */
void task_run_transaction(struct task *task);

/* Takes a slot of a database. Returns true if the slot is held. Otherwise the task was queued and
 * will run again, or it was refused: then *refused is true and *retry_after_ms is set. */
bool task_take_slot(struct task *task, uint32_t database, enum admission_class rank, bool *refused,
                    uint32_t *retry_after_ms);

/* Starts the tasks queued for a database that admission now allows. Called with its admission_lock
 * held. */
void task_start_queued(struct daemon *daemon, struct group_runtime *group, uint32_t database,
                       time_ns now);

/* Refuses the tasks queued for a slot of the group that can no longer end before their deadline. */
void task_expire_queued(struct daemon *daemon, struct group_runtime *group, time_ns now);

/* Releases the slot, if one is held, and starts the next queued task. */
void task_release_slot(struct task *task);

/* Deadline of one attempt that can be repeated. Part of the remaining time is reserved to find out
 * the attempt's outcome or to try another database. */
time_ns task_attempt_deadline(const struct task *task);

/* Position that the session has seen in the task's group; zero if none. */
struct log_position task_session_position(const struct task *task);

/* Sets in the reply the position that the session has now seen. */
void task_set_seen(struct task *task, struct log_position position);

/* Sets in the reply the database that served the request. */
void task_set_served(struct task *task, int32_t database, const char *role);

/* Moves the results of a run into the reply. */
void task_take_results(struct task *task, struct execute_answer *answer);

#endif
