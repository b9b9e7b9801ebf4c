/* Bytes on their way in or out of a connection: appended at the end, consumed at the start. An
 * empty buffer holds no memory, so that idle sessions cost little. Owned by one thread. */
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

/* A stretch of bytes that belongs to somebody else. */
struct span {
    const char *data;
    size_t length;
};

/* The span of a text that ends with NUL. */
struct span span_of(const char *text);

/* True if the span holds exactly this text. */
bool span_equals(struct span span, const char *text);

/* A copy that ends with NUL; the caller frees it by g_free. */
char *span_copy(struct span span);

/* Frees what the buffer holds and leaves it empty. */
void buffer_clear(struct buffer *buffer);

size_t buffer_length(const struct buffer *buffer);

/* What the buffer holds; valid until the next change. */
struct span buffer_content(const struct buffer *buffer);

/* Drops bytes at the start; the memory is freed with the last one. */
void buffer_consume(struct buffer *buffer, size_t length);

/* Room for at least `length` bytes behind the end. */
char *buffer_reserve(struct buffer *buffer, size_t length);

/* Takes over bytes that were written into reserved room. */
void buffer_commit(struct buffer *buffer, size_t length);

void buffer_append(struct buffer *buffer, const void *data, size_t length);
void buffer_append_text(struct buffer *buffer, const char *text);
void buffer_append_format(struct buffer *buffer, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* What came of one system call. */
enum transfer {
    TRANSFER_DONE,    /* all was sent, or some bytes came */
    TRANSFER_BLOCKED, /* the socket takes or has no more at the moment */
    TRANSFER_ENDED,   /* the other side closed, or the connection broke */
};

/* Reads once from a socket that does not block. */
enum transfer buffer_receive(struct buffer *buffer, int socket);

/* Sends as much as the socket takes. */
enum transfer buffer_send(struct buffer *buffer, int socket);

#endif
