/* The steps of parsing a bundle, shared by the files that read its sections. Private to
 * src/configuration. */
#ifndef SW_CONFIGURATION_BUNDLE_PARSER_H
#define SW_CONFIGURATION_BUNDLE_PARSER_H

#include "configuration/bundle_reader.h"
#include "configuration/configuration.h"
#include "configuration/template.h"

/* State of one parse. Used by one thread. */
struct bundle_parser {
    struct bundle_reader reader;
    struct configuration *configuration; /* being filled; dropped if a fault is found */
    bool zones_known;                    /* "zones" could be read, so references can be checked */
    bool groups_known;                   /* "groups" likewise */
    bool templates_known;                /* "templates" likewise */
    GHashTable *database_names;          /* name -> path text, to find doubles */
    GHashTable *database_addresses;      /* "host:port" -> path text */
};

/* Reads one value of a type and within bounds. A group becomes its id. False after a fault. */
bool bundle_parse_value(struct bundle_parser *parser, const struct bundle_path *path,
                        JsonNode *node, const struct value_bounds *bounds, int64_t *value);

/* "integer 1 to 5", "true or false", or a list of group names. The caller frees it. */
char *bundle_value_allowed(const struct bundle_parser *parser, const struct value_bounds *bounds);

/* Reads "zones" into the configuration. */
void bundle_parse_zones(struct bundle_parser *parser, const struct bundle_path *root,
                        JsonObject *bundle);

/* Reads "groups" into the configuration; zones are read before. */
void bundle_parse_groups(struct bundle_parser *parser, const struct bundle_path *root,
                         JsonObject *bundle);

/* Reads "templates" into the configuration; groups are read before. */
void bundle_parse_templates(struct bundle_parser *parser, const struct bundle_path *root,
                            JsonObject *bundle);

/* Reads "tenants" into the configuration and derives their routes; templates are read before. */
void bundle_parse_tenants(struct bundle_parser *parser, const struct bundle_path *root,
                          JsonObject *bundle);

/* The same for some tenants, which `section` has. */
void bundle_parse_tenants_of(struct bundle_parser *parser, const struct bundle_path *root,
                             JsonObject *section);

/* A section of the bundle, as an object of at most `maximum` members; NULL after a fault. */
JsonObject *bundle_parse_section(struct bundle_parser *parser, const struct bundle_path *root,
                                 JsonObject *bundle, const char *name, guint maximum);

/* Reads the optional "description" of an object. The caller frees it; NULL if there is none. */
char *bundle_parse_description(struct bundle_parser *parser, const struct bundle_path *path,
                               JsonObject *object);

#endif
