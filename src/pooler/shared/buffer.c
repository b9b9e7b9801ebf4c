/* Buffers of connections; see the header. */
#include "pooler/shared/buffer.h"

#include <errno.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>

#define CAPACITY_MIN 512   /* smallest allocation, bytes */
#define RECEIVE_SIZE 16384 /* largest read, bytes */

struct span
span_of(const char *text)
{
    return (struct span){text, strlen(text)};
}

bool
span_equals(struct span span, const char *text)
{
    size_t length = strlen(text);
    return span.length == length && memcmp(span.data, text, length) == 0;
}

char *
span_copy(struct span span)
{
    return g_strndup(span.data, span.length);
}

void
buffer_clear(struct buffer *buffer)
{
    g_free(buffer->data);
    *buffer = (struct buffer){0};
}

size_t
buffer_length(const struct buffer *buffer)
{
    return buffer->end - buffer->start;
}

struct span
buffer_content(const struct buffer *buffer)
{
    if (buffer->data == NULL) {
        return (struct span){"", 0};
    }
    return (struct span){buffer->data + buffer->start, buffer_length(buffer)};
}

void
buffer_consume(struct buffer *buffer, size_t length)
{
    buffer->start += length;
    if (buffer->start >= buffer->end) {
        buffer_clear(buffer);
    }
}

char *
buffer_reserve(struct buffer *buffer, size_t length)
{
    if (buffer->capacity - buffer->end >= length && buffer->data != NULL) {
        return buffer->data + buffer->end;
    }
    size_t length_before = buffer_length(buffer);
    size_t capacity = MAX(CAPACITY_MIN, buffer->capacity);
    while (capacity < length_before + length) {
        capacity *= 2;
    }
    char *data = g_malloc(capacity);
    if (length_before > 0 && buffer->data != NULL) {
        memcpy(data, buffer->data + buffer->start, length_before);
    }
    g_free(buffer->data);
    *buffer = (struct buffer){.data = data, .end = length_before, .capacity = capacity};
    return data + length_before;
}

void
buffer_commit(struct buffer *buffer, size_t length)
{
    buffer->end += length;
}

void
buffer_append(struct buffer *buffer, const void *data, size_t length)
{
    if (length == 0) {
        return;
    }
    memcpy(buffer_reserve(buffer, length), data, length);
    buffer_commit(buffer, length);
}

void
buffer_append_text(struct buffer *buffer, const char *text)
{
    buffer_append(buffer, text, strlen(text));
}

void
buffer_append_format(struct buffer *buffer, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    buffer_append_text(buffer, text);
}

static bool
is_temporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

enum transfer
buffer_receive(struct buffer *buffer, int socket)
{
    char chunk[RECEIVE_SIZE];
    ssize_t count = recv(socket, chunk, sizeof chunk, 0);
    if (count > 0) {
        buffer_append(buffer, chunk, (size_t)count);
        return TRANSFER_DONE;
    }
    return count < 0 && is_temporary(errno) ? TRANSFER_BLOCKED : TRANSFER_ENDED;
}

enum transfer
buffer_send(struct buffer *buffer, int socket)
{
    while (buffer_length(buffer) > 0) {
        struct span content = buffer_content(buffer);
        ssize_t count = send(socket, content.data, content.length, MSG_NOSIGNAL);
        if (count < 0) {
            return is_temporary(errno) ? TRANSFER_BLOCKED : TRANSFER_ENDED;
        }
        buffer_consume(buffer, (size_t)count);
    }
    return TRANSFER_DONE;
}
