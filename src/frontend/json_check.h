/* A check of JSON text before json-glib parses it. json-glib 1.6 takes more than JSON (comments,
 * `var x = ...;`, numbers such as 01), recurses without bound, and keeps numbers as int64 or double
 * without telling what it lost. This check goes over the tokens only; the grammar is json-glib's.
 */
#ifndef SW_FRONTEND_JSON_CHECK_H
#define SW_FRONTEND_JSON_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/* Nested objects and arrays, at most. */
#define JSON_DEPTH_MAX 32

/* Digits of a whole number that int64 holds always, and of another that a double gives back. */
#define JSON_INTEGER_DIGITS_MAX 18
#define JSON_DECIMAL_DIGITS_MAX 15

/* Where and why a text is refused. */
struct json_fault {
    size_t octet; /* from 0 */
    const char *text;
};

/* Checks that `text` is UTF-8 and holds tokens of JSON only, one value at most, whose brackets
 * match; strings hold no U+0000, and numbers no more digits than are kept. */
bool json_check(const char *text, size_t length, struct json_fault *fault);

#endif
