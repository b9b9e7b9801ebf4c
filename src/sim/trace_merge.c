/* Merging of traces. */
#include "sim/trace_merge.h"

#include <errno.h>
#include <stdio.h>

#include "core/types.h"
#include "trace/trace_file.h"

/* The records of one daemon's control, or of its writes, which follow them in the trace; and how
 * many are written. */
struct source {
    uint32_t daemon;
    GPtrArray *records; /* of struct trace_record */
    guint next;
    time_ns wall_offset; /* offset from the daemon's clock to the wall clock */
};

static void clear_source(gpointer data)
{
    g_ptr_array_unref(((struct source *)data)->records);
}

static struct trace_record *next_record(const struct source *source)
{
    return source->next < source->records->len ? g_ptr_array_index(source->records, source->next)
                                               : NULL;
}

static void free_record(gpointer data)
{
    trace_record_clear(data);
    g_free(data);
}

/* Moves the writes out of `records`. */
static GPtrArray *take_writes(GPtrArray *records)
{
    GPtrArray *writes = g_ptr_array_new_with_free_func(free_record);

    for (guint i = records->len; i > 0; i--) {
        if (((struct trace_record *)g_ptr_array_index(records, i - 1))->has_write) {
            g_ptr_array_insert(writes, 0, g_ptr_array_steal_index(records, i - 1));
        }
    }
    return writes;
}

/* The offset from a daemon's clock to the wall clock. */
static time_ns wall_offset_of(const GPtrArray *records)
{
    const struct trace_record *first = records->len > 0 ? g_ptr_array_index(records, 0) : NULL;

    if (first == NULL || first->wall_us == 0) {
        return 0;
    }
    return first->wall_us * NANOSECONDS_PER_MICROSECOND - first->at;
}

static void add_source(GArray *sources, uint32_t daemon, GPtrArray *records, time_ns wall_offset)
{
    const struct source source = {.daemon = daemon, .records = records, .wall_offset = wall_offset};

    g_array_append_val(sources, source);
}

/* Reads the records of one daemon's trace. */
static bool read_trace(GArray *sources, uint32_t daemon, const char *path, GError **error)
{
    GPtrArray *records = trace_read(path, error);

    if (records == NULL) {
        return false;
    }
    time_ns wall_offset = wall_offset_of(records);
    add_source(sources, daemon, take_writes(records), wall_offset);
    add_source(sources, daemon, records, wall_offset);
    return true;
}

/* Index of the source whose next record is the earliest; the number of sources if all are written.
 */
static guint find_earliest(GArray *sources)
{
    guint earliest = sources->len;
    time_ns earliest_at = UINT64_MAX;

    for (guint i = 0; i < sources->len; i++) {
        const struct source *source = &g_array_index(sources, struct source, i);
        const struct trace_record *record = next_record(source);

        if (record != NULL && record->at + source->wall_offset < earliest_at) {
            earliest = i;
            earliest_at = record->at + source->wall_offset;
        }
    }
    return earliest;
}

static bool write_all(FILE *file, GArray *sources)
{
    bool written = true;

    for (guint i = find_earliest(sources); i < sources->len; i = find_earliest(sources)) {
        struct source *source = &g_array_index(sources, struct source, i);
        struct trace_record *record = next_record(source);

        record->daemon = source->daemon;
        written = trace_write(file, record) && written;
        source->next += 1;
    }
    return written;
}

static bool write_file(const char *path, GArray *sources, GError **error)
{
    FILE *file = fopen(path, "wb");
    bool written = file != NULL && write_all(file, sources);

    if (file != NULL) {
        written = fclose(file) == 0 && written;
    }
    if (!written) {
        g_set_error(error, G_FILE_ERROR, (gint)g_file_error_from_errno(errno), "%s: %s", path,
                    g_strerror(errno));
    }
    return written;
}

bool trace_merge(const char *path, const char *const *traces, GError **error)
{
    g_autoptr(GArray) sources = g_array_new(FALSE, FALSE, sizeof(struct source));

    g_array_set_clear_func(sources, clear_source);
    for (guint i = 0; traces[i] != NULL; i++) {
        if (!read_trace(sources, i, traces[i], error)) {
            return false;
        }
    }
    return write_file(path, sources, error);
}
