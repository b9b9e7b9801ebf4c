/* The log writer; see the header. */
#include "pooler/shared/log.h"

#include <glib.h>
#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

/* Warnings and errors may use this many times the budget, so that lines of lower levels are dropped
 * first. */
#define SEVERE_FACTOR 4

struct log_state {
    pthread_mutex_t lock; /* guards the fields below and the writing of a line */
    gint64 second;
    uint32_t written;
    uint32_t left_out;
    uint32_t budget;
};

static struct log_state state = {.lock = PTHREAD_MUTEX_INITIALIZER};
static _Atomic uint64_t left_out_total;

uint64_t
pooler_log_left_out(void)
{
    return atomic_load(&left_out_total);
}

static const char *
level_name(GLogLevelFlags level)
{
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) {
        return "error";
    }
    if (level & G_LOG_LEVEL_WARNING) {
        return "warning";
    }
    return level & G_LOG_LEVEL_DEBUG ? "debug" : "info";
}

/* True if the budget of this second allows another line. Called with the lock held. */
static bool
consume_budget(bool severe, uint32_t *left_out_before)
{
    gint64 second = g_get_monotonic_time() / G_USEC_PER_SEC;
    *left_out_before = 0;
    if (second != state.second) {
        *left_out_before = state.left_out;
        state.second = second;
        state.written = 0;
        state.left_out = 0;
    }
    uint32_t budget = severe ? state.budget * SEVERE_FACTOR : state.budget;
    if (state.written >= budget) {
        state.left_out++;
        atomic_fetch_add(&left_out_total, 1);
        return false;
    }
    state.written++;
    return true;
}

/* True if a line can be written without blocking: a pipe that polls writable takes PIPE_BUF bytes.
 */
static bool
can_write_line(size_t length)
{
    struct pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    return length <= PIPE_BUF && poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/* Writes a line, or drops it if the write would block: a blocked worker would stop serving, and a
 * blocked control thread would stop following the store. Called with the lock held, so that no
 * other thread fills the pipe between the check and the write. */
static void
write_text(const char *text)
{
    size_t length = strlen(text);
    if (!can_write_line(length) || write(STDOUT_FILENO, text, length) < 0) {
        atomic_fetch_add(&left_out_total, 1);
    }
}

static void
add_field(json_t *line, const GLogField *field)
{
    if (strcmp(field->key, "GLIB_DOMAIN") == 0) {
        json_object_set_new(line, "part", json_string(field->value));
    } else if (strcmp(field->key, "MESSAGE") == 0) {
        json_object_set_new(line, "message", json_string(field->value));
    } else if (g_str_has_prefix(field->key, "SW_")) {
        g_autofree char *name = g_ascii_strdown(field->key + 3, -1);
        json_object_set_new(line, name, json_string(field->value));
    }
}

static void
write_line(GLogLevelFlags level, const GLogField *fields, gsize count, uint32_t left_out)
{
    json_t *line = json_object();
    json_object_set_new(line, "time", json_real((double)g_get_real_time() / G_USEC_PER_SEC));
    json_object_set_new(line, "steady", json_real((double)g_get_monotonic_time() / G_USEC_PER_SEC));
    json_object_set_new(line, "level", json_string(level_name(level)));
    for (gsize i = 0; i < count; i++) {
        add_field(line, &fields[i]);
    }
    if (left_out > 0) {
        json_object_set_new(line, "left_out", json_integer(left_out));
    }
    char *text = json_dumps(line, JSON_COMPACT | JSON_PRESERVE_ORDER | JSON_REAL_PRECISION(15));
    json_decref(line);
    if (text == NULL) {
        return;
    }
    g_autofree char *ended = g_strconcat(text, "\n", NULL);
    free(text);
    pthread_mutex_lock(&state.lock);
    write_text(ended);
    pthread_mutex_unlock(&state.lock);
}

static GLogWriterOutput
write_log(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer unused)
{
    bool severe = level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING);
    uint32_t left_out = 0;
    pthread_mutex_lock(&state.lock);
    bool wanted = consume_budget(severe, &left_out);
    pthread_mutex_unlock(&state.lock);
    if (wanted) {
        write_line(level, fields, count, left_out);
    }
    return G_LOG_WRITER_HANDLED;
}

void
pooler_log_start(uint32_t lines_per_second)
{
    state.budget = lines_per_second;
    g_log_set_writer_func(write_log, NULL, NULL);
}
