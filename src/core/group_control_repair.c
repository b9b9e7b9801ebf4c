/* Repair of stray promises. A member that promised a term above the current one, in an attempt that
 * then failed, can neither follow nor confirm writes until a primary leads a still higher term.
 * While a majority can confirm writes without it, a planned change to the same primary repairs this
 * after `repair_after`. Otherwise no write can be confirmed, and a new term is fenced soon and
 * without a pause. */
#include "core/group_control_internal.h"

static bool is_stray(const struct group_control *control, uint32_t database)
{
    return observe_is_reachable(control, database) &&
           control->members[database].status.promised_term > control->known_term;
}

static bool can_confirm(const struct group_control *control, uint32_t database)
{
    const struct database_status *status = &control->members[database].status;

    return observe_is_reachable(control, database) && status->term == control->known_term &&
           status->promised_term == control->known_term;
}

/* Since when a member has a stray promise; 0 if none has. */
static time_ns stray_since(struct group_control *control)
{
    bool stray = false;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        stray = stray || is_stray(control, i);
    }
    if (!stray || observe_primary(control) == NO_DATABASE) {
        control->repair_since = 0;
    } else if (control->repair_since == 0) {
        control->repair_since = control->now;
    }
    return control->repair_since;
}

static bool is_due(struct group_control *control, time_ns wait)
{
    time_ns since = stray_since(control);
    time_ns due = since + wait + observe_rank(control, false) * control->options.rank_step;

    if (since == 0) {
        return false;
    }
    if (control->now < due) {
        control_wake_at(control, due);
        return false;
    }
    return true;
}

bool repair_is_due(struct group_control *control)
{
    return is_due(control, control->options.repair_after);
}

bool repair_is_urgent(struct group_control *control)
{
    uint32_t confirming = 0;

    for (uint32_t i = 0; i < control->options.database_count; i++) {
        confirming += can_confirm(control, i) ? 1 : 0;
    }
    if (confirming >= majority_of(control->options.database_count)) {
        return false;
    }
    return is_due(control, control->options.attempt_patience) && observe_reaches_majority(control);
}
