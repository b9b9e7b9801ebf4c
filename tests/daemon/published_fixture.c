/* A deployment with a published configuration; see the header. */
#include "published_fixture.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "daemon/control.h"
#include "daemon/journal.h"
#include "frontend/admin.h"
#include "wire/listener.h"

struct published_cluster *published_start(uint32_t bound_ms)
{
    struct published_cluster *test = g_new0(struct published_cluster, 1);
    test->publisher = publisher_start();
    test->cluster = cluster_start_databases(NULL);
    test->bound_ms = bound_ms;
    g_autofree char *path = g_build_filename(test->cluster->directory, "configuration.json", NULL);
    bool read = g_file_get_contents(path, &test->bundle, NULL, NULL);
    g_assert_true(read);
    return test;
}

void published_stop(struct published_cluster *test)
{
    cluster_stop(test->cluster);
    publisher_stop(test->publisher);
    g_clear_pointer(&test->overrides, g_ptr_array_unref);
    g_free(test->bundle);
    g_free(test);
}

/* A URL without a listener: of a port that was free just before. */
static char *unused_url(void)
{
    struct wire_listener *listener = wire_listener_open("127.0.0.1:0", NULL);
    char *url = g_strdup_printf("http://%s", listener->address);
    wire_listener_close(listener);
    return url;
}

/* The cluster borrows the settings, which tests may change between two starts of daemons. */
static void set_overrides(struct published_cluster *test)
{
    g_autofree char *unused = unused_url();
    const char *url = test->store_unreachable ? unused : publisher_url(test->publisher);
    g_clear_pointer(&test->overrides, g_ptr_array_unref);
    test->overrides = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(test->overrides, g_strdup("configuration.file="));
    g_ptr_array_add(test->overrides, g_strdup_printf("platform.table_endpoint=%s", url));
    g_ptr_array_add(test->overrides,
                    g_strdup_printf("configuration.currency_bound_ms=%u", test->bound_ms));
    if (test->handover_max_ms > 0) {
        g_ptr_array_add(test->overrides,
                        g_strdup_printf("ownership.handover_max_ms=%u", test->handover_max_ms));
    }
    g_ptr_array_add(test->overrides, NULL);
    test->cluster->options.overrides = (const char *const *)test->overrides->pdata;
}

void published_start_daemons(struct published_cluster *test, unsigned count)
{
    set_overrides(test);
    for (unsigned i = 0; i < count; i++) {
        if (test->cluster->daemons[i] == NULL) {
            cluster_start_daemon(test->cluster, i);
        }
    }
}

char *published_edit(const struct published_cluster *test, const char *from, const char *to)
{
    g_auto(GStrv) parts = g_strsplit(test->bundle, from, -1);
    g_assert_cmpuint(g_strv_length(parts), >, 1);
    return g_strjoinv(to, parts);
}

char *published_with_tenant(const struct published_cluster *test, const char *tenant)
{
    g_autofree char *to =
        g_strdup_printf("\"tenants\": {\"%s\": {\"template\": \"open\"}, ", tenant);
    return published_edit(test, "\"tenants\": {", to);
}

char *published_publish(struct published_cluster *test, const char *bundle, uint64_t version)
{
    g_autoptr(GError) error = NULL;
    bool published = publisher_publish(test->publisher, bundle, version - 1, &error);
    g_assert_no_error(error);
    g_assert_true(published);
    return publisher_hash(bundle);
}

struct configuration_status published_status(const struct published_cluster *test, unsigned daemon)
{
    struct configuration_status status;
    control_configuration_status(test->cluster->daemons[daemon]->control, &status);
    return status;
}

char *published_hash(const struct published_cluster *test, unsigned daemon)
{
    struct configuration *configuration = daemon_take_configuration(test->cluster->daemons[daemon]);
    char *hash = configuration != NULL ? g_strdup(configuration_hash(configuration)) : NULL;
    configuration_unref(configuration);
    return hash;
}

bool published_all_serve(const struct published_cluster *test, uint64_t version)
{
    bool all = true;
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (test->cluster->daemons[i] != NULL) {
            struct configuration_status status = published_status(test, i);
            all = all && status.serving && status.version == version;
        }
    }
    return all;
}

/* True once a write at a daemon succeeds, which means that it knows owners and primary. */
static bool write_succeeds(struct published_cluster *test, unsigned daemon)
{
    static unsigned last_key;
    struct http_answer answer;
    g_autofree char *key = g_strdup_printf("make-stays-%u", ++last_key);
    cluster_call(test->cluster, daemon, &answer,
                 (struct http_call){
                     .sql = "CREATE TABLE IF NOT EXISTS stays (id text PRIMARY KEY, guest text)",
                     .key = key});
    bool done = g_strcmp0(answer.outcome, "done") == 0;
    http_answer_clear(&answer);
    return done;
}

void published_await(struct published_cluster *test, uint64_t version)
{
    AWAIT(published_all_serve(test, version));
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (test->cluster->daemons[i] != NULL) {
            AWAIT(write_succeeds(test, i));
        }
    }
}

void published_check_read(struct published_cluster *test, unsigned daemon, const char *tenant,
                          const char *error_kind)
{
    struct http_answer answer;
    cluster_call(test->cluster, daemon, &answer,
                 (struct http_call){.tenant = tenant, .sql = "SELECT id FROM stays"});
    if (error_kind == NULL) {
        http_assert_done(&answer);
    } else {
        http_assert_error(&answer, "refused", error_kind);
    }
    http_answer_clear(&answer);
}

static size_t append_bytes(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

static char *admin_url(const struct published_cluster *test, unsigned daemon)
{
    return g_strdup_printf("http://127.0.0.1:%u",
                           admin_port(test->cluster->daemons[daemon]->admin));
}

/* Sends a POST if there is a body, otherwise a GET. */
static char *admin_call(const struct published_cluster *test, unsigned daemon, const char *path,
                        GBytes *sent, long *status)
{
    g_autofree char *base = admin_url(test, daemon);
    g_autofree char *url = g_strconcat(base, path, NULL);
    GString *body = g_string_new(NULL);
    CURL *curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, url);
    if (sent != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)g_bytes_get_size(sent));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, g_bytes_get_data(sent, NULL));
    }
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_bytes);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
    CURLcode code = curl_easy_perform(curl);
    g_assert_cmpint(code, ==, CURLE_OK);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
    curl_easy_cleanup(curl);
    return g_string_free(body, FALSE);
}

char *published_admin_get(const struct published_cluster *test, unsigned daemon, const char *path,
                          long *status)
{
    return admin_call(test, daemon, path, NULL, status);
}

char *published_admin_post(const struct published_cluster *test, unsigned daemon, const char *path,
                           GBytes *body, long *status)
{
    return admin_call(test, daemon, path, body, status);
}

static void add_daemon(const struct published_cluster *test, unsigned daemon, GPtrArray *words)
{
    g_ptr_array_add(words, g_strdup("--admin"));
    g_ptr_array_add(words, admin_url(test, daemon));
}

enum exit_code published_by_ctl(const struct published_cluster *test, const char *bundle,
                                uint64_t base, int daemon, GString *output)
{
    g_autofree char *file = g_build_filename(test->cluster->directory, "publish.json", NULL);
    g_autoptr(GPtrArray) words = g_ptr_array_new_with_free_func(g_free);
    bool written = g_file_set_contents(file, bundle, -1, NULL);
    g_assert_true(written);
    g_ptr_array_add(words, g_strdup("publish"));
    g_ptr_array_add(words, g_strdup(file));
    g_ptr_array_add(words, g_strdup_printf("--base=%" G_GUINT64_FORMAT, base));
    g_ptr_array_add(words, g_strdup("--message=test"));
    g_ptr_array_add(words, g_strdup_printf("--table-url=%s", publisher_url(test->publisher)));
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (test->cluster->daemons[i] != NULL && (daemon < 0 || i == (unsigned)daemon)) {
            add_daemon(test, i, words);
        }
    }
    g_ptr_array_add(words, NULL);
    return ctl_run((const char *const *)words->pdata, output, output);
}

unsigned published_count_events(const struct published_cluster *test, unsigned daemon,
                                const char *kind, const char *text)
{
    g_autoptr(GArray) entries = journal_since(test->cluster->daemons[daemon]->journal, 0);
    unsigned count = 0;
    for (guint i = 0; i < entries->len; i++) {
        const struct journal_entry *entry = &g_array_index(entries, struct journal_entry, i);
        if (strcmp(entry->kind, kind) == 0 && strstr(entry->text, text) != NULL) {
            count++;
        }
    }
    return count;
}

/* Fails the test if the versions that a daemon applied are not ascending. */
static void check_ascending(const struct published_cluster *test, unsigned daemon)
{
    g_autoptr(GArray) entries = journal_since(test->cluster->daemons[daemon]->journal, 0);
    uint64_t last = 0;
    for (guint i = 0; i < entries->len; i++) {
        const struct journal_entry *entry = &g_array_index(entries, struct journal_entry, i);
        uint64_t version = 0;
        if (strcmp(entry->kind, "configuration_applied") == 0) {
            int read = sscanf(entry->text, "version=%" G_GUINT64_FORMAT, &version);
            g_assert_cmpint(read, ==, 1);
            g_assert_cmpuint(version, >, last);
            last = version;
        }
    }
    g_assert_cmpuint(last, >, 0);
}

void published_check_all_have(const struct published_cluster *test, const char *hash)
{
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (test->cluster->daemons[i] != NULL) {
            g_autofree char *own = published_hash(test, i);
            g_assert_cmpstr(own, ==, hash);
            check_ascending(test, i);
        }
    }
}
