/* The replay of a trace. */
#include "sim/replay.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stddef.h>

#include "core/acknowledge.h"
#include "core/error.h"
#include "generated/errors.h"
#include "sim/replay_outcome.h"
#include "sim/trace_file.h"

/* A command that the replayed core issued. */
struct issued_command {
    uint64_t id;
    enum group_action_kind kind;
    uint32_t database;
    uint64_t term;
};

/* One daemon's control. */
struct replay_daemon {
    uint32_t index;
    struct group_control *control;
    uint32_t database_count;
    GArray *commands; /* of struct issued_command, outstanding */
    uint64_t term;    /* of its last view */
    uint64_t granted_term;
    uint32_t granted; /* bit per database that granted granted_term */
};

struct replay {
    GHashTable *daemons; /* index -> struct replay_daemon */
    GPtrArray *outcomes;
    time_ns started_at;
    time_ns now;
    bool dump;
    FILE *output;
    const struct mutation_switch *mutation; /* or NULL */
    int failures;
};

/* A test-only switch of the core's options. */
struct mutation_switch {
    const char *name;
    size_t option;
};

static const struct mutation_switch MUTATIONS[] = {
    {"single_watcher_deposes", offsetof(struct group_control_options, single_watcher_deposes)},
    {"no_fence", offsetof(struct group_control_options, no_fence)},
    {"ignore_leaving", offsetof(struct group_control_options, ignore_leaving)},
    {"no_pause", offsetof(struct group_control_options, no_pause)},
    {"trust_forgetful", offsetof(struct group_control_options, trust_forgetful)},
    {"ignore_stalled_replication",
     offsetof(struct group_control_options, ignore_stalled_replication)},
};

static void free_daemon(gpointer data)
{
    struct replay_daemon *daemon = data;

    group_control_free(daemon->control);
    g_array_unref(daemon->commands);
    g_free(daemon);
}

static double elapsed_ms(const struct replay *replay)
{
    return (double)(replay->now - replay->started_at) / (double)NANOSECONDS_PER_MILLISECOND;
}

static void fail(struct replay *replay, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void fail(struct replay *replay, const char *format, ...)
{
    va_list arguments;

    replay->failures += 1;
    fprintf(replay->output, "%.3f ms: FAILED: ", elapsed_ms(replay));
    va_start(arguments, format);
    vfprintf(replay->output, format, arguments);
    va_end(arguments);
    fputc('\n', replay->output);
}

static void begin_control(struct replay *replay, const struct trace_record *record)
{
    struct replay_daemon *daemon = g_new0(struct replay_daemon, 1);
    struct group_control_options options;

    trace_options_of(&record->start, &options);
    if (replay->mutation != NULL) {
        *(bool *)((char *)&options + replay->mutation->option) = true;
    }
    daemon->index = record->daemon;
    daemon->database_count = options.database_count;
    daemon->control = group_control_new(&options, record->at);
    daemon->commands = g_array_new(FALSE, FALSE, sizeof(struct issued_command));
    g_hash_table_insert(replay->daemons, GUINT_TO_POINTER(record->daemon), daemon);
    if (replay->dump) {
        fprintf(replay->output, "%.3f ms: daemon %u starts\n", elapsed_ms(replay), record->daemon);
    }
}

static void issue(struct replay_daemon *daemon, const struct group_action *action)
{
    struct issued_command command = {
        .id = action->command,
        .kind = action->kind,
        .database = action->database,
        .term = action->term,
    };

    g_array_append_val(daemon->commands, command);
}

/* Id of the outstanding command that the recorded answer belongs to; 0 if there is none. */
static uint64_t take_command(struct replay_daemon *daemon, const struct trace_command *recorded)
{
    for (guint i = 0; i < daemon->commands->len; i++) {
        const struct issued_command *command =
            &g_array_index(daemon->commands, struct issued_command, i);
        uint64_t id = command->id;

        if (command->kind == (enum group_action_kind)recorded->kind &&
            command->database == recorded->database && command->term == recorded->term) {
            g_array_remove_index(daemon->commands, i);
            return id;
        }
    }
    return 0;
}

static void check_promotion(struct replay *replay, const struct replay_daemon *daemon,
                            const struct group_action *action)
{
    uint32_t granted = 0;

    if (daemon->granted_term == action->term) {
        granted = (uint32_t)__builtin_popcount(daemon->granted);
    }
    if (granted < majority_of(daemon->database_count)) {
        fail(replay, "daemon %u promotes in term %" PRIu64 " with %u grants", daemon->index,
             action->term, granted);
    }
}

static void dump_action(const struct replay *replay, const struct replay_daemon *daemon,
                        const struct group_action *action)
{
    if (action->kind == GROUP_ACTION_RECORD_EVENT) {
        fprintf(replay->output, "%.3f ms: daemon %u: %s term %" PRIu64 " database %d (%s)\n",
                elapsed_ms(replay), daemon->index, group_record_kind_name(action->record.kind),
                action->record.term, action->record.database,
                group_reason_name(action->record.reason));
        return;
    }
    fprintf(replay->output, "%.3f ms: daemon %u -> %s database %u term %" PRIu64 "\n",
            elapsed_ms(replay), daemon->index, group_action_kind_name(action->kind),
            action->database, action->term);
}

static void take_action(struct replay *replay, struct replay_daemon *daemon,
                        const struct group_action *action)
{
    if (replay->dump && action->kind != GROUP_ACTION_PUBLISH_VIEW &&
        action->kind != GROUP_ACTION_SEND_OPINION) {
        dump_action(replay, daemon, action);
    }
    if (action->kind == GROUP_ACTION_PROMOTE) {
        check_promotion(replay, daemon, action);
    }
    if (action->command != 0) {
        issue(daemon, action);
    }
    for (guint i = 0; i < replay->outcomes->len; i++) {
        struct replay_outcome *outcome = g_ptr_array_index(replay->outcomes, i);

        if (replay_outcome_matches(outcome, daemon->index, replay->now - replay->started_at,
                                   action)) {
            outcome->matches += 1;
        }
    }
}

static void check_step(struct replay *replay, struct replay_daemon *daemon,
                       const struct group_actions *actions)
{
    const struct group_view *view = group_control_view(daemon->control);

    if (actions->wake_at <= replay->now) {
        fail(replay, "daemon %u asks to be woken at once", daemon->index);
    }
    if (view->term < daemon->term) {
        fail(replay, "the view of daemon %u goes back to term %" PRIu64, daemon->index, view->term);
    }
    daemon->term = view->term;
}

static void note_grant(struct replay_daemon *daemon, const struct trace_event *event)
{
    if (event->command.kind != GROUP_ACTION_FENCE || event->result != GROUP_COMMAND_OK) {
        return;
    }
    if (event->command.term != daemon->granted_term) {
        daemon->granted_term = event->command.term;
        daemon->granted = 0;
    }
    daemon->granted |= UINT32_C(1) << event->command.database;
}

static void feed(struct replay *replay, struct replay_daemon *daemon,
                 const struct trace_record *record)
{
    struct group_event event;
    struct group_actions actions;

    trace_event_of(record, &event);
    if (replay->dump && event.kind != GROUP_EVENT_TICK) {
        fprintf(replay->output, "%.3f ms: daemon %u <- %s database %u result %d\n",
                elapsed_ms(replay), daemon->index, group_event_kind_name(event.kind),
                record->event.has_command ? record->event.command.database : event.database,
                event.kind == GROUP_EVENT_PROBE ? event.reachable : (int)event.result);
    }
    if (record->event.has_command) {
        event.command = take_command(daemon, &record->event.command);
        if (event.command == 0) {
            return;
        }
        note_grant(daemon, &record->event);
    }
    group_control_step(daemon->control, &event, &actions);
    check_step(replay, daemon, &actions);
    for (uint32_t i = 0; i < actions.count; i++) {
        take_action(replay, daemon, &actions.items[i]);
    }
}

/* Checks the views that are stated for a time that is now over. */
static void check_views(struct replay *replay, bool at_end)
{
    for (guint i = 0; i < replay->outcomes->len; i++) {
        struct replay_outcome *outcome = g_ptr_array_index(replay->outcomes, i);
        const struct replay_daemon *daemon;

        if (outcome->expect != OUTCOME_EXPECT_VIEW || outcome->view_checked ||
            (!at_end && replay->now - replay->started_at <= outcome->until)) {
            continue;
        }
        outcome->view_checked = true;
        daemon = g_hash_table_lookup(replay->daemons, GINT_TO_POINTER(outcome->daemon));
        if (daemon == NULL ||
            !replay_outcome_view_holds(outcome, group_control_view(daemon->control))) {
            fail(replay, "%s", outcome->text);
        }
    }
}

static void check_counts(struct replay *replay)
{
    for (guint i = 0; i < replay->outcomes->len; i++) {
        const struct replay_outcome *outcome = g_ptr_array_index(replay->outcomes, i);

        if (outcome->expect == OUTCOME_EXPECT_SOME && outcome->matches == 0) {
            fail(replay, "%s (it did not happen)", outcome->text);
        }
        if (outcome->expect == OUTCOME_EXPECT_NONE && outcome->matches > 0) {
            fail(replay, "%s (it happened %u times)", outcome->text, outcome->matches);
        }
    }
}

static void replay_records(struct replay *replay, const GPtrArray *records)
{
    for (guint i = 0; i < records->len; i++) {
        const struct trace_record *record = g_ptr_array_index(records, i);
        struct replay_daemon *daemon;

        if (i == 0) {
            replay->started_at = record->at;
        }
        replay->now = record->at;
        check_views(replay, false);
        if (record->has_start) {
            begin_control(replay, record);
        }
        daemon = g_hash_table_lookup(replay->daemons, GUINT_TO_POINTER(record->daemon));
        if (record->has_event && daemon != NULL) {
            feed(replay, daemon, record);
        }
    }
    check_views(replay, true);
    check_counts(replay);
}

static bool find_mutation(struct replay *replay, const char *name, GError **error)
{
    if (name == NULL) {
        return true;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(MUTATIONS); i++) {
        if (g_str_equal(name, MUTATIONS[i].name)) {
            replay->mutation = &MUTATIONS[i];
            return true;
        }
    }
    g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "unknown mutation %s", name);
    return false;
}

int replay_file(const char *path, const char *outcomes_path, const struct replay_options *options,
                GError **error)
{
    g_autoptr(GPtrArray) records = trace_read(path, error);
    g_autoptr(GPtrArray) outcomes = NULL;
    struct replay replay = {.dump = options->dump, .output = options->output};

    if (records == NULL || !find_mutation(&replay, options->mutation, error)) {
        return -1;
    }
    outcomes = replay_outcomes_load(outcomes_path, error);
    if (outcomes == NULL) {
        return -1;
    }
    replay.outcomes = outcomes;
    replay.daemons = g_hash_table_new_full(NULL, NULL, NULL, free_daemon);
    replay_records(&replay, records);
    g_hash_table_unref(replay.daemons);
    return replay.failures;
}
