/* Which configuration a daemon applies, and whether it may serve. A version lower than the one
 * applied or the newest one known is never applied. A new daemon does not serve until the store, or
 * a majority of the members, confirms that it has the newest. A daemon that gets no such
 * confirmation within the bound stops serving, since its configuration may have been replaced. See
 * docs/design/membership.md. */
#ifndef SW_CORE_CONFIG_CURRENCY_H
#define SW_CORE_CONFIG_CURRENCY_H

#include "core/membership.h"
#include "core/types.h"

#include <glib.h>

/* Number of members remembered as holders of the newest configuration. */
#define CURRENCY_HOLDERS_MAX 4

struct currency_options {
    time_ns bound;         /* maximum time to serve without confirmation */
    time_ns fetch_wait;    /* time-out of a fetch, after which the next source is tried */
    time_ns holder_wait;   /* wait for a member that holds the newest configuration before the store
                              is queried */
    time_ns head_interval; /* time between two reads of the store's head, by the daemons that query
                              it */
    time_ns head_interval_unconfirmed; /* the same for a daemon without confirmation */
    bool ignore_bound;                 /* TEST ONLY: serve without confirmation (mutation) */
    bool apply_older; /* TEST ONLY: apply every configuration fetched, whatever its version
                         (mutation) */
};

enum currency_action_kind {
    CURRENCY_ACTION_FETCH_PEER,  /* get mark or a later version from the member `peer` */
    CURRENCY_ACTION_FETCH_STORE, /* get mark or a later version from the store */
    CURRENCY_ACTION_READ_HEAD,   /* read the version of the newest configuration in the store */
    CURRENCY_ACTION_APPLY,       /* put mark in force; it was just fetched */
    CURRENCY_ACTION_SERVE,       /* start serving requests */
    CURRENCY_ACTION_STOP,        /* refuse requests as not ready */
};

struct currency_action {
    enum currency_action_kind kind;
    struct configuration_mark mark;
    uint64_t peer;
};

/* What membership knows of confirmations; see membership_store_confirmed_at() and
 * membership_peers_confirmed_at(). */
struct currency_evidence {
    bool synced;        /* the member list is complete */
    bool queries_store; /* this daemon queries the store for its zone */
    time_ns store_confirmed_at;
    time_ns peers_confirmed_at;
};

/* Used by one thread only, the control thread. All calls append struct currency_action to
 * `actions`. */
struct currency;

void currency_options_default(struct currency_options *options);

struct currency *currency_new(const struct currency_options *options, time_ns now);
void currency_free(struct currency *currency);

/* Reports that a configuration exists. `holder` is the member that has it in force, or 0. */
void currency_announced(struct currency *currency, struct configuration_mark mark, uint64_t holder,
                        time_ns now, GArray *actions);

/* Results of READ_HEAD: the store's newest version (0: none yet), or failure. The caller also
 * reports the result to membership, by membership_record_store_reply() and
 * membership_announce_configuration(). */
void currency_head_read(struct currency *currency, struct configuration_mark head, time_ns now,
                        GArray *actions);
void currency_head_failed(struct currency *currency, time_ns now);

/* Results of a fetch: the configuration received, or failure. */
void currency_fetched(struct currency *currency, struct configuration_mark mark, time_ns now,
                      GArray *actions);
void currency_fetch_failed(struct currency *currency, time_ns now, GArray *actions);

/* Performs due work with current evidence. To be called at currency_next_wakeup() at the latest. */
void currency_tick(struct currency *currency, const struct currency_evidence *evidence, time_ns now,
                   GArray *actions);
time_ns currency_next_wakeup(const struct currency *currency);

struct configuration_mark currency_applied(const struct currency *currency);
struct configuration_mark currency_newest(const struct currency *currency);
bool currency_serving(const struct currency *currency);

/* The latest time at which the configuration in force was known to be the newest; 0: never. */
time_ns currency_confirmed_at(const struct currency *currency);

size_t currency_memory(const struct currency *currency);

#endif
