/* Faults that tests switch on: cut zones, freezes, slowness, and answers that get lost. */
#ifndef STANDIN_DATABASE_FAULTS_H
#define STANDIN_DATABASE_FAULTS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "interrupt.h"

/* What becomes of the answer to a statement. */
enum answer_fault {
    ANSWER_FAULT_NONE,
    ANSWER_FAULT_DROP,     /* never sent; the connection hangs */
    ANSWER_FAULT_CLOSE,    /* never sent; the connection is closed */
    ANSWER_FAULT_TRUNCATE, /* half of it is sent, then the connection is closed */
    ANSWER_FAULT_COUNT,
};

/* How many more statements that contain `match` meet a fault. */
struct answer_fault_plan {
    uint64_t count;
    char *match; /* NULL or empty: any but the swiftworks functions */
};

/* Safe for threads: the lock guards all fields. */
struct faults {
    pthread_mutex_t lock;
    bool cut_all;
    GHashTable *cut_zones; /* set of owned char * */
    int64_t frozen_until_us;
    struct answer_fault_plan answers[ANSWER_FAULT_COUNT];
    bool ends_idle_transactions;
    char *hold_match; /* statements that contain it wait; NULL: none do */
    unsigned held;    /* statements that wait */
};

void faults_init(struct faults *faults);
void faults_clear(struct faults *faults);

/* Ends all faults. */
void faults_heal(struct faults *faults);

/* Cuts a zone off; "*" cuts all. Bytes of its connections stay under way until the cut is healed.
 */
void faults_cut_zone(struct faults *faults, const char *zone);

/* Halts everything for a time. */
void faults_freeze(struct faults *faults, int64_t milliseconds);

void faults_plan_answers(struct faults *faults, enum answer_fault fault, uint64_t count,
                         const char *match);

/* Open transactions count as idle for too long from now on, or no more. */
void faults_set_end_idle_transactions(struct faults *faults, bool ends);
bool faults_end_idle_transactions(struct faults *faults);

/* Statements that contain `match` wait from now on, before they run, until faults_release. */
void faults_hold(struct faults *faults, const char *match);
void faults_release(struct faults *faults);

/* Statements that wait so. */
unsigned faults_held(struct faults *faults);

/* Waits while the statement is held. Ends early if its client goes or the program stops. */
void faults_wait_held(struct faults *faults, const char *sql, const struct interrupt *interrupt);

/* Waits while connections of the zone (NULL: not known yet) are cut or frozen. Returns true if it
 * had to wait. Ends early when the program stops. */
bool faults_wait(struct faults *faults, const char *zone, const struct interrupt *interrupt);

/* True while connections of the zone are cut or frozen. */
bool faults_blocks(struct faults *faults, const char *zone);

/* True while frozen. */
bool faults_frozen(struct faults *faults);

/* The fault the answer to this statement meets. Counts it down. */
enum answer_fault faults_next_answer(struct faults *faults, const char *sql);

#endif
