/* The execution of one write, as a state machine: run it at the primary, gather evidence and
 * answer; or, after a lost reply, run it again under the same idempotency key or close the key. The
 * driver (a request thread of the daemon, or the simulator) performs each step and feeds the result
 * as the next event. The ledger is the table in the databases of idempotency keys and their
 * outcomes.
 *
 * START -> EXECUTE -> COMMITTED -> EVIDENCE -> ANSWER done
 *
 * START -> EXECUTE -> LOST with a key -> EXECUTE under the same key, or CLOSE_KEY -> ANSWER
 *
 * START -> EXECUTE -> LOST without a key -> ANSWER unknown */
#ifndef SW_CORE_WRITE_FLOW_H
#define SW_CORE_WRITE_FLOW_H

#include "core/acknowledge.h"
#include "core/route.h"
#include "core/types.h"
#include "generated/errors.h"
#include "generated/messages.h"

/* What the driver must do next. */
enum write_step_kind {
    WRITE_STEP_EXECUTE, /* run the transaction at step.database under the idempotency key, if any */
    WRITE_STEP_EVIDENCE,  /* query the group's members for evidence of step.position; feed EVIDENCE
                             events */
    WRITE_STEP_CLOSE_KEY, /* claim the key at step.database: its recorded outcome is returned, or it
                             can never run */
    WRITE_STEP_WAIT,      /* wait for a new view or until step.until, then feed TIMER */
    WRITE_STEP_ANSWER,    /* final: step.outcome, step.error, step.retry_after_ms */
};

struct write_step {
    enum write_step_kind kind;
    int32_t database;
    struct log_position position;
    time_ns until; /* the step must end by this time */
    enum outcome outcome;
    enum error_kind error;
    uint32_t retry_after_ms;
    enum route_reason reason;
};

/* Result of the last step. */
enum write_event_kind {
    WRITE_EVENT_START,
    WRITE_EVENT_TIMER,
    WRITE_EVENT_NOT_SENT,     /* nothing was sent to the database */
    WRITE_EVENT_NOT_PRIMARY,  /* refused: not the primary, or fenced; rolled back */
    WRITE_EVENT_FAILED,       /* the database reported an error: rolled back */
    WRITE_EVENT_CONFLICT,     /* serialization failure: rolled back */
    WRITE_EVENT_COMMITTED,    /* committed at event.position by this attempt */
    WRITE_EVENT_ALREADY_DONE, /* the ledger has the outcome; committed by event.position */
    WRITE_EVENT_KEY_CLOSED, /* the ledger has closed the key at event.position: the write never ran
                               and never will */
    WRITE_EVENT_KEY_REUSED, /* the ledger has another request with this key */
    WRITE_EVENT_LOST,       /* sent, no reply */
    WRITE_EVENT_EVIDENCE,   /* event.database reported event.status after the commit */
    WRITE_EVENT_EVIDENCE_END, /* no other member will respond before the step's end */
    WRITE_EVENT_GIVE_UP,      /* the step was not performed: no retry budget or slot left */
};

struct write_event {
    enum write_event_kind kind;
    time_ns now;
    int32_t database;
    struct log_position position;
    struct database_status status;
    enum error_kind error; /* GIVE_UP: error to return if nothing was run */
    uint32_t retry_after_ms;
};

/* States of the flow; see the sequences above. */
enum write_state {
    WRITE_STATE_IDLE,
    WRITE_STATE_EXECUTING,
    WRITE_STATE_CONFIRMING, /* gathering evidence for a commit of this attempt or from the ledger */
    WRITE_STATE_CLOSING,
    WRITE_STATE_CONFIRMING_CLOSED, /* gathering evidence for a closed key */
    WRITE_STATE_CONFIRMING_REUSED, /* gathering evidence for another request with the key: a primary
                                      that is being replaced may show a ledger row that will be
                                      lost, while this write has run elsewhere */
    WRITE_STATE_WAITING,
    WRITE_STATE_ANSWERED,
};

/* Limits and options of one write. */
struct write_options {
    time_ns deadline;
    uint32_t unavailable_wait_ms; /* maximum wait for a primary */
    bool keyed;                   /* has an idempotency key: safe to run again */
    bool commit_only;  /* commits an interactive transaction: can't be run again, only resolved */
    bool resolve_only; /* nothing is run: the key's outcome is looked up, or the key is closed */
    uint32_t attempts_max;
    bool trust_commit;   /* TEST ONLY: acknowledge without evidence (mutation) */
    bool resend_unkeyed; /* TEST ONLY: a write without a key is run again (mutation) */
};

/* One write. Owned by one driver; no locks. */
struct write_flow {
    struct write_options options;
    enum write_state state;
    uint32_t attempts;
    bool may_have_run; /* an attempt was sent and its outcome is unknown */
    bool replayed;     /* the outcome came from the ledger */
    bool close_key;    /* after the wait, close the key instead of running the write again */
    bool failed;       /* the database reported an error; returned once the key is closed */
    enum error_kind failure;
    time_ns unavailable_since; /* first step without a primary to take the write; 0 if none */
    struct acknowledge_evidence evidence;
};

/* Initialises a flow. The first event must be WRITE_EVENT_START. */
void write_flow_init(struct write_flow *flow, const struct write_options *options);

/* Handles an event with the newest view and returns the next step. */
struct write_step write_flow_next(struct write_flow *flow, const struct write_event *event,
                                  const struct group_view *view);

#endif
