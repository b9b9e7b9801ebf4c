/* Collects the evidence that a commit is held by a majority of a group's databases (members). One
 * connection per member serves all writes: a request makes the member answer once it holds a
 * position, and the answer counts for every write up to that position. A status remains valid
 * evidence however old it is: a position is held in its own term only after its commit, and a
 * member never withdraws its promise to refuse lower terms. */
#ifndef SW_BACKEND_EVIDENCE_H
#define SW_BACKEND_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "backend/connection.h"
#include "core/acknowledge.h"
#include "core/types.h"

struct evidence_service;

struct evidence_options {
    uint32_t wait_ms;    /* how long a member may wait for a position before it answers anyway */
    uint32_t timeout_ms; /* without an answer this long after wait_ms, the channel closes */
    uint32_t open_timeout_ms; /* for opening the connection */
    uint32_t reopen_ms;       /* minimum time between two attempts to open */
};

/* Creates the service and starts its thread. */
struct evidence_service *evidence_new(const struct evidence_options *options);

/* Stops and frees the service. Pending evidence_gather calls return with what they have. */
void evidence_free(struct evidence_service *service);

/* Opens and maintains a connection to each member of a group; the settings are copied. Replaces a
 * group of the same number. Any thread. */
void evidence_add_group(struct evidence_service *service, uint32_t group,
                        const struct connection_settings *members, uint32_t count);

/* Closes the group's connections; pending evidence_gather calls return with what they have. Any
 * thread. */
void evidence_remove_group(struct evidence_service *service, uint32_t group);

/* Waits until the evidence for `position` is decided, or until `deadline`. `known`, if not NULL, is
 * a status that the caller already has, such as the one that came with the commit; it counts as
 * that of member `known_database`. ACKNOWLEDGE_PENDING: not decided in time, or the group is
 * unknown. Any thread. */
enum acknowledge_verdict evidence_gather(struct evidence_service *service, uint32_t group,
                                         struct log_position position, uint32_t known_database,
                                         const struct database_status *known, time_ns deadline,
                                         struct acknowledge_evidence *evidence);

/* Adds a status that was read elsewhere, such as by a probe, to the evidence. Any thread. */
void evidence_offer(struct evidence_service *service, uint32_t group, uint32_t database,
                    const struct database_status *status);

#endif
