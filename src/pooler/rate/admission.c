/* Admission of operations by tokens of rate limits; see the header. */
#define G_LOG_DOMAIN "rate"
#include "pooler/rate/admission.h"

#include "pooler/rate/counting.h"
#include "pooler/client/session_internal.h"

/* How long a home is avoided after it declined because it may not count at present: by then it has
 * had the coordinator's next reply to its heartbeat, which may allow it to count again. */
#define DECLINED_NS (250 * NANOSECONDS_PER_MILLISECOND)

/* Longest time for which a home that refused gets no further request, also if it returned a longer
 * wait. That wait leaves out tokens whose times were returned to other refused clients, not all of
 * which retry. */
#define EMPTY_NS (10 * NANOSECONDS_PER_MILLISECOND)

/* Retry time for a client if no home could decide on its operation: the time until the first home
 * is tried again. At least NO_HOME_MIN_NS, which a connection to a home takes to open, and at most
 * NO_HOME_MAX_NS, because few callers wait longer. */
#define NO_HOME_MIN_NS (20 * NANOSECONDS_PER_MILLISECOND)
#define NO_HOME_MAX_NS (1000 * NANOSECONDS_PER_MILLISECOND)
#define NO_HOME_NS     (300 * NANOSECONDS_PER_MILLISECOND) /* if no home is known */

/* Retry time for a limit with a rate of 0, which never has a token again unless it is changed. With
 * a shorter time clients would retry in vain all the time. */
#define NEVER_RETRY_NS (1000 * NANOSECONDS_PER_MILLISECOND)

/** @brief One home of a tenant's limit. */
typedef struct home {
    link_t *link; /* NULL: this pooler */
    bool same_zone;
    time_ns empty_until[SHARE_PRIORITIES];   /* no request before then: it refused this priority */
    time_ns next_token_at[SHARE_PRIORITIES]; /* when it may have a token, by its last refusal */
    time_ns declined_until;                  /* avoided until then: it declined */
} home_t;

/** @brief The homes of one tenant's limit, without duplicates, as of one roster. */
typedef struct homes {
    uint64_t revision;
    unsigned count;
    home_t homes[ROSTER_SHARES];
} homes_t;

GHashTable *
admission_homes_new(void)
{
    return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
}

static bool
has_home(const homes_t *homes, const link_t *link)
{
    for (unsigned i = 0; i < homes->count; i++) {
        if (homes->homes[i].link == link) {
            return true;
        }
    }
    return false;
}

/* Leaves out members that may not count. */
static void
find_homes(struct worker *worker, const roster_t *roster, const char *tenant, homes_t *out)
{
    size_t places[ROSTER_SHARES];
    out->revision = roster->revision;
    out->count = 0;
    if (roster->count == 0) {
        return;
    }
    roster_homes(roster, tenant, places);
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        const roster_member_t *member = &roster->members[places[i]];
        link_t *link =
            member->self ? NULL : link_get(worker, member->address, &member->socket_address);
        if (!member->away && !member->entering && !has_home(out, link)) {
            out->homes[out->count++] = (home_t){.link = link, .same_zone = member->same_zone};
        }
    }
}

static homes_t *
homes_of(struct worker *worker, const char *tenant)
{
    homes_t *homes = g_hash_table_lookup(worker->homes, tenant);
    rcu_read_lock();
    const struct view *view = rcu_dereference(worker->shared->view);
    const roster_t *roster = view == NULL ? NULL : view->roster;
    if (homes == NULL) {
        homes = g_new0(homes_t, 1);
        g_hash_table_insert(worker->homes, (gpointer)tenant, homes);
    }
    if (roster != NULL && homes->revision != roster->revision) {
        find_homes(worker, roster, tenant, homes);
    }
    rcu_read_unlock();
    return homes;
}

/* Returns false if the tenant is unknown or has no limit. */
static bool
find_limit(const struct worker *worker, const char *name, tenant_t *out)
{
    rcu_read_lock();
    const struct view *view = rcu_dereference(worker->shared->view);
    const tenant_t *tenant = view == NULL || view->configuration == NULL
                                 ? NULL
                                 : configuration_tenant(view->configuration, name);
    bool limited = tenant != NULL && tenant->limited;
    if (limited) {
        *out = *tenant;
    }
    rcu_read_unlock();
    return limited;
}

static bool
is_avoided(const home_t *home, time_ns now)
{
    bool slow = home->link != NULL && home_health_is_avoided(link_home_health(home->link), now);
    return slow || now < home->declined_until;
}

/* True if no token is requested from the home once another home has refused the operation: it
 * probably won't answer or will decline, and waiting for it would only delay the refusal. */
static bool
is_skipped_at_limit(const home_t *home, time_ns now)
{
    bool unresponsive =
        home->link != NULL && home_health_is_unresponsive(link_home_health(home->link), now);
    return unresponsive || now < home->declined_until;
}

/* Order of preference, lowest first: this pooler, homes of this zone, homes of other zones, avoided
 * homes. */
static unsigned
cost_of(const home_t *home, time_ns now)
{
    if (is_avoided(home, now)) {
        return 3;
    }
    return home->link == NULL ? 0 : (home->same_zone ? 1 : 2);
}

static bool
is_empty(const struct session *session, const home_t *home, time_ns now)
{
    return now < home->empty_until[share_priority(session->route.priority)];
}

/* When the first home that refused has a token again; 0 if none refused. The result may be in the
 * past: the home that refused this operation may have a token by now, after the requests to other
 * homes.
 */
static time_ns
first_token(const struct session *session, const homes_t *homes, time_ns now)
{
    time_ns first = session->request.next_token_at;
    for (unsigned i = 0; i < homes->count; i++) {
        time_ns until = homes->homes[i].next_token_at[share_priority(session->route.priority)];
        if (until > now && (first == 0 || until < first)) {
            first = until;
        }
    }
    return first;
}

/* Index of the home to ask next; -1 if there is none. Once a home has refused, the tenant is near
 * its limit: unresponsive homes are skipped, so that the client gets the refusal without delay. */
static int
choose_home(const struct session *session, const homes_t *homes, time_ns now)
{
    int best = -1;
    bool at_limit = first_token(session, homes, now) != 0;
    for (unsigned i = 0; i < homes->count; i++) {
        const home_t *home = &homes->homes[i];
        bool requested = (session->request.homes_requested & (1U << i)) != 0;
        bool skipped = at_limit && is_skipped_at_limit(home, now);
        if (requested || skipped || is_empty(session, home, now)) {
            continue;
        }
        if (best < 0 || cost_of(home, now) < cost_of(&homes->homes[best], now)) {
            best = (int)i;
        }
    }
    return best;
}

/* The wait in ms, with up to 50% of random jitter added, so that clients that were refused together
 * do not retry together. */
static uint32_t
jittered_ms(time_ns wait)
{
    double jittered = (double)wait * (1 + g_random_double() / 2);
    return (uint32_t)(jittered / (double)NANOSECONDS_PER_MILLISECOND) + 1;
}

/* The time until the first home is tried again. */
static time_ns
next_home_wait(const homes_t *homes, time_ns now)
{
    time_ns first = 0;
    for (unsigned i = 0; i < homes->count; i++) {
        const home_t *home = &homes->homes[i];
        time_ns until = home->link == NULL ? 0 : link_next_try(home->link, now);
        until = MAX(until, home->declined_until);
        first = first == 0 ? MAX(until, now) : MIN(first, MAX(until, now));
    }
    return first == 0 ? NO_HOME_NS : CLAMP(first - now, NO_HOME_MIN_NS, NO_HOME_MAX_NS);
}

static void
refuse(struct session *session, const homes_t *homes, time_ns now)
{
    time_ns first = first_token(session, homes, now);
    uint32_t wait_ms = first == 0 ? jittered_ms(next_home_wait(homes, now)) : 0;
    if (first != 0) {
        wait_ms = first > now ? jittered_ms(first - now) : 1;
    }
    metrics_count(&session->worker->metrics,
                  first != 0 ? METRICS_REFUSED_RATE : METRICS_REFUSED_NO_HOME);
    session->request.refusal = first != 0 ? "the tenant is at its limit" : "no home of its limit";
    session_refuse_operation(session, first != 0 ? ANSWER_OVERLOADED : ANSWER_BUSY, wait_ms);
}

static void
note_refusal(struct session *session, home_t *home, time_ns now, time_ns wait)
{
    time_ns first = session->request.next_token_at;
    time_ns until = now + wait;
    time_ns ask_at = now + MIN(wait, EMPTY_NS);
    for (unsigned i = share_priority(session->route.priority); i < SHARE_PRIORITIES; i++) {
        home->empty_until[i] = MAX(home->empty_until[i], ask_at); /* lower priorities as well */
        home->next_token_at[i] = MAX(home->next_token_at[i], until);
    }
    session->request.next_token_at = first == 0 ? until : MIN(first, until);
}

/* The wait to report for the wait of a refusal, in which 0 means that there never will be a token.
 */
static time_ns
reported_wait(time_ns wait)
{
    return wait == 0 ? NEVER_RETRY_NS : wait;
}

/* Takes a token from the shares that this pooler counts. Returns true if one was granted. */
static bool
request_local(struct session *session, const tenant_t *tenant, home_t *home, time_ns now)
{
    time_ns wait = 0;
    switch (counting_take(session->worker->shared->counting, tenant, session->route.priority, now,
                          &wait)) {
    case TOKEN_GRANTED:
        return true;
    case TOKEN_REFUSED:
        note_refusal(session, home, now, reported_wait(wait));
        break;
    case TOKEN_DECLINED:
        home->declined_until = now + DECLINED_NS;
        break;
    }
    return false;
}

void
admission_abandon(struct session *session)
{
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        if (session->request.token_requests[i] != NULL) {
            forward_abandon_token(session->request.token_requests[i]);
            session->request.token_requests[i] = NULL;
        }
    }
}

/* The homes by the newest roster. Requests to homes of an earlier roster are abandoned. */
static homes_t *
current_homes(struct session *session)
{
    homes_t *homes = homes_of(session->worker, session->tenant);
    if (homes->revision != session->request.homes_revision) {
        session->request.homes_revision = homes->revision;
        session->request.homes_requested = 0;
        admission_abandon(session);
    }
    return homes;
}

/* When the first of the pending requests times out; 0 if there is none. */
static time_ns
first_timeout(const struct session *session)
{
    time_ns first = 0;
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        const token_request_t *question = session->request.token_requests[i];
        if (question != NULL) {
            time_ns until = token_requested_at(question) + HOME_TIMEOUT_NS;
            first = first == 0 ? until : MIN(first, until);
        }
    }
    return first;
}

/* Requests a token from another pooler, in addition to pending requests. Returns false if no
 * request could be sent. */
static bool
request_remote(struct session *session, const tenant_t *tenant, homes_t *homes, unsigned place,
               time_ns now)
{
    link_t *link = homes->homes[place].link;
    bool hedged = first_timeout(session) != 0;
    token_request_t *question = forward_request_token(session, link, tenant->name, place);
    if (question == NULL) {
        return false;
    }
    session->request.token_requests[place] = question;
    metrics_count(&session->worker->metrics, METRICS_TOKENS_REQUESTED);
    if (hedged) {
        metrics_count(&session->worker->metrics, METRICS_TOKENS_HEDGED);
    }
    operation_timing_enter(&session->timing, STAGE_TOKEN, now);
    time_ns hedge_at = now + home_health_hedge_delay(link_home_health(link));
    session_set_timer(session, MIN(hedge_at, first_timeout(session)));
    return true;
}

static void
proceed(struct session *session)
{
    admission_abandon(session);
    session_route(session);
}

static void
request_next(struct session *session, const tenant_t *tenant)
{
    homes_t *homes = current_homes(session);
    time_ns now = backend_now();
    for (int i = choose_home(session, homes, now); i >= 0; i = choose_home(session, homes, now)) {
        home_t *home = &homes->homes[i];
        session->request.homes_requested |= 1U << i;
        if (home->link == NULL) {
            if (request_local(session, tenant, home, now)) {
                proceed(session);
                return;
            }
        } else if (request_remote(session, tenant, homes, (unsigned)i, now)) {
            return;
        }
    }
    if (first_timeout(session) != 0) {
        session_set_timer(session, first_timeout(session));
        return;
    }
    refuse(session, homes, now);
}

void
admission_begin(struct session *session)
{
    tenant_t tenant;
    session->state = SESSION_ADMITTING;
    session->request.homes_requested = 0;
    admission_abandon(session);
    bool counted = session->worker->shared->counting != NULL && session->forwarded.caller == NULL;
    if (!counted || !find_limit(session->worker, session->tenant, &tenant)) {
        session_route(session);
        return;
    }
    request_next(session, &tenant);
}

/* Processes further messages of the client if the operation has ended. */
static void
process_buffered(struct session *session)
{
    if (session->state == SESSION_IDLE) {
        session_process(session);
    }
}

/* Asks the next home, or admits the operation if the tenant's limit was removed meanwhile. */
static void
try_next_home(struct session *session)
{
    tenant_t tenant;
    if (find_limit(session->worker, session->tenant, &tenant)) {
        request_next(session, &tenant);
    } else {
        proceed(session);
    }
    process_buffered(session);
}

void
admission_answered(struct session *session, unsigned place, const admission_answer_t *answer)
{
    time_ns now = backend_now();
    session->request.token_requests[place] = NULL;
    if (!answer->declined && !answer->refused) {
        proceed(session);
        process_buffered(session);
        return;
    }
    homes_t *homes = homes_of(session->worker, session->tenant);
    if (homes->revision == session->request.homes_revision) {
        home_t *home = &homes->homes[place];
        if (answer->refused) {
            note_refusal(session, home, now, answer->retry_ms * NANOSECONDS_PER_MILLISECOND);
        } else {
            home->declined_until = now + DECLINED_NS;
        }
    }
    try_next_home(session);
}

void
admission_home_unreachable(struct session *session, unsigned place)
{
    session->request.token_requests[place] = NULL;
    metrics_count(&session->worker->metrics, METRICS_TOKENS_UNANSWERED);
    try_next_home(session);
}

/* Handles a pending request that has passed its hedge delay or its time-out. */
static void
check_pending(struct session *session, unsigned place, time_ns now)
{
    token_request_t *question = session->request.token_requests[place];
    home_health_t *health = link_home_health(token_link(question));
    if (now < token_requested_at(question) + HOME_TIMEOUT_NS) {
        home_health_note_slow(health, now);
        return;
    }
    if (home_health_note_timeout(health, now)) {
        g_info("The home at %s does not answer token requests; other homes are preferred.",
               link_address(token_link(question)));
    }
    metrics_count(&session->worker->metrics, METRICS_TOKENS_UNANSWERED);
    forward_abandon_token(question);
    session->request.token_requests[place] = NULL;
}

void
admission_timer_expired(struct session *session)
{
    time_ns now = backend_now();
    for (unsigned i = 0; i < ROSTER_SHARES; i++) {
        if (session->request.token_requests[i] != NULL) {
            check_pending(session, i, now);
        }
    }
    try_next_home(session);
}

admission_answer_t
admission_answer_request(struct worker *worker, const char *name, uint32_t priority)
{
    tenant_t tenant;
    time_ns wait = 0;
    if (worker->shared->counting == NULL || !find_limit(worker, name, &tenant)) {
        return (admission_answer_t){.declined = true};
    }
    switch (counting_take(worker->shared->counting, &tenant, priority, backend_now(), &wait)) {
    case TOKEN_GRANTED:
        return (admission_answer_t){0};
    case TOKEN_REFUSED:
        return (admission_answer_t){
            .refused = true,
            .retry_ms = (uint32_t)(reported_wait(wait) / NANOSECONDS_PER_MILLISECOND) + 1};
    default:
        return (admission_answer_t){.declined = true};
    }
}
