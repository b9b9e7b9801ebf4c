/**
 * @file
 * @brief Mirrors: poolers that serve full copies of the store's tables to other poolers. Decides
 * which poolers are mirrors, and when a pooler requests the tables from one.
 *
 * A pooler that starts has neither table, and one that learns of changes too large for a message is
 * missing those. With a thousand groups the tables are a megabyte: read at the store by every
 * pooler of a fleet after a power failure, they take a second of its link and are the most
 * expensive reads of a day. So a few poolers in each zone, those on strong machines first, are
 * named to all by the coordinator and in the lease's row, and serve the tables instead. Mirrors
 * themselves read the store.
 *
 * The number of mirrors is proportional to the poolers of a zone, so that each mirror sends as much
 * in a large fleet as in a small one. A mirror that does not acknowledge a request costs
 * MIRROR_ACK_TIMEOUT_NS; one that refuses the connection is tried again, as it may be starting,
 * too. After MIRROR_TRY_MIN_NS and MIRROR_REQUESTS_MIN requests, or if no mirror becomes known in
 * time, the pooler reads the store. A pooler that already serves and is missing a change tries one
 * mirror, for a part of the time within which the change must be in force.
 *
 * No sockets and no clock: the current time is a parameter.
 */
#ifndef SW_POOLER_MIRRORS_H
#define SW_POOLER_MIRRORS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "generated/messages.h"

/** @brief One mirror per this many poolers of a zone, rounded up: with a thousand groups, the last
 * of them has the tables after 0.15 s through half of a link of 1 Gbit/s. */
#define POOLERS_PER_MIRROR 40

/** @brief Upper bound on the mirrors, so that messages and the lease's row stay bounded. From 5,000
 * poolers on, each mirror serves more than POOLERS_PER_MIRROR. */
#define MIRRORS_MAX 128

/** @brief A starting pooler sends at least this many requests before it reads the store. */
#define MIRROR_REQUESTS_MIN 2

/** @brief It tries mirrors for at least this long: machines that start together do so within 0.3 s,
 * and a mirror needs some calls at the store before it has the tables. */
#define MIRROR_TRY_MIN_NS (1000 * NANOSECONDS_PER_MILLISECOND)

/** @brief Pause after a request that failed at once. */
#define MIRROR_RETRY_NS (50 * NANOSECONDS_PER_MILLISECOND)

/** @brief Time-out for a mirror's acknowledgement. Longer than machines that start together take to
 * start. */
#define MIRROR_ACK_TIMEOUT_NS (400 * NANOSECONDS_PER_MILLISECOND)

/** @brief Time-out for the tables after the acknowledgement: the mirror may have to read them
 * first, and other receivers share its link. */
#define MIRROR_ANSWER_TIMEOUT_NS (1500 * NANOSECONDS_PER_MILLISECOND)

/** @brief Time-out for a change, as a part of the bound within which the change must be in force.
 * The rest is for its announcement and for a call at the store. */
#define MIRROR_CHANGE_TIMEOUT_PART 0.1

/** @brief A starting pooler waits this long after `missing_since` for the list of mirrors, if some
 * pooler or the lease's row may still name them: at the very first start a coordinator first waits
 * for its fleet to connect and may hand the lease over to a stronger machine. */
#define MIRROR_NAMES_WAIT_NS (3000 * NANOSECONDS_PER_MILLISECOND)

/** @brief A new coordinator keeps the list that it had received for as long as poolers take to
 * connect to it, rather than replace it by a shorter one. */
#define MIRRORS_KEEP_NS (3000 * NANOSECONDS_PER_MILLISECOND)

/** @brief A pooler's requests since it has been missing tables. Start from zeros. */
typedef struct mirror_requests {
    unsigned sent;         /* number of requests */
    time_ns first_sent_at; /* when the first was sent; 0: none was */
    time_ns sent_at;       /* when the open one was sent; 0: none is open */
    time_ns failed_at;     /* when the last one that failed did so; 0: none has */
    bool acknowledged;     /* the mirror has acknowledged the open one */
} mirror_requests_t;

/** @brief What else the decision needs. */
typedef struct mirror_inputs {
    bool reads_store;       /* as the coordinator, a mirror, or a follower that has the tables */
    bool starts;            /* it has no version of some table, and can't serve yet */
    time_ns bound;          /* time within which a change must be in force */
    bool may_learn_mirrors; /* the list of mirrors may still arrive */
    unsigned mirrors;       /* known mirrors without this pooler */
    time_ns missing_since;  /* end of the wait after the start, or when tables were found missing */
} mirror_inputs_t;

/** @brief What to do about missing tables. */
typedef enum mirror_step {
    MIRROR_STEP_WAIT,
    MIRROR_STEP_REQUEST, /* send a request to the next mirror */
    MIRROR_STEP_STORE,   /* read the store */
} mirror_step_t;

/** @return what to do now. An open request that has timed out counts as failed. */
mirror_step_t mirror_next_step(const mirror_requests_t *requests, const mirror_inputs_t *inputs,
                               time_ns now);

/** @brief A pooler from which mirrors may be chosen. */
typedef struct mirror_candidate {
    const char *address;
    const char *zone;
    uint32_t millicores; /* processor time that its machine grants, in thousandths of a core */
} mirror_candidate_t;

/** @brief Chooses the mirrors: the same ones from the same candidates in any order. Sorts the
 * candidates.
 * @return an array of pooler_mirror, which owns them. */
GPtrArray *mirrors_choose(mirror_candidate_t *candidates, size_t count);

/** @brief Inputs of the decision whether a new choice of mirrors replaces the list. */
typedef struct mirror_choice {
    time_ns since;            /* start of the coordinator's lease */
    size_t candidates;        /* poolers connected to it now */
    size_t candidates_before; /* poolers connected at the previous choice */
    guint known;              /* number of mirrors in the list now */
    guint chosen;             /* number of mirrors in the new choice */
} mirror_choice_t;

/** @return true if the new choice should replace the list now. While a fleet connects, a choice
 * would consist of the few poolers that connected first. */
bool mirrors_choice_is_settled(const mirror_choice_t *choice, time_ns now);

/** @return true if both lists have the same poolers in the same order. */
bool mirrors_equal(const GPtrArray *a, const GPtrArray *b);

/** @brief Makes a list of pooler_mirror, which owns them. */
GPtrArray *mirrors_new(void);
void mirrors_add(GPtrArray *mirrors, const char *address, const char *zone);

/** @brief The mirror that a pooler tries at its request number `turn`, from 0: mirrors of its own
 * zone first, starting at a position that depends on `seed`, so that the poolers spread over the
 * mirrors. After the last mirror it starts again.
 * @param own its own address, which is never returned.
 * @return the address; NULL if there is none. */
const char *mirrors_at(const GPtrArray *mirrors, const char *zone, const char *own, guint seed,
                       unsigned turn);

/** @return the number of mirrors without the one at address `own`. */
unsigned mirrors_count_others(const GPtrArray *mirrors, const char *own);

#endif
