/**
 * @file
 * @brief Compression of rows and messages. Operators' configurations are repetitive texts that are
 * sent to hundreds of poolers; compressed they are a fraction of their size.
 */
#ifndef SW_POOLER_COMPRESSION_H
#define SW_POOLER_COMPRESSION_H

#include <glib.h>
#include <stddef.h>

/** @brief Contents below this many bytes are not compressed, as little would be saved. */
#define COMPRESSION_MIN 512

/** @brief Longest content that is decompressed, in bytes: the platform's limit for a row or object,
 * with a margin. */
#define COMPRESSION_MAX ((gsize)16 * 1024 * 1024)

/** @return the compressed content; NULL if it would not be smaller. */
GBytes *compression_compress(GBytes *content);

/** @param length of the content before compression.
 * @return the content; NULL with `error` (SW_ERROR, ERROR_KIND_BAD_REQUEST) if the data is corrupt
 * or the length is wrong. */
GBytes *compression_decompress(const void *data, gsize size, gsize length, GError **error);

#endif
