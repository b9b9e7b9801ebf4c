/* Faults that tests inject: network partitions of zones, freezes, held statements, and lost
 * answers. */
#ifndef STANDIN_DATABASE_FAULTS_H
#define STANDIN_DATABASE_FAULTS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "interrupt.h"

/* The fault that the answer to a statement meets. */
enum answer_fault {
    ANSWER_FAULT_NONE,
    ANSWER_FAULT_DROP,     /* never sent; the connection stays open without a reply */
    ANSWER_FAULT_CLOSE,    /* never sent; the connection is closed */
    ANSWER_FAULT_TRUNCATE, /* half of it is sent, then the connection is closed */
    ANSWER_FAULT_COUNT,
};

/* A fault planned for the answers to the next `count` statements that contain `match`. */
struct answer_fault_plan {
    uint64_t count;
    char *match; /* NULL or empty: all statements except calls of the swiftworks functions */
};

/* Safe for threads: the lock guards all fields. */
struct faults {
    pthread_mutex_t lock;
    bool cut_all;
    GHashTable *cut_zones; /* zones that are partitioned; set of owned char * */
    int64_t frozen_until_us;
    struct answer_fault_plan answers[ANSWER_FAULT_COUNT];
    bool ends_idle_transactions;
    char *hold_match; /* statements that contain it are held; NULL: none */
    unsigned held;    /* number of statements that are held now */
};

void faults_init(struct faults *faults);
void faults_clear(struct faults *faults);

/* Ends all faults. */
void faults_heal(struct faults *faults);

/* Partitions the zone from the database; "*" means all zones. Data on its connections is delayed
 * until faults_heal. */
void faults_cut_zone(struct faults *faults, const char *zone);

/* Stops all processing for this time. */
void faults_freeze(struct faults *faults, int64_t milliseconds);

void faults_plan_answers(struct faults *faults, enum answer_fault fault, uint64_t count,
                         const char *match);

/* Sets whether every open transaction is ended as idle for too long. */
void faults_set_end_idle_transactions(struct faults *faults, bool ends);
bool faults_end_idle_transactions(struct faults *faults);

/* Holds statements that contain `match` before they run, until faults_release. */
void faults_hold(struct faults *faults, const char *match);
void faults_release(struct faults *faults);

/* The number of statements held. */
unsigned faults_held(struct faults *faults);

/* Waits while the statement is held. Returns early if the client disconnects or the program stops.
 */
void faults_wait_held(struct faults *faults, const char *sql, const struct interrupt *interrupt);

/* Waits while the zone's connections (NULL: the zone is not known yet) are partitioned or the
 * database is frozen. Returns true if it had to wait. Returns early when the program stops. */
bool faults_wait(struct faults *faults, const char *zone, const struct interrupt *interrupt);

/* True while the zone's connections are partitioned or the database is frozen. */
bool faults_blocks(struct faults *faults, const char *zone);

/* True while the database is frozen. */
bool faults_frozen(struct faults *faults);

/* The fault for the answer to this statement. Uses up one of the planned count. */
enum answer_fault faults_next_answer(struct faults *faults, const char *sql);

#endif
