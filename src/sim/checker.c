/* The history checker. Its reference is the final log: that of the primary that leads once all
 * faults have ended. A write in it was done, once per entry; a write missing from it was not done.
 */
#include "sim/checker.h"

#include <stdarg.h>
#include <string.h>

#include "sim/measure.h"

static const char *const RULE_NAMES[CHECKER_RULE_COUNT] = {
    [CHECKER_RULE_ACKNOWLEDGED_LOST] = "acknowledged_lost",
    [CHECKER_RULE_READ_OWN_WRITES] = "read_own_writes",
    [CHECKER_RULE_MONOTONIC_READS] = "monotonic_reads",
    [CHECKER_RULE_DURABLE_LOST] = "durable_lost",
    [CHECKER_RULE_AT_MOST_ONCE] = "at_most_once",
    [CHECKER_RULE_NOT_RUN] = "not_run",
    [CHECKER_RULE_KEY_REUSED] = "key_reused",
    [CHECKER_RULE_ANSWERS_MIXED] = "answers_mixed",
    [CHECKER_RULE_LEAVING] = "leaving",
    [CHECKER_RULE_FAILED_REQUEST] = "failed_request",
    [CHECKER_RULE_FALSE_FAILOVER] = "false_failover",
    [CHECKER_RULE_WRITE_GAP] = "write_gap",
    [CHECKER_RULE_FAILOVERS] = "failovers",
    [CHECKER_RULE_RECOVERY] = "recovery",
};

/* The outcomes reported to clients for one write, over all its attempts. */
struct write_summary {
    struct sim_operation *operation;
    uint32_t told_done;
    uint32_t reported_not_run; /* by an attempt whose outcome holds for that attempt only */
    uint32_t reported_closed;  /* the key is closed: the write has not run and never will */
    uint32_t reported_reused;  /* the key belongs to another request */
    uint32_t unknown;
};

const char *checker_rule_name(enum checker_rule rule)
{
    return RULE_NAMES[rule];
}

static void violate(struct checker_result *result, enum checker_rule rule, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static void violate(struct checker_result *result, enum checker_rule rule, const char *format, ...)
{
    va_list arguments;

    result->violations[rule] += 1;
    result->total += 1;
    if (result->first != NULL) {
        return;
    }
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    result->first = g_strdup_printf("%s: %s", RULE_NAMES[rule], text);
}

static void mark_final_log(struct sim_entry *head)
{
    for (struct sim_entry *entry = head; entry != NULL; entry = entry->parent) {
        entry->on_final_log = true;
    }
}

static struct sim_database *check_recovery(struct sim_run *run, struct checker_result *result)
{
    struct sim_database *primary = sim_run_primary(run);

    if (primary == NULL) {
        violate(result, CHECKER_RULE_RECOVERY, "no primary after the faults were healed");
        return NULL;
    }
    for (uint32_t i = 0; i < run->database_count; i++) {
        if (run->databases[i].head != primary->head) {
            violate(result, CHECKER_RULE_RECOVERY, "database %u does not hold the primary's log",
                    i);
        }
    }
    for (uint32_t i = 0; i < run->daemon_count; i++) {
        const struct group_view *view = group_control_view(run->daemons[i]->control);

        if (view->primary != (int32_t)primary->index || view->writes_paused) {
            violate(result, CHECKER_RULE_RECOVERY, "daemon %u does not know the primary", i);
        }
    }
    return primary;
}

static const struct sim_entry *final_entry_of(const struct sim_operation *operation)
{
    const struct sim_entry *entry = operation->entries;

    while (entry != NULL && !entry->on_final_log) {
        entry = entry->next_of_operation;
    }
    return entry;
}

static void add_attempt(struct write_summary *summary, const struct sim_attempt *attempt)
{
    if (attempt->state == SIM_ATTEMPT_NOT_SENT) {
        summary->reported_not_run += 1;
        return;
    }
    if (attempt->state != SIM_ATTEMPT_ANSWERED || attempt->outcome == OUTCOME_UNKNOWN) {
        summary->unknown += 1;
        return;
    }
    if (attempt->outcome == OUTCOME_DONE) {
        summary->told_done += 1;
    } else if (attempt->error == ERROR_KIND_KEY_CLOSED) {
        summary->reported_closed += 1;
    } else if (attempt->error == ERROR_KIND_KEY_REUSED) {
        summary->reported_reused += 1;
    } else {
        summary->reported_not_run += 1;
    }
}

static void check_write(const struct write_summary *summary, struct checker_result *result)
{
    uint32_t run_count = 0;
    uint64_t id = summary->operation->id;
    bool reported_not_run = summary->reported_closed > 0 || summary->reported_reused > 0 ||
                            (summary->unknown == 0 && summary->told_done == 0);

    for (const struct sim_entry *entry = summary->operation->entries; entry != NULL;
         entry = entry->next_of_operation) {
        run_count += entry->on_final_log ? 1 : 0;
    }
    if (summary->told_done > 0 && run_count == 0) {
        violate(result, CHECKER_RULE_ACKNOWLEDGED_LOST, "write %" G_GUINT64_FORMAT, id);
    }
    if (run_count > 1) {
        violate(result, CHECKER_RULE_AT_MOST_ONCE,
                "write %" G_GUINT64_FORMAT " is in the final log %u times", id, run_count);
    }
    if (reported_not_run && run_count > 0) {
        violate(result,
                summary->reported_reused > 0 ? CHECKER_RULE_KEY_REUSED : CHECKER_RULE_NOT_RUN,
                "write %" G_GUINT64_FORMAT " was reported as not run", id);
    }
    if (summary->told_done > 0) {
        result->writes_done += 1;
    } else if (reported_not_run) {
        result->writes_not_run += 1;
    } else {
        result->writes_unknown += 1;
    }
}

/* Checks that no two requests have run under one key. */
static void check_keys(const GPtrArray *summaries, struct checker_result *result)
{
    g_autoptr(GHashTable) owners = g_hash_table_new(g_int64_hash, g_int64_equal);

    for (guint i = 0; i < summaries->len; i++) {
        const struct write_summary *summary = g_ptr_array_index(summaries, i);
        struct sim_operation *operation = summary->operation;

        if (operation->key == 0 || final_entry_of(operation) == NULL) {
            continue;
        }
        if (g_hash_table_lookup(owners, &operation->key) != NULL) {
            violate(result, CHECKER_RULE_KEY_REUSED,
                    "writes ran twice under key %" G_GUINT64_FORMAT, operation->key);
        }
        g_hash_table_insert(owners, &operation->key, operation);
    }
}

static void check_writes(struct sim_run *run, struct checker_result *result)
{
    g_autoptr(GHashTable) by_operation = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g_autoptr(GPtrArray) ordered = g_ptr_array_new();

    for (guint i = 0; i < run->history.attempts->len; i++) {
        const struct sim_attempt *attempt = g_ptr_array_index(run->history.attempts, i);
        struct write_summary *summary;

        if (attempt->work == SIM_WORK_READ || attempt->work == SIM_WORK_BEGIN) {
            continue;
        }
        summary = g_hash_table_lookup(by_operation, attempt->operation);
        if (summary == NULL) {
            summary = g_new0(struct write_summary, 1);
            summary->operation = attempt->operation;
            g_hash_table_insert(by_operation, attempt->operation, summary);
            g_ptr_array_add(ordered, summary);
        }
        add_attempt(summary, attempt);
    }
    for (guint i = 0; i < ordered->len; i++) {
        check_write(g_ptr_array_index(ordered, i), result);
    }
    check_keys(ordered, result);
}

/* What the session's later reads must see. */
struct session_state {
    const struct sim_entry *written; /* last acknowledged write */
    const struct sim_entry
        *durable; /* last entry of `seen`'s log that a majority held at the time of the read */
    const struct sim_entry *seen; /* log that the last read saw */
};

/* Orders attempts by the time at which their answers arrived. */
static gint compare_ends(gconstpointer first, gconstpointer second)
{
    const struct sim_attempt *a = *(struct sim_attempt *const *)first;
    const struct sim_attempt *b = *(struct sim_attempt *const *)second;

    if (a->ended_at != b->ended_at) {
        return a->ended_at < b->ended_at ? -1 : 1;
    }
    return a->request_id < b->request_id ? -1 : 1;
}

static void note_write(struct session_state *session, const struct sim_attempt *attempt)
{
    const struct sim_entry *entry = final_entry_of(attempt->operation);

    if (entry == NULL) {
        return;
    }
    if (session->written == NULL || entry->position.offset > session->written->position.offset) {
        session->written = entry;
    }
}

static void check_read(struct session_state *session, const struct sim_attempt *attempt,
                       struct checker_result *result)
{
    result->reads_done += 1;
    result->reads_by_replica += attempt->by_replica ? 1 : 0;
    if (session->written != NULL && !sim_entry_contains(attempt->seen, session->written)) {
        violate(result, CHECKER_RULE_READ_OWN_WRITES,
                "client %u, read %" G_GUINT64_FORMAT " misses write %" G_GUINT64_FORMAT,
                attempt->client, attempt->request_id, session->written->operation->id);
    }
    if (session->durable != NULL && !sim_entry_contains(attempt->seen, session->durable)) {
        violate(result, CHECKER_RULE_MONOTONIC_READS, "client %u, read %" G_GUINT64_FORMAT,
                attempt->client, attempt->request_id);
    }
    if (attempt->durable != NULL && !attempt->durable->on_final_log) {
        violate(result, CHECKER_RULE_DURABLE_LOST, "read %" G_GUINT64_FORMAT " saw it",
                attempt->request_id);
    }
    if (session->seen != NULL && !sim_entry_contains(attempt->seen, session->seen)) {
        result->reads_reverted += 1;
    }
    if (session->durable == NULL ||
        (attempt->durable != NULL &&
         attempt->durable->position.offset > session->durable->position.offset)) {
        session->durable = attempt->durable;
    }
    session->seen = attempt->seen;
}

/* A client has one request at a time, so the order of its answers is the order of its session. */
static void check_sessions(struct sim_run *run, struct checker_result *result)
{
    struct session_state *sessions = g_new0(struct session_state, run->client_count);
    g_autoptr(GPtrArray) ordered = g_ptr_array_copy(run->history.attempts, NULL, NULL);

    g_ptr_array_sort(ordered, compare_ends);
    for (guint i = 0; i < ordered->len; i++) {
        const struct sim_attempt *attempt = g_ptr_array_index(ordered, i);
        struct session_state *session = &sessions[attempt->client];

        if (attempt->state != SIM_ATTEMPT_ANSWERED || attempt->outcome != OUTCOME_DONE) {
            continue;
        }
        if (attempt->answered_id != attempt->request_id) {
            violate(result, CHECKER_RULE_ANSWERS_MIXED,
                    "request %" G_GUINT64_FORMAT " got the answer of %" G_GUINT64_FORMAT,
                    attempt->request_id, attempt->answered_id);
        }
        if (attempt->work == SIM_WORK_READ) {
            check_read(session, attempt, result);
        } else if (attempt->work != SIM_WORK_BEGIN) {
            note_write(session, attempt);
        }
    }
    g_free(sessions);
}

static void check_leaving(struct sim_run *run, struct checker_result *result)
{
    for (uint32_t i = 0; i < run->database_count; i++) {
        if (run->databases[i].late_work > 0) {
            violate(result, CHECKER_RULE_LEAVING,
                    "database %u got %" G_GUINT64_FORMAT " statements after its drain", i,
                    run->databases[i].late_work);
        }
    }
}

static bool attempt_failed(const struct sim_attempt *attempt)
{
    if (attempt->state != SIM_ATTEMPT_ANSWERED) {
        return true;
    }
    return attempt->outcome != OUTCOME_DONE && attempt->error != ERROR_KIND_KEY_REUSED;
}

static void check_expectations(struct sim_run *run, struct checker_result *result)
{
    const struct sim_expectations *expect = &run->scenario->expect;

    for (guint i = 0; expect->no_failed_requests && i < run->history.attempts->len; i++) {
        const struct sim_attempt *attempt = g_ptr_array_index(run->history.attempts, i);

        if (attempt_failed(attempt)) {
            violate(result, CHECKER_RULE_FAILED_REQUEST,
                    "request %" G_GUINT64_FORMAT " of client %u (state %d, error %d)",
                    attempt->request_id, attempt->client, (int)attempt->state, (int)attempt->error);
        }
    }
    for (guint i = 0; expect->no_failover && i < run->history.records->len; i++) {
        const struct sim_record *record =
            &g_array_index(run->history.records, struct sim_record, i);

        if (record->at > run->load_starts_at && record->record.kind == GROUP_RECORD_PROMOTED) {
            violate(result, CHECKER_RULE_FALSE_FAILOVER, "term %" G_GUINT64_FORMAT,
                    record->record.term);
        }
    }
}

static void check_write_gap(struct sim_run *run, struct checker_result *result)
{
    time_ns bound = run->scenario->expect.write_gap_max;
    time_ns gap = bound == 0 ? 0 : measure_longest_gap(run);

    if (gap > bound) {
        violate(result, CHECKER_RULE_WRITE_GAP,
                "no write was acknowledged for %" G_GUINT64_FORMAT " ms", gap / SIM_MILLISECOND);
    }
}

static void check_failovers(struct sim_run *run, struct checker_result *result)
{
    uint32_t bound = run->scenario->expect.failovers_max;
    uint32_t count = 0;

    for (guint i = 0; i < run->history.records->len; i++) {
        const struct sim_record *record =
            &g_array_index(run->history.records, struct sim_record, i);

        count += record->at > run->load_starts_at && record->at < run->clients_stop_at &&
                 record->record.kind == GROUP_RECORD_PROMOTED;
    }
    if (bound != 0 && count > bound) {
        violate(result, CHECKER_RULE_FAILOVERS, "%u primaries were promoted", count);
    }
}

void checker_evaluate(struct sim_run *run, struct checker_result *result)
{
    struct sim_database *primary;

    memset(result, 0, sizeof(*result));
    primary = check_recovery(run, result);
    if (primary != NULL) {
        mark_final_log(primary->head);
        check_writes(run, result);
        check_sessions(run, result);
    }
    check_leaving(run, result);
    check_expectations(run, result);
    check_write_gap(run, result);
    check_failovers(run, result);
}

void checker_result_clear(struct checker_result *result)
{
    g_free(result->first);
    result->first = NULL;
}
