/* Whether a change of a group's databases is complete; see the header. */
#include "core/quorum_settling.h"

#include "core/acknowledge.h"

void quorum_settling_start(struct quorum_settling *settling, time_ns wait)
{
    *settling = (struct quorum_settling){.wait = wait};
}

/* The primary's status if it is reachable and leads the view's term, else NULL. */
static const struct database_status *find_primary(const struct group_view *view)
{
    if (view->primary < 0 || !view->databases[view->primary].reachable) {
        return NULL;
    }
    const struct database_status *status = &view->databases[view->primary].status;
    bool leads = status->role == DATABASE_ROLE_PRIMARY && status->term == view->term &&
                 status->promised_term == view->term;
    return leads ? status : NULL;
}

/* A log of another term may not contain the needed entry, so only logs of the position's own term
 * count. */
static bool is_held_by_majority(const struct group_view *view, struct log_position needed)
{
    uint32_t holders = 0;
    for (uint32_t i = 0; i < view->database_count; i++) {
        const struct database_view *database = &view->databases[i];
        bool holds = database->reachable && database->status.promised_term == needed.term &&
                     database->status.held.term == needed.term &&
                     database->status.held.offset >= needed.offset;
        holders += holds ? 1 : 0;
    }
    return holders >= majority_of(view->database_count);
}

static enum quorum_settling_state next_state(struct quorum_settling *settling,
                                             const struct group_view *view, time_ns now)
{
    if (settling->agreed_at == 0) {
        return QUORUM_SETTLING_AGREEING;
    }
    if (now < settling->agreed_at + settling->wait) {
        return QUORUM_SETTLING_WAITING;
    }
    const struct database_status *primary = find_primary(view);
    if (primary == NULL) {
        return QUORUM_SETTLING_NO_LEADER;
    }
    /* Acknowledged writes are in the log of every later primary, so the end of its log will do
     * too. */
    bool seen_after =
        view->databases[view->primary].observed_at >= settling->agreed_at + settling->wait;
    if (settling->needed.term != view->term && seen_after) {
        settling->needed = (struct log_position){view->term, primary->held.offset};
    }
    bool copied =
        settling->needed.term == view->term && is_held_by_majority(view, settling->needed);
    return copied ? QUORUM_SETTLING_DONE : QUORUM_SETTLING_COPYING;
}

void quorum_settling_observe(struct quorum_settling *settling, const struct group_view *view,
                             bool agreed, time_ns now)
{
    if (settling->state == QUORUM_SETTLING_DONE) {
        return;
    }
    if (agreed && settling->agreed_at == 0) {
        settling->agreed_at = now;
    }
    settling->state = next_state(settling, view, now);
}

const char *quorum_settling_state_text(enum quorum_settling_state state)
{
    switch (state) {
    case QUORUM_SETTLING_AGREEING:
        return "a majority of the daemons has not confirmed its set of databases yet";
    case QUORUM_SETTLING_WAITING:
        return "daemons may still use its previous set of databases";
    case QUORUM_SETTLING_NO_LEADER:
        return "it has no primary";
    case QUORUM_SETTLING_COPYING:
        return "a majority of its databases has not caught up";
    case QUORUM_SETTLING_DONE:
        return "";
    }
    return "";
}
