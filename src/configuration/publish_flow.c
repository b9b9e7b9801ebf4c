/* The decisions of publishing. */
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

/* Ends without the store's word: certain only if no move was left without an answer. */
static void give_up(struct publish_flow *flow)
{
    finish(flow, flow->move_unanswered ? PUBLISH_STATUS_UNKNOWN : PUBLISH_STATUS_UNAVAILABLE, 0);
}

/* Does `action` after a wait, unless the deadline comes first. */
static void retry(struct publish_flow *flow, enum publish_action action,
                  struct publish_moment moment)
{
    uint32_t retries_max = flow->request.retries_max;
    uint32_t wait_ms = backoff_wait_ms(&flow->request.backoff, flow->attempt, moment.random);

    if (moment.now_ms + wait_ms >= flow->request.deadline_ms ||
        (retries_max > 0 && flow->attempt >= retries_max)) {
        give_up(flow);
        return;
    }
    flow->attempt++;
    flow->wait_ms = wait_ms;
    flow->action = PUBLISH_ACTION_WAIT;
    flow->action_after_wait = action;
}

/* Retries after a failure that may pass; gives up after one that won't. */
static void retry_after(struct publish_flow *flow, enum platform_result result,
                        enum publish_action action, struct publish_moment moment)
{
    if (result == PLATFORM_RESULT_REFUSED) {
        give_up(flow);
        return;
    }
    retry(flow, action, moment);
}

static bool is_this_request(const struct publish_flow *flow, const struct version_row *row)
{
    return strcmp(row->request_id, flow->request.request_id) == 0 &&
           strcmp(row->hash, flow->request.hash) == 0;
}

/* The head is where the author left it: store the bundle, then move. */
static void on_head_at_base(struct publish_flow *flow, const struct version_row *row,
                            struct publish_moment moment)
{
    if (row != NULL && strcmp(row->hash, flow->request.hash) == 0) {
        finish(flow, PUBLISH_STATUS_UNCHANGED, row->version);
        return;
    }
    /* The move's condition is that the head still is at base: what is allowed now stays allowed. */
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
        retry(flow, PUBLISH_ACTION_MOVE_HEAD, moment);
        return;
    }
    flow->action = PUBLISH_ACTION_MOVE_HEAD;
}

/* Version base + 1 is taken: by this request after a lost answer, or by another. */
static void on_next_version(struct publish_flow *flow, const struct version_row *row)
{
    if (is_this_request(flow, row)) {
        finish(flow, PUBLISH_STATUS_ACCEPTED, row->version);
        return;
    }
    finish(flow, PUBLISH_STATUS_CONFLICT, 0);
}

void publish_flow_on_head(struct publish_flow *flow, enum platform_result result,
                          const struct version_row *row, struct publish_moment moment)
{
    if (result != PLATFORM_RESULT_OK && result != PLATFORM_RESULT_NOT_FOUND) {
        retry_after(flow, result, PUBLISH_ACTION_READ_HEAD, moment);
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
        on_head_at_base(flow, row, moment);
    } else if (head == flow->request.base + 1) {
        on_next_version(flow, row);
    } else {
        flow->action = PUBLISH_ACTION_READ_VERSION;
    }
}

void publish_flow_on_version(struct publish_flow *flow, enum platform_result result,
                             const struct version_row *row, struct publish_moment moment)
{
    if (result != PLATFORM_RESULT_OK) {
        retry_after(flow, result, PUBLISH_ACTION_READ_VERSION, moment);
        return;
    }
    on_next_version(flow, row);
}

void publish_flow_on_check(struct publish_flow *flow, enum platform_result result,
                           struct publish_moment moment)
{
    if (result == PLATFORM_RESULT_CONDITION_FAILED) {
        finish(flow, PUBLISH_STATUS_FORBIDDEN, 0);
        return;
    }
    if (result != PLATFORM_RESULT_OK) {
        retry_after(flow, result, PUBLISH_ACTION_CHECK_CHANGE, moment);
        return;
    }
    flow->change_allowed = true;
    flow->action = flow->bundle_stored ? PUBLISH_ACTION_MOVE_HEAD : PUBLISH_ACTION_PUT_BUNDLE;
}

void publish_flow_on_bundle(struct publish_flow *flow, enum platform_result result,
                            struct publish_moment moment)
{
    /* The key is the content's hash, so an object that is there already is the same. */
    if (result == PLATFORM_RESULT_OK || result == PLATFORM_RESULT_CONDITION_FAILED) {
        flow->bundle_stored = true;
        flow->action = PUBLISH_ACTION_MOVE_HEAD;
        return;
    }
    retry_after(flow, result, PUBLISH_ACTION_PUT_BUNDLE, moment);
}

void publish_flow_on_move(struct publish_flow *flow, enum platform_result result,
                          struct publish_moment moment)
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
        retry(flow, PUBLISH_ACTION_READ_HEAD, moment);
        return;
    default:
        retry_after(flow, result, PUBLISH_ACTION_MOVE_HEAD, moment);
        return;
    }
}

void publish_flow_on_waited(struct publish_flow *flow)
{
    flow->action = flow->action_after_wait;
}
