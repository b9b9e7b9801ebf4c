/* Handing an accepted version to daemons, so that it comes into force even if the store goes down
 * right after it was accepted. To be called only once the head is known to have moved: a daemon
 * that can't ask the store takes the publisher's word for that. */
#ifndef SW_CTL_HANDOVER_H
#define SW_CTL_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Admin URLs of the daemons, apart by commas. */
#define HANDOVER_ENVIRONMENT "SWIFTWORKS_ADMIN_URL"

/* What is handed over. Borrowed. */
struct handover_version {
    uint64_t version;
    const char *hash;
    const char *base_hash; /* of the version before; NULL: none, or not known */
    GBytes *content;       /* canonical JSON */
};

/* What came of it at one daemon. */
struct handover_daemon {
    char *url;
    char *zone;    /* as it says; empty if it does not answer */
    char *reason;  /* why it is not in force there, as far as known */
    bool in_force; /* this version or a later one is */
    bool refused;  /* it takes nothing from here; it may get the version from others */
    uint32_t failures;
};

/* Hands the version to the daemons at these URLs (NULL-ended) and waits, for a few seconds at most,
 * until each has it in force or can't be reached. Returns struct handover_daemon, which the array
 * owns, in the order of the URLs. */
GPtrArray *handover_run(char **urls, const struct handover_version *version);

/* How many have it in force. */
guint handover_count_in_force(const GPtrArray *daemons);

#endif
