/* Parsing of a bundle, the JSON document that holds one version of the configuration. Shared by the
 * files that parse its sections; private to src/configuration. */
#ifndef SW_CONFIGURATION_BUNDLE_PARSER_H
#define SW_CONFIGURATION_BUNDLE_PARSER_H

#include "configuration/bundle_reader.h"
#include "configuration/configuration.h"
#include "configuration/template.h"

/* State of one parse. Used by one thread. */
struct bundle_parser {
    struct bundle_reader reader;
    struct configuration *configuration; /* under construction; freed if a fault is found */
    bool zones_known;     /* "zones" is an object, so that references to zones can be checked */
    bool groups_known;    /* as above, of "groups" */
    bool templates_known; /* as above, of "templates" */
    GHashTable *database_names;     /* set of the names read so far, to find duplicates */
    GHashTable *database_addresses; /* set of "host:port", to find duplicates */
};

/* Reads one value and checks its type and bounds. A group's name becomes its id, a boolean 0 or 1.
 * On a fault, adds it to the problems and returns false. */
bool bundle_parse_value(struct bundle_parser *parser, const struct bundle_path *path,
                        JsonNode *node, const struct value_bounds *bounds, int64_t *value);

/* The text of the allowed values for a problem: "integer 1 to 5", "true or false", or a list of
 * group names. The caller frees it. */
char *bundle_value_allowed(const struct bundle_parser *parser, const struct value_bounds *bounds);

/* Reads "zones" into the configuration. */
void bundle_parse_zones(struct bundle_parser *parser, const struct bundle_path *root,
                        JsonObject *bundle);

/* Reads "groups" into the configuration. "zones" must have been read. */
void bundle_parse_groups(struct bundle_parser *parser, const struct bundle_path *root,
                         JsonObject *bundle);

/* Reads "templates" into the configuration. "groups" must have been read. */
void bundle_parse_templates(struct bundle_parser *parser, const struct bundle_path *root,
                            JsonObject *bundle);

/* Reads "tenants" into the configuration and derives their routes. "templates" must have been
 * read. */
void bundle_parse_tenants(struct bundle_parser *parser, const struct bundle_path *root,
                          JsonObject *bundle);

/* As above, for the tenants that are the members of `section`: a part of "tenants". */
void bundle_parse_tenant_members(struct bundle_parser *parser, const struct bundle_path *root,
                                 JsonObject *section);

/* The object under `name`, with at most `maximum` members; NULL after a fault. */
JsonObject *bundle_parse_section(struct bundle_parser *parser, const struct bundle_path *root,
                                 JsonObject *bundle, const char *name, guint maximum);

/* Reads the optional "description" of an object. The caller frees it; NULL if there is none. */
char *bundle_parse_description(struct bundle_parser *parser, const struct bundle_path *path,
                               JsonObject *object);

#endif
