/* Idle connections are kept in one stack per address, the most recently used on top, so that
 * connections beyond the current need time out at the bottom. */
#include "wire/peer_pool.h"

#include "core/deployment.h"
#include "core/error.h"
#include "generated/errors.h"
#include "wire/connection.h"

#include <pthread.h>

#define STRIPE_COUNT 64

struct idle_connection {
    struct wire_connection *connection;
    time_ns idle_since;
};

/* A part of the pool with its own lock. */
struct pool_stripe {
    pthread_mutex_t mutex;
    GHashTable *peers; /* address -> GQueue of idle_connection, newest at the head */
};

struct peer_pool {
    unsigned idle_max;
    uint32_t deployment; /* sent by new connections; fixed before the first call */
    struct pool_stripe stripes[STRIPE_COUNT];
};

static void idle_connection_free(void *data)
{
    struct idle_connection *idle = data;
    wire_close(idle->connection);
    g_free(idle);
}

static void idle_queue_free(void *data)
{
    g_queue_free_full(data, idle_connection_free);
}

static struct pool_stripe *find_stripe(struct peer_pool *pool, const char *address)
{
    return &pool->stripes[g_str_hash(address) % STRIPE_COUNT];
}

struct peer_pool *peer_pool_new(unsigned idle_max)
{
    struct peer_pool *pool = g_new0(struct peer_pool, 1);
    pool->idle_max = idle_max;
    for (size_t i = 0; i < STRIPE_COUNT; i++) {
        pthread_mutex_init(&pool->stripes[i].mutex, NULL);
        pool->stripes[i].peers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, idle_queue_free);
    }
    return pool;
}

void peer_pool_set_deployment(struct peer_pool *pool, uint32_t deployment)
{
    pool->deployment = deployment;
}

void peer_pool_free(struct peer_pool *pool)
{
    for (size_t i = 0; i < STRIPE_COUNT; i++) {
        g_hash_table_unref(pool->stripes[i].peers);
        pthread_mutex_destroy(&pool->stripes[i].mutex);
    }
    g_free(pool);
}

/* Takes the newest idle connection out of the pool; NULL if there is none. */
static struct idle_connection *take_idle(struct peer_pool *pool, const char *address)
{
    struct pool_stripe *stripe = find_stripe(pool, address);
    struct idle_connection *idle = NULL;
    pthread_mutex_lock(&stripe->mutex);
    GQueue *queue = g_hash_table_lookup(stripe->peers, address);
    if (queue != NULL) {
        idle = g_queue_pop_head(queue);
    }
    pthread_mutex_unlock(&stripe->mutex);
    return idle;
}

/* Returns a connection to the pool, or closes it if the peer has its maximum of idle ones. */
static void put_idle(struct peer_pool *pool, const char *address,
                     struct wire_connection *connection)
{
    struct pool_stripe *stripe = find_stripe(pool, address);
    bool kept = false;
    struct idle_connection *idle = g_new0(struct idle_connection, 1);
    idle->connection = connection;
    idle->idle_since = wire_clock_now();
    pthread_mutex_lock(&stripe->mutex);
    GQueue *queue = g_hash_table_lookup(stripe->peers, address);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(stripe->peers, g_strdup(address), queue);
    }
    if (queue->length < pool->idle_max) {
        g_queue_push_head(queue, idle);
        kept = true;
    }
    pthread_mutex_unlock(&stripe->mutex);
    if (!kept) {
        idle_connection_free(idle);
    }
}

/* True if an idle connection may carry another request: it has not been idle too long, and there is
 * no input, neither CLOSING nor the end of file. */
static bool is_usable(const struct idle_connection *idle, time_ns idle_since_min)
{
    return idle->idle_since >= idle_since_min && wire_is_idle(idle->connection);
}

/* Takes a usable connection out of the pool; closes the unusable ones that it finds on the way. */
static struct wire_connection *take_usable_idle(struct peer_pool *pool, const char *address)
{
    time_ns now = wire_clock_now();
    time_ns idle_since_min = now > PEER_POOL_IDLE_NS ? now - PEER_POOL_IDLE_NS : 0;
    struct idle_connection *idle = NULL;
    while ((idle = take_idle(pool, address)) != NULL) {
        if (is_usable(idle, idle_since_min)) {
            struct wire_connection *connection = idle->connection;
            g_free(idle);
            return connection;
        }
        idle_connection_free(idle);
    }
    return NULL;
}

/* Sends one request and receives its answer; returns the connection to the pool or closes it. */
static enum peer_call_result exchange(struct peer_pool *pool, const char *address,
                                      struct wire_connection *connection, const GByteArray *frame,
                                      struct message *reply, time_ns deadline, GError **error)
{
    uint64_t sent_before = connection->bytes_sent;
    if (!wire_send_frame(connection, frame, deadline, error)) {
        bool nothing_sent = connection->bytes_sent == sent_before;
        g_prefix_error(error, "%s: ", address);
        wire_close(connection);
        return nothing_sent ? PEER_CALL_NOT_SENT : PEER_CALL_SENT_NO_ANSWER;
    }
    if (!wire_receive(connection, reply, deadline, error)) {
        g_prefix_error(error, "%s: ", address);
        wire_close(connection);
        return PEER_CALL_SENT_NO_ANSWER;
    }
    if (connection->peer_closing) {
        wire_close(connection);
    } else {
        put_idle(pool, address, connection);
    }
    return PEER_CALL_ANSWERED;
}

/* Connects to a peer and sends this side's deployment identity; NULL with `error` on failure. */
static struct wire_connection *connect_peer(struct peer_pool *pool, const char *address,
                                            time_ns deadline, GError **error)
{
    struct wire_connection *connection = wire_connect(address, deadline, error);
    if (connection == NULL || pool->deployment == DEPLOYMENT_UNNAMED) {
        return connection;
    }
    if (!wire_send_deployment(connection, pool->deployment, deadline, error)) {
        g_prefix_error(error, "%s: ", address);
        wire_close(connection);
        return NULL;
    }
    return connection;
}

/* Propagates an error; `from` may be NULL. */
static void propagate_error(GError **error, GError *from)
{
    if (from != NULL) {
        g_propagate_error(error, from);
    }
}

enum peer_call_result peer_call(struct peer_pool *pool, const char *address,
                                const struct message *request, struct message *reply,
                                time_ns deadline, GError **error)
{
    message_init(reply, MESSAGE_KIND_NONE);
    g_autoptr(GByteArray) frame = wire_frame_new(request, error);
    if (frame == NULL) {
        return PEER_CALL_NOT_SENT;
    }
    if (wire_clock_now() >= deadline) {
        g_set_error(error, SW_ERROR, ERROR_KIND_DEADLINE, "the deadline has passed");
        return PEER_CALL_NOT_SENT;
    }
    struct wire_connection *connection = take_usable_idle(pool, address);
    if (connection != NULL) {
        GError *pooled_error = NULL;
        enum peer_call_result result =
            exchange(pool, address, connection, frame, reply, deadline, &pooled_error);
        if (result != PEER_CALL_NOT_SENT) {
            propagate_error(error, pooled_error);
            return result;
        }
        g_clear_error(&pooled_error);
    }
    connection = connect_peer(pool, address, deadline, error);
    if (connection == NULL) {
        return PEER_CALL_NOT_SENT;
    }
    return exchange(pool, address, connection, frame, reply, deadline, error);
}

/* Moves the unusable connections of one peer to `closing`. */
static void collect_unusable(GQueue *queue, time_ns idle_since_min, GQueue *closing)
{
    GList *link = queue->head;
    while (link != NULL) {
        GList *next = link->next;
        if (!is_usable(link->data, idle_since_min)) {
            g_queue_push_tail(closing, link->data);
            g_queue_delete_link(queue, link);
        }
        link = next;
    }
}

/* Moves the unusable connections of a stripe to `closing` and removes peers without connections. */
static void collect_stripe(struct pool_stripe *stripe, time_ns idle_since_min, GQueue *closing)
{
    GHashTableIter iterator;
    void *queue = NULL;
    pthread_mutex_lock(&stripe->mutex);
    g_hash_table_iter_init(&iterator, stripe->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &queue)) {
        collect_unusable(queue, idle_since_min, closing);
        if (g_queue_is_empty(queue)) {
            g_hash_table_iter_remove(&iterator);
        }
    }
    pthread_mutex_unlock(&stripe->mutex);
}

void peer_pool_close_idle(struct peer_pool *pool, time_ns idle_since)
{
    GQueue closing = G_QUEUE_INIT;
    for (size_t i = 0; i < STRIPE_COUNT; i++) {
        collect_stripe(&pool->stripes[i], idle_since, &closing);
    }
    g_queue_clear_full(&closing, idle_connection_free);
}

void peer_pool_close_peer(struct peer_pool *pool, const char *address)
{
    struct pool_stripe *stripe = find_stripe(pool, address);
    pthread_mutex_lock(&stripe->mutex);
    g_hash_table_remove(stripe->peers, address);
    pthread_mutex_unlock(&stripe->mutex);
}

unsigned peer_pool_idle_count(struct peer_pool *pool, const char *address)
{
    struct pool_stripe *stripe = find_stripe(pool, address);
    pthread_mutex_lock(&stripe->mutex);
    GQueue *queue = g_hash_table_lookup(stripe->peers, address);
    unsigned count = queue == NULL ? 0 : queue->length;
    pthread_mutex_unlock(&stripe->mutex);
    return count;
}
