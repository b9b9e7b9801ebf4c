/* The log's writer; see the header. */
#include "daemon/log.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

/* A line equal to the previous one is written again only after this time, with the number of
 * repetitions. */
#define REPEAT_PERIOD_US (10 * G_USEC_PER_SEC)

struct log_state {
    pthread_mutex_t lock; /* guards all below */
    enum log_format format;
    char *last_line;
    gint64 last_written_us;
    guint repeated;
};

static struct log_state state = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* Log domains of the daemon's files, in alphabetical order. */
static const char *const parts[] = {
    "admin",  "budget",  "configuration", "control",  "daemon",
    "ledger", "members", "owners",        "requests",
};

/* Read without the lock, so that a line below its part's level takes no lock. */
static _Atomic int levels[G_N_ELEMENTS(parts)];
static _Atomic int other_level; /* for lines of libraries */

static enum log_level level_of(GLogLevelFlags flags)
{
    if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) {
        return LOG_LEVEL_ERROR;
    }
    if (flags & G_LOG_LEVEL_WARNING) {
        return LOG_LEVEL_WARNING;
    }
    if (flags & G_LOG_LEVEL_MESSAGE) {
        return LOG_LEVEL_MESSAGE;
    }
    return flags & G_LOG_LEVEL_INFO ? LOG_LEVEL_INFO : LOG_LEVEL_DEBUG;
}

static const char *field_of(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return NULL;
}

static const char *const level_names[] = {"error", "warning", "message", "info", "debug"};

const char *log_level_name(enum log_level level)
{
    return level_names[level];
}

bool log_level_from_name(const char *name, enum log_level *level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(level_names[i], name) == 0) {
            *level = (enum log_level)i;
            return true;
        }
    }
    return false;
}

/* Index of the part, or -1. */
static int find_part(const char *part)
{
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        if (strcmp(parts[i], part) == 0) {
            return (int)i;
        }
    }
    return -1;
}

bool log_is_enabled(const char *part, enum log_level level)
{
    int index = find_part(part);
    int highest =
        atomic_load_explicit(index >= 0 ? &levels[index] : &other_level, memory_order_relaxed);
    return (int)level <= highest;
}

/* True if the line is to be written; otherwise counts it. Called with the lock held. */
static bool is_new(const char *line, gint64 now_us)
{
    bool same = state.last_line != NULL && strcmp(state.last_line, line) == 0;
    if (same && now_us - state.last_written_us < REPEAT_PERIOD_US) {
        state.repeated++;
        return false;
    }
    g_free(state.last_line);
    state.last_line = g_strdup(line);
    state.last_written_us = now_us;
    return true;
}

static void write_json(const char *time, const char *part, enum log_level level, const char *text)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "time");
    json_builder_add_string_value(builder, time);
    json_builder_set_member_name(builder, "level");
    json_builder_add_string_value(builder, log_level_name(level));
    json_builder_set_member_name(builder, "part");
    json_builder_add_string_value(builder, part);
    json_builder_set_member_name(builder, "message");
    json_builder_add_string_value(builder, text);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    g_autofree char *line = json_to_string(root, FALSE);
    fprintf(stderr, "%s\n", line);
}

static void write_line(const char *part, enum log_level level, const char *text)
{
    g_autoptr(GDateTime) now = g_date_time_new_now_utc();
    g_autofree char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
    time[23] = '\0'; /* milliseconds */
    g_autofree char *stamp = g_strconcat(time, "Z", NULL);
    if (state.format == LOG_FORMAT_JSON) {
        write_json(stamp, part, level, text);
        return;
    }
    fprintf(stderr, "%s %s: %s\n", stamp, part, text);
}

/* Called with the lock held. */
static void write_unless_repeated(GLogLevelFlags flags, const GLogField *fields, gsize count,
                                  const char *part, const char *text)
{
    guint repeated = state.repeated;
    if (!is_new(text, g_get_monotonic_time())) {
        return;
    }
    if (repeated > 0) {
        g_autofree char *note = g_strdup_printf("(last message repeated %u times)", repeated);
        write_line("log", LOG_LEVEL_MESSAGE, note);
        state.repeated = 0;
    }
    if (state.format == LOG_FORMAT_JOURNALD) {
        g_log_writer_journald(flags, fields, count, NULL);
    } else {
        write_line(part, level_of(flags), text);
    }
}

static GLogWriterOutput write_log(GLogLevelFlags flags, const GLogField *fields, gsize count,
                                  gpointer unused)
{
    const char *part = field_of(fields, count, "GLIB_DOMAIN");
    const char *text = field_of(fields, count, "MESSAGE");
    if (part == NULL) {
        part = "daemon";
    }
    if (text == NULL || !log_is_enabled(part, level_of(flags))) {
        return G_LOG_WRITER_HANDLED;
    }
    pthread_mutex_lock(&state.lock);
    write_unless_repeated(flags, fields, count, part, text);
    pthread_mutex_unlock(&state.lock);
    return G_LOG_WRITER_HANDLED;
}

void log_start(enum log_format format, enum log_level level)
{
    state.format = format;
    log_set_level(NULL, level);
    g_log_set_writer_func(write_log, NULL, NULL);
}

bool log_set_level(const char *part, enum log_level level)
{
    if (part != NULL) {
        int index = find_part(part);
        if (index >= 0) {
            atomic_store(&levels[index], (int)level);
        }
        return index >= 0;
    }
    atomic_store(&other_level, (int)level);
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        atomic_store(&levels[i], (int)level);
    }
    return true;
}

const char *log_part(size_t index)
{
    return index < G_N_ELEMENTS(parts) ? parts[index] : NULL;
}

enum log_level log_level_of(const char *part)
{
    int index = find_part(part);
    return (enum log_level)atomic_load(index >= 0 ? &levels[index] : &other_level);
}
