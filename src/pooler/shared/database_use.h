/**
 * @file
 * @brief Time that a group's databases spend on this pooler's requests, by reason and by role.
 * Shows how much of a busy primary's work replicas could do. Each time is measured from sending a
 * request to its answer, so it includes the network's round trip. Atomic; any thread.
 */
#ifndef SW_POOLER_DATABASE_USE_H
#define SW_POOLER_DATABASE_USE_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Reason for a use of a database. */
typedef enum database_use {
    DATABASE_USE_WRITE,       /* single writes */
    DATABASE_USE_TRANSACTION, /* statements and commits of transactions that may write */
    DATABASE_USE_STRICT_READ, /* reads whose route requires the primary */
    DATABASE_USE_READ,        /* reads that any sufficiently fresh database may serve */
    DATABASE_USE_BEGIN,       /* begin statements of transactions */
    DATABASE_USE_OPENING,     /* opening of connections */
    DATABASE_USE_REFUSED,     /* statements that the database refused: no slot, lagging, or not the
                                 primary */
    DATABASE_USE_STATUS,      /* the pooler's status queries */
    DATABASE_USE_COUNT,
} database_use_t;

/** @brief Times and counts of one group's databases. First index: [0] replicas, [1] the primary.
 * Zero-initialised. */
typedef struct database_uses {
    _Atomic uint64_t spent_us[2][DATABASE_USE_COUNT];
    _Atomic uint64_t times[2][DATABASE_USE_COUNT]; /* number of uses */
} database_uses_t;

/** @brief Counts one use and the time from sending the request to its answer. */
void database_use_count(database_uses_t *uses, bool at_primary, database_use_t use, time_ns spent);

/** @brief Writes the figures that are not 0 in Prometheus' text format. */
void database_use_print(const database_uses_t *uses, const char *service, GString *out);

#endif
