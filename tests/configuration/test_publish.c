/* Publishing against the platform stand-in: races, lost answers, throttling, an unavailable store.
 */
#include "configuration/publish.h"

#include <string.h>

#include "configuration/database_change.h"
#include "configuration/problem.h"
#include "core/error.h"
#include "platform_fixture.h"

/* A stand-in, a store that uses it, and two different configurations. */
struct publish_test {
    struct platform_fixture platform;
    struct version_store *store;
    struct configuration *first;
    struct configuration *second;
};

/* The example's configuration with the first occurrence of `from` replaced by `to`. */
static struct configuration *parse_example(const char *from, const char *to)
{
    g_autofree char *path = g_build_filename(g_getenv("CONFIGURATION_EXAMPLES"), "atlas-huts",
                                             "configuration.json", NULL);
    g_autofree char *text = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct configuration *configuration = NULL;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_assert_nonnull(strstr(text, from));
    g_autoptr(GString) edited = g_string_new(text);
    g_string_replace(edited, from, to, 1);
    g_assert_true(configuration_parse(edited->str, edited->len, path, &configuration, problems));
    return configuration;
}

static void set_up(struct publish_test *test, gconstpointer unused)
{
    platform_fixture_start_plain(&test->platform);
    test->store = version_store_new(&test->platform.settings);
    test->first = parse_example("{", "{");
    test->second = parse_example("\"weight\": 220", "\"weight\": 221");
}

static void tear_down(struct publish_test *test, gconstpointer unused)
{
    version_store_free(test->store);
    configuration_unref(test->first);
    configuration_unref(test->second);
    platform_fixture_stop(&test->platform);
}

static struct publish_order make_order(const struct configuration *configuration,
                                       const char *request_id, uint64_t base)
{
    return (struct publish_order){
        .configuration = configuration,
        .request_id = request_id,
        .author = "amina",
        .message = "more beds",
        .has_base = true,
        .base = base,
        .timeout_ms = FIXTURE_CALL_TIMEOUT_MS,
        .backoff = {.base_ms = 1, .maximum_ms = 4},
    };
}

static void assert_published(struct publish_test *test, const struct publish_order *order,
                             uint64_t version)
{
    struct publish_outcome outcome;
    g_autoptr(GError) error = NULL;

    bool in_force = publish_configuration(test->store, order, &outcome, &error);
    g_assert_no_error(error);
    g_assert_true(in_force);
    g_assert_cmpuint(outcome.version, ==, version);
    publish_outcome_clear(&outcome);
}

static void assert_refused(struct publish_test *test, const struct publish_order *order,
                           enum error_kind kind, const char *message)
{
    struct publish_outcome outcome;
    g_autoptr(GError) error = NULL;

    g_assert_false(publish_configuration(test->store, order, &outcome, &error));
    g_assert_error(error, SW_ERROR, (gint)kind);
    g_assert_cmpstr(error->message, ==, message);
    publish_outcome_clear(&outcome);
}

static guint count_versions(struct publish_test *test)
{
    g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func((GDestroyNotify)version_row_free);
    g_autoptr(GError) error = NULL;

    enum platform_result result = version_store_list(test->store, 0, 0, rows, &error);
    g_assert_no_error(error);
    g_assert_cmpint(result, ==, PLATFORM_RESULT_OK);
    return rows->len;
}

static void test_versions_follow_each_other(struct publish_test *test, gconstpointer unused)
{
    struct publish_order order = make_order(test->first, "r1", 0);
    struct version_row *head = NULL;
    g_autoptr(GBytes) bundle = NULL;

    assert_published(test, &order, 1);
    order = make_order(test->second, "r2", 1);
    assert_published(test, &order, 2);
    g_assert_cmpint(version_store_read_head(test->store, &head, NULL), ==, PLATFORM_RESULT_OK);
    g_assert_cmpuint(head->version, ==, 2);
    g_assert_cmpstr(head->author, ==, "amina");
    g_assert_cmpint(version_store_get_bundle(test->store, head->hash, &bundle, NULL), ==,
                    PLATFORM_RESULT_OK);
    g_assert_true(g_bytes_equal(bundle, configuration_canonical(test->second)));
    g_assert_cmpuint(count_versions(test), ==, 2);
    version_row_free(head);
}

static void test_history_pages(struct publish_test *test, gconstpointer unused)
{
    g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func((GDestroyNotify)version_row_free);

    for (uint64_t base = 0; base < 5; base++) {
        g_autofree char *request_id = g_strdup_printf("r%u", (unsigned)base);
        struct publish_order order =
            make_order(base % 2 == 0 ? test->first : test->second, request_id, base);
        assert_published(test, &order, base + 1);
    }
    version_store_list(test->store, 0, 2, rows, NULL);
    version_store_list(test->store, 4, 2, rows, NULL);
    g_assert_cmpuint(rows->len, ==, 4);
    for (guint i = 0; i < rows->len; i++) {
        const struct version_row *row = g_ptr_array_index(rows, i);
        g_assert_cmpuint(row->version, ==, 5 - i);
    }
}

static void test_conflict_names_the_winner(struct publish_test *test, gconstpointer unused)
{
    struct publish_order winner = make_order(test->first, "r1", 0);
    struct publish_order loser = make_order(test->second, "r2", 0);

    winner.author = "kenji";
    winner.message = "winter rates";
    assert_published(test, &winner, 1);
    assert_refused(test, &loser, ERROR_KIND_PUBLISH_CONFLICT,
                   "version 1 was published by kenji (request r1): winter rates");
}

static void test_base_that_does_not_exist(struct publish_test *test, gconstpointer unused)
{
    struct publish_order order = make_order(test->first, "r1", 7);

    assert_refused(test, &order, ERROR_KIND_BAD_REQUEST,
                   "version 7 does not exist; the newest is 0");
}

static void test_same_bundle_makes_no_version(struct publish_test *test, gconstpointer unused)
{
    struct publish_order order = make_order(test->first, "r1", 0);

    assert_published(test, &order, 1);
    order = make_order(test->first, "r2", 1);
    assert_published(test, &order, 1);
    g_assert_cmpuint(count_versions(test), ==, 1);
}

/* A repeated request with the same id and base finds the version that it published, also after
 * later versions, and publishes nothing. */
static void test_repeated_request_finds_the_version(struct publish_test *test, gconstpointer unused)
{
    struct publish_order first = make_order(test->first, "r1", 0);
    struct publish_order second = make_order(test->second, "r2", 1);
    struct publish_order third = make_order(test->first, "r3", 2);

    assert_published(test, &first, 1);
    assert_published(test, &first, 1);
    assert_published(test, &second, 2);
    assert_published(test, &third, 3);
    assert_published(test, &first, 1);
    g_assert_cmpuint(count_versions(test), ==, 3);
}

/* Without faults, a publication makes these calls: read the head, get the base's bundle (if there
 * is one), put the bundle, move the head. Each kind of fault hits each call once; the version must
 * still be published exactly once. */
static void test_fault_at_each_call(struct publish_test *test, gconstpointer unused)
{
    static const enum platform_fault_kind kinds[] = {PLATFORM_FAULT_ANSWER_LOST,
                                                     PLATFORM_FAULT_DOWN, PLATFORM_FAULT_THROTTLE};
    uint64_t base = 0;

    for (guint kind = 0; kind < G_N_ELEMENTS(kinds); kind++) {
        for (uint32_t call = 0; call < 4; call++) {
            g_autofree char *request_id = g_strdup_printf("r%u", (unsigned)base);
            struct publish_order order =
                make_order(base % 2 == 0 ? test->first : test->second, request_id, base);
            platform_fixture_fault(&test->platform, kinds[kind], PLATFORM_SERVICE_BOTH, call, 1);
            assert_published(test, &order, base + 1);
            base++;
            g_assert_cmpuint(count_versions(test), ==, base);
        }
    }
}

static void test_passing_throttling_is_retried(struct publish_test *test, gconstpointer unused)
{
    struct publish_order order = make_order(test->first, "r1", 0);

    platform_fixture_fault(&test->platform, PLATFORM_FAULT_THROTTLE, PLATFORM_SERVICE_BOTH, 1, 6);
    assert_published(test, &order, 1);
    g_assert_cmpuint(platform_standin_counts(test->platform.standin).throttled, ==, 6);
}

static void test_lasting_throttling(struct publish_test *test, gconstpointer unused)
{
    struct publish_order order = make_order(test->first, "r1", 0);

    order.retries_max = 5;
    platform_fixture_fault(&test->platform, PLATFORM_FAULT_THROTTLE, PLATFORM_SERVICE_TABLE, 0, 0);
    assert_refused(
        test, &order, ERROR_KIND_STORE_UNAVAILABLE,
        "not published: table service: ProvisionedThroughputExceededException: The level "
        "of configured provisioned throughput for the table was exceeded");
    platform_standin_heal(test->platform.standin);
    g_assert_cmpuint(count_versions(test), ==, 0);
}

static void test_unreachable_store(struct publish_test *test, gconstpointer unused)
{
    struct publish_order order = make_order(test->first, "r1", 0);
    struct platform_settings settings = test->platform.settings;
    struct refusing_port port;
    struct publish_outcome outcome;
    g_autoptr(GError) error = NULL;

    refusing_port_open(&port);
    settings.table_url = port.url;
    struct version_store *store = version_store_new(&settings);
    order.retries_max = 5;
    g_assert_false(publish_configuration(store, &order, &outcome, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_STORE_UNAVAILABLE);
    g_assert_true(g_str_has_prefix(error->message, "not published: http://127.0.0.1:"));
    version_store_free(store);
    refusing_port_close(&port);
}

/* The head moves, but the answer is lost and every later call fails. The outcome must be reported
 * as unknown; a repeated request then finds the version. */
static void test_lost_answer_with_the_store_down(struct publish_test *test, gconstpointer unused)
{
    struct publish_order order = make_order(test->first, "r1", 0);
    struct publish_outcome outcome;
    g_autoptr(GError) error = NULL;

    platform_fixture_fault(&test->platform, PLATFORM_FAULT_ANSWER_LOST, PLATFORM_SERVICE_TABLE, 1,
                           1);
    platform_fixture_fault(&test->platform, PLATFORM_FAULT_DOWN, PLATFORM_SERVICE_TABLE, 2, 0);
    order.retries_max = 3;
    g_assert_false(publish_configuration(test->store, &order, &outcome, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_OUTCOME_UNKNOWN);
    g_assert_nonnull(strstr(error->message, "retry with request id r1 and base 0"));
    platform_standin_heal(test->platform.standin);
    order.retries_max = 0;
    assert_published(test, &order, 1);
}

/* One of the operators that publish at the same time. */
struct racer {
    struct publish_test *test;
    const struct configuration *configuration;
    char request_id[16];
    enum publish_status status;
    uint64_t version;
    GThread *thread;
};

static gpointer race(gpointer data)
{
    struct racer *racer = data;
    struct version_store *store = version_store_new(&racer->test->platform.settings);
    struct publish_order order = make_order(racer->configuration, racer->request_id, 0);
    struct publish_outcome outcome;
    g_autoptr(GError) error = NULL;

    publish_configuration(store, &order, &outcome, &error);
    racer->status = outcome.status;
    racer->version = outcome.version;
    publish_outcome_clear(&outcome);
    version_store_free(store);
    return NULL;
}

static void test_racing_operators(struct publish_test *test, gconstpointer unused)
{
    struct racer racers[4];
    guint accepted = 0;

    platform_fixture_fault(&test->platform, PLATFORM_FAULT_ANSWER_LOST, PLATFORM_SERVICE_BOTH, 2,
                           3);
    for (guint i = 0; i < G_N_ELEMENTS(racers); i++) {
        racers[i] =
            (struct racer){.test = test, .configuration = i % 2 == 0 ? test->first : test->second};
        g_snprintf(racers[i].request_id, sizeof(racers[i].request_id), "r%u", i);
        racers[i].thread = g_thread_new("racer", race, &racers[i]);
    }
    for (guint i = 0; i < G_N_ELEMENTS(racers); i++) {
        g_thread_join(racers[i].thread);
        accepted += racers[i].status == PUBLISH_STATUS_ACCEPTED ? 1 : 0;
        g_assert_true(racers[i].status == PUBLISH_STATUS_ACCEPTED ||
                      racers[i].status == PUBLISH_STATUS_CONFLICT);
    }
    g_assert_cmpuint(accepted, ==, 1);
    platform_standin_heal(test->platform.standin);
    g_assert_cmpuint(count_versions(test), ==, 1);
}

/* The result of on_check, and the arguments of its calls. */
struct recorded_check {
    bool allow;
    guint count;
    uint64_t base;
    char *group;
};

static bool on_check(void *user, uint64_t base, const GPtrArray *changes, GError **error)
{
    struct recorded_check *recorded = user;

    recorded->count++;
    recorded->base = base;
    g_assert_cmpuint(changes->len, ==, 1);
    const struct database_change *change = g_ptr_array_index(changes, 0);
    g_free(recorded->group);
    recorded->group = g_strdup(change->group_name);
    if (!recorded->allow) {
        g_set_error(error, SW_ERROR, ERROR_KIND_NOT_READY, "not yet");
    }
    return recorded->allow;
}

/* The example with one database added to a group. */
static struct configuration *add_database(void)
{
    return parse_example("\"name\": \"toubkal-1\",",
                         "\"name\": \"toubkal-4\", \"zone\": \"imlil\", \"host\": \"127.0.0.1\", "
                         "\"port\": 21094, \"slots\": 5, \"connections\": 35}, "
                         "{\"name\": \"toubkal-1\",");
}

/* The check decides whether a change of databases may be published. A change of more than one
 * database of a group is rejected without calling it. Nothing is published if either rejects. */
static void test_change_of_databases(struct publish_test *test, gconstpointer unused)
{
    struct recorded_check recorded = {0};
    struct configuration *moved = parse_example("\"port\": 21000", "\"port\": 21091");
    struct configuration *more = add_database();
    struct publish_order order = make_order(test->first, "r1", 0);

    assert_published(test, &order, 1);
    order = make_order(test->second, "r2", 1);
    order.check = on_check;
    order.check_user = &recorded;
    assert_published(test, &order, 2);
    g_assert_cmpuint(recorded.count, ==, 0);
    order = make_order(more, "r3", 2);
    order.check = on_check;
    order.check_user = &recorded;
    assert_refused(test, &order, ERROR_KIND_NOT_READY, "not yet");
    g_assert_cmpuint(recorded.base, ==, 2);
    g_assert_cmpstr(recorded.group, ==, "bookings-toubkal");
    g_assert_cmpuint(count_versions(test), ==, 2);
    recorded.allow = true;
    assert_published(test, &order, 3);
    order = make_order(moved, "r4", 3);
    order.check = on_check;
    order.check_user = &recorded;
    g_assert_cmpuint(recorded.count, ==, 2);
    assert_refused(test, &order, ERROR_KIND_INVALID_CONFIGURATION,
                   "one version may add or remove one database of a group, so that majorities "
                   "before and after share one\n"
                   "group \"bookings-toubkal\" adds toubkal-1 (127.0.0.1:21091) removes toubkal-4 "
                   "(127.0.0.1:21094), toubkal-1 (127.0.0.1:21000)");
    g_assert_cmpuint(recorded.count, ==, 2);
    g_assert_cmpuint(count_versions(test), ==, 3);
    configuration_unref(moved);
    configuration_unref(more);
    g_free(recorded.group);
}

static void add(const char *path, void (*function)(struct publish_test *, gconstpointer))
{
    g_test_add(path, struct publish_test, NULL, set_up, function, tear_down);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add("/publish/versions", test_versions_follow_each_other);
    add("/publish/history", test_history_pages);
    add("/publish/conflict", test_conflict_names_the_winner);
    add("/publish/no-base", test_base_that_does_not_exist);
    add("/publish/unchanged", test_same_bundle_makes_no_version);
    add("/publish/repeated-request", test_repeated_request_finds_the_version);
    add("/publish/fault-at-each-call", test_fault_at_each_call);
    add("/publish/change-of-databases", test_change_of_databases);
    add("/publish/throttled/passing", test_passing_throttling_is_retried);
    add("/publish/throttled/lasting", test_lasting_throttling);
    add("/publish/unreachable", test_unreachable_store);
    add("/publish/lost-answer/store-down", test_lost_answer_with_the_store_down);
    add("/publish/race", test_racing_operators);
    return g_test_run();
}
