/* Callers that send continuously; see the header. */
#include "callers.h"

#include <string.h>

static void record_failure(struct caller *caller, const struct http_call *call,
                           const struct http_answer *answer)
{
    struct callers *callers = caller->callers;
    atomic_fetch_add(&callers->failures, 1);
    g_autofree char *body = answer->body != NULL ? json_to_string(answer->body, FALSE) : NULL;
    g_autofree char *text = g_strdup_printf(
        "caller %u of kind %d, round %u, %s %s, served by %s: status %ld: %s", caller->number,
        caller->kind, atomic_load(&caller->rounds), call->path != NULL ? call->path : "statements",
        call->transaction != NULL ? call->transaction : "", answer->served_by, answer->status,
        body != NULL ? body : answer->failure);
    /* Logged at once, to appear in order among the daemons' own lines. */
    g_message("A call failed: %s", text);
    pthread_mutex_lock(&callers->lock);
    if (callers->first_failure->len == 0) {
        g_string_assign(callers->first_failure, text);
    }
    pthread_mutex_unlock(&callers->lock);
}

static unsigned port_for_turn(struct callers *callers, unsigned turn)
{
    pthread_mutex_lock(&callers->lock);
    unsigned port = callers->ports[turn % callers->port_count];
    pthread_mutex_unlock(&callers->lock);
    return port;
}

/* True if the call was certainly not run and may be sent again, according to the answer or because
 * no connection was made. */
static bool may_send_again(const struct http_answer *answer)
{
    bool refused = g_strcmp0(answer->outcome, "refused") == 0 && answer->retry_after != NULL;
    return refused || answer->not_connected;
}

/* Sends the call until it is accepted. Returns true if it is done; the caller clears the answer. */
static bool send_until_accepted(struct caller *caller, unsigned turn, const struct http_call *call,
                                struct http_answer *answer)
{
    struct callers *callers = caller->callers;
    http_post(port_for_turn(callers, turn), call, answer);
    while (atomic_load(&callers->retry_refused) && may_send_again(answer)) {
        http_answer_clear(answer);
        turn++;
        http_post(port_for_turn(callers, turn), call, answer);
    }
    bool done = g_strcmp0(answer->outcome, "done") == 0;
    if (!done) {
        record_failure(caller, call, answer);
    }
    return done;
}

/* The same for a request whose answer's content is not checked. */
static bool send_plain(struct caller *caller, unsigned turn, const struct http_call *call)
{
    struct http_answer answer;
    bool done = send_until_accepted(caller, turn, call, &answer);
    http_answer_clear(&answer);
    return done;
}

static char *insert_of(const struct caller *caller, unsigned round)
{
    return g_strdup_printf("INSERT INTO stays VALUES ('%u-%u', 'caller-%u')", caller->number, round,
                           caller->number);
}

static void write_once(struct caller *caller, unsigned round, bool keyed)
{
    g_autofree char *key = g_strdup_printf("caller-%u-%u", caller->number, round);
    g_autofree char *sql = insert_of(caller, round);
    struct http_call call = {.sql = sql, .key = keyed ? key : NULL};
    caller->rows += send_plain(caller, caller->number + round, &call);
}

/* Reads a text that is unique to this caller and round. */
static void read_once(struct caller *caller, unsigned round)
{
    struct http_answer answer;
    g_autofree char *text = g_strdup_printf("caller %u round %u", caller->number, round);
    g_autofree char *sql = g_strdup_printf("SELECT '%s'", text);
    struct http_call call = {.sql = sql};
    if (send_until_accepted(caller, caller->number + round, &call, &answer)) {
        g_autofree char *cell = http_cell(&answer, 0, 0);
        g_assert_cmpstr(cell, ==, text);
    }
    http_answer_clear(&answer);
}

static void transact_once(struct caller *caller, unsigned round)
{
    struct http_answer answer;
    unsigned turn = caller->number + round;
    g_autofree char *key = g_strdup_printf("caller-%u-%u", caller->number, round);
    g_autofree char *sql = insert_of(caller, round);
    struct http_call call = {.path = "transactions", .body = "{\"begin\": true}", .key = key};
    bool begun = send_until_accepted(caller, turn, &call, &answer);
    g_autofree char *id = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    if (!begun) {
        return;
    }
    struct http_call insert = {.transaction = id, .sql = sql};
    struct http_call read = {.transaction = id, .sql = "SELECT 1"};
    struct http_call commit = {.transaction = id, .path = "commit", .key = key};
    bool went_well = send_plain(caller, turn + 1, &insert) && send_plain(caller, turn + 2, &read);
    caller->rows += went_well && send_plain(caller, turn + 3, &commit);
}

static void run_round(struct caller *caller, unsigned round)
{
    switch (caller->kind) {
    case CALLER_KIND_KEYED_WRITE:
        write_once(caller, round, true);
        break;
    case CALLER_KIND_UNKEYED_WRITE:
        write_once(caller, round, false);
        break;
    case CALLER_KIND_READ:
        read_once(caller, round);
        break;
    default:
        transact_once(caller, round);
        break;
    }
}

static gpointer run_caller(gpointer data)
{
    struct caller *caller = data;
    for (unsigned round = 0; !atomic_load(&caller->callers->stop); round++) {
        run_round(caller, round);
        atomic_fetch_add(&caller->rounds, 1);
    }
    return NULL;
}

void callers_use_daemons(struct callers *callers, struct cluster *cluster, unsigned besides)
{
    pthread_mutex_lock(&callers->lock);
    callers->port_count = 0;
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (cluster->daemons[i] != NULL && i != besides) {
            callers->ports[callers->port_count++] = cluster_port(cluster, i);
        }
    }
    pthread_mutex_unlock(&callers->lock);
}

void callers_start(struct callers *callers, struct cluster *cluster, unsigned count)
{
    memset(callers, 0, sizeof(*callers));
    pthread_mutex_init(&callers->lock, NULL);
    callers->first_failure = g_string_new(NULL);
    callers->count = count;
    callers_use_daemons(callers, cluster, CLUSTER_DAEMONS_MAX);
    for (unsigned i = 0; i < count; i++) {
        struct caller *caller = &callers->items[i];
        caller->callers = callers;
        caller->number = i;
        caller->kind = (enum caller_kind)(i % CALLER_KIND_COUNT);
        caller->thread = g_thread_new("caller", run_caller, caller);
    }
}

void callers_await(struct callers *callers, unsigned more)
{
    unsigned targets[CALLERS_MAX] = {0};
    for (unsigned i = 0; i < callers->count; i++) {
        targets[i] = atomic_load(&callers->items[i].rounds) + more;
    }
    for (unsigned i = 0; i < callers->count; i++) {
        AWAIT(atomic_load(&callers->items[i].rounds) >= targets[i]);
    }
}

void callers_stop(struct callers *callers, struct cluster *cluster)
{
    atomic_store(&callers->stop, true);
    for (unsigned i = 0; i < callers->count; i++) {
        g_thread_join(callers->items[i].thread);
    }
    if (atomic_load(&callers->failures) > 0) {
        g_error("%u calls failed; the first: %s", atomic_load(&callers->failures),
                callers->first_failure->str);
    }
    unsigned primary = (unsigned)cluster_primary(cluster);
    for (unsigned i = 0; i < callers->count; i++) {
        g_autofree char *from = g_strdup_printf("stays WHERE guest = 'caller-%u'", i);
        g_assert_cmpint(cluster_count(cluster, primary, from), ==, callers->items[i].rows);
    }
    g_string_free(callers->first_failure, TRUE);
    pthread_mutex_destroy(&callers->lock);
}
