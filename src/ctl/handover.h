/* Hands an accepted version over to daemons, so that it comes into force even if the store fails
 * right after it has accepted the version. Must be called only when the store's head is known to
 * have moved, because a daemon that can't read the store relies on the publisher for that. */
#ifndef SW_CTL_HANDOVER_H
#define SW_CTL_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Admin URLs of the daemons, separated by commas. */
#define HANDOVER_ENVIRONMENT "SWIFTWORKS_ADMIN_URL"

/* The version to hand over. Borrowed. */
struct handover_version {
    uint64_t version;
    const char *hash;
    const char *base_hash; /* of the previous version; NULL: none, or not known */
    GBytes *content;       /* canonical JSON */
};

/* The result at one daemon. */
struct handover_daemon {
    char *url;
    char *zone;    /* as reported by the daemon; empty without a reply */
    char *reason;  /* why the version is not in force there, as far as known */
    bool in_force; /* this or a later version is in force */
    bool refused;  /* it refused the version; it may still receive it from other daemons */
    uint32_t failures;
};

/* Hands the version to the daemons at these URLs (NULL-terminated), and waits a few seconds at most
 * until each has it in force or is unreachable. Returns struct handover_daemon in the order of the
 * URLs; the array owns them. */
GPtrArray *handover_run(char **urls, const struct handover_version *version);

/* The number of daemons that have it in force. */
guint handover_count_in_force(const GPtrArray *daemons);

#endif
