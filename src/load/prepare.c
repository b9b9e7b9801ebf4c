/* Creates the tables of the load. See prepare.h. */
#include "load/prepare.h"

#include "core/error.h"
#include "core/types.h"

/* Pause between two attempts while the deployment starts. */
#define ATTEMPT_PAUSE_US 100000UL

/* Builds an operation, with a key of its own, from a schema statement. */
static struct operation *schema_operation(const struct runner_options *options, uint64_t number)
{
    struct operation *operation = g_new0(struct operation, 1);
    operation->number = number;
    operation->kind = OPERATION_ENTRY;
    operation->key = g_strdup_printf("%s-schema-%" G_GUINT64_FORMAT, options->workload.run, number);
    operation->statement_count = 1;
    operation->statements[0].sql = OPERATION_SCHEMA[number];
    return operation;
}

static bool run_statement(const struct runner_options *options, struct client *client,
                          struct client_request *request, char **token, GError **error)
{
    uint64_t gives_up_ns =
        clock_now_ns() + options->operation_timeout_ms * NANOSECONDS_PER_MILLISECOND;
    for (;;) {
        struct client_answer answer = {0};
        request->session_token = *token;
        client->call(client, request, &answer);
        if (answer.session_token != NULL) {
            g_free(*token);
            *token = g_steal_pointer(&answer.session_token);
        }
        bool done = answer.outcome == ATTEMPT_DONE;
        bool again =
            retry_decide(OPERATION_ENTRY, true, answer.outcome, answer.retry) != RETRY_ACTION_STOP;
        if (!done && (!again || clock_now_ns() >= gives_up_ns)) {
            g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL, "creating the tables failed: %s: %s",
                        attempt_outcome_name(answer.outcome),
                        answer.text != NULL ? answer.text : "no error text");
            client_answer_clear(&answer);
            return false;
        }
        client_answer_clear(&answer);
        if (done) {
            return true;
        }
        g_usleep(ATTEMPT_PAUSE_US);
    }
}

static bool prepare_tenant(const struct runner_options *options, struct client *client,
                           const char *tenant, char **token, GError **error)
{
    for (size_t i = 0; i < OPERATION_SCHEMA_COUNT; i++) {
        struct operation *operation = schema_operation(options, i);
        struct client_request request = {
            .address = options->addresses[0],
            .tenant = tenant,
            .operation = operation,
            .timeout_ms = options->timeout_ms,
        };
        bool done = run_statement(options, client, &request, token, error);
        operation_free(operation);
        if (!done) {
            return false;
        }
    }
    return true;
}

bool prepare_tables(const struct runner_options *options, char **token, GError **error)
{
    struct client *client = options->client_new();
    bool done = true;
    *token = NULL;
    for (guint i = 0; done && options->tenants[i] != NULL; i++) {
        done = prepare_tenant(options, client, options->tenants[i], token, error);
    }
    client->free(client);
    return done;
}
