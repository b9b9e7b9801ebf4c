/* Deltas of texts; see the header. A delta is a sequence of steps. Each step has three 32-bit
 * numbers in network byte order, followed by literal text: the offset in the first text to copy
 * from, the number of bytes to copy, and the length of the literal text. */
#include "pooler/control/delta.h"

#include "core/error.h"
#include "generated/errors.h"
#include "pooler/control/compression.h"

#include <arpa/inet.h>
#include <string.h>
#include <xxhash.h>

/* Minimum length of a piece, except the last one: a step costs 12 bytes. */
#define PIECE_MIN ((gsize)32)

#define STEP_SIZE (3 * sizeof(uint32_t))

/* A part of a text. */
typedef struct part {
    const char *data;
    gsize offset;
    gsize length;
} part_t;

/* A step under construction. */
typedef struct step {
    gsize from;
    gsize copied;
    gsize literal; /* offset of the literal text in the second text */
    gsize length;  /* of the literal text */
} step_t;

uint64_t
delta_hash(GBytes *text)
{
    gsize length = 0;
    gconstpointer data = g_bytes_get_data(text, &length);
    return XXH3_64bits(data, length);
}

/* The piece that starts at `offset`. */
static part_t
piece_at(const char *text, gsize length, gsize offset)
{
    gsize end = MIN(offset + PIECE_MIN, length);
    const char *stop = memchr(text + end, '}', length - end);
    end = stop == NULL ? length : (gsize)(stop - text) + 1;
    return (part_t){text + offset, offset, end - offset};
}

static guint
hash_part(gconstpointer key)
{
    const part_t *part = key;
    return (guint)XXH3_64bits(part->data, part->length);
}

static gboolean
equal_parts(gconstpointer a, gconstpointer b)
{
    const part_t *first = a;
    const part_t *second = b;
    return first->length == second->length && memcmp(first->data, second->data, first->length) == 0;
}

/* Index of all pieces of the text by content. */
static GHashTable *
index_pieces(const char *text, gsize length)
{
    GHashTable *pieces = g_hash_table_new_full(hash_part, equal_parts, g_free, NULL);
    for (gsize offset = 0; offset < length;) {
        part_t piece = piece_at(text, length, offset);
        if (g_hash_table_lookup(pieces, &piece) == NULL) {
            part_t *kept = g_memdup2(&piece, sizeof piece);
            g_hash_table_insert(pieces, kept, kept);
        }
        offset += piece.length;
    }
    return pieces;
}

static void
append_number(GByteArray *out, gsize number)
{
    uint32_t ordered = htonl((uint32_t)number);
    g_byte_array_append(out, (const guint8 *)&ordered, sizeof ordered);
}

static void
append_step(GByteArray *out, const step_t *step, const char *text)
{
    if (step->copied == 0 && step->length == 0) {
        return;
    }
    append_number(out, step->from);
    append_number(out, step->copied);
    append_number(out, step->length);
    g_byte_array_append(out, (const guint8 *)text + step->literal, (guint)step->length);
}

/* Appends a piece of the second text. `found` is the same piece in the first text; NULL: there is
 * none. */
static void
add_piece(GByteArray *out, step_t *step, const part_t *piece, const part_t *found, const char *text)
{
    if (found == NULL) {
        step->literal = step->length == 0 ? piece->offset : step->literal;
        step->length += piece->length;
        return;
    }
    bool continues = step->length == 0 && step->from + step->copied == found->offset;
    if (!continues) {
        append_step(out, step, text);
        *step = (step_t){.from = found->offset};
    }
    step->copied += found->length;
}

GBytes *
delta_make(GBytes *from, GBytes *to)
{
    gsize from_length = 0;
    gsize length = 0;
    const char *from_text = g_bytes_get_data(from, &from_length);
    const char *text = g_bytes_get_data(to, &length);
    GByteArray *out = g_byte_array_new();
    GHashTable *pieces = index_pieces(from_text, from_length);
    step_t step = {0};
    for (gsize offset = 0; offset < length;) {
        part_t piece = piece_at(text, length, offset);
        add_piece(out, &step, &piece, g_hash_table_lookup(pieces, &piece), text);
        offset += piece.length;
    }
    append_step(out, &step, text);
    g_hash_table_unref(pieces);
    return g_byte_array_free_to_bytes(out);
}

static uint32_t
number_at(const guint8 *data)
{
    uint32_t ordered = 0;
    memcpy(&ordered, data, sizeof ordered);
    return ntohl(ordered);
}

/* Applies the step at `data`, of which `left` bytes remain.
 * @return its size; 0 if it is malformed. */
static gsize
apply_step(const guint8 *data, gsize left, GBytes *from, GByteArray *out)
{
    gsize from_length = 0;
    const guint8 *source = g_bytes_get_data(from, &from_length);
    if (left < STEP_SIZE) {
        return 0;
    }
    gsize offset = number_at(data);
    gsize copied = number_at(data + sizeof(uint32_t));
    gsize literal = number_at(data + 2 * sizeof(uint32_t));
    bool valid = offset <= from_length && copied <= from_length - offset &&
                 literal <= left - STEP_SIZE && out->len + copied + literal <= COMPRESSION_MAX;
    if (!valid) {
        return 0;
    }
    if (copied > 0) {
        g_byte_array_append(out, source + offset, (guint)copied);
    }
    g_byte_array_append(out, data + STEP_SIZE, (guint)literal);
    return STEP_SIZE + literal;
}

GBytes *
delta_apply(GBytes *from, GBytes *delta, uint64_t hash, GError **error)
{
    gsize left = 0;
    const guint8 *data = g_bytes_get_data(delta, &left);
    GByteArray *out = g_byte_array_new();
    gsize size = 1;
    for (; left > 0 && size > 0; data += size, left -= size) {
        size = apply_step(data, left, from, out);
    }
    GBytes *text = g_byte_array_free_to_bytes(out);
    if (size == 0 || delta_hash(text) != hash) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "delta is corrupt: %s",
                    size == 0 ? "malformed step" : "hash of the result differs");
        g_bytes_unref(text);
        return NULL;
    }
    return text;
}
