/* Merging of traces. */
#include "sim/trace_merge.h"

#include <errno.h>
#include <stdio.h>

#include "core/types.h"
#include "trace/trace_file.h"

/* One daemon's trace, and how far it is written. */
struct source {
    GPtrArray *records; /* of struct trace_record */
    guint next;
    time_ns to_wall; /* added to the daemon's own clock, it tells the wall clock */
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

static bool read_source(const char *path, struct source *source, GError **error)
{
    const struct trace_record *first;

    *source = (struct source){.records = trace_read(path, error)};
    if (source->records == NULL) {
        return false;
    }
    first = next_record(source);
    if (first != NULL && first->wall_us != 0) {
        source->to_wall = first->wall_us * NANOSECONDS_PER_MICROSECOND - first->at;
    }
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

        if (record != NULL && record->at + source->to_wall < earliest_at) {
            earliest = i;
            earliest_at = record->at + source->to_wall;
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

        record->daemon = i;
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
        struct source source;

        if (!read_source(traces[i], &source, error)) {
            return false;
        }
        g_array_append_val(sources, source);
    }
    return write_file(path, sources, error);
}
