/* Reading of settings. Each fault is stored as one line of text, and reading continues. */
#include "settings/setting_table.h"

#include "core/error.h"
#include "generated/errors.h"
#include "wire/address.h"

#include <inttypes.h>
#include <string.h>

#define OVERRIDE_PLACE "--set"

/* Largest decimal that is accepted. */
#define DECIMAL_MAX 1e12

/* Keeps keys such as name[de], so that they are rejected as unknown and not silently ignored. */
#define FILE_FLAGS G_KEY_FILE_KEEP_TRANSLATIONS

/* State of one reading: the struct to fill, and the faults found so far. */
struct reading {
    const struct setting_table *table;
    void *settings;
    enum setting_source *sources;
    GPtrArray *faults; /* texts */
    bool *rejected;    /* by entry: its last text was not valid */
    bool file_failed;  /* the file could not be read or parsed, so its settings are not known */
};

struct size_suffix {
    const char *text;
    uint64_t bytes;
};

static const struct size_suffix size_suffixes[] = {
    {"KiB", UINT64_C(1) << 10},
    {"MiB", UINT64_C(1) << 20},
    {"GiB", UINT64_C(1) << 30},
};

static void *value_at(const struct setting_entry *entry, void *settings)
{
    return (char *)settings + entry->offset;
}

static const void *value_of(const struct setting_entry *entry, const void *settings)
{
    return (const char *)settings + entry->offset;
}

static bool parse_number(const char *text, uint64_t min, uint64_t max, uint64_t *out)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(text, 10, min, max, &number, NULL)) {
        return false;
    }
    *out = number;
    return true;
}

static bool read_u32(const struct setting_entry *entry, const char *text, uint32_t *out)
{
    uint64_t number = 0;
    if (!parse_number(text, entry->min, entry->max, &number)) {
        return false;
    }
    *out = (uint32_t)number;
    return true;
}

static bool read_size(const struct setting_entry *entry, const char *text, uint64_t *out)
{
    g_autofree char *digits = g_strdup(text);
    uint64_t unit = 1;
    for (size_t i = 0; i < G_N_ELEMENTS(size_suffixes); i++) {
        if (g_str_has_suffix(text, size_suffixes[i].text)) {
            unit = size_suffixes[i].bytes;
            digits[strlen(text) - strlen(size_suffixes[i].text)] = '\0';
        }
    }
    uint64_t number = 0;
    if (!parse_number(digits, 0, UINT64_MAX / unit, &number)) {
        return false;
    }
    if (number * unit < entry->min || number * unit > entry->max) {
        return false;
    }
    *out = number * unit;
    return true;
}

static bool read_decimal(const char *text, double *out)
{
    char *end = NULL;
    double number = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !(number >= 0 && number <= DECIMAL_MAX)) {
        return false;
    }
    *out = number;
    return true;
}

static bool read_bool(const char *text, bool *out)
{
    if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
        return false;
    }
    *out = text[0] == 't';
    return true;
}

static bool read_text(const struct setting_entry *entry, const char *text, char **out)
{
    size_t length = strlen(text);
    if (length < entry->min || length > entry->max || !g_utf8_validate(text, -1, NULL)) {
        return false;
    }
    g_free(*out);
    *out = g_strdup(text);
    return true;
}

static bool read_choice(const struct setting_entry *entry, const char *text, unsigned *out)
{
    for (unsigned i = 0; entry->choices[i] != NULL; i++) {
        if (strcmp(text, entry->choices[i]) == 0) {
            *out = i;
            return true;
        }
    }
    return false;
}

static bool read_address(const char *text, char **out)
{
    struct sockaddr_in address;
    if (!parse_address(text, &address)) {
        return false;
    }
    g_free(*out);
    *out = g_strdup(text);
    return true;
}

static bool read_address_list(const struct setting_entry *entry, const char *text,
                              struct address_list *out)
{
    struct sockaddr_in address;
    g_auto(GStrv) items = g_strsplit(text, ",", -1);
    size_t count = g_strv_length(items);
    if (count < entry->min || count > entry->max) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        g_strstrip(items[i]);
        if (!parse_address(items[i], &address)) {
            return false;
        }
    }
    g_strfreev(out->items);
    out->items = g_steal_pointer(&items);
    out->count = count;
    return true;
}

/* Parses a text into the entry's value. Returns false and keeps the old value if it is not
 * allowed. */
static bool read_value(const struct setting_entry *entry, const char *text, void *settings)
{
    void *value = value_at(entry, settings);
    switch (entry->type) {
    case SETTING_TYPE_U32:
        return read_u32(entry, text, value);
    case SETTING_TYPE_SIZE:
        return read_size(entry, text, value);
    case SETTING_TYPE_DECIMAL:
        return read_decimal(text, value);
    case SETTING_TYPE_BOOL:
        return read_bool(text, value);
    case SETTING_TYPE_TEXT:
        return read_text(entry, text, value);
    case SETTING_TYPE_CHOICE:
        return read_choice(entry, text, value);
    case SETTING_TYPE_ADDRESS:
        return read_address(text, value);
    case SETTING_TYPE_ADDRESS_LIST:
        return read_address_list(entry, text, value);
    }
    return false;
}

/* Describes the values that an entry allows, to follow "must be". */
static char *allowed_text(const struct setting_entry *entry)
{
    switch (entry->type) {
    case SETTING_TYPE_U32:
        return g_strdup_printf("a whole number from %" PRIu64 " to %" PRIu64 "%s%s", entry->min,
                               entry->max, entry->unit == NULL ? "" : " ",
                               entry->unit == NULL ? "" : entry->unit);
    case SETTING_TYPE_SIZE:
        return g_strdup_printf("from %" PRIu64 " to %" PRIu64
                               " bytes, or a number of KiB, MiB or GiB",
                               entry->min, entry->max);
    case SETTING_TYPE_DECIMAL:
        return g_strdup("a number of 0 or more");
    case SETTING_TYPE_BOOL:
        return g_strdup("true or false");
    case SETTING_TYPE_TEXT:
        return g_strdup_printf("UTF-8 text of %" PRIu64 " to %" PRIu64 " bytes", entry->min,
                               entry->max);
    case SETTING_TYPE_CHOICE: {
        g_autofree char *choices = g_strjoinv(", ", (char **)entry->choices);
        return g_strdup_printf("one of %s", choices);
    }
    case SETTING_TYPE_ADDRESS:
        return g_strdup("IP:port, such as 127.0.0.1:8000");
    case SETTING_TYPE_ADDRESS_LIST:
        return g_strdup_printf("%" PRIu64 " to %" PRIu64 " of IP:port, separated by commas",
                               entry->min, entry->max);
    }
    return NULL;
}

static const struct setting_entry *find_entry(const struct setting_table *table, const char *name)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->entries[i].name, name) == 0) {
            return &table->entries[i];
        }
    }
    return NULL;
}

static void G_GNUC_PRINTF(2, 3) add_fault(struct reading *reading, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_ptr_array_add(reading->faults, g_strdup_vprintf(format, arguments));
    va_end(arguments);
}

/* Sets one value from a text; `place` is the file name or "--set", for errors. */
static void set_value(struct reading *reading, const char *place, enum setting_source source,
                      const char *name, const char *text)
{
    const struct setting_entry *entry = find_entry(reading->table, name);
    if (entry == NULL) {
        add_fault(reading, "%s: %s = %s: not a known setting", place, name, text);
        return;
    }
    size_t index = (size_t)(entry - reading->table->entries);
    reading->rejected[index] = !read_value(entry, text, reading->settings);
    if (reading->rejected[index]) {
        g_autofree char *allowed = allowed_text(entry);
        add_fault(reading, "%s: %s = %s: must be %s", place, name, text, allowed);
        return;
    }
    reading->sources[index] = source;
}

static void read_group(struct reading *reading, const char *file, GKeyFile *key_file,
                       const char *group)
{
    g_auto(GStrv) keys = g_key_file_get_keys(key_file, group, NULL, NULL);
    for (size_t i = 0; keys[i] != NULL; i++) {
        g_autoptr(GError) error = NULL;
        g_autofree char *name = g_strdup_printf("%s.%s", group, keys[i]);
        g_autofree char *text = g_key_file_get_string(key_file, group, keys[i], &error);
        if (text == NULL) {
            add_fault(reading, "%s: %s: %s", file, name, error->message);
            continue;
        }
        set_value(reading, file, SETTING_SOURCE_FILE, name, g_strstrip(text));
    }
}

static void read_key_file(struct reading *reading, const char *file, const char *text)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GKeyFile) key_file = g_key_file_new();
    if (!g_key_file_load_from_data(key_file, text, strlen(text), FILE_FLAGS, &error)) {
        /* For an empty file without any group GLib reports NOT_FOUND. Such a file is valid: all
         * settings have their defaults. */
        if (!g_error_matches(error, G_KEY_FILE_ERROR, G_KEY_FILE_ERROR_NOT_FOUND)) {
            add_fault(reading, "%s: %s", file, error->message);
            reading->file_failed = true;
        }
        return;
    }
    g_auto(GStrv) groups = g_key_file_get_groups(key_file, NULL);
    for (size_t i = 0; groups[i] != NULL; i++) {
        read_group(reading, file, key_file, groups[i]);
    }
}

static void read_file(struct reading *reading, const char *file)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    if (!g_file_get_contents(file, &text, NULL, &error)) {
        add_fault(reading, "%s", error->message);
        reading->file_failed = true;
        return;
    }
    read_key_file(reading, file, text);
}

static void read_override(struct reading *reading, const char *assignment)
{
    const char *equals = strchr(assignment, '=');
    if (equals == NULL) {
        add_fault(reading, OVERRIDE_PLACE ": %s: must be group.key=value", assignment);
        return;
    }
    g_autofree char *name = g_strndup(assignment, (gsize)(equals - assignment));
    g_autofree char *text = g_strdup(equals + 1);
    set_value(reading, OVERRIDE_PLACE, SETTING_SOURCE_OVERRIDE, g_strstrip(name), g_strstrip(text));
}

/* Checks a number against the setting named by at_most. */
static void check_at_most(struct reading *reading, const struct setting_entry *entry)
{
    const struct setting_entry *bound = find_entry(reading->table, entry->at_most);
    if (reading->rejected[bound - reading->table->entries]) {
        return;
    }
    uint32_t value = *(const uint32_t *)value_of(entry, reading->settings);
    uint32_t limit = *(const uint32_t *)value_of(bound, reading->settings);
    if (value > limit) {
        add_fault(reading, "settings: %s = %u: must be at most %s = %u", entry->name, value,
                  bound->name, limit);
    }
}

/* Checks a value after all sources are read: whether it is set, and its relation to others. */
static void check_entry(struct reading *reading, const struct setting_entry *entry)
{
    if (reading->rejected[entry - reading->table->entries]) {
        return;
    }
    if (entry->required) {
        const char *text = *(char *const *)value_of(entry, reading->settings);
        if (text[0] == '\0') {
            add_fault(reading, "settings: %s: must be set", entry->name);
        }
    }
    if (entry->at_most != NULL) {
        check_at_most(reading, entry);
    }
}

/* Sets an error with all faults; true if there are none. */
static bool report(struct reading *reading, GError **error)
{
    if (reading->faults->len == 0) {
        return true;
    }
    g_autoptr(GString) lines = g_string_new(NULL);
    for (guint i = 0; i < reading->faults->len; i++) {
        g_string_append_printf(lines, "%s%s", i == 0 ? "" : "\n",
                               (const char *)g_ptr_array_index(reading->faults, i));
    }
    g_set_error_literal(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, lines->str);
    return false;
}

void setting_table_defaults(const struct setting_table *table, void *settings,
                            enum setting_source *sources)
{
    for (size_t i = 0; i < table->count; i++) {
        const struct setting_entry *entry = &table->entries[i];
        if (entry->type == SETTING_TYPE_ADDRESS_LIST) {
            *(struct address_list *)value_at(entry, settings) = (struct address_list){0};
        }
        if (entry->type == SETTING_TYPE_TEXT || entry->type == SETTING_TYPE_ADDRESS) {
            *(char **)value_at(entry, settings) = NULL;
        }
        bool valid = read_value(entry, entry->default_text, settings);
        g_assert(valid);
        sources[i] = SETTING_SOURCE_DEFAULT;
    }
}

void setting_table_clear(const struct setting_table *table, void *settings)
{
    for (size_t i = 0; i < table->count; i++) {
        const struct setting_entry *entry = &table->entries[i];
        if (entry->type == SETTING_TYPE_ADDRESS_LIST) {
            struct address_list *list = value_at(entry, settings);
            g_strfreev(list->items);
            *list = (struct address_list){0};
        }
        if (entry->type == SETTING_TYPE_TEXT || entry->type == SETTING_TYPE_ADDRESS) {
            g_clear_pointer((char **)value_at(entry, settings), g_free);
        }
    }
}

bool setting_table_read(const struct setting_table *table, void *settings,
                        enum setting_source *sources, const char *file, const char *text,
                        const char *const *overrides, GError **error)
{
    struct reading reading = {.table = table, .settings = settings};
    reading.sources = sources;
    reading.faults = g_ptr_array_new_with_free_func(g_free);
    reading.rejected = g_new0(bool, table->count);
    if (text != NULL) {
        read_key_file(&reading, file, text);
    } else if (file != NULL) {
        read_file(&reading, file);
    }
    for (size_t i = 0; overrides != NULL && overrides[i] != NULL; i++) {
        read_override(&reading, overrides[i]);
    }
    for (size_t i = 0; i < table->count && !reading.file_failed; i++) {
        check_entry(&reading, &table->entries[i]);
    }
    bool valid = report(&reading, error);
    g_ptr_array_unref(reading.faults);
    g_free(reading.rejected);
    return valid;
}

static void print_value(const struct setting_entry *entry, const void *settings, GString *out)
{
    const void *value = value_of(entry, settings);
    switch (entry->type) {
    case SETTING_TYPE_U32:
        g_string_append_printf(out, "%u", *(const uint32_t *)value);
        break;
    case SETTING_TYPE_SIZE:
        g_string_append_printf(out, "%" PRIu64, *(const uint64_t *)value);
        break;
    case SETTING_TYPE_DECIMAL:
        g_string_append_printf(out, "%g", *(const double *)value);
        break;
    case SETTING_TYPE_BOOL:
        g_string_append(out, *(const bool *)value ? "true" : "false");
        break;
    case SETTING_TYPE_TEXT:
    case SETTING_TYPE_ADDRESS:
        g_string_append(out, *(char *const *)value);
        break;
    case SETTING_TYPE_CHOICE:
        g_string_append(out, entry->choices[*(const unsigned *)value]);
        break;
    case SETTING_TYPE_ADDRESS_LIST: {
        const struct address_list *list = value;
        g_autofree char *joined = list->items == NULL ? NULL : g_strjoinv(",", list->items);
        g_string_append(out, joined == NULL ? "" : joined);
        break;
    }
    }
}

char *setting_table_print(const struct setting_table *table, const void *settings,
                          const enum setting_source *sources)
{
    static const char *const source_names[] = {
        [SETTING_SOURCE_DEFAULT] = "default",
        [SETTING_SOURCE_FILE] = "file",
        [SETTING_SOURCE_OVERRIDE] = OVERRIDE_PLACE,
    };
    GString *out = g_string_new(NULL);
    for (size_t i = 0; i < table->count; i++) {
        const struct setting_entry *entry = &table->entries[i];
        g_string_append_printf(out, "%s = ", entry->name);
        print_value(entry, settings, out);
        if (entry->unit != NULL) {
            g_string_append_printf(out, " %s", entry->unit);
        }
        g_string_append_printf(out, " (%s)\n", source_names[sources[i]]);
    }
    return g_string_free(out, FALSE);
}
