/**
 * @file
 * @brief Test rig: the failover state machine with a group of simulated databases, on virtual time.
 * Commands are answered one step later. A promotion takes effect after RIG_PROMOTION_NS.
 */
#ifndef SW_TESTS_POOLER_FAILOVER_RIG_H
#define SW_TESTS_POOLER_FAILOVER_RIG_H

#include <glib.h>
#include <stdbool.h>

#include "pooler/control/failover.h"

#define RIG_DATABASES_MAX 5
#define RIG_STEP_NS       (20 * NANOSECONDS_PER_MILLISECOND)
#define RIG_PROMOTION_NS  (300 * NANOSECONDS_PER_MILLISECOND)
#define RIG_GONE_AFTER_NS (20 * NANOSECONDS_PER_SECOND)

struct rig_database {
    char id[8];
    bool reachable;
    unsigned lost_answers; /* number of its next answers that get lost */
    bool at_capacity;      /* refuses commands for want of connections or slots */
    time_ns resumed_at;
    bool leads;
    uint64_t term;
    struct log_position received;
    uint64_t paused;
    enum database_command command;
    uint64_t command_term;
    bool command_pending;
    unsigned command_counts[4]; /* by enum database_command */
    uint64_t born_ms;
};

struct rig {
    struct failover *failover;
    struct failover_actions actions;
    struct failover_faults faults;
    struct rig_database databases[RIG_DATABASES_MAX];
    unsigned count;
    time_ns now;
    bool closed; /* result of the action `closed` */
    bool drained;
    bool record_fails;
    bool orders_refused;
    unsigned records;
    unsigned orders;
    unsigned published;
    bool record_pending;
    bool order_pending;
    char promoting[8];
    time_ns promoted_at;
    char first_promoted[8];
    bool resumed_early; /* a replica was resumed before a new primary led */
};

/** @brief Creates databases "d0", "d1"... d0 leads in term 1 at position 1.100, and the others hold
 * the same log. */
struct rig *rig_new(unsigned count, uint32_t sync_replicas);
void rig_free(struct rig *rig);
/** @brief Runs for this virtual time. */
void rig_run(struct rig *rig, uint32_t ms);
/** @brief Runs until the group is open with this primary. Fails after two virtual minutes. */
void rig_run_until_open(struct rig *rig, unsigned database);
/** @brief A database ends, its row is deleted, and after this time it is removed from the members.
 */
void rig_leave(struct rig *rig, unsigned database, uint32_t ms);
/** @brief Sets how many poolers report faults of the primary from now on. */
void rig_set_faults(struct rig *rig, uint32_t unreachable, uint32_t stalled);
/** @return number of reachable databases that lead. */
unsigned rig_leaders(const struct rig *rig);
/** @brief A database starts again knowing nothing, as a replica, and nobody is notified. */
void rig_lose_log(struct rig *rig, unsigned database);
/** @brief Restarts a database, with or without its log, and notifies the coordinator. With its log
 * it keeps its role; without, it is a replica. */
void rig_restart(struct rig *rig, unsigned database, bool keeps_log);

#endif
