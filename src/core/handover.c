#include "core/handover.h"

#include <string.h>

/* A database without contact for longer is not waited for, since no new owner can be warm there. A
 * shorter gap may be a stall of this daemon or a lost probe. */
#define REACHED_WITHIN NANOSECONDS_PER_SECOND

/* Time for which an owner's report counts; after that it may have restarted. */
#define WARM_WITHIN NANOSECONDS_PER_SECOND

/* An owner that reported to be warm is queried again after this time. */
#define QUERY_AGAIN_AFTER (WARM_WITHIN / 4)

void handover_init(struct handover *handover, uint32_t database_count, time_ns max_time,
                   time_ns now)
{
    *handover = (struct handover){.until = now + max_time, .database_count = database_count};
    for (uint32_t i = 0; i < database_count; i++) {
        handover->reached_at[i] = now;
    }
}

static struct handover_owner *find_owner(const struct handover *handover, uint64_t id)
{
    for (uint32_t i = 0; i < handover->owner_count; i++) {
        if (handover->owners[i].id == id) {
            return (struct handover_owner *)&handover->owners[i];
        }
    }
    return NULL;
}

void handover_set_owners(struct handover *handover, const uint64_t *ids, uint32_t count)
{
    struct handover_owner owners[OWNERSHIP_OWNERS_MAX] = {0};
    g_assert(count <= OWNERSHIP_OWNERS_MAX);
    for (uint32_t i = 0; i < count; i++) {
        const struct handover_owner *known = find_owner(handover, ids[i]);
        owners[i] = known != NULL ? *known : (struct handover_owner){.id = ids[i]};
    }
    memcpy(handover->owners, owners, sizeof(owners));
    handover->owner_count = count;
}

void handover_set_reachable(struct handover *handover, uint32_t databases, time_ns now)
{
    for (uint32_t i = 0; i < handover->database_count; i++) {
        if ((databases >> i & 1) != 0) {
            handover->reached_at[i] = now;
        }
    }
}

void handover_owner_warm(struct handover *handover, uint64_t id, uint32_t database, time_ns now)
{
    struct handover_owner *owner = find_owner(handover, id);
    if (owner != NULL && database < handover->database_count) {
        owner->warm_at[database] = now;
    }
}

/* Databases at which new owners must be warm. */
static uint32_t required_databases(const struct handover *handover, time_ns now)
{
    uint32_t databases = 0;
    for (uint32_t i = 0; i < handover->database_count; i++) {
        bool reached = now < handover->reached_at[i] + REACHED_WITHIN;
        databases |= (uint32_t)reached << i;
    }
    return databases;
}

/* Databases for which the owner reported within this time that it is warm. */
static uint32_t warm_within(const struct handover *handover, const struct handover_owner *owner,
                            time_ns within, time_ns now)
{
    uint32_t databases = 0;
    for (uint32_t i = 0; i < handover->database_count; i++) {
        bool warm = owner->warm_at[i] != 0 && now < owner->warm_at[i] + within;
        databases |= (uint32_t)warm << i;
    }
    return databases;
}

uint32_t handover_databases_to_query(const struct handover *handover, uint64_t id, time_ns now)
{
    const struct handover_owner *owner = find_owner(handover, id);
    if (owner == NULL) {
        return 0;
    }
    return required_databases(handover, now) &
           ~warm_within(handover, owner, QUERY_AGAIN_AFTER, now);
}

enum handover_state handover_state(const struct handover *handover, time_ns now)
{
    uint32_t missing = 0;
    for (uint32_t i = 0; i < handover->owner_count; i++) {
        missing |= required_databases(handover, now) &
                   ~warm_within(handover, &handover->owners[i], WARM_WITHIN, now);
    }
    if (missing == 0) {
        return HANDOVER_STATE_WARM;
    }
    return now < handover->until ? HANDOVER_STATE_WAITING : HANDOVER_STATE_TIMED_OUT;
}
