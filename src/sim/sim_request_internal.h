/* What the files of the read and write flows share: sim_request.c, sim_read.c, sim_write.c. */
#ifndef SW_SIM_SIM_REQUEST_INTERNAL_H
#define SW_SIM_SIM_REQUEST_INTERNAL_H

#include "sim/sim_daemon.h"

/* The daemon waits this long at most for a primary, and for a fresh database. */
#define UNAVAILABLE_WAIT_MS 4000

/* Payload of what is scheduled for a step: void once the flow took another. */
struct sim_step_message {
    uint64_t step;
};

/* sim_request.c */
/* Schedules the handler for the flow, with a sim_step_message of the present step. */
void sim_flow_schedule(struct sim_flow *flow, time_ns at, sim_handler handler);
/* Until when one attempt may last: a part of the time left is kept to find out what became of it.
 */
time_ns sim_flow_attempt_deadline(const struct sim_flow *flow, time_ns deadline);

/* sim_read.c */
void sim_read_start(struct sim_flow *flow);
/* Feeds the event and performs the step that follows. */
void sim_read_drive(struct sim_flow *flow, struct read_event *event);
/* Sends the statement of the step; the slot is held. */
void sim_read_send(struct sim_flow *flow);
void sim_read_give_up(struct sim_flow *flow, uint32_t retry_after_ms);

/* sim_write.c */
void sim_write_start(struct sim_flow *flow);
/* A commit of a transaction that may not be here. */
void sim_write_start_commit(struct sim_flow *flow);
/* Feeds the event and performs the step that follows. */
void sim_write_drive(struct sim_flow *flow, struct write_event *event);
/* Sends the statement of the step; the slot is held, or none is needed. */
void sim_write_send(struct sim_flow *flow);
void sim_write_give_up(struct sim_flow *flow, uint32_t retry_after_ms);

#endif
