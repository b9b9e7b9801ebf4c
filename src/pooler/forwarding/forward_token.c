/* Requests for rate-limit tokens to other poolers; see forward.h. A request outlives the operation
 * it was made for: even a late answer shows that the peer responds and how long it takes, and links
 * with open requests are pinged. */
#define G_LOG_DOMAIN "forward"
#include "pooler/forwarding/forward_internal.h"

#include "generated/messages.h"
#include "pooler/client/session_internal.h"

/* Limit of open requests on a link. Bounds the memory; more requests would reveal nothing more
 * about the peer. */
#define TOKEN_REQUESTS_MAX 256

static void
send_token_request(const token_request_t *request, const char *tenant)
{
    struct forward_ask ask;
    forward_ask_init(&ask);
    ask.channel = request->channel;
    ask.admits = g_strdup(tenant);
    ask.priority = request->session->route.priority;
    link_send(request->link, &ask);
    forward_ask_clear(&ask);
}

/* True if a token can be requested on the link now. A lost link has to be confirmed by a ping
 * first; a link that was never used is assumed to work. */
static bool
can_request(link_t *link, time_ns now)
{
    if (now < link->avoid_until || g_hash_table_size(link->token_requests) >= TOKEN_REQUESTS_MAX) {
        return false;
    }
    if (link->unconfirmed && link->losses_in_row > 0) {
        link_reconnect(link, now);
        return false;
    }
    return link_connect(link);
}

token_request_t *
forward_request_token(struct session *session, link_t *link, const char *tenant, unsigned home)
{
    time_ns now = backend_now();
    if (!can_request(link, now)) {
        return NULL;
    }
    token_request_t *request = g_new0(token_request_t, 1);
    *request = (token_request_t){link, ++link->last_channel, session, home, now};
    if (link->running == 0 && g_hash_table_size(link->token_requests) == 0) {
        link->awaiting_since = now;
    }
    g_hash_table_insert(link->token_requests, &request->channel, request);
    worker_arm_tick(link->worker);
    send_token_request(request, tenant);
    return request;
}

void
forward_abandon_token(token_request_t *request)
{
    request->session = NULL;
}

time_ns
token_requested_at(const token_request_t *request)
{
    return request->requested_at;
}

link_t *
token_link(const token_request_t *request)
{
    return request->link;
}

const char *
link_address(const link_t *link)
{
    return link->text;
}

home_health_t *
link_home_health(link_t *link)
{
    return &link->home_health;
}

void
link_note_contact(link_t *link)
{
    if (home_health_message_received(&link->home_health)) {
        g_info("The home at %s responds again.", link->text);
    }
}

bool
link_handle_token_answer(link_t *link, const struct forward_answer *answer, time_ns now)
{
    token_request_t *request = g_hash_table_lookup(link->token_requests, &answer->channel);
    if (request == NULL) {
        return false;
    }
    const admission_answer_t token = {answer->declined, answer->refused, answer->retry_ms};
    struct session *session = request->session;
    unsigned home = request->home;
    home_health_answered(&link->home_health, now - request->requested_at);
    g_hash_table_remove(link->token_requests, &answer->channel); /* frees it */
    if (session != NULL) {
        admission_answered(session, home, &token);
    } else if (!token.declined && !token.refused) {
        metrics_count(&link->worker->metrics, METRICS_TOKENS_LATE);
    }
    return true;
}

/* All requests are removed from the table before any session is notified: a session that continues
 * may abandon other requests of this link, or make new ones. */
void
link_fail_token_requests(link_t *link)
{
    g_autoptr(GPtrArray) lost = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, link->token_requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        g_ptr_array_add(lost, value);
    }
    g_hash_table_steal_all(link->token_requests);
    for (guint i = 0; i < lost->len; i++) {
        const token_request_t *request = g_ptr_array_index(lost, i);
        if (request->session != NULL) {
            admission_home_unreachable(request->session, request->home);
        }
    }
}
