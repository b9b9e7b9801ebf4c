/* Gathers the evidence that a commit is held by a majority. One connection for each member of a
 * group serves all writes: each asks the member to answer once it holds a position, and an answer
 * serves every write up to it. A status holds as evidence whenever it was read: a position is held
 * in its own term only after its commit, and a promise is never taken back. */
#ifndef SW_BACKEND_EVIDENCE_H
#define SW_BACKEND_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "backend/connection.h"
#include "core/acknowledge.h"
#include "core/types.h"

struct evidence_service;

struct evidence_options {
    uint32_t wait_ms;         /* how long a member waits for a position before it answers anyway */
    uint32_t timeout_ms;      /* how much later its connection is given up */
    uint32_t open_timeout_ms; /* for opening the connection */
    uint32_t reopen_ms;       /* pause after a failure to open */
};

/* Starts the service's thread. */
struct evidence_service *evidence_new(const struct evidence_options *options);

/* Ends it. Writes that still wait end with what they have. */
void evidence_free(struct evidence_service *service);

/* Opens and keeps a connection to each member of a group; the settings are copied. Replaces what
 * was there under the same number. Any thread. */
void evidence_add_group(struct evidence_service *service, uint32_t group,
                        const struct connection_settings *members, uint32_t count);

/* Closes them; writes that wait end with what they have. Any thread. */
void evidence_remove_group(struct evidence_service *service, uint32_t group);

/* Waits until the evidence for `position` is decided, or until `deadline`. A status that the caller
 * has already, such as the one that came with the commit, is taken as that of member
 * `known_database`; none if `known` is NULL. ACKNOWLEDGE_PENDING: not decided in time, or the group
 * is not known. Any thread. */
enum acknowledge_verdict evidence_gather(struct evidence_service *service, uint32_t group,
                                         struct log_position position, uint32_t known_database,
                                         const struct database_status *known, time_ns deadline,
                                         struct acknowledge_evidence *evidence);

/* Takes a status that was read elsewhere, as by a probe, as evidence. Any thread. */
void evidence_offer(struct evidence_service *service, uint32_t group, uint32_t database,
                    const struct database_status *status);

#endif
