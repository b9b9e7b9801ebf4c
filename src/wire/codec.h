/* Helpers for the generated message codecs: bounded decoding and building of CBOR items. The
 * functions keep no state; any thread may call them on items that only it uses. All failures are
 * SW_ERROR, code ERROR_KIND_BAD_REQUEST, and name the field. */
#ifndef SW_WIRE_CODEC_H
#define SW_WIRE_CODEC_H

#include <cbor.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum depth of nested maps and arrays in an encoded message. */
#define CODEC_DEPTH_MAX 24

/* Field ids run from 1 to this. */
#define CODEC_FIELD_ID_MAX 255

/* Reads one field of a map into `out`; unknown ids return true. */
typedef bool (*codec_field_reader)(unsigned id, const cbor_item_t *value, void *out,
                                   GError **error);

/* Building. Each function returns a new item that the caller owns; exhausted memory aborts the
 * process, as in GLib. */
cbor_item_t *codec_build_map(size_t fields);
cbor_item_t *codec_build_array(size_t count);
cbor_item_t *codec_build_u64(uint64_t value);
cbor_item_t *codec_build_i64(int64_t value);
cbor_item_t *codec_build_bool(bool value);
cbor_item_t *codec_build_text(const char *value);
cbor_item_t *codec_build_bytes(const uint8_t *value, size_t length);

/* Appends `value` to a map or an array; takes over the caller's reference. */
void codec_map_add(cbor_item_t *map, unsigned id, cbor_item_t *value);
void codec_array_add(cbor_item_t *array, cbor_item_t *value);

/* Reading. `field` names the field in errors; `max` is in bytes, or in items for arrays. Text is
 * checked to be UTF-8 without NUL; empty text and bytes are read as NULL. */
bool codec_read_u32(const cbor_item_t *item, const char *field, uint32_t *out, GError **error);
bool codec_read_u64(const cbor_item_t *item, const char *field, uint64_t *out, GError **error);
bool codec_read_i64(const cbor_item_t *item, const char *field, int64_t *out, GError **error);
bool codec_read_bool(const cbor_item_t *item, const char *field, bool *out, GError **error);
bool codec_read_text(const cbor_item_t *item, const char *field, size_t max, char **out,
                     GError **error);
bool codec_read_bytes(const cbor_item_t *item, const char *field, size_t max, uint8_t **out,
                      size_t *length, GError **error);

/* Reads an enum value below `count`. */
bool codec_read_enum(const cbor_item_t *item, const char *field, unsigned count, unsigned *out,
                     GError **error);

/* Checks that `item` is an array of at most `max` items and returns their number in `count`. */
bool codec_read_array(const cbor_item_t *item, const char *field, size_t max, size_t *count,
                      GError **error);

/* Returns the array's item at `index`; the array keeps the reference. */
const cbor_item_t *codec_array_item(const cbor_item_t *array, size_t index);

/* Calls `reader` for each field of a map; rejects field ids that are duplicate or out of range. */
bool codec_read_map(const cbor_item_t *item, const char *name, codec_field_reader reader, void *out,
                    GError **error);

/* Check a value before it is encoded, with the same limits as the decoder. */
bool codec_check_size(size_t size, const char *field, size_t max, GError **error);
bool codec_check_enum(unsigned value, const char *field, unsigned count, GError **error);
bool codec_check_text(const char *value, const char *field, size_t max, GError **error);

/* Serializes an item; takes over the caller's reference. */
GByteArray *codec_serialize(cbor_item_t *item);

/* Parses exactly one item, which must fill `data`, have definite lengths only and be nested at most
 * CODEC_DEPTH_MAX deep. Returns a new item, or NULL with `error`. */
cbor_item_t *codec_load(const uint8_t *data, size_t length, GError **error);

/* Sets `error` to "<field>: <reason>". */
void codec_set_error(GError **error, const char *field, const char *reason);

#endif
