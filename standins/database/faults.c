/* Faults that tests switch on. See faults.h. */
#include "faults.h"

#include <string.h>

#define BLOCKED_POLL_US 2000

void faults_init(struct faults *faults)
{
    memset(faults, 0, sizeof *faults);
    pthread_mutex_init(&faults->lock, NULL);
    faults->cut_zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void faults_clear(struct faults *faults)
{
    faults_heal(faults);
    g_hash_table_unref(faults->cut_zones);
    pthread_mutex_destroy(&faults->lock);
}

void faults_heal(struct faults *faults)
{
    pthread_mutex_lock(&faults->lock);
    faults->cut_all = false;
    g_hash_table_remove_all(faults->cut_zones);
    faults->frozen_until_us = 0;
    faults->ends_idle_transactions = false;
    g_clear_pointer(&faults->hold_match, g_free);
    for (size_t i = 0; i < ANSWER_FAULT_COUNT; i++) {
        faults->answers[i].count = 0;
        g_clear_pointer(&faults->answers[i].match, g_free);
    }
    pthread_mutex_unlock(&faults->lock);
}

void faults_cut_zone(struct faults *faults, const char *zone)
{
    pthread_mutex_lock(&faults->lock);
    if (g_str_equal(zone, "*")) {
        faults->cut_all = true;
    } else {
        g_hash_table_add(faults->cut_zones, g_strdup(zone));
    }
    pthread_mutex_unlock(&faults->lock);
}

void faults_freeze(struct faults *faults, int64_t milliseconds)
{
    pthread_mutex_lock(&faults->lock);
    faults->frozen_until_us = g_get_monotonic_time() + milliseconds * 1000;
    pthread_mutex_unlock(&faults->lock);
}

void faults_plan_answers(struct faults *faults, enum answer_fault fault, uint64_t count,
                         const char *match)
{
    pthread_mutex_lock(&faults->lock);
    faults->answers[fault].count = count;
    g_free(faults->answers[fault].match);
    faults->answers[fault].match = g_strdup(match);
    pthread_mutex_unlock(&faults->lock);
}

bool faults_blocks(struct faults *faults, const char *zone)
{
    pthread_mutex_lock(&faults->lock);
    bool blocked = faults->cut_all || g_get_monotonic_time() < faults->frozen_until_us ||
                   (zone != NULL && g_hash_table_contains(faults->cut_zones, zone));
    pthread_mutex_unlock(&faults->lock);
    return blocked;
}

bool faults_frozen(struct faults *faults)
{
    pthread_mutex_lock(&faults->lock);
    bool frozen = g_get_monotonic_time() < faults->frozen_until_us;
    pthread_mutex_unlock(&faults->lock);
    return frozen;
}

bool faults_wait(struct faults *faults, const char *zone, const struct interrupt *interrupt)
{
    bool waited = false;
    while (faults_blocks(faults, zone) && !atomic_load(&interrupt->stopping)) {
        waited = true;
        g_usleep(BLOCKED_POLL_US);
    }
    return waited;
}

void faults_set_end_idle_transactions(struct faults *faults, bool ends)
{
    pthread_mutex_lock(&faults->lock);
    faults->ends_idle_transactions = ends;
    pthread_mutex_unlock(&faults->lock);
}

bool faults_end_idle_transactions(struct faults *faults)
{
    pthread_mutex_lock(&faults->lock);
    bool ends = faults->ends_idle_transactions;
    pthread_mutex_unlock(&faults->lock);
    return ends;
}

void faults_hold(struct faults *faults, const char *match)
{
    pthread_mutex_lock(&faults->lock);
    g_free(faults->hold_match);
    faults->hold_match = g_strdup(match);
    pthread_mutex_unlock(&faults->lock);
}

void faults_release(struct faults *faults)
{
    pthread_mutex_lock(&faults->lock);
    g_clear_pointer(&faults->hold_match, g_free);
    pthread_mutex_unlock(&faults->lock);
}

unsigned faults_held(struct faults *faults)
{
    pthread_mutex_lock(&faults->lock);
    unsigned held = faults->held;
    pthread_mutex_unlock(&faults->lock);
    return held;
}

/* The caller holds the lock. */
static bool is_held(const struct faults *faults, const char *sql)
{
    return faults->hold_match != NULL && strstr(sql, faults->hold_match) != NULL;
}

void faults_wait_held(struct faults *faults, const char *sql, const struct interrupt *interrupt)
{
    pthread_mutex_lock(&faults->lock);
    faults->held++; /* counted before the check; callers see it only if the statement waits, as the
                       lock is held until then */
    while (is_held(faults, sql) && !interrupt_pending(interrupt)) {
        pthread_mutex_unlock(&faults->lock);
        g_usleep(BLOCKED_POLL_US);
        pthread_mutex_lock(&faults->lock);
    }
    faults->held--;
    pthread_mutex_unlock(&faults->lock);
}

static bool plan_matches(const struct answer_fault_plan *plan, const char *sql)
{
    if (plan->count == 0) {
        return false;
    }
    if (plan->match == NULL || plan->match[0] == '\0') {
        return strstr(sql, "swiftworks_") == NULL;
    }
    return strstr(sql, plan->match) != NULL;
}

enum answer_fault faults_next_answer(struct faults *faults, const char *sql)
{
    enum answer_fault found = ANSWER_FAULT_NONE;
    pthread_mutex_lock(&faults->lock);
    for (size_t i = 0; i < ANSWER_FAULT_COUNT && found == ANSWER_FAULT_NONE; i++) {
        if (plan_matches(&faults->answers[i], sql)) {
            faults->answers[i].count--;
            found = (enum answer_fault)i;
        }
    }
    pthread_mutex_unlock(&faults->lock);
    return found;
}
