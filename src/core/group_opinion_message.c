/* Conversion of a watcher's opinion to and from its message; see the header. */
#include "core/group_opinion_message.h"

struct watcher_opinion group_opinion_to_message(const struct group_opinion *opinion, uint32_t group)
{
    return (struct watcher_opinion){
        .group = group,
        .watcher = opinion->watcher,
        .sequence = opinion->sequence,
        .term = opinion->term,
        .primary = opinion->primary,
        .suspects = opinion->suspects,
        .reachable = opinion->reachable,
        .promised = opinion->promised,
        .change = opinion->change,
        .drained = opinion->drained,
    };
}

struct group_event group_opinion_event(const struct watcher_opinion *message)
{
    return (struct group_event){
        .kind = GROUP_EVENT_OPINION,
        .opinion = {.watcher = message->watcher,
                    .sequence = message->sequence,
                    .term = message->term,
                    .primary = (int32_t)message->primary,
                    .suspects = message->suspects,
                    .reachable = message->reachable,
                    .promised = message->promised,
                    .change = message->change,
                    .drained = message->drained},
    };
}
