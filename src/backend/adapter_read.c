/* Reads under a guard, in one round trip. */
#include "backend/adapter.h"
#include "backend/adapter_internal.h"

/* Queries of a read: these two, the caller's statements, and the last two. */
#define QUERIES_BEFORE 2
#define QUERIES_AFTER  2

/* Room for the status rows, which are ours and don't count against the caller's limits. */
#define STATUS_ROWS  2
#define STATUS_BYTES 1024

enum {
    QUERY_BEGIN,
    QUERY_GUARD,
};

/* Queues the whole read. A failure shows when its answers are awaited. */
static void send_read(struct backend_connection *connection, struct log_position guard,
                      uint32_t guard_wait_ms, const struct sql_statement *statements, size_t count)
{
    bool sent = adapter_send_simple(connection, "BEGIN READ ONLY");
    sent = sent && adapter_send_wait_applied(connection, guard, guard_wait_ms);
    sent = sent && adapter_send_statements(connection, statements, count);
    /* What the statements may have seen is known only after them. */
    sent = sent && adapter_send_simple(connection, SQL_STATUS);
    if (sent) {
        adapter_send_simple(connection, "COMMIT");
    }
}

/* True if the guard's own answer says that it is not applied, whatever came after it. */
static bool is_guard_short(const struct query_reply *replies, struct log_position guard,
                           struct execute_answer *answer)
{
    return adapter_parse_status(&replies[QUERY_GUARD].result, &answer->status) &&
           !log_position_covers(answer->status.applied, guard);
}

static enum execute_result take_read_error(const struct query_reply *replies, size_t total,
                                           struct execute_answer *answer)
{
    enum execute_result result = adapter_take_error(pipeline_first_error(replies, total), answer);
    /* In a read-only transaction the error tells of the statement, not of the database's role. */
    return result == EXECUTE_NOT_PRIMARY ? EXECUTE_FAILED : result;
}

/* Judges a whole answer. */
static enum execute_result take_read(struct backend_connection *connection,
                                     struct query_reply *replies, size_t count,
                                     struct execute_answer *answer)
{
    size_t total = QUERIES_BEFORE + count + QUERIES_AFTER;
    struct database_status after;
    if (pipeline_first_error(replies, total) != NULL) {
        return take_read_error(replies, total, answer);
    }
    if (!adapter_parse_status(&replies[QUERY_GUARD].result, &answer->status) ||
        !adapter_parse_status(&replies[QUERIES_BEFORE + count].result, &after)) {
        adapter_take_nonsense(connection, "not a status row", answer);
        return EXECUTE_LOST;
    }
    answer->position = after.applied;
    adapter_take_results(&replies[QUERIES_BEFORE], count, answer);
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
        adapter_take_loss(connection, answer);
    } else if (is_guard_short(replies, guard, answer)) {
        result = EXECUTE_GUARD_SHORT;
    } else if (outcome == PIPELINE_TOO_LARGE) {
        result = EXECUTE_ANSWER_TOO_LARGE;
    } else {
        result = take_read(connection, replies, count, answer);
    }
    pipeline_replies_clear(replies, total);
    adapter_abandon(connection, deadline);
    return result;
}
