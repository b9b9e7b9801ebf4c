/* Advisory locks on connection numbers, see core/budget.h. */
#include "backend/adapter.h"
#include "backend/adapter_internal.h"
#include "core/error.h"
#include "generated/errors.h"

/* First key of the advisory locks, which keeps them apart from the locks of other programs. The
 * second key is the number. */
#define LOCK_SPACE 0x73777770

#define SQL_TAKE_NUMBER "SELECT pg_try_advisory_lock($1, $2)"

/* Maps the reply to a result. */
static enum number_result parse_lock_reply(const struct query_reply *reply, GError **error)
{
    const struct sql_result *result = &reply->result;
    bool row = reply->status == QUERY_STATUS_DONE && result->rows_count == 1 &&
               result->rows[0].cells_count == 1;
    if (!row) {
        g_set_error(error, SW_ERROR, ERROR_KIND_OVERLOADED, "connection number not locked: %s",
                    reply->error_text != NULL ? reply->error_text : "unexpected answer");
        return NUMBER_FAILED;
    }
    return g_strcmp0(result->rows[0].cells[0].text, "t") == 0 ? NUMBER_HELD : NUMBER_TAKEN;
}

enum number_result adapter_take_number(struct backend_connection *connection, uint32_t number,
                                       time_ns deadline, GError **error)
{
    char space_text[NUMBER_TEXT_SIZE];
    char number_text[NUMBER_TEXT_SIZE];
    g_snprintf(space_text, sizeof space_text, "%d", LOCK_SPACE);
    g_snprintf(number_text, sizeof number_text, "%u", number);
    const struct sql_value parameters[] = {{.text = space_text}, {.text = number_text}};
    struct query_reply reply;
    enum number_result result = NUMBER_FAILED;
    pipeline_send(connection, SQL_TAKE_NUMBER, parameters, G_N_ELEMENTS(parameters));
    if (pipeline_finish(connection, deadline, NULL, &reply, 1) == PIPELINE_COMPLETE) {
        result = parse_lock_reply(&reply, error);
    } else {
        g_set_error(error, SW_ERROR, ERROR_KIND_OVERLOADED,
                    "connection number not locked: no complete answer");
    }
    pipeline_replies_clear(&reply, 1);
    return result;
}
