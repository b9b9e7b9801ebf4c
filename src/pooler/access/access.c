/* Authentication of sessions and authorization of their statements; see the header. */
#define G_LOG_DOMAIN "access"
#include "pooler/access/access.h"

#include "pooler/access/proof.h"
#include "pooler/client/session_internal.h"

#include <string.h>
#include <xxhash.h>

/* Tenant name sent to databases for routes that need no key. */
#define PUBLIC_TENANT "public"

/* Retry time sent to a client when the proof is missing or expired. Two heartbeat intervals of
 * 250 ms: by then this pooler has a new proof if any pooler reaches the store. */
#define PROOF_RETRY_NS (500 * NANOSECONDS_PER_MILLISECOND)

const char *
access_verdict_name(access_verdict_t verdict)
{
    static const char *const names[] = {"granted", "unknown_key", "unproven"};
    return names[verdict];
}

const char *
access_public_tenant(void)
{
    return g_intern_static_string(PUBLIC_TENANT);
}

/* The tenant that has the session's key in the newest configuration, or the public tenant where no
 * key is needed; NULL if the key is unknown. */
static const char *
find_tenant(const struct session *session)
{
    const char *name = NULL;
    rcu_read_lock();
    const struct view *view = rcu_dereference(session->worker->shared->view);
    if (view != NULL && view->configuration != NULL) {
        const tenant_t *tenant = configuration_tenant_of_key(view->configuration, session->key);
        bool keys = view->configuration->keys != NULL;
        bool open = !keys || session->route.is_public;
        name = tenant != NULL ? tenant->name : (open ? access_public_tenant() : NULL);
    }
    rcu_read_unlock();
    return name;
}

static bool
needs_key(const struct session *session)
{
    return session->worker->has_tenants && !session->route.is_public;
}

access_verdict_t
access_check(struct session *session)
{
    const struct worker_shared *shared = session->worker->shared;
    /* Read before the configuration, which is then at least as new as the proof. */
    time_ns proven_at = atomic_load(&shared->configuration_proven_at);
    const char *tenant = find_tenant(session);
    bool open = session->transaction == SESSION_TRANSACTION_OPEN;
    if (tenant == NULL || (open && session->tenant != NULL && tenant != session->tenant)) {
        return ACCESS_UNKNOWN_KEY;
    }
    session->tenant = tenant;
    if (needs_key(session) && !proof_is_valid(proven_at, shared->proof_lifetime, backend_now())) {
        return ACCESS_UNPROVEN;
    }
    return ACCESS_GRANTED;
}

uint64_t
access_configuration(const struct session *session)
{
    rcu_read_lock();
    const struct view *view = rcu_dereference(session->worker->shared->view);
    bool known = view != NULL && view->configuration != NULL;
    uint64_t version = known ? view->configuration->version : 0;
    rcu_read_unlock();
    return version;
}

void
access_refuse(struct session *session, access_verdict_t verdict)
{
    metrics_count(&session->worker->metrics,
                  verdict == ACCESS_UNPROVEN ? METRICS_REFUSED_UNPROVEN : METRICS_REFUSED_KEYS);
    session->request.refusal = access_verdict_name(verdict);
    session->request.recovery_time = PROOF_RETRY_NS;
    session->request.may_have_run = false;
    if (session->transaction != SESSION_TRANSACTION_NONE) {
        session_answer_lost(session, ANSWER_ABORTED);
    } else {
        session_answer_error(session,
                             verdict == ACCESS_UNPROVEN ? ANSWER_BUSY : ANSWER_UNAUTHORIZED, NULL);
    }
}

access_verdict_t
access_check_at(struct session *session, struct server *server)
{
    access_verdict_t verdict = access_check(session);
    bool matches =
        server->database->group == session->route.group && server->tenant == session->tenant;
    if (verdict == ACCESS_GRANTED && !matches) {
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "SW_TENANT", session->tenant,
                         "SW_DATABASE", server->database->shared->id, "MESSAGE",
                         "Bug: statement of tenant %s was assigned a connection of tenant %s to "
                         "database %s; the statement is not sent.",
                         session->tenant, server->tenant == NULL ? "(none)" : server->tenant,
                         server->database->shared->id);
        return ACCESS_UNKNOWN_KEY;
    }
    return verdict;
}

char *
access_key_tag(const char *key)
{
    static gsize drawn = 0;
    static uint64_t salt = 0;
    if (g_once_init_enter(&drawn)) {
        salt = (uint64_t)g_random_int() << 32 | g_random_int();
        g_once_init_leave(&drawn, 1);
    }
    uint64_t hash = XXH3_64bits_withSeed(key, strlen(key), salt);
    return g_strdup_printf("%08x", (unsigned)(hash >> 32));
}
