/* Asks poolers of other zones for a sign of life while none is heard, so that a zone that is cut
 * off is known to be (zone_reachability.h). A pooler that answers is asked again on the same
 * connection; so a zone whose coordinator is its own costs each of its poolers two small messages a
 * second. */
#define G_LOG_DOMAIN "reach"
#include "pooler/control/control_internal.h"

#include "wire/address.h"

#include <inttypes.h>
#include <string.h>

/* A look goes through all members of the fleet, hundreds of them; the decision takes more than half
 * a second, so looks may be this far apart. */
#define LOOK_EVERY_NS (50 * MS)

/* A question counts as unanswered after so long. Usually an answer from another zone takes some
 * milliseconds; on a machine that has used up its processor quota, up to a tenth of a second. */
#define ANSWER_NS (250 * MS)

static void
close_question(reach_question_t *question)
{
    g_clear_pointer(&question->peer, peer_free);
    question->asked_at = 0;
}

static bool
on_frame(void *user, struct peer *peer, const uint8_t *data, size_t length)
{
    reach_question_t *question = user;
    question->asked_at = 0;
    zone_reachability_note_contact(&question->control->zone_reachability, backend_now());
    return true;
}

static void
on_closed(void *user, struct peer *peer)
{
    reach_question_t *question = user;
    question->peer = NULL; /* freed by the caller; counted as unanswered once its time is over */
}

void
control_reachability_note_contact(struct control *control, const char *zone, time_ns now)
{
    if (g_strcmp0(zone, control->settings->pooler.zone) != 0) {
        zone_reachability_note_contact(&control->zone_reachability, now);
    }
}

/* A pooler takes statements and messages of others at one IP address. */
static bool
is_same_host(const char *first, const char *second)
{
    size_t length = strcspn(first, ":");
    return length == strcspn(second, ":") && strncmp(first, second, length) == 0;
}

/* True if the member is in the fleet or may come back to it. A coordinator inside a zone that is
 * cut off takes the members outside out of the fleet; they still count, and are asked. */
static bool
is_expected(const fleet_member_t *member)
{
    return !member->gone || member->away;
}

static bool
is_outside(const struct control *control, const fleet_member_t *member)
{
    return is_expected(member) && !g_str_equal(member->zone, control->settings->pooler.zone);
}

bool
control_reachability_is_other_zone(const struct control *control, const char *address)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const fleet_member_t *member = value;
        if (is_same_host(member->address, address)) {
            return !g_str_equal(member->zone, control->settings->pooler.zone);
        }
    }
    return false;
}

/* The next pooler of another zone, in turn; NULL if there is none. */
static const fleet_member_t *
next_outside(struct control *control, const zone_reachability_inputs_t *view)
{
    if (view->outside == 0) {
        return NULL;
    }
    unsigned place = control->reach_turn++ % view->outside;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (is_outside(control, value) && place-- == 0) {
            return value;
        }
    }
    return NULL;
}

zone_reachability_inputs_t
control_reachability_inputs(const struct control *control)
{
    zone_reachability_inputs_t view = {.store_known_at =
                                           control->feeds[STORE_TABLE_CONFIGURATION].as_of};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const fleet_member_t *member = value;
        view.members += is_expected(member);
        view.outside += is_outside(control, member);
    }
    return view;
}

static void
ask(struct control *control, reach_question_t *question, const zone_reachability_inputs_t *view,
    time_ns now)
{
    struct forward_ask sign;
    if (question->peer == NULL) {
        const fleet_member_t *member = next_outside(control, view);
        struct sockaddr_in address;
        if (member == NULL || !parse_address(member->address, &address)) {
            return;
        }
        question->control = control;
        question->callbacks = (struct peer_callbacks){on_frame, on_closed, question};
        question->peer = peer_connect(control->base, &address, &question->callbacks);
    }
    question->asked_at = now;
    if (question->peer != NULL) {
        forward_ask_init(&sign); /* channel 0: asks for a sign of life */
        peer_send(question->peer, forward_ask_encode(&sign));
        forward_ask_clear(&sign);
    }
}

/* How long ago that was, for the log; a moment of 0 never was. */
static char *
age_text(time_ns moment, time_ns now)
{
    return moment == 0 ? g_strdup("never")
                       : g_strdup_printf("%" PRIu64 " ms ago", (now - moment) / MS);
}

static void
log_change(const struct control *control, const zone_reachability_inputs_t *view, time_ns now)
{
    const zone_reachability_t *reach = &control->zone_reachability;
    g_autofree char *heard = age_text(reach->heard_at, now);
    g_autofree char *store = age_text(view->store_known_at, now);
    g_autofree char *unanswered = g_strdup_printf("%u", reach->unanswered);
    g_log_structured(
        G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_HEARD", heard, "SW_STORE", store, "SW_UNANSWERED",
        unanswered, "MESSAGE", "Zone %s is %s; another zone was heard %s, the store %s.",
        control->settings->pooler.zone,
        reach->partitioned ? "cut off from all others, clients are better served there: not ready"
                           : "no longer cut off",
        heard, store);
}

void
control_reachability_tick(struct control *control, time_ns now)
{
    zone_reachability_t *reach = &control->zone_reachability;
    bool due = now >= control->reach_at &&
               (zone_reachability_needs_ping(reach, now) || reach->partitioned);
    if (!due) {
        return;
    }
    control->reach_at = now + LOOK_EVERY_NS;
    const zone_reachability_inputs_t view = control_reachability_inputs(control);
    for (unsigned i = 0; i < REACH_QUESTIONS; i++) {
        reach_question_t *question = &control->reach_questions[i];
        if (question->asked_at != 0 && now >= question->asked_at + ANSWER_NS) {
            zone_reachability_note_timeout(reach, question->asked_at);
            close_question(question);
        }
        bool enough = i > 0 && reach->unanswered == 0; /* one that answers is enough */
        if (question->asked_at == 0 && !enough && zone_reachability_needs_ping(reach, now)) {
            ask(control, question, &view, now);
        }
    }
    if (zone_reachability_evaluate(reach, &view, now)) {
        log_change(control, &view, now);
        atomic_store(&control->shared.cut_off_at, reach->partitioned ? now : 0);
        for (unsigned i = 0; i < control->workers_count; i++) {
            worker_wake(control->workers[i]);
        }
    }
}
