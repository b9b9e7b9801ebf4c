/* The acknowledgement rule; see the header. */
#include "core/acknowledge.h"

void acknowledge_start(struct acknowledge_evidence *evidence, struct log_position position,
                       uint32_t database_count)
{
    evidence->position = position;
    evidence->database_count = database_count;
    evidence->held_mask = 0;
    evidence->fenced_mask = 0;
}

void acknowledge_add(struct acknowledge_evidence *evidence, uint32_t database,
                     const struct database_status *status)
{
    uint32_t bit = UINT32_C(1) << database;
    if (status->promised_term > evidence->position.term) {
        evidence->held_mask &= ~bit;
        evidence->fenced_mask |= bit;
        return;
    }
    /* A log that ends in another term may have lost the entry, so only the write's own term
     * counts. */
    bool same_term = status->held.term == evidence->position.term;
    if (same_term && status->held.offset >= evidence->position.offset) {
        evidence->held_mask |= bit;
    }
}

enum acknowledge_verdict acknowledge_judge(const struct acknowledge_evidence *evidence)
{
    uint32_t majority = majority_of(evidence->database_count);
    uint32_t held = (uint32_t)__builtin_popcount(evidence->held_mask);
    if (held >= majority) {
        return ACKNOWLEDGE_HELD;
    }
    uint32_t fenced = (uint32_t)__builtin_popcount(evidence->fenced_mask);
    if (evidence->database_count - fenced < majority) {
        return ACKNOWLEDGE_FENCED;
    }
    return ACKNOWLEDGE_PENDING;
}
