/* A check of JSON text before json-glib parses it. json-glib 1.6 accepts more than JSON (comments,
 * `var x = ...;`, numbers such as 01), recurses without bound, and converts numbers to int64 or
 * double without reporting a loss of digits. This check covers the tokens only; json-glib checks
 * the grammar. */
#ifndef SW_FRONTEND_JSON_CHECK_H
#define SW_FRONTEND_JSON_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/* Maximum depth of nested objects and arrays. */
#define JSON_DEPTH_MAX 32

/* Number of digits that fits into an int64 for any integer, and number of significant digits that a
 * double preserves for any other number. */
#define JSON_INTEGER_DIGITS_MAX 18
#define JSON_DECIMAL_DIGITS_MAX 15

/* Position and reason of a rejection. */
struct json_fault {
    size_t offset; /* from 0 */
    const char *text;
};

/* Checks that `text` is UTF-8 and consists of JSON tokens that form one value with matching
 * brackets, that strings do not contain U+0000, and that numbers have at most the digits allowed
 * above. Sets `fault` on failure. */
bool json_check(const char *text, size_t length, struct json_fault *fault);

#endif
