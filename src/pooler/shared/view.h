/* What the control thread publishes to the workers: an immutable view of configuration, groups and
 * databases under read-copy-update, and a few figures for each group that change more often and are
 * atomic. Workers read; only the control thread publishes. */
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

/* What one worker tells of a group. Written by that worker, read by the control thread. */
struct worker_figures {
    _Atomic uint64_t epoch;     /* newest order that the worker follows */
    _Atomic uint32_t in_flight; /* statements and transactions open at the primary */
};

/* A database's fault as the workers see it; a new one wakes the control thread. One that has
 * started again gets another of these, so that nothing of its earlier life is taken over. */
struct member_shared {
    char *id;
    uint64_t born_ms;            /* as struct directory_entry tells it */
    _Atomic unsigned fault;      /* enum database_fault */
    _Atomic time_ns fault_since; /* when it began */
    _Atomic time_ns answered_at; /* last answer from the database */
};

/* Figures of one group. Never freed, so that a worker may keep a pointer. */
struct group_shared {
    char *service;
    _Atomic time_ns permit_until; /* the primary may be read until then */
    _Atomic uint32_t faults;      /* of its databases, as the workers see them */
    struct worker_figures workers[WORKERS_MAX];
    database_uses_t uses; /* by all workers together */
};

/* One database of a group. */
struct member_view {
    struct member_shared *shared;
    struct sockaddr_in address;
    const char *zone; /* interned; NULL: not known */
    bool same_zone;
    bool takes_work;      /* neither draining, gone nor evacuated */
    bool closed;          /* nothing is sent there, whoever leads: it was evacuated */
    uint32_t connections; /* that each worker may open to it; 0: as many as to the others */
    uint32_t slots;       /* statements that it runs at once; 0: not known */
};

/** @brief A pooler that holds connections to a group's databases. */
typedef struct owner_view {
    char *text; /* its address, as text */
    struct sockaddr_in address;
    const char *zone; /* interned; NULL: not known */
    bool same_zone;
    bool self; /* this pooler */
} owner_view_t;

/* One group and who leads it. Immutable once published; views share it until it changes. */
struct pooled_group {
    struct group_shared *shared;
    uint64_t revision; /* differs from that of any other state of any group */
    uint64_t epoch;    /* of the coordinator's order; 0: none is known */
    enum group_phase phase;
    uint64_t term;
    int primary; /* index of the member, -1: unknown */
    uint32_t sync_replicas;
    uint32_t connections; /* that each worker may open to one database; 0: others own them */
    owner_view_t *owners; /* who opens them, this zone's first; none where every pooler does */
    size_t owners_count;
    uint32_t sharers; /* workers of poolers that open connections to it; 0: not known */
    uint32_t
        fallback_connections; /* of this pooler's workers while they reach none of the owners */
    struct member_view *members;
    size_t members_count;
};

struct view {
    uint64_t number;                     /* rises with each view */
    struct configuration *configuration; /* NULL until one is known */
    roster_t *roster;                    /* one reference; NULL until a fleet is known */
    struct pooled_group **groups;        /* one reference each */
    size_t groups_count;
};

/* A group with one reference. Only the control thread counts references. */
struct pooled_group *pooled_group_new(void);
struct pooled_group *pooled_group_ref(struct pooled_group *group);
void pooled_group_unref(struct pooled_group *group);

/* Frees what the view owns: its references to groups and to the configuration. */
void view_free(struct view *view);

#endif
