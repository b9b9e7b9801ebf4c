/* The swiftworks_...() functions. See control.h. */
#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "coordination.h"

/* The most entries one pull returns. A pull from the beginning of the log returns all. */
#define PULL_ENTRIES_MAX 1000

#define ARGUMENTS_MAX 3

/* A call with its arguments as text. */
struct control_call {
    struct database *database;
    struct transaction *transaction;
    guint count;
    char *arguments[ARGUMENTS_MAX];
    struct result *result;
    struct sql_error *error;
};

enum control_columns { COLUMNS_STATUS, COLUMNS_COMMIT, COLUMNS_LOG };

struct control_function {
    const char *name;
    guint arguments;
    enum control_columns columns;
    bool (*run)(struct control_call *call);
};

static uint64_t argument_number(const struct control_call *call, guint index)
{
    return g_ascii_strtoull(call->arguments[index], NULL, 10);
}

static struct log_position argument_position(const struct control_call *call)
{
    return (struct log_position){argument_number(call, 0), argument_number(call, 1)};
}

static int64_t argument_deadline(const struct control_call *call)
{
    int64_t timeout_ms = (int64_t)MIN(argument_number(call, 2), G_MAXINT32);
    return g_get_monotonic_time() + timeout_ms * 1000;
}

/* Adds the status row. The caller holds the database's lock. */
static void add_status(struct control_call *call)
{
    const struct database *database = call->database;
    struct result *result = call->result;
    struct log_position held = database_held(database);
    struct log_position applied = database_applied(database);
    result_add_text(result, database->role == DATABASE_ROLE_PRIMARY ? "primary" : "replica");
    result_add_int(result, database->term);
    result_add_int(result, database->promised_term);
    result_add_int(result, held.term);
    result_add_int(result, held.offset);
    result_add_int(result, applied.term);
    result_add_int(result, applied.offset);
    result_add_bool(result, database->leaving);
    result_add_int(result, database->leaving_order);
    result_add_text(result, database->name);
    result->rows++;
}

static bool run_status(struct control_call *call)
{
    add_status(call);
    return true;
}

static bool run_fence(struct control_call *call)
{
    bool granted = coordination_fence(call->database, argument_number(call, 0), call->arguments[1],
                                      call->error);
    if (granted) {
        add_status(call);
    }
    return granted;
}

static bool run_promote(struct control_call *call)
{
    bool granted = coordination_promote(call->database, argument_number(call, 0),
                                        call->arguments[1], call->error);
    if (granted) {
        add_status(call);
    }
    return granted;
}

static bool run_follow(struct control_call *call)
{
    bool granted = coordination_follow(call->database, argument_number(call, 0), call->arguments[1],
                                       call->arguments[2], call->error);
    if (granted) {
        add_status(call);
    }
    return granted;
}

static bool run_set_leaving(struct control_call *call)
{
    const char *value = call->arguments[0];
    uint64_t order = argument_number(call, 1);
    if (order >= call->database->leaving_order) {
        call->database->leaving = strchr("tTyY1", value[0]) != NULL && value[0] != '\0';
        call->database->leaving_order = order;
    }
    pthread_cond_broadcast(&call->database->changed);
    add_status(call);
    return true;
}

/* Waits until `position_of` covers the requested position, the time-out passes or a fence raises
 * the promised term. Then adds the status row. */
static bool wait_for_position(struct control_call *call,
                              struct log_position (*position_of)(const struct database *))
{
    struct database *database = call->database;
    struct log_position wanted = argument_position(call);
    int64_t deadline = argument_deadline(call);
    while (!log_position_covers(position_of(database), wanted) &&
           database->promised_term <= database->term && g_get_monotonic_time() < deadline) {
        if (interrupt_pending(call->transaction->interrupt)) {
            return sql_error_set(call->error, "57014", "canceling statement due to user request");
        }
        database_wait_slice(database, deadline);
    }
    add_status(call);
    return true;
}

static bool run_wait_held(struct control_call *call)
{
    return wait_for_position(call, database_held);
}

static bool run_wait_applied(struct control_call *call)
{
    return wait_for_position(call, database_applied);
}

static bool run_last_commit(struct control_call *call)
{
    result_add_int(call->result, call->transaction->last_commit.term);
    result_add_int(call->result, call->transaction->last_commit.offset);
    call->result->rows++;
    return true;
}

/* True if the log holds exactly this entry, or if the position is the beginning of the log. */
static bool log_has(const struct database *database, struct log_position position)
{
    if (position.offset == 0) {
        return true;
    }
    if (position.offset > database->log->len) {
        return false;
    }
    const struct log_entry *entry = g_ptr_array_index(database->log, position.offset - 1);
    return entry->position.term == position.term;
}

static bool may_lead(const struct database *database)
{
    return database->role == DATABASE_ROLE_PRIMARY && database->promised_term == database->term;
}

static void add_log_row(struct control_call *call, struct log_position position,
                        const char *payload)
{
    result_add_int(call->result, call->database->term);
    result_add_int(call->result, position.term);
    result_add_int(call->result, position.offset);
    result_add_text(call->result, payload);
    call->result->rows++;
}

/* Waits for entries after a position and adds them as rows. The first row has no payload: it gives
 * the primary's term and the end of its log. */
static bool run_log_after(struct control_call *call)
{
    struct database *database = call->database;
    struct log_position after = argument_position(call);
    int64_t deadline = argument_deadline(call);
    while (may_lead(database) && database->log->len <= after.offset &&
           g_get_monotonic_time() < deadline && !interrupt_pending(call->transaction->interrupt)) {
        if (!log_has(database, after)) {
            break;
        }
        database_wait_slice(database, deadline);
    }
    if (!may_lead(database)) {
        return sql_error_set(call->error, "25006", "this database does not lead");
    }
    if (!log_has(database, after)) {
        return sql_error_set(call->error, LOG_MISMATCH_SQLSTATE, "the log has no such entry");
    }
    uint64_t limit = after.offset == 0 ? G_MAXUINT64 : PULL_ENTRIES_MAX;
    uint64_t end = MIN(database->log->len, after.offset + MIN(limit, database->log->len));
    add_log_row(call, database_held(database), NULL);
    for (uint64_t offset = after.offset; offset < end; offset++) {
        const struct log_entry *entry = g_ptr_array_index(database->log, offset);
        g_autofree char *payload = log_entry_encode(entry);
        add_log_row(call, entry->position, payload);
    }
    return true;
}

static const struct control_function FUNCTIONS[] = {
    {"status", 0, COLUMNS_STATUS, run_status},
    {"fence", 2, COLUMNS_STATUS, run_fence},
    {"promote", 2, COLUMNS_STATUS, run_promote},
    {"follow", 3, COLUMNS_STATUS, run_follow},
    {"wait_held", 3, COLUMNS_STATUS, run_wait_held},
    {"wait_applied", 3, COLUMNS_STATUS, run_wait_applied},
    {"last_commit", 0, COLUMNS_COMMIT, run_last_commit},
    {"set_leaving", 2, COLUMNS_STATUS, run_set_leaving},
    {"log_after", 3, COLUMNS_LOG, run_log_after},
};

static void add_columns(enum control_columns columns, struct result *result)
{
    switch (columns) {
    case COLUMNS_STATUS:
        result_add_column(result, "role", OID_TEXT);
        result_add_column(result, "term", OID_INT8);
        result_add_column(result, "promised_term", OID_INT8);
        result_add_column(result, "held_term", OID_INT8);
        result_add_column(result, "held_offset", OID_INT8);
        result_add_column(result, "applied_term", OID_INT8);
        result_add_column(result, "applied_offset", OID_INT8);
        result_add_column(result, "leaving", OID_BOOL);
        result_add_column(result, "leaving_order", OID_INT8);
        result_add_column(result, "name", OID_TEXT);
        return;
    case COLUMNS_COMMIT:
        result_add_column(result, "term", OID_INT8);
        result_add_column(result, "offset", OID_INT8);
        return;
    case COLUMNS_LOG:
        result_add_column(result, "leader_term", OID_INT8);
        result_add_column(result, "term", OID_INT8);
        result_add_column(result, "offset", OID_INT8);
        result_add_column(result, "payload", OID_TEXT);
        return;
    }
}

/* A call's text, parsed. */
struct parsed_call {
    const struct control_function *function;
    char **arguments; /* as written */
    bool as_record; /* each row is returned as one column, in PostgreSQL's text form of a record */
};

/* Parses a call; the caller frees the arguments. False if the text is not a known call. */
static bool parse_call(const char *sql, struct parsed_call *parsed)
{
    static const char PATTERN[] =
        "^\\s*select\\s+(\\*\\s+from\\s+)?swiftworks_(\\w+)\\s*\\((.*)\\)\\s*$";
    g_autoptr(GRegex) regex = g_regex_new(PATTERN, G_REGEX_CASELESS | G_REGEX_DOTALL, 0, NULL);
    g_autoptr(GMatchInfo) match = NULL;
    if (!g_regex_match(regex, sql, 0, &match)) {
        return false;
    }
    g_autofree char *from = g_match_info_fetch(match, 1);
    g_autofree char *name = g_match_info_fetch(match, 2);
    g_autofree char *list = g_match_info_fetch(match, 3);
    parsed->as_record = from == NULL || from[0] == '\0';
    parsed->arguments = g_strsplit(g_strstrip(list), ",", -1);
    for (size_t i = 0; i < G_N_ELEMENTS(FUNCTIONS) && parsed->function == NULL; i++) {
        bool same = g_ascii_strcasecmp(FUNCTIONS[i].name, name) == 0 &&
                    g_strv_length(parsed->arguments) == FUNCTIONS[i].arguments;
        if (same) {
            parsed->function = &FUNCTIONS[i];
        }
    }
    return parsed->function != NULL;
}

/* Appends a field of a record's text form, quoted as PostgreSQL does. */
static void append_field(GString *record, const char *text)
{
    bool quoted = text != NULL && (text[0] == '\0' || strpbrk(text, "\"\\(), \t\n") != NULL);
    if (text == NULL) {
        return;
    }
    if (!quoted) {
        g_string_append(record, text);
        return;
    }
    g_string_append_c(record, '"');
    for (const char *next = text; *next != '\0'; next++) {
        if (*next == '"' || *next == '\\') {
            g_string_append_c(record, *next);
        }
        g_string_append_c(record, *next);
    }
    g_string_append_c(record, '"');
}

/* Folds each row into one column, in a record's text form, as "SELECT function()" returns it. */
static void fold_rows(struct result *result, const struct control_function *function)
{
    guint columns = result->names->len;
    GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
    for (uint64_t row = 0; row < result->rows; row++) {
        GString *record = g_string_new("(");
        for (guint i = 0; i < columns; i++) {
            g_string_append(record, i > 0 ? "," : "");
            append_field(record, g_ptr_array_index(result->cells, row * columns + i));
        }
        g_string_append_c(record, ')');
        g_ptr_array_add(cells, g_string_free(record, FALSE));
    }
    g_ptr_array_unref(result->cells);
    result->cells = cells;
    g_ptr_array_set_size(result->names, 0);
    g_array_set_size(result->oids, 0);
    g_autofree char *name = g_strdup_printf("swiftworks_%s", function->name);
    result_add_column(result, name, OID_RECORD);
}

static bool fail_unknown(struct sql_error *error)
{
    return sql_error_set(error, "42883", "no swiftworks function has this name and arguments");
}

bool control_describe(const struct statement *statement, struct result *result,
                      struct sql_error *error)
{
    struct parsed_call parsed = {0};
    bool known = parse_call(statement->sql, &parsed);
    if (known) {
        add_columns(parsed.function->columns, result);
    }
    if (known && parsed.as_record) {
        fold_rows(result, parsed.function);
    }
    g_strfreev(parsed.arguments);
    return known || fail_unknown(error);
}

/* Runs a parsed call. */
static bool run_parsed(const struct parsed_call *parsed, const struct parameters *parameters,
                       struct control_call *call)
{
    bool done = true;
    for (; done && call->count < parsed->function->arguments; call->count++) {
        const char *raw = parsed->arguments[call->count];
        call->arguments[call->count] = parameters_argument(parameters, raw);
        done = call->arguments[call->count] != NULL;
    }
    add_columns(parsed->function->columns, call->result);
    if (done) {
        pthread_mutex_lock(&call->database->lock);
        done = parsed->function->run(call);
        pthread_mutex_unlock(&call->database->lock);
    } else {
        sql_error_set(call->error, "22023", "an argument is missing or null");
    }
    for (guint i = 0; i < call->count; i++) {
        g_free(call->arguments[i]);
    }
    return done;
}

bool control_execute(struct database *database, struct transaction *transaction,
                     const struct statement *statement, const struct parameters *parameters,
                     struct result *result, struct sql_error *error)
{
    struct parsed_call parsed = {0};
    if (!parse_call(statement->sql, &parsed)) {
        g_strfreev(parsed.arguments);
        return fail_unknown(error);
    }
    struct control_call call = {
        .database = database, .transaction = transaction, .result = result, .error = error};
    bool done = run_parsed(&parsed, parameters, &call);
    if (parsed.as_record) {
        fold_rows(result, parsed.function);
    }
    g_strfreev(parsed.arguments);
    return done;
}
