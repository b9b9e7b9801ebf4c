/* Parameters, results and errors. See result.h. */
#include "result.h"

#include <stdlib.h>
#include <string.h>

struct parameters *parameters_new(void)
{
    struct parameters *parameters = g_new0(struct parameters, 1);
    parameters->values = g_ptr_array_new_with_free_func(g_free);
    parameters->oids = g_array_new(FALSE, TRUE, sizeof(guint));
    return parameters;
}

void parameters_add(struct parameters *parameters, const char *value, guint oid)
{
    g_ptr_array_add(parameters->values, g_strdup(value));
    g_array_append_val(parameters->oids, oid);
}

struct parameters *parameters_copy(const struct parameters *source)
{
    struct parameters *copy = parameters_new();
    for (guint i = 0; i < source->values->len; i++) {
        parameters_add(copy, g_ptr_array_index(source->values, i),
                       g_array_index(source->oids, guint, i));
    }
    return copy;
}

void parameters_free(struct parameters *parameters)
{
    if (parameters == NULL) {
        return;
    }
    g_ptr_array_unref(parameters->values);
    g_array_unref(parameters->oids);
    g_free(parameters);
}

char *parameters_argument(const struct parameters *parameters, const char *raw)
{
    g_autofree char *text = g_strstrip(g_strdup(raw));
    size_t length = strlen(text);
    if (text[0] == '$') {
        unsigned long number = strtoul(text + 1, NULL, 10);
        bool valid = number > 0 && number <= parameters->values->len;
        return valid ? g_strdup(g_ptr_array_index(parameters->values, number - 1)) : NULL;
    }
    if (length >= 2 && text[0] == '\'' && text[length - 1] == '\'') {
        return g_strndup(text + 1, length - 2);
    }
    return length > 0 ? g_steal_pointer(&text) : NULL;
}

void result_init(struct result *result)
{
    memset(result, 0, sizeof *result);
    result->names = g_ptr_array_new_with_free_func(g_free);
    result->oids = g_array_new(FALSE, TRUE, sizeof(guint));
    result->cells = g_ptr_array_new_with_free_func(g_free);
}

void result_clear(struct result *result)
{
    g_ptr_array_unref(result->names);
    g_array_unref(result->oids);
    g_ptr_array_unref(result->cells);
}

void result_add_column(struct result *result, const char *name, guint oid)
{
    g_ptr_array_add(result->names, g_strdup(name));
    g_array_append_val(result->oids, oid);
}

void result_add_text(struct result *result, const char *text)
{
    g_ptr_array_add(result->cells, g_strdup(text));
}

void result_add_int(struct result *result, uint64_t number)
{
    g_ptr_array_add(result->cells, g_strdup_printf("%" G_GUINT64_FORMAT, number));
}

void result_add_bool(struct result *result, bool value)
{
    result_add_text(result, value ? "t" : "f");
}

bool sql_error_set(struct sql_error *error, const char *sqlstate, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_free(error->message);
    error->message = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_strlcpy(error->sqlstate, sqlstate, sizeof error->sqlstate);
    error->position = 0;
    return false;
}

void sql_error_clear(struct sql_error *error)
{
    g_clear_pointer(&error->message, g_free);
    error->sqlstate[0] = '\0';
    error->position = 0;
}
