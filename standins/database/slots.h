/* The limit of statements that a database runs at once; others wait for a slot. */
#ifndef STANDIN_DATABASE_SLOTS_H
#define STANDIN_DATABASE_SLOTS_H

#include <glib.h>
#include <pthread.h>

#include "interrupt.h"

/* Safe for use by several threads. */
struct slots {
    pthread_mutex_t lock;
    pthread_cond_t freed;
    guint limit;
    guint used;
    guint peak;
    int64_t service_time_us; /* how long a statement holds its slot */
};

void slots_init(struct slots *slots, guint limit, int64_t service_time_us);
void slots_clear(struct slots *slots);

/* Waits for a slot, holds it for the service time, and releases it. */
void slots_pass(struct slots *slots, const struct interrupt *interrupt);

void slots_set_service_time(struct slots *slots, int64_t service_time_us);
guint slots_peak(struct slots *slots);

#endif
