/* Conversion between the core's types and trace records, and reading and writing of trace files. */
#include "trace/trace_file.h"

#include <cbor.h>
#include <stddef.h>

#include "core/error.h"
#include "generated/errors.h"

/* Offsets of a duration in the core's options and in the start record. */
struct duration_field {
    size_t option;
    size_t start;
};

#define DURATION(name)                                                                             \
    {                                                                                              \
        offsetof(struct group_control_options, name), offsetof(struct trace_start, name)           \
    }

static const struct duration_field DURATIONS[] = {
    DURATION(suspect_after),    DURATION(unreachable_after),
    DURATION(suspicion_expiry), DURATION(suspicion_repeat),
    DURATION(opinion_interval), DURATION(abstain_after),
    DURATION(peer_alive),       DURATION(bootstrap_wait),
    DURATION(rank_step),        DURATION(jitter),
    DURATION(attempt_patience), DURATION(fence_grace),
    DURATION(attempt_timeout),  DURATION(command_retry),
    DURATION(backoff),          DURATION(backoff_max),
    DURATION(heal_interval),    DURATION(repair_after),
    DURATION(pause_first),      DURATION(pause_max),
    DURATION(pause_lease),      DURATION(pause_poll),
    DURATION(own_stall_after),  DURATION(tick_interval),
    DURATION(sample_interval),  DURATION(publish_interval),
    DURATION(forget_after),     DURATION(replication_stall_after),
};

void trace_start_to_record(const struct group_control_options *options, time_ns at,
                           struct trace_record *record)
{
    struct trace_start *start = &record->start;

    trace_record_init(record);
    record->at = at;
    record->has_start = true;
    start->group = options->group;
    start->watcher = options->watcher;
    start->zone = options->zone;
    start->preferred_zone = options->preferred_zone;
    start->seed = options->seed;
    start->planned_attempts = options->planned_attempts;
    start->database_zones_count = options->database_count;
    start->database_zones = g_memdup2(options->database_zone,
                                      options->database_count * sizeof(options->database_zone[0]));
    for (size_t i = 0; i < G_N_ELEMENTS(DURATIONS); i++) {
        const time_ns *from = (const void *)((const char *)options + DURATIONS[i].option);

        *(uint64_t *)(void *)((char *)start + DURATIONS[i].start) = *from;
    }
}

static void status_to_record(const struct database_status *status, struct trace_status *record)
{
    record->role = status->role;
    record->term = status->term;
    record->promised_term = status->promised_term;
    record->held_term = status->held.term;
    record->held_offset = status->held.offset;
    record->applied_term = status->applied.term;
    record->applied_offset = status->applied.offset;
    record->leaving = status->leaving;
    record->leaving_order = status->leaving_order;
}

static void status_of(const struct trace_status *record, struct database_status *status)
{
    status->role = (enum database_role)record->role;
    status->term = record->term;
    status->promised_term = record->promised_term;
    status->held = (struct log_position){record->held_term, record->held_offset};
    status->applied = (struct log_position){record->applied_term, record->applied_offset};
    status->leaving = record->leaving;
    status->leaving_order = record->leaving_order;
}

static void opinion_to_record(const struct group_opinion *opinion, struct watcher_opinion *record)
{
    record->watcher = opinion->watcher;
    record->sequence = opinion->sequence;
    record->term = opinion->term;
    record->primary = opinion->primary;
    record->suspects = opinion->suspects;
    record->reachable = opinion->reachable;
    record->promised = opinion->promised;
    record->change = opinion->change;
    record->drained = opinion->drained;
}

static void opinion_of(const struct watcher_opinion *record, struct group_opinion *opinion)
{
    opinion->watcher = record->watcher;
    opinion->sequence = record->sequence;
    opinion->term = record->term;
    opinion->primary = (int32_t)record->primary;
    opinion->suspects = record->suspects;
    opinion->reachable = record->reachable;
    opinion->promised = record->promised;
    opinion->change = record->change;
    opinion->drained = record->drained;
}

static void watchers_to_record(const struct group_event *event, struct trace_event *record)
{
    record->watchers = g_new0(struct trace_watcher, event->watcher_count);
    record->watchers_count = event->watcher_count;
    for (uint32_t i = 0; i < event->watcher_count; i++) {
        record->watchers[i].watcher = event->watchers[i].id;
        record->watchers[i].zone = event->watchers[i].zone;
    }
}

void trace_event_to_record(const struct group_event *event, const struct trace_command *command,
                           struct trace_record *record)
{
    struct trace_event *to = &record->event;

    trace_record_init(record);
    record->at = event->now;
    record->has_event = true;
    to->kind = event->kind;
    to->database = event->database;
    to->reachable = event->reachable;
    to->round_trip = event->round_trip;
    to->result = event->result;
    to->change = event->change;
    to->order = event->order;
    to->has_status = event->kind == GROUP_EVENT_PROBE || event->kind == GROUP_EVENT_COMMAND;
    status_to_record(&event->status, &to->status);
    to->has_opinion = event->kind == GROUP_EVENT_OPINION;
    opinion_to_record(&event->opinion, &to->opinion);
    to->has_command = command != NULL;
    if (command != NULL) {
        to->command = *command;
    }
    if (event->kind == GROUP_EVENT_WATCHERS) {
        watchers_to_record(event, to);
    }
}

bool trace_write(FILE *file, const struct trace_record *record)
{
    g_autoptr(GByteArray) bytes = trace_record_encode(record);

    return bytes != NULL && fwrite(bytes->data, 1, bytes->len, file) == bytes->len;
}

/* Writes a daemon's record and clears it. */
static void write_and_clear(FILE *file, uint32_t daemon, struct trace_record *record)
{
    record->daemon = daemon;
    if (!trace_write(file, record)) {
        g_warning("Trace record not written.");
    }
    trace_record_clear(record);
}

void trace_write_start(FILE *file, uint32_t daemon, time_ns at,
                       const struct group_control_options *options)
{
    struct trace_record record;

    trace_start_to_record(options, at, &record);
    write_and_clear(file, daemon, &record);
}

void trace_write_event(FILE *file, uint32_t daemon, const struct group_event *event,
                       const struct trace_command *command)
{
    struct trace_record record;

    trace_event_to_record(event, command, &record);
    write_and_clear(file, daemon, &record);
}

static void free_record(gpointer data)
{
    trace_record_clear(data);
    g_free(data);
}

/* Length of the first CBOR item of a sequence; 0 if it is not complete or not valid. */
static size_t item_length(const uint8_t *data, size_t length)
{
    struct cbor_load_result result;
    cbor_item_t *item = cbor_load(data, length, &result);

    if (item == NULL) {
        return 0;
    }
    cbor_decref(&item);
    return result.read;
}

GPtrArray *trace_read(const char *path, GError **error)
{
    g_autoptr(GPtrArray) records = g_ptr_array_new_with_free_func(free_record);
    g_autofree char *contents = NULL;
    size_t length;
    size_t offset = 0;

    if (!g_file_get_contents(path, &contents, &length, error)) {
        return NULL;
    }
    while (offset < length) {
        const uint8_t *data = (const uint8_t *)contents + offset;
        size_t item = item_length(data, length - offset);
        struct trace_record *record;

        if (item == 0) {
            g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                        "no trace record at byte offset %zu", offset);
            return NULL;
        }
        record = g_new0(struct trace_record, 1);
        trace_record_init(record);
        g_ptr_array_add(records, record);
        if (!trace_record_decode(data, item, record, error)) {
            return NULL;
        }
        offset += item;
    }
    return g_steal_pointer(&records);
}

void trace_options_of(const struct trace_start *start, struct group_control_options *options)
{
    group_control_options_init(options);
    options->group = start->group;
    options->watcher = start->watcher;
    options->zone = start->zone;
    options->preferred_zone = (int32_t)start->preferred_zone;
    options->seed = start->seed;
    options->database_count = (uint32_t)start->database_zones_count;
    for (uint32_t i = 0; i < options->database_count; i++) {
        options->database_zone[i] = start->database_zones[i];
    }
    if (start->planned_attempts != 0) {
        options->planned_attempts = start->planned_attempts;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(DURATIONS); i++) {
        const uint64_t *from = (const void *)((const char *)start + DURATIONS[i].start);

        if (*from != 0) {
            *(time_ns *)(void *)((char *)options + DURATIONS[i].option) = *from;
        }
    }
}

void trace_event_of(const struct trace_record *record, struct group_event *event)
{
    const struct trace_event *from = &record->event;

    *event = (struct group_event){
        .kind = (enum group_event_kind)from->kind,
        .now = record->at,
        .database = from->database,
        .reachable = from->reachable,
        .round_trip = from->round_trip,
        .result = (enum group_command_result)from->result,
        .change = from->change,
        .order = from->order,
        .watcher_count = (uint32_t)from->watchers_count,
    };
    status_of(&from->status, &event->status);
    opinion_of(&from->opinion, &event->opinion);
    for (uint32_t i = 0; i < event->watcher_count; i++) {
        event->watchers[i].id = from->watchers[i].watcher;
        event->watchers[i].zone = from->watchers[i].zone;
    }
}
