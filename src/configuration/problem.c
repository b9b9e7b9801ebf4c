/* Faults found in a configuration bundle: list and formatting. */
#include "configuration/problem.h"

static void problem_free(gpointer data)
{
    struct configuration_problem *problem = data;

    g_free(problem->source);
    g_free(problem->path);
    g_free(problem->value);
    g_free(problem->fault);
    g_free(problem->allowed);
    g_free(problem);
}

GPtrArray *configuration_problems_new(void)
{
    return g_ptr_array_new_with_free_func(problem_free);
}

/* Copies a text as valid UTF-8. json-glib decodes an unpaired surrogate ("\\ud800") to bytes that
 * are not UTF-8, and a fault may quote them. */
static char *copy_valid_utf8(const char *text)
{
    return text != NULL ? g_utf8_make_valid(text, -1) : NULL;
}

void configuration_problems_add(GPtrArray *problems, const char *source, const char *path,
                                const char *value, const char *fault, const char *allowed)
{
    struct configuration_problem *problem = g_new0(struct configuration_problem, 1);

    problem->source = g_strdup(source);
    problem->path = copy_valid_utf8(path);
    problem->value = copy_valid_utf8(value);
    problem->fault = copy_valid_utf8(fault);
    problem->allowed = copy_valid_utf8(allowed);
    g_ptr_array_add(problems, problem);
}

char *configuration_problem_text(const struct configuration_problem *problem)
{
    const char *value = problem->value != NULL ? problem->value : "";
    const char *gap = problem->value != NULL ? " " : "";

    return g_strdup_printf("%s: %s: %s%s%s; allowed: %s", problem->source, problem->path, value,
                           gap, problem->fault, problem->allowed);
}

char *configuration_problems_text(const GPtrArray *problems)
{
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < problems->len; i++) {
        g_autofree char *line = configuration_problem_text(g_ptr_array_index(problems, i));
        g_string_append(text, line);
        g_string_append_c(text, '\n');
    }
    return g_string_free(text, FALSE);
}
