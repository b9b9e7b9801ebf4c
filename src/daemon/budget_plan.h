/* How the connections of a database are laid out among its owners: what probes and evidence need,
 * what may be open without a number yet, and the numbered rest (core/budget.h). One place holds the
 * arithmetic, so that it can be checked before a configuration comes into force. */
#ifndef SW_DAEMON_BUDGET_PLAN_H
#define SW_DAEMON_BUDGET_PLAN_H

#include "configuration/configuration.h"
#include "core/budget.h"

/* Connections that one owner needs at a database besides its pool: its prober's and its evidence's.
 * They hold no number: probes must go on when all numbers are taken. */
#define BUDGET_CONTROL_CONNECTIONS 2

/* Sets of owners that may exist at once: the old and the new one of a move. */
#define BUDGET_OWNER_SETS 2

/* The parts of one database's connections. */
struct budget_plan {
    uint32_t connections; /* accepted by the database */
    uint32_t owners;
    uint32_t control;              /* kept for probes and evidence, in all */
    struct budget_options options; /* of the rest; see budget_options_for */
};

void budget_plan_make(struct budget_plan *plan, uint32_t connections, uint32_t owners);

/* True if owner sets x owners x control + opening reserve + numbers fit the connections, and the
 * numbers suffice for a share for each owner and for hand-over. */
bool budget_plan_holds(const struct budget_plan *plan);

/* Checks all databases. False with SW_ERROR, which names the first that does not do, and the
 * values. */
bool budget_plan_check(const struct configuration *configuration, uint32_t owners, GError **error);

#endif
