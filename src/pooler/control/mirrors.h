/**
 * @file
 * @brief Mirrors: poolers that pass the store's tables on, as a whole, to poolers that lack them.
 *
 * A pooler that starts lacks both tables, and so does one that was told of more than a message of
 * changes holds. At a thousand groups the tables are a megabyte: read at the store by every pooler
 * of a fleet that has lost power, they are a second of its link and the dearest thing in a day. So
 * a few poolers in each zone, strong machines first, are named to all, by the coordinator and in
 * the lease's row, and are asked instead. Mirrors themselves read the store.
 *
 * How many there are follows from the poolers of a zone, so that one mirror has as much to send in
 * a large fleet as in a small one. A mirror that gives no sign costs MIRROR_ACK_TIMEOUT_NS, and one
 * that can't be connected to is tried again, as it may be starting, too. After MIRROR_TRY_MIN_NS
 * and MIRROR_REQUESTS_MIN requests, or where none is named in time, a pooler helps itself at the
 * store. One that serves already, and lacks a change, asks one mirror, for a part of the time
 * within which the change must be in force.
 *
 * Pure; time comes in.
 */
#ifndef SW_POOLER_MIRRORS_H
#define SW_POOLER_MIRRORS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "generated/messages.h"

/** @brief One mirror for each so many poolers of a zone, or part of them: at a thousand groups the
 *  last of them is told after 0.15 s by half of a link of 1 Gbit/s. */
#define POOLERS_PER_MIRROR 40

/** @brief At most so many are named, as messages and the lease's row hold no more. Beyond, at 5,000
 *  poolers, each has more of them to tell. */
#define MIRRORS_MAX 128

/** @brief Questions that a starting pooler asks before it reads the store, at least. */
#define MIRROR_REQUESTS_MIN 2

/** @brief It asks for so long, at least: machines that start together do so within 0.3 s, and a
 *  mirror takes some calls at the store to have something to tell. */
#define MIRROR_TRY_MIN_NS (1000 * NANOSECONDS_PER_MILLISECOND)

/** @brief After a question that failed at once, the next one waits so long. */
#define MIRROR_RETRY_NS (50 * NANOSECONDS_PER_MILLISECOND)

/** @brief A mirror that has given no sign for so long is given up: it is dark, or gone. Longer than
 *  machines that start together take to start. */
#define MIRROR_ACK_TIMEOUT_NS (400 * NANOSECONDS_PER_MILLISECOND)

/** @brief One that has given a sign has so long to send the tables, as it may be about to read them
 *  itself, and others wait for its link. */
#define MIRROR_ANSWER_TIMEOUT_NS (1500 * NANOSECONDS_PER_MILLISECOND)

/** @brief The same for a change, as a part of the bound within which it must be in force: its news
 *  and a look at the store have the rest. */
#define MIRROR_CHANGE_TIMEOUT_PART 0.1

/** @brief So long after its usual wait a starting pooler goes on waiting to be told who the mirrors
 *  are, if somebody may tell it: at the very first start a coordinator gathers its fleet, and may
 *  leave the lease to a stronger machine. */
#define MIRROR_NAMES_WAIT_NS (3000 * NANOSECONDS_PER_MILLISECOND)

/** @brief A new coordinator keeps the mirrors that it was told, for as long as poolers take to
 *  connect to it, rather than name fewer. */
#define MIRRORS_KEEP_NS (3000 * NANOSECONDS_PER_MILLISECOND)

/** @brief A pooler's requests since it has lacked the tables. Start from zeros. */
typedef struct mirror_requests {
    unsigned sent;         /* requests so far */
    time_ns first_sent_at; /* the first of them was sent then; 0: none was */
    time_ns sent_at;       /* the open one was sent then; 0: none is open */
    time_ns failed_at;     /* the last one that failed did so then; 0: none has */
    bool acknowledged;     /* the mirror has given a sign of life */
} mirror_requests_t;

/** @brief What the decision needs besides. */
typedef struct mirror_inputs {
    bool reads_store;       /* this pooler is the coordinator, a mirror, or follows what it knows */
    bool starts;            /* it knows nothing of a table, and serves nobody */
    time_ns bound;          /* within which a change must be in force */
    bool may_learn_mirrors; /* somebody may yet name the mirrors */
    unsigned mirrors;       /* that are known, without this pooler */
    time_ns
        missing_since; /* the usual wait of a start has ended, or the tables were found lacking */
} mirror_inputs_t;

/** @brief What to do about tables that are lacking. */
typedef enum mirror_step {
    MIRROR_STEP_WAIT,
    MIRROR_STEP_REQUEST, /* the next mirror */
    MIRROR_STEP_STORE,   /* read the store */
} mirror_step_t;

/** @return what to do now. An open question that has taken too long counts as failed. */
mirror_step_t mirror_next_step(const mirror_requests_t *requests, const mirror_inputs_t *view,
                               time_ns now);

/** @brief A pooler as a mirror may be chosen from. */
typedef struct mirror_candidate {
    const char *address;
    const char *zone;
    uint32_t millicores; /* processor that its machine grants, in thousandths of a core */
} mirror_candidate_t;

/** @brief Chooses the mirrors, the same ones from the same candidates in any order. Sorts them.
 *  @return of pooler_mirror, freed with it. */
GPtrArray *mirrors_choose(mirror_candidate_t *candidates, size_t count);

/** @brief What the decision whether a choice is good yet needs. */
typedef struct mirror_gathering {
    time_ns since;            /* the coordinator has led since then */
    size_t candidates;        /* poolers that it hears now */
    size_t candidates_before; /* the same as of the last look */
    guint known;              /* mirrors that are named now */
    guint chosen;             /* that would be named instead */
} mirror_gathering_t;

/** @return true if the chosen ones are to be named now. A fleet that still connects would name the
 *  few that were quickest, to all. */
bool mirrors_choice_is_settled(const mirror_gathering_t *gathering, time_ns now);

/** @return true if both name the same poolers in the same order. */
bool mirrors_equal(const GPtrArray *a, const GPtrArray *b);

/** @brief A list to add pooler_mirror to, which frees them. */
GPtrArray *mirrors_new(void);
void mirrors_add(GPtrArray *mirrors, const char *address, const char *zone);

/** @brief The mirror that a pooler asks as its `turn`th, from 0: those of its own zone first, and
 *  another one for each pooler, by `seed`, so that all have as much to send.
 *  After the last one it begins again.
 *  @param own its own address, which is never returned.
 *  @return the address; NULL if there is none. */
const char *mirrors_at(const GPtrArray *mirrors, const char *zone, const char *own, guint seed,
                       unsigned turn);

/** @return how many there are without the one at this address. */
unsigned mirrors_count_others(const GPtrArray *mirrors, const char *own);

#endif
