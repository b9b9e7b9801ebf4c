/* Compression by GIO's zlib converters; see the header. */
#include "daemon/configuration_content.h"

#include <gio/gio.h>
#include <string.h>

#include "configuration/configuration.h"

/* Output buffer of one conversion step, in bytes. */
#define CONVERSION_STEP 65536

/* zlib's default level, a balance between time and size. */
#define COMPRESSION_LEVEL 6

/* Hexadecimal digits of the hash in a mark. */
#define MARK_DIGITS 16

struct configuration_mark configuration_mark_of(uint64_t version, const char *hash)
{
    struct configuration_mark mark = {.version = version};
    if (strlen(hash) == CONFIGURATION_HASH_LENGTH) {
        char digits[MARK_DIGITS + 1];
        g_strlcpy(digits, hash, sizeof(digits));
        mark.hash = g_ascii_strtoull(digits, NULL, 16);
    }
    return mark;
}

/* Runs a converter over all bytes; NULL if it fails or its output would exceed `most` bytes. */
static GBytes *convert(GConverter *converter, const uint8_t *bytes, gsize length, gsize most)
{
    g_autoptr(GByteArray) out = g_byte_array_new();
    g_autofree uint8_t *step = g_malloc(CONVERSION_STEP);
    GConverterResult result = G_CONVERTER_CONVERTED;
    gsize used = 0;
    while (result != G_CONVERTER_FINISHED) {
        gsize read = 0;
        gsize written = 0;
        result = g_converter_convert(converter, bytes + used, length - used, step, CONVERSION_STEP,
                                     G_CONVERTER_INPUT_AT_END, &read, &written, NULL);
        if (result == G_CONVERTER_ERROR || out->len + written > most) {
            return NULL;
        }
        used += read;
        g_byte_array_append(out, step, (guint)written);
    }
    return g_byte_array_free_to_bytes(g_steal_pointer(&out));
}

GBytes *configuration_compress(GBytes *content)
{
    gsize length = 0;
    const uint8_t *bytes = g_bytes_get_data(content, &length);
    g_autoptr(GZlibCompressor) compressor =
        g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, COMPRESSION_LEVEL);
    return convert(G_CONVERTER(compressor), bytes, length, G_MAXUINT);
}

GBytes *configuration_decompress(const uint8_t *bytes, gsize length)
{
    g_autoptr(GZlibDecompressor) decompressor =
        g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
    if (length == 0) {
        return NULL;
    }
    return convert(G_CONVERTER(decompressor), bytes, length, CONFIGURATION_BYTES_MAX);
}
