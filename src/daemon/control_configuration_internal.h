/* What the files of the control thread's configuration share. Nothing else includes it. */
#ifndef SW_DAEMON_CONTROL_CONFIGURATION_INTERNAL_H
#define SW_DAEMON_CONTROL_CONFIGURATION_INTERNAL_H

#include <pthread.h>

#include "core/config_currency.h"
#include "daemon/configuration_fetcher.h"
#include "daemon/control_configuration.h"
#include "daemon/control_internal.h"
#include "daemon/daemon.h"

/* Of the control thread, but for the status. */
struct control_configuration {
    struct control *control;
    struct configuration_fetcher *fetcher;
    struct currency *currency;

    /* Until a version was found that names this daemon's zone: there is no membership yet. */
    bool joined;
    uint64_t search_from; /* versions before are known not to do */
    time_ns next_search_at;
    size_t next_seed;
    size_t seeds_left; /* of this round */

    uint64_t heard;                    /* newest that the journal has */
    struct configuration_mark unfit;   /* does not parse: not fetched again */
    const struct fetch_result *origin; /* what was just fetched, while it is judged */
    bool confirmed;                    /* has served */
    char failure[FETCH_TEXT_SIZE]; /* why the store's content could not be had; empty if it could */
    bool contradicted;             /* the store has another content under the version in force */
    time_ns next_survey_at;

    pthread_mutex_t status_lock;
    struct configuration_status status; /* under status_lock */
};

/* Adds an entry to the journal. */
void configuration_note(struct control_configuration *self, const char *kind, const char *text);

/* True for what the store was asked for. */
bool configuration_is_from_store(const struct fetch_order *order);

/* Logs it when the store begins to fail, in what way it does, and when it is well again. */
void configuration_note_store(struct control_configuration *self,
                              const struct fetch_result *result);

/* Gives the fetcher an order; `address` is that of the daemon to ask, or NULL. */
void configuration_order(struct control_configuration *self, enum fetch_source source,
                         struct configuration_mark wanted, const char *address);

/* Status: control_configuration_status.c. */

/* Why the daemon does not serve, into `reason` (room for CONFIGURATION_REASON_SIZE). */
void configuration_explain(const struct control_configuration *self, char *reason);
/* Makes what request threads and operators see follow the currency. */
void configuration_publish_status(struct control_configuration *self);
/* Looks for members that lag. Only those of the own zone are heard of often enough. */
void configuration_survey(struct control_configuration *self);

/* The search for a first configuration, which tells the number of this daemon's zone:
 * control_configuration_search.c. */

/* Asks the store and other daemons if it is time to. */
void configuration_search(struct control_configuration *self, time_ns now);
/* Takes a result in. True if it ends the search: this daemon joined the others. */
bool configuration_join_by(struct control_configuration *self, const struct fetch_result *result);

#endif
