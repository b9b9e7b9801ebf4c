/**
 * @file
 * @brief Records of databases as the platform's store holds them: others may write there as well,
 * so a record is used only if every field of it is as a database writes it.
 */
#include "control_fixture.h"

#include <string.h>

#define GOOD                                                                                       \
    "{\"service\":\"ledger\",\"address\":\"10.0.0.1:5000\",\"zone\":\"z1\","                       \
    "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldRemainingMs\":0,"                    \
    "\"sequence\":4,\"born\":1789289246147,\"dbRole\":\"primary\"}"

/* Random changes of a good record, and random bytes, each so many. */
#define SPOILT_RECORDS 20000

static struct directory_entry *
decode(const char *text, size_t length)
{
    g_autoptr(GError) error = NULL;
    struct directory_entry *entry = directory_entry_decode("d", text, length, &error);
    g_assert_true((entry == NULL) == (error != NULL));
    return entry;
}

static bool
is_usable(const char *text)
{
    struct directory_entry *entry = decode(text, strlen(text));
    bool usable = entry != NULL;
    directory_entry_free(entry);
    return usable;
}

static void
test_good(void)
{
    struct directory_entry *entry = decode(GOOD, strlen(GOOD));
    g_assert_cmpstr(entry->service, ==, "ledger");
    g_assert_cmpstr(entry->zone, ==, "z1");
    g_assert_cmpuint(entry->slots, ==, 3);
    g_assert_cmpuint(entry->born_ms, ==, UINT64_C(1789289246147));
    g_assert_true(entry->leads);
    g_assert_false(entry->draining);
    directory_entry_free(entry);
}

/* The good record with this field in its place; NULL: without it. */
static char *
with_field(const char *name, const char *value)
{
    g_autofree char *pattern = g_strdup_printf("\"%s\":(\"[^\"]*\"|[0-9]+),?", name);
    g_autoptr(GRegex) regex = g_regex_new(pattern, 0, 0, NULL);
    g_autofree char *without = g_regex_replace(regex, GOOD, -1, 0, "", 0, NULL);
    return value == NULL ? g_steal_pointer(&without)
                         : g_strdup_printf("{\"%s\":%s,%s", name, value, without + 1);
}

static bool
is_usable_with(const char *name, const char *value)
{
    g_autofree char *text = with_field(name, value);
    g_autofree char *comma = g_strrstr(text, ",}"); /* of a last field that was left out */
    if (comma != NULL) {
        g_autofree char *head = g_strndup(text, (gsize)(comma - text));
        g_autofree char *whole = g_strconcat(head, "}", NULL);
        comma = NULL;
        return is_usable(whole);
    }
    return is_usable(text);
}

/* Each field missing, and with values of each other type. */
static void
test_every_field(void)
{
    static const struct {
        const char *name;
        bool optional;
        const char *good[3];
    } fields[] = {
        {"service", false, {"\"other\""}},
        {"address", false, {"\"10.1.2.3:80\""}},
        {"zone", false, {"\"z2\""}},
        {"version", false, {"\"v2\""}},
        {"slots", false, {"1", "4294967295"}},
        {"state", false, {"\"ready\"", "\"draining\""}},
        {"coldRemainingMs", false, {"0", "12.5"}},
        {"sequence", false, {"0", "9007199254740993"}},
        {"born", true, {"0", "1789289246147"}},
        {"dbRole", false, {"\"primary\"", "\"replica\""}},
    };
    static const char *const others[] = {"null", "true",  "[]",      "{}",  "\"\"",
                                         "-1",   "1e300", "\"mad\"", "0.5", "[\"ready\"]"};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        bool number = strchr("0123456789", fields[i].good[0][0]) != NULL;
        bool word =
            !number && g_strv_contains((const char *const[]){"state", "dbRole", "address", NULL},
                                       fields[i].name);
        g_assert_true(is_usable_with(fields[i].name, NULL) == fields[i].optional);
        for (size_t j = 0; j < G_N_ELEMENTS(fields[i].good) && fields[i].good[j] != NULL; j++) {
            g_assert_true(is_usable_with(fields[i].name, fields[i].good[j]));
        }
        for (size_t j = 0; j < G_N_ELEMENTS(others); j++) {
            bool fits = !number && !word && g_str_equal(others[j], "\"mad\"");
            bool duration = g_str_equal(fields[i].name, "coldRemainingMs") &&
                            (g_str_equal(others[j], "0.5") || g_str_equal(others[j], "1e300"));
            g_assert_true(is_usable_with(fields[i].name, others[j]) == (fits || duration));
        }
        g_assert_true(is_usable_with(fields[i].name, "5") ==
                      (number && !g_str_equal(fields[i].name, "none")));
    }
}

static void
test_not_a_record(void)
{
    static const char *const texts[] = {"",      "null",     "[]",          "3",
                                        "\"a\"", "{",        "{}",          "{\"service\":\"s\"}",
                                        "\xff",  (GOOD "x"), ("[" GOOD "]")};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_assert_false(is_usable(texts[i]));
    }
    g_assert_false(is_usable_with("address", "\"10.1.2.3:0\""));
    g_assert_false(is_usable_with("address", "\"10.1.2.3\""));
    g_assert_false(is_usable_with("address", "\"nowhere:80\""));
    g_assert_true(is_usable_with("colour", "\"red\""));
}

/* Whatever the bytes, decoding ends, and tells a reason or a whole record. */
static void
test_random_bytes(void)
{
    for (unsigned i = 0; i < SPOILT_RECORDS; i++) {
        size_t length = strlen(GOOD);
        g_autofree char *text = g_strdup(GOOD);
        gint32 changes = g_test_rand_int_range(1, 5);
        for (gint32 change = 0; change < changes; change++) {
            text[g_test_rand_int_range(0, (gint32)length)] = (char)g_test_rand_int_range(0, 256);
        }
        length = (size_t)g_test_rand_int_range((gint32)length / 2, (gint32)length + 1);
        directory_entry_free(decode(text, length));
        for (size_t place = 0; place < length; place++) {
            text[place] = (char)g_test_rand_int_range(0, 256);
        }
        directory_entry_free(decode(text, length));
    }
}

static void
take(struct control *control, const char *id, uint64_t version, const char *text)
{
    g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
    control_take_row(control, STORE_TABLE_DIRECTORY, id, version, value);
}

static const struct directory_entry *
find(const struct control *control, const char *id)
{
    return g_hash_table_lookup(control->directory.entries, id);
}

/* A record that can't be used counts as none, also in place of a good one: the database takes no
 * new work once a missing record would have meant so, and stays a member of its group. The others
 * hold, and so does the next good record. */
static void
test_in_place_of_a_good_one(void)
{
    const struct pooler_settings settings = {0};
    struct control *control = control_fixture_new(&settings);
    take(control, "b", 1, "{\"service\":7}");
    g_assert_null(find(control, "b"));
    take(control, "a", 2, GOOD);
    take(control, "c", 3, GOOD);
    take(control, "a", 4, "no record");
    g_assert_cmpuint(find(control, "a")->deleted_at, !=, 0);
    g_assert_true(directory_entry_leaves(find(control, "a"),
                                         find(control, "a")->deleted_at + 6000 * MS, 3000 * MS));
    g_assert_cmpuint(directory_group(&control->directory, "ledger")->len, ==, 2);
    g_assert_cmpuint(find(control, "c")->deleted_at, ==, 0);
    g_assert_cmpuint(control->counts.records_unusable, ==, 2);
    take(control, "a", 3, GOOD); /* an older one does not bring it back */
    g_assert_cmpuint(find(control, "a")->deleted_at, !=, 0);
    take(control, "a", 5, GOOD);
    g_assert_cmpuint(find(control, "a")->deleted_at, ==, 0);
    control_fixture_free(control);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_log_set_always_fatal(G_LOG_LEVEL_ERROR); /* unusable records are warned of */
    g_test_add_func("/pooler/records/good", test_good);
    g_test_add_func("/pooler/records/every-field", test_every_field);
    g_test_add_func("/pooler/records/not-a-record", test_not_a_record);
    g_test_add_func("/pooler/records/random-bytes", test_random_bytes);
    g_test_add_func("/pooler/records/in-place-of-a-good-one", test_in_place_of_a_good_one);
    return g_test_run();
}
