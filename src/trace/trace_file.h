/* Trace files: the input events of a group's control, as a CBOR sequence (RFC 8742) of struct
 * trace_record. Written by the simulator and by daemons; read by swiftreplay. */
#ifndef SW_TRACE_TRACE_FILE_H
#define SW_TRACE_TRACE_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "core/group_control.h"
#include "generated/messages.h"

/* Appends the start of a control, when a daemon starts or restarts without its previous state. */
void trace_write_start(FILE *file, uint32_t daemon, time_ns at,
                       const struct group_control_options *options);

/* Appends an event. For an event of kind COMMAND, `command` is the command that it answers; else
 * NULL. */
void trace_write_event(FILE *file, uint32_t daemon, const struct group_event *event,
                       const struct trace_command *command);

/* As above, but fill a record, which the caller clears; for a daemon's recorder. */
void trace_start_to_record(const struct group_control_options *options, time_ns at,
                           struct trace_record *record);
void trace_event_to_record(const struct group_event *event, const struct trace_command *command,
                           struct trace_record *record);

/* Appends a record to a file. Returns false if it was not written. */
bool trace_write(FILE *file, const struct trace_record *record);

/* Reads a trace file into an array of struct trace_record that frees its items. Returns NULL and
 * sets an error if the file can't be read or is not a trace. */
GPtrArray *trace_read(const char *path, GError **error);

/* Convert a record to the core's types. */
void trace_options_of(const struct trace_start *start, struct group_control_options *options);
void trace_event_of(const struct trace_record *record, struct group_event *event);

#endif
