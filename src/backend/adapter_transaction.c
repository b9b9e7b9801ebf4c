/* Transactions that span several requests. Each has its connection to itself until it ends. */
#include "backend/adapter.h"
#include "backend/adapter_internal.h"
#include "backend/ledger.h"

#define SQL_SET_IDLE_FORMAT "SET LOCAL idle_in_transaction_session_timeout = %u"

/* Maximum of queries that start a transaction: BEGIN, SET and one more. */
#define START_QUERIES_MAX 3

/* Queues BEGIN and, if set, the idle time-out. Returns the number of queries. */
static size_t send_begin(struct backend_connection *connection, const char *begin,
                         const struct adapter_transaction_options *options)
{
    adapter_send_simple(connection, begin);
    if (options->idle_ms == 0) {
        return 1;
    }
    g_autofree char *set = g_strdup_printf(SQL_SET_IDLE_FORMAT, (unsigned)options->idle_ms);
    adapter_send_simple(connection, set);
    return 2;
}

/* Starts a read. The guard is checked once, before the first statement. */
static enum execute_result begin_read(struct backend_connection *connection,
                                      const struct adapter_transaction_options *options,
                                      time_ns deadline, struct execute_answer *answer)
{
    struct query_reply replies[START_QUERIES_MAX];
    size_t guard = send_begin(connection, "BEGIN READ ONLY", options);
    size_t count = guard + 1;
    adapter_send_wait_applied(connection, options->guard, options->guard_wait_ms);
    enum execute_result result =
        adapter_finish_uncommitted(connection, deadline, NULL, replies, count, answer);
    if (result == EXECUTE_DONE && !adapter_parse_status(&replies[guard].result, &answer->status)) {
        adapter_set_protocol_error(connection, "unexpected answer: not a status row", answer);
        result = EXECUTE_NOT_SENT;
    } else if (result == EXECUTE_DONE &&
               !log_position_covers(answer->status.applied, options->guard)) {
        result = EXECUTE_GUARD_SHORT;
    }
    answer->position = answer->status.applied;
    pipeline_replies_clear(replies, count);
    return result;
}

/* Starts a write. The key is claimed only at commit, so that other writes with the same key don't
 * wait on its row in the meantime. */
static enum execute_result begin_write(struct backend_connection *connection,
                                       const struct adapter_transaction_options *options,
                                       time_ns deadline, struct execute_answer *answer)
{
    struct query_reply replies[START_QUERIES_MAX];
    bool keyed = adapter_has_key(&options->key);
    size_t lookup = send_begin(connection, "BEGIN", options);
    size_t count = keyed ? lookup + 1 : lookup;
    if (keyed) {
        ledger_send_lookup(connection, &options->key);
    }
    enum execute_result result =
        adapter_finish_uncommitted(connection, deadline, NULL, replies, count, answer);
    bool taken = result == EXECUTE_DONE && keyed && ledger_lookup_found(&replies[lookup]);
    pipeline_replies_clear(replies, count);
    if (!taken) {
        return result;
    }
    return adapter_resolve_claimed(connection, &options->key, deadline, answer);
}

enum execute_result adapter_begin(struct backend_connection *connection,
                                  const struct adapter_transaction_options *options,
                                  time_ns deadline, struct execute_answer *answer)
{
    execute_answer_clear(answer);
    enum execute_result result = options->read_only
                                     ? begin_read(connection, options, deadline, answer)
                                     : begin_write(connection, options, deadline, answer);
    if (result != EXECUTE_DONE) {
        adapter_abort_transaction(connection, deadline);
    }
    return result;
}

enum execute_result adapter_statement(struct backend_connection *connection,
                                      const struct sql_statement *statements, size_t count,
                                      time_ns deadline, const struct result_limits *limits,
                                      struct execute_answer *answer)
{
    size_t total = count + 1;
    g_autofree struct query_reply *replies = g_new0(struct query_reply, total);
    struct result_limits extended = adapter_extend_limits(limits);
    adapter_send_statements(connection, statements, count);
    /* The status is read last: its position is an upper bound of what the statements saw. */
    adapter_send_simple(connection, SQL_STATUS);
    enum execute_result result =
        adapter_finish_uncommitted(connection, deadline, &extended, replies, total, answer);
    if (result == EXECUTE_DONE && !adapter_parse_status(&replies[count].result, &answer->status)) {
        adapter_set_protocol_error(connection, "unexpected answer: not a status row", answer);
        result = EXECUTE_NOT_SENT;
    } else if (result == EXECUTE_DONE) {
        answer->position = answer->status.applied;
        adapter_move_results(replies, count, answer);
    }
    pipeline_replies_clear(replies, total);
    return result;
}

/* Commits a read. The status after its last statement gives the upper bound of what it saw. */
static enum execute_result commit_read(struct backend_connection *connection, time_ns deadline,
                                       struct execute_answer *answer)
{
    struct query_reply replies[2];
    enum execute_result result = EXECUTE_LOST;
    adapter_send_simple(connection, SQL_STATUS);
    adapter_send_simple(connection, "COMMIT");
    if (pipeline_finish(connection, deadline, NULL, replies, 2) != PIPELINE_COMPLETE) {
        adapter_set_loss_error(connection, answer);
    } else if (pipeline_first_error(replies, 2) != NULL) {
        result = adapter_set_database_error(pipeline_first_error(replies, 2), answer);
    } else if (adapter_parse_status(&replies[0].result, &answer->status)) {
        answer->position = answer->status.applied;
        result = EXECUTE_DONE;
    } else {
        adapter_set_protocol_error(connection, "unexpected answer: not a status row", answer);
    }
    pipeline_replies_clear(replies, 2);
    return result;
}

enum execute_result adapter_commit(struct backend_connection *connection,
                                   const struct adapter_transaction_options *options,
                                   time_ns deadline, struct execute_answer *answer)
{
    execute_answer_clear(answer);
    enum execute_result result =
        options->read_only ? commit_read(connection, deadline, answer)
                           : adapter_commit_claiming(connection, &options->key, deadline, answer);
    adapter_abort_transaction(connection, deadline);
    return result;
}

enum execute_result adapter_rollback(struct backend_connection *connection, time_ns deadline)
{
    adapter_abort_transaction(connection, deadline);
    return connection->state == CONNECTION_STATE_BROKEN ? EXECUTE_NOT_SENT : EXECUTE_DONE;
}
