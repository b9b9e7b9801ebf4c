/* Loads the configuration that a command's operand names. */
#include "ctl/source.h"

#include <inttypes.h>
#include <string.h>

#include "configuration/problem.h"
#include "core/error.h"

#define LATEST "@latest"

/* Divisor of the command's time-out that gives the time-out of one call, so that after a lost reply
 * there is time to find out the outcome. */
#define CALLS_PER_TIMEOUT 3

bool source_parse_version(const char *text, uint64_t *version)
{
    guint64 value = 0;

    if (!g_ascii_string_to_unsigned(text[0] == '@' ? text + 1 : text, 10, 1, G_MAXUINT64, &value,
                                    NULL)) {
        return false;
    }
    *version = value;
    return true;
}

struct version_store *source_open_store(struct invocation *invocation, GError **error)
{
    struct platform_settings settings;

    if (!command_platform_settings(invocation, &settings, error)) {
        return NULL;
    }
    settings.call_timeout_ms = (uint32_t)MAX(1, invocation->timeout_ms / CALLS_PER_TIMEOUT);
    return version_store_new(&settings);
}

static struct configuration *parse(const char *text, gsize length, const char *source,
                                   GPtrArray *problems, GError **error)
{
    struct configuration *configuration = NULL;

    if (!configuration_parse(text, length, source, &configuration, problems)) {
        g_autofree char *faults = configuration_problems_text(problems);
        g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, "%u faults\n%s",
                    problems->len, g_strchomp(faults));
    }
    return configuration;
}

struct configuration *source_load_file(const char *path, GPtrArray *problems, GError **error)
{
    g_autofree char *text = NULL;
    gsize length = 0;

    if (!g_file_get_contents(path, &text, &length, error)) {
        return NULL;
    }
    return parse(text, length, path, problems, error);
}

static enum platform_result read_row(struct version_store *store, const char *operand,
                                     struct version_row **row, GError **error)
{
    uint64_t version = 0;

    if (strcmp(operand, LATEST) == 0) {
        return version_store_read_head(store, row, error);
    }
    if (!source_parse_version(operand, &version)) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                    "%s: must be @latest or @ and a version", operand);
        return PLATFORM_RESULT_REFUSED;
    }
    return version_store_read_version(store, version, row, error);
}

static struct configuration *load_version(struct version_store *store, const char *operand,
                                          GError **error)
{
    struct version_row *row = NULL;
    g_autoptr(GBytes) canonical = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();

    enum platform_result result = read_row(store, operand, &row, error);
    if (result == PLATFORM_RESULT_NOT_FOUND) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_NOENT, "%s is not published", operand);
    }
    if (result == PLATFORM_RESULT_OK) {
        result = version_store_get_bundle(store, row->hash, &canonical, error);
    }
    version_row_free(row);
    if (result != PLATFORM_RESULT_OK) {
        return NULL;
    }
    gsize length = 0;
    const char *text = g_bytes_get_data(canonical, &length);
    return parse(text, length, operand, problems, error);
}

struct configuration *source_load(struct invocation *invocation, const char *operand,
                                  GError **error)
{
    if (operand[0] != '@') {
        g_autoptr(GPtrArray) problems = configuration_problems_new();
        return source_load_file(operand, problems, error);
    }
    struct version_store *store = source_open_store(invocation, error);
    if (store == NULL) {
        return NULL;
    }
    struct configuration *configuration = load_version(store, operand, error);
    version_store_free(store);
    return configuration;
}
