/* Running here or at another daemon; see the header. */
#include "daemon/forward.h"

#include <glib.h>
#include <string.h>

#include "backend/clock.h"
#include "daemon/control.h"
#include "daemon/daemon.h"
#include "daemon/task_begin.h"
#include "daemon/task_transaction.h"
#include "daemon/transaction.h"

/* Daemons that a request may pass through after the first. */
#define FORWARD_HOPS_MAX 1

/* Kept back from the forwarded deadline for the way back of the answer. */
#define FORWARD_MARGIN_MS 5

/* When a caller should come back after no owner could be reached. */
#define PEER_RETRY_AFTER_MS 300

static bool is_in_transaction(const struct request *request)
{
    return request->transaction_id != NULL && request->transaction_id[0] != '\0';
}

static void run_here(struct task *task)
{
    const struct request *request = task->request;
    if (is_in_transaction(request)) {
        /* It goes on where it began, whoever owns the group now. */
        task_run_transaction(task);
        return;
    }
    if (task->group == NULL) {
        /* Views of ownership differ for a moment, or nobody has claimed the group yet. */
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_PEER_UNREACHABLE, NULL, PEER_RETRY_AFTER_MS);
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

/* The answer to a forwarded request that got none: what is told depends on what it may have done.
 */
static void answer_lost_hop(struct task *task)
{
    const struct request *request = task->request;
    bool harmless = request->read_only && request->kind != REQUEST_KIND_COMMIT;
    if (harmless) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_PEER_UNREACHABLE, NULL, PEER_RETRY_AFTER_MS);
        return;
    }
    if (request->kind == REQUEST_KIND_BEGIN || request->kind == REQUEST_KIND_CONTINUE ||
        request->kind == REQUEST_KIND_ROLLBACK) {
        /* Nothing of it is ever committed without a commit request. */
        task_refuse(task, OUTCOME_FAILED, ERROR_KIND_TRANSACTION_ABORTED, NULL,
                    PEER_RETRY_AFTER_MS);
        return;
    }
    task_refuse(task, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN, NULL, PEER_RETRY_AFTER_MS);
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

/* True if the daemon does not serve the group now: it ran nothing, so that another owner may. */
static bool is_not_served(const struct task *task, const struct message *answer)
{
    if (is_in_transaction(task->request) || answer->kind != MESSAGE_KIND_REPLY ||
        answer->reply.outcome != OUTCOME_REFUSED) {
        return false;
    }
    uint32_t error = answer->reply.error_kind;
    return error == ERROR_KIND_PEER_UNREACHABLE || error == ERROR_KIND_STOPPING ||
           error == ERROR_KIND_NOT_READY;
}

/* Sends the request to one daemon. True if the task was answered. */
static bool forward_to(struct task *task, const char *address)
{
    time_ns now = backend_now();
    if (now >= task->deadline) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_DEADLINE, NULL, PEER_RETRY_AFTER_MS);
        return true;
    }
    uint32_t left_ms = (uint32_t)((task->deadline - now) / NANOSECONDS_PER_MILLISECOND);
    struct message out;
    struct message in;
    message_init(&out, MESSAGE_KIND_REQUEST);
    request_copy(&out.request, task->request);
    out.request.hops = task->request->hops + 1;
    out.request.budget_ms = left_ms > FORWARD_MARGIN_MS ? left_ms - FORWARD_MARGIN_MS : 1;
    enum peer_call_result result =
        peer_call(task->daemon->peers, address, &out, &in, task->deadline, NULL);
    message_clear(&out);
    if (result == PEER_CALL_NOT_SENT) {
        return false;
    }
    if (result == PEER_CALL_ANSWERED && is_not_served(task, &in)) {
        message_clear(&in);
        return false;
    }
    if (result == PEER_CALL_SENT_NO_ANSWER || in.kind != MESSAGE_KIND_REPLY) {
        answer_lost_hop(task);
    } else {
        take_forwarded_reply(task, &in.reply);
    }
    if (result == PEER_CALL_ANSWERED) {
        message_clear(&in);
    }
    return true;
}

/* Sends the request to an owner of its group, nearest first. False if this daemon owns it. */
static bool forward_to_owner(struct task *task)
{
    struct owner_list owners;
    control_owners_of(task->daemon->control, task->request->group, &owners);
    if (task->group != NULL || owners.count == 0 || task->request->hops >= FORWARD_HOPS_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < owners.count; i++) {
        if (forward_to(task, owners.addresses[i])) {
            return true;
        }
    }
    task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_PEER_UNREACHABLE, NULL, PEER_RETRY_AFTER_MS);
    return true;
}

/* The owner of a transaction was named in its id and can't be reached, or is gone. */
static void answer_owner_gone(struct task *task)
{
    if (task->request->kind == REQUEST_KIND_COMMIT) {
        /* Its key, if it has one, is looked up where the group is owned. */
        if (!forward_to_owner(task)) {
            task_resolve_commit(task);
        }
        return;
    }
    task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_UNKNOWN_TRANSACTION, NULL, 0);
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
    if (!may_forward || !forward_to(task, address)) {
        answer_owner_gone(task);
    }
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
