/* Interactive transactions; see the header. */
#include "daemon/transaction.h"

#include <string.h>

#include "backend/clock.h"

/* Random bytes in an id, so that it cannot be guessed. */
#define ID_RANDOM_FORMAT "%08x%08x"

struct transaction_table {
    pthread_mutex_t lock; /* guards the map and each transaction's in_use and idle_until */
    GHashTable *by_id;    /* id -> struct transaction */
    char *daemon_name;
    uint64_t incarnation;
    uint64_t begun; /* counts ids */
};

struct transaction_table *transaction_table_new(const char *daemon_name, uint64_t incarnation)
{
    struct transaction_table *table = g_new0(struct transaction_table, 1);
    pthread_mutex_init(&table->lock, NULL);
    table->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    table->daemon_name = g_strdup(daemon_name);
    table->incarnation = incarnation;
    return table;
}

void transaction_table_free(struct transaction_table *table)
{
    g_assert(g_hash_table_size(table->by_id) == 0);
    g_hash_table_destroy(table->by_id);
    pthread_mutex_destroy(&table->lock);
    g_free(table->daemon_name);
    g_free(table);
}

char *transaction_owner_of(const char *id)
{
    const char *end = strchr(id, '.');
    if (end == NULL || end == id) {
        return NULL;
    }
    return g_strndup(id, (gsize)(end - id));
}

char *transaction_table_make_id(struct transaction_table *table)
{
    pthread_mutex_lock(&table->lock);
    uint64_t number = ++table->begun;
    pthread_mutex_unlock(&table->lock);
    return g_strdup_printf("%s.%" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT "." ID_RANDOM_FORMAT,
                           table->daemon_name, table->incarnation, number, g_random_int(),
                           g_random_int());
}

void transaction_table_add(struct transaction_table *table, struct transaction *transaction)
{
    time_ns now = backend_now();
    pthread_mutex_lock(&table->lock);
    transaction->in_use = true;
    transaction->idle_until = now + transaction->idle;
    g_hash_table_insert(table->by_id, transaction->id, transaction);
    pthread_mutex_unlock(&table->lock);
}

enum transaction_lookup transaction_table_take(struct transaction_table *table, const char *id,
                                               const char *tenant, struct transaction **out)
{
    enum transaction_lookup lookup = TRANSACTION_NOT_OPEN;
    pthread_mutex_lock(&table->lock);
    struct transaction *transaction = g_hash_table_lookup(table->by_id, id);
    if (transaction != NULL && strcmp(transaction->tenant, tenant) == 0) {
        lookup = transaction->in_use ? TRANSACTION_BUSY : TRANSACTION_TAKEN;
    }
    if (lookup == TRANSACTION_TAKEN) {
        transaction->in_use = true;
        *out = transaction;
    }
    pthread_mutex_unlock(&table->lock);
    return lookup;
}

void transaction_table_put(struct transaction_table *table, struct transaction *transaction)
{
    pthread_mutex_lock(&table->lock);
    transaction->in_use = false;
    transaction->idle_until = MIN(backend_now() + transaction->idle, transaction->total_until);
    pthread_mutex_unlock(&table->lock);
}

/* Frees a transaction that is no longer in the table. */
static void free_transaction(struct transaction *transaction)
{
    struct pool *pool = transaction->group->databases[transaction->database].pool;
    bool clean = backend_connection_is_clean(transaction->connection);
    pool_release(pool, transaction->connection, clean);
    if (transaction->counts_as_write) {
        group_runtime_end_write(transaction->group);
    }
    group_runtime_unref(transaction->group);
    g_free(transaction->id);
    g_free(transaction->tenant);
    g_free(transaction->ledger_key);
    g_free(transaction);
}

void transaction_table_end(struct transaction_table *table, struct transaction *transaction)
{
    pthread_mutex_lock(&table->lock);
    g_hash_table_remove(table->by_id, transaction->id);
    pthread_mutex_unlock(&table->lock);
    free_transaction(transaction);
}

uint32_t transaction_table_expire(struct transaction_table *table, time_ns now, bool all)
{
    g_autoptr(GPtrArray) expired = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    pthread_mutex_lock(&table->lock);
    g_hash_table_iter_init(&iterator, table->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct transaction *transaction = value;
        bool over = all || now >= transaction->idle_until;
        if (over && !transaction->in_use) {
            g_ptr_array_add(expired, transaction);
            g_hash_table_iter_remove(&iterator);
        }
    }
    pthread_mutex_unlock(&table->lock);
    for (guint i = 0; i < expired->len; i++) {
        /* Closing an unclean connection rolls the transaction back. */
        free_transaction(g_ptr_array_index(expired, i));
    }
    return expired->len;
}

uint32_t transaction_table_count(struct transaction_table *table)
{
    pthread_mutex_lock(&table->lock);
    uint32_t count = g_hash_table_size(table->by_id);
    pthread_mutex_unlock(&table->lock);
    return count;
}

bool transaction_enter(struct transaction *transaction, struct active_call *call,
                       enum active_call_kind kind)
{
    bool entered = active_calls_enter(&transaction->group->calls, call, kind,
                                      (uint32_t)transaction->database, transaction->connection);
    if (!entered) {
        backend_connection_break(transaction->connection);
    }
    return entered;
}

void transaction_leave(struct transaction *transaction, struct active_call *call)
{
    active_calls_leave(&transaction->group->calls, call);
}

/* Kind of call on the connection of an open transaction. Its writes can't be repeated. */
static enum active_call_kind kind_of(const struct transaction *transaction)
{
    return transaction->options.read_only ? ACTIVE_CALL_READ : ACTIVE_CALL_WRITE;
}

enum execute_result transaction_run(struct transaction *transaction,
                                    const struct sql_statement *statements, size_t count,
                                    time_ns deadline, const struct result_limits *limits,
                                    struct execute_answer *answer)
{
    struct active_call call;
    if (!transaction_enter(transaction, &call, kind_of(transaction))) {
        return EXECUTE_NOT_PRIMARY;
    }
    enum execute_result result =
        adapter_statement(transaction->connection, statements, count, deadline, limits, answer);
    transaction_leave(transaction, &call);
    return result;
}

void transaction_rollback(struct transaction *transaction, time_ns deadline)
{
    struct active_call call;
    if (transaction_enter(transaction, &call, kind_of(transaction))) {
        adapter_rollback(transaction->connection, deadline);
        transaction_leave(transaction, &call);
    }
}

enum execute_result transaction_commit(struct transaction *transaction, time_ns deadline,
                                       struct execute_answer *answer)
{
    struct active_call call;
    bool keyed = transaction->ledger_key != NULL;
    if (!transaction_enter(transaction, &call,
                           keyed ? ACTIVE_CALL_KEYED_WRITE : ACTIVE_CALL_WRITE)) {
        return EXECUTE_NOT_PRIMARY;
    }
    enum execute_result result =
        adapter_commit(transaction->connection, &transaction->options, deadline, answer);
    transaction_leave(transaction, &call);
    return result;
}

const char *transaction_role_name(const struct transaction *transaction)
{
    bool replica = transaction->options.read_only && transaction->role == DATABASE_ROLE_REPLICA;
    return replica ? "replica" : "primary";
}
