#include "frontend/json_write.h"

#include <string.h>

#define FIRST_PRINTABLE 0x20

static void write_control(GString *out, unsigned char byte)
{
    switch (byte) {
    case '\n':
        g_string_append(out, "\\n");
        break;
    case '\r':
        g_string_append(out, "\\r");
        break;
    case '\t':
        g_string_append(out, "\\t");
        break;
    default:
        g_string_append_printf(out, "\\u%04x", byte);
        break;
    }
}

static void write_escaped(GString *out, const char *text)
{
    const char *run = text;
    const char *next = text;
    for (; *next != '\0'; next++) {
        unsigned char byte = (unsigned char)*next;
        if (byte >= FIRST_PRINTABLE && byte != '"' && byte != '\\') {
            continue;
        }
        g_string_append_len(out, run, next - run);
        run = next + 1;
        if (byte < FIRST_PRINTABLE) {
            write_control(out, byte);
        } else {
            g_string_append_c(out, '\\');
            g_string_append_c(out, (char)byte);
        }
    }
    g_string_append_len(out, run, next - run);
}

void json_write_string(GString *out, const char *text)
{
    g_string_append_c(out, '"');
    if (text != NULL && g_utf8_validate(text, -1, NULL)) {
        write_escaped(out, text);
    } else if (text != NULL) {
        g_autofree char *valid = g_utf8_make_valid(text, -1);
        write_escaped(out, valid);
    }
    g_string_append_c(out, '"');
}

void json_write_name(GString *out, const char *name)
{
    json_write_string(out, name);
    g_string_append_c(out, ':');
}
