/**
 * @file
 * @brief Rows of the store relayed from pooler to pooler: what is sent, what is known afterwards,
 * and which pooler reads the store itself.
 */
#include "control_fixture.h"

#include <string.h>

#define LARGE_ROW 30000

typedef struct fixture {
    struct control *from;
    struct control *to;
    struct pooler_settings settings;
} fixture_t;

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->settings.pooler.link_mbps = 1000;
    fixture->settings.store.apply_ms = 3000;
    fixture->from = control_fixture_new(&fixture->settings);
    fixture->to = control_fixture_new(&fixture->settings);
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    control_fixture_free(fixture->from);
    control_fixture_free(fixture->to);
}

/* Incompressible bytes. */
static GBytes *
random_bytes(gsize len)
{
    guint8 *data = g_malloc(len);
    for (gsize i = 0; i < len; i++) {
        data[i] = (guint8)g_random_int();
    }
    return g_bytes_new_take(data, len);
}

/* Adds a row of the configuration's table. Rows other than the configuration itself are kept
 * without being decoded. */
static void
add_row(struct control *control, const char *key, uint64_t version, gsize len)
{
    g_autoptr(GBytes) value = len == 0 ? NULL : random_bytes(len);
    control_take_row(control, STORE_TABLE_CONFIGURATION, key, version, value);
    control->feeds[STORE_TABLE_CONFIGURATION].version = version;
    for (int table = 0; table < STORE_TABLE_CONTROL; table++) {
        control->feeds[table].last_answer_at = backend_now();
        control_feed_prove(&control->feeds[table], backend_now());
    }
}

static const struct known_row *
row_of(const struct control *control, const char *key)
{
    return g_hash_table_lookup(control->feeds[STORE_TABLE_CONFIGURATION].rows, key);
}

/* Relays to `to` what it is missing beyond `known`.
 * @return the number of rows sent. */
static size_t
relay(const fixture_t *fixture, row_versions_t known)
{
    struct pooler_relay message;
    pooler_relay_init(&message);
    control_relay_fill(fixture->from, &(relay_receiver_t){known, false, true}, backend_now(),
                       &message);
    control_relay_take(fixture->to, &message);
    size_t rows = message.rows_count;
    pooler_relay_clear(&message);
    return rows;
}

static void
test_full_table(fixture_t *fixture, gconstpointer unused)
{
    add_row(fixture->from, "a", 4, 10);
    add_row(fixture->from, "b", 7, 10);
    g_assert_cmpuint(relay(fixture, (row_versions_t){0}), ==, 2);
    g_assert_cmpuint(row_of(fixture->to, "a")->version, ==, 4);
    g_assert_cmpuint(row_of(fixture->to, "b")->version, ==, 7);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 7);
}

static void
test_only_changes(fixture_t *fixture, gconstpointer unused)
{
    add_row(fixture->from, "a", 4, 10);
    relay(fixture, (row_versions_t){0});
    add_row(fixture->from, "b", 7, 10);
    add_row(fixture->from, "a", 9, 0);
    g_assert_cmpuint(relay(fixture, control_relay_versions(fixture->to)), ==, 2);
    g_assert_true(row_of(fixture->to, "a")->gone);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 9);
    g_assert_cmpuint(relay(fixture, control_relay_versions(fixture->to)), ==, 0);
}

/* Changes above a version that the receiver does not have must not raise its version of the table.
 */
static void
test_gap(fixture_t *fixture, gconstpointer unused)
{
    add_row(fixture->from, "a", 4, 10);
    add_row(fixture->from, "b", 7, 10);
    g_assert_cmpuint(relay(fixture, (row_versions_t){.configuration = 5}), ==, 1);
    g_assert_cmpuint(row_of(fixture->to, "b")->version, ==, 7);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 0);
}

/* An older row replaces no newer one. */
static void
test_older_sender(fixture_t *fixture, gconstpointer unused)
{
    add_row(fixture->from, "a", 4, 10);
    add_row(fixture->to, "a", 9, 12);
    relay(fixture, (row_versions_t){0});
    g_assert_cmpuint(row_of(fixture->to, "a")->version, ==, 9);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 9);
}

/* A large row is left out, and the reply makes the receiver read that table at the store, and only
 * that table. A receiver that the store does not answer gets the row nevertheless. */
static void
test_large_row(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_grant grant;
    add_row(fixture->from, "a", 4, 10);
    add_row(fixture->from, "large", 6, LARGE_ROW);
    time_ns now = backend_now();
    pooler_grant_init(&grant);
    control_relay_fill(fixture->from, &(relay_receiver_t){0}, now, &grant.relay);
    g_assert_true(grant.relay.configuration_incomplete);
    g_assert_cmpuint(grant.relay.rows_count, ==, 0);
    control_relay_take(fixture->to, &grant.relay);
    fixture->to->relayed_valid_until =
        now + 500 * MS; /* relayed state from earlier messages is still valid */
    control_relayed_accept(fixture->to, &grant.relay, now);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 0);
    g_assert_true(control_relayed_needs_store(fixture->to, STORE_TABLE_CONFIGURATION, now));
    g_assert_false(control_relayed_needs_store(fixture->to, STORE_TABLE_DIRECTORY, now));
    g_assert_true(control_relayed_needs_store(fixture->to, STORE_TABLE_DIRECTORY, now + 600 * MS));
    pooler_grant_clear(&grant);
    fixture->to->feeds[STORE_TABLE_CONFIGURATION].failures = 1;
    g_assert_false(control_relayed_store_fails(fixture->to));
    fixture->to->feeds[STORE_TABLE_CONFIGURATION].failures = 2;
    g_assert_true(control_relayed_store_fails(fixture->to));
    pooler_grant_init(&grant);
    control_relay_fill(fixture->from, &(relay_receiver_t){.lacks_store = true}, now, &grant.relay);
    control_relay_take(fixture->to, &grant.relay);
    control_relayed_accept(fixture->to, &grant.relay, now);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 6);
    g_assert_false(control_relayed_needs_store(fixture->to, STORE_TABLE_CONFIGURATION, now));
    pooler_grant_clear(&grant);
}

/* Rows that change faster than they are confirmed are not queued: the newest value is sent after
 * the confirmation. */
static void
test_unconfirmed(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer pooler = {0};
    size_t sent = 0;
    for (uint64_t version = 1; version <= 50; version++) {
        struct pooler_relay message;
        add_row(fixture->from, "a", version, 1000);
        pooler_relay_init(&message);
        control_relay_fill_pooler(fixture->from, &pooler, backend_now(), &message);
        sent += message.rows_count;
        g_assert_cmpuint(message.configuration_row, ==, version <= 20 ? 1 : 21);
        pooler_relay_clear(&message);
        if (version == 20) {
            pooler.confirmed.configuration = 1;
        }
    }
    g_assert_cmpuint(sent, ==, 2);
}

/* Rows for all poolers share the link with permits. They are sent at the rate of their share, and a
 * receiver that has waited too long gets a reply that makes it read the store. */
static void
test_link(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer poolers[20] = {0};
    unsigned sent = 0;
    unsigned left_to_store = 0;
    fixture->settings.pooler.link_mbps = 2; /* 125,000 bytes a second for rows */
    add_row(fixture->from, "a", 5, 20000);
    time_ns start = backend_now();
    for (unsigned ms = 0; ms < 2000; ms += 50) {
        for (unsigned i = 0; i < G_N_ELEMENTS(poolers); i++) {
            struct pooler_relay message;
            pooler_relay_init(&message);
            control_relay_fill_pooler(fixture->from, &poolers[i], start + ms * MS, &message);
            sent += message.rows_count > 0;
            left_to_store += message.configuration_incomplete;
            pooler_relay_clear(&message);
        }
        g_assert_cmpuint(sent, <=, 2 + ms * 125 / 20000 + 1);
        g_assert_true(left_to_store == 0 || ms > 1500);
    }
    g_assert_cmpuint(sent, >, 10);
    g_assert_cmpuint(sent, <, 20);
    g_assert_cmpuint(left_to_store, >, 0);
}

/* If changes of a large row may have been missed, the table is listed, rather than the changes
 * read. */
static void
test_missed_changes(fixture_t *fixture, gconstpointer unused)
{
    struct feed *feed = &fixture->from->feeds[STORE_TABLE_CONFIGURATION];
    add_row(fixture->from, "a", 5, 1000);
    time_ns now = feed->as_of;
    g_assert_false(control_feed_needs_listing(feed, now + 5000 * MS));
    add_row(fixture->from, "a", 6, 100000);
    now = feed->as_of;
    g_assert_false(control_feed_needs_listing(feed, now + 1000 * MS));
    g_assert_true(control_feed_needs_listing(feed, now + 5000 * MS));
    feed->missing = true;
    g_assert_true(control_feed_needs_listing(feed, now));
    fixture->settings.store.reads_per_s = 2000;
    control_feed_answered(feed, now);
    g_assert_false(control_feed_needs_listing(feed, now)); /* only once per message */
}

/* A pooler that sends another request before it has received the rows is not sent them again. */
static void
test_slow_receiver(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_heartbeat heartbeat;
    struct peer *peer = (struct peer *)fixture; /* used as a key only */
    unsigned sent = 0;
    fixture->from->unconfirmed_rows =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    add_row(fixture->from, "a", 5, 1000);
    pooler_heartbeat_init(&heartbeat);
    for (unsigned i = 0; i < 20; i++) {
        struct pooler_relay message;
        pooler_relay_init(&message);
        control_relay_fill_nonauthoritative(fixture->from, peer, &heartbeat, backend_now(),
                                            &message);
        sent += message.rows_count > 0;
        pooler_relay_clear(&message);
    }
    g_assert_cmpuint(sent, ==, 1);
    g_hash_table_unref(fixture->from->unconfirmed_rows);
}

/* Rows that the coordinator is missing are offered once, and again after OFFER_AGAIN_NS. */
static void
test_offer(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->from;
    unsigned sent = 0;
    add_row(control, "a", 5, 1000);
    time_ns start = backend_now();
    for (unsigned ms = 0; ms < 3000; ms += 250) {
        struct pooler_relay message;
        pooler_relay_init(&message);
        control_relay_fill_offer(control, start + ms * MS, &message);
        g_assert_cmpuint(message.configuration_row, ==, 5);
        sent += message.rows_count > 0;
        pooler_relay_clear(&message);
    }
    g_assert_cmpuint(sent, ==, 2);
}

/* A repetitive text is sent compressed and stored uncompressed. A corrupt one does not raise the
 * table's version. */
static void
test_compressed(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_relay message;
    g_autofree char *text = g_strnfill(40000, 'x');
    g_autoptr(GBytes) value = g_bytes_new(text, 40000);
    control_take_row(fixture->from, STORE_TABLE_CONFIGURATION, "a", 4, value);
    fixture->from->feeds[STORE_TABLE_CONFIGURATION].version = 4;
    pooler_relay_init(&message);
    control_relay_fill(fixture->from, &(relay_receiver_t){0}, backend_now(), &message);
    g_assert_cmpuint(message.rows_count, ==, 1);
    g_assert_cmpuint(message.rows[0].value_length, <, 1000);
    message.rows[0].unpacked_length++;
    GLogLevelFlags fatal =
        g_log_set_always_fatal(G_LOG_FATAL_MASK); /* the function logs a warning */
    control_relay_take(fixture->to, &message);
    g_log_set_always_fatal(fatal);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 0);
    message.rows[0].unpacked_length--;
    control_relay_take(fixture->to, &message);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 4);
    g_assert_true(g_bytes_equal(row_of(fixture->to, "a")->value, value));
    pooler_relay_clear(&message);
}

/* Adds a large text with few repetitions. The number at position `at` is `to`. */
static void
add_large_row(struct control *control, uint64_t version, unsigned at, unsigned to)
{
    GString *text = g_string_new(NULL);
    GRand *random = g_rand_new_with_seed(3);
    for (unsigned i = 0; i < 4000; i++) {
        g_string_append_printf(text, "{\"%08x%08x\":%u}", g_rand_int(random), g_rand_int(random),
                               i == at ? to : 0);
    }
    g_autoptr(GBytes) value = g_string_free_to_bytes(text);
    g_rand_free(random);
    control_take_row(control, STORE_TABLE_CONFIGURATION, "large", version, value);
    control->feeds[STORE_TABLE_CONFIGURATION].version = version;
}

static bool
same_value(const fixture_t *fixture, const char *key)
{
    return g_bytes_equal(row_of(fixture->from, key)->value, row_of(fixture->to, key)->value);
}

/* The change of a large row is sent as a delta to a receiver that has one of its last values. */
static void
test_change_of_a_large_row(fixture_t *fixture, gconstpointer unused)
{
    add_large_row(fixture->from, 4, 0, 0);
    add_large_row(fixture->to, 4, 0, 0);
    for (uint64_t version = 5; version < 40; version++) {
        add_large_row(fixture->from, version, 100, (unsigned)version);
        if (version % 3 == 0) {
            g_assert_cmpuint(relay(fixture, control_relay_versions(fixture->to)), ==, 1);
            g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, version);
            g_assert_true(same_value(fixture, "large"));
        }
    }
}

/* A receiver without support of deltas gets the complete value, or reads it at the store. */
static void
test_receiver_without_deltas(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_relay message;
    add_large_row(fixture->from, 4, 0, 0);
    add_large_row(fixture->from, 5, 100, 5);
    pooler_relay_init(&message);
    relay_receiver_t to = {.known = {4, 4}};
    control_relay_fill(fixture->from, &to, backend_now(), &message);
    g_assert_true(message.configuration_incomplete);
    pooler_relay_clear(&message);
    pooler_relay_init(&message);
    to.lacks_store = true;
    control_relay_fill(fixture->from, &to, backend_now(), &message);
    g_assert_cmpuint(message.rows_count, ==, 1);
    g_assert_cmpuint(message.rows[0].delta_base, ==, 0);
    pooler_relay_clear(&message);
}

/* A receiver that has none of the kept values gets no row and reads it at the store. */
static void
test_change_from_old_value(fixture_t *fixture, gconstpointer unused)
{
    add_large_row(fixture->from, 4, 0, 0);
    add_large_row(fixture->to, 4, 0, 0);
    for (uint64_t version = 5; version < 20; version++) {
        add_large_row(fixture->from, version, 100, (unsigned)version);
    }
    g_assert_cmpuint(relay(fixture, control_relay_versions(fixture->to)), ==, 0);
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 4);
}

/* A delta to another value than the known one is rejected: the table's version does not rise, and
 * the table is read at the store at once, although relayed state is valid. */
static void
test_change_from_another_value(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_relay message;
    add_large_row(fixture->from, 4, 0, 0);
    add_large_row(fixture->from, 9, 100, 9);
    add_large_row(fixture->to, 6, 100,
                  6); /* read at the store; the sender has not seen this version */
    fixture->to->relayed_valid_until = backend_now() + 1000 * MS;
    pooler_relay_init(&message);
    row_versions_t known = control_relay_versions(fixture->to);
    control_relay_fill(fixture->from, &(relay_receiver_t){known, false, true}, backend_now(),
                       &message);
    g_assert_cmpuint(message.rows[0].delta_base, ==, 4);
    GLogLevelFlags fatal =
        g_log_set_always_fatal(G_LOG_FATAL_MASK); /* the function logs a warning */
    control_relay_take(fixture->to, &message);
    g_log_set_always_fatal(fatal);
    control_relayed_accept(fixture->to, &message, backend_now());
    g_assert_cmpuint(control_relay_versions(fixture->to).configuration, ==, 6);
    g_assert_true(
        control_relayed_needs_store(fixture->to, STORE_TABLE_CONFIGURATION, backend_now()));
    pooler_relay_clear(&message);
}

/* Many small rows are limited like a large one: poolers of a starting fleet read thousands of
 * databases' records at the store, not from one pooler. */
static void
test_many_rows(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_relay message;
    for (unsigned i = 0; i < 1000; i++) {
        g_autofree char *key = g_strdup_printf("row-%u", i);
        add_row(fixture->from, key, i + 1, 100);
    }
    pooler_relay_init(&message);
    control_relay_fill(fixture->from, &(relay_receiver_t){0}, backend_now(), &message);
    g_assert_true(message.configuration_incomplete);
    g_assert_cmpuint(message.rows_count, ==, 0);
    pooler_relay_clear(&message);
    pooler_relay_init(&message);
    control_relay_fill(fixture->from, &(relay_receiver_t){.known = {900, 0}}, backend_now(),
                       &message);
    g_assert_false(message.configuration_incomplete);
    g_assert_cmpuint(message.rows_count, ==, 100);
    pooler_relay_clear(&message);
}

/* Rows of a pooler that is not the coordinator are valid, too, if it sends their age and the
 * receiver is missing none of them. */
static void
test_nonauthoritative_sender(fixture_t *fixture, gconstpointer unused)
{
    struct control *to = fixture->to;
    struct pooler_relay message;
    add_row(fixture->from, "a", 4, 10);
    time_ns now = backend_now();
    pooler_relay_init(&message);
    control_relay_fill(fixture->from, &(relay_receiver_t){0}, now, &message);
    control_relayed_accept(to, &message, now);
    g_assert_false(
        control_relayed_is_valid(to, now)); /* rows that the sender has are missing here */
    control_relay_take(to, &message);
    control_relayed_accept(to, &message, now);
    g_assert_true(control_relayed_is_valid(to, now + 1500 * MS));
    g_assert_false(control_relayed_is_valid(to, now + 2000 * MS));
    g_assert_true(control_relayed_covers_lease(to, now + 1000 * MS));
    g_assert_false(
        control_relayed_covers_lease(to, now + 1600 * MS));      /* the sender may have failed */
    g_assert_cmpuint(to->coordinator_rows.configuration, ==, 4); /* not sent back to the sender */
    message.configuration_age_ms = 4000;
    control_relayed_accept(to, &message, now + 2500 * MS);
    g_assert_false(control_relayed_is_valid(to, now + 2500 * MS));
    message.configuration_age_ms = 1;
    message.directory_age_ms = 0; /* it knows more of that table than it has sent */
    control_relayed_accept(to, &message, now + 2500 * MS);
    g_assert_false(control_relayed_is_valid(to, now + 2500 * MS));
    to->follows_store = true;
    message.directory_age_ms = 1;
    control_relayed_accept(to, &message, now + 2500 * MS);
    g_assert_false(control_relayed_is_valid(to, now + 2500 * MS));
    pooler_relay_clear(&message);
}

static void
add_pooler(struct control *control, const char *name, const char *zone, uint32_t millicores)
{
    struct pooler_peer *pooler = g_new0(struct pooler_peer, 1);
    pooler->name = (char *)name;
    pooler->zone = (char *)zone;
    pooler->millicores = millicores;
    pooler->peer = (struct peer *)control; /* only compared with NULL */
    pooler->peer_address = (char *)name;
    g_hash_table_insert(control->poolers, pooler->name, pooler);
}

/* Poolers on strong machines become followers, one that the store does not answer is replaced, and
 * the list is announced to all. */
static void
test_followers(fixture_t *fixture, gconstpointer unused)
{
    struct control *from = fixture->from;
    struct pooler_grant grant;
    fixture->settings.pooler.name = (char *)"self";
    from->poolers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    add_pooler(from, "self", "zone-1", 500);
    add_pooler(from, "strong-1", "zone-1", 500);
    add_pooler(from, "strong-2", "zone-2", 500);
    add_pooler(from, "strong-3", "zone-3", 500);
    add_pooler(from, "weak-1", "zone-1", 120);
    control_followers_choose(from);
    g_assert_cmpuint(from->followers->len, ==, 3);
    uint64_t version = from->followers_version;
    control_followers_choose(from);
    g_assert_cmpuint(from->followers_version, ==, version);
    ((struct pooler_peer *)g_hash_table_lookup(from->poolers, "strong-2"))->store_age_ms = 4000;
    control_followers_choose(from);
    g_assert_cmpuint(from->followers_version, >, version);
    g_assert_false(
        ((struct pooler_peer *)g_hash_table_lookup(from->poolers, "strong-2"))->follows_store);
    pooler_grant_init(&grant);
    control_followers_announce(from, version, &grant);
    g_assert_cmpuint(grant.followers_count, ==, 3);
    control_followers_take(fixture->to, &grant);
    g_assert_cmpuint(fixture->to->followers->len, ==, 3);
    pooler_grant_clear(&grant);
    pooler_grant_init(&grant);
    control_followers_announce(from, from->followers_version, &grant);
    g_assert_cmpuint(grant.followers_count, ==, 0);
    control_followers_take(fixture->to, &grant);
    g_assert_cmpuint(fixture->to->followers->len, ==, 3);
    pooler_grant_clear(&grant);
    g_hash_table_unref(from->poolers);
}

/* Relayed state is valid only from a coordinator that the store answers, and for three fifths of
 * the bound on a configuration from the time at which it was proven to be the store's newest. */
static void
test_validity(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_relay relay;
    time_ns now = backend_now();
    pooler_relay_init(&relay);
    relay.configuration_age_ms = 300;
    relay.directory_age_ms = 100;
    control_relayed_accept(fixture->to, &relay, now);
    g_assert_false(
        control_relayed_needs_store(fixture->to, STORE_TABLE_DIRECTORY, now + 1400 * MS));
    g_assert_true(control_relayed_needs_store(fixture->to, STORE_TABLE_DIRECTORY, now + 1600 * MS));
    fixture->to->relayed_valid_until = 0;
    relay.configuration_age_ms = 4000;
    control_relayed_accept(fixture->to, &relay, now);
    g_assert_true(control_relayed_needs_store(fixture->to, STORE_TABLE_DIRECTORY, now + 1));
    relay.configuration_age_ms = 300;
    fixture->to->follows_store = true;
    control_relayed_accept(fixture->to, &relay, now);
    g_assert_true(control_relayed_needs_store(fixture->to, STORE_TABLE_DIRECTORY, now + 1));
    pooler_relay_clear(&relay);
}

/* After the loss of all poolers none answers one that starts. It reads the store soon, and only a
 * little later after an answer of a pooler that knows nothing either. */
static void
test_start(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->to;
    fixture->settings.pooler.peers.items = (char *[]){(char *)"10.0.0.1:8782"};
    fixture->settings.pooler.peers.count = 1;
    g_free(control->address);
    control->address = g_strdup("10.0.0.2:8782");
    fixture->settings.pooler.start_wait_ms = 50;
    control->started_at = backend_now();
    control_relayed_start(control);
    g_assert_false(
        control_relayed_needs_store(control, STORE_TABLE_DIRECTORY, control->started_at));
    g_assert_true(control_relayed_needs_store(control, STORE_TABLE_DIRECTORY,
                                              control->started_at + 100 * MS));
    time_ns now = control->started_at + 5 * MS;
    control_relayed_peer_answered(control, now);
    g_assert_false(control_relayed_needs_store(control, STORE_TABLE_DIRECTORY, now + 100 * MS));
    control_relayed_peer_answered(control, now + 100 * MS);
    g_assert_true(control_relayed_needs_store(control, STORE_TABLE_DIRECTORY, now + 200 * MS));
    g_assert_cmpuint(control->lease.next_at, <, now + 200 * MS);
}

#define ADD(name, test) g_test_add("/pooler/relay/" name, fixture_t, NULL, set_up, test, tear_down)

/* One heartbeat and its answer between a pooler (`to`) and its coordinator (`from`). */
static void
exchange_heartbeat(const fixture_t *fixture, struct pooler_peer *pooler, time_ns now)
{
    struct pooler_relay offer;
    struct pooler_relay answer;
    pooler_relay_init(&offer);
    pooler_relay_init(&answer);
    control_relay_fill_offer(fixture->to, now, &offer);
    control_relay_take(fixture->from, &offer);
    control_relay_confirm(pooler, &offer);
    control_relay_fill_pooler(fixture->from, pooler, now, &answer);
    control_relay_take(fixture->to, &answer);
    control_relayed_accept(fixture->to, &answer, now);
    pooler_relay_clear(&offer);
    pooler_relay_clear(&answer);
}

/* The store answers with all rows of 1,000 databases and the large configuration, as of now. */
static void
read_all_from_store(struct control *control, uint64_t version, time_ns now)
{
    add_large_row(control, version, 1, 1);
    for (unsigned i = 0; i < 1000; i++) {
        g_autofree char *key = g_strdup_printf("database-%u", i);
        g_autofree char *text = g_strdup_printf(
            "{\"service\":\"s%u\",\"address\":\"10.0.0.1:%u\",\"zone\":\"a\",\"slots\":4,"
            "\"version\":\"v1\",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,"
            "\"dbRole\":\"primary\"}",
            i, 1000 + i);
        g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
        control_take_row(control, STORE_TABLE_DIRECTORY, key, version, value);
    }
    for (int table = 0; table < STORE_TABLE_CONTROL; table++) {
        struct feed *feed = &control->feeds[table];
        feed->version = version;
        control_feed_answered(feed, now);
        control_feed_prove(feed, now);
    }
}

/* The configuration and databases of 334 groups exceed one message: a pooler reads them once at the
 * store. Then it reports their versions, gets no incomplete flag, and uses its coordinator's state.
 */
static void
test_large_tables_read_once(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer pooler = {.takes_deltas = true};
    unsigned reads = 0;
    fixture->settings.store.reads_per_s = 6000;
    fixture->settings.store.heartbeat_ms = 1200;
    time_ns start = backend_now();
    read_all_from_store(fixture->from, 4, start);
    for (unsigned ms = 0; ms < 20000; ms += 250) {
        time_ns now = start + ms * MS;
        control_feed_prove(&fixture->from->feeds[STORE_TABLE_CONFIGURATION], now);
        control_feed_prove(&fixture->from->feeds[STORE_TABLE_DIRECTORY], now);
        exchange_heartbeat(fixture, &pooler, now);
        if (control_relayed_needs_store(fixture->to, STORE_TABLE_CONFIGURATION, now)) {
            reads++;
            read_all_from_store(fixture->to, 4, now);
        }
    }
    g_assert_cmpuint(reads, ==, 1);
    g_assert_true(control_relayed_is_valid(fixture->to, start + 20000 * MS));
}

/* An incomplete flag sent before the peer knew that the store was read causes no further read. */
static void
test_outdated_incomplete_flag(fixture_t *fixture, gconstpointer unused)
{
    struct feed *feed = &fixture->to->feeds[STORE_TABLE_CONFIGURATION];
    struct pooler_relay message;
    time_ns now = backend_now();
    read_all_from_store(fixture->to, 4, now);
    pooler_relay_init(&message);
    message.configuration_incomplete = true;
    control_relayed_accept(fixture->to, &message, now);
    g_assert_false(feed->missing);
    message.configuration_base = message.configuration_row =
        4; /* the peer has the new version, and knows more */
    control_relayed_accept(fixture->to, &message, now);
    g_assert_true(feed->missing);
    pooler_relay_clear(&message);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("full-table", test_full_table);
    ADD("only-changes", test_only_changes);
    ADD("gap", test_gap);
    ADD("older-sender", test_older_sender);
    ADD("large-row", test_large_row);
    ADD("unconfirmed", test_unconfirmed);
    ADD("link", test_link);
    ADD("slow-receiver", test_slow_receiver);
    ADD("offer", test_offer);
    ADD("missed-changes", test_missed_changes);
    ADD("compressed", test_compressed);
    ADD("change-of-a-large-row", test_change_of_a_large_row);
    ADD("change-from-old-value", test_change_from_old_value);
    ADD("receiver-without-deltas", test_receiver_without_deltas);
    ADD("change-from-another-value", test_change_from_another_value);
    ADD("many-rows", test_many_rows);
    ADD("nonauthoritative-sender", test_nonauthoritative_sender);
    ADD("followers", test_followers);
    ADD("validity", test_validity);
    ADD("start", test_start);
    ADD("large-tables-read-once", test_large_tables_read_once);
    ADD("outdated-incomplete-flag", test_outdated_incomplete_flag);
    return g_test_run();
}
