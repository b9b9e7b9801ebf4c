/* Conversion of a watcher's opinion on its group to and from the message between daemons. */
#ifndef SW_CORE_GROUP_OPINION_MESSAGE_H
#define SW_CORE_GROUP_OPINION_MESSAGE_H

#include "core/group_control.h"
#include "generated/messages.h"

/* The message for an opinion on a group. The caller fills in what the core does not know, such as
 * the deployment and the databases in use. */
struct watcher_opinion group_opinion_to_message(const struct group_opinion *opinion,
                                                uint32_t group);

/* The event of a received opinion. The caller fills in its time. */
struct group_event group_opinion_event(const struct watcher_opinion *message);

#endif
