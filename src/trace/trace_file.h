/* Trace files: the events that daemons fed to a group's control, as a CBOR sequence (RFC 8742) of
 * struct trace_record. Written by the simulator, and by a daemon that records; read by swiftreplay.
 */
#ifndef SW_TRACE_TRACE_FILE_H
#define SW_TRACE_TRACE_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "core/group_control.h"
#include "generated/messages.h"

/* Appends the start of a control: a daemon began, or began again with nothing remembered. */
void trace_write_start(FILE *file, uint32_t daemon, time_ns at,
                       const struct group_control_options *options);

/* Appends an event. `command` tells what an answer of kind COMMAND belongs to; else NULL. */
void trace_write_event(FILE *file, uint32_t daemon, const struct group_event *event,
                       const struct trace_command *command);

/* Records of the same, which the caller clears; for a daemon's recorder. */
void trace_start_to_record(const struct group_control_options *options, time_ns at,
                           struct trace_record *record);
void trace_event_to_record(const struct group_event *event, const struct trace_command *command,
                           struct trace_record *record);

/* Appends a record to a file. False if it was not written. */
bool trace_write(FILE *file, const struct trace_record *record);

/* Reads a whole trace: an array of struct trace_record that frees its items. NULL and an error if
 * the file can't be read or is not a trace. */
GPtrArray *trace_read(const char *path, GError **error);

/* The core's types from a record. */
void trace_options_of(const struct trace_start *start, struct group_control_options *options);
void trace_event_of(const struct trace_record *record, struct group_event *event);

#endif
