/* One attempt to fetch a configuration, or to read which version is the newest: from the platform's
 * store, from another daemon, or from the publisher that handed it over. It blocks for a bounded
 * time, and so runs only on the fetcher's threads. A configuration is checked against its hash and
 * parsed before it is passed on. */
#ifndef SW_DAEMON_CONFIGURATION_FETCH_H
#define SW_DAEMON_CONFIGURATION_FETCH_H

#include <glib.h>

#include "daemon/configuration_share.h"
#include "daemon/control.h"
#include "wire/peer_pool.h"

struct version_store;

/* Bytes of an error text, including the terminating NUL. */
#define FETCH_TEXT_SIZE 96

enum fetch_source {
    FETCH_SOURCE_HEAD,  /* the store's head, and its content if that is newer */
    FETCH_SOURCE_STORE, /* the content of the store's head */
    FETCH_SOURCE_PEER,  /* another daemon */
    /* A publisher that handed the content over after it had moved the store's head. The store's
     * answer takes precedence. While the store is unreachable, the publisher's statement is
     * accepted for the version that follows the one in force here, since the publisher names both:
     * see docs/design/configuration.md. */
    FETCH_SOURCE_PUBLISHER,
};

#define FETCH_SOURCE_COUNT (FETCH_SOURCE_PUBLISHER + 1)

/* What to fetch. */
struct fetch_request {
    enum fetch_source source;
    /* HEAD: the newest known. PUBLISHER: the version handed over. Otherwise: this version or a
     * later one; its hash is checked unless 0. */
    struct configuration_mark wanted;
    struct configuration_mark base;  /* PUBLISHER: the previous version; hash 0: unknown to it */
    GBytes *content;                 /* PUBLISHER: canonical JSON of `wanted`; owned */
    char address[ADDRESS_TEXT_SIZE]; /* PEER */
};

enum fetch_outcome {
    FETCH_OUTCOME_NONE,    /* the source has no version that was requested */
    FETCH_OUTCOME_FOUND,   /* see published */
    FETCH_OUTCOME_FAILED,  /* no answer; the error is in `text` */
    FETCH_OUTCOME_REFUSED, /* received but rejected; the reason is in `text` */
};

/* Result of a fetch. */
struct fetch_result {
    struct fetch_request request;
    enum fetch_outcome outcome;
    time_ns requested_at;           /* the answer was valid at this time or later */
    bool head_known;                /* HEAD, STORE, PUBLISHER: the store answered with its head */
    struct configuration_mark head; /* version 0: nothing is published */
    struct published_configuration *published; /* FOUND: one reference */
    struct configuration_mark refused;         /* REFUSED: the version received */
    bool unparsable; /* REFUSED: does not parse, so that no other copy will either */
    bool difference; /* FOUND: received as a difference */
    char text[FETCH_TEXT_SIZE];
};

/* The sources of a fetch. Borrowed. */
struct fetch_context {
    struct version_store *store; /* HEAD, STORE */
    struct peer_pool *peers;     /* PEER */
    struct configuration_share *share;
};

/* Carries out a request and takes ownership of what the request owns. The caller frees the result.
 */
struct fetch_result *configuration_fetch(const struct fetch_context *context,
                                         const struct fetch_request *request);

/* Frees what a request owns, for a request that is not carried out. */
void fetch_request_clear(struct fetch_request *request);

void fetch_result_free(struct fetch_result *result);

#endif
