/* The difference of two bundles' canonical JSON: what the later one has between the longest start
 * and the longest end that both share. Most changes touch one tenant or template, and these cost a
 * few octets; no JSON is parsed for it. Pure; a difference that leads elsewhere is found out by the
 * bundle's hash. */
#ifndef SW_DAEMON_CONFIGURATION_DIFFERENCE_H
#define SW_DAEMON_CONFIGURATION_DIFFERENCE_H

#include <glib.h>
#include <stdint.h>

struct configuration_difference {
    uint32_t keep_start; /* octets kept of the earlier content's start */
    uint32_t keep_end;   /* octets kept of its end */
    GBytes *between;     /* what stands between, compressed; owned */
};

/* What turns `before` into `after`. */
void configuration_difference_make(GBytes *before, GBytes *after,
                                   struct configuration_difference *difference);

/* What the difference makes of `before`; NULL if it can't be read or does not fit. */
GBytes *configuration_difference_apply(GBytes *before,
                                       const struct configuration_difference *difference);

/* Frees what it holds. */
void configuration_difference_clear(struct configuration_difference *difference);

#endif
