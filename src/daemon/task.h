/* One caller's request while this daemon serves it: the request, its flow, its slot and its answer.
 * A task is always in one place: with one worker, parked, queued for a slot, or answered. */
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

/* Takes the answer of a task; `reply` is the task's. Called once, on a worker. */
typedef void (*task_answer_function)(void *origin, const struct reply *reply);

enum task_state {
    TASK_STATE_STARTING,  /* no step taken yet */
    TASK_STATE_READING,   /* read_step is to be performed */
    TASK_STATE_WRITING,   /* write_step is to be performed */
    TASK_STATE_BEGINNING, /* a database or a connection is waited for */
    TASK_STATE_ANSWERED,
};

/* Owned by whoever runs it; no locks. */
struct task {
    struct worker_job job; /* first: a job is its task */
    struct daemon *daemon;
    struct request *request; /* owned */
    task_answer_function answer;
    void *origin;

    struct configuration *configuration; /* one reference; holds the route */
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

    uint32_t begin_attempts;   /* of BEGINNING, as the next two */
    uint32_t begin_excluded;   /* bit per database that was tried in vain */
    time_ns unavailable_since; /* no database can serve since then; 0 if one can */

    struct admission_ticket ticket;
    int32_t slot_database; /* whose slot the task holds, or -1 */
    bool ticket_expired;   /* the queue handed the ticket back without a slot */
    time_ns slot_since;
    int32_t run_database; /* where the last step ran, or -1 */
    bool in_gate;         /* counts among the tenant's requests of the group */
    bool resolve_only;    /* a commit whose transaction is gone */
    bool counts_as_write; /* in the group's writes_running */

    struct transaction *transaction; /* to be committed; rolled back if still here at the end */
    char *ledger_key;                /* tenant and idempotency key, or NULL */
    struct execute_answer run;       /* of the last step */
    struct execute_answer failure;   /* the error to tell once the key is closed */
    struct decision_record decision; /* what is noted for explain; kept when the task is answered */
    struct reply reply;
};

/* Starts a task for a valid request, which it takes over. Answered with STOPPING, NOT_READY,
 * UNKNOWN_TENANT or OVERLOADED at once where it can't run. Any thread. */
void task_submit(struct daemon *daemon, struct request *request, task_answer_function answer,
                 void *origin);

/* Answers and frees the task; a transaction it still has is rolled back first. */
void task_finish(struct task *task);

/* Fills the reply with an outcome that is not done, and finishes. */
void task_refuse(struct task *task, enum outcome outcome, enum error_kind error, const char *text,
                 uint32_t retry_after_ms);

/* Runs the read flow until the task is answered, parked or queued. */
void task_run_read(struct task *task);

/* Runs the write flow until the task is answered, parked or queued. */
void task_run_write(struct task *task);

/* Runs a request of an open interactive transaction. */
void task_run_transaction(struct task *task);

/* Takes a slot of a database. True: held. False: the task was queued (it will run again), or
 * refused: then *refused is true and *retry_after_ms set. */
bool task_take_slot(struct task *task, uint32_t database, enum admission_class rank, bool *refused,
                    uint32_t *retry_after_ms);

/* Starts the queued tasks that are due at a database. Called with its admission_lock held. */
void task_start_queued(struct daemon *daemon, struct group_runtime *group, uint32_t database,
                       time_ns now);

/* Refuses the tasks that were queued for a slot of the group and would now end too late. */
void task_expire_queued(struct daemon *daemon, struct group_runtime *group, time_ns now);

/* Gives the slot back, if one is held, and starts the next in the queue. */
void task_give_slot(struct task *task);

/* Until when one attempt may last that can be made again: a part of the time left is kept to find
 * out what became of it, or to try elsewhere. */
time_ns task_attempt_deadline(const struct task *task);

/* What the session has seen in the task's group; zero if nothing. */
struct log_position task_session_position(const struct task *task);

/* Notes in the reply what the session has now seen. */
void task_note_seen(struct task *task, struct log_position position);

/* Names the database that served in the reply. */
void task_note_served(struct task *task, int32_t database, const char *role);

/* Moves the results of a run into the reply. */
void task_take_results(struct task *task, struct execute_answer *answer);

#endif
