/* The acknowledgement rule. A write at (term, offset) may be acknowledged only with evidence,
 * gathered after its commit, that a majority of the group holds it while no member of that majority
 * has promised a newer term. The rule uses no clock and no lease. See
 * docs/design/acknowledgement.md. */
#ifndef SW_CORE_ACKNOWLEDGE_H
#define SW_CORE_ACKNOWLEDGE_H

#include "core/types.h"

/* Result of the evidence gathered so far. */
enum acknowledge_verdict {
    ACKNOWLEDGE_PENDING, /* not enough evidence yet */
    ACKNOWLEDGE_HELD,    /* a majority holds the position under its term */
    ACKNOWLEDGE_FENCED,  /* no majority can give evidence any more: newer terms were promised */
};

/* Evidence about one write. Plain data owned by one request. */
struct acknowledge_evidence {
    struct log_position position;
    uint32_t database_count;
    uint32_t held_mask;   /* bit per database that holds it under this term */
    uint32_t fenced_mask; /* bit per database that promised a newer term */
};

/* Starts gathering evidence for a write to a group of database_count members. */
void acknowledge_start(struct acknowledge_evidence *evidence, struct log_position position,
                       uint32_t database_count);

/* Adds one member's status, read from it after the commit. */
void acknowledge_add(struct acknowledge_evidence *evidence, uint32_t database,
                     const struct database_status *status);

enum acknowledge_verdict acknowledge_judge(const struct acknowledge_evidence *evidence);

/* Size of a majority of a group. */
static inline uint32_t majority_of(uint32_t database_count)
{
    return database_count / 2 + 1;
}

#endif
