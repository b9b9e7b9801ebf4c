/* Classes of SQL statements: a table of statements, declared access, bounds and the cache. */
#include "generated/errors.h"
#include "sql/cache.h"
#include "sql/classify.h"

#include <pg_query.h>
#include <pthread.h>
#include <string.h>

enum expectation {
    READ,
    WRITE,
    ASSUMED, /* a write only because it calls an unknown function */
    REFUSED,
    MALFORMED,
};

struct classify_case {
    const char *sql;
    enum expectation expected;
    uint32_t position; /* of the error */
    const char *text;  /* of the error */
};

#define SESSION  " is refused: it changes the state of a session"
#define CURSOR   " is refused: a cursor belongs to a session"
#define PREPARED " is refused: a prepared statement belongs to a session"
#define TRANSACTION                                                                                \
    "a transaction statement is refused: transactions are begun and ended at the transactions "    \
    "endpoint"
#define SEVERAL    "several statements are refused: send one, or a transaction with all of them"
#define RESERVED   " is refused: names with swiftworks_ are reserved"
#define TEMPORARY  " is refused: a temporary table belongs to a session"
#define USES       " is refused: it uses the state of a session"
#define NOT_SERVED " is refused: it is not served"
#define UNLISTED   "the statement is refused: statements of this kind are not served"
#define CODE       " is refused: the proxy does not run or define code in the database"
#define LOCKS      "LOCK is refused: explicit table locks are not served"
#define COPIES     "COPY is refused: bulk copy of rows is not served"
#define CONCURRENT "CONCURRENTLY is refused: it can not run in a transaction"

static const struct classify_case cases[] = {
    /* Reads. */
    {"SELECT 1", READ, 0, NULL},
    {"  select 1 ;  ", READ, 0, NULL},
    {"/* a comment; */ SELECT ';' -- and; more", READ, 0, NULL},
    {"SELECT * FROM bookings WHERE hut = $1", READ, 0, NULL},
    {"SELECT 'INSERT INTO t VALUES (1)'", READ, 0, NULL},
    {"SELECT \"update\" FROM \"delete\"", READ, 0, NULL},
    {"SELECT count(*), max(a), coalesce(sum(b), 0) FROM t GROUP BY c HAVING avg(d) > 1", READ, 0,
     NULL},
    {"SELECT lower(name), now(), date_trunc('day', at) FROM t", READ, 0, NULL},
    {"SELECT EXTRACT(year FROM at), at AT TIME ZONE 'UTC', trim(a), position('a' IN b) FROM t",
     READ, 0, NULL},
    {"SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM t", READ, 0, NULL},
    {"SELECT a FROM t UNION ALL SELECT b FROM u", READ, 0, NULL},
    {"WITH c AS (SELECT 1) SELECT * FROM c", READ, 0, NULL},
    {"WITH RECURSIVE c(n) AS (VALUES (1) UNION ALL SELECT n + 1 FROM c WHERE n < 9) TABLE c", READ,
     0, NULL},
    {"VALUES (1, 'a'), (2, 'b')", READ, 0, NULL},
    {"TABLE bookings", READ, 0, NULL},
    {"SELECT pg_catalog.lower('A'), pg_typeof(1), pg_size_pretty(1::bigint)", READ, 0, NULL},
    {"SELECT random(), gen_random_uuid(), clock_timestamp()", READ, 0, NULL},
    {"SELECT swiftworks_code FROM products", READ, 0, NULL},
    {"SELECT 'swiftworks_ledger'", READ, 0, NULL},
    {"EXPLAIN SELECT * FROM t", READ, 0, NULL},
    {"EXPLAIN INSERT INTO t VALUES (1)", READ, 0, NULL},
    {"EXPLAIN ANALYZE SELECT * FROM t", READ, 0, NULL},
    {"EXPLAIN (ANALYZE off) DELETE FROM t", READ, 0, NULL},
    {"EXPLAIN (ANALYZE FALSE, VERBOSE) DELETE FROM t", READ, 0, NULL},
    {"EXPLAIN (ANALYZE 0) DELETE FROM t", READ, 0, NULL},
    {"SHOW server_version", READ, 0, NULL},
    {"SELECT * FROM generate_series(1, 3) WITH ORDINALITY", READ, 0, NULL},
    {"SELECT current_setting('TimeZone')", READ, 0, NULL},
    /* Writes. */
    {"INSERT INTO bookings (hut, bed) VALUES ($1, $2) RETURNING id", WRITE, 0, NULL},
    {"INSERT INTO t SELECT * FROM u ON CONFLICT (a) DO UPDATE SET b = 1", WRITE, 0, NULL},
    {"UPDATE t SET a = 1 WHERE b = 2", WRITE, 0, NULL},
    {"DELETE FROM t", WRITE, 0, NULL},
    {"MERGE INTO t USING u ON t.a = u.a WHEN MATCHED THEN DELETE", WRITE, 0, NULL},
    {"SELECT * FROM t FOR UPDATE", WRITE, 0, NULL},
    {"SELECT * FROM t FOR NO KEY UPDATE SKIP LOCKED", WRITE, 0, NULL},
    {"SELECT * FROM t FOR SHARE", WRITE, 0, NULL},
    {"SELECT * FROM (SELECT * FROM t FOR KEY SHARE) s", WRITE, 0, NULL},
    {"WITH d AS (DELETE FROM t RETURNING a) SELECT * FROM d", WRITE, 0, NULL},
    {"WITH i AS (INSERT INTO t VALUES (1) RETURNING a) SELECT 1", WRITE, 0, NULL},
    {"SELECT 1 WHERE EXISTS (WITH u AS (UPDATE t SET a = 1 RETURNING 1) SELECT 1)", WRITE, 0, NULL},
    {"SELECT nextval('s')", WRITE, 0, NULL},
    {"SELECT setval('s', 5)", WRITE, 0, NULL},
    {"SELECT a FROM t WHERE b = pg_catalog.nextval('s')", WRITE, 0, NULL},
    {"SELECT txid_current()", WRITE, 0, NULL},
    {"SELECT * INTO copy_of_t FROM t", WRITE, 0, NULL},
    {"EXPLAIN ANALYZE INSERT INTO t VALUES (1)", WRITE, 0, NULL},
    {"EXPLAIN (ANALYZE 1) DELETE FROM t", WRITE, 0, NULL},
    {"EXPLAIN (VERBOSE, ANALYZE on) UPDATE t SET a = 1", WRITE, 0, NULL},
    {"EXPLAIN (ANALYZE off, ANALYZE on) UPDATE t SET a = 1", WRITE, 0, NULL},
    {"CREATE TABLE t (a int PRIMARY KEY, b text DEFAULT lower('X'))", WRITE, 0, NULL},
    {"CREATE TABLE t AS SELECT 1", WRITE, 0, NULL},
    {"CREATE INDEX i ON t (a)", WRITE, 0, NULL},
    {"CREATE VIEW v AS SELECT 1", WRITE, 0, NULL},
    {"CREATE SEQUENCE s", WRITE, 0, NULL},
    {"CREATE TYPE mood AS ENUM ('a', 'b')", WRITE, 0, NULL},
    {"ALTER TABLE t ADD COLUMN swiftworks_code int DEFAULT 1", WRITE, 0, NULL},
    {"ALTER TABLE t RENAME TO u", WRITE, 0, NULL},
    {"DROP TABLE IF EXISTS a.b, c CASCADE", WRITE, 0, NULL},
    {"TRUNCATE t", WRITE, 0, NULL},
    {"COMMENT ON TABLE t IS 'swiftworks_ledger'", WRITE, 0, NULL},
    {"GRANT SELECT ON t TO PUBLIC", WRITE, 0, NULL},
    {"REFRESH MATERIALIZED VIEW m", WRITE, 0, NULL},
    /* Functions that are not built in. */
    {"SELECT confirm_stay(5)", ASSUMED, 0, NULL},
    {"SELECT * FROM app.free_beds($1)", ASSUMED, 0, NULL},
    {"SELECT app.lower('A')", ASSUMED, 0, NULL},
    {"SELECT \"Lower\"('A')", ASSUMED, 0, NULL},
    {"SELECT confirm_stay(5), nextval('s')", WRITE, 0, NULL},
    {"SELECT nextval('s'), confirm_stay(5)", WRITE, 0, NULL},
    {"EXPLAIN SELECT confirm_stay(5)", READ, 0, NULL},
    /* Several statements. */
    {"SELECT 1; SELECT 2", REFUSED, 11, SEVERAL},
    {"SELECT 'é'; DELETE FROM t; SELECT 3", REFUSED, 13, SEVERAL},
    {"SELECT 1;;SELECT 2", REFUSED, 11, SEVERAL},
    /* State of a session. */
    {"SET search_path = x", REFUSED, 1, "SET" SESSION},
    {"  SET LOCAL timezone = 'UTC'", REFUSED, 3, "SET" SESSION},
    {"SET ROLE admin", REFUSED, 1, "SET" SESSION},
    {"SET SESSION AUTHORIZATION x", REFUSED, 1, "SET" SESSION},
    {"SET TRANSACTION ISOLATION LEVEL SERIALIZABLE", REFUSED, 1, "SET" SESSION},
    {"SET CONSTRAINTS ALL DEFERRED", REFUSED, 1, "SET CONSTRAINTS" SESSION},
    {"RESET ALL", REFUSED, 1, "SET" SESSION},
    {"DISCARD ALL", REFUSED, 1, "DISCARD" SESSION},
    {"LISTEN x", REFUSED, 1, "LISTEN" SESSION},
    {"UNLISTEN *", REFUSED, 1, "UNLISTEN" SESSION},
    {"NOTIFY x, 'y'", REFUSED, 1, "NOTIFY" SESSION},
    {"LOAD 'x'", REFUSED, 1, "LOAD" SESSION},
    {"PREPARE p AS SELECT 1", REFUSED, 1, "PREPARE" PREPARED},
    {"EXECUTE p(1)", REFUSED, 1, "EXECUTE" PREPARED},
    {"EXPLAIN EXECUTE p", REFUSED, 1, "EXECUTE" PREPARED},
    {"DEALLOCATE ALL", REFUSED, 1, "DEALLOCATE" PREPARED},
    {"DECLARE c CURSOR FOR SELECT 1", REFUSED, 1, "DECLARE" CURSOR},
    {"EXPLAIN DECLARE c CURSOR FOR SELECT 1", REFUSED, 1, "DECLARE" CURSOR},
    {"FETCH ALL FROM c", REFUSED, 1, "FETCH" CURSOR},
    {"MOVE c", REFUSED, 1, "FETCH" CURSOR},
    {"CLOSE c", REFUSED, 1, "CLOSE" CURSOR},
    {"UPDATE t SET a = 1 WHERE CURRENT OF c", REFUSED, 1,
     "CURRENT OF is refused: a cursor belongs to a session"},
    {"CREATE TEMP TABLE x (a int)", REFUSED, 19, "table x" TEMPORARY},
    {"CREATE TEMPORARY TABLE x AS SELECT 1", REFUSED, 24, "table x" TEMPORARY},
    {"CREATE TEMP VIEW v AS SELECT 1", REFUSED, 18, "table v" TEMPORARY},
    {"CREATE TEMP SEQUENCE s", REFUSED, 22, "table s" TEMPORARY},
    {"SELECT 1 AS a INTO TEMP x", REFUSED, 25, "table x" TEMPORARY},
    {"CREATE TABLE pg_temp.x (a int)", REFUSED, 14, "table x" TEMPORARY},
    {"SELECT * FROM pg_temp_3.x", REFUSED, 15, "table x" TEMPORARY},
    {"SELECT pg_temp.f()", REFUSED, 8, "function f is refused: it exists in one session only"},
    {"SELECT pg_advisory_lock(1)", REFUSED, 8, "function pg_advisory_lock" USES},
    {"SELECT é, pg_try_advisory_xact_lock(1) FROM t", REFUSED, 11,
     "function pg_try_advisory_xact_lock" USES},
    {"SELECT pg_catalog.pg_advisory_unlock_all()", REFUSED, 8,
     "function pg_advisory_unlock_all" USES},
    {"SELECT set_config('a.b', 'c', false)", REFUSED, 8, "function set_config" USES},
    {"EXPLAIN SELECT set_config('a.b', 'c', false)", REFUSED, 16, "function set_config" USES},
    {"SELECT currval('s')", REFUSED, 8, "function currval" USES},
    {"SELECT lastval()", REFUSED, 8, "function lastval" USES},
    {"INSERT INTO t VALUES (lastval())", REFUSED, 23, "function lastval" USES},
    {"SELECT setseed(0.5)", REFUSED, 8, "function setseed" USES},
    {"SELECT pg_notify('a', 'b')", REFUSED, 8, "function pg_notify" USES},
    {"UPDATE pg_settings SET setting = 'x' WHERE name = 'y'", REFUSED, 8,
     "table pg_settings is refused: writing it changes the state of a session"},
    /* Control of the server. */
    {"SELECT pg_sleep(1)", REFUSED, 8, "function pg_sleep" NOT_SERVED},
    {"SELECT pg_terminate_backend(1)", REFUSED, 8, "function pg_terminate_backend" NOT_SERVED},
    {"SELECT pg_promote()", REFUSED, 8, "function pg_promote" NOT_SERVED},
    {"SELECT pg_read_file('x')", REFUSED, 8, "function pg_read_file" NOT_SERVED},
    {"SELECT lo_open(1, 2)", REFUSED, 8, "function lo_open" NOT_SERVED},
    {"SELECT query_to_xml('DELETE FROM t', true, true, '')", REFUSED, 8,
     "function query_to_xml" NOT_SERVED},
    {"SELECT * FROM dblink('a', 'b') AS t(c int)", REFUSED, 15, "function dblink" NOT_SERVED},
    {"LOCK TABLE t", REFUSED, 1, LOCKS},
    {"COPY t FROM STDIN", REFUSED, 1, COPIES},
    {"COPY (SELECT 1) TO STDOUT", REFUSED, 1, COPIES},
    {"DO $$ BEGIN END $$", REFUSED, 1, "DO" CODE},
    {"CALL p(1)", REFUSED, 1, "CALL" CODE},
    {"CREATE FUNCTION f() RETURNS int LANGUAGE sql AS 'SELECT 1'", REFUSED, 1,
     "CREATE FUNCTION" CODE},
    {"CREATE TRIGGER g AFTER INSERT ON t EXECUTE FUNCTION f()", REFUSED, 1, "CREATE TRIGGER" CODE},
    {"VACUUM t", REFUSED, 1, UNLISTED},
    {"ANALYZE t", REFUSED, 1, UNLISTED},
    {"CHECKPOINT", REFUSED, 1, UNLISTED},
    {"ALTER SYSTEM SET a = 1", REFUSED, 1, UNLISTED},
    {"CREATE DATABASE d", REFUSED, 1, UNLISTED},
    {"CREATE ROLE r", REFUSED, 1, UNLISTED},
    {"DROP OWNED BY r", REFUSED, 1, UNLISTED},
    {"DROP SCHEMA public CASCADE", REFUSED, 1,
     "DROP SCHEMA is refused: the schema may hold reserved tables"},
    {"CREATE INDEX CONCURRENTLY i ON t (a)", REFUSED, 1, CONCURRENT},
    {"DROP INDEX CONCURRENTLY i", REFUSED, 1, CONCURRENT},
    /* Transactions. */
    {"BEGIN", REFUSED, 1, TRANSACTION},
    {"START TRANSACTION READ ONLY", REFUSED, 1, TRANSACTION},
    {"COMMIT", REFUSED, 1, TRANSACTION},
    {"ROLLBACK TO SAVEPOINT s", REFUSED, 1, TRANSACTION},
    {"SAVEPOINT s", REFUSED, 1, TRANSACTION},
    {"PREPARE TRANSACTION 'x'", REFUSED, 1, TRANSACTION},
    /* Reserved names. */
    {"SELECT swiftworks_status()", REFUSED, 8, "function swiftworks_status" RESERVED},
    {"SELECT (public.swiftworks_fence(9)).*", REFUSED, 9, "function swiftworks_fence" RESERVED},
    {"SELECT \"SwiftWorks_Promote\"(9)", REFUSED, 8, "function SwiftWorks_Promote" RESERVED},
    {"SELECT swiftworks_x.f()", REFUSED, 8, "function f" RESERVED},
    {"SELECT * FROM swiftworks_ledger", REFUSED, 15, "table swiftworks_ledger" RESERVED},
    {"DELETE FROM public.swiftworks_ledger", REFUSED, 13, "table swiftworks_ledger" RESERVED},
    {"WITH a AS (SELECT 1 FROM SWIFTWORKS_LEDGER) SELECT 1", REFUSED, 26,
     "table swiftworks_ledger" RESERVED},
    {"DROP TABLE a, swiftworks_ledger", REFUSED, 1, "swiftworks_ledger" RESERVED},
    {"DROP TABLE public.swiftworks_ledger", REFUSED, 1, "swiftworks_ledger" RESERVED},
    {"ALTER TABLE t RENAME TO swiftworks_t", REFUSED, 1, "swiftworks_t" RESERVED},
    {"ALTER TABLE swiftworks_ledger DROP COLUMN key", REFUSED, 13,
     "table swiftworks_ledger" RESERVED},
    {"TRUNCATE t, swiftworks_ledger", REFUSED, 13, "table swiftworks_ledger" RESERVED},
    {"COMMENT ON TABLE swiftworks_ledger IS 'x'", REFUSED, 1, "swiftworks_ledger" RESERVED},
    {"CREATE SCHEMA swiftworks_x", REFUSED, 1, "swiftworks_x" RESERVED},
    {"CREATE SCHEMA a CREATE TABLE swiftworks_t (a int)", REFUSED, 30,
     "table swiftworks_t" RESERVED},
    {"CREATE SCHEMA a CREATE TRIGGER g AFTER INSERT ON t EXECUTE FUNCTION f()", REFUSED, 1,
     "CREATE TRIGGER" CODE},
    /* Malformed. */
    {"", MALFORMED, 0, "the statement is empty"},
    {" ; -- nothing", MALFORMED, 0, "the statement is empty"},
    {"SELEC 1", MALFORMED, 1, "syntax error at or near \"SELEC\""},
    {"SELECT 'é' FRM a b c", MALFORMED, 16, "syntax error at or near \"a\""},
    {"SELECT 'open", MALFORMED, 8, "unterminated quoted string at or near \"'open\""},
    {"SELECT (1", MALFORMED, 10, "syntax error at end of input"},
    {"\\d t", MALFORMED, 1, "syntax error at or near \"\\\""},
};

static void check_class(const struct sql_class *found, enum expectation expected)
{
    g_assert_cmpint(found->access, ==, expected == READ ? ACCESS_MODE_READ : ACCESS_MODE_WRITE);
    g_assert_cmpint(found->assumed, ==, expected == ASSUMED);
}

static void check_case(const struct classify_case *statement, bool served,
                       const struct sql_class *found, GError *error)
{
    if (statement->text == NULL) {
        g_assert_no_error(error);
        g_assert_true(served);
        check_class(found, statement->expected);
        return;
    }
    g_assert_false(served);
    g_assert_nonnull(error);
    g_assert_cmpstr(error->message, ==, statement->text);
    g_assert_cmpint(error->code, ==,
                    statement->expected == REFUSED ? ERROR_KIND_STATEMENT_REFUSED
                                                   : ERROR_KIND_BAD_REQUEST);
    g_assert_cmpuint(found->error_position, ==, statement->position);
}

static void test_table(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].sql);
        struct sql_class found;
        GError *error = NULL;
        bool served = sql_classify(cases[i].sql, &found, &error);
        check_case(&cases[i], served, &found, error);
        g_clear_error(&error);
    }
}

/* All statements of the table twice through the cache: the first round fills it, the second is
 * served from it. */
static void test_cache_agrees(void)
{
    struct sql_cache *cache = sql_cache_new(65536, 1 << 20);
    for (size_t round = 0; round < 2; round++) {
        for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
            struct sql_class found;
            GError *error = NULL;
            bool served = sql_cache_classify(cache, cases[i].sql, &found, &error);
            check_case(&cases[i], served, &found, error);
            g_clear_error(&error);
        }
    }
    struct sql_cache_counts counts;
    sql_cache_count(cache, &counts);
    g_assert_cmpuint(counts.hits, ==, G_N_ELEMENTS(cases));
    g_assert_cmpuint(counts.misses, ==, G_N_ELEMENTS(cases));
    g_assert_cmpuint(counts.entries, ==, G_N_ELEMENTS(cases));
    g_assert_cmpuint(counts.evictions, ==, 0);
    sql_cache_free(cache);
}

static void test_cache_bounds(void)
{
    const size_t bytes_max = 16 * 100;
    struct sql_cache *cache = sql_cache_new(64, bytes_max);
    for (unsigned i = 0; i < 1000; i++) {
        g_autofree char *sql = g_strdup_printf("SELECT %u", i);
        struct sql_class found;
        g_assert_true(sql_cache_classify(cache, sql, &found, NULL));
    }
    g_autofree char *longer = g_strnfill(200, ' ');
    g_autofree char *sql = g_strconcat("SELECT 1", longer, NULL);
    struct sql_class found;
    g_assert_true(sql_cache_classify(cache, sql, &found, NULL));
    struct sql_cache_counts counts;
    sql_cache_count(cache, &counts);
    g_assert_cmpuint(counts.entries, <=, 64);
    g_assert_cmpuint(counts.bytes, <=, bytes_max);
    g_assert_cmpuint(counts.evictions, ==, 1000 - counts.entries);
    sql_cache_free(cache);
}

static void test_cache_keeps_recent(void)
{
    struct sql_cache *cache = sql_cache_new(16 * 4, 1 << 20);
    struct sql_class found;
    for (unsigned i = 0; i < 500; i++) {
        g_autofree char *sql = g_strdup_printf("SELECT %u", i);
        g_assert_true(sql_cache_classify(cache, sql, &found, NULL));
        g_assert_true(sql_cache_classify(cache, "SELECT 'often'", &found, NULL));
    }
    struct sql_cache_counts counts;
    sql_cache_count(cache, &counts);
    g_assert_cmpuint(counts.hits, ==, 499);
    sql_cache_free(cache);
}

#define CACHE_THREADS 4

static void *classify_all(void *data)
{
    struct sql_cache *cache = data;
    for (size_t round = 0; round < 5; round++) {
        for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
            struct sql_class found;
            GError *error = NULL;
            bool served = sql_cache_classify(cache, cases[i].sql, &found, &error);
            check_case(&cases[i], served, &found, error);
            g_clear_error(&error);
        }
    }
    return NULL;
}

static void test_cache_threads(void)
{
    struct sql_cache *cache = sql_cache_new(64, 4096);
    pthread_t threads[CACHE_THREADS];
    for (size_t i = 0; i < CACHE_THREADS; i++) {
        pthread_create(&threads[i], NULL, classify_all, cache);
    }
    for (size_t i = 0; i < CACHE_THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    sql_cache_free(cache);
}

static void test_declared_access(void)
{
    static const struct {
        enum access_mode found;
        bool assumed;
        enum access_mode declared;
        bool served;
        enum access_mode access;
    } table[] = {
        {ACCESS_MODE_READ, false, ACCESS_MODE_UNSPECIFIED, true, ACCESS_MODE_READ},
        {ACCESS_MODE_READ, false, ACCESS_MODE_READ, true, ACCESS_MODE_READ},
        {ACCESS_MODE_READ, false, ACCESS_MODE_WRITE, true, ACCESS_MODE_WRITE},
        {ACCESS_MODE_WRITE, false, ACCESS_MODE_UNSPECIFIED, true, ACCESS_MODE_WRITE},
        {ACCESS_MODE_WRITE, false, ACCESS_MODE_READ, false, ACCESS_MODE_WRITE},
        {ACCESS_MODE_WRITE, false, ACCESS_MODE_WRITE, true, ACCESS_MODE_WRITE},
        {ACCESS_MODE_WRITE, true, ACCESS_MODE_UNSPECIFIED, true, ACCESS_MODE_WRITE},
        {ACCESS_MODE_WRITE, true, ACCESS_MODE_READ, true, ACCESS_MODE_READ},
        {ACCESS_MODE_WRITE, true, ACCESS_MODE_WRITE, true, ACCESS_MODE_WRITE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        struct sql_class found = {.access = table[i].found, .assumed = table[i].assumed};
        enum access_mode access = ACCESS_MODE_UNSPECIFIED;
        GError *error = NULL;
        g_assert_cmpint(sql_access_resolve(&found, table[i].declared, &access, &error), ==,
                        table[i].served);
        if (table[i].served) {
            g_assert_cmpint(access, ==, table[i].access);
        } else {
            g_assert_cmpint(error->code, ==, ERROR_KIND_STATEMENT_REFUSED);
            g_assert_cmpstr(error->message, ==, "the statement writes but is declared a read");
        }
        g_clear_error(&error);
    }
}

/* Makes a statement of `head`, `count` times `part`, and `tail`. */
static char *repeat(const char *head, const char *part, size_t count, const char *tail)
{
    GString *text = g_string_new(head);
    for (size_t i = 0; i < count; i++) {
        g_string_append(text, part);
    }
    g_string_append(text, tail);
    return g_string_free(text, FALSE);
}

static void assert_too_large(char *sql, const char *text)
{
    struct sql_class found;
    GError *error = NULL;
    g_assert_false(sql_classify(sql, &found, &error));
    g_assert_cmpint(error->code, ==, ERROR_KIND_TOO_LARGE);
    g_assert_cmpstr(error->message, ==, text);
    g_clear_error(&error);
    g_free(sql);
}

static void assert_read(char *sql)
{
    struct sql_class found;
    GError *error = NULL;
    g_assert_true(sql_classify(sql, &found, &error));
    g_assert_cmpint(found.access, ==, ACCESS_MODE_READ);
    g_free(sql);
}

static void *classify_large(void *data)
{
    const char *deep = "the statement is nested too deeply";
    assert_too_large(repeat("SELECT ", "1+", 32700, "1"), deep);
    assert_too_large(repeat("SELECT 1", "::a", 21000, ""), deep);
    assert_too_large(repeat("SELECT ", "(", 60000, ""), deep);
    assert_too_large(repeat("SELECT ", "NOT ", 9000, "true"), deep);
    g_autofree char *closing = repeat("1", ")", 3200, "");
    assert_too_large(repeat("SELECT ", "(SELECT ", 3200, closing), deep);
    assert_too_large(repeat("SELECT ", "1,", 40000, "1"), "the statement is too long");
    assert_read(repeat("SELECT ", "1,", 32000, "1"));
    assert_read(repeat("SELECT ", "a||", 400, "b"));
    assert_read(repeat("SELECT 1", " UNION SELECT 2", 900, ""));
    return NULL;
}

static void test_large(void)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, SQL_CLASSIFY_STACK_BYTES);
    pthread_t thread;
    g_assert_cmpint(pthread_create(&thread, &attributes, classify_large, NULL), ==, 0);
    pthread_join(thread, NULL);
    pthread_attr_destroy(&attributes);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sql/table", test_table);
    g_test_add_func("/sql/declared-access", test_declared_access);
    g_test_add_func("/sql/large", test_large);
    g_test_add_func("/sql/cache/agrees", test_cache_agrees);
    g_test_add_func("/sql/cache/bounds", test_cache_bounds);
    g_test_add_func("/sql/cache/keeps-recent", test_cache_keeps_recent);
    g_test_add_func("/sql/cache/threads", test_cache_threads);
    int result = g_test_run();
    pg_query_exit();
    return result;
}
