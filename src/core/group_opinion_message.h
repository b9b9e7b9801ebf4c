/* A watcher's opinion as it travels between daemons. */
#ifndef SW_CORE_GROUP_OPINION_MESSAGE_H
#define SW_CORE_GROUP_OPINION_MESSAGE_H

#include "core/group_control.h"
#include "generated/messages.h"

/* The message for an opinion on a group. What the core does not know, such as the deployment and
 * the databases in use, is left for the shell to fill in. */
struct watcher_opinion group_opinion_to_message(const struct group_opinion *opinion,
                                                uint32_t group);

/* The event of an opinion that came in; its time is left for the shell to fill in. */
struct group_event group_opinion_event(const struct watcher_opinion *message);

#endif
