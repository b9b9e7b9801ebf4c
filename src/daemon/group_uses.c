/* Which databases each owner uses; see the header. */
#include "daemon/group_uses.h"

#include <string.h>

/* Time for which a database must not have been busy to count as unused. */
#define UNUSED_AFTER_MS 500

void group_uses_init(struct group_uses *uses)
{
    memset(uses, 0, sizeof(*uses));
    pthread_mutex_init(&uses->lock, NULL);
}

void group_uses_clear(struct group_uses *uses)
{
    pthread_mutex_destroy(&uses->lock);
}

static bool may_be_used(const struct database_view *database)
{
    return !database->status.leaving || database->status.role != DATABASE_ROLE_REPLICA;
}

uint32_t group_uses_own(struct group_uses *uses, const struct group_view *view, uint32_t busy,
                        time_ns now)
{
    uint32_t used = 0;
    for (uint32_t i = 0; i < view->database_count; i++) {
        uint32_t bit = UINT32_C(1) << i;
        if ((busy & bit) != 0 || may_be_used(&view->databases[i])) {
            uses->unused_since[i] = 0;
            used |= bit;
            continue;
        }
        if (uses->unused_since[i] == 0) {
            uses->unused_since[i] = now;
        }
        if (now - uses->unused_since[i] < UNUSED_AFTER_MS * NANOSECONDS_PER_MILLISECOND) {
            used |= bit;
        }
    }
    return used;
}

/* The owner's entry, or else the one with the oldest report. Called with the lock held. */
static struct owner_uses *entry_of(struct group_uses *uses, uint64_t watcher)
{
    struct owner_uses *oldest = &uses->owners[0];
    for (uint32_t i = 0; i < GROUP_USES_OWNERS_MAX; i++) {
        if (uses->owners[i].watcher == watcher) {
            return &uses->owners[i];
        }
        if (uses->owners[i].at < oldest->at) {
            oldest = &uses->owners[i];
        }
    }
    return oldest;
}

void group_uses_record(struct group_uses *uses, uint64_t watcher, uint32_t used, time_ns now)
{
    pthread_mutex_lock(&uses->lock);
    struct owner_uses *owner = entry_of(uses, watcher);
    *owner = (struct owner_uses){.watcher = watcher, .used = used, .at = now};
    pthread_mutex_unlock(&uses->lock);
}

bool group_uses_is_unused(struct group_uses *uses, uint64_t watcher, uint32_t database, time_ns now,
                          bool *known)
{
    pthread_mutex_lock(&uses->lock);
    struct owner_uses owner = *entry_of(uses, watcher);
    pthread_mutex_unlock(&uses->lock);
    time_ns until = owner.at + GROUP_USES_VALID_MS * NANOSECONDS_PER_MILLISECOND;
    *known = owner.watcher == watcher && now <= until;
    return *known && (owner.used & (UINT32_C(1) << database)) == 0;
}
