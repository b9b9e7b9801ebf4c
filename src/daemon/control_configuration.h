/* The configuration in the control thread. Feeds core/config_currency, which decides which version
 * to apply and whether this daemon may serve, with what gossip, the store and other daemons report,
 * and puts newer versions in force. Without a platform the configuration is static, and none of
 * this runs. */
#ifndef SW_DAEMON_CONTROL_CONFIGURATION_H
#define SW_DAEMON_CONTROL_CONFIGURATION_H

#include <glib.h>

#include "core/membership.h"
#include "daemon/control.h"

struct fetch_result;

/* Maximum number of stragglers that are listed. */
#define CONFIGURATION_STRAGGLERS_MAX 16

/* Bytes of the reason for not serving, including the terminating NUL. */
#define CONFIGURATION_REASON_SIZE 160

/* A daemon of this zone whose last message reported an older configuration. */
struct configuration_straggler {
    uint64_t member;
    char address[ADDRESS_TEXT_SIZE];
    uint64_t version;
};

/* The state shown to operators. A copy. */
struct configuration_status {
    bool published;       /* false: a static file */
    bool serving;         /* requests are accepted */
    uint64_t version;     /* version in force; 0: none, or static */
    uint64_t newest;      /* newest version known */
    time_ns confirmed_at; /* last time at which `version` was known to be the newest; 0: never */
    uint32_t straggler_count;
    struct configuration_straggler stragglers[CONFIGURATION_STRAGGLERS_MAX]; /* the first of them */
    char reason[CONFIGURATION_REASON_SIZE]; /* why requests are not accepted; empty if they are */
};

/* Any thread, while the control thread runs. */
void control_configuration_status(struct control *control, struct configuration_status *status);

/* A version that a publisher hands over after it has moved the store's head. Borrowed. */
struct configuration_handover {
    uint64_t version;
    const char *hash;      /* of the content */
    const char *base_hash; /* of the previous version; empty if the publisher does not know it */
    GBytes *content;       /* canonical JSON that matches `hash` */
};

/* Accepts a handover. The version is put in force or rejected later, which the journal records.
 * Returns false if the configuration is static. Any thread, while the control thread runs. */
bool control_configuration_hand_over(struct control *control,
                                     const struct configuration_handover *handover);

/* The rest is used by the control thread's files only. */

/* Starts the search for a published configuration if the settings name a platform and no file. */
bool control_configuration_start(struct control *control, GError **error);
void control_configuration_stop(struct control *control);

void control_configuration_tick(struct control *control, time_ns now);
time_ns control_configuration_next_wakeup(struct control *control);

/* True once the configuration was confirmed as the newest, or if it is static: groups may be owned.
 */
bool control_configuration_was_confirmed(struct control *control);

/* Gossip reported a version; `holder` is the member that has it in force, or 0. */
void control_configuration_receive_mark(struct control *control, struct configuration_mark mark,
                                        uint64_t holder);

/* Handles a fetcher's result and frees it. */
void control_configuration_process(struct control *control, struct fetch_result *result);

#endif
