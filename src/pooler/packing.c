/* Compressed contents of rows; see the header. */
#include "pooler/packing.h"

#include "core/error.h"
#include "generated/errors.h"

#include <zlib.h>

/* Of zlib's levels, the fastest: a machine of a tenth of a core packs 50 KB in some 5 ms, and texts
 * that repeat themselves gain little from higher ones. */
#define LEVEL 1

GBytes *
packing_pack(GBytes *content)
{
    gsize length = 0;
    const Bytef *data = g_bytes_get_data(content, &length);
    uLongf size = compressBound((uLong)length);
    g_autofree Bytef *packed = g_malloc(size);
    int status = compress2(packed, &size, data, (uLong)length, LEVEL);
    if (status != Z_OK || size >= length) {
        return NULL;
    }
    return g_bytes_new(packed, size);
}

GBytes *
packing_unpack(const void *data, gsize size, gsize length, GError **error)
{
    uLongf unpacked = (uLongf)length;
    if (length > PACKING_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "packed content of %zu bytes", length);
        return NULL;
    }
    g_autofree Bytef *content = g_malloc(MAX(length, 1));
    int status = uncompress(content, &unpacked, data, (uLong)size);
    if (status != Z_OK || unpacked != length) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "packed content is broken: %s",
                    zError(status));
        return NULL;
    }
    return g_bytes_new_take(g_steal_pointer(&content), length);
}
