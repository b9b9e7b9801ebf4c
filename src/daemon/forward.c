/* Running a request here or at another daemon; see the header. */
#include "daemon/forward.h"

#include <glib.h>
#include <string.h>

#include "backend/clock.h"
#include "daemon/control.h"
#include "daemon/daemon.h"
#include "daemon/task_begin.h"
#include "daemon/task_decision.h"
#include "daemon/task_transaction.h"
#include "daemon/transaction.h"

/* Maximum number of daemons that a request passes through after the first. */
#define FORWARD_HOPS_MAX 1

/* Time by which the forwarded deadline is shortened, for the transfer of the answer. */
#define FORWARD_MARGIN_MS 5

/* Pause before the owners are checked again; a new view ends it earlier. */
#define OWNER_RETRY_MS 20

/* Bounds of the retry delay for a tenant that had too many requests in flight. */
#define TENANT_RETRY_AFTER_MIN_MS 50
#define TENANT_RETRY_AFTER_MAX_MS 150

/* Retry delay if no owner could be reached. */
#define PEER_RETRY_AFTER_MS 300

static bool is_in_transaction(const struct request *request)
{
    return request->transaction_id != NULL && request->transaction_id[0] != '\0';
}

/* Retry delay for a tenant over its limit. It is random, so that its callers do not retry at the
 * same time. */
static uint32_t tenant_retry_after_ms(void)
{
    return (uint32_t)g_random_int_range(TENANT_RETRY_AFTER_MIN_MS, TENANT_RETRY_AFTER_MAX_MS);
}

static void run_here(struct task *task)
{
    const struct request *request = task->request;
    if (is_in_transaction(request)) {
        /* Continues where it began, whichever daemon owns the group now. */
        task_run_transaction(task);
        return;
    }
    if (task->group == NULL) {
        /* The daemons' views of ownership differ temporarily, or no daemon has claimed the group
         * yet. */
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_PEER_UNREACHABLE, NULL, PEER_RETRY_AFTER_MS);
        return;
    }
    task->in_gate =
        tenant_gate_enter(task->group->gate, task->route->tenant, task->route->in_flight_limit);
    if (!task->in_gate) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_TENANT_LIMIT, NULL, tenant_retry_after_ms());
        return;
    }
    if (request->kind == REQUEST_KIND_BEGIN) {
        task_run_begin(task);
        return;
    }
    if (request->read_only) {
        task_run_read(task);
        return;
    }
    if (task->route->writes_require_key && task->ledger_key == NULL) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_BAD_REQUEST,
                    "Writes of this tenant need an Idempotency-Key.", 0);
        return;
    }
    task_run_write(task);
}

/* True if a request whose answer was lost may be reported as not run and sent again. */
static bool may_retry_unanswered(const struct request *request)
{
    return request->read_only && request->kind != REQUEST_KIND_COMMIT;
}

/* Answers a forwarded request that got no reply, depending on what it may have done. */
static void answer_without_reply(struct task *task)
{
    const struct request *request = task->request;
    if (request->kind == REQUEST_KIND_BEGIN || request->kind == REQUEST_KIND_ROLLBACK) {
        /* The transaction can't be committed any more: a begun one's id was never returned, and the
         * caller of a rollback has abandoned its transaction. */
        task_refuse(task, OUTCOME_FAILED, ERROR_KIND_TRANSACTION_ABORTED, NULL,
                    PEER_RETRY_AFTER_MS);
        return;
    }
    task_refuse(task, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN, NULL, PEER_RETRY_AFTER_MS);
}

/* True if the other daemon certainly did nothing, for a reason that may not apply to another
 * daemon. */
static bool was_rejected(const struct message *message)
{
    if (message->kind != MESSAGE_KIND_REPLY || message->reply.outcome != OUTCOME_REFUSED) {
        return false;
    }
    uint32_t error = message->reply.error_kind;
    return error == ERROR_KIND_STOPPING || error == ERROR_KIND_NOT_READY ||
           error == ERROR_KIND_PEER_UNREACHABLE;
}

static void take_forwarded_reply(struct task *task, struct reply *reply)
{
    struct reply *own = &task->reply;
    reply_clear(own);
    *own = *reply;
    reply_init(reply);
    g_clear_pointer(&own->request_id, g_free);
    task_finish(task);
}

/* Sends the request to a daemon and waits for the reply; see peer_call. */
static enum peer_call_result send_request(struct task *task, const char *address, time_ns now,
                                          struct message *in)
{
    uint32_t left_ms = (uint32_t)((task->deadline - now) / NANOSECONDS_PER_MILLISECOND);
    struct message out;
    message_init(&out, MESSAGE_KIND_REQUEST);
    request_copy(&out.request, task->request);
    out.request.hops = task->request->hops + 1;
    out.request.budget_ms = left_ms > FORWARD_MARGIN_MS ? left_ms - FORWARD_MARGIN_MS : 1;
    enum peer_call_result result =
        peer_call(task->daemon->peers, address, &out, in, task->deadline, NULL);
    message_clear(&out);
    return result;
}

/* Answers a request that could not be forwarded, with this error. For a commit the outcome may be
 * unknown, as an earlier request may have run it. */
static void answer_not_forwarded(struct task *task, enum error_kind error)
{
    if (task->request->kind == REQUEST_KIND_COMMIT) {
        task_refuse(task, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN, NULL, PEER_RETRY_AFTER_MS);
        return;
    }
    task_refuse(task, OUTCOME_REFUSED, error, NULL, PEER_RETRY_AFTER_MS);
}

/* Sends the request to one daemon. Returns false if that daemon certainly did nothing, so that
 * another may be tried; otherwise the task was answered. */
static bool forward_to(struct task *task, const char *address)
{
    struct message in;
    time_ns now = backend_now();
    if (now >= task->deadline) {
        answer_not_forwarded(task, ERROR_KIND_DEADLINE);
        return true;
    }
    task_record_forward(task, address);
    enum peer_call_result result = send_request(task, address, now, &in);
    if (result == PEER_CALL_NOT_SENT) {
        return false;
    }
    if (result == PEER_CALL_SENT_NO_ANSWER) {
        if (may_retry_unanswered(task->request)) {
            return false;
        }
        answer_without_reply(task);
        return true;
    }
    bool rejected = was_rejected(&in);
    if (!rejected && in.kind == MESSAGE_KIND_REPLY) {
        take_forwarded_reply(task, &in.reply);
    } else if (!rejected) {
        answer_without_reply(task);
    }
    message_clear(&in);
    return !rejected;
}

/* No daemon has accepted the request: owners or their addresses are changing, or they are
 * unreachable. Returns true if the task was parked to try again soon; false after a bound. */
static bool wait_for_owner(struct task *task)
{
    time_ns now = backend_now();
    time_ns wait = task->daemon->settings.routing.unavailable_wait_ms * NANOSECONDS_PER_MILLISECOND;
    if (task->unavailable_since == 0) {
        task->unavailable_since = now;
    }
    if (now >= task->unavailable_since + wait || now >= task->deadline) {
        return false;
    }
    time_ns until = now + OWNER_RETRY_MS * NANOSECONDS_PER_MILLISECOND;
    worker_pool_park(task->daemon->workers, &task->job, until);
    return true;
}

/* Sends the request to an owner of its group, nearest first. Returns false if this daemon owns the
 * group, or if the request was forwarded by a daemon that takes it for an owner. */
static bool forward_to_owner(struct task *task)
{
    struct owner_list owners;
    if (task->group == NULL) {
        task->group = daemon_take_group(task->daemon, task->request->group);
    }
    if (task->group != NULL || task->request->hops >= FORWARD_HOPS_MAX) {
        return false;
    }
    control_owners_of(task->daemon->control, task->request->group, &owners);
    for (uint32_t i = 0; i < owners.count; i++) {
        if (forward_to(task, owners.addresses[i])) {
            return true;
        }
    }
    if (!wait_for_owner(task)) {
        answer_not_forwarded(task, ERROR_KIND_PEER_UNREACHABLE);
    }
    return true;
}

/* Answers when the owner of a transaction can't be reached, or is not a member, or no longer. */
static void answer_owner_lost(struct task *task, bool is_member)
{
    if (task->request->kind == REQUEST_KIND_COMMIT) {
        /* The commit's key, if it has one, is looked up at an owner of the group. */
        if (!forward_to_owner(task)) {
            task_resolve_commit(task);
        }
        return;
    }
    enum error_kind error =
        is_member ? ERROR_KIND_PEER_UNREACHABLE : ERROR_KIND_UNKNOWN_TRANSACTION;
    task_refuse(task, OUTCOME_REFUSED, error, NULL, PEER_RETRY_AFTER_MS);
}

/* Sends a transaction's request to its owner. False if the owner is this daemon. */
static bool forward_transaction(struct task *task)
{
    g_autofree char *owner = transaction_owner_of(task->request->transaction_id);
    if (owner == NULL) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_UNKNOWN_TRANSACTION, NULL, 0);
        return true;
    }
    if (strcmp(owner, task->daemon->settings.daemon.name) == 0) {
        return false;
    }
    g_autofree char *address = control_address_of(task->daemon->control, owner);
    bool may_forward = address != NULL && task->request->hops < FORWARD_HOPS_MAX;
    if (may_forward && (forward_to(task, address) || wait_for_owner(task))) {
        return true;
    }
    answer_owner_lost(task, may_forward);
    return true;
}

void forward_or_run(struct task *task)
{
    bool forwarded =
        is_in_transaction(task->request) ? forward_transaction(task) : forward_to_owner(task);
    if (!forwarded) {
        run_here(task);
    }
}
