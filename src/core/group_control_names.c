/* Names of the enumerations of a group's control, as in logs and traces. */
#include "core/group_control.h"

#include <glib.h>

static const char *const RECORD_KIND_NAMES[GROUP_RECORD_COUNT] = {
    [GROUP_RECORD_SUSPECTED] = "suspected",
    [GROUP_RECORD_CLEARED] = "cleared",
    [GROUP_RECORD_CONFIRMED] = "confirmed",
    [GROUP_RECORD_FENCE_STARTED] = "fence_started",
    [GROUP_RECORD_FENCE_MAJORITY] = "fence_majority",
    [GROUP_RECORD_PROMOTED] = "promoted",
    [GROUP_RECORD_PRIMARY_LEARNED] = "primary_learned",
    [GROUP_RECORD_ATTEMPT_FAILED] = "attempt_failed",
    [GROUP_RECORD_CHANGE_STARTED] = "change_started",
    [GROUP_RECORD_CHANGE_ABORTED] = "change_aborted",
    [GROUP_RECORD_FOLLOW] = "follow",
    [GROUP_RECORD_LEAVING] = "leaving",
    [GROUP_RECORD_RETURNED] = "returned",
    [GROUP_RECORD_STATE_LOST] = "forgot",
    [GROUP_RECORD_DRAIN_BLOCKED] = "drain_blocked",
};

static const char *const REASON_NAMES[GROUP_REASON_COUNT] = {
    [GROUP_REASON_NONE] = "none",
    [GROUP_REASON_PRIMARY_LOST] = "primary_lost",
    [GROUP_REASON_NO_PRIMARY] = "no_primary",
    [GROUP_REASON_DRAIN] = "drain",
    [GROUP_REASON_STRAY_PROMISE] = "stray_promise",
    [GROUP_REASON_REFUSED] = "refused",
    [GROUP_REASON_TIMEOUT] = "timeout",
    [GROUP_REASON_NEWER_PRIMARY] = "newer_primary",
    [GROUP_REASON_REPLICATION_STALLED] = "replication_stalled",
};

static const char *const EVENT_KIND_NAMES[] = {
    [GROUP_EVENT_TICK] = "tick",         [GROUP_EVENT_PROBE] = "probe",
    [GROUP_EVENT_OPINION] = "opinion",   [GROUP_EVENT_COMMAND] = "command",
    [GROUP_EVENT_WATCHERS] = "watchers", [GROUP_EVENT_DRAIN] = "drain",
    [GROUP_EVENT_UNDRAIN] = "undrain",   [GROUP_EVENT_WRITES_DRAINED] = "writes_drained",
};

static const char *const ACTION_KIND_NAMES[] = {
    [GROUP_ACTION_PROBE] = "probe",
    [GROUP_ACTION_FENCE] = "fence",
    [GROUP_ACTION_PROMOTE] = "promote",
    [GROUP_ACTION_FOLLOW] = "follow",
    [GROUP_ACTION_SET_LEAVING] = "set_leaving",
    [GROUP_ACTION_SEND_OPINION] = "send_opinion",
    [GROUP_ACTION_PUBLISH_VIEW] = "publish_view",
    [GROUP_ACTION_RECORD_EVENT] = "record_event",
};

const char *group_record_kind_name(enum group_record_kind kind)
{
    g_return_val_if_fail((unsigned)kind < G_N_ELEMENTS(RECORD_KIND_NAMES), "?");
    return RECORD_KIND_NAMES[kind];
}

const char *group_reason_name(enum group_reason reason)
{
    g_return_val_if_fail((unsigned)reason < G_N_ELEMENTS(REASON_NAMES), "?");
    return REASON_NAMES[reason];
}

const char *group_event_kind_name(enum group_event_kind kind)
{
    g_return_val_if_fail((unsigned)kind < G_N_ELEMENTS(EVENT_KIND_NAMES), "?");
    return EVENT_KIND_NAMES[kind];
}

const char *group_action_kind_name(enum group_action_kind kind)
{
    g_return_val_if_fail((unsigned)kind < G_N_ELEMENTS(ACTION_KIND_NAMES), "?");
    return ACTION_KIND_NAMES[kind];
}
