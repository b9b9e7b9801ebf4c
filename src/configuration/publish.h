/* Publishing a configuration: carries out the decisions of publish_flow on the platform. */
#ifndef SW_CONFIGURATION_PUBLISH_H
#define SW_CONFIGURATION_PUBLISH_H

#include "configuration/configuration.h"
#include "configuration/publish_flow.h"
#include "configuration/version_store.h"

/* Whether changes of groups' databases (struct database_change) may follow version `base`, which is
 * the head. False with `error` set if not. */
typedef bool (*publish_check)(void *user, uint64_t base, const GPtrArray *changes, GError **error);

/* Who publishes what, and for how long to try. */
struct publish_order {
    const struct configuration *configuration;
    const char *request_id; /* unique to this attempt; the same when it is asked again */
    const char *author;
    const char *message;
    bool has_base; /* false: on top of whatever the head is */
    uint64_t base;
    publish_check check; /* asked if one changes; NULL: all that is valid may */
    void *check_user;
    uint32_t timeout_ms;
    uint32_t retries_max; /* 0: as many as the time-out allows */
    struct backoff backoff;
};

/* What came of it. */
struct publish_outcome {
    enum publish_status status;
    uint64_t version;           /* of ACCEPTED and UNCHANGED */
    char *base_hash;            /* of the version before that one; NULL: none, or not known */
    struct version_row *winner; /* of CONFLICT; freed by publish_outcome_clear */
};

/* Backoff and time-out that suit an operator who waits. */
#define PUBLISH_BACKOFF_BASE_MS    100
#define PUBLISH_BACKOFF_MAXIMUM_MS 2000
#define PUBLISH_TIMEOUT_MS         30000

/* Publishes; blocks for about the time-out at most. True if the bundle is in force as
 * `outcome->version`. Otherwise `error` is set: publish_conflict (naming the winner), bad_request
 * (no such base), invalid_configuration (it changes more than one database of a group), the error
 * of the order's check, store_unavailable (not published, nor ever will), or outcome_unknown. */
bool publish_configuration(struct version_store *store, const struct publish_order *order,
                           struct publish_outcome *outcome, GError **error);

/* Frees what an outcome holds. */
void publish_outcome_clear(struct publish_outcome *outcome);

#endif
