/* Input or output buffer of a connection: bytes are appended at the end and consumed at the start.
 * An empty buffer holds no memory, so that idle sessions use little. Owned by one thread. */
#ifndef SW_POOLER_BUFFER_H
#define SW_POOLER_BUFFER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct buffer {
    char *data; /* NULL while empty */
    size_t start;
    size_t end;
    size_t capacity;
};

/* A range of bytes that the span does not own. */
struct span {
    const char *data;
    size_t length;
};

/* The span of a NUL-terminated text. */
struct span span_of(const char *text);

/* True if the span holds exactly this text. */
bool span_equals(struct span span, const char *text);

/* A NUL-terminated copy. Freed by the caller with g_free(). */
char *span_copy(struct span span);

/* Frees the content and leaves the buffer empty. */
void buffer_clear(struct buffer *buffer);

size_t buffer_length(const struct buffer *buffer);

/* The buffered bytes; valid until the next change. */
struct span buffer_content(const struct buffer *buffer);

/* Removes bytes at the start. The memory is freed when the buffer becomes empty. */
void buffer_consume(struct buffer *buffer, size_t length);

/* Reserves space for at least `length` bytes after the end, and returns its address. */
char *buffer_reserve(struct buffer *buffer, size_t length);

/* Appends bytes that were written into reserved space. */
void buffer_commit(struct buffer *buffer, size_t length);

void buffer_append(struct buffer *buffer, const void *data, size_t length);
void buffer_append_text(struct buffer *buffer, const char *text);
void buffer_append_format(struct buffer *buffer, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Result of sending or receiving. */
enum transfer {
    TRANSFER_DONE,    /* everything was sent, or some bytes were received */
    TRANSFER_BLOCKED, /* the call would block */
    TRANSFER_ENDED,   /* the peer closed the connection, or it broke */
};

/* Reads once from a non-blocking socket. */
enum transfer buffer_receive(struct buffer *buffer, int socket);

/* Sends until the buffer is empty or the socket would block. */
enum transfer buffer_send(struct buffer *buffer, int socket);

#endif
