#include "backend/ledger.h"

#include <string.h>

#include "backend/adapter_internal.h"

#define SQL_CREATE_TABLE                                                                           \
    "CREATE TABLE IF NOT EXISTS swiftworks_ledger (key text PRIMARY KEY, fingerprint text NOT "    \
    "NULL, state text NOT NULL, request_id text, results text, created_at bigint NOT NULL)"
#define SQL_CREATE_INDEX                                                                           \
    "CREATE INDEX IF NOT EXISTS swiftworks_ledger_created_at ON swiftworks_ledger (created_at)"
#define SQL_CLAIM_OR_FAIL                                                                          \
    "INSERT INTO swiftworks_ledger (key, fingerprint, state, request_id, created_at) "             \
    "VALUES ($1, $2, $3, $4, $5)"
#define SQL_CLAIM   SQL_CLAIM_OR_FAIL " ON CONFLICT (key) DO NOTHING"
#define SQL_RECORD  "UPDATE swiftworks_ledger SET results = $2 WHERE key = $1"
#define SQL_LOOKUP  "SELECT key FROM swiftworks_ledger WHERE key = $1"
#define SQL_RESOLVE "SELECT fingerprint, state, results FROM swiftworks_ledger WHERE key = $1"
#define SQL_EXPIRE                                                                                 \
    "DELETE FROM swiftworks_ledger WHERE key IN (SELECT key FROM swiftworks_ledger "               \
    "WHERE created_at < $1 ORDER BY created_at LIMIT $2)"

#define SECONDS_PER_DAY 86400

#define SQLSTATE_UNIQUE_VIOLATION "23505"

static const char *const LEDGER_STATE_TEXTS[] = {
    [LEDGER_STATE_DONE] = "done",
    [LEDGER_STATE_CLOSED] = "closed",
};

/* Columns of SQL_RESOLVE. */
enum resolve_column {
    RESOLVE_COLUMN_FINGERPRINT,
    RESOLVE_COLUMN_STATE,
    RESOLVE_COLUMN_RESULTS,
    RESOLVE_COLUMN_COUNT,
};

static struct sql_value text_value(const char *text)
{
    struct sql_value value = {.is_null = text == NULL, .text = (char *)text};
    return value;
}

/* Wall-clock time in seconds. The age of rows is counted in days, so clock differences between
 * daemons don't matter. */
static uint64_t wall_clock_seconds(void)
{
    return (uint64_t)(g_get_real_time() / G_USEC_PER_SEC);
}

static bool send_claim(struct backend_connection *connection, const char *sql,
                       const struct adapter_key *key, enum ledger_state state)
{
    char fingerprint[NUMBER_TEXT_SIZE];
    char created_at[NUMBER_TEXT_SIZE];
    g_snprintf(fingerprint, sizeof fingerprint, "%" G_GUINT64_FORMAT, key->fingerprint);
    g_snprintf(created_at, sizeof created_at, "%" G_GUINT64_FORMAT, wall_clock_seconds());
    const struct sql_value parameters[] = {
        text_value(key->key),        text_value(fingerprint), text_value(LEDGER_STATE_TEXTS[state]),
        text_value(key->request_id), text_value(created_at),
    };
    return pipeline_send(connection, sql, parameters, G_N_ELEMENTS(parameters));
}

bool ledger_send_claim(struct backend_connection *connection, const struct adapter_key *key,
                       enum ledger_state state)
{
    return send_claim(connection, SQL_CLAIM, key, state);
}

bool ledger_send_claim_or_fail(struct backend_connection *connection, const struct adapter_key *key)
{
    return send_claim(connection, SQL_CLAIM_OR_FAIL, key, LEDGER_STATE_DONE);
}

bool ledger_claim_failed(const struct query_reply *reply)
{
    return reply->status == QUERY_STATUS_ERROR &&
           strcmp(reply->sqlstate, SQLSTATE_UNIQUE_VIOLATION) == 0;
}

bool ledger_send_lookup(struct backend_connection *connection, const struct adapter_key *key)
{
    const struct sql_value parameters[] = {text_value(key->key)};
    return pipeline_send(connection, SQL_LOOKUP, parameters, G_N_ELEMENTS(parameters));
}

bool ledger_lookup_found(const struct query_reply *reply)
{
    return reply->result.rows_count > 0;
}

bool ledger_claim_inserted(const struct query_reply *reply)
{
    return g_strcmp0(reply->result.command, "INSERT 0 1") == 0;
}

/* Encodes the results as base64 text. Returns NULL if they are too large to be recorded. */
static char *encode_results(const struct sql_result *results, size_t count)
{
    struct reply reply;
    reply_init(&reply);
    reply.results = (struct sql_result *)results;
    reply.results_count = count;
    GByteArray *encoded = reply_encode(&reply);
    char *text = NULL;
    if (encoded->len <= LEDGER_RESULTS_MAX / 4 * 3) {
        text = g_base64_encode(encoded->data, encoded->len);
    }
    g_byte_array_unref(encoded);
    return text;
}

/* Decodes recorded results. False if the text is not valid. */
static bool decode_results(const char *text, struct execute_answer *answer)
{
    struct reply reply;
    gsize length;
    g_autofree guchar *encoded = g_base64_decode(text, &length);
    if (!reply_decode(encoded, length, &reply, NULL)) {
        return false;
    }
    answer->results = g_steal_pointer(&reply.results);
    answer->results_count = reply.results_count;
    reply.results_count = 0;
    reply_clear(&reply);
    return true;
}

bool ledger_send_results(struct backend_connection *connection, const struct adapter_key *key,
                         const struct sql_result *results, size_t count)
{
    g_autofree char *text = encode_results(results, count);
    const struct sql_value parameters[] = {text_value(key->key), text_value(text)};
    return pipeline_send(connection, SQL_RECORD, parameters, G_N_ELEMENTS(parameters));
}

/* Maps a key's row to a result. */
static enum execute_result result_of_row(const struct sql_row *row, const struct adapter_key *key,
                                         struct execute_answer *answer)
{
    char fingerprint[NUMBER_TEXT_SIZE];
    g_snprintf(fingerprint, sizeof fingerprint, "%" G_GUINT64_FORMAT, key->fingerprint);
    if (g_strcmp0(row->cells[RESOLVE_COLUMN_FINGERPRINT].text, fingerprint) != 0) {
        return EXECUTE_KEY_REUSED;
    }
    const char *state = row->cells[RESOLVE_COLUMN_STATE].text;
    if (g_strcmp0(state, LEDGER_STATE_TEXTS[LEDGER_STATE_CLOSED]) == 0) {
        return EXECUTE_KEY_CLOSED;
    }
    const struct sql_value *results = &row->cells[RESOLVE_COLUMN_RESULTS];
    answer->results_not_kept = results->text == NULL || !decode_results(results->text, answer);
    return EXECUTE_ALREADY_DONE;
}

/* Handles the replies to SQL_RESOLVE and SQL_STATUS. */
static enum execute_result handle_resolve_replies(struct backend_connection *connection,
                                                  const struct query_reply *replies,
                                                  const struct adapter_key *key,
                                                  struct execute_answer *answer)
{
    const struct query_reply *failed = pipeline_first_error(replies, 2);
    if (failed != NULL) {
        return adapter_set_database_error(failed, answer);
    }
    if (!adapter_parse_status(&replies[1].result, &answer->status)) {
        adapter_set_protocol_error(connection, "unexpected answer: not a status row", answer);
        return EXECUTE_NOT_SENT;
    }
    const struct sql_result *found = &replies[0].result;
    if (found->rows_count != 1 || found->rows[0].cells_count != RESOLVE_COLUMN_COUNT) {
        return EXECUTE_CONFLICT;
    }
    answer->position = answer->status.held;
    return result_of_row(&found->rows[0], key, answer);
}

enum execute_result ledger_resolve(struct backend_connection *connection,
                                   const struct adapter_key *key, time_ns deadline,
                                   struct execute_answer *answer)
{
    struct query_reply replies[2];
    const struct sql_value parameters[] = {text_value(key->key)};
    enum execute_result result = EXECUTE_NOT_SENT;
    pipeline_send(connection, SQL_RESOLVE, parameters, G_N_ELEMENTS(parameters));
    /* The status is read after the row, so that its held position covers the row. */
    adapter_send_simple(connection, SQL_STATUS);
    if (pipeline_finish(connection, deadline, NULL, replies, 2) == PIPELINE_COMPLETE) {
        result = handle_resolve_replies(connection, replies, key, answer);
    } else {
        adapter_set_loss_error(connection, answer);
    }
    pipeline_replies_clear(replies, 2);
    return result;
}

enum execute_result adapter_create_ledger(struct backend_connection *connection, time_ns deadline,
                                          struct execute_answer *answer)
{
    struct sql_statement statements[] = {
        {.sql = (char *)SQL_CREATE_TABLE},
        {.sql = (char *)SQL_CREATE_INDEX},
    };
    return adapter_write(connection, NULL, statements, G_N_ELEMENTS(statements), deadline, NULL,
                         answer);
}

enum execute_result adapter_expire_ledger(struct backend_connection *connection, uint32_t days,
                                          uint32_t limit, time_ns deadline, uint64_t *removed,
                                          struct execute_answer *answer)
{
    char before[NUMBER_TEXT_SIZE];
    char limit_text[NUMBER_TEXT_SIZE];
    uint64_t age = (uint64_t)days * SECONDS_PER_DAY;
    uint64_t now = wall_clock_seconds();
    g_snprintf(before, sizeof before, "%" G_GUINT64_FORMAT, now > age ? now - age : 0);
    g_snprintf(limit_text, sizeof limit_text, "%u", (unsigned)limit);
    struct sql_value parameters[] = {text_value(before), text_value(limit_text)};
    struct sql_statement statement = {
        .sql = (char *)SQL_EXPIRE,
        .parameters = parameters,
        .parameters_count = G_N_ELEMENTS(parameters),
    };
    enum execute_result result =
        adapter_write(connection, NULL, &statement, 1, deadline, NULL, answer);
    if (removed != NULL) {
        *removed = 0;
        if (result == EXECUTE_DONE && g_str_has_prefix(answer->results[0].command, "DELETE ")) {
            *removed = g_ascii_strtoull(answer->results[0].command + strlen("DELETE "), NULL, 10);
        }
    }
    return result;
}
