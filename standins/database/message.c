/* Messages of PostgreSQL's protocol. See message.h. */
#include "message.h"

#include <arpa/inet.h>
#include <string.h>

static const guint8 *take_bytes(struct message_reader *reader, size_t length)
{
    if (reader->malformed || length > reader->length - reader->offset) {
        reader->malformed = true;
        return NULL;
    }
    const guint8 *data = reader->data + reader->offset;
    reader->offset += length;
    return data;
}

guint32 message_read_int32(struct message_reader *reader)
{
    guint32 value = 0;
    const guint8 *data = take_bytes(reader, sizeof value);
    if (data != NULL) {
        memcpy(&value, data, sizeof value);
    }
    return ntohl(value);
}

guint16 message_read_int16(struct message_reader *reader)
{
    guint16 value = 0;
    const guint8 *data = take_bytes(reader, sizeof value);
    if (data != NULL) {
        memcpy(&value, data, sizeof value);
    }
    return ntohs(value);
}

guint8 message_read_byte(struct message_reader *reader)
{
    const guint8 *data = take_bytes(reader, 1);
    return data != NULL ? *data : 0;
}

const char *message_read_string(struct message_reader *reader)
{
    const guint8 *start = reader->data + reader->offset;
    const guint8 *end = memchr(start, '\0', reader->length - reader->offset);
    if (reader->malformed || end == NULL) {
        reader->malformed = true;
        return "";
    }
    reader->offset += (size_t)(end - start) + 1;
    return (const char *)start;
}

char *message_read_text(struct message_reader *reader, size_t length)
{
    const guint8 *data = take_bytes(reader, length);
    return data != NULL ? g_strndup((const char *)data, length) : g_strdup("");
}

static void append_int32(GByteArray *out, guint32 value)
{
    guint32 network = htonl(value);
    g_byte_array_append(out, (const guint8 *)&network, sizeof network);
}

static void append_int16(GByteArray *out, guint16 value)
{
    guint16 network = htons(value);
    g_byte_array_append(out, (const guint8 *)&network, sizeof network);
}

static void append_string(GByteArray *out, const char *text)
{
    g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text) + 1);
}

/* Appends the type and space for the length, which end_message fills in. Returns the offset of the
 * length. */
static guint begin_message(GByteArray *out, char type)
{
    g_byte_array_append(out, (const guint8 *)&type, 1);
    guint place = out->len;
    append_int32(out, 0);
    return place;
}

static void end_message(GByteArray *out, guint place)
{
    guint32 network = htonl(out->len - place);
    memcpy(out->data + place, &network, sizeof network);
}

void message_simple(GByteArray *out, char type)
{
    end_message(out, begin_message(out, type));
}

void message_authentication_ok(GByteArray *out)
{
    guint place = begin_message(out, 'R');
    append_int32(out, 0);
    end_message(out, place);
}

void message_parameter_status(GByteArray *out, const char *name, const char *value)
{
    guint place = begin_message(out, 'S');
    append_string(out, name);
    append_string(out, value);
    end_message(out, place);
}

void message_backend_key(GByteArray *out, guint32 process, guint32 secret)
{
    guint place = begin_message(out, 'K');
    append_int32(out, process);
    append_int32(out, secret);
    end_message(out, place);
}

void message_ready(GByteArray *out, char status)
{
    guint place = begin_message(out, 'Z');
    g_byte_array_append(out, (const guint8 *)&status, 1);
    end_message(out, place);
}

void message_command_complete(GByteArray *out, const char *tag)
{
    guint place = begin_message(out, 'C');
    append_string(out, tag);
    end_message(out, place);
}

static guint16 type_size(guint oid)
{
    switch (oid) {
    case OID_BOOL:
        return 1;
    case OID_INT8:
    case OID_FLOAT8:
        return 8;
    default:
        return (guint16)-1; /* of varying length */
    }
}

void message_row_description(GByteArray *out, const struct result *result)
{
    guint place = begin_message(out, 'T');
    append_int16(out, (guint16)result->names->len);
    for (guint i = 0; i < result->names->len; i++) {
        guint oid = g_array_index(result->oids, guint, i);
        append_string(out, g_ptr_array_index(result->names, i));
        append_int32(out, 0); /* table */
        append_int16(out, 0); /* column of the table */
        append_int32(out, oid);
        append_int16(out, type_size(oid));
        append_int32(out, (guint32)-1); /* type modifier */
        append_int16(out, 0);           /* text format */
    }
    end_message(out, place);
}

void message_parameter_description(GByteArray *out, const GArray *oids)
{
    guint place = begin_message(out, 't');
    append_int16(out, (guint16)oids->len);
    for (guint i = 0; i < oids->len; i++) {
        guint oid = g_array_index(oids, guint, i);
        append_int32(out, oid != 0 ? oid : OID_TEXT);
    }
    end_message(out, place);
}

void message_data_rows(GByteArray *out, const struct result *result)
{
    guint columns = result->names->len;
    for (uint64_t row = 0; row < result->rows; row++) {
        guint place = begin_message(out, 'D');
        append_int16(out, (guint16)columns);
        for (guint column = 0; column < columns; column++) {
            const char *cell = g_ptr_array_index(result->cells, row * columns + column);
            if (cell == NULL) {
                append_int32(out, (guint32)-1);
                continue;
            }
            append_int32(out, (guint32)strlen(cell));
            g_byte_array_append(out, (const guint8 *)cell, (guint)strlen(cell));
        }
        end_message(out, place);
    }
}

static void append_field(GByteArray *out, char code, const char *text)
{
    g_byte_array_append(out, (const guint8 *)&code, 1);
    append_string(out, text);
}

void message_error(GByteArray *out, const char *severity, const struct sql_error *error)
{
    guint place = begin_message(out, 'E');
    append_field(out, 'S', severity);
    append_field(out, 'V', severity);
    append_field(out, 'C', error->sqlstate);
    append_field(out, 'M', error->message);
    if (error->position > 0) {
        g_autofree char *position = g_strdup_printf("%d", error->position);
        append_field(out, 'P', position);
    }
    guint8 end = 0;
    g_byte_array_append(out, &end, 1);
    end_message(out, place);
}
