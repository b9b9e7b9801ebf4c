/* The admin listener. See admin.h. */
#include "admin.h"

#include <arpa/inet.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <string.h>

#include "core/error.h"

struct admin {
    struct server *server;
    struct MHD_Daemon *daemon;
};

/* The request being served. */
struct admin_request {
    struct server *server;
    struct MHD_Connection *connection;
    JsonBuilder *answer; /* the reply's JSON object, still open for members */
};

struct admin_route {
    const char *method;
    const char *path;
    unsigned int (*serve)(struct admin_request *request); /* returns the HTTP status */
};

struct fault_route {
    const char *name;
    bool (*apply)(struct admin_request *request);
};

/* A query parameter, "" if missing. */
static const char *parameter(const struct admin_request *request, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
    return value != NULL ? value : "";
}

/* A numeric query parameter; false if missing or malformed. */
static bool parameter_number(const struct admin_request *request, const char *name, guint64 *number)
{
    return g_ascii_string_to_unsigned(parameter(request, name), 10, 0, G_MAXINT32, number, NULL);
}

static void add_number(struct admin_request *request, const char *name, uint64_t number)
{
    json_builder_set_member_name(request->answer, name);
    json_builder_add_int_value(request->answer, (gint64)number);
}

static void add_text(struct admin_request *request, const char *name, const char *text)
{
    json_builder_set_member_name(request->answer, name);
    json_builder_add_string_value(request->answer, text);
}

static bool apply_cut_zone(struct admin_request *request)
{
    const char *zone = parameter(request, "zone");
    if (zone[0] == '\0') {
        return false;
    }
    faults_cut_zone(&request->server->faults, zone);
    return true;
}

static void set_replication_lag(struct server *server, int64_t milliseconds)
{
    pthread_mutex_lock(&server->database->lock);
    server->database->replication_lag_ms = milliseconds;
    pthread_cond_broadcast(&server->database->changed);
    pthread_mutex_unlock(&server->database->lock);
}

static bool apply_heal(struct admin_request *request)
{
    struct server *server = request->server;
    faults_heal(&server->faults);
    set_replication_lag(server, server->options.replication_lag_ms);
    slots_set_service_time(&server->slots, server->options.service_time_us);
    return true;
}

static bool apply_lag(struct admin_request *request)
{
    guint64 value = 0;
    bool valid = parameter_number(request, "value", &value);
    if (valid) {
        set_replication_lag(request->server, (int64_t)value);
    }
    return valid;
}

static bool apply_slow(struct admin_request *request)
{
    guint64 value = 0;
    bool valid = parameter_number(request, "value", &value);
    if (valid) {
        slots_set_service_time(&request->server->slots, (int64_t)value);
    }
    return valid;
}

static bool apply_freeze(struct admin_request *request)
{
    guint64 value = 0;
    bool valid =
        parameter_number(request, "value_ms", &value) || parameter_number(request, "value", &value);
    if (valid) {
        faults_freeze(&request->server->faults, (int64_t)value);
    }
    return valid;
}

static bool plan_answers(struct admin_request *request, enum answer_fault fault)
{
    guint64 count = 0;
    bool valid = parameter_number(request, "count", &count);
    if (valid) {
        faults_plan_answers(&request->server->faults, fault, count, parameter(request, "match"));
    }
    return valid;
}

static bool apply_drop_answer(struct admin_request *request)
{
    return plan_answers(request, ANSWER_FAULT_DROP);
}

static bool apply_close_after(struct admin_request *request)
{
    return plan_answers(request, ANSWER_FAULT_CLOSE);
}

static bool apply_truncate_answer(struct admin_request *request)
{
    return plan_answers(request, ANSWER_FAULT_TRUNCATE);
}

static unsigned int serve_fault(struct admin_request *request)
{
    static const struct fault_route FAULTS[] = {
        {"cut_zone", apply_cut_zone},
        {"heal", apply_heal},
        {"lag_ms", apply_lag},
        {"slow_us", apply_slow},
        {"freeze", apply_freeze},
        {"drop_answer", apply_drop_answer},
        {"close_after", apply_close_after},
        {"truncate_answer", apply_truncate_answer},
    };
    const char *name = parameter(request, "name");
    for (size_t i = 0; i < G_N_ELEMENTS(FAULTS); i++) {
        if (g_str_equal(FAULTS[i].name, name) && FAULTS[i].apply(request)) {
            add_text(request, "fault", name);
            return MHD_HTTP_OK;
        }
    }
    add_text(request, "error", "unknown fault, or a parameter is missing");
    return MHD_HTTP_BAD_REQUEST;
}

static unsigned int serve_violations(struct admin_request *request)
{
    struct server *server = request->server;
    struct server_counters counters = server_counters(server);
    pthread_mutex_lock(&server->database->lock);
    uint64_t lower_term_writes = server->database->lower_term_writes;
    pthread_mutex_unlock(&server->database->lock);
    add_number(request, "over_connection_limit", counters.over_connection_limit);
    add_number(request, "lower_term_write", lower_term_writes);
    add_number(request, "peak_connections", counters.peak_connections);
    add_number(request, "peak_slots", slots_peak(&server->slots));
    return MHD_HTTP_OK;
}

static unsigned int serve_log(struct admin_request *request)
{
    struct database *database = request->server->database;
    pthread_mutex_lock(&database->lock);
    add_number(request, "count", database->log->len);
    add_number(request, "applied", database->applied);
    json_builder_set_member_name(request->answer, "entries");
    json_builder_begin_array(request->answer);
    for (guint i = 0; i < database->log->len; i++) {
        const struct log_entry *entry = g_ptr_array_index(database->log, i);
        json_builder_begin_object(request->answer);
        add_number(request, "term", entry->position.term);
        add_number(request, "offset", entry->position.offset);
        add_number(request, "statements", entry->statements->len);
        json_builder_end_object(request->answer);
    }
    json_builder_end_array(request->answer);
    pthread_mutex_unlock(&database->lock);
    return MHD_HTTP_OK;
}

static void add_cell(struct admin_request *request, const char *cell, guint oid)
{
    if (cell == NULL) {
        json_builder_add_null_value(request->answer);
    } else if (oid == OID_INT8) {
        json_builder_add_int_value(request->answer, g_ascii_strtoll(cell, NULL, 10));
    } else if (oid == OID_FLOAT8) {
        json_builder_add_double_value(request->answer, g_ascii_strtod(cell, NULL));
    } else if (oid == OID_BOOL) {
        json_builder_add_boolean_value(request->answer, cell[0] == 't');
    } else {
        json_builder_add_string_value(request->answer, cell);
    }
}

static void add_rows(struct admin_request *request, const struct result *result)
{
    guint columns = result->names->len;
    json_builder_set_member_name(request->answer, "rows");
    json_builder_begin_array(request->answer);
    for (uint64_t row = 0; row < result->rows; row++) {
        json_builder_begin_object(request->answer);
        for (guint column = 0; column < columns; column++) {
            json_builder_set_member_name(request->answer, g_ptr_array_index(result->names, column));
            add_cell(request, g_ptr_array_index(result->cells, row * columns + column),
                     g_array_index(result->oids, guint, column));
        }
        json_builder_end_object(request->answer);
    }
    json_builder_end_array(request->answer);
}

static unsigned int serve_dump(struct admin_request *request)
{
    g_auto(GStrv) parts = g_strsplit(parameter(request, "table"), "\"", -1);
    g_autofree char *table = g_strjoinv("\"\"", parts);
    g_autofree char *sql = g_strdup_printf("SELECT * FROM \"%s\"", table);
    g_autoptr(GPtrArray) statements = statement_split(sql);
    struct interrupt interrupt = {.socket = -1};
    struct transaction transaction = {.read_only = true, .interrupt = &interrupt};
    struct parameters *none = parameters_new();
    struct sql_error error = {0};
    struct result result;
    result_init(&result);
    bool done = database_execute(request->server->database, &transaction,
                                 g_ptr_array_index(statements, 0), none, &result, &error);
    if (done) {
        add_rows(request, &result);
    } else {
        add_text(request, "error", error.message);
    }
    sql_error_clear(&error);
    result_clear(&result);
    parameters_free(none);
    return done ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND;
}

static unsigned int serve_health(struct admin_request *request)
{
    struct database *database = request->server->database;
    pthread_mutex_lock(&database->lock);
    add_text(request, "name", database->name);
    add_text(request, "role", database->role == DATABASE_ROLE_PRIMARY ? "primary" : "replica");
    add_number(request, "term", database->term);
    add_number(request, "promised_term", database->promised_term);
    pthread_mutex_unlock(&database->lock);
    return MHD_HTTP_OK;
}

static unsigned int serve_route(struct admin_request *request, const char *method, const char *path)
{
    static const struct admin_route ROUTES[] = {
        {"POST", "/fault", serve_fault},   {"GET", "/violations", serve_violations},
        {"GET", "/log", serve_log},        {"GET", "/dump", serve_dump},
        {"GET", "/healthz", serve_health},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(ROUTES); i++) {
        if (g_str_equal(ROUTES[i].path, path) && g_str_equal(ROUTES[i].method, method)) {
            return ROUTES[i].serve(request);
        }
    }
    add_text(request, "error", "unknown path or method");
    return MHD_HTTP_NOT_FOUND;
}

static enum MHD_Result respond(struct MHD_Connection *connection, unsigned int status,
                               JsonBuilder *answer)
{
    g_autoptr(JsonNode) root = json_builder_get_root(answer);
    g_autofree char *text = json_to_string(root, FALSE);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result handle(void *data, struct MHD_Connection *connection, const char *path,
                              const char *method, const char *version, const char *upload,
                              size_t *upload_size, void **state)
{
    static int headers_seen;
    struct admin *admin = data;
    if (*state == NULL) {
        *state = &headers_seen;
        return MHD_YES;
    }
    if (*upload_size > 0) {
        *upload_size = 0;
        return MHD_YES;
    }
    g_autoptr(JsonBuilder) answer = json_builder_new();
    struct admin_request request = {
        .server = admin->server, .connection = connection, .answer = answer};
    json_builder_begin_object(answer);
    unsigned int status = serve_route(&request, method, path);
    json_builder_end_object(answer);
    return respond(connection, status, answer);
}

struct admin *admin_start(struct server *server, GError **error)
{
    struct sockaddr_in address;
    if (!server_parse_address(server->options.admin, &address)) {
        g_set_error(error, SW_ERROR, 0, "%s is not HOST:PORT", server->options.admin);
        return NULL;
    }
    struct admin *admin = g_new0(struct admin, 1);
    admin->server = server;
    admin->daemon =
        MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle, admin,
                         MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_END);
    if (admin->daemon == NULL) {
        g_set_error(error, SW_ERROR, 0, "cannot listen at %s", server->options.admin);
        g_free(admin);
        return NULL;
    }
    return admin;
}

guint16 admin_port(const struct admin *admin)
{
    return MHD_get_daemon_info(admin->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void admin_stop(struct admin *admin)
{
    if (admin == NULL) {
        return;
    }
    MHD_stop_daemon(admin->daemon);
    g_free(admin);
}
