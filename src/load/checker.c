/* The entry point of the checker, and the guarantees on reads, checked in the order of the
 * attempts. checker_writes.c checks terms and the final state. */
#include "load/checker.h"

#include <string.h>

#include "load/checker_writes.h"

static const char *const VIOLATION_NAMES[VIOLATION_KIND_COUNT] = {
    "lost_write",       "doubled_write",   "not_run_found", "torn_transaction",
    "read_your_writes", "monotonic_reads", "foreign_row",   "replaced_primary",
};

const char *violation_kind_name(enum violation_kind kind)
{
    return VIOLATION_NAMES[kind];
}

struct final_state *final_state_new(void)
{
    struct final_state *state = g_new0(struct final_state, 1);
    state->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    state->bookings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return state;
}

void final_state_free(struct final_state *state)
{
    if (state == NULL) {
        return;
    }
    g_hash_table_unref(state->entries);
    g_hash_table_unref(state->bookings);
    g_free(state);
}

void final_state_add(GHashTable *table, const char *id)
{
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(table, id));
    g_hash_table_replace(table, g_strdup(id), GUINT_TO_POINTER(count + 1));
}

static void violation_free(struct violation *violation)
{
    g_free(violation->session);
    g_free(violation->id);
    g_free(violation);
}

void check_report_add(struct check_report *report, enum violation_kind kind,
                      const struct history_record *record, const char *id)
{
    struct violation *violation = g_new0(struct violation, 1);
    violation->kind = kind;
    violation->session = g_strdup(record->session);
    violation->operation = record->operation;
    violation->id = g_strdup(id);
    g_ptr_array_add(report->violations, violation);
    report->counts[kind]++;
}

void check_report_free(struct check_report *report)
{
    if (report == NULL) {
        return;
    }
    g_ptr_array_unref(report->violations);
    g_ptr_array_unref(report->unknown_ids);
    g_free(report);
}

/* How a session learned of a row. */
enum row_source {
    ROW_SOURCE_WRITTEN = 1,
    ROW_SOURCE_READ,
};

/* The rows that a session must see: "session range" -> (id -> enum row_source). */
struct session_rows {
    GHashTable *ranges;
};

static GHashTable *known_rows(struct session_rows *session_rows,
                              const struct history_record *record)
{
    g_autofree char *name = g_strconcat(record->session, " ", record->range, NULL);
    GHashTable *rows = g_hash_table_lookup(session_rows->ranges, name);
    if (rows == NULL) {
        rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(session_rows->ranges, g_steal_pointer(&name), rows);
    }
    return rows;
}

static void check_missing_rows(struct check_report *report, const struct history_record *record,
                               GHashTable *known, GHashTable *returned)
{
    GHashTableIter iterator;
    gpointer id;
    gpointer source;
    g_hash_table_iter_init(&iterator, known);
    while (g_hash_table_iter_next(&iterator, &id, &source)) {
        if (g_hash_table_contains(returned, id)) {
            continue;
        }
        bool written = GPOINTER_TO_INT(source) == ROW_SOURCE_WRITTEN;
        enum violation_kind kind = written ? VIOLATION_READ_YOUR_WRITES : VIOLATION_MONOTONIC_READS;
        check_report_add(report, kind, record, id);
    }
}

/* Checks one completed read, and adds its rows to the session's. */
static void check_read(struct check_report *report, const struct history_record *record,
                       GHashTable *known)
{
    g_autoptr(GHashTable) returned = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; record->rows != NULL && i < record->rows->len; i++) {
        char *id = g_ptr_array_index(record->rows, i);
        if (!g_str_has_prefix(id, record->range)) {
            check_report_add(report, VIOLATION_FOREIGN_ROW, record, id);
        }
        g_hash_table_add(returned, id);
    }
    check_missing_rows(report, record, known, returned);
    GHashTableIter iterator;
    gpointer id;
    g_hash_table_iter_init(&iterator, returned);
    while (g_hash_table_iter_next(&iterator, &id, NULL)) {
        if (!g_hash_table_contains(known, id)) {
            g_hash_table_insert(known, g_strdup(id), GINT_TO_POINTER(ROW_SOURCE_READ));
        }
    }
}

/* Checks read-your-writes and monotonic reads. `records` are in the order of sending; a session
 * sends an attempt after the answer to the previous one. */
static void check_reads(struct check_report *report, const GPtrArray *records)
{
    struct session_rows session_rows = {
        .ranges = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_hash_table_unref)};
    for (guint i = 0; i < records->len; i++) {
        const struct history_record *record = g_ptr_array_index(records, i);
        if (record->outcome != ATTEMPT_DONE) {
            continue;
        }
        GHashTable *known = known_rows(&session_rows, record);
        if (operation_is_write(record->kind)) {
            g_hash_table_insert(known, g_strdup(record->id), GINT_TO_POINTER(ROW_SOURCE_WRITTEN));
        } else {
            report->reads++;
            check_read(report, record, known);
        }
    }
    g_hash_table_unref(session_rows.ranges);
}

static int compare_sent(gconstpointer a, gconstpointer b)
{
    const struct history_record *left = *(const struct history_record *const *)a;
    const struct history_record *right = *(const struct history_record *const *)b;
    return left->sent_ns < right->sent_ns ? -1 : left->sent_ns > right->sent_ns;
}

struct check_report *check_history(const GPtrArray *records, const struct final_state *state)
{
    struct check_report *report = g_new0(struct check_report, 1);
    report->violations = g_ptr_array_new_with_free_func((GDestroyNotify)violation_free);
    report->unknown_ids = g_ptr_array_new_with_free_func(g_free);
    report->attempts = records->len;
    g_autoptr(GPtrArray) ordered = g_ptr_array_new();
    for (guint i = 0; i < records->len; i++) {
        g_ptr_array_add(ordered, g_ptr_array_index(records, i));
    }
    g_ptr_array_sort(ordered, compare_sent);
    check_reads(report, ordered);
    check_writes(report, ordered, state);
    return report;
}
