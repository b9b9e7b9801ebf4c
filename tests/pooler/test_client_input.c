/**
 * @file
 * @brief Bytes that clients may send: empty fields, control characters, bytes that are no text, and
 * fields of the largest size. Each input is sent to a worker that serves the statement itself and
 * to one that forwards it to an owner. It is executed as it was sent, or rejected and not executed.
 */
#include "pooler/shared/wire.h"
#include "worker_fixture.h"

#include <string.h>
#include <sys/socket.h>

/** @brief One input and what becomes of it. */
typedef struct input {
    const char *name;
    const char *text; /* sent as the text of a statement */
    size_t length;
    const char *code;   /* expected error; NULL: success */
    const char *values; /* the session's values when the next read runs; NULL: none */
} input_t;

#define INPUT(name, text, code, values)                                                            \
    {                                                                                              \
        name, text, sizeof(text) - 1, code, values                                                 \
    }

static const input_t inputs[] = {
    INPUT("empty-value", "SET colour ", NULL, "colour=;"),
    INPUT("missing-value", "SET colour", NULL, "colour=;"),
    INPUT("blank-value", "SET colour  ", NULL, "colour= ;"),
    INPUT("missing-name", "SET", "MALFORMED", NULL),
    INPUT("empty-name", "SET  value", "MALFORMED", NULL),
    INPUT("utf8-value", "SET colour gr\xc3\xbcn", NULL, "colour=gr\xc3\xbcn;"),
    INPUT("no-utf8-value", "SET colour \xff", "MALFORMED", NULL),
    INPUT("no-utf8-name", "SET \xff value", "MALFORMED", NULL),
    INPUT("lf-in-value", "SET colour one\nQUERY b SET colour two", "MALFORMED", NULL),
    INPUT("lf-in-data", "WRITE thing one\nQUERY b WRITE other two", "MALFORMED", NULL),
    INPUT("cr-in-data", "WRITE thing one\rtwo", "MALFORMED", NULL),
    INPUT("cr-at-the-end", "WRITE thing one\r", "MALFORMED", NULL),
    INPUT("nul-in-data", "WRITE thing one\0two", "MALFORMED", NULL),
    INPUT("nul-in-thing", "READ thing\0", "MALFORMED", NULL),
    INPUT("empty-data", "WRITE thing ", NULL, NULL),
    INPUT("no-utf8-data", "WRITE thing \xff\xfe", NULL, NULL),
    INPUT("empty-thing", "READ ", "MALFORMED", NULL),
    INPUT("missing-thing", "READ", "MALFORMED", NULL),
    INPUT("empty-text", "", "MALFORMED", NULL),
    INPUT("unknown-prepared", "EXECUTE nothing thing", "NOSTMT", NULL),
    INPUT("empty-prepared", "EXECUTE  thing", "MALFORMED", NULL),
    INPUT("empty-shape", "PREPARE s1 READ ", "MALFORMED", NULL),
    INPUT("empty-deallocate", "DEALLOCATE ", "MALFORMED", NULL),
};

static void
send_bytes(const struct client *client, const void *data, size_t length)
{
    const char *next = data;
    while (length > 0) {
        ssize_t sent = send(fileno(client->stream), next, length, MSG_NOSIGNAL);
        g_assert_cmpint(sent, >, 0);
        next += sent;
        length -= (size_t)sent;
    }
}

static void
execute_bytes(struct client *client, const char *text, size_t length)
{
    g_autoptr(GString) message = g_string_new("QUERY input ");
    g_string_append_len(message, text, (gssize)length);
    g_string_append(message, "\r\n");
    send_bytes(client, message->str, message->len);
    client_read(client);
}

/* The statements that databases ran for clients, apart from reads of "marker". */
static unsigned
count_other_runs(struct fixture *fixture)
{
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    unsigned count = 0;
    for (guint i = 0; i < runs->len; i++) {
        const struct line_run *run = g_ptr_array_index(runs, i);
        count += strcmp(run->id, "-") != 0 && strcmp(run->text, "READ marker") != 0;
    }
    return count;
}

static void
assert_values(struct fixture *fixture, const char *values)
{
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpstr(find_run(runs, "READ marker")->values, ==, values == NULL ? "" : values);
}

static void
test_input(struct fixture *fixture, gconstpointer data)
{
    const input_t *input = data;
    struct client *other = client_open(fixture, "strict");
    expect_success(other, "SET colour one", 'I');
    expect_success(other, "READ marker", 'I'); /* the connection holds a value of that name */
    client_close(other);
    struct client *client = client_open(fixture, "strict");
    unsigned before = count_other_runs(fixture);
    execute_bytes(client, input->text, input->length);
    if (input->code != NULL) {
        g_autofree char *prefix = g_strdup_printf("ERROR %s", input->code);
        g_assert_true(g_str_has_prefix(client->result, prefix));
        g_assert_cmpuint(count_other_runs(fixture), ==, before);
    } else {
        g_assert_true(g_str_has_prefix(client->result, "COMPLETE"));
    }
    g_assert_true(client->state == 'I');
    expect_success(client, "READ marker", 'I');
    assert_values(fixture, input->values);
    client_close(client);
}

/* The values of a session are as large as its limit allows, and reach the database. One more is
 * rejected, and the session goes on with those that it has. */
static void
test_largest_values(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    g_autofree char *value = g_strnfill(WIRE_MESSAGE_MAX / 4, 'v');
    unsigned taken = 0;
    for (unsigned i = 0; i < 8; i++) {
        g_autofree char *text = g_strdup_printf("SET name%u %s", i, value);
        execute_bytes(client, text, strlen(text));
        bool complete = g_str_has_prefix(client->result, "COMPLETE");
        g_assert_true(complete || g_str_has_prefix(client->result, "ERROR TOOLARGE"));
        taken += complete;
    }
    g_assert_cmpuint(taken, ==, 3);
    expect_success(client, "READ marker", 'I');
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    const struct line_run *run = find_run(runs, "READ marker");
    g_assert_cmpuint(strlen(run->values), ==, 3 * (strlen("name0=;") + strlen(value)));
    client_close(client);
}

/* The same for many small ones: a session has a limited number of values. */
static void
test_many_values(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    unsigned taken = 0;
    for (unsigned i = 0; i < 5000; i++) {
        g_autofree char *text = g_strdup_printf("SET name%u v", i);
        execute_bytes(client, text, strlen(text));
        taken += g_str_has_prefix(client->result, "COMPLETE");
    }
    g_assert_cmpuint(taken, ==, 4096);
    expect_success(client, "SET name0 other", 'I');
    expect_success(client, "READ marker", 'I');
    client_close(client);
}

/* The same for prepared statements. */
static void
test_largest_prepared(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    g_autofree char *shape = g_strnfill(WIRE_MESSAGE_MAX / 4, 's');
    unsigned taken = 0;
    for (unsigned i = 0; i < 8; i++) {
        g_autofree char *text = g_strdup_printf("PREPARE name%u READ %s", i, shape);
        execute_bytes(client, text, strlen(text));
        taken += g_str_has_prefix(client->result, "COMPLETE");
    }
    g_assert_cmpuint(taken, ==, 3);
    expect_success(client, "DEALLOCATE name0", 'I');
    expect_success(client, "PREPARE name0 READ shape", 'I');
    expect_success(client, "EXECUTE name0 marker", 'I');
    client_close(client);
}

/* A start with bytes that are no text is refused, and the worker serves others. */
static void
test_start(struct fixture *fixture, gconstpointer unused)
{
    static const struct {
        const char *text;
        size_t length;
    } starts[] = {
        {"STARTUP \r\n", 10},
        {"STARTUP\r\n", 9},
        {"STARTUP strict a\nSTARTUP strict b\r\n", 35},
        {"STARTUP strict a\0b\r\n", 20},
        {"STARTUP strict \xff\r\n", 18},
        {"\r\n", 2},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
        struct client *client = client_connect(fixture);
        send_bytes(client, starts[i].text, starts[i].length);
        client_read(client);
        g_assert_true(g_str_has_prefix(client->result, "ERROR "));
        client_close(client);
    }
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "READ marker", 'I');
    client_close(client);
}

/* A database that ends a statement with READY alone gives an error for that statement, and does not
 * end the process. The setup of a session that comes before it is no completion of it. */
static void
test_ready_alone(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "SET colour one", 'I');
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.no_completion = true});
    execute(client, "WRITE thing data");
    g_assert_true(g_str_has_prefix(client->result, "ERROR INDOUBT"));
    execute(client, "READ thing");
    g_assert_true(g_str_has_prefix(client->result, "ERROR "));
    line_group_set_faults(fixture->group, 0, &(struct line_faults){0});
    expect_success(client, "READ marker", 'I');
    client_close(client);
}

static void
add_inputs(const char *mode, void (*set_up_by)(struct fixture *, gconstpointer))
{
    for (size_t i = 0; i < G_N_ELEMENTS(inputs); i++) {
        g_autofree char *path = g_strdup_printf("/pooler/client-input/%s/%s", mode, inputs[i].name);
        g_test_add(path, struct fixture, &inputs[i], set_up_by, test_input, tear_down);
    }
    g_autofree char *largest = g_strdup_printf("/pooler/client-input/%s/largest-values", mode);
    g_test_add(largest, struct fixture, NULL, set_up_by, test_largest_values, tear_down);
    g_autofree char *many = g_strdup_printf("/pooler/client-input/%s/many-values", mode);
    g_test_add(many, struct fixture, NULL, set_up_by, test_many_values, tear_down);
    g_autofree char *prepared = g_strdup_printf("/pooler/client-input/%s/largest-prepared", mode);
    g_test_add(prepared, struct fixture, NULL, set_up_by, test_largest_prepared, tear_down);
    g_autofree char *ready = g_strdup_printf("/pooler/client-input/%s/ready-alone", mode);
    g_test_add(ready, struct fixture, NULL, set_up_by, test_ready_alone, tear_down);
    g_autofree char *start = g_strdup_printf("/pooler/client-input/%s/start", mode);
    g_test_add(start, struct fixture, NULL, set_up_by, test_start, tear_down);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
    add_inputs("direct", set_up);
    add_inputs("forwarded", set_up_forwarding);
    return g_test_run();
}
