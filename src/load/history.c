/* JSON form of the client's history. See history.h. */
#include "load/history.h"

#include "core/error.h"

static const char *const OPERATION_NAMES[] = {"read", "entry", "batch"};
static const char *const OUTCOME_NAMES[] = {"done",    "refused",  "failed",
                                            "unknown", "not_sent", "lost"};
static const char *const RETRY_NAMES[] = {"no", "yes", "new_key", "same_key"};

struct history_record *history_record_new(void)
{
    return g_new0(struct history_record, 1);
}

void history_record_free(struct history_record *record)
{
    if (record == NULL) {
        return;
    }
    g_free(record->session);
    g_free(record->tenant);
    g_free(record->id);
    g_free(record->range);
    g_free(record->key);
    g_free(record->address);
    g_free(record->error);
    g_free(record->served_by.daemon);
    g_free(record->served_by.database);
    g_free(record->served_by.role);
    if (record->rows != NULL) {
        g_ptr_array_unref(record->rows);
    }
    g_free(record);
}

bool operation_is_write(enum operation_kind kind)
{
    return kind != OPERATION_READ;
}

const char *operation_kind_name(enum operation_kind kind)
{
    return OPERATION_NAMES[kind];
}

const char *attempt_outcome_name(enum attempt_outcome outcome)
{
    return OUTCOME_NAMES[outcome];
}

const char *error_retry_name(enum error_retry retry)
{
    return RETRY_NAMES[retry];
}

/* Index of `name` in `names`, or -1. */
static int name_index(const char *const *names, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (g_strcmp0(names[i], name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

bool attempt_outcome_parse(const char *name, enum attempt_outcome *outcome)
{
    int index = name_index(OUTCOME_NAMES, G_N_ELEMENTS(OUTCOME_NAMES), name);
    if (index >= 0) {
        *outcome = (enum attempt_outcome)index;
    }
    return index >= 0;
}

bool error_retry_parse(const char *name, enum error_retry *retry)
{
    int index = name_index(RETRY_NAMES, G_N_ELEMENTS(RETRY_NAMES), name);
    if (index >= 0) {
        *retry = (enum error_retry)index;
    }
    return index >= 0;
}

static void add_text(JsonBuilder *builder, const char *name, const char *text)
{
    if (text == NULL) {
        return;
    }
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, text);
}

static void add_number(JsonBuilder *builder, const char *name, uint64_t number)
{
    if (number == 0) {
        return;
    }
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)number);
}

static void add_rows(JsonBuilder *builder, const GPtrArray *rows)
{
    if (rows == NULL) {
        return;
    }
    json_builder_set_member_name(builder, "rows");
    json_builder_begin_array(builder);
    for (guint i = 0; i < rows->len; i++) {
        json_builder_add_string_value(builder, g_ptr_array_index(rows, i));
    }
    json_builder_end_array(builder);
}

char *history_record_to_json(const struct history_record *record)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    add_text(builder, "session", record->session);
    add_text(builder, "tenant", record->tenant);
    add_number(builder, "operation", record->operation);
    add_number(builder, "attempt", record->attempt);
    add_text(builder, "kind", operation_kind_name(record->kind));
    add_text(builder, "id", record->id);
    add_text(builder, "range", record->range);
    add_text(builder, "key", record->key);
    add_text(builder, "address", record->address);
    add_number(builder, "due_ns", record->due_ns);
    add_number(builder, "sent_ns", record->sent_ns);
    add_number(builder, "answered_ns", record->answered_ns);
    add_text(builder, "outcome", attempt_outcome_name(record->outcome));
    add_text(builder, "error", record->error);
    add_text(builder, "retry", error_retry_name(record->retry));
    add_number(builder, "retry_after_ms", record->retry_after_ms);
    add_text(builder, "daemon", record->served_by.daemon);
    add_text(builder, "database", record->served_by.database);
    add_text(builder, "role", record->served_by.role);
    add_number(builder, "term", record->served_by.term);
    add_number(builder, "offset", record->served_by.offset);
    add_rows(builder, record->rows);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

static char *text_member(JsonObject *object, const char *name)
{
    return g_strdup(json_object_get_string_member_with_default(object, name, NULL));
}

static uint64_t number_member(JsonObject *object, const char *name)
{
    return (uint64_t)json_object_get_int_member_with_default(object, name, 0);
}

static GPtrArray *rows_member(JsonObject *object)
{
    if (!json_object_has_member(object, "rows")) {
        return NULL;
    }
    JsonArray *array = json_object_get_array_member(object, "rows");
    GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; array != NULL && i < json_array_get_length(array); i++) {
        g_ptr_array_add(rows, g_strdup(json_array_get_string_element(array, i)));
    }
    return rows;
}

/* Parses the members that are enumerations; false if one has an unknown value. */
static bool read_words(JsonObject *object, struct history_record *record)
{
    const char *kind = json_object_get_string_member_with_default(object, "kind", "");
    int kind_index = name_index(OPERATION_NAMES, G_N_ELEMENTS(OPERATION_NAMES), kind);
    if (kind_index < 0) {
        return false;
    }
    record->kind = (enum operation_kind)kind_index;
    const char *outcome = json_object_get_string_member_with_default(object, "outcome", "");
    if (!attempt_outcome_parse(outcome, &record->outcome)) {
        return false;
    }
    const char *retry = json_object_get_string_member_with_default(object, "retry", "no");
    return error_retry_parse(retry, &record->retry);
}

static bool is_complete(const struct history_record *record)
{
    bool has_id = record->id != NULL || !operation_is_write(record->kind);
    return record->session != NULL && record->tenant != NULL && record->range != NULL && has_id;
}

struct history_record *history_record_from_json(const char *line, GError **error)
{
    g_autoptr(JsonNode) node = json_from_string(line, error);
    if (node == NULL) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "not an object");
        return NULL;
    }
    JsonObject *object = json_node_get_object(node);
    struct history_record *record = history_record_new();
    record->session = text_member(object, "session");
    record->tenant = text_member(object, "tenant");
    record->operation = number_member(object, "operation");
    record->attempt = (uint32_t)number_member(object, "attempt");
    record->id = text_member(object, "id");
    record->range = text_member(object, "range");
    record->key = text_member(object, "key");
    record->address = text_member(object, "address");
    record->due_ns = number_member(object, "due_ns");
    record->sent_ns = number_member(object, "sent_ns");
    record->answered_ns = number_member(object, "answered_ns");
    record->error = text_member(object, "error");
    record->retry_after_ms = (uint32_t)number_member(object, "retry_after_ms");
    record->served_by.daemon = text_member(object, "daemon");
    record->served_by.database = text_member(object, "database");
    record->served_by.role = text_member(object, "role");
    record->served_by.term = number_member(object, "term");
    record->served_by.offset = number_member(object, "offset");
    record->rows = rows_member(object);
    if (!read_words(object, record) || !is_complete(record)) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "not a history record");
        g_clear_pointer(&record, history_record_free);
    }
    return record;
}

bool history_read_file(const char *path, GPtrArray *records, GError **error)
{
    g_autofree char *contents = NULL;
    if (!g_file_get_contents(path, &contents, NULL, error)) {
        return false;
    }
    g_auto(GStrv) lines = g_strsplit(contents, "\n", -1);
    for (guint i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] == '\0') {
            continue;
        }
        struct history_record *record = history_record_from_json(lines[i], error);
        if (record == NULL) {
            g_prefix_error(error, "%s:%u: ", path, i + 1);
            return false;
        }
        g_ptr_array_add(records, record);
    }
    return true;
}
