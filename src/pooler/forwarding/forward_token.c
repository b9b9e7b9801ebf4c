/* Questions for tokens at other poolers; see forward.h. A question outlives the operation that
 * asked it: its answer, also a late one, tells that the pooler there is alive and how long it
 * takes, and a link with questions is watched for silence. */
#define G_LOG_DOMAIN "forward"
#include "pooler/forwarding/forward_internal.h"

#include "generated/messages.h"
#include "pooler/client/session_internal.h"

/* A link with so many open questions is asked no more: bounds the memory, and more questions would
 * tell nothing more of the other end. */
#define QUESTIONS_MOST 256

static void
send_question(const token_question_t *question, const char *tenant)
{
    struct forward_ask ask;
    forward_ask_init(&ask);
    ask.channel = question->channel;
    ask.admits = g_strdup(tenant);
    ask.priority = question->session->route.priority;
    link_send(question->link, &ask);
    forward_ask_clear(&ask);
}

/* True if the link can take a question now. On one that was lost, a sign of life is asked for
 * first; one that was never used is taken to work. */
static bool
may_be_asked(link_t *link, time_ns now)
{
    if (now < link->avoid_until || g_hash_table_size(link->questions) >= QUESTIONS_MOST) {
        return false;
    }
    if (link->doubted && link->losses > 0) {
        link_try_again(link, now);
        return false;
    }
    return link_connect(link);
}

token_question_t *
forward_ask_token(struct session *session, link_t *link, const char *tenant, unsigned home)
{
    time_ns now = backend_now();
    if (!may_be_asked(link, now)) {
        return NULL;
    }
    token_question_t *question = g_new0(token_question_t, 1);
    *question = (token_question_t){link, ++link->last_channel, session, home, now};
    if (link->running == 0 && g_hash_table_size(link->questions) == 0) {
        link->quiet_since = now;
    }
    g_hash_table_insert(link->questions, &question->channel, question);
    worker_arm_tick(link->worker);
    send_question(question, tenant);
    return question;
}

void
forward_abandon_token(token_question_t *question)
{
    question->session = NULL;
}

time_ns
token_asked_at(const token_question_t *question)
{
    return question->asked_at;
}

link_t *
token_link(const token_question_t *question)
{
    return question->link;
}

const char *
link_text(const link_t *link)
{
    return link->text;
}

home_health_t *
link_home_health(link_t *link)
{
    return &link->belief;
}

void
link_note_heard(link_t *link)
{
    if (home_health_message_received(&link->belief)) {
        g_info("The home at %s is heard again.", link->text);
    }
}

bool
link_take_token(link_t *link, const struct forward_answer *answer, time_ns now)
{
    token_question_t *question = g_hash_table_lookup(link->questions, &answer->channel);
    if (question == NULL) {
        return false;
    }
    const admission_answer_t token = {answer->declined, answer->refused, answer->retry_ms};
    struct session *session = question->session;
    unsigned home = question->home;
    home_health_answered(&link->belief, now - question->asked_at);
    g_hash_table_remove(link->questions, &answer->channel); /* frees it */
    if (session != NULL) {
        admission_answered(session, home, &token);
    } else if (!token.declined && !token.refused) {
        metrics_count(&link->worker->metrics, METRICS_TOKENS_LATE);
    }
    return true;
}

/* The questions leave the table before any session is told: a session that goes on may abandon
 * other questions of the same link, or ask new ones. */
void
link_lose_tokens(link_t *link)
{
    g_autoptr(GPtrArray) lost = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, link->questions);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        g_ptr_array_add(lost, value);
    }
    g_hash_table_steal_all(link->questions);
    for (guint i = 0; i < lost->len; i++) {
        const token_question_t *question = g_ptr_array_index(lost, i);
        if (question->session != NULL) {
            admission_home_unreachable(question->session, question->home);
        }
    }
}
