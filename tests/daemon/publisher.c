/* The stand-in platform and its publisher; see the header. */
#include "publisher.h"

#include <string.h>

#include "configuration/canonical.h"
#include "configuration/problem.h"
#include "configuration/publish.h"
#include "platform_fixture.h"

struct publisher {
    struct platform_fixture platform;
    struct version_store *store;
};

struct publisher *publisher_start(void)
{
    struct publisher *publisher = g_new0(struct publisher, 1);
    platform_fixture_start_plain(&publisher->platform);
    publisher->store = version_store_new(&publisher->platform.settings);
    return publisher;
}

void publisher_stop(struct publisher *publisher)
{
    version_store_free(publisher->store);
    platform_fixture_stop(&publisher->platform);
    g_free(publisher);
}

const char *publisher_url(const struct publisher *publisher)
{
    return publisher->platform.url;
}

static struct configuration *parse(const char *bundle)
{
    struct configuration *configuration = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    bool parsed = configuration_parse(bundle, strlen(bundle), "test", &configuration, problems);
    g_assert_true(parsed);
    return configuration;
}

bool publisher_publish(struct publisher *publisher, const char *bundle, uint64_t base,
                       GError **error)
{
    struct configuration *configuration = parse(bundle);
    struct publish_outcome outcome;
    g_autofree char *request_id = g_uuid_string_random();
    struct publish_order order = {
        .configuration = configuration,
        .request_id = request_id,
        .author = "amina",
        .message = "test",
        .has_base = true,
        .base = base,
        .timeout_ms = FIXTURE_CALL_TIMEOUT_MS,
        .backoff = {.base_ms = 1, .maximum_ms = 4},
    };
    bool published = publish_configuration(publisher->store, &order, &outcome, error);
    if (published) {
        g_assert_cmpuint(outcome.version, ==, base + 1);
    }
    publish_outcome_clear(&outcome);
    configuration_unref(configuration);
    return published;
}

char *publisher_hash(const char *bundle)
{
    struct configuration *configuration = parse(bundle);
    char *hash = g_strdup(configuration_hash(configuration));
    configuration_unref(configuration);
    return hash;
}

GBytes *publisher_canonical(const char *bundle)
{
    struct configuration *configuration = parse(bundle);
    GBytes *canonical = g_bytes_ref(configuration_canonical(configuration));
    configuration_unref(configuration);
    return canonical;
}

void publisher_force(struct publisher *publisher, const char *content, uint64_t version)
{
    g_autoptr(GBytes) bytes = g_bytes_new(content, strlen(content));
    g_autofree char *hash = canonical_hash(bytes);
    struct version_row row = {
        .version = version,
        .hash = hash,
        .request_id = hash,
        .author = (char *)"amina",
        .message = (char *)"test",
    };
    enum platform_result put = version_store_put_bundle(publisher->store, hash, bytes, NULL);
    enum platform_result moved = version_store_move_head(publisher->store, &row, NULL);
    g_assert_cmpint(put, ==, PLATFORM_RESULT_OK);
    g_assert_cmpint(moved, ==, PLATFORM_RESULT_OK);
}

void publisher_set_down(struct publisher *publisher, bool down)
{
    if (down) {
        platform_fixture_fault(&publisher->platform, PLATFORM_FAULT_DOWN, PLATFORM_SERVICE_BOTH, 0,
                               0);
    } else {
        platform_standin_heal(publisher->platform.standin);
    }
}

void publisher_set_slow(struct publisher *publisher, uint32_t delay_ms)
{
    const struct platform_fault fault = {
        .kind = PLATFORM_FAULT_SLOW, .service = PLATFORM_SERVICE_BOTH, .delay_ms = delay_ms};
    platform_standin_add_fault(publisher->platform.standin, &fault);
}

uint64_t publisher_object_requests(struct publisher *publisher)
{
    return platform_standin_counts(publisher->platform.standin).object_requests;
}
