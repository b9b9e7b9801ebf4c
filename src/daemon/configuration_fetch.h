/* One attempt to get a configuration, or to read which is the newest: from the platform's store,
 * from another daemon, or out of the hands of whoever published it. Blocks for a bounded time, so
 * it runs on the fetcher's threads only. What comes is checked against its hash and parsed before
 * anyone else sees it. */
#ifndef SW_DAEMON_CONFIGURATION_FETCH_H
#define SW_DAEMON_CONFIGURATION_FETCH_H

#include <glib.h>

#include "daemon/configuration_share.h"
#include "daemon/control.h"
#include "wire/peer_pool.h"

struct version_store;

/* Octets of a reason, its end included. */
#define FETCH_TEXT_SIZE 96

enum fetch_source {
    FETCH_SOURCE_HEAD,  /* the store's head, and its content if that is news */
    FETCH_SOURCE_STORE, /* the content of the store's head */
    FETCH_SOURCE_PEER,  /* another daemon */
    /* A publisher who handed the content over after it moved the head. The store's word goes before
     * its own; while the store is silent, its own counts for the version that follows the one in
     * force here, as the publisher names both: see docs/design/configuration.md. */
    FETCH_SOURCE_PUBLISHER,
};

#define FETCH_SOURCE_COUNT (FETCH_SOURCE_PUBLISHER + 1)

/* What to get. */
struct fetch_order {
    enum fetch_source source;
    /* HEAD: the newest known. PUBLISHER: what was handed over. Else: this version or a later one;
     * its hash is checked unless 0. */
    struct configuration_mark wanted;
    struct configuration_mark base;  /* PUBLISHER: the version before; hash 0: not known to it */
    GBytes *content;                 /* PUBLISHER: canonical JSON of `wanted`; owned */
    char address[ADDRESS_TEXT_SIZE]; /* PEER */
};

enum fetch_outcome {
    FETCH_OUTCOME_NONE,    /* the source has nothing that was wanted */
    FETCH_OUTCOME_FOUND,   /* see published */
    FETCH_OUTCOME_FAILED,  /* no answer, see text */
    FETCH_OUTCOME_REFUSED, /* came, but may not be used, see text */
};

/* What came of it. */
struct fetch_result {
    struct fetch_order order;
    enum fetch_outcome outcome;
    time_ns asked_at;                          /* the answer was true then or later */
    bool head_known;                           /* HEAD, STORE, PUBLISHER: the store told its head */
    struct configuration_mark head;            /* version 0: nothing is published */
    struct published_configuration *published; /* FOUND: one reference */
    struct configuration_mark refused;         /* REFUSED: what came */
    bool unfit;      /* REFUSED: does not parse, so that any other copy is no better */
    bool difference; /* FOUND: came as a difference */
    char text[FETCH_TEXT_SIZE];
};

/* Where to get it. Borrowed. */
struct fetch_means {
    struct version_store *store; /* HEAD, STORE */
    struct peer_pool *peers;     /* PEER */
    struct configuration_share *share;
};

/* Carries out an order, and takes over what it owns. The caller frees the result. */
struct fetch_result *configuration_fetch(const struct fetch_means *means,
                                         const struct fetch_order *order);

/* Frees what an order owns that is not carried out. */
void fetch_order_clear(struct fetch_order *order);

void fetch_result_free(struct fetch_result *result);

#endif
