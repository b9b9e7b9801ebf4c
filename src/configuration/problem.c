/* Faults found in a configuration bundle: storage and text. */
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

/* json-glib makes no UTF-8 of half a surrogate pair ("\\ud800"), which a fault may quote. */
static char *whole_characters(const char *text)
{
    return text != NULL ? g_utf8_make_valid(text, -1) : NULL;
}

void configuration_problems_add(GPtrArray *problems, const char *source, const char *path,
                                const char *value, const char *fault, const char *allowed)
{
    struct configuration_problem *problem = g_new0(struct configuration_problem, 1);

    problem->source = g_strdup(source);
    problem->path = whole_characters(path);
    problem->value = whole_characters(value);
    problem->fault = whole_characters(fault);
    problem->allowed = whole_characters(allowed);
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
