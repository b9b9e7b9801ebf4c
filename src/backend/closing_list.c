#include "backend/closing_list.h"

#include <glib/gstdio.h>

void closing_list_init(struct closing_list *list)
{
    list->items = g_array_new(FALSE, FALSE, sizeof(struct closing_entry));
}

/* Closed with GLib's function, because ThreadSanitizer does not see libpq closing its descriptors
 * either: with close() it would report a reused descriptor number as one shared by two threads. */
static void close_socket(const struct closing_entry *entry)
{
    if (entry->socket_fd >= 0) {
        g_close(entry->socket_fd, NULL);
    }
}

void closing_list_clear(struct closing_list *list)
{
    for (guint i = 0; i < list->items->len; i++) {
        close_socket(&g_array_index(list->items, struct closing_entry, i));
    }
    g_array_unref(list->items);
}

void closing_list_add(struct closing_list *list, struct backend_connection *connection, int cause,
                      time_ns until)
{
    struct closing_entry entry = {.until = until, .number = connection->number, .cause = cause};
    entry.socket_fd = backend_connection_close_watched(connection);
    g_array_append_val(list->items, entry);
}

bool closing_list_take_closed(struct closing_list *list, time_ns now, struct closing_entry *ended)
{
    for (guint i = 0; i < list->items->len; i++) {
        *ended = g_array_index(list->items, struct closing_entry, i);
        bool over = ended->socket_fd < 0 || backend_connection_has_ended(ended->socket_fd) ||
                    (now >= ended->until && !backend_connection_close_is_acked(ended->socket_fd));
        if (over) {
            close_socket(ended);
            g_array_remove_index_fast(list->items, i);
            return true;
        }
    }
    return false;
}

uint32_t closing_list_count(const struct closing_list *list)
{
    return list->items->len;
}
