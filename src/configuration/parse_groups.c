/* Parsing of zones, groups and their databases. */
#include "configuration/bundle_parser.h"

#include <gio/gio.h>

#include "core/membership.h"

/* Gossip messages between daemons carry only zone ids below MEMBERSHIP_ZONES_MAX. */
#define ZONE_ID_MAX              (MEMBERSHIP_ZONES_MAX - 1)
#define GROUP_ID_MAX             1000000
#define DATABASE_SLOTS_MAX       1000
#define DATABASE_CONNECTIONS_MAX 100000
#define TCP_PORT_MAX             65535

/* Adds the fault of an id that the entry named `owner` uses already. */
static void fault_id_taken(struct bundle_parser *parser, const struct bundle_path *path,
                           JsonObject *object, const char *owner)
{
    struct bundle_path id_path = {path, "id"};
    g_autofree char *fault = g_strdup_printf("is taken by \"%s\"", owner);

    bundle_reader_fault(&parser->reader, &id_path, json_object_get_member(object, "id"), fault,
                        "an id used once");
}

/* The zone with this id, or NULL. Zones whose id could not be read have id 0. */
static const struct zone_configuration *find_zone_by_id(struct configuration *configuration,
                                                        uint32_t id)
{
    for (guint i = 0; i < configuration->zones->len; i++) {
        const struct zone_configuration *zone = g_ptr_array_index(configuration->zones, i);
        if (zone->id == id) {
            return zone;
        }
    }
    return NULL;
}

static void parse_zone(struct bundle_parser *parser, const struct bundle_path *path,
                       const char *name, JsonNode *node)
{
    static const char *const members[] = {"description", "id", NULL};
    struct zone_configuration *zone = g_new0(struct zone_configuration, 1);
    int64_t id = 0;

    zone->name = g_strdup(name);
    g_hash_table_insert(parser->configuration->zones_by_name, zone->name, zone);
    g_ptr_array_add(parser->configuration->zones, zone);
    JsonObject *object = bundle_reader_object(&parser->reader, path, node);
    if (object == NULL) {
        return;
    }
    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    g_free(bundle_parse_description(parser, path, object));
    bool has_id =
        bundle_reader_member_integer(&parser->reader, path, object, "id", 1, ZONE_ID_MAX, &id);
    const struct zone_configuration *taken =
        has_id ? find_zone_by_id(parser->configuration, (uint32_t)id) : NULL;
    if (taken != NULL) {
        fault_id_taken(parser, path, object, taken->name);
        return;
    }
    zone->id = (uint32_t)id;
}

void bundle_parse_zones(struct bundle_parser *parser, const struct bundle_path *root,
                        JsonObject *bundle)
{
    struct bundle_path section_path = {root, "zones"};
    JsonObject *section =
        bundle_parse_section(parser, root, bundle, "zones", CONFIGURATION_ZONES_MAX);
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *node = NULL;

    if (section == NULL) {
        return;
    }
    parser->zones_known = true;
    json_object_iter_init_ordered(&iterator, section);
    while (json_object_iter_next_ordered(&iterator, &name, &node)) {
        struct bundle_path path = {&section_path, name};
        bundle_reader_check_name(&parser->reader, &path, name);
        parse_zone(parser, &path, name, node);
    }
}

static char *zone_names_allowed(const struct configuration *configuration)
{
    g_autoptr(GPtrArray) names = g_ptr_array_new();

    for (guint i = 0; i < configuration->zones->len; i++) {
        struct zone_configuration *zone = g_ptr_array_index(configuration->zones, i);
        g_ptr_array_add(names, zone->name);
    }
    return bundle_names_allowed(names);
}

static uint32_t parse_database_zone(struct bundle_parser *parser, const struct bundle_path *path,
                                    JsonObject *object)
{
    struct bundle_path zone_path = {path, "zone"};
    const char *name = bundle_reader_peek_string(object, "zone");
    const struct zone_configuration *zone =
        name != NULL ? configuration_find_zone_by_name(parser->configuration, name) : NULL;

    if (zone != NULL) {
        return zone->id;
    }
    g_autofree char *allowed = zone_names_allowed(parser->configuration);
    name = bundle_reader_member_string(&parser->reader, path, object, "zone", allowed);
    if (name != NULL && parser->zones_known) {
        bundle_reader_fault(&parser->reader, &zone_path, json_object_get_member(object, "zone"),
                            "is not a zone", allowed);
    }
    return 0;
}

static char *parse_database_name(struct bundle_parser *parser, const struct bundle_path *path,
                                 JsonObject *object)
{
    struct bundle_path name_path = {path, "name"};
    const char *name =
        bundle_reader_member_string(&parser->reader, path, object, "name", BUNDLE_NAME_ALLOWED);

    if (name == NULL || !bundle_reader_check_name(&parser->reader, &name_path, name)) {
        return NULL;
    }
    if (!g_hash_table_add(parser->database_names, g_strdup(name))) {
        bundle_reader_fault(&parser->reader, &name_path, json_object_get_member(object, "name"),
                            "is taken by another database", "a name used once in the bundle");
    }
    return g_strdup(name);
}

static char *parse_database_host(struct bundle_parser *parser, const struct bundle_path *path,
                                 JsonObject *object)
{
    struct bundle_path host_path = {path, "host"};
    const char *host = bundle_reader_member_string(&parser->reader, path, object, "host",
                                                   "an IPv4 or IPv6 address");

    if (host == NULL) {
        return NULL;
    }
    if (!g_hostname_is_ip_address(host)) {
        bundle_reader_fault(&parser->reader, &host_path, json_object_get_member(object, "host"),
                            "is not an IP address", "an IPv4 or IPv6 address");
        return NULL;
    }
    return g_strdup(host);
}

/* Rejects a second entry for one address: the two would exceed the server's slots and connections,
 * which are budgeted per entry. */
static void check_address(struct bundle_parser *parser, const struct bundle_path *path,
                          JsonObject *object, const struct database_configuration *database)
{
    struct bundle_path port_path = {path, "port"};

    if (database->host == NULL || database->port == 0) {
        return;
    }
    char *address = g_strdup_printf("%s:%u", database->host, database->port);
    if (!g_hash_table_add(parser->database_addresses, address)) {
        bundle_reader_fault(&parser->reader, &port_path, json_object_get_member(object, "port"),
                            "is taken by another database on this host",
                            "an address used once in the bundle");
    }
}

/* At most `slots` statements run at the same time, each on a connection of its own. There must be
 * more connections than that, so that some are left for the daemons' control connections. */
static void check_connections(struct bundle_parser *parser, const struct bundle_path *path,
                              JsonObject *object, const struct database_configuration *database)
{
    struct bundle_path connections_path = {path, "connections"};

    if (database->slots == 0 || database->connections == 0 ||
        database->connections > database->slots) {
        return;
    }
    g_autofree char *allowed = g_strdup_printf("more than its slots (%u)", database->slots);
    bundle_reader_fault(&parser->reader, &connections_path,
                        json_object_get_member(object, "connections"),
                        "leaves no connections for control", allowed);
}

static uint32_t parse_count(struct bundle_parser *parser, const struct bundle_path *path,
                            JsonObject *object, const char *name, int64_t maximum)
{
    int64_t value = 0;

    bundle_reader_member_integer(&parser->reader, path, object, name, 1, maximum, &value);
    return (uint32_t)value;
}

static void parse_database(struct bundle_parser *parser, const struct bundle_path *path,
                           JsonNode *node, struct database_configuration *database)
{
    static const char *const members[] = {"name",  "zone",        "host", "port",
                                          "slots", "connections", NULL};
    JsonObject *object = bundle_reader_object(&parser->reader, path, node);

    if (object == NULL) {
        return;
    }
    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    database->name = parse_database_name(parser, path, object);
    database->zone = parse_database_zone(parser, path, object);
    database->host = parse_database_host(parser, path, object);
    database->port = (uint16_t)parse_count(parser, path, object, "port", TCP_PORT_MAX);
    database->slots = parse_count(parser, path, object, "slots", DATABASE_SLOTS_MAX);
    database->connections =
        parse_count(parser, path, object, "connections", DATABASE_CONNECTIONS_MAX);
    check_address(parser, path, object, database);
    check_connections(parser, path, object, database);
}

static void parse_databases(struct bundle_parser *parser, const struct bundle_path *path,
                            JsonObject *object, struct group_configuration *group)
{
    struct bundle_path databases_path = {path, "databases"};
    g_autofree char *allowed = g_strdup_printf("an array of 1 to %d", GROUP_DATABASES_MAX);
    JsonNode *node = bundle_reader_member(&parser->reader, path, object, "databases", allowed);
    JsonArray *array = node != NULL ? bundle_reader_array(&parser->reader, &databases_path, node, 1,
                                                          GROUP_DATABASES_MAX)
                                    : NULL;

    if (array == NULL) {
        return;
    }
    group->database_count = json_array_get_length(array);
    for (uint32_t i = 0; i < group->database_count; i++) {
        g_autofree char *index = g_strdup_printf("%u", i);
        struct bundle_path database_path = {&databases_path, index};
        parse_database(parser, &database_path, json_array_get_element(array, i),
                       &group->databases[i]);
    }
}

/* Lists the distinct zones of a group's databases in ascending order. */
static void collect_zones(struct group_configuration *group)
{
    for (uint32_t i = 0; i < group->database_count; i++) {
        uint32_t zone = group->databases[i].zone;
        uint32_t index = 0;
        while (index < group->zone_count && group->zones[index] < zone) {
            index++;
        }
        if (index < group->zone_count && group->zones[index] == zone) {
            continue;
        }
        for (uint32_t j = group->zone_count; j > index; j--) {
            group->zones[j] = group->zones[j - 1];
        }
        group->zones[index] = zone;
        group->zone_count++;
    }
}

static void parse_group_id(struct bundle_parser *parser, const struct bundle_path *path,
                           JsonObject *object, struct group_configuration *group)
{
    int64_t id = 0;

    if (!bundle_reader_member_integer(&parser->reader, path, object, "id", 1, GROUP_ID_MAX, &id)) {
        return;
    }
    group->id = (uint32_t)id;
    const struct group_configuration *taken =
        configuration_find_group(parser->configuration, group->id);
    if (taken != NULL) {
        fault_id_taken(parser, path, object, taken->name);
        return;
    }
    g_hash_table_insert(parser->configuration->groups_by_id, GUINT_TO_POINTER(group->id), group);
}

static void parse_group(struct bundle_parser *parser, const struct bundle_path *path,
                        const char *name, JsonNode *node)
{
    static const char *const members[] = {"description", "id", "databases", NULL};
    struct group_configuration *group = g_new0(struct group_configuration, 1);

    group->name = g_strdup(name);
    g_ptr_array_add(parser->configuration->groups, group);
    g_hash_table_insert(parser->configuration->groups_by_name, group->name, group);
    JsonObject *object = bundle_reader_object(&parser->reader, path, node);
    if (object == NULL) {
        return;
    }
    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    g_free(bundle_parse_description(parser, path, object));
    parse_group_id(parser, path, object, group);
    parse_databases(parser, path, object, group);
    collect_zones(group);
}

void bundle_parse_groups(struct bundle_parser *parser, const struct bundle_path *root,
                         JsonObject *bundle)
{
    struct bundle_path section_path = {root, "groups"};
    JsonObject *section =
        bundle_parse_section(parser, root, bundle, "groups", CONFIGURATION_GROUPS_MAX);
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *node = NULL;

    if (section == NULL) {
        return;
    }
    parser->groups_known = true;
    json_object_iter_init_ordered(&iterator, section);
    while (json_object_iter_next_ordered(&iterator, &name, &node)) {
        struct bundle_path path = {&section_path, name};
        bundle_reader_check_name(&parser->reader, &path, name);
        parse_group(parser, &path, name, node);
    }
}
