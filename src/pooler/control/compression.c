/* Compressed contents of rows; see the header. */
#include "pooler/control/compression.h"

#include "core/error.h"
#include "generated/errors.h"

#include <zlib.h>

/* Of zlib's levels, the fastest: a machine of a tenth of a core packs 50 KB in some 5 ms, and texts
 * that repeat themselves gain little from higher ones. */
#define LEVEL 1

GBytes *
compression_compress(GBytes *content)
{
    gsize length = 0;
    const Bytef *data = g_bytes_get_data(content, &length);
    uLongf size = compressBound((uLong)length);
    Bytef *packed = g_malloc(size);
    int status = compress2(packed, &size, data, (uLong)length, LEVEL);
    GBytes *out = status == Z_OK && size < length ? g_bytes_new(packed, size) : NULL;
    g_free(packed);
    return out;
}

GBytes *
compression_decompress(const void *data, gsize size, gsize length, GError **error)
{
    uLongf unpacked = (uLongf)length;
    if (length > COMPRESSION_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "packed content of %zu bytes", length);
        return NULL;
    }
    Bytef *content = g_malloc(MAX(length, 1));
    int status = uncompress(content, &unpacked, data, (uLong)size);
    if (status != Z_OK || unpacked != length) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "packed content is broken: %s",
                    status == Z_OK ? "another length" : zError(status));
        g_free(content);
        return NULL;
    }
    return g_bytes_new_take(content, length);
}
