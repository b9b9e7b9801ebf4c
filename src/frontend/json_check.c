#include "frontend/json_check.h"

#include <glib.h>
#include <string.h>

#define FIRST_PRINTABLE     0x20
#define UNICODE_DIGITS      4
#define HIGH_SURROGATE_MASK 0xfc00
#define HIGH_SURROGATE      0xd800
#define LOW_SURROGATE       0xdc00

/* A position in the text; `fault` is set on failure. */
struct json_cursor {
    const char *text;
    size_t length;
    size_t offset;
    char open[JSON_DEPTH_MAX]; /* brackets that are open */
    unsigned depth;
    bool ended; /* the outermost value is complete */
    struct json_fault *fault;
};

static bool fail_at(struct json_cursor *cursor, size_t offset, const char *text)
{
    cursor->fault->offset = offset;
    cursor->fault->text = text;
    return false;
}

/* The byte at the cursor; 0 at the end of the text. */
static char peek(const struct json_cursor *cursor)
{
    return cursor->offset < cursor->length ? cursor->text[cursor->offset] : '\0';
}

/* Reads the four digits of `\uXXXX`; negative if they are not hexadecimal digits. */
static int read_unicode(struct json_cursor *cursor)
{
    int value = 0;
    for (size_t i = 0; i < UNICODE_DIGITS; i++) {
        int digit = g_ascii_xdigit_value(peek(cursor));
        if (digit < 0) {
            return -1;
        }
        value = value * 16 + digit;
        cursor->offset++;
    }
    return value;
}

/* Reads the digits after `\u`. The escape of a high surrogate must be followed by that of a low
 * one. */
static bool check_unicode(struct json_cursor *cursor, size_t begin)
{
    int value = read_unicode(cursor);
    if (value < 0) {
        return fail_at(cursor, begin, "an escape in a string is not valid");
    }
    if (value == 0) {
        return fail_at(cursor, begin, "a string holds U+0000");
    }
    if ((value & HIGH_SURROGATE_MASK) == LOW_SURROGATE) {
        return fail_at(cursor, begin, "a surrogate in a string stands alone");
    }
    if ((value & HIGH_SURROGATE_MASK) != HIGH_SURROGATE) {
        return true;
    }
    bool follows = peek(cursor) == '\\';
    cursor->offset += follows ? 1 : 0;
    follows = follows && peek(cursor) == 'u';
    cursor->offset += follows ? 1 : 0;
    if (!follows || (read_unicode(cursor) & HIGH_SURROGATE_MASK) != LOW_SURROGATE) {
        return fail_at(cursor, begin, "a surrogate in a string stands alone");
    }
    return true;
}

static bool check_escape(struct json_cursor *cursor)
{
    size_t begin = cursor->offset;
    cursor->offset++;
    char kind = peek(cursor);
    if (kind == '\0' || strchr("\"\\/bfnrtu", kind) == NULL) {
        return fail_at(cursor, begin, "an escape in a string is not valid");
    }
    cursor->offset++;
    return kind != 'u' || check_unicode(cursor, begin);
}

static bool check_string(struct json_cursor *cursor)
{
    size_t begin = cursor->offset;
    cursor->offset++;
    while (cursor->offset < cursor->length) {
        unsigned char next = (unsigned char)peek(cursor);
        if (next == '"') {
            cursor->offset++;
            return true;
        }
        if (next < FIRST_PRINTABLE) {
            return fail_at(cursor, cursor->offset, "a string holds a control character");
        }
        if (next == '\\') {
            if (!check_escape(cursor)) {
                return false;
            }
        } else {
            cursor->offset++;
        }
    }
    return fail_at(cursor, begin, "a string does not end");
}

/* Skips digits and returns their number. */
static size_t read_digits(struct json_cursor *cursor)
{
    size_t begin = cursor->offset;
    while (g_ascii_isdigit(peek(cursor))) {
        cursor->offset++;
    }
    return cursor->offset - begin;
}

static bool check_exponent(struct json_cursor *cursor)
{
    if (peek(cursor) != 'e' && peek(cursor) != 'E') {
        return true;
    }
    cursor->offset++;
    if (peek(cursor) == '+' || peek(cursor) == '-') {
        cursor->offset++;
    }
    return read_digits(cursor) > 0;
}

static bool check_number(struct json_cursor *cursor)
{
    size_t begin = cursor->offset;
    cursor->offset += peek(cursor) == '-' ? 1 : 0;
    char first = peek(cursor);
    size_t digits = read_digits(cursor);
    size_t digits_max = JSON_INTEGER_DIGITS_MAX;
    bool valid = digits == 1 || (digits > 1 && first != '0');
    if (valid && peek(cursor) == '.') {
        cursor->offset++;
        size_t fraction = read_digits(cursor);
        valid = fraction > 0;
        digits += fraction;
        digits_max = JSON_DECIMAL_DIGITS_MAX;
    }
    if (valid && (peek(cursor) == 'e' || peek(cursor) == 'E')) {
        valid = check_exponent(cursor);
        digits_max = JSON_DECIMAL_DIGITS_MAX;
    }
    if (!valid || g_ascii_isalnum(peek(cursor)) || peek(cursor) == '.') {
        return fail_at(cursor, begin, "a number is not valid");
    }
    if (digits > digits_max) {
        return fail_at(cursor, begin, "a number has more digits than are kept: send a string");
    }
    return true;
}

static bool check_literal(struct json_cursor *cursor)
{
    static const char *const literals[] = {"true", "false", "null"};
    size_t begin = cursor->offset;
    while (g_ascii_isalnum(peek(cursor)) || peek(cursor) == '_') {
        cursor->offset++;
    }
    size_t length = cursor->offset - begin;
    for (size_t i = 0; i < G_N_ELEMENTS(literals); i++) {
        if (length == strlen(literals[i]) &&
            memcmp(cursor->text + begin, literals[i], length) == 0) {
            return true;
        }
    }
    return fail_at(cursor, begin, "a word is none of true, false and null");
}

static bool open_bracket(struct json_cursor *cursor)
{
    if (cursor->depth == JSON_DEPTH_MAX) {
        return fail_at(cursor, cursor->offset, "the text is nested too deeply");
    }
    cursor->open[cursor->depth] = peek(cursor);
    cursor->depth++;
    cursor->offset++;
    return true;
}

static bool close_bracket(struct json_cursor *cursor)
{
    char expected = peek(cursor) == '}' ? '{' : '[';
    if (cursor->depth == 0 || cursor->open[cursor->depth - 1] != expected) {
        return fail_at(cursor, cursor->offset, "a bracket does not match");
    }
    cursor->depth--;
    cursor->offset++;
    return true;
}

static bool check_token(struct json_cursor *cursor)
{
    char next = peek(cursor);
    switch (next) {
    case '"':
        return check_string(cursor);
    case '{':
    case '[':
        return open_bracket(cursor);
    case '}':
    case ']':
        return close_bracket(cursor);
    case ':':
    case ',':
        cursor->offset++;
        return true;
    default:
        break;
    }
    if (next == '-' || g_ascii_isdigit(next)) {
        return check_number(cursor);
    }
    if (g_ascii_isalpha(next)) {
        return check_literal(cursor);
    }
    return fail_at(cursor, cursor->offset, "a character is not part of JSON");
}

static void skip_space(struct json_cursor *cursor)
{
    while (cursor->offset < cursor->length && strchr(" \t\r\n", peek(cursor)) != NULL &&
           peek(cursor) != '\0') {
        cursor->offset++;
    }
}

bool json_check(const char *text, size_t length, struct json_fault *fault)
{
    struct json_cursor cursor = {.text = text, .length = length, .fault = fault};
    const char *end = NULL;
    if (!g_utf8_validate(text, (gssize)length, &end)) {
        return fail_at(&cursor, (size_t)(end - text), "the text is not UTF-8");
    }
    skip_space(&cursor);
    while (cursor.offset < length) {
        if (cursor.ended) {
            return fail_at(&cursor, cursor.offset, "something follows the value");
        }
        if (!check_token(&cursor)) {
            return false;
        }
        cursor.ended = cursor.depth == 0;
        skip_space(&cursor);
    }
    if (!cursor.ended) {
        return fail_at(&cursor, length, "the text ends too early");
    }
    return true;
}
