/* Slots and request queues for each database at a simulated daemon, around core/admission. */
#include "sim/sim_daemon.h"

#include <urcu/compiler.h>

/* Interval at which queued requests past their deadline are removed, as in the daemon. */
#define EXPIRE_INTERVAL (50 * SIM_MILLISECOND)
/* Requests that may wait for one database: the default of the daemon's setting. */
#define QUEUE_LIMIT 256
/* A rejection's Retry-After is increased by a random part of up to this percentage, so that clients
 * do not return together. */
#define RETRY_AFTER_JITTER_PERCENT 50

struct queued_message {
    struct sim_flow *flow;
    uint32_t database;
    bool admitted;
};

static uint32_t spread(struct sim_daemon *daemon, uint32_t retry_after_ms)
{
    uint64_t width = (uint64_t)retry_after_ms * RETRY_AFTER_JITTER_PERCENT / 100 + 1;

    return retry_after_ms + (uint32_t)sim_random_below(daemon->node.world, width);
}

static void note_taken(struct sim_flow *flow, uint32_t database)
{
    struct sim_run *run = flow->daemon->run;

    flow->slot_database = (int32_t)database;
    flow->slot_since = flow->daemon->node.world->now;
    run->slots_taken[database] += 1;
    run->slots_peak[database] = MAX(run->slots_peak[database], run->slots_taken[database]);
}

static void on_dequeued(void *object, const void *payload)
{
    const struct queued_message *message = payload;
    struct sim_daemon *daemon = object;
    uint32_t drain_ms = admission_drain_ms(&daemon->admissions[message->database]);

    message->flow->queued = false;
    sim_flow_dequeued(message->flow, message->admitted, spread(daemon, drain_ms));
}

/* Resumes a flow that left the queue. This is an event of its own, because the flow may queue
 * others. */
static void resume(struct sim_daemon *daemon, uint32_t database, struct admission_ticket *ticket,
                   bool admitted)
{
    struct queued_message message = {
        .flow = caa_container_of(ticket, struct sim_flow, ticket),
        .database = database,
        .admitted = admitted,
    };

    if (admitted) {
        note_taken(message.flow, database);
    }
    sim_node_schedule(&daemon->node, daemon->node.world->now, on_dequeued, daemon, &message,
                      sizeof(message));
}

void sim_admission_start_queued(struct sim_daemon *daemon, uint32_t database)
{
    struct admission *admission = &daemon->admissions[database];
    bool admitted = false;
    struct admission_ticket *ticket = admission_next(admission, daemon->node.world->now, &admitted);

    while (ticket != NULL) {
        resume(daemon, database, ticket, admitted);
        ticket = admission_next(admission, daemon->node.world->now, &admitted);
    }
}

enum admission_verdict sim_admission_enter(struct sim_flow *flow, uint32_t database,
                                           enum admission_class rank, uint32_t *retry_after_ms)
{
    struct sim_daemon *daemon = flow->daemon;
    enum admission_verdict verdict;

    flow->ticket = (struct admission_ticket){
        .rank = rank,
        .tenant = flow->request.client,
        .weight = 1,
        .deadline = flow->request.deadline,
    };
    verdict = admission_enter(&daemon->admissions[database], &flow->ticket, daemon->node.world->now,
                              retry_after_ms);
    if (verdict == ADMISSION_ADMITTED) {
        note_taken(flow, database);
    } else if (verdict == ADMISSION_REFUSED) {
        *retry_after_ms = spread(daemon, *retry_after_ms);
    } else {
        flow->queued = true;
        sim_slots_advance(daemon, database);
    }
    return verdict;
}

void sim_admission_leave(struct sim_flow *flow)
{
    struct sim_daemon *daemon = flow->daemon;
    uint32_t database = (uint32_t)flow->slot_database;

    if (flow->slot_database < 0) {
        return;
    }
    flow->slot_database = -1;
    daemon->run->slots_taken[database] -= 1;
    admission_leave(&daemon->admissions[database], daemon->node.world->now - flow->slot_since);
    sim_admission_start_queued(daemon, database);
}

static void on_expire(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    time_ns now = daemon->node.world->now;

    (void)payload;
    for (uint32_t i = 0; i < daemon->run->database_count; i++) {
        struct admission_ticket *ticket = admission_take_expired(&daemon->admissions[i], now);

        while (ticket != NULL) {
            resume(daemon, i, ticket, false);
            ticket = admission_take_expired(&daemon->admissions[i], now);
        }
    }
    sim_node_schedule(&daemon->node, now + EXPIRE_INTERVAL, on_expire, daemon, NULL, 0);
}

void sim_admission_start(struct sim_daemon *daemon)
{
    struct sim_run *run = daemon->run;

    sim_admission_clear(daemon);
    for (uint32_t i = 0; i < run->database_count; i++) {
        admission_init(&daemon->admissions[i], run->scenario->database.slots, QUEUE_LIMIT);
    }
    daemon->admissions_begun = true;
    retry_budget_init(&daemon->retry_budget);
    on_expire(daemon, NULL);
    sim_slots_start(daemon);
}

void sim_admission_clear(struct sim_daemon *daemon)
{
    struct sim_run *run = daemon->run;

    for (uint32_t i = 0; daemon->admissions_begun && i < run->database_count; i++) {
        run->slots_taken[i] -= daemon->admissions[i].in_flight;
        admission_clear(&daemon->admissions[i]);
    }
    daemon->admissions_begun = false;
}
