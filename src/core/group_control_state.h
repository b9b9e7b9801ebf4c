/* What traces need of a group's control beside its events: a digest of each decision, and the whole
 * state, so that a replay can begin between two events. */
#ifndef SW_CORE_GROUP_CONTROL_STATE_H
#define SW_CORE_GROUP_CONTROL_STATE_H

#include <glib.h>

#include "core/group_control.h"

/* Digest, never 0, of what a step decided: its actions in order, when it wants to be woken, and the
 * view where it publishes one. The same decision has the same digest in every build, on machines of
 * the same order of octets. */
uint32_t group_control_digest(const struct group_control *control,
                              const struct group_actions *actions);

/* Names the layout of a saved state. It changes with every change of the headers that declare the
 * state, so that a state never meets a core which would misread it. Static text. */
const char *group_control_state_layout(void);

/* Octets of a saved state. */
size_t group_control_state_size(void);

/* Copies the state between two steps to `to`, which has room for group_control_state_size(). */
void group_control_save(const struct group_control *control, void *to);

/* A control that goes on from a saved state; NULL if it can't be a state of this layout. Free it
 * with group_control_free(). */
struct group_control *group_control_restore(const void *from, size_t size);

#endif
