/* The session stand-ins as a program, for trying the pooler by hand: the platform's store with an
 * operator's configuration out of a file, and three databases for each of its services. The file is
 * read again when it changes. SIGUSR1 takes the first service's primary down for a while.
 *
 * Prints "store 127.0.0.1:PORT" once the store listens; promotions are taken at the same address.
 */
#include "standins/session_platform/line_group.h"
#include "standins/session_platform/row_store.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>

#define DATABASES_EACH 3
#define SERVICES_MAX   8
#define SYNC_REPLICAS  1
#define LOOK_US        200000 /* time between two looks at the file, the roles and the signals */
#define DOWN_LOOKS     30     /* a primary that was taken down stays so for 6 s */

struct platform {
    struct row_store *store;
    struct line_group *groups[SERVICES_MAX];
    char *services[SERVICES_MAX];
    unsigned count;
    unsigned sequence; /* of the databases' records */
    char *configuration;
    unsigned down;       /* the first group's database that is down */
    unsigned looks_left; /* until it is back; 0: none is down */
};

static volatile sig_atomic_t take_down;
static volatile sig_atomic_t stopping;

static void
on_signal(int number)
{
    if (number == SIGUSR1) {
        take_down = 1;
    } else {
        stopping = 1;
    }
}

static bool
on_promote(void *user, const char *service, const char *database)
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

/* The services of the configuration, each with databases of its own. */
static bool
start_groups(struct platform *platform, const char *text)
{
    json_t *root = json_loads(text, 0, NULL);
    json_t *services = json_object_get(root, "services");
    size_t index = 0;
    json_t *service = NULL;
    json_array_foreach(services, index, service)
    {
        const char *name = json_string_value(json_object_get(service, "name"));
        if (name != NULL && platform->count < SERVICES_MAX) {
            platform->services[platform->count] = g_strdup(name);
            platform->groups[platform->count++] =
                line_group_start(name, DATABASES_EACH, SYNC_REPLICAS);
        }
    }
    json_decref(root);
    return platform->count > 0;
}

static void
put_record(struct platform *platform, unsigned service, unsigned database)
{
    struct line_group *group = platform->groups[service];
    bool down = platform->looks_left > 0 && service == 0 && database == platform->down;
    g_autofree char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z%u\",\"version\":\"v1\","
        "\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"dbRole\":\"%s\",\"sequence\":%u}",
        platform->services[service], line_group_port(group, database), database,
        line_group_leads(group, database) ? "primary" : "replica", ++platform->sequence);
    if (!down) {
        row_store_put(platform->store, "servers", line_group_id(group, database), text);
    }
}

static void
put_records(struct platform *platform)
{
    for (unsigned i = 0; i < platform->count; i++) {
        for (unsigned database = 0; database < DATABASES_EACH; database++) {
            put_record(platform, i, database);
        }
    }
}

/* The operator's file, if it has changed and is whole. */
static void
put_configuration(struct platform *platform, const char *path)
{
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL) ||
        g_strcmp0(text, platform->configuration) == 0) {
        return;
    }
    json_t *root = json_loads(text, 0, NULL);
    if (root != NULL) {
        row_store_put(platform->store, "op", "config", text);
        g_free(platform->configuration);
        platform->configuration = g_steal_pointer(&text);
        printf("configuration %" JSON_INTEGER_FORMAT "\n",
               json_integer_value(json_object_get(root, "version")));
        fflush(stdout);
    }
    json_decref(root);
}

static void
change_faults(struct platform *platform)
{
    struct line_faults down = {.down = true};
    struct line_faults none = {0};
    if (platform->looks_left > 0 && --platform->looks_left == 0) {
        line_group_set_faults(platform->groups[0], platform->down, &none);
        printf("up %s\n", line_group_id(platform->groups[0], platform->down));
    }
    for (unsigned i = 0; take_down && platform->looks_left == 0 && i < DATABASES_EACH; i++) {
        if (line_group_leads(platform->groups[0], i)) {
            platform->down = i;
            platform->looks_left = DOWN_LOOKS;
            take_down = 0;
            line_group_set_faults(platform->groups[0], i, &down);
            printf("down %s\n", line_group_id(platform->groups[0], i));
        }
    }
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    struct platform platform = {0};
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    if (argc != 2 || !g_file_get_contents(argv[1], &text, NULL, &error)) {
        fprintf(stderr, "usage: swiftworks-session-standin CONFIGURATION%s%s\n",
                error == NULL ? "" : ": ", error == NULL ? "" : error->message);
        return 2;
    }
    signal(SIGUSR1, on_signal);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    platform.store = row_store_start(on_promote, &platform);
    if (!start_groups(&platform, text)) {
        fprintf(stderr, "%s names no services\n", argv[1]);
        return 2;
    }
    put_records(&platform);
    printf("store 127.0.0.1:%u\n", row_store_port(platform.store));
    while (!stopping) {
        put_configuration(&platform, argv[1]);
        change_faults(&platform);
        put_records(&platform);
        g_usleep(LOOK_US);
    }
    row_store_stop(platform.store);
    for (unsigned i = 0; i < platform.count; i++) {
        line_group_stop(platform.groups[i]);
        g_free(platform.services[i]);
    }
    g_free(platform.configuration);
    return 0;
}
