/* Tests of the line protocol of clients and databases: all statements, and malformed input. */
#include "pooler/shared/wire.h"

#include <glib.h>

static struct client_message
read_text(const char *text)
{
    struct client_message message;
    wire_read_client(span_of(text), &message);
    return message;
}

static void
assert_span(struct span span, const char *text)
{
    g_autofree char *copy = span_copy(span);
    g_assert_cmpstr(copy, ==, text);
}

static void
test_start(void)
{
    struct client_message message = read_text("STARTUP lepu270 u3f1\r\n");
    g_assert_cmpint(message.kind, ==, CLIENT_MESSAGE_START);
    assert_span(message.database, "lepu270");
    assert_span(message.key, "u3f1");
}

static void
test_statements(void)
{
    static const struct {
        const char *line;
        enum statement_kind kind;
    } cases[] = {
        {"QUERY i1 BEGIN\r\n", STATEMENT_BEGIN},
        {"QUERY i1 BEGIN READ\r\n", STATEMENT_BEGIN_READ},
        {"QUERY i1 COMMIT\r\n", STATEMENT_COMMIT},
        {"QUERY i1 ROLLBACK\r\n", STATEMENT_ROLLBACK},
        {"QUERY i1 READ 1a4\r\n", STATEMENT_READ},
        {"QUERY i1 WRITE 1a4 data with blanks\r\n", STATEMENT_WRITE},
        {"QUERY i1 SET name value\r\n", STATEMENT_SET},
        {"QUERY i1 PREPARE s1 WRITE q2c\r\n", STATEMENT_PREPARE},
        {"QUERY i1 EXECUTE s1 1a4 data\r\n", STATEMENT_EXECUTE},
        {"QUERY i1 DEALLOCATE s1\r\n", STATEMENT_DEALLOCATE},
        {"QUERY i1 BEGIN LATER\r\n", STATEMENT_MALFORMED},
        {"QUERY i1 COMMIT now\r\n", STATEMENT_MALFORMED},
        {"QUERY i1 PREPARE s1 CHANGE q2c\r\n", STATEMENT_MALFORMED},
        {"QUERY i1 STATUS\r\n", STATEMENT_MALFORMED},
        {"QUERY i1 PAUSE 9\r\n", STATEMENT_MALFORMED},
        {"QUERY i1 AFTER 3.4 READ 1a4\r\n", STATEMENT_MALFORMED},
        {"QUERY i1 \r\n", STATEMENT_MALFORMED},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct client_message message = read_text(cases[i].line);
        g_assert_cmpint(message.kind, ==, CLIENT_MESSAGE_STATEMENT);
        g_assert_cmpint(message.statement.kind, ==, cases[i].kind);
        assert_span(message.statement.id, "i1");
    }
}

static void
test_statement_parts(void)
{
    struct client_message message = read_text("QUERY i1 EXECUTE s1 1a4 some data\r\n");
    assert_span(message.statement.name, "s1");
    assert_span(message.statement.value, "1a4 some data");
    assert_span(message.statement.text, "EXECUTE s1 1a4 some data");
    message = read_text("QUERY i1 PREPARE s1 WRITE q2c\r\n");
    g_assert_true(message.statement.writes);
    assert_span(message.statement.value, "q2c");
}

/* A client may not use the id of the pooler's own statements. */
static void
test_malformed(void)
{
    g_assert_cmpint(read_text("\r\n").kind, ==, CLIENT_MESSAGE_MALFORMED);
    g_assert_cmpint(read_text("HELLO there\r\n").kind, ==, CLIENT_MESSAGE_MALFORMED);
    g_assert_cmpint(read_text("QUERY - READ x\r\n").kind, ==, CLIENT_MESSAGE_MALFORMED);
    g_assert_cmpint(read_text("QUERY\r\n").kind, ==, CLIENT_MESSAGE_MALFORMED);
    g_assert_cmpint(read_text("STARTUP\r\n").kind, ==, CLIENT_MESSAGE_MALFORMED);
}

static struct database_reply
read_reply(const char *text)
{
    struct database_reply reply;
    wire_read_reply(span_of(text), &reply);
    return reply;
}

static void
test_replies(void)
{
    struct database_reply reply = read_reply("READY T 3.1209\r\n");
    g_assert_cmpint(reply.kind, ==, REPLY_READY);
    g_assert_cmpint(reply.state, ==, TRANSACTION_STATE_OPEN);
    g_assert_true(reply.has_position);
    g_assert_cmpuint(reply.position.term, ==, 3);
    g_assert_cmpuint(reply.position.offset, ==, 1209);
    g_assert_false(read_reply("READY I -\r\n").has_position);
    g_assert_cmpint(read_reply("ERROR LAGGING i-1\r\n").code, ==, ANSWER_LAGGING);
    g_assert_cmpint(read_reply("ERROR NEWCODE text\r\n").code, ==, ANSWER_OTHER);
    g_assert_false(answer_meaning(ANSWER_OTHER)->not_run);
    g_assert_cmpint(read_reply("READY X 1.1\r\n").kind, ==, REPLY_MALFORMED);
    assert_span(read_reply("COMPLETE 7.1f3.c\r\n").content, "7.1f3.c");
}

static void
test_report(void)
{
    struct database_report report;
    g_assert_true(wire_read_report(span_of("replica 3 3.1209 4 12 2 17"), &report));
    g_assert_false(report.leads);
    g_assert_cmpuint(report.term, ==, 3);
    g_assert_cmpuint(report.received.offset, ==, 1209);
    g_assert_cmpuint(report.paused_term, ==, 4);
    g_assert_cmpuint(report.lag_ms, ==, 12);
    g_assert_false(wire_read_report(span_of("witness 3 3.1209 4 12 2 17"), &report));
    g_assert_false(wire_read_report(span_of("replica 3"), &report));
}

static void
test_message_length(void)
{
    g_assert_cmpuint(wire_message_length(span_of("READY I")), ==, 0);
    g_assert_cmpuint(wire_message_length(span_of("READY I -\r\nROW")), ==, 11);
}

static void
assert_written(struct buffer *buffer, const char *text)
{
    assert_span(buffer_content(buffer), text);
    buffer_clear(buffer);
}

static void
test_writing(void)
{
    struct buffer out = {0};
    struct log_position position = {3, 7};
    wire_write_statement(&out, span_of("i1"), &position, span_of("READ x"));
    assert_written(&out, "QUERY i1 AFTER 3.7 READ x\r\n");
    wire_write_execute(&out, span_of("i1"), NULL, "p4", span_of("x data"));
    assert_written(&out, "QUERY i1 EXECUTE p4 x data\r\n");
    wire_write_begin(&out, true, &position);
    assert_written(&out, "QUERY - AFTER 3.7 BEGIN READ\r\n");
    wire_write_ready(&out, TRANSACTION_STATE_FAILED, NULL);
    assert_written(&out, "READY E -\r\n");
    wire_write_error(&out, ANSWER_IN_DOUBT, "why");
    assert_written(&out, "ERROR INDOUBT why\r\n");
}

/* Every answer code to clients has a name and is decoded to the same code. */
static void
test_codes_round_trip(void)
{
    for (int code = ANSWER_NONE + 1; code < ANSWER_OTHER; code++) {
        struct buffer out = {0};
        struct database_reply reply;
        wire_write_error(&out, (enum answer_code)code, "text");
        wire_read_reply(buffer_content(&out), &reply);
        g_assert_cmpint(reply.code, ==, code);
        buffer_clear(&out);
    }
}

/* Number of random changes of valid messages, and of messages of random bytes. */
#define CORRUPT_MESSAGES 20000

static void
assert_within(struct span part, struct span whole)
{
    if (part.length > 0) {
        g_assert_true(part.data >= whole.data);
        g_assert_true(part.data + part.length <= whole.data + whole.length);
    }
}

/* Whatever the bytes, reading ends, and what was read lies within them. A message that was
 * understood holds none of the bytes that another reader could take for its end. */
static void
read_any(struct span bytes)
{
    struct client_message message;
    struct database_reply reply;
    struct database_report report;
    size_t length = wire_message_length(bytes);
    g_assert_cmpuint(length, <=, bytes.length);
    wire_read_client((struct span){bytes.data, length}, &message);
    if (message.kind == CLIENT_MESSAGE_STATEMENT) {
        assert_within(message.statement.id, bytes);
        assert_within(message.statement.text, bytes);
        assert_within(message.statement.name, bytes);
        assert_within(message.statement.value, bytes);
        for (size_t i = 0; i + 2 < length; i++) {
            g_assert_null(memchr("\r\n\0", bytes.data[i], 3));
        }
    }
    wire_read_reply((struct span){bytes.data, length}, &reply);
    assert_within(reply.content, bytes);
    wire_read_report(reply.content, &report);
}

static void
test_random_bytes(void)
{
    static const char *const valid[] = {
        "STARTUP lepu270 u3f1\r\n",
        "QUERY 5c0e WRITE 1a4 xkqpwnzd\r\n",
        "QUERY 5c0e PREPARE s1 WRITE q2c\r\nQUERY 5c0f EXECUTE s1 1a4 data\r\n",
        "QUERY 5c0e SET name value\r\n",
        "ROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n",
        "ERROR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n",
    };
    static const char likely[] = "\r\n\0 -.IT9A";
    for (unsigned i = 0; i < CORRUPT_MESSAGES; i++) {
        const char *from = valid[i % G_N_ELEMENTS(valid)];
        size_t length = strlen(from);
        g_autofree char *bytes = g_memdup2(from, length);
        gint32 changes = i % 7 == 0 ? (gint32)length : g_test_rand_int_range(1, 5);
        for (gint32 change = 0; change < changes; change++) {
            gint32 place = g_test_rand_int_range(0, (gint32)length);
            bool any = g_test_rand_int_range(0, 2) == 0;
            bytes[place] = any ? (char)g_test_rand_int_range(0, 256)
                               : likely[g_test_rand_int_range(0, (gint32)sizeof likely - 1)];
        }
        size_t kept = (size_t)g_test_rand_int_range(0, (gint32)length + 1);
        g_autofree char *exact = g_memdup2(bytes, kept); /* bounds are checked by sanitizers */
        read_any((struct span){exact == NULL ? "" : exact, kept});
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/line/start", test_start);
    g_test_add_func("/platform/line/statements", test_statements);
    g_test_add_func("/platform/line/statement-parts", test_statement_parts);
    g_test_add_func("/platform/line/malformed", test_malformed);
    g_test_add_func("/platform/line/replies", test_replies);
    g_test_add_func("/platform/line/report", test_report);
    g_test_add_func("/platform/line/length", test_message_length);
    g_test_add_func("/platform/line/writing", test_writing);
    g_test_add_func("/platform/line/codes", test_codes_round_trip);
    g_test_add_func("/platform/line/random-bytes", test_random_bytes);
    return g_test_run();
}
