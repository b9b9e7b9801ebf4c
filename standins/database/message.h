/* Encoding and decoding of the PostgreSQL protocol's messages, version 3. No library offers the
 * server side, so the stand-in has its own. */
#ifndef STANDIN_DATABASE_MESSAGE_H
#define STANDIN_DATABASE_MESSAGE_H

#include "result.h"

/* Reads the fields of one received message. A read past its end sets `malformed`; that read and all
 * later ones return zero or "". */
struct message_reader {
    const guint8 *data;
    size_t length;
    size_t offset;
    bool malformed;
};

guint32 message_read_int32(struct message_reader *reader);
guint16 message_read_int16(struct message_reader *reader);
guint8 message_read_byte(struct message_reader *reader);
const char *message_read_string(struct message_reader *reader);

/* Copies `length` bytes as text. Free with g_free. */
char *message_read_text(struct message_reader *reader, size_t length);

/* Each appends one message to `out`. */
void message_simple(GByteArray *out, char type);
void message_authentication_ok(GByteArray *out);
void message_parameter_status(GByteArray *out, const char *name, const char *value);
void message_backend_key(GByteArray *out, guint32 process, guint32 secret);
void message_ready(GByteArray *out, char status);
void message_command_complete(GByteArray *out, const char *tag);
void message_row_description(GByteArray *out, const struct result *result);
void message_parameter_description(GByteArray *out, const GArray *oids);
void message_data_rows(GByteArray *out, const struct result *result);
void message_error(GByteArray *out, const char *severity, const struct sql_error *error);

#endif
