/* Which configuration a daemon applies, and whether it may serve. A lower version than applied or
 * heard of is never applied; a fresh daemon serves nothing until the store, or a majority of the
 * members, confirm that it has the newest; one that can't have that confirmed again within the
 * bound stops serving, as its configuration may have been replaced. See docs/design/membership.md.
 */
#ifndef SW_CORE_CONFIG_CURRENCY_H
#define SW_CORE_CONFIG_CURRENCY_H

#include "core/membership.h"
#include "core/types.h"

#include <glib.h>

/* Members remembered as holders of the wanted configuration. */
#define CURRENCY_HOLDERS_MAX 4

struct currency_options {
    time_ns bound;         /* longest time to serve without confirmation */
    time_ns fetch_wait;    /* for an answer to a fetch; the next source is tried after it */
    time_ns holder_wait;   /* for a member to turn up that holds what was heard of */
    time_ns head_interval; /* between two reads of the store's head, by those who ask it */
    time_ns head_urgent;   /* the same while nothing confirms this daemon */
    bool ignore_bound;     /* TEST ONLY: serve without confirmation (mutation) */
    bool apply_older;      /* TEST ONLY: apply what arrives, whatever its version (mutation) */
};

enum currency_action_kind {
    CURRENCY_ACTION_FETCH_PEER,  /* get mark or a later version from the member `peer` */
    CURRENCY_ACTION_FETCH_STORE, /* get mark or a later version from the store */
    CURRENCY_ACTION_READ_HEAD,   /* read which version the store has as newest */
    CURRENCY_ACTION_APPLY,       /* put mark, which was just fetched, in force */
    CURRENCY_ACTION_SERVE,       /* take requests */
    CURRENCY_ACTION_STOP,        /* refuse requests as not ready */
};

struct currency_action {
    enum currency_action_kind kind;
    struct configuration_mark mark;
    uint64_t peer;
};

/* What membership knows of confirmations; see membership_store_confirmed_at and
 * membership_peers_confirmed_at. */
struct currency_evidence {
    bool synced;        /* the member list is whole */
    bool queries_store; /* this daemon asks the store for its zone */
    time_ns store_confirmed_at;
    time_ns peers_confirmed_at;
};

/* One thread only: the control thread. All calls append struct currency_action to `actions`. */
struct currency;

void currency_options_default(struct currency_options *options);

struct currency *currency_new(const struct currency_options *options, time_ns now);
void currency_free(struct currency *currency);

/* A configuration exists; `holder` is the member that has it in force, or 0. */
void currency_announced(struct currency *currency, struct configuration_mark mark, uint64_t holder,
                        time_ns now, GArray *actions);

/* The store's answer to READ_HEAD: its newest version (0: none yet), or no answer. The shell tells
 * membership of the answer as well, by membership_record_store_reply and
 * membership_announce_configuration. */
void currency_head_read(struct currency *currency, struct configuration_mark head, time_ns now,
                        GArray *actions);
void currency_head_failed(struct currency *currency, time_ns now);

/* The answer to a fetch: the configuration that came, or none. */
void currency_fetched(struct currency *currency, struct configuration_mark mark, time_ns now,
                      GArray *actions);
void currency_fetch_failed(struct currency *currency, time_ns now, GArray *actions);

/* Does what is due, on fresh evidence. To be called at currency_next_wakeup at the latest. */
void currency_tick(struct currency *currency, const struct currency_evidence *evidence, time_ns now,
                   GArray *actions);
time_ns currency_next_wakeup(const struct currency *currency);

struct configuration_mark currency_applied(const struct currency *currency);
struct configuration_mark currency_newest(const struct currency *currency);
bool currency_serving(const struct currency *currency);

/* Since when the configuration in force is not known to be the newest; 0: never was. */
time_ns currency_confirmed_at(const struct currency *currency);

size_t currency_memory(const struct currency *currency);

#endif
