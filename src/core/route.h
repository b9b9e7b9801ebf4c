/* Routing decisions on one group's view: pure functions, called by request threads under RCU and by
 * the simulator. Each decision contains its reason, and the reason why each other database was not
 * chosen. */
#ifndef SW_CORE_ROUTE_H
#define SW_CORE_ROUTE_H

#include "core/types.h"

/* Why a database was chosen or not chosen, or none was available. */
enum route_reason {
    ROUTE_REASON_NONE,
    /* Chosen. */
    ROUTE_REASON_REPLICA_FRESH,   /* known to have applied the needed position */
    ROUTE_REASON_REPLICA_GUARDED, /* expected to apply it within the guard wait */
    ROUTE_REASON_PRIMARY_WRITE,   /* a write, sent to the current primary */
    ROUTE_REASON_PRIMARY_READ,    /* no replica is fresh enough in time */
    ROUTE_REASON_PRIMARY_ONLY,    /* the tenant reads only from the primary */
    /* Not chosen. */
    ROUTE_REASON_UNREACHABLE, /* the last probes failed */
    ROUTE_REASON_LEAVING,     /* being drained: no new work */
    ROUTE_REASON_BEHIND,      /* too far behind the needed position */
    ROUTE_REASON_OLDER_TERM,  /* follows a primary that was replaced */
    ROUTE_REASON_TRIED,       /* already tried by this request */
    ROUTE_REASON_BUSY,        /* all its slots are taken */
    ROUTE_REASON_FARTHER,     /* usable, but another one is closer or less loaded */
    ROUTE_REASON_RESERVED,    /* the primary's read allowance is used up */
    /* None available. */
    ROUTE_REASON_NO_PRIMARY,
    ROUTE_REASON_WRITES_PAUSED,
    ROUTE_REASON_NO_DATABASE,
    ROUTE_REASON_COUNT,
};

/* Lower-case name of a reason, as in logs, headers and metrics. */
const char *route_reason_name(enum route_reason reason);

/* What a read requires. */
struct route_read_request {
    struct log_position session; /* latest position that the session has seen; zero if none */
    uint32_t max_staleness_ms; /* staleness bound for entries that the session has not seen; 0 = no
                                  bound */
    uint32_t zone;             /* zone of this daemon */
    time_ns now;
    uint32_t guard_wait_max_ms; /* maximum wait for a replica to apply the position */
    uint32_t excluded;          /* bit per database already tried */
    uint32_t
        in_flight[GROUP_DATABASES_MAX]; /* requests that run or wait for a slot, per database */
    uint32_t
        slots[GROUP_DATABASES_MAX]; /* maximum concurrent statements per database; 0 = unlimited */
    bool replicas_allowed;
    bool primary_allowed; /* the primary's read allowance is not used up */
    uint64_t random;      /* random number for the choice between equal databases */
};

/* The chosen database, or the reason why there is none. */
struct route_decision {
    int32_t database; /* index into the view, or -1 */
    enum route_reason reason;
    struct log_position
        guard; /* the reply must be discarded if the database has not applied this position */
    bool bound_unknown; /* replicas were not considered, only because the samples do not reach back
                           to the staleness bound */
    uint32_t
        guard_wait_ms; /* maximum time that the database may wait until it has applied the guard */
    enum route_reason refused[GROUP_DATABASES_MAX];
};

/* Position that a read must see: the session's, or the end of the primary's log at the staleness
 * bound if that is later. False if the samples of the view do not reach back that far; then only
 * the primary may serve the read. */
bool route_needed_position(const struct group_view *view, const struct route_read_request *request,
                           struct log_position *needed);

/* Chooses the database for a read. */
struct route_decision route_read(const struct group_view *view,
                                 const struct route_read_request *request);

/* Chooses the database for a write: the current primary, unless writes are paused or it is
 * unreachable. */
struct route_decision route_write(const struct group_view *view);

#endif
