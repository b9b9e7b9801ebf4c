/**
 * @file
 * @brief Compressed contents of rows. Operators' configurations are texts that repeat themselves,
 * and are passed on to hundreds of poolers: what travels is a fraction of their size.
 */
#ifndef SW_POOLER_COMPRESSION_H
#define SW_POOLER_COMPRESSION_H

#include <glib.h>
#include <stddef.h>

/** @brief Contents are packed from this size on, in bytes: below, little is saved. */
#define COMPRESSION_MIN 512

/** @brief Longest content that is unpacked, in bytes: what the platform takes for a row or object,
 *  and some capacity. */
#define COMPRESSION_MAX ((gsize)16 * 1024 * 1024)

/** @return the packed content; NULL if it would not be smaller. */
GBytes *compression_compress(GBytes *content);

/** @param length of the content before it was packed.
 *  @return the content; NULL with `error` (SW_ERROR, ERROR_KIND_BAD_REQUEST) if it is none of ours.
 */
GBytes *compression_decompress(const void *data, gsize size, gsize length, GError **error);

#endif
