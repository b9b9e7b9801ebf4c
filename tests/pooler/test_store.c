/**
 * @file
 * @brief The client of the store with its stand-in: listings of several pages, and a restored
 * store.
 */
#include "pooler/control/store.h"
#include "standins/session_platform/row_store.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <string.h>

typedef struct fixture {
    struct row_store *stand_in;
    struct event_base *base;
    struct store *store;
    enum store_outcome outcome;
    GHashTable *keys; /* of the received rows */
    uint64_t version;
    bool answered;
} fixture_t;

static bool
promote(void *user, const char *service, const char *database)
{
    return true;
}

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->stand_in = row_store_start(promote, NULL);
    fixture->base = event_base_new();
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(row_store_port(fixture->stand_in));
    fixture->store = store_new(fixture->base, &address);
    fixture->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    store_free(fixture->store);
    event_base_free(fixture->base);
    row_store_stop(fixture->stand_in);
    g_hash_table_unref(fixture->keys);
}

static void
put_databases(const fixture_t *fixture, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        g_autofree char *key = g_strdup_printf("database %u&", i);
        row_store_put(fixture->stand_in, "servers", key, "{}");
    }
}

static void
on_listed(void *user, const struct store_answer *answer)
{
    fixture_t *fixture = user;
    fixture->outcome = answer->outcome;
    fixture->version = answer->version;
    fixture->answered = true;
    for (guint i = 0; i < answer->rows->len; i++) {
        const struct store_row *row = g_ptr_array_index(answer->rows, i);
        g_hash_table_add(fixture->keys, g_strdup(row->key));
    }
    event_base_loopbreak(fixture->base);
}

static void
list(fixture_t *fixture)
{
    fixture->answered = false;
    store_read(fixture->store, STORE_TABLE_DIRECTORY, on_listed, fixture);
    event_base_dispatch(fixture->base);
    g_assert_true(fixture->answered);
}

/* Reads one row of many, and no row if there is none with the key. */
static void
test_one_row(fixture_t *fixture, gconstpointer unused)
{
    static const char *const keys[] = {"database 3&", "database 4", "zone"};
    put_databases(fixture, 20);
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        g_hash_table_remove_all(fixture->keys);
        store_read_row(fixture->store, STORE_TABLE_DIRECTORY, keys[i], on_listed, fixture);
        event_base_dispatch(fixture->base);
        g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_DONE);
        g_assert_cmpuint(g_hash_table_size(fixture->keys), ==, i == 0);
        g_assert_true(i > 0 || g_hash_table_contains(fixture->keys, keys[i]));
    }
}

/* A listing of several pages is complete: rows after the first page must not count as deleted. */
static void
test_pages(fixture_t *fixture, gconstpointer unused)
{
    put_databases(fixture, 1234);
    list(fixture);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_DONE);
    g_assert_cmpuint(g_hash_table_size(fixture->keys), ==, 1234);
    g_assert_cmpuint(fixture->version, ==, 1234);
}

static void
test_one_page(fixture_t *fixture, gconstpointer unused)
{
    list(fixture);
    g_assert_cmpuint(g_hash_table_size(fixture->keys), ==, 0);
    put_databases(fixture, 500);
    list(fixture);
    g_assert_cmpuint(g_hash_table_size(fixture->keys), ==, 500);
}

static void
test_refused(fixture_t *fixture, gconstpointer unused)
{
    put_databases(fixture, 600);
    row_store_set_faults(fixture->stand_in, &(struct row_store_faults){.refuse = true});
    list(fixture);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_REFUSED);
    g_assert_cmpuint(g_hash_table_size(fixture->keys), ==, 0);
}

/* An answer without a readable body has an unknown outcome: neither an empty table nor an unchanged
 * one. */
static void
test_unreadable(fixture_t *fixture, gconstpointer unused)
{
    put_databases(fixture, 20);
    row_store_set_faults(fixture->stand_in, &(struct row_store_faults){.empty = true});
    GLogLevelFlags fatal = g_log_set_always_fatal(G_LOG_FATAL_MASK); /* the client logs a warning */
    list(fixture);
    g_log_set_always_fatal(fatal);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_UNKNOWN);
}

static void
watch(fixture_t *fixture, uint64_t after)
{
    fixture->answered = false;
    store_watch(fixture->store, STORE_TABLE_DIRECTORY, after, 0, on_listed, fixture);
    event_base_dispatch(fixture->base);
    g_assert_true(fixture->answered);
}

/* Versions keep rising over a restore, and changes are only read after a version of the same era,
 * as the store assigns its numbers again. */
static void
test_restored_watch(fixture_t *fixture, gconstpointer unused)
{
    put_databases(fixture, 20);
    list(fixture);
    g_assert_cmpuint(fixture->version, ==, 20);
    row_store_restore(fixture->stand_in, 5);
    put_databases(fixture, 30);
    watch(fixture, fixture->version);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_HISTORY_GONE);
    list(fixture);
    g_assert_cmpuint(fixture->version, ==, store_version(1, 35));
    watch(fixture, fixture->version);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_DONE);
    g_assert_cmpuint(fixture->version, ==, store_version(1, 35));
}

/* Pages of two eras do not form a listing. */
static void
test_restored_listing(fixture_t *fixture, gconstpointer unused)
{
    put_databases(fixture, 1234);
    row_store_set_faults(fixture->stand_in, &(struct row_store_faults){.restore_after_reads = 2});
    list(fixture);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_UNKNOWN);
    list(fixture);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_DONE);
    g_assert_cmpuint(store_era(fixture->version), ==, 1);
}

static void
write_lease(fixture_t *fixture, uint64_t version)
{
    const struct store_put put = {"lease", "value", strlen("value")};
    fixture->answered = false;
    store_write(fixture->store, "lease", version, &put, 1, on_listed, fixture);
    event_base_dispatch(fixture->base);
    g_assert_true(fixture->answered);
}

/* A write with a version of an earlier era as its condition has an unknown outcome, even if the row
 * has the same number again. */
static void
test_restored_condition(fixture_t *fixture, gconstpointer unused)
{
    put_databases(fixture, 6);
    write_lease(fixture, 0);
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_DONE);
    g_assert_cmpuint(fixture->version, ==, 7);
    row_store_restore(fixture->stand_in, 6);
    write_lease(fixture, store_version(0, 7));
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_UNKNOWN);
    write_lease(fixture, store_version(1, 0));
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_DONE);
    g_assert_cmpuint(fixture->version, ==, store_version(1, 7));
    write_lease(fixture, store_version(0, 7)); /* the same number in another era */
    g_assert_cmpint((int)fixture->outcome, ==, (int)STORE_UNKNOWN);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/store/pages", fixture_t, NULL, set_up, test_pages, tear_down);
    g_test_add("/store/one_row", fixture_t, NULL, set_up, test_one_row, tear_down);
    g_test_add("/store/one_page", fixture_t, NULL, set_up, test_one_page, tear_down);
    g_test_add("/store/refused", fixture_t, NULL, set_up, test_refused, tear_down);
    g_test_add("/store/restored-watch", fixture_t, NULL, set_up, test_restored_watch, tear_down);
    g_test_add("/store/restored-listing", fixture_t, NULL, set_up, test_restored_listing,
               tear_down);
    g_test_add("/store/restored-condition", fixture_t, NULL, set_up, test_restored_condition,
               tear_down);
    g_test_add("/store/unreadable", fixture_t, NULL, set_up, test_unreadable, tear_down);
    return g_test_run();
}
