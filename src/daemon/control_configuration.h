/* The control thread's configuration: drives the core's currency by what gossip, the store and
 * other daemons tell, puts newer versions in force, and says whether this daemon may serve. Without
 * a platform the configuration is static and all of this rests. */
#ifndef SW_DAEMON_CONTROL_CONFIGURATION_H
#define SW_DAEMON_CONTROL_CONFIGURATION_H

#include <glib.h>

#include "core/membership.h"
#include "daemon/control.h"

struct fetch_result;

/* Stragglers that are named. */
#define CONFIGURATION_STRAGGLERS_MAX 16

/* Octets of the reason for not serving, its end included. */
#define CONFIGURATION_REASON_SIZE 160

/* A daemon of this zone that was last heard of with an older configuration. */
struct configuration_straggler {
    uint64_t member;
    char address[ADDRESS_TEXT_SIZE];
    uint64_t version;
};

/* What operators see. A copy. */
struct configuration_status {
    bool published;       /* false: a static file */
    bool serving;         /* requests are taken */
    uint64_t version;     /* in force; 0: none, or static */
    uint64_t newest;      /* newest heard of */
    time_ns confirmed_at; /* when the one in force was last known to be the newest; 0: never */
    uint32_t straggler_count;
    struct configuration_straggler stragglers[CONFIGURATION_STRAGGLERS_MAX]; /* the first of them */
    char reason[CONFIGURATION_REASON_SIZE]; /* why it does not serve; empty if it does */
};

/* Any thread, while the control thread runs. */
void control_configuration_status(struct control *control, struct configuration_status *status);

/* What a publisher hands over after it has moved the head. Borrowed. */
struct configuration_handover {
    uint64_t version;
    const char *hash;      /* of the content */
    const char *base_hash; /* of the version before, as the publisher knows it; empty if not */
    GBytes *content;       /* canonical JSON that has the hash */
};

/* Takes it in; it comes into force later, or is refused, which the journal tells. False if the
 * configuration is static. Any thread, while the control thread runs. */
bool control_configuration_hand_over(struct control *control,
                                     const struct configuration_handover *handover);

/* The rest is for the control thread's files. */

/* Starts to look for a published configuration if the settings name a platform and no file. */
bool control_configuration_start(struct control *control, GError **error);
void control_configuration_stop(struct control *control);

void control_configuration_tick(struct control *control, time_ns now);
time_ns control_configuration_next_wakeup(struct control *control);

/* True once the configuration was confirmed as the newest, or is static: groups may be owned. */
bool control_configuration_was_confirmed(struct control *control);

/* Gossip told of a version; `holder` is the member that has it in force, or 0. */
void control_configuration_hear(struct control *control, struct configuration_mark mark,
                                uint64_t holder);

/* Takes a fetcher's result, which is freed. */
void control_configuration_take(struct control *control, struct fetch_result *result);

#endif
