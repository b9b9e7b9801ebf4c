/* What traces need of a group's control besides its events: a digest of each decision, and the
 * complete state, so that a replay can begin between two events. */
#ifndef SW_CORE_GROUP_CONTROL_STATE_H
#define SW_CORE_GROUP_CONTROL_STATE_H

#include <glib.h>

#include "core/group_control.h"

/* Digest, never 0, of the decisions of a step: its actions in order, its wake-up time, and the view
 * if it publishes one. The same decision has the same digest in every build, on machines of the
 * same byte order. */
uint32_t group_control_digest(const struct group_control *control,
                              const struct group_actions *actions);

/* Name of the layout of a saved state, a static string. It changes with the order, types and sizes
 * of the state's fields, so that a build never loads a state of another layout. */
const char *group_control_state_layout(void);

/* Size of a saved state in bytes. */
size_t group_control_state_size(void);

/* Copies the state between two steps to `to`, a buffer of group_control_state_size() bytes. */
void group_control_save(const struct group_control *control, void *to);

/* Creates a control from a saved state. NULL if the size or the counts don't fit this layout. Free
 * it with group_control_free(). */
struct group_control *group_control_restore(const void *from, size_t size);

#endif
