/* The replay of a trace. */
#include "sim/replay.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stddef.h>

#include "core/acknowledge.h"
#include "core/error.h"
#include "core/group_control_state.h"
#include "generated/errors.h"
#include "sim/replay_outcome.h"
#include "trace/trace_file.h"

/* A command that the replayed core issued. */
struct issued_command {
    uint64_t id;
    enum group_action_kind kind;
    uint32_t database;
    uint64_t term;
};

/* The group control of one daemon. */
struct replay_daemon {
    uint32_t index;
    struct group_control *control;
    uint32_t database_count;
    GArray *commands;     /* of struct issued_command, outstanding */
    uint32_t differences; /* decisions that differ from the recorded ones */
    bool restored;        /* restored from a snapshot: commands issued before it are missing from
                             `commands` */
    time_ns to_wall;      /* offset from the daemon's clock to the wall clock; 0 if not recorded */
    uint64_t term;        /* of its last view */
    uint64_t granted_term;
    uint32_t granted; /* bit per database that granted `granted_term` */
};

struct replay {
    GHashTable *daemons; /* index -> struct replay_daemon */
    GPtrArray *outcomes;
    time_ns started_at;
    time_ns now;
    bool dump;
    bool decisions_changed; /* the core was changed on purpose: differing decisions are only counted
                             */
    uint32_t differences;
    FILE *output;
    const struct mutation_switch *mutation; /* or NULL */
    const char *write_mutation;             /* the same for writes */
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

static struct replay_daemon *find_daemon(const struct replay *replay, uint32_t index)
{
    return g_hash_table_lookup(replay->daemons, GUINT_TO_POINTER(index));
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

/* Takes ownership of the control. */
static void add_daemon(struct replay *replay, const struct trace_record *record,
                       struct group_control *control, bool restored)
{
    struct replay_daemon *daemon = g_new0(struct replay_daemon, 1);

    daemon->index = record->daemon;
    daemon->restored = restored;
    daemon->control = control;
    daemon->database_count = group_control_view(control)->database_count;
    daemon->term = group_control_view(control)->term;
    daemon->commands = g_array_new(FALSE, FALSE, sizeof(struct issued_command));
    g_hash_table_insert(replay->daemons, GUINT_TO_POINTER(record->daemon), daemon);
    if (replay->dump) {
        fprintf(replay->output, "%.3f ms: daemon %u %s\n", elapsed_ms(replay), record->daemon,
                restored ? "resumes" : "starts");
    }
}

static void begin_control(struct replay *replay, const struct trace_record *record)
{
    struct group_control_options options;

    trace_options_of(&record->start, &options);
    if (replay->mutation != NULL) {
        *(bool *)((char *)&options + replay->mutation->option) = true;
    }
    add_daemon(replay, record, group_control_new(&options, record->at), false);
}

/* Continues from a snapshot, unless the replay has reached this point from an earlier record. */
static bool restore_control(struct replay *replay, const struct trace_record *record,
                            GError **error)
{
    const struct trace_snapshot *snapshot = &record->snapshot;
    struct group_control *control = NULL;

    if (find_daemon(replay, record->daemon) != NULL) {
        return true;
    }
    if (replay->mutation != NULL) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                    "daemon %u begins with a snapshot, which can't be replayed with a mutation",
                    record->daemon);
        return false;
    }
    if (g_strcmp0(snapshot->layout, group_control_state_layout()) == 0) {
        control = group_control_restore(snapshot->state, snapshot->state_length);
    }
    if (control == NULL) {
        g_set_error(
            error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
            "daemon %u begins with a snapshot of another version of the core; replay it with "
            "that version",
            record->daemon);
        return false;
    }
    add_daemon(replay, record, control, true);
    return true;
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

static bool same_command(const struct issued_command *command, const struct trace_command *recorded)
{
    return command->kind == (enum group_action_kind)recorded->kind &&
           command->database == recorded->database && command->term == recorded->term;
}

/* Index of the outstanding command that the recorded reply belongs to: the one of the same id if it
 * is the same command, else the first equal one; the number of commands if there is none. */
static guint find_command(const struct replay_daemon *daemon, const struct trace_command *recorded)
{
    guint found = daemon->commands->len;

    for (guint i = daemon->commands->len; i > 0; i--) {
        const struct issued_command *command =
            &g_array_index(daemon->commands, struct issued_command, i - 1);

        if (same_command(command, recorded)) {
            found = i - 1;
        }
        if (same_command(command, recorded) && command->id == recorded->id) {
            return found;
        }
    }
    return found;
}

/* Id of the outstanding command that the recorded reply belongs to; 0 if there is none. */
static uint64_t take_command(struct replay_daemon *daemon, const struct trace_command *recorded)
{
    guint index = find_command(daemon, recorded);

    if (index == daemon->commands->len) {
        return daemon->restored ? recorded->id : 0;
    }
    uint64_t id = g_array_index(daemon->commands, struct issued_command, index).id;
    g_array_remove_index(daemon->commands, index);
    return id;
}

static void check_promotion(struct replay *replay, const struct replay_daemon *daemon,
                            const struct group_action *action)
{
    uint32_t granted = 0;

    if (daemon->granted_term == action->term) {
        granted = (uint32_t)__builtin_popcount(daemon->granted);
    }
    /* Grants before a snapshot are not known. */
    if (granted < majority_of(daemon->database_count) && !daemon->restored) {
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

static void check_step(struct replay *replay, struct replay_daemon *daemon, time_ns now,
                       const struct group_actions *actions)
{
    const struct group_view *view = group_control_view(daemon->control);

    if (actions->wake_at <= now) {
        fail(replay, "daemon %u requests a wake-up at the current time", daemon->index);
    }
    if (view->term < daemon->term) {
        fail(replay, "the view of daemon %u goes back to term %" PRIu64, daemon->index, view->term);
    }
    daemon->term = view->term;
}

/* Checks that the same input leads to the same decision. Reports only the first difference of each
 * daemon, because later ones may follow from it. */
static void check_decision(struct replay *replay, struct replay_daemon *daemon,
                           const struct trace_event *event, const struct group_actions *actions)
{
    if (event->decision == 0 || event->decision == group_control_digest(daemon->control, actions)) {
        return;
    }
    replay->differences += 1;
    daemon->differences += 1;
    if (replay->decisions_changed || daemon->differences > 1) {
        return;
    }
    fail(replay,
         "daemon %u decides differently from the recording on %s database %u; now:", daemon->index,
         group_event_kind_name((enum group_event_kind)event->kind), event->database);
    for (uint32_t i = 0; i < actions->count; i++) {
        dump_action(replay, daemon, &actions->items[i]);
    }
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
    check_step(replay, daemon, event.now, &actions);
    check_decision(replay, daemon, &record->event, &actions);
    for (uint32_t i = 0; i < actions.count; i++) {
        take_action(replay, daemon, &actions.items[i]);
    }
}

/* Checks the views that are expected for a time that has passed. */
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
        daemon = find_daemon(replay, (uint32_t)outcome->daemon);
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

/* The time at which a record was made. With daemons on several machines, the wall clock. */
static time_ns wall_time_of(const struct replay *replay, const struct trace_record *record)
{
    const struct replay_daemon *daemon = find_daemon(replay, record->daemon);

    if (record->wall_us != 0 && !record->has_write) {
        return record->wall_us * NANOSECONDS_PER_MICROSECOND;
    }
    if (daemon != NULL) {
        return record->at + daemon->to_wall;
    }
    return record->wall_us != 0 ? record->wall_us * NANOSECONDS_PER_MICROSECOND : record->at;
}

static void feed_write(struct replay *replay, const struct trace_record *record)
{
    time_ns began = MAX(wall_time_of(replay, record), replay->started_at);
    time_ns at = began - replay->started_at;
    struct replayed_write write;
    const struct replay_write_options options = {
        .dump = replay->dump,
        .decisions_changed = replay->decisions_changed,
        .mutation = replay->write_mutation,
        .output = replay->output,
        .at_ms = (double)at / (double)NANOSECONDS_PER_MILLISECOND,
    };

    replay_write(&record->write, &options, &write);
    replay->failures += (int)write.failures;
    replay->differences += write.differences;
    for (guint i = 0; i < replay->outcomes->len; i++) {
        struct replay_outcome *outcome = g_ptr_array_index(replay->outcomes, i);

        if (replay_outcome_matches_write(outcome, record->daemon, at, &write)) {
            outcome->matches += 1;
        }
    }
}

static void move_clock(struct replay *replay, const struct trace_record *record)
{
    time_ns now = wall_time_of(replay, record);

    if (replay->started_at == 0) {
        replay->started_at = now;
    }
    replay->now = MAX(replay->now, now);
}

/* False if a snapshot can't be restored. */
static bool replay_record(struct replay *replay, const struct trace_record *record, GError **error)
{
    struct replay_daemon *daemon;

    move_clock(replay, record);
    check_views(replay, false);
    if (record->has_start) {
        begin_control(replay, record);
    }
    if (record->has_snapshot && !restore_control(replay, record, error)) {
        return false;
    }
    if (record->has_write) {
        feed_write(replay, record);
    }
    daemon = find_daemon(replay, record->daemon);
    if (daemon == NULL) {
        return true;
    }
    if (record->wall_us != 0 && !record->has_write) {
        daemon->to_wall = record->wall_us * NANOSECONDS_PER_MICROSECOND - record->at;
    }
    if (record->has_detection) {
        group_control_set_detection(daemon->control, record->detection.suspect_after,
                                    record->detection.unreachable_after);
    }
    if (record->has_event) {
        feed(replay, daemon, record);
    }
    return true;
}

static bool replay_records(struct replay *replay, const GPtrArray *records, GError **error)
{
    for (guint i = 0; i < records->len; i++) {
        if (!replay_record(replay, g_ptr_array_index(records, i), error)) {
            return false;
        }
    }
    check_views(replay, true);
    check_counts(replay);
    return true;
}

static bool find_mutation(struct replay *replay, const char *name, GError **error)
{
    if (name == NULL) {
        return true;
    }
    if (replay_write_has_mutation(name)) {
        replay->write_mutation = name;
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
    struct replay replay = {
        .dump = options->dump,
        .output = options->output,
        .decisions_changed = options->outcomes_only,
    };

    if (records == NULL || !find_mutation(&replay, options->mutation, error)) {
        return -1;
    }
    outcomes = outcomes_path == NULL
                   ? g_ptr_array_new()
                   : replay_outcomes_load(outcomes_path, &replay.decisions_changed, error);
    if (outcomes == NULL) {
        return -1;
    }
    replay.outcomes = outcomes;
    replay.daemons = g_hash_table_new_full(NULL, NULL, NULL, free_daemon);
    bool whole = replay_records(&replay, records, error);
    g_hash_table_unref(replay.daemons);
    if (replay.decisions_changed && replay.differences > 0) {
        fprintf(options->output, "%u decisions differ from the recording\n", replay.differences);
    }
    return whole ? replay.failures : -1;
}
