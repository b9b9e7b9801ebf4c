/* The state that the control thread publishes to the workers: an immutable view of configuration,
 * groups and databases under read-copy-update, and atomic figures of each group that change more
 * often. A group is a set of databases with one replicated log. Only the control thread publishes
 * views. */
#ifndef SW_POOLER_VIEW_H
#define SW_POOLER_VIEW_H

#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "generated/messages.h"
#include "pooler/shared/configuration.h"
#include "pooler/shared/database_use.h"
#include "pooler/rate/roster.h"

#define WORKERS_MAX 64

/* Figures of one worker for a group. Written by that worker, read by the control thread. */
struct worker_figures {
    _Atomic uint64_t epoch;     /* epoch of the newest group order that the worker has applied */
    _Atomic uint32_t in_flight; /* statements and transactions open at the primary */
};

/* A database's fault as the workers see it. A new fault wakes the control thread. A database that
 * has restarted gets a new struct, so that no state from before the restart is used. */
struct member_shared {
    char *id;
    uint64_t born_ms;            /* start time from struct directory_entry */
    _Atomic unsigned fault;      /* enum database_fault */
    _Atomic time_ns fault_since; /* when the fault began */
    _Atomic time_ns answered_at; /* last answer from the database */
};

/* Figures of one group. Never freed, so that workers may keep pointers. */
struct group_shared {
    char *service;
    _Atomic time_ns permit_until; /* end of the read permit: until then reads at the primary see
                                     every acknowledged commit */
    _Atomic uint32_t faults; /* number of its databases with a fault, as the workers see them */
    struct worker_figures workers[WORKERS_MAX];
    database_uses_t uses; /* by all workers */
};

/* One database of a group. */
struct member_view {
    struct member_shared *shared;
    struct sockaddr_in address;
    const char *zone; /* interned; NULL: not known */
    bool same_zone;
    bool takes_work;      /* neither draining, deleted nor evacuated */
    bool closed;          /* evacuated: nothing is sent to it, even if it is the primary */
    uint32_t connections; /* connections that each worker may open to it; 0: the group's default */
    uint32_t slots;       /* number of statements that it runs concurrently; 0: not known */
};

/** @brief An owner of a group: a pooler that opens connections to its databases. */
typedef struct owner_view {
    char *text; /* address as text */
    struct sockaddr_in address;
    const char *zone; /* interned; NULL: not known */
    bool same_zone;
    bool self; /* this pooler */
} owner_view_t;

/* One group and its primary. Immutable once published, and shared by successive views until it
 * changes. */
struct pooled_group {
    struct group_shared *shared;
    uint64_t revision; /* unique among all states of all groups */
    uint64_t epoch;    /* of the coordinator's group order; 0: none is known */
    enum group_phase phase;
    uint64_t term;
    int primary; /* index of the member, -1: unknown */
    uint32_t sync_replicas;
    uint32_t connections; /* connections that each worker may open to one database; 0: only the
                             owners open any */
    owner_view_t *owners; /* this zone's first; none if every pooler opens connections */
    size_t owners_count;
    uint32_t sharers; /* number of workers, over all poolers, that open connections to it; 0: not
                         known */
    uint32_t fallback_connections; /* direct fallback: connections that each worker may open to one
                                   database while it can't reach any owner */
    struct member_view *members;
    size_t members_count;
};

struct view {
    uint64_t number;                     /* increases with each view */
    struct configuration *configuration; /* NULL until one is known */
    roster_t *roster;                    /* one reference; NULL until a fleet is known */
    struct pooled_group **groups;        /* one reference each */
    size_t groups_count;
};

/* Creates a group with one reference. Only the control thread takes and drops references. */
struct pooled_group *pooled_group_new(void);
struct pooled_group *pooled_group_ref(struct pooled_group *group);
void pooled_group_unref(struct pooled_group *group);

/* Frees the view and drops its references to groups, roster and configuration. */
void view_free(struct view *view);

#endif
