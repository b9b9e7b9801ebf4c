#include "frontend/request_head.h"

#include "core/error.h"
#include "generated/errors.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>

#define GENERATED_ID_BYTES 8

static bool set_head_error(GError **error, const char *header, const char *reason)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "%s %s", header, reason);
    return false;
}

/* Called by libmicrohttpd for each header. */
static enum MHD_Result collect_header(void *user, enum MHD_ValueKind kind, const char *name,
                                      const char *value)
{
    struct request_head *head = user;
    struct {
        const char *name;
        const char **value;
    } const slots[] = {
        {HEADER_IDEMPOTENCY_KEY, &head->idempotency_key},
        {HEADER_SESSION, &head->session},
        {HEADER_TIMEOUT, &head->timeout},
        {HEADER_REQUEST_ID, &head->request_id},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(slots); i++) {
        if (strcasecmp(name, slots[i].name) != 0) {
            continue;
        }
        if (*slots[i].value != NULL) {
            head->repeated = slots[i].name;
        }
        *slots[i].value = value == NULL ? "" : value;
    }
    return MHD_YES;
}

void request_head_collect(struct MHD_Connection *connection, struct request_head *head)
{
    memset(head, 0, sizeof(*head));
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_header, head);
}

static bool is_request_id(const char *text)
{
    size_t length = strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                 "0123456789._-");
    return length > 0 && length <= REQUEST_ID_MAX && text[length] == '\0';
}

static char *random_request_id(void)
{
    uint8_t bytes[GENERATED_ID_BYTES];
    randombytes_buf(bytes, sizeof(bytes));
    char *text = g_malloc(2 * sizeof(bytes) + 1);
    sodium_bin2hex(text, 2 * sizeof(bytes) + 1, bytes, sizeof(bytes));
    return text;
}

char *request_head_id(const struct request_head *head)
{
    if (head->request_id != NULL && is_request_id(head->request_id)) {
        return g_strdup(head->request_id);
    }
    return random_request_id();
}

static bool is_printable_ascii(const char *text)
{
    for (const char *next = text; *next != '\0'; next++) {
        if (!g_ascii_isprint(*next)) {
            return false;
        }
    }
    return true;
}

static bool parse_key(const char *text, struct request *request, GError **error)
{
    size_t length = strlen(text);
    if (length == 0 || length > IDEMPOTENCY_KEY_MAX || !is_printable_ascii(text)) {
        return set_head_error(error, HEADER_IDEMPOTENCY_KEY,
                              "is not 1 to 128 printable ASCII characters");
    }
    request->idempotency_key = g_strdup(text);
    return true;
}

/* Reduces a time-out longer than `timeout_ms_max` to that limit. */
static bool parse_timeout(const char *text, uint32_t timeout_ms_max, struct request *request,
                          GError **error)
{
    guint64 timeout = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT32, &timeout, NULL)) {
        return set_head_error(error, HEADER_TIMEOUT, "is not a number from 1 to 4294967295");
    }
    request->budget_ms = (uint32_t)MIN(timeout, timeout_ms_max);
    return true;
}

bool request_head_parse(const struct request_head *head, const struct token_keys *keys,
                        uint32_t timeout_ms, uint32_t timeout_ms_max, struct request *request,
                        GError **error)
{
    if (head->repeated != NULL) {
        return set_head_error(error, head->repeated, "is given more than once");
    }
    if (head->request_id != NULL && !is_request_id(head->request_id)) {
        return set_head_error(error, HEADER_REQUEST_ID,
                              "is not 1 to 64 letters, digits, dots, hyphens or underscores");
    }
    if (head->idempotency_key != NULL && !parse_key(head->idempotency_key, request, error)) {
        return false;
    }
    request->budget_ms = timeout_ms;
    if (head->timeout != NULL && !parse_timeout(head->timeout, timeout_ms_max, request, error)) {
        return false;
    }
    return head->session == NULL ||
           token_decode(keys, head->session, &request->session, &request->session_count, error);
}
