/* How the connections that a database accepts are divided among its owners: those reserved for
 * probes and for evidence (the queries that confirm that a majority of the group's members holds a
 * commit), those that may be opening and have no number yet, and the rest, each of which holds a
 * numbered lock of the database (core/budget.h). The arithmetic is kept in one place, so that a
 * configuration can be checked before it is put in force. */
#ifndef SW_DAEMON_BUDGET_PLAN_H
#define SW_DAEMON_BUDGET_PLAN_H

#include "configuration/configuration.h"
#include "core/budget.h"

/* Connections that one owner needs at a database besides its pool: one for its prober and one for
 * evidence. They take no number, since probes must continue when all numbers are in use. */
#define BUDGET_CONTROL_CONNECTIONS 2

/* Sets of owners that can exist at once: during a move, the old and the new one. */
#define BUDGET_OWNER_SETS 2

/* The parts of one database's connections. */
struct budget_plan {
    uint32_t connections; /* that the database accepts */
    uint32_t owners;
    uint32_t control;              /* reserved for probes and evidence, of all owners */
    struct budget_options options; /* for the rest; see budget_options_for */
};

void budget_plan_make(struct budget_plan *plan, uint32_t connections, uint32_t owners);

/* True if owner sets x owners x control + opening reserve + numbers fit the connections, and the
 * numbers suffice for one share per owner and for a handover. */
bool budget_plan_holds(const struct budget_plan *plan);

/* Checks all databases. Returns false with SW_ERROR, which names the first that fails and the
 * values. */
bool budget_plan_check(const struct configuration *configuration, uint32_t owners, GError **error);

#endif
