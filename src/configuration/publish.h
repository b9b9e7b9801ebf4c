/* Publishing a configuration: executes the actions of publish_flow (the state machine of
 * publishing) against the platform's table service and object store. */
#ifndef SW_CONFIGURATION_PUBLISH_H
#define SW_CONFIGURATION_PUBLISH_H

#include "configuration/configuration.h"
#include "configuration/publish_flow.h"
#include "configuration/version_store.h"

/* Decides whether a version with these changes of groups' databases (struct database_change) may
 * follow version `base`, which is the head. Returns false with `error` set if not. */
typedef bool (*publish_check)(void *user, uint64_t base, const GPtrArray *changes, GError **error);

/* What to publish, its author, and the limits of retries. Strings are borrowed for the call. */
struct publish_order {
    const struct configuration *configuration;
    const char *request_id; /* unique to this publication; a repeated request keeps it */
    const char *author;
    const char *message;
    bool has_base; /* false: based on the head at the start, whichever version it is */
    uint64_t base;
    publish_check check; /* called if a group's databases change; NULL: allow all changes */
    void *check_user;
    uint32_t timeout_ms;
    uint32_t retries_max; /* 0: limited only by the time-out */
    struct backoff backoff;
};

/* Result of a publication. */
struct publish_outcome {
    enum publish_status status;
    uint64_t version;           /* if ACCEPTED or UNCHANGED */
    char *base_hash;            /* of the preceding version; NULL: none, or unknown */
    struct version_row *winner; /* if CONFLICT: the version that took the number */
};

/* Backoff and time-out for an interactive operator. */
#define PUBLISH_BACKOFF_BASE_MS    100
#define PUBLISH_BACKOFF_MAXIMUM_MS 2000
#define PUBLISH_TIMEOUT_MS         30000

/* Publishes; blocks for about the time-out at most. Returns true if the bundle is in force as
 * `outcome->version`. Otherwise `error` is set: publish_conflict (naming the winner), bad_request
 * (no such base), invalid_configuration (more than one database of a group changes), the error of
 * `check`, store_unavailable (not published, and no pending request can still publish
 * it), or outcome_unknown. */
bool publish_configuration(struct version_store *store, const struct publish_order *order,
                           struct publish_outcome *outcome, GError **error);

/* Frees the members of an outcome. */
void publish_outcome_clear(struct publish_outcome *outcome);

#endif
