/* Cutting a canonical bundle between tenants. */
#include "configuration/bundle_slices.h"

#include <string.h>

#define SECTION "\"tenants\":{"

/* Depth of a bundle's sections' names, and of a section's members. */
#define DEPTH_SECTION 1
#define DEPTH_MEMBER  2

/* A walk over JSON text that knows strings and brackets. */
struct walk {
    const char *json;
    gsize length;
    gsize at;
    guint depth;
};

/* Steps over a string whose first quote is at `at`. */
static void skip_string(struct walk *walk)
{
    for (walk->at++; walk->at < walk->length && walk->json[walk->at] != '"'; walk->at++) {
        if (walk->json[walk->at] == '\\') {
            walk->at++;
        }
    }
    walk->at++;
}

/* Steps over one character, or one string. */
static void step(struct walk *walk)
{
    char character = walk->json[walk->at];

    if (character == '"') {
        skip_string(walk);
        return;
    }
    if (character == '{' || character == '[') {
        walk->depth++;
    } else if (character == '}' || character == ']') {
        walk->depth--;
    }
    walk->at++;
}

/* Goes on to just after the section's opening bracket; false if it has none. */
static bool find_section(struct walk *walk)
{
    gsize size = strlen(SECTION);

    for (; walk->at < walk->length; step(walk)) {
        if (walk->depth == DEPTH_SECTION && walk->length - walk->at > size &&
            memcmp(walk->json + walk->at, SECTION, size) == 0) {
            walk->at += size;
            walk->depth++;
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

/* Cuts the section's members, whose first begins where the walk is, up to its closing bracket. */
static bool cut_section(struct walk *walk, GPtrArray *slices)
{
    gsize start = walk->at;
    guint members = 0;

    while (walk->at < walk->length && walk->depth >= DEPTH_MEMBER) {
        bool between = walk->depth == DEPTH_MEMBER && walk->json[walk->at] == ',';
        members += between ? 1 : 0;
        if (between && members == BUNDLE_SLICE_TENANTS) {
            add_slice(slices, walk->json + start, walk->json + walk->at);
            start = walk->at + 1;
            members = 0;
        }
        step(walk);
    }
    if (walk->depth >= DEPTH_MEMBER || walk->at > walk->length) {
        return false;
    }
    add_slice(slices, walk->json + start, walk->json + walk->at - 1);
    return true;
}

bool bundle_slices_cut(const char *json, gsize length, struct bundle_slices *slices)
{
    struct walk walk = {.json = json, .length = length};

    *slices = (struct bundle_slices){.slices = g_ptr_array_new_with_free_func(g_free)};
    if (!find_section(&walk)) {
        return false;
    }
    gsize start = walk.at;
    if (!cut_section(&walk, slices->slices)) {
        return false;
    }
    GString *rest = g_string_new_len(json, (gssize)start);
    g_string_append_len(rest, json + walk.at - 1, (gssize)(length - walk.at + 1));
    slices->rest = g_string_free(rest, FALSE);
    return true;
}

void bundle_slices_clear(struct bundle_slices *slices)
{
    g_clear_pointer(&slices->rest, g_free);
    g_clear_pointer(&slices->slices, g_ptr_array_unref);
}
