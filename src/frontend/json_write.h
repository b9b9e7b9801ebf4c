/* Appends JSON values to a string. */
#ifndef SW_FRONTEND_JSON_WRITE_H
#define SW_FRONTEND_JSON_WRITE_H

#include <glib.h>

/* Appends `text` as a JSON string; NULL is the empty string. Bytes that are not valid UTF-8 are
 * replaced by U+FFFD. */
void json_write_string(GString *out, const char *text);

/* Appends `"name":`. */
void json_write_name(GString *out, const char *name);

#endif
