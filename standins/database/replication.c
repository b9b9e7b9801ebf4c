/* A replica's pull and apply threads. See replication.h. */
#include "replication.h"

#include <libpq-fe.h>
#include <poll.h>
#include <string.h>

#include "control.h"
#include "server.h"

/* How long the primary waits for new entries before it answers a pull. */
#define PULL_WAIT_MS "1000"

/* Time-out of a pull; the connection is closed with it. */
#define PULL_TIMEOUT_US (4 * G_USEC_PER_SEC)

/* Pause after a failed pull. */
#define RETRY_PAUSE_US 20000

#define POLL_SLICE_MS   20
#define BLOCKED_POLL_US 2000

enum log_column { LOG_LEADER_TERM, LOG_TERM, LOG_OFFSET, LOG_PAYLOAD };

struct replication {
    struct database *database;
    struct faults *faults;
    char *zone;
    pthread_t puller;
    pthread_t applier;
};

/* The parameters of one pull, copied from the database. */
struct pull {
    char *address;
    uint64_t follow_count;
    uint64_t term;
    struct log_position after;
};

/* Waits until there is a primary to pull from. Returns false when the program stops. */
static bool next_pull(struct database *database, struct pull *pull)
{
    pthread_mutex_lock(&database->lock);
    while (!database->stopping &&
           (database->role != DATABASE_ROLE_REPLICA || database->primary == NULL ||
            database->promised_term != database->term)) {
        database_wait_slice(database, G_MAXINT64);
    }
    bool found = !database->stopping;
    if (found) {
        g_free(pull->address);
        pull->address = g_strdup(database->primary);
        pull->follow_count = database->follow_count;
        pull->term = database->term;
        pull->after = database_held(database);
    }
    pthread_mutex_unlock(&database->lock);
    return found;
}

/* True if the database's role, term and primary still are those the pull was started with. */
static bool pull_current(struct database *database, const struct pull *pull)
{
    pthread_mutex_lock(&database->lock);
    bool current = !database->stopping && database->follow_count == pull->follow_count &&
                   database->promised_term == pull->term;
    pthread_mutex_unlock(&database->lock);
    return current;
}

/* True while a fault partitions the primary's zone from this database. */
static bool primary_blocked(struct replication *replication, PGconn *connection)
{
    return faults_blocks(replication->faults, PQparameterStatus(connection, ZONE_PARAMETER));
}

/* Waits until the socket is ready. Returns false if the pull is outdated or its time-out has
 * passed. */
static bool wait_socket(struct replication *replication, const struct pull *pull,
                        PGconn *connection, short events, int64_t deadline)
{
    while (pull_current(replication->database, pull) && g_get_monotonic_time() < deadline) {
        struct pollfd watch = {.fd = PQsocket(connection), .events = events};
        bool ready = poll(&watch, 1, POLL_SLICE_MS) > 0;
        if (ready && !primary_blocked(replication, connection)) {
            return true;
        }
        if (ready) {
            g_usleep(BLOCKED_POLL_US);
        }
    }
    return false;
}

static PGconn *connect_primary(struct replication *replication, const struct pull *pull)
{
    g_auto(GStrv) address = g_strsplit(pull->address, ":", 2);
    if (address[0] == NULL || address[1] == NULL) {
        return NULL;
    }
    g_autofree char *client = g_strdup_printf(REPLICATION_CLIENT_PREFIX "%s@%s",
                                              replication->database->name, replication->zone);
    const char *const names[] = {"hostaddr",         "port",    "user",       "dbname",
                                 "application_name", "sslmode", "gssencmode", NULL};
    const char *const values[] = {address[0], address[1], "replication", "replication",
                                  client,     "disable",  "disable",     NULL};
    PGconn *connection = PQconnectStartParams(names, values, 0);
    int64_t deadline = g_get_monotonic_time() + PULL_TIMEOUT_US;
    PostgresPollingStatusType state = PGRES_POLLING_WRITING;
    while (state != PGRES_POLLING_OK && state != PGRES_POLLING_FAILED) {
        short events = state == PGRES_POLLING_READING ? POLLIN : POLLOUT;
        if (!wait_socket(replication, pull, connection, events, deadline)) {
            break;
        }
        state = PQconnectPoll(connection);
    }
    if (state != PGRES_POLLING_OK) {
        PQfinish(connection);
        return NULL;
    }
    return connection;
}

/* Requests the entries after a position. Returns NULL if the connection must be closed. */
static PGresult *query_log(struct replication *replication, const struct pull *pull,
                           PGconn *connection, struct log_position after)
{
    g_autofree char *term = g_strdup_printf("%" G_GUINT64_FORMAT, after.term);
    g_autofree char *offset = g_strdup_printf("%" G_GUINT64_FORMAT, after.offset);
    const char *const values[] = {term, offset, PULL_WAIT_MS};
    if (!PQsendQueryParams(connection, "SELECT * FROM swiftworks_log_after($1, $2, $3)", 3, NULL,
                           values, NULL, NULL, 0)) {
        return NULL;
    }
    int64_t deadline = g_get_monotonic_time() + PULL_TIMEOUT_US;
    while (PQisBusy(connection)) {
        bool ready = wait_socket(replication, pull, connection, POLLIN, deadline) &&
                     PQconsumeInput(connection);
        if (!ready) {
            return NULL;
        }
    }
    PGresult *result = PQgetResult(connection);
    PGresult *extra = result != NULL ? PQgetResult(connection) : NULL;
    while (extra != NULL) {
        PQclear(extra);
        extra = PQgetResult(connection);
    }
    return result;
}

static uint64_t number_at(const PGresult *result, int row, enum log_column column)
{
    return g_ascii_strtoull(PQgetvalue(result, row, (int)column), NULL, 10);
}

/* The entries in a pull's reply. Its first row holds no entry. */
static GPtrArray *decode_entries(const PGresult *result)
{
    GPtrArray *entries = g_ptr_array_new_with_free_func((GDestroyNotify)log_entry_free);
    for (int row = 1; row < PQntuples(result); row++) {
        struct log_position position = {number_at(result, row, LOG_TERM),
                                        number_at(result, row, LOG_OFFSET)};
        struct log_entry *entry = log_entry_decode(position, PQgetvalue(result, row, LOG_PAYLOAD));
        if (entry == NULL) {
            g_error("replication: the primary sent a malformed log entry.");
        }
        entry->received_ns = (time_ns)g_get_monotonic_time() * 1000;
        g_ptr_array_add(entries, entry);
    }
    return entries;
}

/* The number of entries that two logs have in common from their beginning. */
static guint shared_prefix(const GPtrArray *first, const GPtrArray *second)
{
    guint shared = 0;
    while (shared < MIN(first->len, second->len)) {
        const struct log_entry *a = g_ptr_array_index(first, shared);
        const struct log_entry *b = g_ptr_array_index(second, shared);
        if (a->position.term != b->position.term || a->random_seed != b->random_seed) {
            break;
        }
        shared++;
    }
    return shared;
}

/* Replaces a diverged log with the primary's full log. The common entries keep the times at which
 * they were received and stay applied; all others are undone. The caller holds the lock. */
static void replace_log(struct database *database, GPtrArray *entries)
{
    guint shared = shared_prefix(database->log, entries);
    for (guint i = 0; i < shared; i++) {
        const struct log_entry *old = g_ptr_array_index(database->log, i);
        struct log_entry *entry = g_ptr_array_index(entries, i);
        entry->received_ns = old->received_ns;
    }
    g_message("database %s: dropping %u log entries that the primary does not have.",
              database->name, database->log->len - shared);
    g_ptr_array_unref(database->log);
    database->log = g_ptr_array_ref(entries);
    if (database->applied <= shared) {
        return;
    }
    struct sql_handle empty;
    sql_handle_open(&empty);
    sql_handle_copy(&database->committed, &empty);
    sql_handle_close(&empty);
    database->applied = 0;
    database->writer_stale = true;
    while (database->applied < shared) {
        database_apply_next(database);
    }
}

/* Adds pulled entries to the log, unless the role, the primary or the promised term has changed
 * since the pull began. */
static void accept_entries(struct database *database, const struct pull *pull, uint64_t leader_term,
                           struct log_position after, GPtrArray *entries)
{
    pthread_mutex_lock(&database->lock);
    bool accepted = database->follow_count == pull->follow_count &&
                    database->role == DATABASE_ROLE_REPLICA &&
                    leader_term == database->promised_term;
    if (accepted && after.offset == 0 && database->log->len > 0) {
        replace_log(database, entries);
    } else if (accepted) {
        for (guint i = 0; i < entries->len; i++) {
            g_ptr_array_add(database->log, g_ptr_array_index(entries, i));
        }
        g_ptr_array_set_free_func(entries, NULL);
    }
    pthread_cond_broadcast(&database->changed);
    pthread_mutex_unlock(&database->lock);
}

/* Runs one pull. Returns false if the connection must be closed. */
static bool pull_once(struct replication *replication, const struct pull *pull, PGconn *connection)
{
    static const struct log_position BEGINNING = {0, 0};
    struct log_position after = pull->after;
    PGresult *result = query_log(replication, pull, connection, after);
    const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    if (sqlstate != NULL && strcmp(sqlstate, LOG_MISMATCH_SQLSTATE) == 0) {
        PQclear(result);
        after = BEGINNING;
        result = query_log(replication, pull, connection, after);
    }
    bool done = PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) > 0;
    if (done) {
        g_autoptr(GPtrArray) entries = decode_entries(result);
        accept_entries(replication->database, pull, number_at(result, 0, LOG_LEADER_TERM), after,
                       entries);
    }
    PQclear(result);
    return done;
}

static void *run_puller(void *data)
{
    struct replication *replication = data;
    struct pull pull = {0};
    uint64_t connected_count = 0;
    PGconn *connection = NULL;
    while (next_pull(replication->database, &pull)) {
        if (connection != NULL && connected_count != pull.follow_count) {
            g_clear_pointer(&connection, PQfinish);
        }
        if (connection == NULL) {
            connection = connect_primary(replication, &pull);
            connected_count = pull.follow_count;
        }
        if (connection == NULL || !pull_once(replication, &pull, connection)) {
            g_clear_pointer(&connection, PQfinish);
            g_usleep(RETRY_PAUSE_US);
        }
    }
    PQfinish(connection);
    g_free(pull.address);
    return NULL;
}

/* The time at which the next held entry may be applied; G_MAXINT64 if there is none. The caller
 * holds the lock. */
static int64_t next_apply_time(const struct database *database)
{
    if (database->applied >= database->log->len) {
        return G_MAXINT64;
    }
    const struct log_entry *entry = g_ptr_array_index(database->log, database->applied);
    return (int64_t)(entry->received_ns / 1000) + database->replication_lag_ms * 1000;
}

static void *run_applier(void *data)
{
    struct replication *replication = data;
    struct database *database = replication->database;
    pthread_mutex_lock(&database->lock);
    while (!database->stopping) {
        int64_t due = next_apply_time(database);
        if (due <= g_get_monotonic_time() && !faults_frozen(replication->faults)) {
            database_apply_next(database);
        } else {
            database_wait_slice(database, MAX(due, g_get_monotonic_time() + BLOCKED_POLL_US));
        }
    }
    pthread_mutex_unlock(&database->lock);
    return NULL;
}

struct replication *replication_start(struct database *database, struct faults *faults,
                                      const char *zone)
{
    struct replication *replication = g_new0(struct replication, 1);
    replication->database = database;
    replication->faults = faults;
    replication->zone = g_strdup(zone);
    pthread_create(&replication->puller, NULL, run_puller, replication);
    pthread_create(&replication->applier, NULL, run_applier, replication);
    return replication;
}

void replication_join(struct replication *replication)
{
    pthread_join(replication->puller, NULL);
    pthread_join(replication->applier, NULL);
    g_free(replication->zone);
    g_free(replication);
}
