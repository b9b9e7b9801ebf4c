/* State machine of publishing. */
#include "configuration/publish_flow.h"

#include <string.h>

void publish_flow_start(struct publish_flow *flow, const struct publish_request *request)
{
    *flow = (struct publish_flow){
        .request = *request,
        .action = PUBLISH_ACTION_READ_HEAD,
    };
}

static void finish(struct publish_flow *flow, enum publish_status status, uint64_t version)
{
    flow->action = PUBLISH_ACTION_FINISH;
    flow->status = status;
    flow->version = version;
}

/* Finishes without an answer from the store. If a move got no answer, it may still take effect, so
 * the status is UNKNOWN. */
static void give_up(struct publish_flow *flow)
{
    finish(flow, flow->move_unanswered ? PUBLISH_STATUS_UNKNOWN : PUBLISH_STATUS_UNAVAILABLE, 0);
}

/* Schedules `action` after a backoff wait. Gives up if the wait would end past the deadline or no
 * retries are left. */
static void retry(struct publish_flow *flow, enum publish_action action,
                  struct publish_context context)
{
    uint32_t retries_max = flow->request.retries_max;
    uint32_t wait_ms = backoff_wait_ms(&flow->request.backoff, flow->attempt, context.random);

    if (context.now_ms + wait_ms >= flow->request.deadline_ms ||
        (retries_max > 0 && flow->attempt >= retries_max)) {
        give_up(flow);
        return;
    }
    flow->attempt++;
    flow->wait_ms = wait_ms;
    flow->action = PUBLISH_ACTION_WAIT;
    flow->action_after_wait = action;
}

/* Retries after a transient failure; gives up if the platform rejected the request as such. */
static void retry_after(struct publish_flow *flow, enum platform_result result,
                        enum publish_action action, struct publish_context context)
{
    if (result == PLATFORM_RESULT_REFUSED) {
        give_up(flow);
        return;
    }
    retry(flow, action, context);
}

static bool is_this_request(const struct publish_flow *flow, const struct version_row *row)
{
    return strcmp(row->request_id, flow->request.request_id) == 0 &&
           strcmp(row->hash, flow->request.hash) == 0;
}

/* The head is at the base: check the change, store the bundle, then move the head. */
static void on_head_at_base(struct publish_flow *flow, const struct version_row *row,
                            struct publish_context context)
{
    if (row != NULL && strcmp(row->hash, flow->request.hash) == 0) {
        finish(flow, PUBLISH_STATUS_UNCHANGED, row->version);
        return;
    }
    /* The move requires that the head is still at the base, so the check's result stays valid. */
    if (row != NULL && !flow->change_allowed) {
        flow->action = PUBLISH_ACTION_CHECK_CHANGE;
        return;
    }
    if (!flow->bundle_stored) {
        flow->action = PUBLISH_ACTION_PUT_BUNDLE;
        return;
    }
    if (flow->move_failed) {
        flow->move_failed = false;
        retry(flow, PUBLISH_ACTION_MOVE_HEAD, context);
        return;
    }
    flow->action = PUBLISH_ACTION_MOVE_HEAD;
}

/* Version base + 1 exists: published by this request if its answer was lost, else by another one.
 */
static void on_next_version(struct publish_flow *flow, const struct version_row *row)
{
    if (is_this_request(flow, row)) {
        finish(flow, PUBLISH_STATUS_ACCEPTED, row->version);
        return;
    }
    finish(flow, PUBLISH_STATUS_CONFLICT, 0);
}

void publish_flow_on_head(struct publish_flow *flow, enum platform_result result,
                          const struct version_row *row, struct publish_context context)
{
    if (result != PLATFORM_RESULT_OK && result != PLATFORM_RESULT_NOT_FOUND) {
        retry_after(flow, result, PUBLISH_ACTION_READ_HEAD, context);
        return;
    }
    uint64_t head = row != NULL ? row->version : 0;
    if (row != NULL && is_this_request(flow, row)) {
        finish(flow, PUBLISH_STATUS_ACCEPTED, head);
        return;
    }
    if (!flow->request.has_base) {
        flow->request.has_base = true;
        flow->request.base = head;
    }
    if (head < flow->request.base) {
        finish(flow, PUBLISH_STATUS_NO_BASE, head);
    } else if (head == flow->request.base) {
        on_head_at_base(flow, row, context);
    } else if (head == flow->request.base + 1) {
        on_next_version(flow, row);
    } else {
        flow->action = PUBLISH_ACTION_READ_VERSION;
    }
}

void publish_flow_on_version(struct publish_flow *flow, enum platform_result result,
                             const struct version_row *row, struct publish_context context)
{
    if (result != PLATFORM_RESULT_OK) {
        retry_after(flow, result, PUBLISH_ACTION_READ_VERSION, context);
        return;
    }
    on_next_version(flow, row);
}

void publish_flow_on_check(struct publish_flow *flow, enum platform_result result,
                           struct publish_context context)
{
    if (result == PLATFORM_RESULT_CONDITION_FAILED) {
        finish(flow, PUBLISH_STATUS_FORBIDDEN, 0);
        return;
    }
    if (result != PLATFORM_RESULT_OK) {
        retry_after(flow, result, PUBLISH_ACTION_CHECK_CHANGE, context);
        return;
    }
    flow->change_allowed = true;
    flow->action = flow->bundle_stored ? PUBLISH_ACTION_MOVE_HEAD : PUBLISH_ACTION_PUT_BUNDLE;
}

void publish_flow_on_bundle(struct publish_flow *flow, enum platform_result result,
                            struct publish_context context)
{
    /* The key is the hash of the content, so an existing object has the same content. */
    if (result == PLATFORM_RESULT_OK || result == PLATFORM_RESULT_CONDITION_FAILED) {
        flow->bundle_stored = true;
        flow->action = PUBLISH_ACTION_MOVE_HEAD;
        return;
    }
    retry_after(flow, result, PUBLISH_ACTION_PUT_BUNDLE, context);
}

void publish_flow_on_move(struct publish_flow *flow, enum platform_result result,
                          struct publish_context context)
{
    switch (result) {
    case PLATFORM_RESULT_OK:
        finish(flow, PUBLISH_STATUS_ACCEPTED, flow->request.base + 1);
        return;
    case PLATFORM_RESULT_CONDITION_FAILED:
        flow->move_failed = true;
        flow->action = PUBLISH_ACTION_READ_HEAD;
        return;
    case PLATFORM_RESULT_UNKNOWN:
        flow->move_unanswered = true;
        retry(flow, PUBLISH_ACTION_READ_HEAD, context);
        return;
    default:
        retry_after(flow, result, PUBLISH_ACTION_MOVE_HEAD, context);
        return;
    }
}

void publish_flow_on_waited(struct publish_flow *flow)
{
    flow->action = flow->action_after_wait;
}
