/* Fuzzing of the bundle parser with mutated bundles. Any input must give either a configuration
 * whose canonical form parses to an equal one, or faults that are valid UTF-8 and name the file. */
#include "configuration/configuration.h"

#include "configuration/problem.h"
#include "mutator.h"

#define SEED   20260214
#define ROUNDS 20000
#define FILE   "b.json"

static struct configuration *parse(const char *text, gsize length, char **faults)
{
    struct configuration *configuration = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    bool valid = configuration_parse(text, length, FILE, &configuration, problems);
    g_assert_cmpint(valid, ==, configuration != NULL);
    g_assert_cmpint(valid, ==, problems->len == 0);
    *faults = configuration_problems_text(problems);
    return configuration;
}

/* Checks that the canonical form parses to a configuration with the same hash. */
static void check_configuration(const struct configuration *configuration)
{
    g_autofree char *faults = NULL;
    gsize length = 0;
    const char *canonical = g_bytes_get_data(configuration_canonical(configuration), &length);
    struct configuration *again = parse(canonical, length, &faults);
    g_assert_cmpstr(faults, ==, "");
    g_assert_cmpstr(configuration_hash(again), ==, configuration_hash(configuration));
    configuration_unref(again);
}

static void check_faults(const char *faults)
{
    g_assert_true(g_utf8_validate(faults, -1, NULL));
    g_auto(GStrv) lines = g_strsplit(faults, "\n", -1);
    g_assert_true(g_str_has_prefix(lines[0], FILE ": "));
}

static void test_bundles(void)
{
    struct mutator mutator;
    unsigned valid = 0;
    mutator_open(&mutator, "configuration/corpus", SEED);
    for (unsigned round = 0; round < ROUNDS; round++) {
        g_autoptr(GByteArray) text = mutator_next(&mutator);
        g_autofree char *faults = NULL;
        struct configuration *configuration = parse((const char *)text->data, text->len, &faults);
        if (configuration != NULL) {
            check_configuration(configuration);
            valid++;
        } else {
            check_faults(faults);
        }
        configuration_unref(configuration);
    }
    g_test_message("%u of %d bundles valid", valid, ROUNDS);
    g_assert_cmpuint(valid, >, 0);
    mutator_close(&mutator);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configuration/mutations", test_bundles);
    return g_test_run();
}
