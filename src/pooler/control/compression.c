/* Compression of rows and messages; see the header. */
#include "pooler/control/compression.h"

#include "core/error.h"
#include "generated/errors.h"

#include <zlib.h>

/* The fastest level of zlib: a machine with a tenth of a core compresses 50 KB in about 5 ms, and
 * repetitive texts gain little from higher levels. */
#define LEVEL 1

GBytes *
compression_compress(GBytes *content)
{
    gsize length = 0;
    const Bytef *data = g_bytes_get_data(content, &length);
    uLongf size = compressBound((uLong)length);
    Bytef *compressed = g_malloc(size);
    int status = compress2(compressed, &size, data, (uLong)length, LEVEL);
    GBytes *out = status == Z_OK && size < length ? g_bytes_new(compressed, size) : NULL;
    g_free(compressed);
    return out;
}

GBytes *
compression_decompress(const void *data, gsize size, gsize length, GError **error)
{
    uLongf decompressed = (uLongf)length;
    if (length > COMPRESSION_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                    "compressed content declares %zu bytes, above the limit", length);
        return NULL;
    }
    Bytef *content = g_malloc(MAX(length, 1));
    int status = uncompress(content, &decompressed, data, (uLong)size);
    if (status != Z_OK || decompressed != length) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "compressed content is corrupt: %s",
                    status == Z_OK ? "wrong length" : zError(status));
        g_free(content);
        return NULL;
    }
    return g_bytes_new_take(content, length);
}
