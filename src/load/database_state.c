/* Final state of a group. See database_state.h. */
#include "load/database_state.h"

#include <libpq-fe.h>
#include <string.h>

#include "core/error.h"
#include "core/types.h"

#define POLL_PAUSE_US           100000UL
#define CONNECT_TIMEOUT_SECONDS "2"

static bool same_counts(GHashTable *a, GHashTable *b)
{
    if (g_hash_table_size(a) != g_hash_table_size(b)) {
        return false;
    }
    GHashTableIter iterator;
    gpointer id;
    gpointer count;
    g_hash_table_iter_init(&iterator, a);
    while (g_hash_table_iter_next(&iterator, &id, &count)) {
        if (g_hash_table_lookup(b, id) != count) {
            return false;
        }
    }
    return true;
}

bool final_state_equal(const struct final_state *a, const struct final_state *b)
{
    return same_counts(a->entries, b->entries) && same_counts(a->bookings, b->bookings);
}

const struct final_state *final_state_majority(struct final_state *const *states, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        size_t alike = 0;
        for (size_t j = 0; states[i] != NULL && j < count; j++) {
            alike += states[j] != NULL && final_state_equal(states[i], states[j]);
        }
        if (alike * 2 > count) {
            return states[i];
        }
    }
    return NULL;
}

static void merge_counts(GHashTable *into, GHashTable *from)
{
    GHashTableIter iterator;
    gpointer id;
    gpointer count;
    g_hash_table_iter_init(&iterator, from);
    while (g_hash_table_iter_next(&iterator, &id, &count)) {
        guint sum = GPOINTER_TO_UINT(g_hash_table_lookup(into, id)) + GPOINTER_TO_UINT(count);
        g_hash_table_replace(into, g_strdup(id), GUINT_TO_POINTER(sum));
    }
}

void final_state_merge(struct final_state *into, const struct final_state *from)
{
    merge_counts(into->entries, from->entries);
    merge_counts(into->bookings, from->bookings);
}

static PGconn *connect_to(const char *address)
{
    const char *separator = strrchr(address, ':');
    if (separator == NULL) {
        return NULL;
    }
    g_autofree char *host = g_strndup(address, (gsize)(separator - address));
    const char *names[] = {
        "host", "port", "user", "dbname", "sslmode", "gssencmode", "connect_timeout", NULL};
    const char *values[] = {
        host,      separator + 1,           "swiftworks", "swiftworks", "disable",
        "disable", CONNECT_TIMEOUT_SECONDS, NULL};
    return PQconnectdbParams(names, values, 0);
}

static bool read_table(PGconn *connection, const char *sql, GHashTable *table)
{
    PGresult *result = PQexec(connection, sql);
    bool done = PQresultStatus(result) == PGRES_TUPLES_OK;
    for (int row = 0; done && row < PQntuples(result); row++) {
        final_state_add(table, PQgetvalue(result, row, 0));
    }
    PQclear(result);
    return done;
}

/* The rows of one database; NULL if it does not respond. */
static struct final_state *read_database(const char *address)
{
    PGconn *connection = connect_to(address);
    struct final_state *state = final_state_new();
    bool done = PQstatus(connection) == CONNECTION_OK &&
                read_table(connection, "SELECT id FROM ledger_check", state->entries) &&
                read_table(connection, "SELECT id FROM bookings", state->bookings);
    PQfinish(connection);
    if (!done) {
        g_clear_pointer(&state, final_state_free);
    }
    return state;
}

/* Reads every database once. Returns the state that a majority holds, or NULL. */
static struct final_state *read_group(const char *const *addresses)
{
    guint count = g_strv_length((GStrv)addresses);
    g_autoptr(GPtrArray) states = g_ptr_array_new_full(count, (GDestroyNotify)final_state_free);
    for (guint i = 0; i < count; i++) {
        g_ptr_array_add(states, read_database(addresses[i]));
    }
    const struct final_state *majority =
        final_state_majority((struct final_state *const *)states->pdata, count);
    if (majority == NULL) {
        return NULL;
    }
    struct final_state *state = final_state_new();
    final_state_merge(state, majority);
    return state;
}

struct final_state *database_state_read(const char *const *addresses, uint32_t timeout_ms,
                                        GError **error)
{
    gint64 gives_up_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
    struct final_state *state = read_group(addresses);
    while (state == NULL && g_get_monotonic_time() < gives_up_us) {
        g_usleep(POLL_PAUSE_US);
        state = read_group(addresses);
    }
    if (state == NULL) {
        g_set_error(error, SW_ERROR, ERROR_KIND_NO_PRIMARY,
                    "no majority of the databases holds the same rows after %u ms", timeout_ms);
    }
    return state;
}
