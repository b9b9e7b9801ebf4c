/* Transactions of several requests, on one connection that is theirs alone until the end. */
#include "backend/adapter.h"
#include "backend/adapter_internal.h"
#include "backend/ledger.h"

/* Starts a read: the guard is checked once, before anything is read. */
static enum execute_result begin_read(struct backend_connection *connection,
                                      const struct adapter_transaction_options *options,
                                      time_ns deadline, struct execute_answer *answer)
{
    struct query_reply replies[2];
    adapter_send_simple(connection, "BEGIN READ ONLY");
    adapter_send_wait_applied(connection, options->guard, options->guard_wait_ms);
    enum execute_result result =
        adapter_finish_uncommitted(connection, deadline, NULL, replies, 2, answer);
    if (result == EXECUTE_DONE && !adapter_parse_status(&replies[1].result, &answer->status)) {
        adapter_take_nonsense(connection, "not a status row", answer);
        result = EXECUTE_NOT_SENT;
    } else if (result == EXECUTE_DONE &&
               !log_position_covers(answer->status.applied, options->guard)) {
        result = EXECUTE_GUARD_SHORT;
    }
    answer->position = answer->status.applied;
    pipeline_replies_clear(replies, 2);
    return result;
}

static enum execute_result begin_write(struct backend_connection *connection,
                                       const struct adapter_transaction_options *options,
                                       time_ns deadline, struct execute_answer *answer)
{
    adapter_send_simple(connection, "BEGIN");
    if (adapter_has_key(&options->key)) {
        ledger_send_claim(connection, &options->key, LEDGER_STATE_DONE);
    }
    return adapter_finish_start(connection, &options->key, 0, deadline, NULL, answer);
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
        adapter_abandon(connection, deadline);
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
    /* What the statements may have seen is known only after them. */
    adapter_send_simple(connection, SQL_STATUS);
    enum execute_result result =
        adapter_finish_uncommitted(connection, deadline, &extended, replies, total, answer);
    if (result == EXECUTE_DONE && !adapter_parse_status(&replies[count].result, &answer->status)) {
        adapter_take_nonsense(connection, "not a status row", answer);
        result = EXECUTE_NOT_SENT;
    } else if (result == EXECUTE_DONE) {
        answer->position = answer->status.applied;
        adapter_take_results(replies, count, answer);
    }
    pipeline_replies_clear(replies, total);
    return result;
}

/* Ends a read. What it may have seen is told by the status after its last statement. */
static enum execute_result commit_read(struct backend_connection *connection, time_ns deadline,
                                       struct execute_answer *answer)
{
    struct query_reply replies[2];
    enum execute_result result = EXECUTE_LOST;
    adapter_send_simple(connection, SQL_STATUS);
    adapter_send_simple(connection, "COMMIT");
    if (pipeline_finish(connection, deadline, NULL, replies, 2) != PIPELINE_WHOLE) {
        adapter_take_loss(connection, answer);
    } else if (pipeline_first_error(replies, 2) != NULL) {
        result = adapter_take_error(pipeline_first_error(replies, 2), answer);
    } else if (adapter_parse_status(&replies[0].result, &answer->status)) {
        answer->position = answer->status.applied;
        result = EXECUTE_DONE;
    } else {
        adapter_take_nonsense(connection, "not a status row", answer);
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
        options->read_only
            ? commit_read(connection, deadline, answer)
            : adapter_send_commit(connection, &options->key, NULL, 0, deadline, answer);
    adapter_abandon(connection, deadline);
    return result;
}

enum execute_result adapter_rollback(struct backend_connection *connection, time_ns deadline)
{
    adapter_abandon(connection, deadline);
    return connection->state == CONNECTION_STATE_BROKEN ? EXECUTE_NOT_SENT : EXECUTE_DONE;
}
