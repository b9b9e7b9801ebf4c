/* A control thread's state for tests. See control_fixture.h. */
#include "control_fixture.h"

#include <arpa/inet.h>

struct control *
control_fixture_new(const struct pooler_settings *settings)
{
    struct control *control = g_new0(struct control, 1);
    control->settings = settings;
    control->address = g_strdup("10.0.0.1:8782");
    control->groups = g_hash_table_new(g_str_hash, g_str_equal);
    control->followers = g_ptr_array_new_with_free_func(g_free);
    control->fleet = fleet_new();
    directory_init(&control->directory);
    evacuations_init(&control->evacuations, settings->store.evacuate_ms * MS);
    control_feeds_start(control);
    return control;
}

static void
do_nothing(evutil_socket_t socket, short events, void *user)
{
}

void
control_fixture_use_store(struct control *control, struct event_base *base, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    control->base = base;
    control->store = store_new(base, &address);
    control->woken = event_new(base, -1, EV_PERSIST, do_nothing, NULL);
}

struct control *
control_fixture_pooler_new(struct pooler_settings *settings, struct event_base *base, uint16_t port,
                           unsigned index)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    settings->pooler.name = g_strdup_printf("pooler-%u", index);
    settings->pooler.zone = "z1";
    settings->pooler.link_mbps = 1000;
    settings->store.heartbeat_ms = 1200;
    settings->store.apply_ms = 3000;
    settings->store.reads_per_s = 2000;
    struct control *control = control_fixture_new(settings);
    g_free(control->address);
    control->address = g_strdup_printf("10.0.0.%u:8782", index + 1);
    control->incarnation = index + 1;
    control->follows_store = true;
    control_fixture_use_store(control, base, port);
    control->promotion = promotion_new(base, &address, settings->pooler.name);
    control->poolers = g_hash_table_new(g_str_hash, g_str_equal);
    control->poolers_by_peer = g_hash_table_new(g_direct_hash, g_direct_equal);
    control->responsive_addresses = g_hash_table_new(g_str_hash, g_str_equal);
    return control;
}

void
control_fixture_pooler_free(struct control *control)
{
    g_free((char *)control->settings->pooler.name);
    g_hash_table_unref(control->poolers);
    g_hash_table_unref(control->poolers_by_peer);
    g_hash_table_unref(control->responsive_addresses);
    g_clear_pointer(&control->controlled, g_hash_table_unref);
    g_free(control->coordinator_address);
    lease_record_clear(&control->lease.record);
    promotion_free(control->promotion);
    control_fixture_free(control);
}

void
control_fixture_free(struct control *control)
{
    g_clear_pointer(&control->store, store_free);
    g_clear_pointer(&control->woken, event_free);
    for (int table = 0; table < STORE_TABLE_COUNT; table++) {
        g_hash_table_unref(control->feeds[table].rows);
    }
    g_clear_pointer(&control->configuration, configuration_unref);
    g_clear_pointer(&control->mirrors.snapshot.compressed, g_bytes_unref);
    g_clear_pointer(&control->mirrors.known, g_ptr_array_unref);
    directory_clear(&control->directory);
    evacuations_clear(&control->evacuations);
    fleet_free(control->fleet);
    g_ptr_array_unref(control->followers);
    g_hash_table_unref(control->groups);
    g_free(control->address);
    g_free(control);
}

void
control_fixture_ignore_answer(void *user, const struct store_answer *answer)
{
}
