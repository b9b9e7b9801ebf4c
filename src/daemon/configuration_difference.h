/* The difference between the canonical JSON of two bundles: the part of the later one between their
 * longest common prefix and their longest common suffix. Most changes touch one tenant or template
 * and take a few bytes, and no JSON is parsed. Pure functions. Applying a difference to the wrong
 * base is detected by the bundle's hash. */
#ifndef SW_DAEMON_CONFIGURATION_DIFFERENCE_H
#define SW_DAEMON_CONFIGURATION_DIFFERENCE_H

#include <glib.h>
#include <stdint.h>

struct configuration_difference {
    uint32_t keep_start; /* bytes kept of the earlier content's start */
    uint32_t keep_end;   /* bytes kept of the earlier content's end */
    GBytes *between;     /* new bytes between the two, compressed; owned */
};

/* Computes the difference that turns `before` into `after`. */
void configuration_difference_make(GBytes *before, GBytes *after,
                                   struct configuration_difference *difference);

/* Applies the difference to `before`; NULL if it can't be decoded or its bounds do not fit
 * `before`. */
GBytes *configuration_difference_apply(GBytes *before,
                                       const struct configuration_difference *difference);

/* Frees what the difference owns. */
void configuration_difference_clear(struct configuration_difference *difference);

#endif
