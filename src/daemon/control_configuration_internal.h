/* Shared by the files of the control thread's configuration. Not for use elsewhere. */
#ifndef SW_DAEMON_CONTROL_CONFIGURATION_INTERNAL_H
#define SW_DAEMON_CONTROL_CONFIGURATION_INTERNAL_H

#include <pthread.h>

#include "core/config_currency.h"
#include "daemon/configuration_fetcher.h"
#include "daemon/control_configuration.h"
#include "daemon/control_internal.h"
#include "daemon/daemon.h"

/* Used by the control thread only, except for the status. */
struct control_configuration {
    struct control *control;
    struct configuration_fetcher *fetcher;
    struct currency *currency;

    /* A version that names this daemon's zone was found. Until then there is no membership. */
    bool joined;
    uint64_t search_from; /* lower versions are known not to name this daemon's zone */
    time_ns next_search_at;
    size_t next_seed;
    size_t seeds_left; /* in this round */

    uint64_t newest_recorded;             /* newest version that the journal has recorded */
    struct configuration_mark unparsable; /* does not parse: it is not fetched again */
    const struct fetch_result *origin;    /* the result that is being processed, or NULL */
    bool confirmed;                       /* confirmed as the newest at least once */
    char failure[FETCH_TEXT_SIZE];        /* why the store's content could not be read; or empty */
    bool contradicted; /* the store has different content under the version in force */
    time_ns next_straggler_check_at;

    pthread_mutex_t status_lock;
    struct configuration_status status; /* under status_lock */
};

/* Adds an entry to the journal. */
void configuration_record(struct control_configuration *self, const char *kind, const char *text);

/* True for requests that the platform's store answers. */
bool configuration_is_from_store(const struct fetch_request *request);

/* Logs the first failure of the store, a change of its error, and its recovery. */
void configuration_log_store(struct control_configuration *self, const struct fetch_result *result);

/* Submits a request to the fetcher; `address` is that of the daemon to fetch from, or NULL. */
void configuration_submit_fetch(struct control_configuration *self, enum fetch_source source,
                                struct configuration_mark wanted, const char *address);

/* Status: control_configuration_status.c. */

/* Writes why the daemon does not serve into `reason` (CONFIGURATION_REASON_SIZE bytes). */
void configuration_write_reason(const struct control_configuration *self, char *reason);
/* Publishes the state of `currency` to request threads and operators. */
void configuration_publish_status(struct control_configuration *self);
/* Finds members with an older configuration. Covers only this daemon's own zone, as messages from
 * the others are too rare. */
void configuration_find_stragglers(struct control_configuration *self);

/* The search for the first configuration, which maps the name of this daemon's zone to its number:
 * control_configuration_search.c. */

/* Requests the configuration from the store and from other daemons when that is due. */
void configuration_search(struct control_configuration *self, time_ns now);
/* Handles a result. True if it ends the search: this daemon has joined the membership. */
bool configuration_try_join(struct control_configuration *self, const struct fetch_result *result);

#endif
