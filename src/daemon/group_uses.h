/* Which databases of a group its owners still use: each tells the others in its opinions, so that
 * any owner can say when a database that is drained may be removed. */
#ifndef SW_DAEMON_GROUP_USES_H
#define SW_DAEMON_GROUP_USES_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/* Owners whose word is kept, at most; above the owners of a group. */
#define GROUP_USES_OWNERS_MAX 16

/* A word older than this counts no more. Owners tell theirs every second. */
#define GROUP_USES_FRESH_MS 4000

/* What one owner told last. */
struct owner_uses {
    uint64_t watcher; /* the owner, as in struct group_opinion; 0: empty */
    uint32_t used;    /* bit per database that it uses, or may use by its view */
    time_ns at;       /* when it was told; here */
};

struct group_uses {
    pthread_mutex_t lock; /* guards `owners` */
    struct owner_uses owners[GROUP_USES_OWNERS_MAX];
    time_ns quiet_since[GROUP_DATABASES_MAX]; /* of this daemon; 0 while used. Control thread */
};

void group_uses_init(struct group_uses *uses);
void group_uses_clear(struct group_uses *uses);

/* This daemon's own mask. `busy`: bit per database that has its requests or connections. A database
 * is unused once it is a leaving replica by the view, and was not busy for a while: a request that
 * was routed by an older view would have shown by then. Control thread only. */
uint32_t group_uses_own(struct group_uses *uses, const struct group_view *view, uint32_t busy,
                        time_ns now);

/* Keeps what an owner told, in place of what it told before. */
void group_uses_note(struct group_uses *uses, uint64_t watcher, uint32_t used, time_ns now);

/* True if the owner told of late that it does not use the database; *known tells whether it told of
 * late at all. Any thread. */
bool group_uses_is_unused(struct group_uses *uses, uint64_t watcher, uint32_t database, time_ns now,
                          bool *known);

#endif
