/* The limit of concurrent statements. See slots.h. */
#include "slots.h"

#include <string.h>

void slots_init(struct slots *slots, guint limit, int64_t service_time_us)
{
    memset(slots, 0, sizeof *slots);
    pthread_mutex_init(&slots->lock, NULL);
    pthread_cond_init(&slots->freed, NULL);
    slots->limit = limit;
    slots->service_time_us = service_time_us;
}

void slots_clear(struct slots *slots)
{
    pthread_cond_destroy(&slots->freed);
    pthread_mutex_destroy(&slots->lock);
}

void slots_pass(struct slots *slots, const struct interrupt *interrupt)
{
    pthread_mutex_lock(&slots->lock);
    while (slots->used >= slots->limit) {
        pthread_cond_wait(&slots->freed, &slots->lock);
    }
    slots->used++;
    slots->peak = MAX(slots->peak, slots->used);
    int64_t service_time_us = slots->service_time_us;
    pthread_mutex_unlock(&slots->lock);
    interrupt_sleep(interrupt, service_time_us);
    pthread_mutex_lock(&slots->lock);
    slots->used--;
    pthread_cond_signal(&slots->freed);
    pthread_mutex_unlock(&slots->lock);
}

void slots_set_service_time(struct slots *slots, int64_t service_time_us)
{
    pthread_mutex_lock(&slots->lock);
    slots->service_time_us = service_time_us;
    pthread_mutex_unlock(&slots->lock);
}

guint slots_peak(struct slots *slots)
{
    pthread_mutex_lock(&slots->lock);
    guint peak = slots->peak;
    pthread_mutex_unlock(&slots->lock);
    return peak;
}
