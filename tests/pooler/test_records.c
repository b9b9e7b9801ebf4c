/**
 * @file
 * @brief Tests of decoding the databases' records from the platform's store. Others can write
 * there, too, so a record is used only if all its fields are as a database writes them.
 */
#include "control_fixture.h"

#include <string.h>

#define VALID_RECORD                                                                               \
    "{\"service\":\"ledger\",\"address\":\"10.0.0.1:5000\",\"zone\":\"z1\","                       \
    "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldRemainingMs\":0,"                    \
    "\"sequence\":4,\"born\":1789289246147,\"dbRole\":\"primary\"}"

/* Number of random changes of a valid record, and of records of random bytes. */
#define CORRUPT_RECORDS 20000

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
test_valid(void)
{
    struct directory_entry *entry = decode(VALID_RECORD, strlen(VALID_RECORD));
    g_assert_cmpstr(entry->service, ==, "ledger");
    g_assert_cmpstr(entry->zone, ==, "z1");
    g_assert_cmpuint(entry->slots, ==, 3);
    g_assert_cmpuint(entry->born_ms, ==, UINT64_C(1789289246147));
    g_assert_true(entry->leads);
    g_assert_false(entry->draining);
    directory_entry_free(entry);
}

/* The valid record with this value of the field; NULL: without the field. */
static char *
with_field(const char *name, const char *value)
{
    g_autofree char *pattern = g_strdup_printf("\"%s\":(\"[^\"]*\"|[0-9]+),?", name);
    g_autoptr(GRegex) regex = g_regex_new(pattern, 0, 0, NULL);
    g_autofree char *without = g_regex_replace(regex, VALID_RECORD, -1, 0, "", 0, NULL);
    return value == NULL ? g_steal_pointer(&without)
                         : g_strdup_printf("{\"%s\":%s,%s", name, value, without + 1);
}

static bool
is_usable_with(const char *name, const char *value)
{
    g_autofree char *text = with_field(name, value);
    g_autofree char *comma = g_strrstr(text, ",}"); /* after the last field was removed */
    if (comma != NULL) {
        g_autofree char *head = g_strndup(text, (gsize)(comma - text));
        g_autofree char *whole = g_strconcat(head, "}", NULL);
        comma = NULL;
        return is_usable(whole);
    }
    return is_usable(text);
}

/* Each field missing, with valid values, and with values of other types. */
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
    static const char *const others[] = {"null", "true",  "[]",        "{}",  "\"\"",
                                         "-1",   "1e300", "\"other\"", "0.5", "[\"ready\"]"};
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
            bool fits = !number && !word && g_str_equal(others[j], "\"other\"");
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
    static const char *const texts[] = {"",
                                        "null",
                                        "[]",
                                        "3",
                                        "\"a\"",
                                        "{",
                                        "{}",
                                        "{\"service\":\"s\"}",
                                        "\xff",
                                        (VALID_RECORD "x"),
                                        ("[" VALID_RECORD "]")};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_assert_false(is_usable(texts[i]));
    }
    g_assert_false(is_usable_with("address", "\"10.1.2.3:0\""));
    g_assert_false(is_usable_with("address", "\"10.1.2.3\""));
    g_assert_false(is_usable_with("address", "\"nowhere:80\""));
    g_assert_true(is_usable_with("colour", "\"red\""));
}

/* For any bytes, decoding ends with either an error or a complete record. */
static void
test_random_bytes(void)
{
    for (unsigned i = 0; i < CORRUPT_RECORDS; i++) {
        size_t length = strlen(VALID_RECORD);
        g_autofree char *text = g_strdup(VALID_RECORD);
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
apply_row(struct control *control, const char *id, uint64_t version, const char *text)
{
    g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
    control_take_row(control, STORE_TABLE_DIRECTORY, id, version, value);
}

static const struct directory_entry *
find(const struct control *control, const char *id)
{
    return g_hash_table_lookup(control->directory.entries, id);
}

/* An invalid record counts as missing, even if it replaces a valid one: after the delay for missing
 * records the database gets no new statements, and it stays a member of its group. Records of other
 * databases are not affected, and the next valid record is used again. */
static void
test_invalid_after_valid(void)
{
    const struct pooler_settings settings = {0};
    struct control *control = control_fixture_new(&settings);
    apply_row(control, "b", 1, "{\"service\":7}");
    g_assert_null(find(control, "b"));
    apply_row(control, "a", 2, VALID_RECORD);
    apply_row(control, "c", 3, VALID_RECORD);
    apply_row(control, "a", 4, "no record");
    g_assert_cmpuint(find(control, "a")->deleted_at, !=, 0);
    g_assert_true(directory_entry_leaves(find(control, "a"),
                                         find(control, "a")->deleted_at + 6000 * MS, 3000 * MS));
    g_assert_cmpuint(directory_group(&control->directory, "ledger")->len, ==, 2);
    g_assert_cmpuint(find(control, "c")->deleted_at, ==, 0);
    g_assert_cmpuint(control->counts.records_unusable, ==, 2);
    apply_row(control, "a", 3, VALID_RECORD); /* an older version is ignored */
    g_assert_cmpuint(find(control, "a")->deleted_at, !=, 0);
    apply_row(control, "a", 5, VALID_RECORD);
    g_assert_cmpuint(find(control, "a")->deleted_at, ==, 0);
    control_fixture_free(control);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_log_set_always_fatal(G_LOG_LEVEL_ERROR); /* invalid records are logged as warnings */
    g_test_add_func("/pooler/records/valid", test_valid);
    g_test_add_func("/pooler/records/every-field", test_every_field);
    g_test_add_func("/pooler/records/not-a-record", test_not_a_record);
    g_test_add_func("/pooler/records/random-bytes", test_random_bytes);
    g_test_add_func("/pooler/records/invalid-after-valid", test_invalid_after_valid);
    return g_test_run();
}
