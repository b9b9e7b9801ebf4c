/* Checks writes. See checker_writes.h. */
#include "load/checker_writes.h"

/* The attempts of one write, combined. Borrows the records. */
struct write_history {
    const struct history_record *first;
    const struct history_record *acknowledged; /* the attempt that was done, or NULL */
    bool maybe_run;            /* an attempt ended without its outcome being known to the client */
    const char *maybe_run_key; /* key of the last such attempt, or NULL */
};

/* Every write by its id, in the order of their first attempts. */
struct write_table {
    GHashTable *by_id;  /* borrowed id -> struct write_history, owned by `ordered` */
    GPtrArray *ordered; /* struct write_history * */
};

static struct write_history *write_of(struct write_table *table,
                                      const struct history_record *record)
{
    struct write_history *write = g_hash_table_lookup(table->by_id, record->id);
    if (write == NULL) {
        write = g_new0(struct write_history, 1);
        write->first = record;
        g_hash_table_insert(table->by_id, record->id, write);
        g_ptr_array_add(table->ordered, write);
    }
    return write;
}

/* True if a refusal guarantees that the write's earlier attempts never ran and never will. */
static bool closes_key(const struct write_history *write, const struct history_record *record)
{
    const char *kind = error_entry_of(ERROR_KIND_KEY_CLOSED)->name;
    return g_strcmp0(record->error, kind) == 0 && record->key != NULL &&
           g_strcmp0(record->key, write->maybe_run_key) == 0;
}

static void add_attempt(struct write_table *table, const struct history_record *record)
{
    struct write_history *write = write_of(table, record);
    switch (record->outcome) {
    case ATTEMPT_DONE:
        write->acknowledged = record;
        break;
    case ATTEMPT_UNKNOWN:
    case ATTEMPT_LOST:
        write->maybe_run = true;
        write->maybe_run_key = record->key;
        break;
    case ATTEMPT_REFUSED:
        /* A closed key guarantees that no earlier attempt under it ran or will run. */
        if (closes_key(write, record)) {
            write->maybe_run = false;
        }
        break;
    case ATTEMPT_FAILED:
    case ATTEMPT_NOT_SENT:
    case ATTEMPT_OUTCOME_COUNT:
        break;
    }
}

static guint row_count(GHashTable *table, const char *id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(table, id));
}

/* Checks one write against the final state. */
static void check_final_rows(struct check_report *report, const struct write_history *write,
                             const struct final_state *state)
{
    const char *id = write->first->id;
    guint entries = row_count(state->entries, id);
    guint bookings = row_count(state->bookings, id);
    if (entries > 1 || bookings > 1) {
        check_report_add(report, VIOLATION_DOUBLED_WRITE, write->first, id);
    }
    bool is_batch = write->first->kind == OPERATION_BATCH;
    if (is_batch && (entries == 0) != (bookings == 0)) {
        check_report_add(report, VIOLATION_TORN_TRANSACTION, write->first, id);
    }
    bool found = entries > 0 || bookings > 0;
    if (write->acknowledged != NULL && !found) {
        check_report_add(report, VIOLATION_LOST_WRITE, write->acknowledged, id);
    }
    if (write->acknowledged == NULL && !write->maybe_run && found) {
        check_report_add(report, VIOLATION_NOT_RUN_FOUND, write->first, id);
    }
    if (write->acknowledged == NULL && write->maybe_run && found) {
        report->unknown_found++;
    }
}

static void count_write(struct check_report *report, const struct write_history *write)
{
    if (write->acknowledged != NULL) {
        report->acknowledged_writes++;
    } else if (write->maybe_run) {
        g_ptr_array_add(report->unknown_ids, g_strdup(write->first->id));
    } else {
        report->not_run_writes++;
    }
}

static int compare_acknowledged(gconstpointer a, gconstpointer b)
{
    const struct write_history *left = *(const struct write_history *const *)a;
    const struct write_history *right = *(const struct write_history *const *)b;
    uint64_t left_ns = left->acknowledged->answered_ns;
    uint64_t right_ns = right->acknowledged->answered_ns;
    return left_ns < right_ns ? -1 : left_ns > right_ns;
}

/* The highest term acknowledged so far for each tenant. */
static void raise_term(GHashTable *terms, const struct history_record *acknowledged)
{
    uint64_t *term = g_hash_table_lookup(terms, acknowledged->tenant);
    if (term == NULL) {
        term = g_new0(uint64_t, 1);
        g_hash_table_insert(terms, acknowledged->tenant, term);
    }
    *term = MAX(*term, acknowledged->served_by.term);
}

/* A write whose first attempt began after an acknowledgement of some term must not be acknowledged
 * in a lower term: a majority had promised to refuse that by then. */
static void check_terms(struct check_report *report, const GPtrArray *writes)
{
    g_autoptr(GPtrArray) by_answer = g_ptr_array_new();
    for (guint i = 0; i < writes->len; i++) {
        struct write_history *write = g_ptr_array_index(writes, i);
        if (write->acknowledged != NULL) {
            g_ptr_array_add(by_answer, write);
        }
    }
    g_ptr_array_sort(by_answer, compare_acknowledged);
    g_autoptr(GHashTable) terms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    guint answered = 0;
    for (guint i = 0; i < writes->len; i++) {
        const struct write_history *write = g_ptr_array_index(writes, i);
        if (write->acknowledged == NULL) {
            continue;
        }
        for (; answered < by_answer->len; answered++) {
            const struct write_history *earlier = g_ptr_array_index(by_answer, answered);
            if (earlier->acknowledged->answered_ns >= write->first->sent_ns) {
                break;
            }
            raise_term(terms, earlier->acknowledged);
        }
        const uint64_t *term = g_hash_table_lookup(terms, write->first->tenant);
        if (term != NULL && write->acknowledged->served_by.term < *term) {
            check_report_add(report, VIOLATION_REPLACED_PRIMARY, write->acknowledged,
                             write->first->id);
        }
    }
}

void check_writes(struct check_report *report, const GPtrArray *records,
                  const struct final_state *state)
{
    struct write_table table = {
        .by_id = g_hash_table_new(g_str_hash, g_str_equal),
        .ordered = g_ptr_array_new_with_free_func(g_free),
    };
    for (guint i = 0; i < records->len; i++) {
        const struct history_record *record = g_ptr_array_index(records, i);
        if (operation_is_write(record->kind)) {
            add_attempt(&table, record);
        }
    }
    for (guint i = 0; i < table.ordered->len; i++) {
        const struct write_history *write = g_ptr_array_index(table.ordered, i);
        count_write(report, write);
        if (state != NULL) {
            check_final_rows(report, write, state);
        }
    }
    check_terms(report, table.ordered);
    g_hash_table_unref(table.by_id);
    g_ptr_array_unref(table.ordered);
}
