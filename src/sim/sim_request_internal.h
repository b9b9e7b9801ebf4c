/* Declarations shared by sim_request.c, sim_read.c and sim_write.c: the read and write flows. */
#ifndef SW_SIM_SIM_REQUEST_INTERNAL_H
#define SW_SIM_SIM_REQUEST_INTERNAL_H

#include "sim/sim_daemon.h"

/* Longest wait of the daemon for a primary, and for a database fresh enough. */
#define UNAVAILABLE_WAIT_MS 4000

/* Payload of an event scheduled for a step; ignored once the flow has taken another step. */
struct sim_step_message {
    uint64_t step;
};

/* sim_request.c */
/* Schedules the handler for the flow, with a sim_step_message of the current step. */
void sim_flow_schedule(struct sim_flow *flow, time_ns at, sim_handler handler);
/* End of an attempt's time. A part of the time left is kept to find out its outcome. */
time_ns sim_flow_attempt_deadline(const struct sim_flow *flow, time_ns deadline);

/* sim_read.c */
void sim_read_start(struct sim_flow *flow);
/* Feeds the event to the flow and performs the next step. */
void sim_read_drive(struct sim_flow *flow, struct read_event *event);
/* Sends the step's statement; the slot is held. */
void sim_read_send(struct sim_flow *flow);
void sim_read_give_up(struct sim_flow *flow, uint32_t retry_after_ms);

/* sim_write.c */
void sim_write_start(struct sim_flow *flow);
/* Starts the commit of a transaction that may not be open here. */
void sim_write_start_commit(struct sim_flow *flow);
/* Feeds the event to the flow and performs the next step. */
void sim_write_drive(struct sim_flow *flow, struct write_event *event);
/* Sends the step's statement; the slot is held, or none is needed. */
void sim_write_send(struct sim_flow *flow);
void sim_write_give_up(struct sim_flow *flow, uint32_t retry_after_ms);

#endif
