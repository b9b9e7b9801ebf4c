/* Which databases of a group each owner still uses. Owners report this to each other in their
 * opinions (the periodic messages about a group's databases), so that any owner can tell when a
 * drained database may be removed. */
#ifndef SW_DAEMON_GROUP_USES_H
#define SW_DAEMON_GROUP_USES_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/* Maximum number of owners whose reports are kept; more than a group has owners. */
#define GROUP_USES_OWNERS_MAX 16

/* Reports older than this are ignored. Owners send one every second. */
#define GROUP_USES_VALID_MS 4000

/* Last report of one owner. */
struct owner_uses {
    uint64_t watcher; /* the owner, as in struct group_opinion; 0: empty */
    uint32_t used;    /* bit per database that it uses, or may use according to its view */
    time_ns at;       /* time of receipt here */
};

struct group_uses {
    pthread_mutex_t lock; /* guards `owners` */
    struct owner_uses owners[GROUP_USES_OWNERS_MAX];
    time_ns unused_since[GROUP_DATABASES_MAX]; /* own use ended; 0 while used. Control thread */
};

void group_uses_init(struct group_uses *uses);
void group_uses_clear(struct group_uses *uses);

/* This daemon's own mask. `busy`: bit per database with requests or connections of this daemon. A
 * database is unused if it is a leaving replica in the view and was not busy for a while: by then a
 * request routed by an older view would have reached it. Control thread only. */
uint32_t group_uses_own(struct group_uses *uses, const struct group_view *view, uint32_t busy,
                        time_ns now);

/* Records an owner's report in place of its previous one. */
void group_uses_record(struct group_uses *uses, uint64_t watcher, uint32_t used, time_ns now);

/* True if the owner has recently reported that it does not use the database. *known: whether it has
 * reported recently at all. Any thread. */
bool group_uses_is_unused(struct group_uses *uses, uint64_t watcher, uint32_t database, time_ns now,
                          bool *known);

#endif
