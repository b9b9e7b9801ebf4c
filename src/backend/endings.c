#include "backend/endings.h"

#include <glib/gstdio.h>

void endings_init(struct endings *endings)
{
    endings->items = g_array_new(FALSE, FALSE, sizeof(struct ending));
}

/* By GLib, as libpq's closing of descriptors is hidden from ThreadSanitizer too: it would take a
 * number that was used again for one that two threads share. */
static void close_socket(const struct ending *ending)
{
    if (ending->socket_fd >= 0) {
        g_close(ending->socket_fd, NULL);
    }
}

void endings_clear(struct endings *endings)
{
    for (guint i = 0; i < endings->items->len; i++) {
        close_socket(&g_array_index(endings->items, struct ending, i));
    }
    g_array_unref(endings->items);
}

void endings_add(struct endings *endings, struct backend_connection *connection, int cause,
                 time_ns until)
{
    struct ending ending = {.until = until, .number = connection->number, .cause = cause};
    ending.socket_fd = backend_connection_close_watched(connection);
    g_array_append_val(endings->items, ending);
}

bool endings_take(struct endings *endings, time_ns now, struct ending *ended)
{
    for (guint i = 0; i < endings->items->len; i++) {
        *ended = g_array_index(endings->items, struct ending, i);
        bool over = ended->socket_fd < 0 || backend_connection_has_ended(ended->socket_fd) ||
                    (now >= ended->until && !backend_connection_end_is_awaited(ended->socket_fd));
        if (over) {
            close_socket(ended);
            g_array_remove_index_fast(endings->items, i);
            return true;
        }
    }
    return false;
}

uint32_t endings_count(const struct endings *endings)
{
    return endings->items->len;
}
