/* Plain types shared by every part: log positions, database roles and the routing view of a group.
 * Nothing here allocates, locks or knows a socket. */
#ifndef SW_CORE_TYPES_H
#define SW_CORE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Databases in one replicated group, at most. */
#define GROUP_DATABASES_MAX 9

#define NANOSECONDS_PER_MICROSECOND UINT64_C(1000)
#define NANOSECONDS_PER_MILLISECOND UINT64_C(1000000)
#define NANOSECONDS_PER_SECOND      UINT64_C(1000000000)

/* Monotonic time in nanoseconds, supplied by the caller of the core. */
typedef uint64_t time_ns;

/* A position in a group's replicated log. Ordered by term first, then offset: every entry that a
 * majority held in an older term is in the log of every newer term, before that term's own
 * entries. */
struct log_position {
    uint64_t term;
    uint64_t offset;
};

/* Returns a negative number, zero or a positive number if a is before, equal to or after b. */
static inline int log_position_compare(struct log_position a, struct log_position b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    if (a.offset != b.offset) {
        return a.offset < b.offset ? -1 : 1;
    }
    return 0;
}

/* True if a log that ends at `have` contains the entry at `need`. */
static inline bool log_position_covers(struct log_position have, struct log_position need)
{
    return log_position_compare(have, need) >= 0;
}

enum database_role {
    DATABASE_ROLE_UNKNOWN,
    DATABASE_ROLE_PRIMARY,
    DATABASE_ROLE_REPLICA,
};

/* What a database reports about itself in one status query. */
struct database_status {
    enum database_role role;
    uint64_t term;               /* term in which it leads or follows */
    uint64_t promised_term;      /* it refuses commands of a lower term */
    struct log_position held;    /* last entry in its log */
    struct log_position applied; /* last entry visible to reads */
    bool leaving;                /* marked for removal: no new work */
    uint64_t leaving_order;      /* request that last set or cleared the mark; 0 if none */
};

/* One database as routing sees it. Immutable once published. */
struct database_view {
    struct database_status status;
    bool reachable;
    uint32_t zone;
    time_ns observed_at;    /* latest time at which status was known to be true */
    uint32_t round_trip_us; /* smoothed round-trip time of probes, microseconds */
};

/* The end of the primary's log at a point in time, to convert log positions to times. */
struct position_sample {
    time_ns at;
    struct log_position held;
};

/* Samples kept per group, newest first. With one every 250 ms they cover the last 8 s. */
#define GROUP_SAMPLES_MAX 32

/* One group as routing sees it. Immutable once published; readers hold it under RCU. */
struct group_view {
    uint32_t group;
    uint64_t term;      /* highest term with a known primary; 0 if none yet */
    int32_t primary;    /* index into databases, or -1 */
    bool writes_paused; /* a planned change of primary is in progress */
    uint32_t database_count;
    struct database_view databases[GROUP_DATABASES_MAX];
    uint32_t sample_count;
    struct position_sample samples[GROUP_SAMPLES_MAX]; /* newest first */
};

#endif
