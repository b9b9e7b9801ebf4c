/* Differences of configurations: added, removed and changed sections, and changes of derived
 * routes. */
#include "configuration/diff.h"

#include <string.h>

#include "configuration/problem.h"

#define ZONES "\"zones\":{\"z\":{\"id\":1}}"
#define DATABASE(name, port)                                                                       \
    "{\"name\":\"" name "\",\"zone\":\"z\",\"host\":\"::1\",\"port\":" port                        \
    ",\"slots\":1,\"connections\":2}"
#define GROUPS(databases) "\"groups\":{\"g\":{\"id\":1,\"databases\":[" databases "]}}"
#define TEMPLATE(name, weight)                                                                     \
    "\"" name "\":{\"parameters\":{},\"route\":{\"group\":\"g\",\"weight\":" weight "}}"
#define BUNDLE(databases, templates, tenants)                                                      \
    "{" ZONES "," GROUPS(databases) ",\"templates\":{" templates "},\"tenants\":{" tenants "}}"

static struct configuration *parse(const char *text)
{
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct configuration *configuration = NULL;

    configuration_parse(text, strlen(text), "test.json", &configuration, problems);
    g_assert_nonnull(configuration);
    return configuration;
}

/* The changes, one per line: "SECTION NAME KIND FIELD=BEFORE>AFTER ...". */
static char *describe(const char *before_text, const char *after_text)
{
    struct configuration *before = before_text != NULL ? parse(before_text) : NULL;
    struct configuration *after = parse(after_text);
    g_autoptr(GPtrArray) changes = configuration_diff(before, after);
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < changes->len; i++) {
        const struct configuration_change *change = g_ptr_array_index(changes, i);
        g_string_append_printf(text, "%s %s %s", change_section_name(change->section), change->name,
                               change_kind_name(change->kind));
        for (guint j = 0; j < change->fields->len; j++) {
            const struct field_change *field = g_ptr_array_index(change->fields, j);
            g_string_append_printf(text, " %s=%s>%s", field->field,
                                   field->before != NULL ? field->before : "",
                                   field->after != NULL ? field->after : "");
        }
        g_string_append_c(text, '\n');
    }
    configuration_unref(before);
    configuration_unref(after);
    return g_string_free(text, FALSE);
}

static const char base[] = BUNDLE(DATABASE("a", "1"), TEMPLATE("t", "5") "," TEMPLATE("u", "5"),
                                  "\"x\":{\"template\":\"t\"},\"y\":{\"template\":\"t\"}");

static void test_no_change(void)
{
    g_autofree char *changes = describe(base, base);

    g_assert_cmpstr(changes, ==, "");
}

static void test_first_version(void)
{
    g_autofree char *changes = describe(NULL, base);

    g_assert_cmpstr(changes, ==,
                    "zone z added\ngroup g added\ntemplate t added\ntemplate u added\n"
                    "tenant x added\ntenant y added\n");
}

static void test_template_changes_its_tenants(void)
{
    g_autofree char *changes =
        describe(base, BUNDLE(DATABASE("a", "1"), TEMPLATE("t", "6") "," TEMPLATE("u", "5"),
                              "\"x\":{\"template\":\"t\"},\"y\":{\"template\":\"u\"}"));

    g_assert_cmpstr(changes, ==,
                    "template t changed route/weight=5>6\n"
                    "tenant x changed weight=5>6\n"
                    "tenant y changed template=t>u\n");
}

static void test_added_and_removed(void)
{
    g_autofree char *changes =
        describe(base, BUNDLE(DATABASE("a", "1") "," DATABASE("b", "2"), TEMPLATE("t", "5"),
                              "\"w\":{\"template\":\"t\"},\"y\":{\"template\":\"t\"}"));

    g_assert_cmpstr(
        changes, ==,
        "group g changed databases/1=>{\"connections\":2,\"host\":\"::1\",\"name\":\"b\","
        "\"port\":2,\"slots\":1,\"zone\":\"z\"}\n"
        "template u removed\n"
        "tenant w added\n"
        "tenant x removed\n");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/diff/none", test_no_change);
    g_test_add_func("/diff/first-version", test_first_version);
    g_test_add_func("/diff/template", test_template_changes_its_tenants);
    g_test_add_func("/diff/added-and-removed", test_added_and_removed);
    return g_test_run();
}
