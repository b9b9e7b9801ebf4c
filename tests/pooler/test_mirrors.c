/**
 * @file
 * @brief Poolers that pass the store's tables on: who they are, whom a pooler asks when, and what
 * the return of a whole fleet costs the store by these decisions, at several sizes.
 */
#include "control_fixture.h"

#include <string.h>

#define BOUND_NS (8000 * MS)

static const mirror_inputs_t starting = {.starts = true,
                                         .bound = BOUND_NS,
                                         .may_learn_mirrors = true,
                                         .mirrors = 0,
                                         .missing_since = 10 * MS};

/* What to do at that moment, in ms, with these requests. */
static mirror_step_t
step_at(mirror_inputs_t view, mirror_requests_t requests, unsigned ms)
{
    return mirror_next_step(&requests, &view, ms * MS);
}

static void
test_mirrors_read_the_store(void)
{
    mirror_inputs_t view = starting;
    view.mirrors = 5;
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_REQUEST);
    view.reads_store = true;
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_STORE);
}

/* Until somebody may have named the mirrors, and no longer than the bound. */
static void
test_waits_to_be_told(void)
{
    mirror_inputs_t view = starting;
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 11), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 3000), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 3010), ==, MIRROR_STEP_STORE);
    view.may_learn_mirrors = false;
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 11), ==, MIRROR_STEP_STORE);
}

/* One without a sign is given up sooner than one that is about to answer; then the next one is
 * asked, and the store after two. */
static void
test_gives_up(void)
{
    mirror_inputs_t view = starting;
    view.mirrors = 5;
    mirror_requests_t requests = {.sent = 1, .first_sent_at = 20 * MS, .sent_at = 20 * MS};
    g_assert_cmpint(step_at(view, requests, 419), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(view, requests, 420), ==, MIRROR_STEP_REQUEST);
    requests.acknowledged = true;
    g_assert_cmpint(step_at(view, requests, 1519), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(view, requests, 1520), ==, MIRROR_STEP_REQUEST);
    requests.sent = 2;
    g_assert_cmpint(step_at(view, requests, 1520), ==, MIRROR_STEP_STORE);
}

/* Machines start together, mirrors among them: one that refuses a connection is asked again, with
 * pauses, also if there is no other one; not for ever. */
static void
test_mirror_that_starts(void)
{
    mirror_inputs_t view = starting;
    view.mirrors = 1;
    mirror_requests_t requests = {.sent = 1, .first_sent_at = 20 * MS, .failed_at = 22 * MS};
    g_assert_cmpint(step_at(view, requests, 71), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(view, requests, 72), ==, MIRROR_STEP_REQUEST);
    requests.sent = 9;
    requests.failed_at = 900 * MS;
    g_assert_cmpint(step_at(view, requests, 950), ==, MIRROR_STEP_REQUEST);
    g_assert_cmpint(step_at(view, requests, 1020), ==, MIRROR_STEP_STORE);
}

/* A change must be in force within its bound: one mirror has a tenth of it. */
static void
test_change(void)
{
    mirror_inputs_t view = starting;
    view.starts = false;
    view.mirrors = 5;
    view.bound = 3000 * MS;
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_REQUEST);
    const mirror_requests_t requests = {.sent = 1, .sent_at = 20 * MS, .acknowledged = true};
    g_assert_cmpint(step_at(view, requests, 319), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(view, requests, 320), ==, MIRROR_STEP_STORE);
    view.mirrors = 0;
    g_assert_cmpint(step_at(view, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_STORE);
}

#define ZONES 5

/* A fleet as candidates: one strong machine in twenty. */
static GArray *
make_fleet(unsigned poolers)
{
    GArray *fleet = g_array_new(FALSE, FALSE, sizeof(mirror_candidate_t));
    for (unsigned i = 0; i < poolers; i++) {
        g_autofree char *address = g_strdup_printf("10.%u.0.%u:8782", i % ZONES, i / ZONES);
        g_autofree char *zone = g_strdup_printf("z%u", i % ZONES);
        const mirror_candidate_t candidate = {
            g_intern_string(address), g_intern_string(zone),
            i % 20 < 1 || i % 20 == 7 || i % 20 == 13 || i % 20 == 19 || i % 20 == 6 ? 1000 : 120};
        g_array_append_val(fleet, candidate);
    }
    return fleet;
}

static GPtrArray *
choose(const GArray *fleet)
{
    return mirrors_choose((mirror_candidate_t *)(void *)fleet->data, fleet->len);
}

static void
test_choice(void)
{
    g_autoptr(GArray) fleet = make_fleet(985);
    g_autoptr(GPtrArray) mirrors = choose(fleet);
    g_assert_cmpuint(mirrors->len, ==, 5 * ZONES);
    for (guint i = 0; i < fleet->len / 2; i++) { /* in whatever order the poolers are candidates */
        mirror_candidate_t swapped = g_array_index(fleet, mirror_candidate_t, i);
        mirror_candidate_t *other = &g_array_index(fleet, mirror_candidate_t, fleet->len - 1 - i);
        g_array_index(fleet, mirror_candidate_t, i) = *other;
        *other = swapped;
    }
    g_autoptr(GPtrArray) again = choose(fleet);
    g_assert_true(mirrors_equal(mirrors, again));
    for (guint i = 0; i < mirrors->len; i++) {
        const struct pooler_mirror *mirror = mirrors->pdata[i];
        for (guint j = 0; j < fleet->len; j++) {
            const mirror_candidate_t *member = &g_array_index(fleet, mirror_candidate_t, j);
            bool same = g_str_equal(member->address, mirror->address);
            g_assert_true(!same || member->millicores == 1000);
        }
    }
}

/* However many poolers there are, the list fits into a message, with mirrors in each zone. */
static void
test_choice_is_bounded(void)
{
    g_autoptr(GArray) fleet = make_fleet(20000);
    g_autoptr(GPtrArray) mirrors = choose(fleet);
    unsigned in_zone[ZONES] = {0};
    g_assert_cmpuint(mirrors->len, <=, MIRRORS_MAX);
    for (guint i = 0; i < mirrors->len; i++) {
        in_zone[((const struct pooler_mirror *)mirrors->pdata[i])->zone[1] - '0']++;
    }
    for (unsigned zone = 0; zone < ZONES; zone++) {
        g_assert_cmpuint(in_zone[zone], >=, MIRRORS_MAX / ZONES - 2);
    }
}

/* The quickest few of a fleet that connects are not named to all, and a new coordinator names no
 * fewer than it was told while poolers connect to it. */
static void
test_gathering(void)
{
    mirror_gathering_t first = {.since = 0, .candidates = 40, .candidates_before = 0, .chosen = 5};
    g_assert_false(mirrors_choice_is_settled(&first, 10 * MS));
    first = (mirror_gathering_t){.candidates = 900, .candidates_before = 500, .chosen = 10};
    g_assert_false(mirrors_choice_is_settled(&first, 500 * MS));
    first = (mirror_gathering_t){.candidates = 985, .candidates_before = 900, .chosen = 10};
    g_assert_true(mirrors_choice_is_settled(&first, 1000 * MS));
    first = (mirror_gathering_t){.candidates = 900, .candidates_before = 500, .chosen = 10};
    g_assert_true(mirrors_choice_is_settled(&first, 3000 * MS));
    mirror_gathering_t next = {
        .candidates = 300, .candidates_before = 290, .known = 10, .chosen = 5};
    g_assert_false(mirrors_choice_is_settled(&next, 1000 * MS));
    g_assert_true(mirrors_choice_is_settled(&next, 3000 * MS));
    next.chosen = 10;
    g_assert_true(mirrors_choice_is_settled(&next, 10 * MS));
}

/* Own zone first, never oneself, and no mirror twice. */
static void
test_turns(void)
{
    g_autoptr(GPtrArray) mirrors = mirrors_new();
    mirrors_add(mirrors, "a", "z0");
    mirrors_add(mirrors, "b", "z1");
    mirrors_add(mirrors, "c", "z1");
    for (guint seed = 0; seed < 8; seed++) {
        const char *first = mirrors_at(mirrors, "z1", "x", seed, 0);
        const char *second = mirrors_at(mirrors, "z1", "x", seed, 1);
        g_assert_true(strchr("bc", first[0]) != NULL && strchr("bc", second[0]) != NULL);
        g_assert_cmpstr(first, !=, second);
        g_assert_cmpstr(mirrors_at(mirrors, "z1", "x", seed, 2), ==, "a");
        g_assert_cmpstr(mirrors_at(mirrors, "z1", "x", seed, 3), ==, first);
        g_assert_cmpstr(mirrors_at(mirrors, "z1", "b", seed, 0), ==, "c");
        g_assert_nonnull(mirrors_at(mirrors, "z9", "x", seed, 2));
    }
    g_autoptr(GPtrArray) alone = mirrors_new();
    mirrors_add(alone, "x", "z1");
    g_assert_null(mirrors_at(alone, "z1", "x", 3, 0));
    g_assert_cmpuint(mirrors_count_others(mirrors, "b"), ==, 2);
    g_assert_cmpuint(mirrors_count_others(mirrors, "x"), ==, 3);
}

/* After the loss of all, every pooler starts with what the lease's row names. Who reads the store,
 * and how many ask the busiest mirror? Both grow with the fleet no more than stated. */
static void
test_return_of_all(void)
{
    static const unsigned sizes[] = {100, 400, 985, 1970, 4060};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        g_autoptr(GArray) fleet = make_fleet(sizes[i]);
        g_autoptr(GPtrArray) mirrors = choose(fleet);
        g_autoptr(GHashTable) asked = g_hash_table_new(g_str_hash, g_str_equal);
        unsigned readers = 0;
        guint most = 0;
        for (guint j = 0; j < fleet->len; j++) {
            const mirror_candidate_t *member = &g_array_index(fleet, mirror_candidate_t, j);
            mirror_inputs_t view = starting;
            view.mirrors = mirrors_count_others(mirrors, member->address);
            view.reads_store = view.mirrors < mirrors->len;
            if (mirror_next_step(&(mirror_requests_t){0}, &view, 20 * MS) == MIRROR_STEP_STORE) {
                readers++;
                continue;
            }
            const char *address =
                mirrors_at(mirrors, member->zone, member->address, g_str_hash(member->address), 0);
            guint before = GPOINTER_TO_UINT(g_hash_table_lookup(asked, address));
            g_hash_table_insert(asked, (gpointer)address, GUINT_TO_POINTER(before + 1));
            most = MAX(most, before + 1);
        }
        g_assert_cmpuint(readers, <=, ZONES + sizes[i] / POOLERS_PER_MIRROR);
        g_assert_cmpuint(most, <, 2 * POOLERS_PER_MIRROR);
    }
}

typedef struct fixture {
    struct control *mirror;
    struct control *starting;
    struct pooler_settings settings;
} fixture_t;

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->settings.pooler.link_mbps = 1000;
    fixture->settings.store.apply_ms = 8000;
    fixture->mirror = control_fixture_new(&fixture->settings);
    fixture->starting = control_fixture_new(&fixture->settings);
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    control_fixture_free(fixture->mirror);
    control_fixture_free(fixture->starting);
}

/* A configuration of so many services, and three databases for each. */
static void
learn(struct control *control, unsigned groups, uint64_t version)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"version\":%u,\"services\":[", (unsigned)version);
    for (unsigned i = 0; i < groups; i++) {
        g_string_append_printf(text, "%s{\"name\":\"ledger%u\",\"maxConns\":428}",
                               i == 0 ? "" : ",", i);
    }
    g_string_append(text, "],\"routes\":[");
    for (unsigned i = 0; i < groups * 3; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"r%u\",\"hostname\":\"h%u\",\"service\":\"ledger%u\","
                               "\"routeType\":\"primary\",\"timeoutMs\":800}",
                               i == 0 ? "" : ",", i, i, i / 3);
    }
    g_string_append(text, "],\"limits\":{}}");
    g_autoptr(GBytes) configuration = g_string_free_to_bytes(text);
    control_take_row(control, STORE_TABLE_CONFIGURATION, store_configuration_key, version,
                     configuration);
    for (unsigned i = 0; i < groups * 3; i++) {
        g_autofree char *id = g_strdup_printf("i-%08x", i * 2654435761U);
        g_autofree char *record = g_strdup_printf(
            "{\"service\":\"ledger%u\",\"address\":\"10.%u.%u.%u:8080\",\"zone\":\"z%u\","
            "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldRemainingMs\":0,"
            "\"sequence\":1,\"dbRole\":\"%s\"}",
            i / 3, i % 3, i / 250, i % 250, i % 3, i % 3 == 0 ? "primary" : "replica");
        g_autoptr(GBytes) value = g_bytes_new(record, strlen(record));
        control_take_row(control, STORE_TABLE_DIRECTORY, id, version + 1, value);
    }
    for (int table = 0; table < STORE_TABLE_CONTROL; table++) {
        control->feeds[table].version = version + 1;
        control_feed_prove(&control->feeds[table], backend_now());
    }
}

/* Asks the mirror, and returns the bytes of its message. */
static size_t
request_tables(fixture_t *fixture)
{
    struct pooler_grant grant;
    g_autoptr(GError) error = NULL;
    row_versions_t known = control_relay_versions(fixture->starting);
    time_ns now = backend_now();
    pooler_grant_init(&grant);
    control_mirrors_fill(fixture->mirror, &known, true, now, &grant);
    g_autoptr(GBytes) message = g_byte_array_free_to_bytes(pooler_grant_encode(&grant));
    g_assert_true(control_mirrors_take_tables(fixture->starting, &grant, now, &error));
    pooler_grant_clear(&grant);
    return g_bytes_get_size(message);
}

/* All of both tables in one message, a fraction of what the store would send, with their age. */
static void
test_whole_tables(fixture_t *fixture, gconstpointer unused)
{
    learn(fixture->mirror, 400, 5);
    size_t bytes = request_tables(fixture);
    g_assert_cmpuint(g_hash_table_size(fixture->starting->directory.entries), ==, 1200);
    g_assert_cmpuint(g_hash_table_size(fixture->starting->configuration->routes), ==, 1200);
    g_assert_cmpuint(control_relay_versions(fixture->starting).directory, ==, 6);
    g_assert_true(control_relayed_is_valid(fixture->starting, backend_now()));
    g_assert_false(fixture->starting->feeds[STORE_TABLE_DIRECTORY].missing);
    g_assert_cmpuint(bytes, <, 60000); /* of 390 kB; 40 kB at the store for each start at most */
}

/* What has changed since the message was made goes beside it; who knows that much is told no more
 * than the change. */
static void
test_changes_beside(fixture_t *fixture, gconstpointer unused)
{
    learn(fixture->mirror, 40, 5);
    request_tables(fixture);
    const GBytes *made = fixture->mirror->mirrors.snapshot.compressed;
    control_take_row(fixture->mirror, STORE_TABLE_DIRECTORY, "i-00000000", 9, NULL);
    fixture->mirror->feeds[STORE_TABLE_DIRECTORY].version = 9;
    size_t bytes = request_tables(fixture);
    g_assert_cmpuint(bytes, <, 400);
    g_assert_cmpuint(control_relay_versions(fixture->starting).directory, ==, 9);
    control_fixture_free(fixture->starting);
    fixture->starting = control_fixture_new(&fixture->settings);
    request_tables(fixture);
    g_assert_true(fixture->mirror->mirrors.snapshot.compressed == made);
    g_assert_cmpuint(control_relay_versions(fixture->starting).directory, ==, 9);
    const struct directory_entry *entry =
        g_hash_table_lookup(fixture->starting->directory.entries, "i-00000000");
    g_assert_cmpuint(entry->gone_at, !=, 0);
}

/* A message that is broken on its way leaves the pooler as it was. */
static void
test_broken_message(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_grant grant;
    g_autoptr(GError) error = NULL;
    learn(fixture->mirror, 40, 5);
    pooler_grant_init(&grant);
    control_mirrors_fill(fixture->mirror, &(row_versions_t){0}, true, backend_now(), &grant);
    grant.tables[grant.tables_length / 2] ^= 0x5a;
    g_assert_false(control_mirrors_take_tables(fixture->starting, &grant, backend_now(), &error));
    g_assert_nonnull(error);
    g_assert_cmpuint(control_relay_versions(fixture->starting).configuration, ==, 0);
    g_assert_null(fixture->starting->configuration);
    pooler_grant_clear(&grant);
}

/* The lease's row names the mirrors to those who start while nobody else answers. */
static void
test_lease_names_them(fixture_t *fixture, gconstpointer unused)
{
    struct lease_record record;
    struct lease_record read = {0};
    g_autoptr(GError) error = NULL;
    struct control *control = fixture->mirror;
    const struct pooler_mirror told = {(char *)"10.0.0.1:8782", (char *)"z1"};
    control_mirrors_take(control, &told, 1);
    lease_record_init(&record);
    record.mirrors_count = control_mirrors_copy(control, &record.mirrors);
    g_autoptr(GBytes) row = g_byte_array_free_to_bytes(control_lease_encode(control, &record));
    gsize length = 0;
    const uint8_t *data = g_bytes_get_data(row, &length);
    g_assert_true(control_lease_decode(data, length, &read, &error));
    control_mirrors_take(fixture->starting, read.mirrors, read.mirrors_count);
    g_assert_cmpuint(fixture->starting->mirrors.known->len, ==, 1);
    lease_record_clear(&read);
    lease_record_clear(&record);
}

#define ADD(name, test)                                                                            \
    g_test_add("/pooler/mirrors/" name, fixture_t, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/mirrors/read-the-store", test_mirrors_read_the_store);
    g_test_add_func("/pooler/mirrors/waits-to-be-told", test_waits_to_be_told);
    g_test_add_func("/pooler/mirrors/gives-up", test_gives_up);
    g_test_add_func("/pooler/mirrors/mirror-that-starts", test_mirror_that_starts);
    g_test_add_func("/pooler/mirrors/change", test_change);
    g_test_add_func("/pooler/mirrors/choice", test_choice);
    g_test_add_func("/pooler/mirrors/choice-is-bounded", test_choice_is_bounded);
    g_test_add_func("/pooler/mirrors/gathering", test_gathering);
    g_test_add_func("/pooler/mirrors/turns", test_turns);
    g_test_add_func("/pooler/mirrors/return-of-all", test_return_of_all);
    ADD("whole-tables", test_whole_tables);
    ADD("changes-beside", test_changes_beside);
    ADD("broken-message", test_broken_message);
    ADD("lease-names-them", test_lease_names_them);
    return g_test_run();
}
