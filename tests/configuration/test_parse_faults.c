/* Exact texts of the faults of invalid bundles. Each names the file, path, value and allowed
 * values. */
#include "configuration/configuration.h"

#include <string.h>

#include "configuration/problem.h"

/* A valid bundle; each case replaces one part of it. */
static const char valid_bundle[] =
    "{\n"
    "\"zones\": {\"north\": {\"id\": 1}, \"south\": {\"id\": 2}},\n"
    "\"groups\": {\n"
    " \"main\": {\"id\": 1, \"databases\": [\n"
    "  {\"name\": \"main-1\", \"zone\": \"north\", \"host\": \"127.0.0.1\", \"port\": 21000, "
    "\"slots\": 5, \"connections\": 35},\n"
    "  {\"name\": \"main-2\", \"zone\": \"south\", \"host\": \"127.0.0.1\", \"port\": 21001, "
    "\"slots\": 5, \"connections\": 35}]},\n"
    " \"spare\": {\"id\": 2, \"databases\": [\n"
    "  {\"name\": \"spare-1\", \"zone\": \"south\", \"host\": \"127.0.0.1\", \"port\": 21010, "
    "\"slots\": 4, \"connections\": 65}]}},\n"
    "\"templates\": {\n"
    " \"desk\": {\"parameters\": {\n"
    "   \"group\": {\"type\": \"group\", \"allowed\": [\"main\"]},\n"
    "   \"age\": {\"type\": \"integer\", \"minimum\": 0, \"maximum\": 500, \"default\": 100},\n"
    "   \"strict\": {\"type\": \"boolean\", \"default\": true},\n"
    "   \"idle\": {\"type\": \"integer\", \"minimum\": 100, \"maximum\": 60000, \"default\": "
    "200}},\n"
    "  \"route\": {\"group\": {\"parameter\": \"group\"}, \"max_staleness_ms\": {\"parameter\": "
    "\"age\"},\n"
    "   \"writes_require_key\": {\"parameter\": \"strict\"}, \"transaction_idle_ms\": "
    "{\"parameter\": \"idle\"},\n"
    "   \"transaction_total_ms\": 9000, \"weight\": 10}}},\n"
    "\"tenants\": {\n"
    " \"imlil\": {\"template\": \"desk\", \"parameters\": {\"group\": \"main\"}},\n"
    " \"mgoun\": {\"template\": \"desk\", \"parameters\": {\"group\": \"main\", \"age\": 50}}}\n"
    "}\n";

/* One case: `find` in the valid bundle is replaced by `replace`; `expected` is the text of all
 * problems. */
struct fault_case {
    const char *name;
    const char *find;
    const char *replace;
    const char *expected;
};

#define NAME_RULE       "1 to 63 characters of a-z, 0-9 and '-', starting with a letter or a digit"
#define IDENTIFIER_RULE "1 to 63 characters of a-z, 0-9 and '_', starting with a letter or a digit"

static const struct fault_case cases[] = {
    {"half-surrogate", "\"imlil\"", "\"\\ud800\"",
     "b.json: line 19, column 13: the text is not JSON (Parse error: unexpected string constant "
     "\"\uFFFD\uFFFD\uFFFD: {\", expected character `:'); allowed: JSON in UTF-8\n"},
    {"not-json", "\"zones\": {\"north\"", "\"zones\" {\"north\"",
     "b.json: line 2, column 7: the text is not JSON (Parse error: unexpected string constant "
     "\"zones\", expected character `:'); allowed: JSON in UTF-8\n"},
    {"unended-string", "\"north\": {\"id\": 1}", "\"north\": {\"id\": 1",
     "b.json: line 21, column 1: the text is not JSON (Parse error: unexpected character `}', "
     "expected string constant); allowed: JSON in UTF-8\n"},
    {"trailing-comma",
     "\"mgoun\": {\"template\": \"desk\", \"parameters\": {\"group\": \"main\", \"age\": 50}}}",
     "\"mgoun\": {\"template\": \"desk\"},}",
     "b.json: line 20, column 31: the text is not JSON (Parse error: unexpected character `,', "
     "expected character `]'); allowed: JSON in UTF-8\n"},
    {"invalid-utf8", "\"north\": {\"id\": 1}", "\"n\xc3\x28\": {\"id\": 1}",
     "b.json: /: the text is not JSON (JSON data must be UTF-8 encoded); allowed: JSON in UTF-8\n"},
    {"duplicate-tenant", "\"mgoun\": {\"template\"", "\"imlil\": {\"template\"",
     "b.json: line 20: \"imlil\" is given twice in one object; allowed: each member once\n"},
    {"duplicate-member", "\"id\": 1, \"databases\"", "\"id\": 1, \"id\": 9, \"databases\"",
     "b.json: line 4: \"id\" is given twice in one object; allowed: each member once\n"},
    {"unknown-section", "\"tenants\": {", "\"version\": 3, \"tenants\": {",
     "b.json: /version: unknown member; allowed: description, zones, groups, templates, tenants\n"},
    {"section-type", "\"zones\": {\"north\": {\"id\": 1}, \"south\": {\"id\": 2}}", "\"zones\": []",
     "b.json: /zones: [] is not an object; allowed: an object\n"},
    {"groups-type", "\"groups\": {", "\"groups\": 1, \"description\": {",
     "b.json: /description: "
     "{\"main\":{\"id\":1,\"databases\":[{\"name\":\"main-1\",\"zone\":\"north\"... is not a "
     "string; allowed: a string\n"
     "b.json: /groups: 1 is not an object; allowed: an object\n"},
    {"zone-name", "\"north\": {\"id\": 1}", "\"north\": {\"id\": 1}, \"North\": {\"id\": 3}",
     "b.json: /zones/North: \"North\" is not a name; allowed: 1 to 63 characters of a-z, 0-9 and "
     "'-', starting with a letter or a digit\n"},
    {"zone-type", "\"north\": {\"id\": 1}", "\"north\": 1",
     "b.json: /zones/north: 1 is not an object; allowed: an object\n"},
    {"zone-id-missing", "\"north\": {\"id\": 1}", "\"north\": {}",
     "b.json: /zones/north/id: missing; allowed: integer 1 to 62\n"},
    {"zone-id-zero", "\"north\": {\"id\": 1}", "\"north\": {\"id\": 0}",
     "b.json: /zones/north/id: 0 is out of range; allowed: integer 1 to 62\n"},
    {"zone-id-last", "\"north\": {\"id\": 1}", "\"north\": {\"id\": 63}",
     "b.json: /zones/north/id: 63 is out of range; allowed: integer 1 to 62\n"},
    {"zone-id-type", "\"north\": {\"id\": 1}", "\"north\": {\"id\": \"1\"}",
     "b.json: /zones/north/id: \"1\" is not an integer; allowed: integer 1 to 62\n"},
    {"zone-id-taken", "\"south\": {\"id\": 2}", "\"south\": {\"id\": 1}",
     "b.json: /zones/south/id: 1 is taken by \"north\"; allowed: an id used once\n"},
    {"zone-member", "\"north\": {\"id\": 1}", "\"north\": {\"id\": 1, \"host\": \"x\"}",
     "b.json: /zones/north/host: unknown member; allowed: description, id\n"},
    {"group-name", "\"spare\": {\"id\": 2", "\"sp are\": {\"id\": 2",
     "b.json: /groups/sp are: \"sp are\" is not a name; allowed: 1 to 63 characters of a-z, 0-9 "
     "and '-', starting with a letter or a digit\n"},
    {"group-type", " \"main\": {\"id\": 1", " \"other\": null, \"main\": {\"id\": 1",
     "b.json: /groups/other: null is not an object; allowed: an object\n"},
    {"group-id-missing", "\"spare\": {\"id\": 2, ", "\"spare\": {",
     "b.json: /groups/spare/id: missing; allowed: integer 1 to 1000000\n"},
    {"group-id-large", "\"spare\": {\"id\": 2", "\"spare\": {\"id\": 1000001",
     "b.json: /groups/spare/id: 1000001 is out of range; allowed: integer 1 to 1000000\n"},
    {"group-id-taken", "\"spare\": {\"id\": 2", "\"spare\": {\"id\": 1",
     "b.json: /groups/spare/id: 1 is taken by \"main\"; allowed: an id used once\n"},
    {"group-member", "\"spare\": {\"id\": 2", "\"spare\": {\"id\": 2, \"zone\": \"north\"",
     "b.json: /groups/spare/zone: unknown member; allowed: description, id, databases\n"},
    {"databases-empty", "\"spare\": {\"id\": 2, \"databases\": [",
     "\"spare\": {\"id\": 2, \"databases\": [], \"description\": [",
     "b.json: /groups/spare/description: "
     "[{\"name\":\"spare-1\",\"zone\":\"south\",\"host\":\"127.0.0.1\",\"port\":... is not a "
     "string; allowed: a string\n"
     "b.json: /groups/spare/databases: has 0 elements; allowed: an array of 1 to 9\n"},
    {"databases-missing", "\"spare\": {\"id\": 2, \"databases\": [",
     "\"spare\": {\"id\": 2, \"description\": [",
     "b.json: /groups/spare/description: "
     "[{\"name\":\"spare-1\",\"zone\":\"south\",\"host\":\"127.0.0.1\",\"port\":... is not a "
     "string; allowed: a string\n"
     "b.json: /groups/spare/databases: missing; allowed: an array of 1 to 9\n"},
    {"databases-type", "\"main\": {\"id\": 1, \"databases\": [",
     "\"main\": {\"id\": 1, \"databases\": 3, \"description\": [",
     "b.json: /groups/main/description: "
     "[{\"name\":\"main-1\",\"zone\":\"north\",\"host\":\"127.0.0.1\",\"port\":2... is not a "
     "string; allowed: a string\n"
     "b.json: /groups/main/databases: 3 is not an array; allowed: an array of 1 to 9\n"},
    {"databases-many", "\"databases\": [\n  {\"name\": \"spare-1\"",
     "\"databases\": [0, 0, 0, 0, 0, 0, 0, 0, 0,\n  {\"name\": \"spare-1\"",
     "b.json: /groups/spare/databases: has 10 elements; allowed: an array of 1 to 9\n"},
    {"database-type", "\"databases\": [\n  {\"name\": \"spare-1\"",
     "\"databases\": [7,\n  {\"name\": \"spare-1\"",
     "b.json: /groups/spare/databases/0: 7 is not an object; allowed: an object\n"},
    {"database-name-missing", "\"name\": \"main-1\", ", "",
     "b.json: /groups/main/databases/0/name: missing; allowed: 1 to 63 characters of a-z, 0-9 and "
     "'-', starting with a letter or a digit\n"},
    {"database-name", "\"name\": \"main-1\"", "\"name\": \"-main\"",
     "b.json: /groups/main/databases/0/name: \"-main\" is not a name; allowed: 1 to 63 characters "
     "of a-z, 0-9 and '-', starting with a letter or a digit\n"},
    {"database-name-taken", "\"name\": \"spare-1\"", "\"name\": \"main-1\"",
     "b.json: /groups/spare/databases/0/name: \"main-1\" is taken by another database; allowed: a "
     "name used once in the bundle\n"},
    {"database-zone-missing", "\"zone\": \"north\", ", "",
     "b.json: /groups/main/databases/0/zone: missing; allowed: north, south\n"},
    {"database-zone-unknown", "\"zone\": \"north\"", "\"zone\": \"west\"",
     "b.json: /groups/main/databases/0/zone: \"west\" is not a zone; allowed: north, south\n"},
    {"database-host-name", "\"host\": \"127.0.0.1\"", "\"host\": \"db.example\"",
     "b.json: /groups/main/databases/0/host: \"db.example\" is not an IP address; allowed: an IPv4 "
     "or IPv6 address\n"},
    {"database-host-type", "\"host\": \"127.0.0.1\"", "\"host\": 127",
     "b.json: /groups/main/databases/0/host: 127 is not a string; allowed: an IPv4 or IPv6 "
     "address\n"},
    {"database-port-zero", "\"port\": 21000", "\"port\": 0",
     "b.json: /groups/main/databases/0/port: 0 is out of range; allowed: integer 1 to 65535\n"},
    {"database-port-large", "\"port\": 21000", "\"port\": 65536",
     "b.json: /groups/main/databases/0/port: 65536 is out of range; allowed: integer 1 to 65535\n"},
    {"database-port-real", "\"port\": 21000", "\"port\": 21000.5",
     "b.json: /groups/main/databases/0/port: 21000.5 is not an integer; allowed: integer 1 to "
     "65535\n"},
    {"database-address-taken", "\"port\": 21001", "\"port\": 21000",
     "b.json: /groups/main/databases/1/port: 21000 is taken by another database on this host; "
     "allowed: an address used once in the bundle\n"},
    {"database-slots-large", "\"slots\": 5", "\"slots\": 1001",
     "b.json: /groups/main/databases/0/slots: 1001 is out of range; allowed: integer 1 to 1000\n"},
    {"database-slots-negative", "\"slots\": 5", "\"slots\": -5",
     "b.json: /groups/main/databases/0/slots: -5 is out of range; allowed: integer 1 to 1000\n"},
    {"database-slots-huge", "\"slots\": 5", "\"slots\": 99999999999999999999",
     "b.json: /groups/main/databases/0/slots: -1 is out of range; allowed: integer 1 to 1000\n"},
    {"database-connections-missing", ", \"connections\": 35},\n", " },\n",
     "b.json: /groups/main/databases/0/connections: missing; allowed: integer 1 to 100000\n"},
    {"database-connections-few", "\"connections\": 35", "\"connections\": 5",
     "b.json: /groups/main/databases/0/connections: 5 leaves no connections for control; allowed: "
     "more than "
     "its slots (5)\n"},
    {"database-member", "\"slots\": 5", "\"slots\": 5, \"user\": \"u\"",
     "b.json: /groups/main/databases/0/user: unknown member; allowed: name, zone, host, port, "
     "slots, connections\n"},
    {"template-name", "\"desk\": {\"parameters\": {",
     "\"d/~\": {\"parameters\": {}, \"route\": {\"group\": \"main\"}}, \"desk\": {\"parameters\": "
     "{",
     "b.json: /templates/d~1~0: \"d/~\" is not a name; allowed: 1 to 63 characters of a-z, 0-9 and "
     "'-', starting with a letter or a digit\n"},
    {"template-type", " \"desk\": {\"parameters\"", " \"other\": [], \"desk\": {\"parameters\"",
     "b.json: /templates/other: [] is not an object; allowed: an object\n"},
    {"template-parameters-missing", "\"desk\": {\"parameters\": {",
     "\"x\": {\"route\": {\"group\": \"main\"}}, \"desk\": {\"parameters\": {",
     "b.json: /templates/x/parameters: missing; allowed: an object\n"},
    {"template-route-missing", "\"desk\": {\"parameters\": {",
     "\"x\": {\"parameters\": {}}, \"desk\": {\"parameters\": {",
     "b.json: /templates/x/route: missing; allowed: an object\n"},
    {"template-member", "\"desk\": {\"parameters\": {",
     "\"desk\": {\"limit\": 1, \"parameters\": {",
     "b.json: /templates/desk/limit: unknown member; allowed: description, parameters, route\n"},
    {"parameter-name", "\"strict\": {\"type\"", "\"Strict\": {\"type\"",
     "b.json: /templates/desk/parameters/Strict: \"Strict\" is not a name; allowed: 1 to 63 "
     "characters of a-z, 0-9 and '_', starting with a letter or a digit\n"
     "b.json: /templates/desk/route/writes_require_key/parameter: \"strict\" is not a parameter; "
     "allowed: group, age, Strict, idle\n"},
    {"parameter-type-missing", "\"strict\": {\"type\": \"boolean\", ", "\"strict\": {",
     "b.json: /templates/desk/parameters/strict/type: missing; allowed: integer, boolean, group\n"},
    {"parameter-type-unknown", "\"type\": \"boolean\"", "\"type\": \"float\"",
     "b.json: /templates/desk/parameters/strict/type: \"float\" is not a type; allowed: integer, "
     "boolean, group\n"},
    {"parameter-minimum-missing", "\"minimum\": 0, ", "",
     "b.json: /templates/desk/parameters/age/minimum: missing; allowed: integer 0 to 4294967295\n"},
    {"parameter-maximum-below", "\"minimum\": 0, \"maximum\": 500",
     "\"minimum\": 501, \"maximum\": 500",
     "b.json: /templates/desk/parameters/age/maximum: 500 is out of range; allowed: integer 501 to "
     "4294967295\n"
     "b.json: /templates/desk/parameters/age/default: 100 is out of range; allowed: integer 501 to "
     "4294967295\n"},
    {"parameter-default-range", "\"maximum\": 500, \"default\": 100",
     "\"maximum\": 500, \"default\": 501",
     "b.json: /templates/desk/parameters/age/default: 501 is out of range; allowed: integer 0 to "
     "500\n"},
    {"parameter-default-type", "\"type\": \"boolean\", \"default\": true",
     "\"type\": \"boolean\", \"default\": 1",
     "b.json: /templates/desk/parameters/strict/default: 1 is not a boolean; allowed: true or "
     "false\n"},
    {"parameter-boolean-member", "\"type\": \"boolean\", ",
     "\"type\": \"boolean\", \"minimum\": 0, ",
     "b.json: /templates/desk/parameters/strict/minimum: unknown member; allowed: type, "
     "description, default\n"},
    {"parameter-allowed-unknown", "\"allowed\": [\"main\"]", "\"allowed\": [\"main\", \"third\"]",
     "b.json: /templates/desk/parameters/group/allowed/1: \"third\" is not a group; allowed: main, "
     "spare\n"},
    {"parameter-allowed-empty", "\"allowed\": [\"main\"]", "\"allowed\": []",
     "b.json: /templates/desk/parameters/group/allowed: has 0 elements; allowed: an array of 1 to "
     "4096\n"},
    {"parameter-unused", "\"strict\": {\"type\"",
     "\"extra\": {\"type\": \"boolean\"}, \"strict\": {\"type\"",
     "b.json: /templates/desk/parameters/extra: sets no field of the route; allowed: a parameter "
     "that the route uses\n"},
    {"route-field-unknown", "\"weight\": 10", "\"weigth\": 10",
     "b.json: /templates/desk/route/weigth: unknown member; allowed: group, max_staleness_ms, "
     "read_wait_ms, read_primary_share_percent, reads_from_replicas, weight, in_flight_limit, "
     "request_timeout_ms, transaction_idle_ms, transaction_total_ms, writes_require_key, "
     "idempotency_days\n"},
    {"route-field-range", "\"weight\": 10", "\"weight\": 1001",
     "b.json: /templates/desk/route/weight: 1001 is out of range; allowed: integer 1 to 1000\n"},
    {"route-field-type", "\"weight\": 10", "\"weight\": true",
     "b.json: /templates/desk/route/weight: true is not an integer; allowed: integer 1 to 1000\n"},
    {"route-group-missing", "\"route\": {\"group\": {\"parameter\": \"group\"}, ", "\"route\": {",
     "b.json: /templates/desk/route/group: missing; allowed: main, spare\n"},
    {"route-group-unknown", "\"route\": {\"group\": {\"parameter\": \"group\"}",
     "\"route\": {\"group\": \"third\"",
     "b.json: /templates/desk/route/group: \"third\" is not a group; allowed: main, spare\n"},
    {"route-reference-unknown", "{\"parameter\": \"age\"}", "{\"parameter\": \"old\"}",
     "b.json: /templates/desk/route/max_staleness_ms/parameter: \"old\" is not a parameter; "
     "allowed: group, age, strict, idle\n"},
    {"route-reference-type", "{\"parameter\": \"age\"}", "{\"parameter\": \"strict\"}",
     "b.json: /templates/desk/route/max_staleness_ms: parameter \"strict\" is of type boolean; "
     "allowed: integer\n"},
    {"route-reference-range", "\"weight\": 10", "\"weight\": {\"parameter\": \"age\"}",
     "b.json: /templates/desk/route/weight: parameter \"age\" allows integer 0 to 500; allowed: "
     "integer 1 to 1000\n"},
    {"route-reference-empty", "\"weight\": 10", "\"weight\": {}",
     "b.json: /templates/desk/route/weight/parameter: missing; allowed: group, age, strict, "
     "idle\n"},
    {"tenant-name", "\"mgoun\": {\"template\"", "\"m_goun\": {\"template\"",
     "b.json: /tenants/m_goun: \"m_goun\" is not a name; allowed: 1 to 63 characters of a-z, 0-9 "
     "and '-', starting with a letter or a digit\n"},
    {"tenant-type", " \"mgoun\": {\"template\"", " \"toubkal\": \"desk\", \"mgoun\": {\"template\"",
     "b.json: /tenants/toubkal: \"desk\" is not an object; allowed: an object\n"},
    {"tenant-template-missing", "\"imlil\": {\"template\": \"desk\", ", "\"imlil\": {",
     "b.json: /tenants/imlil/template: missing; allowed: desk\n"},
    {"tenant-template-unknown", "\"imlil\": {\"template\": \"desk\"",
     "\"imlil\": {\"template\": \"counter\"",
     "b.json: /tenants/imlil/template: \"counter\" is not a template; allowed: desk\n"},
    {"tenant-parameter-missing", "\"parameters\": {\"group\": \"main\"}", "\"parameters\": {}",
     "b.json: /tenants/imlil/parameters/group: missing; allowed: main\n"},
    {"tenant-parameters-type", "\"parameters\": {\"group\": \"main\"}",
     "\"parameters\": [\"main\"]",
     "b.json: /tenants/imlil/parameters: [\"main\"] is not an object; allowed: an object\n"},
    {"tenant-parameter-unknown", "\"age\": 50", "\"ages\": 50",
     "b.json: /tenants/mgoun/parameters/ages: unknown member; allowed: group, age, strict, idle\n"},
    {"tenant-parameter-range", "\"age\": 50", "\"age\": 9000",
     "b.json: /tenants/mgoun/parameters/age: 9000 is out of range; allowed: integer 0 to 500\n"},
    {"tenant-parameter-type", "\"age\": 50", "\"age\": \"50\"",
     "b.json: /tenants/mgoun/parameters/age: \"50\" is not an integer; allowed: integer 0 to "
     "500\n"},
    {"tenant-parameter-null", "\"age\": 50", "\"age\": null",
     "b.json: /tenants/mgoun/parameters/age: null is not an integer; allowed: integer 0 to 500\n"},
    {"tenant-group-refused", "\"parameters\": {\"group\": \"main\"}",
     "\"parameters\": {\"group\": \"spare\"}",
     "b.json: /tenants/imlil/parameters/group: \"spare\" is not an allowed group; allowed: main\n"},
    {"tenant-group-unknown", "\"parameters\": {\"group\": \"main\"}",
     "\"parameters\": {\"group\": \"third\"}",
     "b.json: /tenants/imlil/parameters/group: \"third\" is not a group; allowed: main\n"},
    {"tenant-member", "\"imlil\": {", "\"imlil\": {\"weight\": 3, ",
     "b.json: /tenants/imlil/weight: unknown member; allowed: description, template, parameters\n"},
    {"tenant-route-order", "\"age\": 50", "\"age\": 50, \"idle\": 9001",
     "b.json: /tenants/mgoun: derived route has transaction_idle_ms 9001; allowed: at most "
     "transaction_total_ms (9000)\n"},
    {"value-shortened", "\"age\": 50",
     "\"age\": "
     "\"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\"",
     "b.json: /tenants/mgoun/parameters/age: "
     "\"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx... is not an integer; allowed: "
     "integer 0 to 500\n"},
};

static char *replace_once(const char *text, const char *find, const char *replace)
{
    const char *match = strstr(text, find);

    g_assert_nonnull(match);
    g_autofree char *start = g_strndup(text, (gsize)(match - text));
    return g_strconcat(start, replace, match + strlen(find), NULL);
}

static char *faults_of(const char *text, gsize length)
{
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct configuration *configuration = NULL;

    bool valid = configuration_parse(text, length, "b.json", &configuration, problems);
    g_assert_cmpint(valid, ==, problems->len == 0);
    g_assert_cmpint(valid, ==, configuration != NULL);
    configuration_unref(configuration);
    return configuration_problems_text(problems);
}

static void test_valid_bundle_has_no_fault(void)
{
    g_autofree char *faults = faults_of(valid_bundle, strlen(valid_bundle));

    g_assert_cmpstr(faults, ==, "");
}

static void test_fault_case(gconstpointer data)
{
    const struct fault_case *fault_case = data;
    g_autofree char *text = replace_once(valid_bundle, fault_case->find, fault_case->replace);
    g_autofree char *faults = faults_of(text, strlen(text));

    g_assert_cmpstr(faults, ==, fault_case->expected);
}

static void test_invalid_documents(void)
{
    g_autofree char *empty = faults_of("", 0);
    g_autofree char *array = faults_of("[1]", 3);
    g_autofree char *bare = faults_of("{}", 2);

    g_assert_cmpstr(empty, ==, "b.json: /: the text is empty; allowed: an object\n");
    g_assert_cmpstr(array, ==, "b.json: /: [1] is not an object; allowed: an object\n");
    g_assert_cmpstr(bare, ==,
                    "b.json: /zones: missing; allowed: an object\n"
                    "b.json: /groups: missing; allowed: an object\n"
                    "b.json: /templates: missing; allowed: an object\n"
                    "b.json: /tenants: missing; allowed: an object\n");
}

static void test_size_and_depth(void)
{
    gsize length = CONFIGURATION_BYTES_MAX + 1;
    g_autofree char *large = g_strnfill(length, ' ');
    g_autofree char *deep = g_strnfill(100000, '[');
    g_autofree char *large_faults = faults_of(large, length);
    g_autofree char *deep_faults = faults_of(deep, strlen(deep));

    g_assert_cmpstr(large_faults, ==,
                    "b.json: /: has 16777217 bytes; allowed: at most 16777216 bytes\n");
    g_assert_cmpstr(deep_faults, ==, "b.json: /: nested too deep; allowed: at most 16 levels\n");
}

/* Faults in different sections are all reported, each once. */
static void test_all_faults_are_collected(void)
{
    g_autofree char *slots = replace_once(valid_bundle, "\"slots\": 5", "\"slots\": 0");
    g_autofree char *zone = replace_once(slots, "\"zone\": \"south\"", "\"zone\": \"east\"");
    g_autofree char *weight = replace_once(zone, "\"weight\": 10", "\"weight\": 0");
    g_autofree char *text =
        replace_once(weight, "\"template\": \"desk\"", "\"template\": \"pesk\"");
    g_autofree char *faults = faults_of(text, strlen(text));

    g_assert_cmpstr(
        faults, ==,
        "b.json: /groups/main/databases/0/slots: 0 is out of range; allowed: integer 1 to 1000\n"
        "b.json: /groups/main/databases/1/zone: \"east\" is not a zone; allowed: north, south\n"
        "b.json: /templates/desk/route/weight: 0 is out of range; allowed: integer 1 to 1000\n"
        "b.json: /tenants/imlil/template: \"pesk\" is not a template; allowed: desk\n");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configuration/faults/none", test_valid_bundle_has_no_fault);
    g_test_add_func("/configuration/faults/document", test_invalid_documents);
    g_test_add_func("/configuration/faults/size-and-depth", test_size_and_depth);
    g_test_add_func("/configuration/faults/collected", test_all_faults_are_collected);
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *path = g_strconcat("/configuration/faults/", cases[i].name, NULL);
        g_test_add_data_func(path, &cases[i], test_fault_case);
    }
    return g_test_run();
}
