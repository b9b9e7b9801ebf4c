/**
 * @file
 * @brief Shared by the parts of failover: the search for and the monitoring of a primary
 * (failover.c), the change of primary (failover_change.c), restarted members (failover_restart.c)
 * and departed ones (failover_departed.c).
 */
#ifndef SW_POOLER_FAILOVER_INTERNAL_H
#define SW_POOLER_FAILOVER_INTERNAL_H

#include "pooler/control/failover.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* Interval of commands to one database. */
#define COMMAND_EVERY_NS (120 * MS)

/* Interval of status queries to one database while no database is known to lead, or while its log
 * is unverified. */
#define SEARCH_EVERY_NS (400 * MS)

/* failover.c */
struct failover_member *failover_member_at(const struct failover *failover, guint index);
bool failover_is_primary(const struct failover *failover, const struct failover_member *member);
/* The primary's entry; NULL if no primary is known, or it is no member. */
struct failover_member *failover_primary(const struct failover *failover);
/* The same, or where no primary is known, the member that was it by the records of earlier
 * coordinators. */
struct failover_member *failover_former_primary(const struct failover *failover);
/* Enters a state and logs it. */
void failover_set_state(struct failover *failover, enum failover_state state, time_ns now);
/* Raises the epoch and has the group order sent to the poolers. */
void failover_publish(struct failover *failover, enum group_phase phase);
/* The newest term that is known, counting this report. */
uint64_t failover_newest_term(const struct failover *failover,
                              const struct database_report *report);
/* Sends a command, unless one is pending or was sent less than `every` ago. */
void failover_send_command(struct failover *failover, struct failover_member *member,
                           enum database_command command, uint64_t term, time_ns every,
                           time_ns now);
/* The member that leads in the newest term, by a recent report; NULL if there is none. */
struct failover_member *failover_find_leader(const struct failover *failover, time_ns now);
/* Opens the group with another member that leads in the primary's term, if the primary does not
 * answer: the primary has restarted with its log, under another id. Returns true if there is one.
 */
bool failover_follow_renamed_primary(struct failover *failover, time_ns now);
/* Opens the group with the member as its primary. */
void failover_open(struct failover *failover, struct failover_member *member, time_ns now);
/* Logs, once for each time, that a change is needed and not possible, and what it waits for. */
void failover_log_blocked(struct failover *failover, time_ns now);
/* Resumes members that were left paused, and has a replaced primary step down. */
void failover_reconcile_members(struct failover *failover, time_ns now);

/* failover_restart.c */
/* Notes a restart that a report shows by a position below an earlier one. To be called before the
 * report is taken. */
void failover_check_regress(struct failover *failover, struct failover_member *member,
                            const struct database_report *report, time_ns now);
/* Marks the log of a fenced primary as unverified if it is empty, or a replica is ahead of it. */
void failover_check_primary_log(struct failover *failover, time_ns now);
/* Clears log_unverified_since of restarted members whose reports show a complete log. */
void failover_verify_logs(struct failover *failover);
bool failover_has_unverified_log(const struct failover *failover);
/* Queries members with an unverified log, and the primary that they are compared with. */
void failover_query_unverified(struct failover *failover, time_ns now);
/* True if the replicas together hold each acknowledged commit, once they are paused. They may not
 * if one of them has an unverified log, as it may have lost a commit whose only other copy is at
 * the old primary. If the old primary has lost its log too, or has left, no more can be recovered.
 */
bool failover_replicas_suffice(const struct failover *failover);

/* failover_departed.c */
void failover_free_departed(gpointer data);
/* Drops the departed members of which a replica holds all that they may have confirmed, and those
 * and the absent members that have restarted with their log under another id. */
void failover_release_departed(struct failover *failover);
/* True if a log up to `highest` holds all that departed members may have confirmed. Also true where
 * that is not known, once neither they nor the primary count as returning. */
bool failover_covers_departed(const struct failover *failover, struct log_position highest,
                              time_ns now);
/* Notes how many replicas the primary has, while its row shows that it runs. */
void failover_count_replicas(struct failover *failover);
/* True if queries are needed to learn whether the replicas hold what an absent member confirmed. */
bool failover_has_unknown_absence(const struct failover *failover);
/* Sends these queries. */
void failover_query_absence(struct failover *failover, time_ns now);
/* Learns from a report of the primary what absent members may have confirmed at most. */
void failover_note_primary_log(struct failover *failover, const struct failover_member *primary);
/* Notes that an absent member has answered, so it may still confirm commits. */
void failover_note_alive(struct failover *failover, struct failover_member *member, time_ns now);

/* failover_change.c */
/* Closes the group and starts fencing the old primary, in a new term. */
void failover_start_fencing(struct failover *failover, time_ns now);
/* Number of replicas to pause if the old primary can't be queried. */
uint32_t failover_pauses_needed(const struct failover *failover);
/* Starts a change of primary. A planned one lets open work finish first. `reason` is for the log.
 */
void failover_begin_change(struct failover *failover, bool planned, const char *reason,
                           time_ns now);
/* Tick handlers of the states of a change. */
void failover_drain(struct failover *failover, time_ns now);
void failover_fence(struct failover *failover, time_ns now);
void failover_retry(struct failover *failover, time_ns now);
void failover_confirm(struct failover *failover, time_ns now);

#endif
