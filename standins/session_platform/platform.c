#include "standins/session_platform/platform.h"

#include <jansson.h>
#include <stdio.h>

#define SYNC_REPLICAS 1

bool
platform_promote(void *user, const char *service, const char *database)
{
    const struct platform *platform = user;
    for (unsigned i = 0; i < platform->count; i++) {
        if (g_str_equal(platform->services[i], service)) {
            printf("promoted %s of %s\n", database, service);
            fflush(stdout);
            return line_group_promote(platform->groups[i], database);
        }
    }
    return false;
}

bool
platform_start_groups(struct platform *platform, const char *configuration)
{
    json_t *root = json_loads(configuration, 0, NULL);
    json_t *services = json_object_get(root, "services");
    size_t index = 0;
    json_t *service = NULL;
    json_array_foreach(services, index, service)
    {
        const char *name = json_string_value(json_object_get(service, "name"));
        if (name != NULL && platform->count < SERVICES_MAX) {
            for (unsigned i = 0; i < DATABASES_PER_SERVICE; i++) {
                platform->slots[platform->count][i] = LINE_GROUP_SLOTS;
            }
            platform->services[platform->count] = g_strdup(name);
            platform->groups[platform->count++] =
                line_group_start(name, DATABASES_PER_SERVICE, SYNC_REPLICAS);
        }
    }
    json_decref(root);
    return platform->count > 0;
}

static void
put_record(struct platform *platform, unsigned service, unsigned database)
{
    struct line_group *group = platform->groups[service];
    const struct line_faults *faults = &platform->faults[service][database];
    bool announced = platform->announce_host != NULL;
    const char *host = announced ? platform->announce_host : "127.0.0.1";
    unsigned port = announced ? platform->announce_port + service * DATABASES_PER_SERVICE + database
                              : line_group_port(group, database);
    g_autofree char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z%u\",\"version\":\"v1\","
        "\"slots\":%u,\"state\":\"%s\",\"coldRemainingMs\":0,\"dbRole\":\"%s\",\"sequence\":%u}",
        platform->services[service], host, port, database, platform->slots[service][database],
        faults->draining ? "draining" : "ready",
        line_group_leads(group, database) ? "primary" : "replica", ++platform->sequence);
    if (!faults->down && !faults->unrecorded) {
        row_store_put(platform->store, "servers", line_group_id(group, database), text);
    }
}

void
platform_put_records(struct platform *platform)
{
    for (unsigned i = 0; i < platform->count; i++) {
        for (unsigned database = 0; database < DATABASES_PER_SERVICE; database++) {
            put_record(platform, i, database);
        }
    }
}

long long
platform_configure(struct platform *platform, const char *text)
{
    json_t *root = json_loads(text, 0, NULL);
    if (root == NULL) {
        return -1;
    }
    long long version = json_integer_value(json_object_get(root, "version"));
    json_decref(root);
    row_store_put(platform->store, "op", "config", text);
    return version;
}

void
platform_set_faults(struct platform *platform, unsigned service, unsigned database,
                    const struct line_faults *faults)
{
    platform->faults[service][database] = *faults;
    line_group_set_faults(platform->groups[service], database, faults);
    if (faults->gone) {
        const char *id = line_group_id(platform->groups[service], database);
        row_store_put(platform->store, "servers", id, NULL);
    }
}

void
platform_set_slots(struct platform *platform, unsigned service, unsigned database, unsigned slots,
                   unsigned time_factor)
{
    platform->slots[service][database] = slots;
    line_group_set_slots(platform->groups[service], database, slots, time_factor);
}

void
platform_stop(struct platform *platform)
{
    row_store_stop(platform->store);
    for (unsigned i = 0; i < platform->count; i++) {
        line_group_stop(platform->groups[i]);
        g_free(platform->services[i]);
    }
}
