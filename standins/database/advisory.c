/* Advisory locks of sessions. See advisory.h. */
#include "advisory.h"

#include "session.h"

#define ARGUMENTS_MAX 2

struct advisory_holder {
    const struct session *session;
    guint count; /* times taken by the session */
};

/* One call. `key` names the lock; NULL if an argument is null. */
struct advisory_call {
    bool unlocks;
    char *name;
    char *key;
};

void advisory_init(struct advisory_locks *locks)
{
    locks->holders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void advisory_clear(struct advisory_locks *locks)
{
    g_hash_table_unref(locks->holders);
}

static gboolean is_held_by(gpointer key, gpointer value, gpointer session)
{
    const struct advisory_holder *holder = value;
    return holder->session == session;
}

void advisory_release_all(struct advisory_locks *locks, const struct session *session)
{
    g_hash_table_foreach_remove(locks->holders, is_held_by, (gpointer)session);
}

/* Takes a lock. False if another session holds it. */
static bool try_lock(struct advisory_locks *locks, const struct session *session, const char *key)
{
    struct advisory_holder *holder = g_hash_table_lookup(locks->holders, key);
    if (holder == NULL) {
        holder = g_new0(struct advisory_holder, 1);
        holder->session = session;
        g_hash_table_insert(locks->holders, g_strdup(key), holder);
    }
    if (holder->session != session) {
        return false;
    }
    holder->count++;
    return true;
}

/* Releases a lock once. False if the session does not hold it. */
static bool unlock(struct advisory_locks *locks, const struct session *session, const char *key)
{
    struct advisory_holder *holder = g_hash_table_lookup(locks->holders, key);
    if (holder == NULL || holder->session != session) {
        return false;
    }
    holder->count--;
    if (holder->count == 0) {
        g_hash_table_remove(locks->holders, key);
    }
    return true;
}

/* Splits a call into its function's name and raw arguments. NULL if the text is no such call. */
static char *parse_call(const char *sql, char ***arguments)
{
    static const char PATTERN[] =
        "^\\s*select\\s+(pg_try_advisory_lock|pg_advisory_unlock)\\s*\\(([^()]*)\\)\\s*$";
    g_autoptr(GRegex) regex = g_regex_new(PATTERN, G_REGEX_CASELESS, 0, NULL);
    g_autoptr(GMatchInfo) match = NULL;
    if (!g_regex_match(regex, sql, 0, &match)) {
        return NULL;
    }
    g_autofree char *name = g_match_info_fetch(match, 1);
    g_autofree char *list = g_match_info_fetch(match, 2);
    *arguments = g_strsplit(g_strstrip(list), ",", -1);
    guint count = g_strv_length(*arguments);
    return count == 1 || count == ARGUMENTS_MAX ? g_ascii_strdown(name, -1) : NULL;
}

static bool fail_unknown(struct sql_error *error)
{
    return sql_error_set(error, "42883", "no advisory lock function has this name and arguments");
}

/* Builds the lock's key. As in PostgreSQL, keys of two integers and keys of one bigint are separate
 * spaces. */
static bool read_key(char *const *raw, const struct parameters *parameters, char **key,
                     struct sql_error *error)
{
    bool pair = raw[1] != NULL;
    g_autoptr(GString) text = g_string_new(pair ? "pair" : "single");
    for (guint i = 0; raw[i] != NULL; i++) {
        g_autofree char *value = parameters_argument(parameters, raw[i]);
        gint64 number = 0;
        gint64 least = pair ? G_MININT32 : G_MININT64;
        gint64 most = pair ? G_MAXINT32 : G_MAXINT64;
        if (value == NULL) {
            return true;
        }
        if (!g_ascii_string_to_signed(value, 10, least, most, &number, NULL)) {
            return sql_error_set(error, "22P02", "invalid input syntax for type %s: \"%s\"",
                                 pair ? "integer" : "bigint", value);
        }
        g_string_append_printf(text, " %" G_GINT64_FORMAT, number);
    }
    *key = g_strdup(text->str);
    return true;
}

static bool read_call(const struct statement *statement, const struct parameters *parameters,
                      struct advisory_call *call, struct sql_error *error)
{
    g_auto(GStrv) raw = NULL;
    call->name = parse_call(statement->sql, &raw);
    if (call->name == NULL) {
        return fail_unknown(error);
    }
    call->unlocks = g_str_equal(call->name, "pg_advisory_unlock");
    return read_key(raw, parameters, &call->key, error);
}

/* The result is null if an argument was. */
static void run_call(struct session *session, const struct advisory_call *call,
                     struct result *result)
{
    struct server *server = session->server;
    struct advisory_locks *locks = &server->advisory_locks;
    if (call->key == NULL) {
        result_add_text(result, NULL);
        return;
    }
    pthread_mutex_lock(&server->lock);
    bool done =
        call->unlocks ? unlock(locks, session, call->key) : try_lock(locks, session, call->key);
    pthread_mutex_unlock(&server->lock);
    result_add_bool(result, done);
}

bool advisory_execute(struct session *session, const struct statement *statement,
                      const struct parameters *parameters, struct result *result,
                      struct sql_error *error)
{
    struct advisory_call call = {0};
    bool done = read_call(statement, parameters, &call, error);
    if (done) {
        result_add_column(result, call.name, OID_BOOL);
        run_call(session, &call, result);
        result->rows++;
    }
    g_free(call.name);
    g_free(call.key);
    return done;
}

bool advisory_describe(const struct statement *statement, struct result *result,
                       struct sql_error *error)
{
    g_auto(GStrv) raw = NULL;
    g_autofree char *name = parse_call(statement->sql, &raw);
    if (name == NULL) {
        return fail_unknown(error);
    }
    result_add_column(result, name, OID_BOOL);
    return true;
}
