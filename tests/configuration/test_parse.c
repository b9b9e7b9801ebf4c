/* Parsing of valid bundles: derived routes, look-ups, canonical form, parsing in slices. */
#include "configuration/configuration.h"

#include <string.h>

#include "configuration/problem.h"
#include "configuration/route_field.h"

static struct configuration *parse_text(const char *text)
{
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct configuration *configuration = NULL;

    bool valid = configuration_parse(text, strlen(text), "test.json", &configuration, problems);
    g_autofree char *faults = configuration_problems_text(problems);
    g_assert_cmpstr(faults, ==, "");
    g_assert_true(valid);
    return configuration;
}

static char *example_text(const char *directory)
{
    g_autofree char *path =
        g_build_filename(g_getenv("CONFIGURATION_EXAMPLES"), directory, "configuration.json", NULL);
    char *text = NULL;
    g_autoptr(GError) error = NULL;

    g_file_get_contents(path, &text, NULL, &error);
    g_assert_no_error(error);
    return text;
}

static struct configuration *parse_example(const char *directory)
{
    g_autofree char *text = example_text(directory);

    return parse_text(text);
}

static void assert_sizes(const struct configuration *configuration, guint zones, uint32_t slots,
                         uint32_t connections)
{
    g_assert_cmpuint(configuration->zones->len, ==, zones);
    g_assert_cmpuint(configuration->groups->len, ==, 3);
    for (guint i = 0; i < configuration->groups->len; i++) {
        const struct group_configuration *group = g_ptr_array_index(configuration->groups, i);
        g_assert_cmpuint(group->database_count, ==, 3);
        g_assert_cmpuint(group->zone_count, ==, 3);
        for (uint32_t j = 0; j < group->database_count; j++) {
            g_assert_cmpuint(group->databases[j].slots, ==, slots);
            g_assert_cmpuint(group->databases[j].connections, ==, connections);
        }
    }
}

static void test_atlas_example(void)
{
    struct configuration *configuration = parse_example("atlas-huts");

    assert_sizes(configuration, 3, 5, 35);
    const struct tenant_route *route =
        configuration_find_tenant(configuration, "agency-marrakech-medina");
    g_assert_nonnull(route);
    g_assert_cmpstr(route->template_name, ==, "agency");
    g_assert_cmpuint(route->group, ==, 1);
    g_assert_cmpuint(route->max_staleness_ms, ==, 250);
    g_assert_cmpuint(route->weight, ==, 300);
    g_assert_cmpuint(route->request_timeout_ms, ==, 2500);
    g_assert_true(route->reads_from_replicas);
    g_assert_true(route->writes_require_key);
    g_assert_cmpuint(route->idempotency_days, ==, 30);
    configuration_unref(configuration);
}

static void test_meters_example(void)
{
    struct configuration *configuration = parse_example("kitakaze-meters");

    assert_sizes(configuration, 4, 4, 65);
    const struct tenant_route *resident =
        configuration_find_tenant(configuration, "residents-phone");
    const struct tenant_route *prepayment =
        configuration_find_tenant(configuration, "prepayment-east");
    g_assert_cmpuint(resident->max_staleness_ms, ==, 60000);
    g_assert_cmpuint(resident->read_primary_share_percent, ==, 2);
    g_assert_cmpuint(prepayment->max_staleness_ms, ==, 0);
    g_assert_cmpuint(prepayment->idempotency_days, ==, 90);
    g_assert_true(prepayment->writes_require_key);
    configuration_unref(configuration);
}

static void test_look_ups(void)
{
    struct configuration *configuration = parse_example("atlas-huts");
    uint32_t index = 0;

    const struct group_configuration *group = configuration_find_group(configuration, 2);
    g_assert_cmpstr(group->name, ==, "bookings-mgoun");
    g_assert_true(configuration_find_group_by_name(configuration, "bookings-mgoun") == group);
    g_assert_true(configuration_find_database(configuration, "mgoun-3", &index) == group);
    g_assert_cmpuint(index, ==, 2);
    g_assert_cmpuint(group->databases[index].port, ==, 21012);
    g_assert_cmpuint(configuration_find_zone_by_name(configuration, "marrakech")->id, ==, 2);
    g_assert_null(configuration_find_group(configuration, 9));
    g_assert_null(configuration_find_group_by_name(configuration, "mgoun"));
    g_assert_null(configuration_find_database(configuration, "mgoun-4", &index));
    g_assert_null(configuration_find_tenant(configuration, "nobody"));
    g_assert_null(configuration_find_zone_by_name(configuration, "paris"));
    configuration_unref(configuration);
}

static void test_tenants_of_template(void)
{
    struct configuration *configuration = parse_example("atlas-huts");
    g_autoptr(GPtrArray) guides = configuration_tenants_of_template(configuration, "guide");
    g_autoptr(GPtrArray) absent = configuration_tenants_of_template(configuration, "absent");

    g_assert_cmpuint(guides->len, ==, 2);
    const struct tenant_route *first = g_ptr_array_index(guides, 0);
    const struct tenant_route *second = g_ptr_array_index(guides, 1);
    g_assert_cmpstr(first->tenant, ==, "guides-ait-bougmez");
    g_assert_cmpstr(second->tenant, ==, "guides-imlil");
    g_assert_cmpuint(absent->len, ==, 0);
    configuration_unref(configuration);
}

#define SMALL_GROUPS                                                                               \
    "\"groups\":{\"main\":{\"id\":7,\"databases\":[{\"name\":\"a\",\"zone\":\"z\","                \
    "\"host\":\"::1\",\"port\":1,\"slots\":1,\"connections\":2}]}}"

static const char ordered[] =
    "{" SMALL_GROUPS ",\"templates\":{\"t\":{\"parameters\":{},\"route\":{\"group\":\"main\","
    "\"weight\":5}}},\"tenants\":{\"x\":{\"template\":\"t\"}},\"zones\":{\"z\":{\"id\":1}}}";

static const char reordered[] =
    " {\"zones\": {\"z\": {\"id\": 1}}, \"tenants\":\n{\"x\":{\"template\":\"t\"}},"
    "\"templates\":{\"t\":{\"route\":{\"weight\":5,\"group\":\"main\"},\"parameters\":{}}},"
    "" SMALL_GROUPS "}\n";

static void test_canonical_ignores_order_and_space(void)
{
    struct configuration *first = parse_text(ordered);
    struct configuration *second = parse_text(reordered);

    g_assert_true(g_bytes_equal(configuration_canonical(first), configuration_canonical(second)));
    g_assert_cmpstr(configuration_hash(first), ==, configuration_hash(second));
    g_assert_cmpuint(strlen(configuration_hash(first)), ==, CONFIGURATION_HASH_LENGTH);
    configuration_unref(first);
    configuration_unref(second);
}

/* The canonical form of the canonical form is the same text, and the hash is the checksum of its
 * bytes. */
static void test_canonical_is_a_fixed_point(void)
{
    struct configuration *configuration = parse_example("kitakaze-meters");
    gsize length = 0;
    const char *canonical = g_bytes_get_data(configuration_canonical(configuration), &length);
    g_autofree char *checksum =
        g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)canonical, length);
    g_autofree char *copy = g_strndup(canonical, length);
    struct configuration *again = parse_text(copy);

    g_assert_cmpstr(checksum, ==, configuration_hash(configuration));
    g_assert_cmpstr(configuration_hash(again), ==, configuration_hash(configuration));
    configuration_unref(configuration);
    configuration_unref(again);
}

static void test_defaults_of_the_route(void)
{
    struct configuration *configuration = parse_text(ordered);
    const struct tenant_route *route = configuration_find_tenant(configuration, "x");

    g_assert_cmpuint(route->group, ==, 7);
    g_assert_cmpuint(route->weight, ==, 5);
    g_assert_cmpuint(route->max_staleness_ms, ==, 0);
    g_assert_cmpuint(route->request_timeout_ms, ==, 5000);
    g_assert_true(route->reads_from_replicas);
    g_assert_false(route->writes_require_key);
    g_assert_cmpuint(route->idempotency_days, ==, 7);
    configuration_unref(configuration);
}

static void test_routes_compare_by_content(void)
{
    struct configuration *first = parse_text(ordered);
    struct configuration *second = parse_text(ordered);
    const struct tenant_route *left = configuration_find_tenant(first, "x");
    struct tenant_route right = *configuration_find_tenant(second, "x");

    g_assert_true(tenant_route_equal(left, &right));
    right.writes_require_key = true;
    g_assert_false(tenant_route_equal(left, &right));
    configuration_unref(first);
    configuration_unref(second);
}

static void test_reference_counting(void)
{
    struct configuration *configuration = parse_text(ordered);
    struct configuration *second = configuration_ref(configuration);

    configuration_unref(configuration);
    g_assert_nonnull(configuration_find_tenant(second, "x"));
    configuration_unref(second);
    configuration_unref(NULL);
}

/* The field's row in the table of docs/configuration.md: "| `name` | type and bounds | default |".
 */
static char *documented_row(const struct route_field_info *info)
{
    const struct value_bounds *bounds = &info->bounds;

    switch (bounds->type) {
    case VALUE_TYPE_INTEGER:
        return g_strdup_printf("| `%s` | integer %d to %d | %d |", info->name, (int)bounds->minimum,
                               (int)bounds->maximum, (int)info->default_value);
    case VALUE_TYPE_BOOLEAN:
        return g_strdup_printf("| `%s` | boolean | %s |", info->name,
                               info->default_value != 0 ? "true" : "false");
    case VALUE_TYPE_GROUP:
        break;
    }
    return g_strdup_printf("| `%s` | group | required |", info->name);
}

static void test_fields_are_documented(void)
{
    g_autofree char *path =
        g_build_filename(g_getenv("CONFIGURATION_EXAMPLES"), "../docs/configuration.md", NULL);
    g_autofree char *text = NULL;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        g_autofree char *row = documented_row(route_field_info(field));
        if (strstr(text, row) == NULL) {
            g_error("docs/configuration.md: missing row: %s", row);
        }
    }
}

/* A canonical bundle with this number of tenants. Descriptions contain text that looks like JSON
 * structure, which the split into slices must skip. */
static GString *make_canonical(guint tenants)
{
    GString *text = g_string_new(
        "{\"description\":\"a \\\"tenants\\\":{ in a text\",\"groups\":{\"main\":{\"databases\":[{"
        "\"connections\":9,\"host\":\"127.0.0.1\",\"name\":\"main-1\",\"port\":21000,\"slots\":1,"
        "\"zone\":\"north\"}],\"id\":1}},\"templates\":{\"plain\":{\"parameters\":{\"weight\":{"
        "\"maximum\":1000,\"minimum\":1,\"type\":\"integer\"}},\"route\":{\"group\":\"main\","
        "\"weight\":{\"parameter\":\"weight\"}}}},\"tenants\":{");
    for (guint i = 0; i < tenants; i++) {
        g_string_append_printf(text,
                               "%s\"t%05u\":{\"description\":\"{,}\\\\\",\"parameters\":{"
                               "\"weight\":%u},\"template\":\"plain\"}",
                               i > 0 ? "," : "", i, i % 1000 + 1);
    }
    g_string_append(text, "},\"zones\":{\"north\":{\"id\":1}}}");
    return text;
}

/* Parses a text as a whole and in slices, and checks that both give the same faults. True if valid.
 */
static bool parse_both(const char *text, struct configuration **unsliced,
                       struct configuration **canonical)
{
    g_autoptr(GPtrArray) unsliced_problems = configuration_problems_new();
    g_autoptr(GPtrArray) canonical_problems = configuration_problems_new();
    g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));

    bool valid = configuration_parse(text, strlen(text), "test", unsliced, unsliced_problems);
    bool canonical_valid =
        configuration_parse_canonical(bytes, "test", canonical, canonical_problems);
    g_autofree char *unsliced_faults = configuration_problems_text(unsliced_problems);
    g_autofree char *canonical_faults = configuration_problems_text(canonical_problems);
    g_assert_cmpstr(canonical_faults, ==, unsliced_faults);
    g_assert_true(valid == canonical_valid);
    return valid;
}

static void check_same(const struct configuration *left, const struct configuration *right)
{
    g_assert_cmpstr(configuration_hash(left), ==, configuration_hash(right));
    g_assert_true(g_bytes_equal(configuration_canonical(left), configuration_canonical(right)));
    g_assert_cmpuint(left->tenants->len, ==, right->tenants->len);
    for (guint i = 0; i < left->tenants->len; i++) {
        const struct tenant_route *route = g_ptr_array_index(left->tenants, i);
        const struct tenant_route *other = configuration_find_tenant(right, route->tenant);
        g_assert_nonnull(other);
        g_assert_true(tenant_route_equal(route, other));
        g_assert_cmpstr(route->template_name, ==, other->template_name);
    }
    g_assert_cmpuint(left->groups->len, ==, right->groups->len);
    g_assert_cmpuint(left->zones->len, ==, right->zones->len);
}

/* A canonical bundle gives the same configuration in slices as in one piece. The counts include one
 * less and one more than the size of a slice. */
static void test_slices_read_the_same(void)
{
    static const guint counts[] = {0, 1, 999, 1000, 1001, 2500};

    for (gsize i = 0; i < G_N_ELEMENTS(counts); i++) {
        struct configuration *unsliced = NULL;
        struct configuration *canonical = NULL;
        g_autoptr(GString) text = make_canonical(counts[i]);
        bool valid = parse_both(text->str, &unsliced, &canonical);
        g_assert_true(valid);
        g_assert_cmpuint(unsliced->tenants->len, ==, counts[i]);
        check_same(unsliced, canonical);
        configuration_unref(unsliced);
        configuration_unref(canonical);
    }
    g_autofree char *example = example_text("atlas-huts");
    struct configuration *first = parse_text(example);
    struct configuration *second = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    bool valid =
        configuration_parse_canonical(configuration_canonical(first), "test", &second, problems);
    g_assert_true(valid);
    check_same(first, second);
    configuration_unref(first);
    configuration_unref(second);
}

/* Invalid text gives the same faults in slices as in one piece: a fault in any slice, the same
 * tenant in two slices, a missing section, unbalanced brackets and truncated text. */
static void test_slices_have_the_same_faults(void)
{
    static const char *const edits[][2] = {
        {"\"t02100\":{", "\"t02100\":{\"colour\":1,"},
        {"\"t00001\":{", "\"t00001\":7,\"t00001x\":{"},
        {"\"t02100\":{", "\"t00003\":{"},
        {"\"templates\":{", "\"template\":{"},
        {"\"tenants\":{\"", "\"tenants\":{,\""},
        {"},\"zones\"", ",\"zones\""},
        {"\"tenants\":{", "\"tenants\":["},
    };

    for (gsize i = 0; i < G_N_ELEMENTS(edits); i++) {
        struct configuration *unsliced = NULL;
        struct configuration *canonical = NULL;
        g_autoptr(GString) text = make_canonical(2500);
        guint replaced = g_string_replace(text, edits[i][0], edits[i][1], 1);
        g_assert_cmpuint(replaced, ==, 1);
        bool valid = parse_both(text->str, &unsliced, &canonical);
        g_assert_false(valid);
    }
    for (gsize removed_bytes = 1; removed_bytes < 400; removed_bytes++) {
        struct configuration *unsliced = NULL;
        struct configuration *canonical = NULL;
        g_autoptr(GString) text = make_canonical(3);
        g_string_truncate(text, text->len - MIN(removed_bytes, text->len));
        bool valid = parse_both(text->str, &unsliced, &canonical);
        g_assert_false(valid);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configuration/example/atlas-huts", test_atlas_example);
    g_test_add_func("/configuration/example/kitakaze-meters", test_meters_example);
    g_test_add_func("/configuration/look-ups", test_look_ups);
    g_test_add_func("/configuration/tenants-of-template", test_tenants_of_template);
    g_test_add_func("/configuration/canonical/order", test_canonical_ignores_order_and_space);
    g_test_add_func("/configuration/canonical/fixed-point", test_canonical_is_a_fixed_point);
    g_test_add_func("/configuration/route/defaults", test_defaults_of_the_route);
    g_test_add_func("/configuration/route/equal", test_routes_compare_by_content);
    g_test_add_func("/configuration/route/documented", test_fields_are_documented);
    g_test_add_func("/configuration/references", test_reference_counting);
    g_test_add_func("/configuration/slices/same", test_slices_read_the_same);
    g_test_add_func("/configuration/slices/faults", test_slices_have_the_same_faults);
    return g_test_run();
}
