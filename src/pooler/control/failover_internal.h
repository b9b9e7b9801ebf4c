/* Shared by the two halves of a group's control: watching (failover.c) and changing
 * (failover_change.c). */
#ifndef SW_POOLER_FAILOVER_INTERNAL_H
#define SW_POOLER_FAILOVER_INTERNAL_H

#include "pooler/control/failover.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* Time between two commands to one database. */
#define COMMAND_EVERY_NS (120 * MS)

/* Time between two statuses of a database while nobody is known to lead, or its log does not count.
 */
#define SEARCH_EVERY_NS (400 * MS)

/* failover.c */
struct failover_member *failover_member_at(const struct failover *failover, guint index);
bool failover_is_primary(const struct failover *failover, const struct failover_member *member);
/* The primary's member; NULL if nobody is known to lead. */
struct failover_member *failover_primary(const struct failover *failover);
/* Enters a state and logs it. */
void failover_set_state(struct failover *failover, enum failover_state state, time_ns now);
/* Raises the epoch and tells the poolers. */
void failover_publish(struct failover *failover, enum group_phase phase);
/* Asks unless a command is under way or was sent too lately. */
void failover_send_command(struct failover *failover, struct failover_member *member,
                           enum database_command command, uint64_t term, time_ns every,
                           time_ns now);
/* The one that leads in the newest term by a fresh report; NULL if there is none. */
struct failover_member *failover_find_leader(const struct failover *failover, time_ns now);
/* The member leads from now on. */
void failover_open(struct failover *failover, struct failover_member *member, time_ns now);
/* Members that were left paused receive again; one that was replaced steps down. */
void failover_reconcile_members(struct failover *failover, time_ns now);

/* failover_restart.c */
/* Lets the logs of members count again that have shown since their start that they are whole. */
void failover_verify_logs(struct failover *failover);
bool failover_has_unverified_log(const struct failover *failover);
/* Asks such members, and the primary that they are compared with. */
void failover_query_unverified(struct failover *failover, time_ns now);
/* True if all replicas together hold each commit, once they are paused: none of them may have lost
 * one that only the old primary holds besides, or that one has lost its log as well, or is gone. */
bool failover_replicas_suffice(const struct failover *failover);

/* failover_change.c */
/* Closes the group, and fences the old primary in a new term. */
void failover_start_fencing(struct failover *failover, time_ns now);
/* So many replicas must be paused where the old primary can't be asked. */
uint32_t failover_pauses_needed(const struct failover *failover);
/* Begins a change; a planned one lets open work end first. `why` is logged. */
void failover_begin_change(struct failover *failover, bool planned, const char *why, time_ns now);
/* The steps, one for each state. */
void failover_drain(struct failover *failover, time_ns now);
void failover_fence(struct failover *failover, time_ns now);
void failover_retry(struct failover *failover, time_ns now);
void failover_confirm(struct failover *failover, time_ns now);

#endif
