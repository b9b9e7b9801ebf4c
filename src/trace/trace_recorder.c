/* Implementation of the trace recorder; see the header. */
#define G_LOG_DOMAIN "trace"
#include "trace/trace_recorder.h"

#include <pthread.h>
#include <string.h>

#include "core/group_control_state.h"
#include "trace/trace_file.h"

/* Maximum size of an event's record in bytes: 9 watchers of two numbers each, and the other
 * fields. */
#define RECORD_SIZE_MAX 1024

/* The fraction 1 / WRITES_DIVISOR of the memory is reserved for writes. */
#define WRITES_DIVISOR 4

/* Memory overhead of a stored write in bytes: structs, list link and allocator. */
#define WRITE_OVERHEAD 160

/* Maximum number of commands with outstanding answers. */
#define COMMANDS_MAX 64

/* Size of the records in a segment; the remainder is its header. */
#define CONTENT_SIZE (TRACE_SEGMENT_SIZE - 64)

/* A sequence of records of one group that begins with a start or a snapshot. */
struct segment {
    uint32_t group;
    bool ended; /* receives no more records, so it may be discarded */
    size_t used;
    uint8_t bytes[CONTENT_SIZE];
};

G_STATIC_ASSERT(sizeof(struct segment) <= TRACE_SEGMENT_SIZE);

/* One stored write: an encoded record. */
struct kept_write {
    uint32_t group;
    GByteArray *bytes;
};

struct trace_recorder {
    pthread_mutex_t lock; /* guards all fields below and the segments */
    uint32_t segments_max;
    uint32_t groups; /* being recorded; at most half the segments, the others keep history */
    GQueue segments; /* struct segment, oldest first */
    size_t writes_max;
    size_t writes_size; /* of `writes`, including the overhead */
    GQueue writes;      /* struct kept_write, oldest first */
};

struct trace_group {
    struct trace_recorder *recorder;
    uint32_t group;
    struct segment *segment;                     /* in the recorder's queue */
    struct trace_command commands[COMMANDS_MAX]; /* issued, by id modulo their number */
};

struct trace_recorder *trace_recorder_new(size_t memory)
{
    struct trace_recorder *recorder = g_new0(struct trace_recorder, 1);
    pthread_mutex_init(&recorder->lock, NULL);
    recorder->writes_max = memory / WRITES_DIVISOR;
    recorder->segments_max = (uint32_t)((memory - recorder->writes_max) / TRACE_SEGMENT_SIZE);
    g_queue_init(&recorder->segments);
    g_queue_init(&recorder->writes);
    return recorder;
}

static void free_write(gpointer data)
{
    struct kept_write *write = data;
    g_byte_array_unref(write->bytes);
    g_free(write);
}

void trace_recorder_free(struct trace_recorder *recorder)
{
    g_queue_clear_full(&recorder->writes, free_write);
    g_queue_clear_full(&recorder->segments, g_free);
    pthread_mutex_destroy(&recorder->lock);
    g_free(recorder);
}

/* Discards the oldest segment that has ended. If all segments are in use, at least half of them
 * have ended. Called with the lock held. */
static void drop_oldest(struct trace_recorder *recorder)
{
    GList *link = recorder->segments.head;
    while (!((struct segment *)link->data)->ended) {
        link = link->next;
    }
    g_free(link->data);
    g_queue_delete_link(&recorder->segments, link);
}

/* Allocates a segment. If all segments are in use, it replaces the oldest one that has ended.
 * Called with the lock held. */
static struct segment *allocate_segment(struct trace_recorder *recorder, uint32_t group)
{
    if (recorder->segments.length >= recorder->segments_max) {
        drop_oldest(recorder);
    }
    struct segment *segment = g_new(struct segment, 1);
    segment->group = group;
    segment->ended = false;
    segment->used = 0;
    g_queue_push_tail(&recorder->segments, segment);
    return segment;
}

/* Appends a record to the group's segment, and clears it. */
static void append(struct trace_group *group, struct trace_record *record)
{
    g_autoptr(GByteArray) bytes = trace_record_encode(record);
    trace_record_clear(record);
    pthread_mutex_lock(&group->recorder->lock);
    struct segment *segment = group->segment;
    g_assert(bytes != NULL && bytes->len <= CONTENT_SIZE - segment->used);
    memcpy(segment->bytes + segment->used, bytes->data, bytes->len);
    segment->used += bytes->len;
    pthread_mutex_unlock(&group->recorder->lock);
}

struct trace_group *trace_group_begin(struct trace_recorder *recorder,
                                      const struct group_control_options *options, time_ns at)
{
    struct segment *segment = NULL;
    pthread_mutex_lock(&recorder->lock);
    if (recorder->groups < recorder->segments_max / 2) {
        segment = allocate_segment(recorder, options->group);
        recorder->groups++;
    }
    pthread_mutex_unlock(&recorder->lock);
    if (segment == NULL) {
        g_info("Trace not recorded, no free segment: group=%u.", options->group);
        return NULL;
    }
    struct trace_group *group = g_new0(struct trace_group, 1);
    struct trace_record record;
    group->recorder = recorder;
    group->group = options->group;
    group->segment = segment;
    trace_start_to_record(options, at, &record);
    record.wall_us = (uint64_t)g_get_real_time();
    append(group, &record);
    return group;
}

void trace_group_end(struct trace_group *group)
{
    if (group == NULL) {
        return;
    }
    pthread_mutex_lock(&group->recorder->lock);
    group->segment->ended = true;
    group->recorder->groups--;
    pthread_mutex_unlock(&group->recorder->lock);
    g_free(group);
}

/* Ends the segment and begins the next one with a snapshot of the control's state. */
static void begin_segment(struct trace_group *group, const struct group_control *control,
                          time_ns now)
{
    struct trace_record record;
    trace_record_init(&record);
    record.at = now;
    record.wall_us = (uint64_t)g_get_real_time();
    record.has_snapshot = true;
    record.snapshot.layout = g_strdup(group_control_state_layout());
    record.snapshot.state_length = group_control_state_size();
    record.snapshot.state = g_malloc(group_control_state_size());
    group_control_save(control, record.snapshot.state);
    pthread_mutex_lock(&group->recorder->lock);
    group->segment->ended = true;
    group->segment = allocate_segment(group->recorder, group->group);
    pthread_mutex_unlock(&group->recorder->lock);
    append(group, &record);
}

void trace_group_reserve(struct trace_group *group, const struct group_control *control,
                         time_ns now)
{
    if (group != NULL && group->segment->used > CONTENT_SIZE - RECORD_SIZE_MAX) {
        begin_segment(group, control, now);
    }
}

static void save_commands(struct trace_group *group, const struct group_actions *actions)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        const struct group_action *action = &actions->items[i];
        if (action->command != 0) {
            group->commands[action->command % COMMANDS_MAX] = (struct trace_command){
                .kind = action->kind,
                .database = action->database,
                .term = action->term,
                .id = action->command,
            };
        }
    }
}

/* Returns the command that an answer belongs to. Only the id is set if COMMANDS_MAX or more
 * commands were issued since. */
static struct trace_command command_of(const struct trace_group *group, uint64_t id)
{
    struct trace_command command = group->commands[id % COMMANDS_MAX];
    return command.id == id ? command : (struct trace_command){.id = id};
}

void trace_group_record(struct trace_group *group, const struct group_event *event,
                        const struct group_control *control, const struct group_actions *actions)
{
    if (group == NULL) {
        return;
    }
    struct trace_command command = command_of(group, event->command);
    struct trace_record record;
    trace_event_to_record(event, event->kind == GROUP_EVENT_COMMAND ? &command : NULL, &record);
    record.event.decision = group_control_digest(control, actions);
    append(group, &record);
    save_commands(group, actions);
}

void trace_group_detection(struct trace_group *group, const struct group_control *control,
                           time_ns now, time_ns suspect_after, time_ns unreachable_after)
{
    if (group == NULL) {
        return;
    }
    struct trace_record record;
    trace_group_reserve(group, control, now);
    trace_record_init(&record);
    record.at = now;
    record.has_detection = true;
    record.detection.suspect_after = suspect_after;
    record.detection.unreachable_after = unreachable_after;
    append(group, &record);
}

bool trace_recorder_enabled(const struct trace_recorder *recorder)
{
    return recorder->writes_max > 0;
}

static size_t size_of(const struct kept_write *write)
{
    return write->bytes->len + WRITE_OVERHEAD;
}

void trace_recorder_keep_write(struct trace_recorder *recorder, uint32_t group,
                               const struct trace_record *record)
{
    struct kept_write *write = g_new(struct kept_write, 1);
    write->group = group;
    write->bytes = trace_record_encode(record);
    pthread_mutex_lock(&recorder->lock);
    g_queue_push_tail(&recorder->writes, write);
    recorder->writes_size += size_of(write);
    while (recorder->writes_size > recorder->writes_max) {
        struct kept_write *oldest = g_queue_pop_head(&recorder->writes);
        recorder->writes_size -= size_of(oldest);
        free_write(oldest);
    }
    pthread_mutex_unlock(&recorder->lock);
}

/* Appends the group's writes. Called with the lock held. */
static void copy_writes(const struct trace_recorder *recorder, uint32_t group, GByteArray *copy)
{
    for (GList *link = recorder->writes.head; link != NULL; link = link->next) {
        const struct kept_write *write = link->data;
        if (write->group == group) {
            g_byte_array_append(copy, write->bytes->data, write->bytes->len);
        }
    }
}

GByteArray *trace_recorder_copy(struct trace_recorder *recorder, uint32_t group)
{
    GByteArray *copy = g_byte_array_new();
    pthread_mutex_lock(&recorder->lock);
    for (GList *link = recorder->segments.head; link != NULL; link = link->next) {
        const struct segment *segment = link->data;
        if (segment->group == group) {
            g_byte_array_append(copy, segment->bytes, (guint)segment->used);
        }
    }
    copy_writes(recorder, group, copy);
    pthread_mutex_unlock(&recorder->lock);
    return copy;
}
