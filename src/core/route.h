/* Routing decisions over one group's view: pure functions, called by request threads under RCU and
 * by the simulator. Every decision carries its reason, and the reason each other database was
 * passed over. */
#ifndef SW_CORE_ROUTE_H
#define SW_CORE_ROUTE_H

#include "core/types.h"

/* Why a database was chosen, passed over, or none was found. */
enum route_reason {
    ROUTE_REASON_NONE,
    /* Chosen. */
    ROUTE_REASON_REPLICA_FRESH,   /* known to have applied the needed position */
    ROUTE_REASON_REPLICA_GUARDED, /* expected to apply it within the guard wait */
    ROUTE_REASON_PRIMARY_WRITE,   /* a write goes to the current primary */
    ROUTE_REASON_PRIMARY_READ,    /* no replica is fresh enough in time */
    ROUTE_REASON_PRIMARY_ONLY,    /* the tenant reads from the primary */
    /* Passed over. */
    ROUTE_REASON_UNREACHABLE, /* the last probes failed */
    ROUTE_REASON_LEAVING,     /* drained: no new work */
    ROUTE_REASON_BEHIND,      /* too far behind the needed position */
    ROUTE_REASON_OLDER_TERM,  /* follows a replaced primary */
    ROUTE_REASON_TRIED,       /* already tried by this request */
    ROUTE_REASON_BUSY,        /* all its slots are taken */
    ROUTE_REASON_FARTHER,     /* usable, but another is closer or less loaded */
    ROUTE_REASON_RESERVED,    /* the primary's read allowance is spent */
    /* None found. */
    ROUTE_REASON_NO_PRIMARY,
    ROUTE_REASON_WRITES_PAUSED,
    ROUTE_REASON_NO_DATABASE,
    ROUTE_REASON_COUNT,
};

/* Lower-case name of a reason, as in logs, headers and metrics. */
const char *route_reason_name(enum route_reason reason);

/* What a read needs. */
struct route_read_request {
    struct log_position session; /* the session has seen this; zero if none */
    uint32_t max_staleness_ms;   /* bound for what the session has not seen; 0 = no bound */
    uint32_t zone;               /* of the deciding daemon */
    time_ns now;
    uint32_t guard_wait_max_ms; /* longest wait at a replica for the position */
    uint32_t excluded;          /* bit per database already tried */
    uint32_t
        in_flight[GROUP_DATABASES_MAX];  /* requests that run or wait for a slot, per database */
    uint32_t slots[GROUP_DATABASES_MAX]; /* statements it runs at once; 0 = unlimited */
    bool replicas_allowed;
    bool primary_allowed; /* the primary's read allowance is not spent */
    uint64_t random;      /* breaks ties between equals */
};

/* The answer: a database, or the reason there is none. */
struct route_decision {
    int32_t database; /* index into the view, or -1 */
    enum route_reason reason;
    struct log_position guard; /* a read must be discarded if the database has not applied this */
    bool bound_unknown; /* replicas were passed over only since the samples are too old to tell what
                           the staleness bound asks for */
    uint32_t guard_wait_ms; /* how long the database may wait to apply it */
    enum route_reason refused[GROUP_DATABASES_MAX];
};

/* Position that a read must see: the session's, and what the primary held before the staleness
 * bound. False if the bound can't be kept by what the view knows: then only the primary may answer.
 */
bool route_needed_position(const struct group_view *view, const struct route_read_request *request,
                           struct log_position *needed);

/* Chooses where a read goes. */
struct route_decision route_read(const struct group_view *view,
                                 const struct route_read_request *request);

/* Chooses where a write goes: the current primary, unless it leaves, is unreachable or paused. */
struct route_decision route_write(const struct group_view *view);

#endif
