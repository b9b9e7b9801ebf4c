/* Typed settings described by a table: defaults, a key file, overrides, and a listing that shows
 * the source of each value. The table is generated (generated/settings.c). This module parses text
 * into the struct that the table describes, and reports all faults, not only the first.
 *
 * The module has no state. One thread reads the settings; afterwards they are shared read-only. */
#ifndef SW_SETTINGS_SETTING_TABLE_H
#define SW_SETTINGS_SETTING_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Addresses as "IP:port" texts, owned by the settings. */
struct address_list {
    char **items;
    size_t count;
};

/* Types of settings. The comments give the C type of the value at the setting's offset. */
enum setting_type {
    SETTING_TYPE_U32,          /* uint32_t */
    SETTING_TYPE_SIZE,         /* uint64_t, bytes */
    SETTING_TYPE_DECIMAL,      /* double, 0 or more */
    SETTING_TYPE_BOOL,         /* bool */
    SETTING_TYPE_TEXT,         /* char *, never NULL */
    SETTING_TYPE_CHOICE,       /* an unsigned enum: index into choices */
    SETTING_TYPE_ADDRESS,      /* char *, "IP:port" */
    SETTING_TYPE_ADDRESS_LIST, /* struct address_list */
};

enum setting_source {
    SETTING_SOURCE_DEFAULT,
    SETTING_SOURCE_FILE,
    SETTING_SOURCE_OVERRIDE,
};

/* One setting. */
struct setting_entry {
    const char *name; /* "group.key" */
    enum setting_type type;
    const char *unit; /* NULL for none */
    const char *default_text;
    uint64_t min; /* of a number's value, a text's bytes or a list's items */
    uint64_t max;
    bool required;              /* a text that must not be empty */
    const char *const *choices; /* NULL-terminated, for SETTING_TYPE_CHOICE */
    const char *at_most;        /* name of a u32 setting that this one may not exceed, or NULL */
    size_t offset;              /* of the value in the struct of settings */
};

struct setting_table {
    const struct setting_entry *entries;
    size_t count;
};

/* Sets all values to their defaults. Does not free the previous content. */
void setting_table_defaults(const struct setting_table *table, void *settings,
                            enum setting_source *sources);

/* Frees the values. */
void setting_table_clear(const struct setting_table *table, void *settings);

/* Reads a key file, then overrides "group.key=value" (NULL or a NULL-terminated list), replaces the
 * present values and checks the result. `text` is the file's content, and `file` its name in
 * errors; with NULL `text` the file itself is read, or none if `file` is NULL too. On failure sets
 * SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, with one line for each fault that gives its place,
 * the key, the value and what is allowed. Valid values are set also on failure. */
bool setting_table_read(const struct setting_table *table, void *settings,
                        enum setting_source *sources, const char *file, const char *text,
                        const char *const *overrides, GError **error);

/* Returns one line per setting with its name, value, unit and source. The caller frees the text by
 * g_free. */
char *setting_table_print(const struct setting_table *table, const void *settings,
                          const enum setting_source *sources);

#endif
