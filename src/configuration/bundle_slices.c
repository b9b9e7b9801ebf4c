/* Splitting the text of a canonical bundle into slices of tenants. */
#include "configuration/bundle_slices.h"

#include <string.h>

#define SECTION "\"tenants\":{"

/* Depth of nesting at the names of sections, and at the members of a section. */
#define DEPTH_SECTION 1
#define DEPTH_MEMBER  2

/* A position in JSON text. Tracks strings and the depth of brackets. */
struct scanner {
    const char *json;
    gsize length;
    gsize position;
    guint depth;
};

/* Skips a string whose opening quote is at the position. */
static void skip_string(struct scanner *scanner)
{
    for (scanner->position++;
         scanner->position < scanner->length && scanner->json[scanner->position] != '"';
         scanner->position++) {
        if (scanner->json[scanner->position] == '\\') {
            scanner->position++;
        }
    }
    scanner->position++;
}

/* Advances by one character or one string. */
static void advance(struct scanner *scanner)
{
    char character = scanner->json[scanner->position];

    if (character == '"') {
        skip_string(scanner);
        return;
    }
    if (character == '{' || character == '[') {
        scanner->depth++;
    } else if (character == '}' || character == ']') {
        scanner->depth--;
    }
    scanner->position++;
}

/* Advances to just after the opening bracket of "tenants"; false if there is no such section. */
static bool find_section(struct scanner *scanner)
{
    gsize size = strlen(SECTION);

    for (; scanner->position < scanner->length; advance(scanner)) {
        if (scanner->depth == DEPTH_SECTION && scanner->length - scanner->position > size &&
            memcmp(scanner->json + scanner->position, SECTION, size) == 0) {
            scanner->position += size;
            scanner->depth++;
            return true;
        }
    }
    return false;
}

static void add_slice(GPtrArray *slices, const char *start, const char *end)
{
    GString *slice = g_string_sized_new((gsize)(end - start) + sizeof("{}"));

    g_string_append_c(slice, '{');
    g_string_append_len(slice, start, end - start);
    g_string_append_c(slice, '}');
    g_ptr_array_add(slices, g_string_free(slice, FALSE));
}

/* Splits the members of the section, from the position to just after its closing bracket. False if
 * the bracket is missing. */
static bool split_section(struct scanner *scanner, GPtrArray *slices)
{
    gsize start = scanner->position;
    guint members = 0;

    while (scanner->position < scanner->length && scanner->depth >= DEPTH_MEMBER) {
        bool at_comma = scanner->depth == DEPTH_MEMBER && scanner->json[scanner->position] == ',';
        members += at_comma ? 1 : 0;
        if (at_comma && members == BUNDLE_SLICE_TENANTS) {
            add_slice(slices, scanner->json + start, scanner->json + scanner->position);
            start = scanner->position + 1;
            members = 0;
        }
        advance(scanner);
    }
    if (scanner->depth >= DEPTH_MEMBER || scanner->position > scanner->length) {
        return false;
    }
    add_slice(slices, scanner->json + start, scanner->json + scanner->position - 1);
    return true;
}

bool bundle_slices_split(const char *json, gsize length, struct bundle_slices *slices)
{
    struct scanner scanner = {.json = json, .length = length};

    *slices = (struct bundle_slices){.slices = g_ptr_array_new_with_free_func(g_free)};
    if (!find_section(&scanner)) {
        return false;
    }
    gsize start = scanner.position;
    if (!split_section(&scanner, slices->slices)) {
        return false;
    }
    GString *rest = g_string_new_len(json, (gssize)start);
    g_string_append_len(rest, json + scanner.position - 1, (gssize)(length - scanner.position + 1));
    slices->rest = g_string_free(rest, FALSE);
    return true;
}

void bundle_slices_clear(struct bundle_slices *slices)
{
    g_clear_pointer(&slices->rest, g_free);
    g_clear_pointer(&slices->slices, g_ptr_array_unref);
}
