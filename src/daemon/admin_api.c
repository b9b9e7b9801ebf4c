/* The admin listener's routes and handlers; see the header. */
#define G_LOG_DOMAIN "admin"
#include "daemon/admin_api.h"

#include <arpa/inet.h>
#include <signal.h>
#include <unistd.h>

#include "configuration/canonical.h"
#include "configuration/configuration.h"
#include "core/error.h"
#include "daemon/admin_drain.h"
#include "daemon/admin_explain.h"
#include "daemon/admin_log.h"
#include "daemon/admin_status.h"
#include "daemon/control_configuration.h"
#include "daemon/control.h"
#include "daemon/daemon.h"
#include "daemon/daemon_metrics.h"
#include "frontend/admin.h"
#include "generated/errors.h"
#include "trace/trace_recorder.h"
#include "wire/address.h"

/* A CBOR sequence (RFC 8742). */
#define TYPE_TRACE "application/cbor-seq"

static void refuse(struct admin_answer *answer, enum error_kind kind, const char *text)
{
    g_autoptr(GError) error = g_error_new_literal(SW_ERROR, (gint)kind, text);
    admin_answer_error(answer, error);
}

/* Refuses a request about a group that only other daemons own, and lists their addresses. */
static void refuse_not_owner(struct admin_answer *answer, struct daemon *daemon, uint32_t group)
{
    struct owner_list owners;
    g_autoptr(GString) text =
        g_string_new("This daemon does not own the group; send the request to an owner:");
    control_owners_of(daemon->control, group, &owners);
    for (uint32_t i = 0; i < owners.count; i++) {
        g_string_append_printf(text, " %s", owners.addresses[i]);
    }
    refuse(answer, ERROR_KIND_BAD_REQUEST, text->str);
}

static bool owns(struct daemon *daemon, uint32_t group)
{
    struct group_runtime *runtime = daemon_take_group(daemon, group);
    if (runtime != NULL) {
        group_runtime_unref(runtime);
    }
    return runtime != NULL;
}

static void set_database_leaving(struct admin_answer *answer, struct daemon *daemon,
                                 const char *database, bool leaving)
{
    struct configuration *configuration = daemon_take_configuration(daemon);
    uint32_t index = 0;
    const struct group_configuration *group =
        configuration != NULL ? configuration_find_database(configuration, database, &index) : NULL;
    if (group == NULL) {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "No database has this name.");
    } else if (!owns(daemon, group->id)) {
        refuse_not_owner(answer, daemon, group->id);
    } else {
        control_drain_database(daemon->control, group->id, index, leaving);
        g_string_append_printf(answer->body,
                               "{\"database\":\"%s\",\"group\":\"%s\",\"leaving\":%s}", database,
                               group->name, leaving ? "true" : "false");
    }
    configuration_unref(configuration);
}

/* Writes the progress of a database's drain. */
static void write_drain_progress(struct admin_answer *answer, struct daemon *daemon,
                                 const char *database)
{
    struct configuration *configuration = daemon_take_configuration(daemon);
    uint32_t index = 0;
    const struct group_configuration *group =
        configuration != NULL ? configuration_find_database(configuration, database, &index) : NULL;
    struct group_runtime *runtime = group != NULL ? daemon_take_group(daemon, group->id) : NULL;
    if (group == NULL) {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "No database has this name.");
    } else if (runtime == NULL) {
        refuse_not_owner(answer, daemon, group->id);
    } else {
        if (!admin_drain_database(daemon, runtime, database, answer->body)) {
            refuse(answer, ERROR_KIND_NOT_READY,
                   "The group does not have the database yet in this daemon's configuration.");
        }
        group_runtime_unref(runtime);
    }
    configuration_unref(configuration);
}

/* Sets or clears the leaving mark of the named database or of this daemon. */
static void set_leaving(const struct admin_request *request, struct admin_answer *answer,
                        struct daemon *daemon, bool leaving)
{
    const char *database = admin_query_text(request, "database");
    if (admin_query_text(request, "daemon") != NULL) {
        control_set_leaving(daemon->control, leaving);
        g_string_append_printf(answer->body, "{\"daemon\":\"%s\",\"leaving\":%s}",
                               daemon->settings.daemon.name, leaving ? "true" : "false");
    } else if (database != NULL) {
        set_database_leaving(answer, daemon, database, leaving);
    } else {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "Missing parameter: database, or daemon=self.");
    }
}

static void handle_drain(const struct admin_request *request, struct admin_answer *answer,
                         void *user)
{
    set_leaving(request, answer, user, true);
}

/* Progress of a drain, of a database of an owned group or of this daemon. */
static void handle_drain_progress(const struct admin_request *request, struct admin_answer *answer,
                                  void *user)
{
    const char *database = admin_query_text(request, "database");
    if (admin_query_text(request, "daemon") != NULL) {
        admin_drain_daemon(user, answer->body);
    } else if (database != NULL) {
        write_drain_progress(answer, user, database);
    } else {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "Missing parameter: database, or daemon=self.");
    }
}

static void handle_undrain(const struct admin_request *request, struct admin_answer *answer,
                           void *user)
{
    set_leaving(request, answer, user, false);
}

/* Starts a planned stop by sending this process SIGTERM. */
static void handle_stop(const struct admin_request *request, struct admin_answer *answer,
                        void *user)
{
    g_string_append(answer->body, "{\"stopping\":true}");
    kill(getpid(), SIGTERM);
}

static void handle_status(const struct admin_request *request, struct admin_answer *answer,
                          void *user)
{
    admin_status_write(user, answer->body);
}

static void handle_events(const struct admin_request *request, struct admin_answer *answer,
                          void *user)
{
    g_autoptr(GError) error = NULL;
    uint64_t since = 0;
    if (!admin_query_number(request, "since", UINT64_MAX, &since, &error)) {
        admin_answer_error(answer, error);
        return;
    }
    admin_events_write(user, since, answer->body);
}

/* Accepts a version that a publisher hands over after it has moved the store's head. The version is
 * put in force after the answer. */
static void handle_configuration(const struct admin_request *request, struct admin_answer *answer,
                                 void *user)
{
    struct daemon *daemon = user;
    g_autoptr(GError) error = NULL;
    size_t length = 0;
    const char *body = admin_request_body(request, &length);
    g_autoptr(GBytes) content = g_bytes_new(body, length);
    g_autofree char *hash = canonical_hash(content);
    const char *base_hash = admin_query_text(request, "base_hash");
    struct configuration_handover handover = {
        .hash = hash,
        .base_hash = base_hash != NULL ? base_hash : "",
        .content = content,
    };
    if (!admin_query_number(request, "version", INT64_MAX, &handover.version, &error)) {
        admin_answer_error(answer, error);
    } else if (handover.version == 0) {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "Missing parameter: version.");
    } else if (g_strcmp0(admin_query_text(request, "hash"), hash) != 0) {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "The content does not match the hash.");
    } else if (!control_configuration_hand_over(daemon->control, &handover)) {
        refuse(answer, ERROR_KIND_BAD_REQUEST,
               "This daemon's configuration is static, read from a file.");
    } else {
        g_string_append_printf(answer->body, "{\"version\":%" G_GUINT64_FORMAT "}",
                               handover.version);
    }
}

static void handle_explain(const struct admin_request *request, struct admin_answer *answer,
                           void *user)
{
    g_autoptr(GError) error = NULL;
    const char *request_id = admin_query_text(request, "request");
    const char *tenant = admin_query_text(request, "tenant");
    const char *access = admin_query_text(request, "access");
    bool write = g_strcmp0(access, "write") == 0;
    if (request_id != NULL) {
        admin_explain_request(user, request_id, answer->body);
    } else if (tenant == NULL) {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "Missing parameter: tenant or request.");
    } else if (!admin_explain_write(user, tenant, write, answer->body, &error)) {
        admin_answer_error(answer, error);
    }
}

/* The trace that this daemon has recorded of a group, even if it no longer owns the group. */
static void handle_trace(const struct admin_request *request, struct admin_answer *answer,
                         void *user)
{
    struct daemon *daemon = user;
    const char *name = admin_query_text(request, "group");
    struct configuration *configuration = daemon_take_configuration(daemon);
    const struct group_configuration *group =
        configuration != NULL && name != NULL
            ? configuration_find_group_by_name(configuration, name)
            : NULL;
    if (group == NULL) {
        refuse(answer, ERROR_KIND_BAD_REQUEST, "No group has this name.");
    } else {
        g_autoptr(GByteArray) trace = trace_recorder_copy(daemon->traces, group->id);
        g_string_append_len(answer->body, (const char *)trace->data, trace->len);
        answer->content_type = TYPE_TRACE;
    }
    configuration_unref(configuration);
}

static void handle_log_level(const struct admin_request *request, struct admin_answer *answer,
                             void *user)
{
    g_autoptr(GError) error = NULL;
    if (!admin_log_write(admin_query_text(request, "part"), answer->body, &error)) {
        admin_answer_error(answer, error);
    }
}

static void handle_set_log_level(const struct admin_request *request, struct admin_answer *answer,
                                 void *user)
{
    g_autoptr(GError) error = NULL;
    if (!admin_log_set(user, admin_query_text(request, "part"), admin_query_text(request, "level"),
                       answer->body, &error)) {
        admin_answer_error(answer, error);
    }
}

static bool is_ready(GString *reason, void *user)
{
    struct daemon *daemon = user;
    if (atomic_load(&daemon->stopping)) {
        g_string_append(reason, "stopping");
        return false;
    }
    if (!daemon_may_serve(daemon)) {
        struct configuration_status status;
        control_configuration_status(daemon->control, &status);
        g_string_append(reason, status.reason[0] != '\0' ? status.reason
                                                         : "the configuration is not confirmed");
        return false;
    }
    if (!control_is_settled(daemon->control)) {
        g_string_append(reason, "the membership is not known yet");
        return false;
    }
    return true;
}

static void add_routes(struct daemon *daemon)
{
    admin_route(daemon->admin, "GET", "/v1/status", handle_status, daemon);
    admin_route(daemon->admin, "GET", "/v1/events", handle_events, daemon);
    admin_route(daemon->admin, "GET", "/v1/explain", handle_explain, daemon);
    admin_route(daemon->admin, "GET", "/v1/trace", handle_trace, daemon);
    admin_route(daemon->admin, "POST", "/v1/configuration", handle_configuration, daemon);
    admin_route(daemon->admin, "GET", "/v1/log-level", handle_log_level, daemon);
    admin_route(daemon->admin, "POST", "/v1/log-level", handle_set_log_level, daemon);
    admin_route(daemon->admin, "GET", "/v1/drain", handle_drain_progress, daemon);
    admin_route(daemon->admin, "POST", "/v1/drain", handle_drain, daemon);
    admin_route(daemon->admin, "POST", "/v1/undrain", handle_undrain, daemon);
    admin_route(daemon->admin, "POST", "/v1/stop", handle_stop, daemon);
}

bool admin_api_start(struct daemon *daemon, GError **error)
{
    struct admin_options options;
    struct sockaddr_in address;
    char host[INET_ADDRSTRLEN];
    admin_options_init(&options);
    parse_address(daemon->settings.daemon.admin_listen, &address);
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
    options.address = host;
    options.port = ntohs(address.sin_port);
    options.body_bytes_max = CONFIGURATION_BYTES_MAX;
    options.metrics = daemon_metrics_registry(daemon->metrics);
    options.ready = is_ready;
    options.user = daemon;
    daemon->admin = admin_new(&options);
    add_routes(daemon);
    if (!admin_start(daemon->admin, error)) {
        return false;
    }
    g_message("Admin listener on port %u.", admin_port(daemon->admin));
    return true;
}

void admin_api_stop(struct daemon *daemon)
{
    if (daemon->admin != NULL) {
        admin_stop(daemon->admin);
        daemon->admin = NULL;
    }
}
