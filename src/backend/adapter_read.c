/* Reads under a guard, in one round trip. */
#include "backend/adapter.h"
#include "backend/adapter_internal.h"

/* Number of queries before and after the caller's statements. */
#define QUERIES_BEFORE 2
#define QUERIES_AFTER  2

/* Size of the status rows, which don't count against the caller's limits. */
#define STATUS_ROWS  2
#define STATUS_BYTES 1024

enum {
    QUERY_BEGIN,
    QUERY_GUARD,
};

/* Queues all queries of a read. If that fails, pipeline_finish reports it. */
static void send_read(struct backend_connection *connection, struct log_position guard,
                      uint32_t guard_wait_ms, const struct sql_statement *statements, size_t count)
{
    bool sent = adapter_send_simple(connection, "BEGIN READ ONLY");
    sent = sent && adapter_send_wait_applied(connection, guard, guard_wait_ms);
    sent = sent && adapter_send_statements(connection, statements, count);
    /* The status is read last: its position is an upper bound of what the statements saw. */
    sent = sent && adapter_send_simple(connection, SQL_STATUS);
    if (sent) {
        adapter_send_simple(connection, "COMMIT");
    }
}

/* True if the reply to the guard query shows that the guard is not applied, whatever the later
 * replies are. */
static bool guard_not_applied(const struct query_reply *replies, struct log_position guard,
                              struct execute_answer *answer)
{
    return adapter_parse_status(&replies[QUERY_GUARD].result, &answer->status) &&
           !log_position_covers(answer->status.applied, guard);
}

static enum execute_result set_read_error(const struct query_reply *replies, size_t total,
                                          struct execute_answer *answer)
{
    enum execute_result result =
        adapter_set_database_error(pipeline_first_error(replies, total), answer);
    /* In a read-only transaction the error is due to the statement, not to the database's role. */
    return result == EXECUTE_NOT_PRIMARY ? EXECUTE_FAILED : result;
}

/* Handles a complete answer. */
static enum execute_result handle_read_replies(struct backend_connection *connection,
                                               struct query_reply *replies, size_t count,
                                               struct execute_answer *answer)
{
    size_t total = QUERIES_BEFORE + count + QUERIES_AFTER;
    struct database_status after;
    if (pipeline_first_error(replies, total) != NULL) {
        return set_read_error(replies, total, answer);
    }
    if (!adapter_parse_status(&replies[QUERY_GUARD].result, &answer->status) ||
        !adapter_parse_status(&replies[QUERIES_BEFORE + count].result, &after)) {
        adapter_set_protocol_error(connection, "unexpected answer: not a status row", answer);
        return EXECUTE_LOST;
    }
    answer->position = after.applied;
    adapter_move_results(&replies[QUERIES_BEFORE], count, answer);
    return EXECUTE_DONE;
}

struct result_limits adapter_extend_limits(const struct result_limits *limits)
{
    struct result_limits extended = {0};
    if (limits != NULL && limits->rows_max > 0) {
        extended.rows_max = limits->rows_max + STATUS_ROWS;
    }
    if (limits != NULL && limits->bytes_max > 0) {
        extended.bytes_max = limits->bytes_max + STATUS_BYTES;
    }
    return extended;
}

enum execute_result adapter_read(struct backend_connection *connection, struct log_position guard,
                                 uint32_t guard_wait_ms, const struct sql_statement *statements,
                                 size_t count, time_ns deadline, const struct result_limits *limits,
                                 struct execute_answer *answer)
{
    execute_answer_clear(answer);
    size_t total = QUERIES_BEFORE + count + QUERIES_AFTER;
    g_autofree struct query_reply *replies = g_new0(struct query_reply, total);
    struct result_limits extended = adapter_extend_limits(limits);
    enum execute_result result = EXECUTE_LOST;
    send_read(connection, guard, guard_wait_ms, statements, count);
    enum pipeline_outcome outcome =
        pipeline_finish(connection, deadline, &extended, replies, total);
    if (outcome == PIPELINE_LOST) {
        adapter_set_loss_error(connection, answer);
    } else if (guard_not_applied(replies, guard, answer)) {
        result = EXECUTE_GUARD_SHORT;
    } else if (outcome == PIPELINE_TOO_LARGE) {
        result = EXECUTE_ANSWER_TOO_LARGE;
    } else {
        result = handle_read_replies(connection, replies, count, answer);
    }
    pipeline_replies_clear(replies, total);
    adapter_abort_transaction(connection, deadline);
    return result;
}
