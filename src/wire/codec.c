/* Bounded decoding and building of CBOR items. Input is scanned for depth and lengths before
 * libcbor builds its tree, so that a short malicious input can't cause a large allocation or deep
 * recursion. */
#include "wire/codec.h"

#include "core/error.h"
#include "generated/errors.h"

#include <string.h>

/* State of the scan of an encoded message: the number of items that each open container still
 * expects. */
struct scan {
    uint64_t remaining[CODEC_DEPTH_MAX];
    size_t depth;
    size_t bytes_left; /* limit for declared counts, since every item takes at least one byte */
    const char *fault;
};

void codec_set_error(GError **error, const char *field, const char *reason)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "%s: %s", field, reason);
}

static cbor_item_t *require_item(cbor_item_t *item)
{
    if (item == NULL) {
        g_error("codec: out of memory");
    }
    return item;
}

cbor_item_t *codec_build_map(size_t fields)
{
    return require_item(cbor_new_definite_map(fields));
}

cbor_item_t *codec_build_array(size_t count)
{
    return require_item(cbor_new_definite_array(count));
}

cbor_item_t *codec_build_u64(uint64_t value)
{
    if (value <= UINT8_MAX) {
        return require_item(cbor_build_uint8((uint8_t)value));
    }
    if (value <= UINT16_MAX) {
        return require_item(cbor_build_uint16((uint16_t)value));
    }
    if (value <= UINT32_MAX) {
        return require_item(cbor_build_uint32((uint32_t)value));
    }
    return require_item(cbor_build_uint64(value));
}

cbor_item_t *codec_build_i64(int64_t value)
{
    if (value >= 0) {
        return codec_build_u64((uint64_t)value);
    }
    cbor_item_t *item = codec_build_u64((uint64_t)(-1 - value));
    cbor_mark_negint(item);
    return item;
}

cbor_item_t *codec_build_bool(bool value)
{
    return require_item(cbor_build_bool(value));
}

cbor_item_t *codec_build_text(const char *value)
{
    return require_item(cbor_build_string(value == NULL ? "" : value));
}

cbor_item_t *codec_build_bytes(const uint8_t *value, size_t length)
{
    static const uint8_t nothing[1];
    return require_item(cbor_build_bytestring(value == NULL ? nothing : value, length));
}

void codec_map_add(cbor_item_t *map, unsigned id, cbor_item_t *value)
{
    struct cbor_pair pair = {.key = codec_build_u64(id), .value = value};
    bool added = cbor_map_add(map, pair);
    g_assert(added);
    cbor_decref(&pair.key);
    cbor_decref(&pair.value);
}

void codec_array_add(cbor_item_t *array, cbor_item_t *value)
{
    bool added = cbor_array_push(array, value);
    g_assert(added);
    cbor_decref(&value);
}

bool codec_read_u64(const cbor_item_t *item, const char *field, uint64_t *out, GError **error)
{
    if (!cbor_isa_uint(item)) {
        codec_set_error(error, field, "not an unsigned integer");
        return false;
    }
    *out = cbor_get_int(item);
    return true;
}

bool codec_read_u32(const cbor_item_t *item, const char *field, uint32_t *out, GError **error)
{
    uint64_t value = 0;
    if (!codec_read_u64(item, field, &value, error)) {
        return false;
    }
    if (value > UINT32_MAX) {
        codec_set_error(error, field, "over 32 bits");
        return false;
    }
    *out = (uint32_t)value;
    return true;
}

bool codec_read_i64(const cbor_item_t *item, const char *field, int64_t *out, GError **error)
{
    if (!cbor_is_int(item)) {
        codec_set_error(error, field, "not an integer");
        return false;
    }
    uint64_t magnitude = cbor_get_int(item);
    if (magnitude > INT64_MAX) {
        codec_set_error(error, field, "over 64 bits");
        return false;
    }
    *out = cbor_isa_negint(item) ? -1 - (int64_t)magnitude : (int64_t)magnitude;
    return true;
}

bool codec_read_bool(const cbor_item_t *item, const char *field, bool *out, GError **error)
{
    /* cbor_is_bool asserts that its item is a control value, not a float. */
    if (!cbor_isa_float_ctrl(item) || !cbor_float_ctrl_is_ctrl(item) || !cbor_is_bool(item)) {
        codec_set_error(error, field, "not a boolean");
        return false;
    }
    *out = cbor_get_bool(item);
    return true;
}

bool codec_read_text(const cbor_item_t *item, const char *field, size_t max, char **out,
                     GError **error)
{
    if (!cbor_isa_string(item) || !cbor_string_is_definite(item)) {
        codec_set_error(error, field, "not a text string");
        return false;
    }
    size_t length = cbor_string_length(item);
    if (length > max) {
        codec_set_error(error, field, "text is too long");
        return false;
    }
    if (length == 0) {
        *out = NULL;
        return true;
    }
    const char *text = (const char *)cbor_string_handle(item);
    if (!g_utf8_validate_len(text, length, NULL)) {
        codec_set_error(error, field, "text is not UTF-8");
        return false;
    }
    *out = g_strndup(text, length);
    return true;
}

bool codec_read_bytes(const cbor_item_t *item, const char *field, size_t max, uint8_t **out,
                      size_t *length, GError **error)
{
    if (!cbor_isa_bytestring(item) || !cbor_bytestring_is_definite(item)) {
        codec_set_error(error, field, "not a byte string");
        return false;
    }
    size_t size = cbor_bytestring_length(item);
    if (size > max) {
        codec_set_error(error, field, "byte string is too long");
        return false;
    }
    *out = size == 0 ? NULL : g_memdup2(cbor_bytestring_handle(item), size);
    *length = size;
    return true;
}

bool codec_read_enum(const cbor_item_t *item, const char *field, unsigned count, unsigned *out,
                     GError **error)
{
    uint64_t value = 0;
    if (!codec_read_u64(item, field, &value, error)) {
        return false;
    }
    if (value >= count) {
        codec_set_error(error, field, "not a known value");
        return false;
    }
    *out = (unsigned)value;
    return true;
}

bool codec_read_array(const cbor_item_t *item, const char *field, size_t max, size_t *count,
                      GError **error)
{
    if (!cbor_isa_array(item)) {
        codec_set_error(error, field, "not an array");
        return false;
    }
    if (cbor_array_size(item) > max) {
        codec_set_error(error, field, "too many items");
        return false;
    }
    *count = cbor_array_size(item);
    return true;
}

const cbor_item_t *codec_array_item(const cbor_item_t *array, size_t index)
{
    return cbor_array_handle(array)[index];
}

/* Reads a field id and records it in `seen`. */
static bool read_field_id(const cbor_item_t *key, const char *name, uint64_t *seen, unsigned *id,
                          GError **error)
{
    if (!cbor_isa_uint(key) || cbor_get_int(key) == 0 || cbor_get_int(key) > CODEC_FIELD_ID_MAX) {
        codec_set_error(error, name, "field id is out of range");
        return false;
    }
    *id = (unsigned)cbor_get_int(key);
    uint64_t mask = UINT64_C(1) << (*id % 64);
    if (seen[*id / 64] & mask) {
        codec_set_error(error, name, "duplicate field id");
        return false;
    }
    seen[*id / 64] |= mask;
    return true;
}

bool codec_read_map(const cbor_item_t *item, const char *name, codec_field_reader reader, void *out,
                    GError **error)
{
    if (!cbor_isa_map(item)) {
        codec_set_error(error, name, "not a map");
        return false;
    }
    uint64_t seen[(CODEC_FIELD_ID_MAX + 1) / 64] = {0};
    const struct cbor_pair *pairs = cbor_map_handle(item);
    for (size_t i = 0; i < cbor_map_size(item); i++) {
        unsigned id = 0;
        if (!read_field_id(pairs[i].key, name, seen, &id, error)) {
            return false;
        }
        if (!reader(id, pairs[i].value, out, error)) {
            return false;
        }
    }
    return true;
}

bool codec_check_size(size_t size, const char *field, size_t max, GError **error)
{
    if (size > max) {
        codec_set_error(error, field, "over its limit");
        return false;
    }
    return true;
}

bool codec_check_enum(unsigned value, const char *field, unsigned count, GError **error)
{
    if (value >= count) {
        codec_set_error(error, field, "not a known value");
        return false;
    }
    return true;
}

bool codec_check_text(const char *value, const char *field, size_t max, GError **error)
{
    if (value == NULL) {
        return true;
    }
    if (!g_utf8_validate(value, -1, NULL)) {
        codec_set_error(error, field, "text is not UTF-8");
        return false;
    }
    return codec_check_size(strlen(value), field, max, error);
}

GByteArray *codec_serialize(cbor_item_t *item)
{
    unsigned char *buffer = NULL;
    size_t capacity = 0;
    size_t length = cbor_serialize_alloc(item, &buffer, &capacity);
    if (length == 0) {
        g_error("codec: out of memory");
    }
    cbor_decref(&item);
    GByteArray *bytes = g_byte_array_sized_new((guint)length);
    g_byte_array_append(bytes, buffer, (guint)length);
    free(buffer);
    return bytes;
}

/* Opens a container that expects `count` items. */
static void scan_open(struct scan *scan, uint64_t count)
{
    if (count > scan->bytes_left) {
        scan->fault = "item count exceeds the input length";
        return;
    }
    if (count == 0) {
        return;
    }
    if (scan->depth == CODEC_DEPTH_MAX) {
        scan->fault = "nested too deep";
        return;
    }
    scan->remaining[scan->depth] = count;
    scan->depth++;
}

static void scan_array(void *context, size_t count)
{
    scan_open(context, count);
}

static void scan_map(void *context, size_t count)
{
    struct scan *scan = context;
    if (count > scan->bytes_left / 2) {
        scan->fault = "item count exceeds the input length";
        return;
    }
    scan_open(scan, (uint64_t)count * 2);
}

static void scan_indefinite(void *context)
{
    struct scan *scan = context;
    scan->fault = "indefinite length not supported";
}

static void scan_text(void *context, const unsigned char *text, size_t length)
{
    struct scan *scan = context;
    if (!g_utf8_validate_len((const char *)text, length, NULL)) {
        scan->fault = "text is not UTF-8";
    }
}

static void scan_tag(void *context, uint64_t tag)
{
    struct scan *scan = context;
    scan->fault = "tag not supported";
}

static const struct cbor_callbacks scan_callbacks = {
    .uint8 = cbor_null_uint8_callback,
    .uint16 = cbor_null_uint16_callback,
    .uint32 = cbor_null_uint32_callback,
    .uint64 = cbor_null_uint64_callback,
    .negint8 = cbor_null_negint8_callback,
    .negint16 = cbor_null_negint16_callback,
    .negint32 = cbor_null_negint32_callback,
    .negint64 = cbor_null_negint64_callback,
    .byte_string_start = scan_indefinite,
    .byte_string = cbor_null_byte_string_callback,
    .string = scan_text,
    .string_start = scan_indefinite,
    .indef_array_start = scan_indefinite,
    .array_start = scan_array,
    .indef_map_start = scan_indefinite,
    .map_start = scan_map,
    .tag = scan_tag,
    .float2 = cbor_null_float2_callback,
    .float4 = cbor_null_float4_callback,
    .float8 = cbor_null_float8_callback,
    .undefined = cbor_null_undefined_callback,
    .null = cbor_null_null_callback,
    .boolean = cbor_null_boolean_callback,
    .indef_break = scan_indefinite,
};

/* Counts one item as read in the innermost container and closes those that are complete. */
static void scan_count_item(struct scan *scan)
{
    while (scan->depth > 0) {
        scan->remaining[scan->depth - 1]--;
        if (scan->remaining[scan->depth - 1] > 0) {
            return;
        }
        scan->depth--;
    }
}

/* Returns NULL if the input is exactly one item within the limits, else what is wrong with it. */
static const char *scan_input(const uint8_t *data, size_t length)
{
    struct scan scan = {.bytes_left = length};
    size_t offset = 0;
    do {
        size_t depth = scan.depth;
        scan.bytes_left = length - offset;
        struct cbor_decoder_result result =
            cbor_stream_decode(data + offset, length - offset, &scan_callbacks, &scan);
        if (result.status != CBOR_DECODER_FINISHED) {
            return result.status == CBOR_DECODER_NEDATA ? "truncated" : "not CBOR";
        }
        if (scan.fault != NULL) {
            return scan.fault;
        }
        offset += result.read;
        if (scan.depth == depth) {
            scan_count_item(&scan);
        }
    } while (scan.depth > 0);
    return offset == length ? NULL : "trailing bytes";
}

cbor_item_t *codec_load(const uint8_t *data, size_t length, GError **error)
{
    const char *fault = scan_input(data, length);
    if (fault != NULL) {
        codec_set_error(error, "message", fault);
        return NULL;
    }
    struct cbor_load_result result;
    cbor_item_t *item = cbor_load(data, length, &result);
    if (item == NULL) {
        codec_set_error(error, "message", "not CBOR");
    }
    return item;
}
