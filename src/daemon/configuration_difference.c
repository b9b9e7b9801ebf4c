/* Differences by common prefix and suffix; see the header. */
#include "daemon/configuration_difference.h"

#include "daemon/configuration_content.h"

static gsize common_start(const uint8_t *left, const uint8_t *right, gsize most)
{
    gsize length = 0;
    while (length < most && left[length] == right[length]) {
        length++;
    }
    return length;
}

/* `left` and `right` point behind the last byte. */
static gsize common_end(const uint8_t *left, const uint8_t *right, gsize most)
{
    gsize length = 0;
    while (length < most && left[-(gssize)length - 1] == right[-(gssize)length - 1]) {
        length++;
    }
    return length;
}

void configuration_difference_make(GBytes *before, GBytes *after,
                                   struct configuration_difference *difference)
{
    gsize before_length = 0;
    gsize after_length = 0;
    const uint8_t *left = g_bytes_get_data(before, &before_length);
    const uint8_t *right = g_bytes_get_data(after, &after_length);
    gsize most = MIN(before_length, after_length);
    gsize start = common_start(left, right, most);
    gsize end = common_end(left + before_length, right + after_length, most - start);
    g_autoptr(GBytes) between = g_bytes_new_from_bytes(after, start, after_length - start - end);
    difference->keep_start = (uint32_t)start;
    difference->keep_end = (uint32_t)end;
    difference->between = configuration_compress(between);
}

GBytes *configuration_difference_apply(GBytes *before,
                                       const struct configuration_difference *difference)
{
    gsize before_length = 0;
    gsize packed_length = 0;
    const uint8_t *bytes = g_bytes_get_data(before, &before_length);
    const uint8_t *packed = g_bytes_get_data(difference->between, &packed_length);
    gsize kept = (gsize)difference->keep_start + difference->keep_end;
    g_autoptr(GBytes) between = configuration_decompress(packed, packed_length);
    if (between == NULL || kept > before_length) {
        return NULL;
    }
    GByteArray *content = g_byte_array_sized_new((guint)(kept + g_bytes_get_size(between)));
    g_byte_array_append(content, bytes, difference->keep_start);
    g_byte_array_append(content, g_bytes_get_data(between, NULL), (guint)g_bytes_get_size(between));
    g_byte_array_append(content, bytes + before_length - difference->keep_end,
                        difference->keep_end);
    return g_byte_array_free_to_bytes(content);
}

void configuration_difference_clear(struct configuration_difference *difference)
{
    g_clear_pointer(&difference->between, g_bytes_unref);
}
