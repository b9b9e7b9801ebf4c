/* Admission of work to one database; see the header. */
#include "core/admission.h"

#include <string.h>

/* Initial estimate of the time for which a request holds a slot. */
#define SERVICE_TIME_INITIAL (5 * NANOSECONDS_PER_MILLISECOND)

/* Smoothing: each sample moves the average by 1/16. */
#define SERVICE_TIME_SHIFT 4

/* A request starts only while this many service times are left before its deadline. One that ends
 * later has used a slot without benefit. */
#define SERVICE_TIMES_LEFT 2

/* A request is queued only if its estimated wait is at most this percentage of the time to its
 * deadline. A longer queue serves no more requests, and each of them later. */
#define QUEUE_TIME_PERCENT 50

/* Virtual cost of one request at weight 1. */
#define VIRTUAL_COST UINT64_C(1000000)

void admission_init(struct admission *admission, uint32_t slots, uint32_t queue_limit)
{
    memset(admission, 0, sizeof(*admission));
    admission->slots = slots;
    admission->queue_limit = queue_limit;
    admission->service_time = SERVICE_TIME_INITIAL;
    for (int rank = 0; rank < ADMISSION_CLASS_COUNT; rank++) {
        admission->queues[rank] = g_sequence_new(NULL);
    }
}

void admission_clear(struct admission *admission)
{
    for (int rank = 0; rank < ADMISSION_CLASS_COUNT; rank++) {
        g_sequence_free(admission->queues[rank]);
        admission->queues[rank] = NULL;
    }
}

/* Number of queued requests that are served before a new one of this class. */
static uint32_t queued_ahead(const struct admission *admission, enum admission_class rank)
{
    uint32_t ahead = 0;
    for (int other = 0; other <= (int)rank; other++) {
        ahead += (uint32_t)g_sequence_get_length(admission->queues[other]);
    }
    return ahead;
}

static time_ns time_to_serve(const struct admission *admission, uint32_t requests)
{
    return admission->service_time * requests / MAX(admission->slots, 1);
}

uint32_t admission_drain_ms(const struct admission *admission)
{
    time_ns drain = time_to_serve(admission, admission->queued + 1);
    return (uint32_t)(drain / NANOSECONDS_PER_MILLISECOND) + 1;
}

/* True if the request would probably end after its deadline if it started now. */
static bool would_miss_deadline(const struct admission *admission,
                                const struct admission_ticket *ticket, time_ns now)
{
    return now + SERVICE_TIMES_LEFT * admission->service_time > ticket->deadline;
}

/* True if the request, if queued now, would wait for more than QUEUE_TIME_PERCENT of its time. */
static bool waits_too_long(const struct admission *admission, const struct admission_ticket *ticket,
                           time_ns now)
{
    time_ns left = ticket->deadline > now ? ticket->deadline - now : 0;
    uint32_t ahead = queued_ahead(admission, ticket->rank);
    /* The wait includes the request's own service, since a reply after the deadline is useless. */
    time_ns wait = time_to_serve(admission, ahead + 1) + admission->service_time;
    return wait > left / 100 * QUEUE_TIME_PERCENT;
}

static int compare_tickets(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct admission_ticket *first = a;
    const struct admission_ticket *second = b;
    if (first->tag != second->tag) {
        return first->tag < second->tag ? -1 : 1;
    }
    return 0;
}

static void update_demand_peak(struct admission *admission)
{
    uint32_t demand = admission->in_flight + admission->queued;
    admission->demand_peak = MAX(admission->demand_peak, demand);
}

void admission_set_slots(struct admission *admission, uint32_t slots)
{
    admission->slots = slots;
}

uint32_t admission_take_demand(struct admission *admission)
{
    uint32_t peak = admission->demand_peak;
    admission->demand_peak = admission->in_flight + admission->queued;
    return peak;
}

/* Assigns the ticket's order among the tenants of its class. */
static void tag_ticket(struct admission *admission, struct admission_ticket *ticket)
{
    uint64_t *finish = &admission->tenant_finish[ticket->tenant % ADMISSION_TENANT_BUCKETS];
    uint64_t start = MAX(*finish, admission->virtual_time);
    ticket->tag = start;
    *finish = start + VIRTUAL_COST / MAX(ticket->weight, 1);
}

enum admission_verdict admission_enter(struct admission *admission, struct admission_ticket *ticket,
                                       time_ns now, uint32_t *retry_after_ms)
{
    ticket->entered_at = now;
    if (admission->in_flight < admission->slots && admission->queued == 0) {
        admission->in_flight++;
        update_demand_peak(admission);
        return ADMISSION_ADMITTED;
    }
    if (admission->queued >= admission->queue_limit || waits_too_long(admission, ticket, now)) {
        admission->refused_total++;
        *retry_after_ms = admission_drain_ms(admission);
        return ADMISSION_REFUSED;
    }
    tag_ticket(admission, ticket);
    g_sequence_insert_sorted(admission->queues[ticket->rank], ticket, compare_tickets, NULL);
    admission->queued++;
    update_demand_peak(admission);
    return ADMISSION_QUEUED;
}

void admission_leave(struct admission *admission, time_ns held_for)
{
    admission->in_flight--;
    int64_t difference = (int64_t)held_for - (int64_t)admission->service_time;
    int64_t smoothed = (int64_t)admission->service_time + difference / (1 << SERVICE_TIME_SHIFT);
    admission->service_time = (time_ns)MAX(smoothed, 1);
}

static struct admission_ticket *first_queued(struct admission *admission, GSequenceIter **place)
{
    for (int rank = 0; rank < ADMISSION_CLASS_COUNT; rank++) {
        GSequenceIter *begin = g_sequence_get_begin_iter(admission->queues[rank]);
        if (!g_sequence_iter_is_end(begin)) {
            *place = begin;
            return g_sequence_get(begin);
        }
    }
    return NULL;
}

static struct admission_ticket *take_expired_from(struct admission *admission, GSequence *queue,
                                                  time_ns now)
{
    GSequenceIter *place = g_sequence_get_begin_iter(queue);
    while (!g_sequence_iter_is_end(place)) {
        struct admission_ticket *ticket = g_sequence_get(place);
        if (would_miss_deadline(admission, ticket, now)) {
            g_sequence_remove(place);
            admission->queued--;
            admission->refused_total++;
            return ticket;
        }
        place = g_sequence_iter_next(place);
    }
    return NULL;
}

struct admission_ticket *admission_take_expired(struct admission *admission, time_ns now)
{
    struct admission_ticket *ticket = NULL;
    for (int rank = 0; rank < ADMISSION_CLASS_COUNT && ticket == NULL; rank++) {
        ticket = take_expired_from(admission, admission->queues[rank], now);
    }
    return ticket;
}

struct admission_ticket *admission_next(struct admission *admission, time_ns now, bool *admitted)
{
    GSequenceIter *place = NULL;
    struct admission_ticket *ticket = first_queued(admission, &place);
    if (ticket == NULL) {
        return NULL;
    }
    bool expired = would_miss_deadline(admission, ticket, now);
    if (!expired && admission->in_flight >= admission->slots) {
        return NULL;
    }
    g_sequence_remove(place);
    admission->queued--;
    *admitted = !expired;
    if (!expired) {
        admission->in_flight++;
        admission->virtual_time = MAX(admission->virtual_time, ticket->tag);
    } else {
        admission->refused_total++;
    }
    return ticket;
}
