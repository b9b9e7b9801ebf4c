/* Writes: one transaction in two round trips, which includes the key's ledger row. */
#include <string.h>

#include "backend/adapter.h"
#include "backend/adapter_internal.h"
#include "backend/clock.h"
#include "backend/ledger.h"

/* Replies of the second round trip, as indices relative to its last COMMIT_QUERIES replies. */
#define COMMIT_QUERIES 3

enum {
    COMMIT_QUERY_COMMIT,
    COMMIT_QUERY_POSITION,
    COMMIT_QUERY_STATUS,
};

/* Errors of these classes end the session. As the reply to COMMIT they leave its outcome unknown.
 */
#define SQLSTATE_CLASS_CONNECTION   "08"
#define SQLSTATE_CLASS_OPERATOR     "57P"
#define SQLSTATE_COMPLETION_UNKNOWN "40003"

/* The session was ended because its transaction was idle too long: no query sent afterwards was
 * run. */
#define SQLSTATE_IDLE_TRANSACTION "25P03"

static bool leaves_commit_unknown(const char *sqlstate)
{
    return g_str_has_prefix(sqlstate, SQLSTATE_CLASS_CONNECTION) ||
           g_str_has_prefix(sqlstate, SQLSTATE_CLASS_OPERATOR) ||
           strcmp(sqlstate, SQLSTATE_COMPLETION_UNKNOWN) == 0;
}

bool adapter_has_key(const struct adapter_key *key)
{
    return key != NULL && key->key != NULL;
}

enum execute_result adapter_finish_uncommitted(struct backend_connection *connection,
                                               time_ns deadline, const struct result_limits *limits,
                                               struct query_reply *replies, size_t count,
                                               struct execute_answer *answer)
{
    switch (pipeline_finish(connection, deadline, limits, replies, count)) {
    case PIPELINE_LOST:
        adapter_set_loss_error(connection, answer);
        return EXECUTE_NOT_SENT;
    case PIPELINE_TOO_LARGE:
        return EXECUTE_ANSWER_TOO_LARGE;
    default:
        break;
    }
    const struct query_reply *failed = pipeline_first_error(replies, count);
    if (failed != NULL) {
        return adapter_set_database_error(failed, answer);
    }
    if (PQtransactionStatus(connection->pg) != PQTRANS_INTRANS) {
        /* A statement ended the transaction itself, and may have committed. */
        adapter_set_protocol_error(connection, "a statement ended the transaction", answer);
        return EXECUTE_LOST;
    }
    return EXECUTE_DONE;
}

/* Handles the reply to COMMIT. */
static enum execute_result handle_commit_reply(const struct query_reply *reply,
                                               struct execute_answer *answer)
{
    if (reply->status == QUERY_STATUS_ERROR) {
        enum execute_result result = adapter_set_database_error(reply, answer);
        return leaves_commit_unknown(reply->sqlstate) ? EXECUTE_LOST : result;
    }
    if (g_strcmp0(reply->result.command, "COMMIT") != 0) {
        /* PostgreSQL answers ROLLBACK to the COMMIT of a failed transaction. */
        answer->error_text = g_strdup("the transaction had failed and was rolled back");
        return EXECUTE_FAILED;
    }
    return EXECUTE_DONE;
}

/* Handles the replies of the second round trip. `ledger` is the reply to the query on the key's
 * row, or NULL. */
static enum execute_result handle_commit_replies(struct backend_connection *connection,
                                                 const struct query_reply *ledger,
                                                 const struct query_reply *replies,
                                                 struct execute_answer *answer)
{
    if (ledger != NULL && ledger->status == QUERY_STATUS_ERROR) {
        return adapter_set_database_error(ledger, answer);
    }
    enum execute_result result = handle_commit_reply(&replies[COMMIT_QUERY_COMMIT], answer);
    if (result != EXECUTE_DONE) {
        return result;
    }
    if (!adapter_parse_position(&replies[COMMIT_QUERY_POSITION].result, &answer->position) ||
        !adapter_parse_status(&replies[COMMIT_QUERY_STATUS].result, &answer->status)) {
        adapter_set_protocol_error(
            connection, "committed, but the answer has no valid commit position", answer);
        return EXECUTE_LOST;
    }
    return EXECUTE_DONE;
}

/* Queues COMMIT and the queries for the commit position and the status. */
static void send_commit(struct backend_connection *connection)
{
    adapter_send_simple(connection, "COMMIT");
    adapter_send_simple(connection, SQL_LAST_COMMIT);
    adapter_send_simple(connection, SQL_STATUS);
}

/* True if COMMIT need not be sent: the session has ended, or the deadline has passed. */
static bool is_commit_useless(struct backend_connection *connection, time_ns deadline)
{
    return backend_connection_was_terminated(connection) || backend_now() >= deadline;
}

/* Handles a second round trip without a complete answer. `first` is the reply to its first query.
 */
static enum execute_result handle_lost_commit(const struct backend_connection *connection,
                                              const struct query_reply *first,
                                              struct execute_answer *answer)
{
    bool was_idle = first->status == QUERY_STATUS_ERROR &&
                    strcmp(first->sqlstate, SQLSTATE_IDLE_TRANSACTION) == 0;
    adapter_set_loss_error(connection, answer);
    return was_idle ? EXECUTE_NOT_SENT : EXECUTE_LOST;
}

/* Commits a transaction whose key, if any, is already claimed. The results are recorded in the
 * key's row. */
static enum execute_result commit_claimed(struct backend_connection *connection,
                                          const struct adapter_key *key,
                                          const struct sql_result *results, size_t results_count,
                                          time_ns deadline, struct execute_answer *answer)
{
    struct query_reply replies[COMMIT_QUERIES + 1];
    size_t record_count = adapter_has_key(key) && results_count > 0 ? 1 : 0;
    size_t count = COMMIT_QUERIES + record_count;
    enum execute_result result = EXECUTE_LOST;
    if (is_commit_useless(connection, deadline)) {
        return EXECUTE_NOT_SENT;
    }
    if (record_count > 0) {
        ledger_send_results(connection, key, results, results_count);
    }
    send_commit(connection);
    if (pipeline_finish(connection, deadline, NULL, replies, count) == PIPELINE_COMPLETE) {
        const struct query_reply *record = record_count > 0 ? &replies[0] : NULL;
        result = handle_commit_replies(connection, record, replies + record_count, answer);
    } else {
        result = handle_lost_commit(connection, &replies[0], answer);
    }
    pipeline_replies_clear(replies, count);
    return result;
}

enum execute_result adapter_commit_claiming(struct backend_connection *connection,
                                            const struct adapter_key *key, time_ns deadline,
                                            struct execute_answer *answer)
{
    struct query_reply replies[COMMIT_QUERIES + 1];
    enum execute_result result = EXECUTE_LOST;
    bool taken = false;
    if (!adapter_has_key(key)) {
        return commit_claimed(connection, NULL, NULL, 0, deadline, answer);
    }
    if (is_commit_useless(connection, deadline)) {
        return EXECUTE_NOT_SENT;
    }
    ledger_send_claim_or_fail(connection, key);
    send_commit(connection);
    if (pipeline_finish(connection, deadline, NULL, replies, COMMIT_QUERIES + 1) ==
        PIPELINE_COMPLETE) {
        taken = ledger_claim_failed(&replies[0]);
        result = handle_commit_replies(connection, &replies[0], replies + 1, answer);
    } else {
        result = handle_lost_commit(connection, &replies[0], answer);
    }
    pipeline_replies_clear(replies, COMMIT_QUERIES + 1);
    return taken ? adapter_resolve_claimed(connection, key, deadline, answer) : result;
}

enum execute_result adapter_resolve_claimed(struct backend_connection *connection,
                                            const struct adapter_key *key, time_ns deadline,
                                            struct execute_answer *answer)
{
    adapter_abort_transaction(connection, deadline);
    execute_answer_clear(answer);
    return ledger_resolve(connection, key, deadline, answer);
}

/* Reads the replies to BEGIN, to the claim if there is a key, and to `count` statements. With DONE
 * the transaction is open. With any other result it has had no effect, but
 * adapter_abort_transaction may still have to roll it back. */
static enum execute_result finish_start(struct backend_connection *connection,
                                        const struct adapter_key *key, size_t count,
                                        time_ns deadline, const struct result_limits *limits,
                                        struct execute_answer *answer)
{
    size_t before = adapter_has_key(key) ? 2 : 1;
    size_t total = before + count;
    g_autofree struct query_reply *replies = g_new0(struct query_reply, total);
    enum execute_result result =
        adapter_finish_uncommitted(connection, deadline, limits, replies, total, answer);
    bool claimed = !adapter_has_key(key) || replies[1].status != QUERY_STATUS_DONE ||
                   ledger_claim_inserted(&replies[1]);
    if (!claimed && connection->state != CONNECTION_STATE_BROKEN) {
        /* The key is already in the ledger: roll back what the statements did. */
        result = adapter_resolve_claimed(connection, key, deadline, answer);
    } else if (result == EXECUTE_DONE) {
        adapter_move_results(&replies[before], count, answer);
    }
    pipeline_replies_clear(replies, total);
    return result;
}

/* Drops the results of a transaction that is not known to be committed. */
static void clear_results(struct execute_answer *answer)
{
    for (size_t i = 0; i < answer->results_count; i++) {
        sql_result_clear(&answer->results[i]);
    }
    g_clear_pointer(&answer->results, g_free);
    answer->results_count = 0;
}

enum execute_result adapter_write(struct backend_connection *connection,
                                  const struct adapter_key *key,
                                  const struct sql_statement *statements, size_t count,
                                  time_ns deadline, const struct result_limits *limits,
                                  struct execute_answer *answer)
{
    execute_answer_clear(answer);
    adapter_send_simple(connection, "BEGIN");
    if (adapter_has_key(key)) {
        ledger_send_claim(connection, key, LEDGER_STATE_DONE);
    }
    adapter_send_statements(connection, statements, count);
    enum execute_result result = finish_start(connection, key, count, deadline, limits, answer);
    if (result == EXECUTE_DONE) {
        result = commit_claimed(connection, key, answer->results, answer->results_count, deadline,
                                answer);
        if (result != EXECUTE_DONE) {
            clear_results(answer);
        }
    }
    adapter_abort_transaction(connection, deadline);
    return result;
}

enum execute_result adapter_close_key(struct backend_connection *connection,
                                      const struct adapter_key *key, time_ns deadline,
                                      struct execute_answer *answer)
{
    execute_answer_clear(answer);
    adapter_send_simple(connection, "BEGIN");
    ledger_send_claim(connection, key, LEDGER_STATE_CLOSED);
    enum execute_result result = finish_start(connection, key, 0, deadline, NULL, answer);
    if (result == EXECUTE_DONE) {
        result = commit_claimed(connection, key, NULL, 0, deadline, answer);
        result = result == EXECUTE_DONE ? EXECUTE_KEY_CLOSED : result;
    }
    adapter_abort_transaction(connection, deadline);
    return result;
}
