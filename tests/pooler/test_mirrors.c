/**
 * @file
 * @brief Mirrors of the store's tables: how they are chosen, when a pooler sends a request to which
 * mirror, and how many poolers read the store when a complete fleet of several sizes restarts.
 */
#include "control_fixture.h"

#include <string.h>

#define BOUND_NS (8000 * MS)

static const mirror_inputs_t starting = {.starts = true,
                                         .bound = BOUND_NS,
                                         .may_learn_mirrors = true,
                                         .mirrors = 0,
                                         .missing_since = 10 * MS};

/* The decision at `ms` milliseconds. */
static mirror_step_t
step_at(mirror_inputs_t inputs, mirror_requests_t requests, unsigned ms)
{
    return mirror_next_step(&requests, &inputs, ms * MS);
}

static void
test_mirrors_read_the_store(void)
{
    mirror_inputs_t inputs = starting;
    inputs.mirrors = 5;
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_REQUEST);
    inputs.reads_store = true;
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_STORE);
}

/* A starting pooler without a list of mirrors waits for one until MIRROR_NAMES_WAIT_NS has passed.
 */
static void
test_waits_for_list(void)
{
    mirror_inputs_t inputs = starting;
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 11), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 3000), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 3010), ==, MIRROR_STEP_STORE);
    inputs.may_learn_mirrors = false;
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 11), ==, MIRROR_STEP_STORE);
}

/* A request without acknowledgement times out sooner than an acknowledged one. Then the next mirror
 * is tried, and the store after two requests. */
static void
test_timeouts(void)
{
    mirror_inputs_t inputs = starting;
    inputs.mirrors = 5;
    mirror_requests_t requests = {.sent = 1, .first_sent_at = 20 * MS, .sent_at = 20 * MS};
    g_assert_cmpint(step_at(inputs, requests, 419), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(inputs, requests, 420), ==, MIRROR_STEP_REQUEST);
    requests.acknowledged = true;
    g_assert_cmpint(step_at(inputs, requests, 1519), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(inputs, requests, 1520), ==, MIRROR_STEP_REQUEST);
    requests.sent = 2;
    g_assert_cmpint(step_at(inputs, requests, 1520), ==, MIRROR_STEP_STORE);
}

/* Mirrors start together with other machines: one that refuses the connection is tried again after
 * a pause, even if it is the only one, until MIRROR_TRY_MIN_NS has passed. */
static void
test_starting_mirror(void)
{
    mirror_inputs_t inputs = starting;
    inputs.mirrors = 1;
    mirror_requests_t requests = {.sent = 1, .first_sent_at = 20 * MS, .failed_at = 22 * MS};
    g_assert_cmpint(step_at(inputs, requests, 71), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(inputs, requests, 72), ==, MIRROR_STEP_REQUEST);
    requests.sent = 9;
    requests.failed_at = 900 * MS;
    g_assert_cmpint(step_at(inputs, requests, 950), ==, MIRROR_STEP_REQUEST);
    g_assert_cmpint(step_at(inputs, requests, 1020), ==, MIRROR_STEP_STORE);
}

/* A change must be in force within its bound: one mirror is tried for a tenth of it. */
static void
test_change(void)
{
    mirror_inputs_t inputs = starting;
    inputs.starts = false;
    inputs.mirrors = 5;
    inputs.bound = 3000 * MS;
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_REQUEST);
    const mirror_requests_t requests = {.sent = 1, .sent_at = 20 * MS, .acknowledged = true};
    g_assert_cmpint(step_at(inputs, requests, 319), ==, MIRROR_STEP_WAIT);
    g_assert_cmpint(step_at(inputs, requests, 320), ==, MIRROR_STEP_STORE);
    inputs.mirrors = 0;
    g_assert_cmpint(step_at(inputs, (mirror_requests_t){0}, 20), ==, MIRROR_STEP_STORE);
}

#define ZONES 5

/* Candidates of a fleet, a quarter of them on strong machines. */
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
    for (guint i = 0; i < fleet->len / 2; i++) { /* the order of the candidates must not matter */
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

/* However large the fleet is, the list fits into a message and has mirrors of each zone. */
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

/* While a fleet connects, the few poolers that connected first are not announced as mirrors, and a
 * new coordinator does not replace the list that it had received by a shorter one. */
static void
test_settled_choice(void)
{
    mirror_choice_t first = {.since = 0, .candidates = 40, .candidates_before = 0, .chosen = 5};
    g_assert_false(mirrors_choice_is_settled(&first, 10 * MS));
    first = (mirror_choice_t){.candidates = 900, .candidates_before = 500, .chosen = 10};
    g_assert_false(mirrors_choice_is_settled(&first, 500 * MS));
    first = (mirror_choice_t){.candidates = 985, .candidates_before = 900, .chosen = 10};
    g_assert_true(mirrors_choice_is_settled(&first, 1000 * MS));
    first = (mirror_choice_t){.candidates = 900, .candidates_before = 500, .chosen = 10};
    g_assert_true(mirrors_choice_is_settled(&first, 3000 * MS));
    mirror_choice_t next = {.candidates = 300, .candidates_before = 290, .known = 10, .chosen = 5};
    g_assert_false(mirrors_choice_is_settled(&next, 1000 * MS));
    g_assert_true(mirrors_choice_is_settled(&next, 3000 * MS));
    next.chosen = 10;
    g_assert_true(mirrors_choice_is_settled(&next, 10 * MS));
}

/* A pooler tries mirrors of its own zone first, never itself, and no mirror twice in one round. */
static void
test_order_of_requests(void)
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

/* After the loss of all poolers, every one starts with the list of the lease's row. Bounds how many
 * poolers read the store, and how many requests the busiest mirror gets, at each size of the fleet.
 */
static void
test_restart_of_fleet(void)
{
    static const unsigned sizes[] = {100, 400, 985, 1970, 4060};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        g_autoptr(GArray) fleet = make_fleet(sizes[i]);
        g_autoptr(GPtrArray) mirrors = choose(fleet);
        g_autoptr(GHashTable) request_counts = g_hash_table_new(g_str_hash, g_str_equal);
        unsigned readers = 0;
        guint most = 0;
        for (guint j = 0; j < fleet->len; j++) {
            const mirror_candidate_t *member = &g_array_index(fleet, mirror_candidate_t, j);
            mirror_inputs_t inputs = starting;
            inputs.mirrors = mirrors_count_others(mirrors, member->address);
            inputs.reads_store = inputs.mirrors < mirrors->len;
            if (mirror_next_step(&(mirror_requests_t){0}, &inputs, 20 * MS) == MIRROR_STEP_STORE) {
                readers++;
                continue;
            }
            const char *address =
                mirrors_at(mirrors, member->zone, member->address, g_str_hash(member->address), 0);
            guint before = GPOINTER_TO_UINT(g_hash_table_lookup(request_counts, address));
            g_hash_table_insert(request_counts, (gpointer)address, GUINT_TO_POINTER(before + 1));
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

/* Adds a configuration of this many services, and three databases for each. */
static void
add_rows(struct control *control, unsigned groups, uint64_t version)
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

/* Requests the tables from the mirror.
 * @return the bytes of its message. */
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

/* A full copy of both tables fits into one message, a fraction of the bytes that the store would
 * send, and contains the tables' ages. */
static void
test_full_copy(fixture_t *fixture, gconstpointer unused)
{
    add_rows(fixture->mirror, 400, 5);
    size_t bytes = request_tables(fixture);
    g_assert_cmpuint(g_hash_table_size(fixture->starting->directory.entries), ==, 1200);
    g_assert_cmpuint(g_hash_table_size(fixture->starting->configuration->routes), ==, 1200);
    g_assert_cmpuint(control_relay_versions(fixture->starting).directory, ==, 6);
    g_assert_true(control_relayed_is_valid(fixture->starting, backend_now()));
    g_assert_false(fixture->starting->feeds[STORE_TABLE_DIRECTORY].missing);
    g_assert_cmpuint(bytes, <,
                     60000); /* of 390 kB uncompressed; a start may read 40 kB at the store */
}

/* Changes after the snapshot was built are sent beside it. A receiver that has the snapshot gets
 * only the changes. */
static void
test_changes_beside_snapshot(fixture_t *fixture, gconstpointer unused)
{
    add_rows(fixture->mirror, 40, 5);
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
    g_assert_cmpuint(entry->deleted_at, !=, 0);
}

/* A corrupt message leaves the receiver's state unchanged. */
static void
test_broken_message(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_grant grant;
    g_autoptr(GError) error = NULL;
    add_rows(fixture->mirror, 40, 5);
    pooler_grant_init(&grant);
    control_mirrors_fill(fixture->mirror, &(row_versions_t){0}, true, backend_now(), &grant);
    grant.tables[grant.tables_length / 2] ^= 0x5a;
    g_assert_false(control_mirrors_take_tables(fixture->starting, &grant, backend_now(), &error));
    g_assert_nonnull(error);
    g_assert_cmpuint(control_relay_versions(fixture->starting).configuration, ==, 0);
    g_assert_null(fixture->starting->configuration);
    pooler_grant_clear(&grant);
}

/* The lease's row contains the list of mirrors for poolers that start while no other pooler
 * responds. */
static void
test_lease_row_lists_mirrors(fixture_t *fixture, gconstpointer unused)
{
    struct lease_record record;
    struct lease_record read = {0};
    g_autoptr(GError) error = NULL;
    struct control *control = fixture->mirror;
    const struct pooler_mirror received = {(char *)"10.0.0.1:8782", (char *)"z1"};
    control_mirrors_take(control, &received, 1);
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
    g_test_add_func("/pooler/mirrors/waits-for-list", test_waits_for_list);
    g_test_add_func("/pooler/mirrors/timeouts", test_timeouts);
    g_test_add_func("/pooler/mirrors/starting-mirror", test_starting_mirror);
    g_test_add_func("/pooler/mirrors/change", test_change);
    g_test_add_func("/pooler/mirrors/choice", test_choice);
    g_test_add_func("/pooler/mirrors/choice-is-bounded", test_choice_is_bounded);
    g_test_add_func("/pooler/mirrors/settled-choice", test_settled_choice);
    g_test_add_func("/pooler/mirrors/order-of-requests", test_order_of_requests);
    g_test_add_func("/pooler/mirrors/restart-of-fleet", test_restart_of_fleet);
    ADD("full-copy", test_full_copy);
    ADD("changes-beside-snapshot", test_changes_beside_snapshot);
    ADD("broken-message", test_broken_message);
    ADD("lease-row-lists-mirrors", test_lease_row_lists_mirrors);
    return g_test_run();
}
