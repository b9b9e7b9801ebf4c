/* Changes of a group's databases between two versions: how they are counted, and that any majority
 * before an allowed change and any majority after it share a database. */
#include "configuration/database_change.h"

#include <string.h>

#include "configuration/problem.h"
#include "core/acknowledge.h"
#include "core/error.h"
#include "generated/errors.h"

/* A configuration with one group, called "beds". Each character of `databases` stands for a
 * database with its own port; its name is `prefix` and the character. */
static struct configuration *make_group(const char *databases, uint32_t id, const char *prefix)
{
    g_autoptr(GString) text = g_string_new(NULL);
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct configuration *configuration = NULL;

    g_string_printf(text,
                    "{\"zones\":{\"z\":{\"id\":1}},\"templates\":{},\"tenants\":{},"
                    "\"groups\":{\"beds\":{\"id\":%u,\"databases\":[",
                    id);
    for (const char *c = databases; *c != '\0'; c++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"%s%c\",\"zone\":\"z\",\"host\":\"127.0.0.1\","
                               "\"port\":%d,\"slots\":1,\"connections\":9}",
                               c == databases ? "" : ",", prefix, *c, 21000 + *c);
    }
    g_string_append(text, "]}}}");
    bool parsed = configuration_parse(text->str, text->len, "test", &configuration, problems);
    g_assert_true(parsed);
    return configuration;
}

/* True if the change is allowed. Sets `count` to the number of databases added and removed. Frees
 * both configurations. */
static bool is_allowed(struct configuration *before, struct configuration *after, guint *count)
{
    g_autoptr(GPtrArray) changes = database_changes_find(before, after);
    g_autoptr(GError) error = NULL;
    bool allowed = database_changes_check(changes, &error);

    g_assert_cmpuint(changes->len, <=, 1);
    *count = 0;
    if (changes->len > 0) {
        const struct database_change *change = g_ptr_array_index(changes, 0);
        *count = change->added->len + change->removed->len;
    }
    if (!allowed) {
        g_assert_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION);
        g_assert_nonnull(strstr(error->message, "group \"beds\""));
    }
    configuration_unref(before);
    configuration_unref(after);
    return allowed;
}

static void check(const char *before, const char *after, guint expected)
{
    guint count = 0;
    bool allowed = is_allowed(make_group(before, 1, "db-"), make_group(after, 1, "db-"), &count);

    g_assert_cmpuint(count, ==, expected);
    g_assert_true(allowed == (expected <= 1));
}

static void test_one_at_a_time(void)
{
    check("abc", "abc", 0);
    check("abc", "cab", 0);
    check("abc", "ab", 1);
    check("abc", "dabc", 1);
    check("a", "ab", 1);
    check("abc", "abd", 2);
    check("abc", "abcde", 2);
    check("abc", "c", 2);
    check("a", "b", 2);
    check("abc", "def", 6);
}

/* A database is identified by its address: a new name for the same address is not a change. */
static void test_address_counts(void)
{
    guint count = 0;

    bool allowed = is_allowed(make_group("abc", 1, "db-"), make_group("abc", 1, "node-"), &count);
    g_assert_true(allowed);
    g_assert_cmpuint(count, ==, 0);
}

/* A group with a new id is an added group, which has no majority before the change. */
static void test_another_group(void)
{
    guint count = 0;

    bool allowed = is_allowed(make_group("abc", 1, "db-"), make_group("def", 2, "db-"), &count);
    g_assert_true(allowed);
    g_assert_cmpuint(count, ==, 0);
}

/* True if a majority of the set `before` and a majority of the set `after` can be disjoint. Sets
 * are bit masks of databases. */
static bool majorities_can_be_disjoint(uint32_t before, uint32_t after)
{
    uint32_t all = before | after;

    for (uint32_t left = 1; left <= all; left++) {
        if ((left & ~before) != 0 || (uint32_t)__builtin_popcount(left) <
                                         majority_of((uint32_t)__builtin_popcount(before))) {
            continue;
        }
        uint32_t rest = (uint32_t)__builtin_popcount(after & ~left);
        if (rest >= majority_of((uint32_t)__builtin_popcount(after))) {
            return true;
        }
    }
    return false;
}

/* All pairs of sets of up to five databases: majorities are never disjoint across a change of at
 * most one database, and can be across a change of two. */
static void test_majorities_intersect(void)
{
    guint disjoint_pairs = 0;

    for (uint32_t before = 1; before < 32; before++) {
        for (uint32_t after = 1; after < 32; after++) {
            int changed = __builtin_popcount(before ^ after);
            bool disjoint = majorities_can_be_disjoint(before, after);
            g_assert_false(changed <= 1 && disjoint);
            disjoint_pairs += changed == 2 && disjoint ? 1 : 0;
        }
    }
    g_assert_cmpuint(disjoint_pairs, >, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/database-change/one-at-a-time", test_one_at_a_time);
    g_test_add_func("/database-change/address", test_address_counts);
    g_test_add_func("/database-change/another-group", test_another_group);
    g_test_add_func("/database-change/majorities-intersect", test_majorities_intersect);
    return g_test_run();
}
