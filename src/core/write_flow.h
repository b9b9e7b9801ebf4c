/* The life of one write, as a state machine: run at the primary, gather evidence, answer; or, after
 * a lost answer, run again under the same idempotency key or close the key. The driver (a request
 * thread of the daemon, or the simulator) performs each step and feeds what happened as the next
 * event.
 *
 *   START -> EXECUTE -> (COMMITTED) -> EVIDENCE -> ANSWER done
 *                    -> (LOST, keyed) -> EXECUTE again under the same key, or CLOSE_KEY -> ANSWER
 *                    -> (LOST, no key) -> ANSWER unknown
 */
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
    WRITE_STEP_EVIDENCE,  /* ask the group's members to confirm step.position; feed EVIDENCE events
                           */
    WRITE_STEP_CLOSE_KEY, /* claim the key at step.database: recorded outcome, or never to run */
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

/* What came of the last step. */
enum write_event_kind {
    WRITE_EVENT_START,
    WRITE_EVENT_TIMER,
    WRITE_EVENT_NOT_SENT,     /* nothing of the transaction reached the database */
    WRITE_EVENT_NOT_PRIMARY,  /* the database refused as no primary, or fenced: rolled back */
    WRITE_EVENT_FAILED,       /* the database reported an error: rolled back */
    WRITE_EVENT_CONFLICT,     /* serialization failure: rolled back */
    WRITE_EVENT_COMMITTED,    /* committed at event.position, run now */
    WRITE_EVENT_ALREADY_DONE, /* the ledger had the outcome; it stands at event.position or before
                               */
    WRITE_EVENT_KEY_CLOSED,   /* the ledger says: never run, never will be; at event.position */
    WRITE_EVENT_KEY_REUSED,   /* the ledger has another request under this key */
    WRITE_EVENT_LOST,         /* sent, and no answer */
    WRITE_EVENT_EVIDENCE,     /* event.database answered event.status after the commit */
    WRITE_EVENT_EVIDENCE_END, /* nobody else will answer before the step's end */
    WRITE_EVENT_GIVE_UP,      /* instead of performing a step: no retry budget or slot is left */
};

struct write_event {
    enum write_event_kind kind;
    time_ns now;
    int32_t database;
    struct log_position position;
    struct database_status status;
    enum error_kind error; /* of GIVE_UP: what to tell if nothing was run */
    uint32_t retry_after_ms;
};

/* States of the flow; see the drawing above. */
enum write_state {
    WRITE_STATE_IDLE,
    WRITE_STATE_EXECUTING,
    WRITE_STATE_CONFIRMING, /* evidence for a commit run now or found in the ledger */
    WRITE_STATE_CLOSING,
    WRITE_STATE_CONFIRMING_CLOSED, /* evidence for a closed key */
    WRITE_STATE_CONFIRMING_REUSED, /* evidence for another request under the key: a primary that is
                                      being replaced may show a row that will not last, while
                                      this write has run elsewhere */
    WRITE_STATE_WAITING,
    WRITE_STATE_ANSWERED,
};

/* Fixed bounds of one write. */
struct write_options {
    time_ns deadline;
    uint32_t unavailable_wait_ms; /* longest wait for a primary */
    bool keyed;                   /* carries an idempotency key: safe to run again */
    bool commit_only;  /* ends an interactive transaction: it can't be run again, only resolved */
    bool resolve_only; /* nothing is run: the key's outcome is looked up, or the key closed */
    uint32_t attempts_max;
    bool trust_commit;   /* TEST ONLY: acknowledge without evidence (mutation) */
    bool resend_unkeyed; /* TEST ONLY: run a write without a key again (mutation) */
};

/* One write. Owned by one driver; no locks. */
struct write_flow {
    struct write_options options;
    enum write_state state;
    uint32_t attempts;
    bool maybe_run; /* an attempt was sent and its outcome is not known */
    bool replayed;  /* the outcome came from the ledger */
    bool closing;   /* after a wait, close the key instead of running again */
    bool failed;    /* the database reported an error; told once the key is closed */
    enum error_kind failure;
    time_ns unavailable_since; /* first step for which no primary took the write; zero if none */
    struct acknowledge_evidence evidence;
};

/* Prepares a flow; the first call of write_flow_next takes WRITE_EVENT_START. */
void write_flow_init(struct write_flow *flow, const struct write_options *options);

/* Takes an event and the newest view, and says what to do next. */
struct write_step write_flow_next(struct write_flow *flow, const struct write_event *event,
                                  const struct group_view *view);

#endif
