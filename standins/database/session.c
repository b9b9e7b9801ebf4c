/* A connection's input and output, startup and message loop. See session.h. */
#include "session.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "control.h"

#define PROTOCOL_VERSION_3  196608
#define CODE_CANCEL_REQUEST 80877102
#define CODE_SSL_REQUEST    80877103
#define CODE_GSSENC_REQUEST 80877104
#define MESSAGE_LENGTH_MAX  (64u << 20)
#define READ_CHUNK          16384

/* The interval at which a wait for input checks the idle time limit and the faults. */
#define POLL_SLICE_MS    50
#define BLOCKED_PAUSE_US 2000

static void prepared_free(void *data)
{
    struct prepared *prepared = data;
    statement_free(prepared->statement);
    g_array_unref(prepared->oids);
    g_free(prepared);
}

static void portal_free(void *data)
{
    struct portal *portal = data;
    statement_free(portal->statement);
    parameters_free(portal->parameters);
    g_free(portal);
}

struct session *session_new(struct server *server, int socket)
{
    struct session *session = g_new0(struct session, 1);
    session->server = server;
    session->interrupt.socket = socket;
    session->secret = g_random_int();
    session->idle_transaction_ms = server->options.idle_transaction_ms;
    session->in = g_byte_array_new();
    session->out = g_byte_array_new();
    session->transaction.interrupt = &session->interrupt;
    session->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
    session->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, portal_free);
    return session;
}

void session_free(struct session *session)
{
    g_hash_table_unref(session->prepared);
    g_hash_table_unref(session->portals);
    g_byte_array_unref(session->in);
    g_byte_array_unref(session->out);
    g_free(session->zone);
    g_free(session);
}

/* True if the client is known to be in another zone than the database. */
static bool is_remote(const struct session *session)
{
    return session->zone != NULL && session->zone[0] != '\0' &&
           !g_str_equal(session->zone, session->server->options.zone);
}

/* Sleeps for the network delay between zones. */
static void delay_between_zones(struct session *session)
{
    if (is_remote(session)) {
        interrupt_sleep(&session->interrupt, session->server->options.zone_delay_us);
    }
}

static void send_all(struct session *session, const guint8 *data, size_t length)
{
    size_t sent = 0;
    while (sent < length) {
        ssize_t count = send(session->interrupt.socket, data + sent, length - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            session->closing = true;
            return;
        }
        sent += (size_t)count;
    }
}

/* Sends the first `length` bytes of `out`, after the zone delay and once no fault blocks the zone.
 */
static void send_answer(struct session *session, size_t length)
{
    delay_between_zones(session);
    faults_wait(&session->server->faults, session->zone, &session->interrupt);
    send_all(session, session->out->data, length);
}

void session_flush(struct session *session)
{
    switch (session->answer_fault) {
    case ANSWER_FAULT_DROP:
    case ANSWER_FAULT_CLOSE:
        g_byte_array_set_size(session->out, 0);
        return;
    case ANSWER_FAULT_TRUNCATE:
        return;
    default:
        break;
    }
    if (session->out->len > 0) {
        send_answer(session, session->out->len);
        g_byte_array_set_size(session->out, 0);
    }
}

/* The time at which the open transaction will have been idle for too long; G_MAXINT64 if none is
 * open. */
static int64_t idle_deadline(const struct session *session)
{
    const struct transaction *transaction = &session->transaction;
    int64_t limit_ms =
        transaction->idle_ms > 0 ? transaction->idle_ms : session->idle_transaction_ms;
    bool limited = transaction->state != TRANSACTION_IDLE && limit_ms > 0;
    return limited ? g_get_monotonic_time() + limit_ms * 1000 : G_MAXINT64;
}

/* True if an open transaction must be ended, because of its idle time or by a fault. */
static bool is_idle_too_long(struct session *session, int64_t deadline)
{
    bool open = session->transaction.state != TRANSACTION_IDLE;
    return open && (g_get_monotonic_time() >= deadline ||
                    faults_end_idle_transactions(&session->server->faults));
}

/* How long one poll may take: without limit when no transaction is open, else until the deadline or
 * the next check. */
static int wait_slice_ms(const struct session *session, int64_t deadline)
{
    if (session->transaction.state == TRANSACTION_IDLE) {
        return -1;
    }
    int64_t left_ms = (deadline - g_get_monotonic_time()) / 1000 + 1;
    return (int)CLAMP(left_ms, 0, POLL_SLICE_MS);
}

/* Waits for input that no fault blocks. Returns false if an open transaction was idle for too long.
 */
static bool wait_readable(struct session *session)
{
    int64_t deadline = idle_deadline(session);
    struct pollfd watch = {.fd = session->interrupt.socket, .events = POLLIN};
    while (!is_idle_too_long(session, deadline)) {
        bool ready = poll(&watch, 1, wait_slice_ms(session, deadline)) > 0;
        if (ready && !faults_blocks(&session->server->faults, session->zone)) {
            return true;
        }
        if (ready && atomic_load(&session->interrupt.stopping)) {
            return true;
        }
        if (ready) {
            g_usleep(BLOCKED_PAUSE_US);
        }
    }
    return false;
}

/* Discards all input until the client closes the connection. */
static void discard_input(struct session *session)
{
    char ignored[READ_CHUNK];
    while (wait_readable(session) &&
           recv(session->interrupt.socket, ignored, sizeof ignored, 0) > 0) {
    }
}

static void apply_answer_fault(struct session *session)
{
    if (session->answer_fault == ANSWER_FAULT_DROP) {
        discard_input(session);
    }
    if (session->answer_fault == ANSWER_FAULT_TRUNCATE) {
        send_answer(session, session->out->len / 2);
    }
    session->closing = true;
}

void session_ready(struct session *session)
{
    char status = 'I';
    if (session->transaction.state == TRANSACTION_OPEN) {
        status = 'T';
    } else if (session->transaction.state == TRANSACTION_FAILED) {
        status = 'E';
    }
    atomic_store(&session->interrupt.cancelled, false);
    message_ready(session->out, status);
    session_flush(session);
    if (session->answer_fault != ANSWER_FAULT_NONE) {
        apply_answer_fault(session);
    }
}

static void end_idle_transaction(struct session *session)
{
    struct sql_error error = {0};
    database_rollback(session->server->database, &session->transaction);
    sql_error_set(&error, "25P03", "terminating connection due to idle-in-transaction timeout");
    message_error(session->out, "FATAL", &error);
    sql_error_clear(&error);
    session_flush(session);
}

static bool read_more(struct session *session)
{
    if (session->in_start > 0) {
        g_byte_array_remove_range(session->in, 0, session->in_start);
        session->in_start = 0;
    }
    if (!wait_readable(session)) {
        end_idle_transaction(session);
        return false;
    }
    guint8 chunk[READ_CHUNK];
    ssize_t count = recv(session->interrupt.socket, chunk, sizeof chunk, 0);
    if (!session->is_replica) {
        delay_between_zones(session); /* a replica's pull stands for a replication stream, which
                                         sends no requests */
    }
    if (count <= 0) {
        return count < 0 && errno == EINTR;
    }
    g_byte_array_append(session->in, chunk, (guint)count);
    return true;
}

/* Reads until `length` bytes are buffered. False at the end of the connection. */
static bool fill_input(struct session *session, size_t length)
{
    while (session->in->len - session->in_start < length) {
        if (session->closing || !read_more(session)) {
            return false;
        }
    }
    return true;
}

bool session_read_message(struct session *session, bool typed, char *type,
                          struct message_reader *reader)
{
    size_t prefix = typed ? 1 : 0;
    if (!fill_input(session, prefix + 4)) {
        return false;
    }
    guint8 *start = session->in->data + session->in_start;
    struct message_reader head = {.data = start + prefix, .length = 4};
    guint32 length = message_read_int32(&head);
    if (length < 4 || length > MESSAGE_LENGTH_MAX || !fill_input(session, prefix + length)) {
        return false;
    }
    start = session->in->data + session->in_start;
    *type = typed ? (char)start[0] : '\0';
    memset(reader, 0, sizeof *reader);
    reader->data = start + prefix + 4;
    reader->length = length - 4;
    session->in_start += (guint)(prefix + length);
    return true;
}

/* Reads the one supported parameter from options of the form "-c NAME=VALUE". */
static void read_options(struct session *session, const char *options)
{
    const char *found = strstr(options, IDLE_TRANSACTION_PARAMETER "=");
    if (found != NULL) {
        const char *number = found + strlen(IDLE_TRANSACTION_PARAMETER "=");
        session->idle_transaction_ms = g_ascii_strtoll(number, NULL, 10);
    }
}

/* Reads the client's startup parameters: the zone, from an application_name such as
 * "swiftworks/NAME@ZONE", and the options. */
static void read_client(struct session *session, struct message_reader *reader)
{
    g_autofree char *application = g_strdup("");
    while (!reader->malformed && reader->offset < reader->length) {
        const char *name = message_read_string(reader);
        if (name[0] == '\0') {
            break;
        }
        const char *value = message_read_string(reader);
        if (g_str_equal(name, "application_name")) {
            g_free(application);
            application = g_strdup(value);
        } else if (g_str_equal(name, "options")) {
            read_options(session, value);
        }
    }
    const char *at = strrchr(application, '@');
    session->zone = g_strdup(at != NULL ? at + 1 : "");
    session->is_replica = g_str_has_prefix(application, REPLICATION_CLIENT_PREFIX);
}

static bool reject_connection(struct session *session)
{
    struct sql_error error = {0};
    sql_error_set(&error, "53300", "sorry, too many clients already");
    message_error(session->out, "FATAL", &error);
    sql_error_clear(&error);
    session_flush(session);
    return false;
}

static void send_startup_reply(struct session *session)
{
    static const char *const PARAMETERS[][2] = {
        {"server_version", "15.0"},
        {"server_encoding", "UTF8"},
        {"client_encoding", "UTF8"},
        {"DateStyle", "ISO, MDY"},
        {"TimeZone", "UTC"},
        {"integer_datetimes", "on"},
        {"standard_conforming_strings", "on"},
    };
    message_authentication_ok(session->out);
    for (size_t i = 0; i < G_N_ELEMENTS(PARAMETERS); i++) {
        message_parameter_status(session->out, PARAMETERS[i][0], PARAMETERS[i][1]);
    }
    message_parameter_status(session->out, ZONE_PARAMETER, session->server->options.zone);
    message_backend_key(session->out, session->process, session->secret);
    session_ready(session);
}

/* Reads messages until the startup message. Returns false if there is none. */
static bool read_startup(struct session *session, struct message_reader *reader)
{
    char type = '\0';
    while (session_read_message(session, false, &type, reader)) {
        guint32 code = message_read_int32(reader);
        if (code == PROTOCOL_VERSION_3) {
            return true;
        }
        if (code == CODE_CANCEL_REQUEST) {
            guint32 process = message_read_int32(reader);
            server_cancel(session->server, process, message_read_int32(reader));
            return false;
        }
        if (code != CODE_SSL_REQUEST && code != CODE_GSSENC_REQUEST) {
            return false;
        }
        g_byte_array_append(session->out, (const guint8 *)"N", 1);
        session_flush(session);
    }
    return false;
}

bool session_start_up(struct session *session)
{
    struct message_reader reader;
    if (!read_startup(session, &reader)) {
        return false;
    }
    read_client(session, &reader);
    bool waited = faults_wait(&session->server->faults, session->zone, &session->interrupt);
    if (waited && interrupt_hung_up(&session->interrupt)) {
        return false;
    }
    if (!session->is_replica && !server_admit(session->server, session)) {
        return reject_connection(session);
    }
    interrupt_sleep(&session->interrupt, session->server->options.open_delay_ms * 1000);
    send_startup_reply(session);
    return true;
}

static void serve_message(struct session *session, char type, struct message_reader *reader)
{
    switch (type) {
    case 'X':
        session->closing = true;
        return;
    case 'Q':
        session_simple_query(session, reader);
        return;
    default:
        session_extended_query(session, type, reader);
    }
}

void session_run(struct session *session)
{
    char type = '\0';
    struct message_reader reader;
    if (session_start_up(session)) {
        while (!session->closing && session_read_message(session, true, &type, &reader)) {
            serve_message(session, type, &reader);
        }
    }
    database_rollback(session->server->database, &session->transaction);
}
