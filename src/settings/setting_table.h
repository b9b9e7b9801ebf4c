/* Typed settings described by a table: defaults, a key file, overrides, and a print-out that tells
 * where each value comes from. The table is generated (generated/settings.c); this module reads
 * text into the struct that the table describes, and collects every fault instead of the first.
 *
 * No state; a struct of settings is read by one thread and then shared unchanged. */
#ifndef SW_SETTINGS_SETTING_TABLE_H
#define SW_SETTINGS_SETTING_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Addresses as "IP:port" texts; owned by the settings. */
struct address_list {
    char **items;
    size_t count;
};

/* The C type at the setting's offset stands behind each type. */
enum setting_type {
    SETTING_TYPE_U32,          /* uint32_t */
    SETTING_TYPE_SIZE,         /* uint64_t, octets */
    SETTING_TYPE_DECIMAL,      /* double, 0 or more */
    SETTING_TYPE_BOOL,         /* bool */
    SETTING_TYPE_TEXT,         /* char *, never NULL */
    SETTING_TYPE_CHOICE,       /* an enum of unsigned values: index into choices */
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
    uint64_t min; /* of a number's value, a text's octets or a list's items */
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

/* Sets all values to their defaults; the struct's old content is not freed. */
void setting_table_defaults(const struct setting_table *table, void *settings,
                            enum setting_source *sources);

/* Frees the values. */
void setting_table_clear(const struct setting_table *table, void *settings);

/* Reads a key file, then overrides "group.key=value" (NULL or NULL-terminated), over the present
 * values, and checks the whole. `text` is the file's content, named `file` in errors; with NULL
 * text, `file` is read, or nothing if that is NULL too. On failure `error` is SW_ERROR,
 * ERROR_KIND_INVALID_CONFIGURATION, with one line for each fault: where, key, value and what is
 * allowed; values without a fault are set all the same. */
bool setting_table_read(const struct setting_table *table, void *settings,
                        enum setting_source *sources, const char *file, const char *text,
                        const char *const *overrides, GError **error);

/* One line a setting: name, value, unit and source. The caller frees it by g_free. */
char *setting_table_print(const struct setting_table *table, const void *settings,
                          const enum setting_source *sources);

#endif
