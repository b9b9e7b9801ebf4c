/* The session stand-ins together: the store of rows, the groups of databases that the operator's
 * configuration names, and the databases' records in the store. */
#ifndef SW_STANDINS_PLATFORM_H
#define SW_STANDINS_PLATFORM_H

#include "standins/session_platform/line_group.h"
#include "standins/session_platform/row_store.h"

#define DATABASES_PER_SERVICE 3
#define SERVICES_MAX          8

struct platform {
    struct row_store *store;
    struct line_group *groups[SERVICES_MAX];
    char *services[SERVICES_MAX];
    unsigned count;
    unsigned sequence;         /* counter in the databases' records */
    const char *announce_host; /* address that records name; NULL: the databases' own */
    unsigned announce_port;    /* port recorded for the first database; the others follow it */
    struct line_faults faults[SERVICES_MAX][DATABASES_PER_SERVICE];
    unsigned slots[SERVICES_MAX][DATABASES_PER_SERVICE]; /* as recorded in the store */
};

/* Starts the databases of each service that the configuration names. False if it names none. */
bool platform_start_groups(struct platform *platform, const char *configuration);
/* Writes the operator's configuration to the store. Returns its version, -1 if the text is not
 * valid JSON. */
long long platform_configure(struct platform *platform, const char *text);
/* Writes the record of each database that is neither down nor kept from renewing it. */
void platform_put_records(struct platform *platform);
/* Sets the faults injected into a database. */
void platform_set_faults(struct platform *platform, unsigned service, unsigned database,
                         const struct line_faults *faults);
/* Sets how many statements a database runs at once, and the factor on their durations. */
void platform_set_slots(struct platform *platform, unsigned service, unsigned database,
                        unsigned slots, unsigned time_factor);
/* Makes the database the primary, as the promotion call does. A row_store_promote. */
bool platform_promote(void *user, const char *service, const char *database);
void platform_stop(struct platform *platform);

#endif
