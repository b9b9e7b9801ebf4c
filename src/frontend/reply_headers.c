#include "frontend/reply_headers.h"

#include <glib.h>

#define MILLISECONDS_PER_SECOND 1000

/* Adds a header. Bytes other than printable ASCII are replaced by `?`. */
static void add_header(struct MHD_Response *response, const char *name, const char *value)
{
    g_autofree char *clean = g_strdup(value);
    for (char *next = clean; *next != '\0'; next++) {
        if (!g_ascii_isprint(*next)) {
            *next = '?';
        }
    }
    MHD_add_response_header(response, name, clean);
}

static void add_session(struct MHD_Response *response, const struct reply *reply,
                        const struct reply_context *context)
{
    size_t count = context->session_count;
    struct group_position *session =
        g_memdup2(context->session, count * sizeof(struct group_position));
    for (size_t i = 0; i < reply->session_count; i++) {
        const struct group_position *seen = &reply->session[i];
        struct log_position position = {.term = seen->term, .offset = seen->offset};
        session_merge(&session, &count, seen->group, position);
    }
    if (count > 0) {
        g_autofree char *token = token_encode(context->token_keys, session, count);
        add_header(response, "Swiftworks-Session", token);
    }
    g_free(session);
}

static const struct group_position *position_of_group(const struct reply *reply, uint32_t group)
{
    for (size_t i = 0; i < reply->session_count; i++) {
        if (reply->session[i].group == group) {
            return &reply->session[i];
        }
    }
    return NULL;
}

static void append_part(GString *text, const char *name, const char *value)
{
    if (value == NULL || value[0] == '\0') {
        return;
    }
    if (text->len > 0) {
        g_string_append(text, "; ");
    }
    g_string_append_printf(text, "%s=%s", name, value);
}

static void add_served_by(struct MHD_Response *response, const struct reply *reply,
                          const struct reply_context *context)
{
    g_autoptr(GString) text = g_string_new(NULL);
    append_part(text, "daemon", reply->served_by_daemon);
    append_part(text, "database", reply->served_by_database);
    append_part(text, "role", reply->served_by_role);
    const struct group_position *position = position_of_group(reply, context->group);
    if (position != NULL && text->len > 0) {
        g_string_append_printf(text, "; term=%" G_GUINT64_FORMAT "; offset=%" G_GUINT64_FORMAT,
                               position->term, position->offset);
    }
    if (text->len > 0) {
        add_header(response, "Swiftworks-Served-By", text->str);
    }
}

static void add_retry(struct MHD_Response *response, const struct reply *reply,
                      const struct reply_shape *shape)
{
    if (reply_retry(reply, shape) == ERROR_RETRY_NO) {
        return;
    }
    uint32_t after_ms = reply->retry_after_ms > 0 ? reply->retry_after_ms : RETRY_AFTER_DEFAULT_MS;
    uint32_t after_s = after_ms / MILLISECONDS_PER_SECOND;
    if (after_ms % MILLISECONDS_PER_SECOND != 0) {
        after_s++;
    }
    g_autofree char *seconds = g_strdup_printf("%u", after_s);
    g_autofree char *milliseconds = g_strdup_printf("%u", after_ms);
    add_header(response, "Retry-After", seconds);
    add_header(response, "Retry-After-Ms", milliseconds);
}

void reply_headers_add(struct MHD_Response *response, const struct reply *reply,
                       const struct reply_shape *shape, const struct reply_context *context)
{
    add_header(response, "Content-Type", "application/json");
    add_header(response, "Request-Id", context->request_id);
    add_header(response, "Swiftworks-Outcome", outcome_name(reply->outcome));
    add_session(response, reply, context);
    add_served_by(response, reply, context);
    if (context->reason_name != NULL && reply->reason != 0) {
        add_header(response, "Swiftworks-Reason", context->reason_name(reply->reason));
    }
    add_retry(response, reply, shape);
    if (reply->replayed) {
        add_header(response, "Swiftworks-Replayed", "true");
    }
    if (context->closes) {
        add_header(response, "Connection", "close");
    }
}
