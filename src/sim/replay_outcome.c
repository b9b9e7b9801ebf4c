/* Parsing and matching of expected outcomes. */
#include "sim/replay_outcome.h"

#include "core/error.h"
#include "generated/errors.h"

static const char *const EXPECTATION_NAMES[] = {"some", "none", "view"};

/* A key file being parsed; after the first error the rest is skipped. */
struct reader {
    GKeyFile *file;
    const char *group;
    GError **error;
    bool failed;
};

static void fail(struct reader *reader, const char *key)
{
    if (!reader->failed) {
        g_set_error(reader->error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION,
                    "[%s] %s is not valid", reader->group, key);
    }
    reader->failed = true;
}

static bool has(const struct reader *reader, const char *key)
{
    return g_key_file_has_key(reader->file, reader->group, key, NULL);
}

static int64_t read_number(struct reader *reader, const char *key, int64_t fallback)
{
    g_autoptr(GError) error = NULL;
    int64_t value;

    if (!has(reader, key)) {
        return fallback;
    }
    value = g_key_file_get_int64(reader->file, reader->group, key, &error);
    if (error != NULL) {
        fail(reader, key);
    }
    return value;
}

static const char *action_name(int value)
{
    return group_action_kind_name((enum group_action_kind)value);
}

static const char *record_name(int value)
{
    return group_record_kind_name((enum group_record_kind)value);
}

static const char *reason_name(int value)
{
    return group_reason_name((enum group_reason)value);
}

static const char *write_name(int value)
{
    return outcome_name((enum outcome)value);
}

static const char *error_name(int value)
{
    return error_entry_of((enum error_kind)value)->name;
}

static const char *expectation_name(int value)
{
    return EXPECTATION_NAMES[value];
}

static int32_t read_name(struct reader *reader, const char *key, int count,
                         const char *(*name_of)(int value))
{
    g_autofree char *value = NULL;

    if (!has(reader, key)) {
        return -1;
    }
    value = g_key_file_get_string(reader->file, reader->group, key, NULL);
    for (int i = 0; i < count; i++) {
        if (g_strcmp0(value, name_of(i)) == 0) {
            return i;
        }
    }
    fail(reader, key);
    return -1;
}

static struct replay_outcome *read_outcome(struct reader *reader)
{
    struct replay_outcome *outcome = g_new0(struct replay_outcome, 1);
    int32_t expect = read_name(reader, "expect", G_N_ELEMENTS(EXPECTATION_NAMES), expectation_name);

    outcome->text = g_key_file_get_string(reader->file, reader->group, "text", NULL);
    outcome->daemon = (int32_t)read_number(reader, "daemon", -1);
    outcome->action = read_name(reader, "action", GROUP_ACTION_RECORD_EVENT + 1, action_name);
    outcome->record = read_name(reader, "record", GROUP_RECORD_COUNT, record_name);
    outcome->reason = read_name(reader, "reason", GROUP_REASON_COUNT, reason_name);
    outcome->database = (int32_t)read_number(reader, "database", -1);
    outcome->term = read_number(reader, "term", -1);
    outcome->write = read_name(reader, "write", OUTCOME_COUNT, write_name);
    outcome->error = read_name(reader, "error", ERROR_KIND_COUNT, error_name);
    outcome->keyed = (int32_t)read_number(reader, "keyed", -1);
    outcome->resolves = (int32_t)read_number(reader, "resolves", -1);
    outcome->replayed = (int32_t)read_number(reader, "replayed", -1);
    outcome->executions = (int32_t)read_number(reader, "executions", -1);
    outcome->has_primary = has(reader, "primary");
    outcome->primary = (int32_t)read_number(reader, "primary", -1);
    outcome->paused = (int32_t)read_number(reader, "paused", -1);
    outcome->from = (time_ns)read_number(reader, "from_ms", 0) * NANOSECONDS_PER_MILLISECOND;
    outcome->until = UINT64_MAX;
    if (has(reader, "until_ms")) {
        outcome->until = (time_ns)read_number(reader, "until_ms", 0) * NANOSECONDS_PER_MILLISECOND;
    }
    if (expect < 0 || outcome->text == NULL) {
        fail(reader, expect < 0 ? "expect" : "text");
    }
    outcome->expect = (enum outcome_expectation)expect;
    if (outcome->expect == OUTCOME_EXPECT_VIEW && outcome->daemon < 0) {
        fail(reader, "daemon");
    }
    return outcome;
}

static void free_outcome(gpointer data)
{
    struct replay_outcome *outcome = data;

    g_free(outcome->text);
    g_free(outcome);
}

GPtrArray *replay_outcomes_load(const char *path, bool *decisions_changed, GError **error)
{
    g_autoptr(GPtrArray) outcomes = g_ptr_array_new_with_free_func(free_outcome);
    g_autoptr(GKeyFile) file = g_key_file_new();
    g_auto(GStrv) groups = NULL;
    struct reader reader = {.file = file, .error = error};

    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, error)) {
        return NULL;
    }
    g_autofree char *reason = g_key_file_get_string(file, "trace", "decisions_changed", NULL);
    *decisions_changed = *decisions_changed || (reason != NULL && *reason != '\0');
    groups = g_key_file_get_groups(file, NULL);
    for (uint32_t i = 0; groups[i] != NULL; i++) {
        if (!g_str_has_prefix(groups[i], "outcome")) {
            continue;
        }
        reader.group = groups[i];
        g_ptr_array_add(outcomes, read_outcome(&reader));
    }
    if (reader.failed) {
        return NULL;
    }
    return g_steal_pointer(&outcomes);
}

static bool any_or(int64_t wanted, int64_t value)
{
    return wanted < 0 || wanted == value;
}

/* Matches database and term of an action. Records and commands keep them in different members. */
static bool subject_matches(const struct replay_outcome *outcome, const struct group_action *action)
{
    if (action->kind == GROUP_ACTION_RECORD_EVENT) {
        return any_or(outcome->database, action->record.database) &&
               any_or(outcome->term, (int64_t)action->record.term);
    }
    return any_or(outcome->database, action->database) &&
           any_or(outcome->term, (int64_t)action->term);
}

static bool may_match(const struct replay_outcome *outcome, uint32_t daemon, time_ns at)
{
    return outcome->expect != OUTCOME_EXPECT_VIEW && at >= outcome->from && at <= outcome->until &&
           any_or(outcome->daemon, daemon);
}

bool replay_outcome_matches(const struct replay_outcome *outcome, uint32_t daemon, time_ns at,
                            const struct group_action *action)
{
    bool is_record = action->kind == GROUP_ACTION_RECORD_EVENT;

    if (!may_match(outcome, daemon, at) || outcome->write >= 0 ||
        !any_or(outcome->action, action->kind)) {
        return false;
    }
    if ((outcome->record >= 0 || outcome->reason >= 0) && !is_record) {
        return false;
    }
    return any_or(outcome->record, is_record ? (int64_t)action->record.kind : -1) &&
           any_or(outcome->reason, is_record ? (int64_t)action->record.reason : -1) &&
           subject_matches(outcome, action);
}

bool replay_outcome_matches_write(const struct replay_outcome *outcome, uint32_t daemon, time_ns at,
                                  const struct replayed_write *write)
{
    bool has_error = write->outcome != OUTCOME_DONE;

    return may_match(outcome, daemon, at) && write->answered &&
           outcome->write == (int32_t)write->outcome &&
           any_or(outcome->error, has_error ? (int64_t)write->error : -1) &&
           any_or(outcome->keyed, write->keyed) && any_or(outcome->resolves, write->resolves) &&
           any_or(outcome->replayed, write->replayed) &&
           any_or(outcome->executions, write->executions);
}

bool replay_outcome_view_holds(const struct replay_outcome *outcome, const struct group_view *view)
{
    if (outcome->has_primary && outcome->primary != view->primary) {
        return false;
    }
    return any_or(outcome->term, (int64_t)view->term) &&
           any_or(outcome->paused, view->writes_paused ? 1 : 0);
}
