/* The commands of swiftctl. */
#ifndef SW_CTL_COMMANDS_H
#define SW_CTL_COMMANDS_H

#include "ctl/command.h"

/* Commands on configurations and the platform's store. */
extern const struct command command_validate;
extern const struct command command_diff;
extern const struct command command_publish;
extern const struct command command_history;
extern const struct command command_show;

/* Commands on a daemon's admin listener. */
extern const struct command command_status;
extern const struct command command_drain;
extern const struct command command_undrain;
extern const struct command command_stop;
extern const struct command command_explain;
extern const struct command command_events;
extern const struct command command_log_level;
extern const struct command command_trace;

/* Commands on swiftctl itself. */
extern const struct command command_completion;

/* All commands, in the order of --help. */
const struct command *const *command_list(guint *count);

#endif
