/* The acknowledgement rule. A write at (term, offset) may be told done only with evidence, gathered
 * after its commit, that a majority of the group holds it while none of that majority has promised
 * a newer term. No clock and no lease takes part. See docs/design/acknowledgement.md. */
#ifndef SW_CORE_ACKNOWLEDGE_H
#define SW_CORE_ACKNOWLEDGE_H

#include "core/types.h"

/* What the evidence gathered so far amounts to. */
enum acknowledge_verdict {
    ACKNOWLEDGE_PENDING, /* not enough yet */
    ACKNOWLEDGE_HELD,    /* a majority holds the position under its term */
    ACKNOWLEDGE_FENCED,  /* a majority can no longer give evidence: newer terms were promised */
};

/* Evidence about one write. Plain data owned by one request. */
struct acknowledge_evidence {
    struct log_position position;
    uint32_t database_count;
    uint32_t held_mask;   /* bit per database that holds it under this term */
    uint32_t fenced_mask; /* bit per database that promised a newer term */
};

/* Starts gathering for a write of a group of database_count members. */
void acknowledge_start(struct acknowledge_evidence *evidence, struct log_position position,
                       uint32_t database_count);

/* Takes one member's status, read from it after the commit. */
void acknowledge_add(struct acknowledge_evidence *evidence, uint32_t database,
                     const struct database_status *status);

/* Judges what was gathered. */
enum acknowledge_verdict acknowledge_judge(const struct acknowledge_evidence *evidence);

/* Members that make a majority of a group. */
static inline uint32_t majority_of(uint32_t database_count)
{
    return database_count / 2 + 1;
}

#endif
