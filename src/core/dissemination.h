/* Distribution of group status (the primary, whether writes are paused) from the daemons that
 * monitor a group to those that use it: its other owners, and the daemons that recently forwarded
 * work to it. Other daemons get none, so the cost of a change depends on the number of users; a
 * user that stops forwarding expires. A status is sent again until it is acknowledged. Pure. */
#ifndef SW_CORE_DISSEMINATION_H
#define SW_CORE_DISSEMINATION_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

struct dissemination_options {
    time_ns forwarder_expiry; /* a forwarder without work for longer gets no more updates */
    time_ns resend;           /* wait before a status without reply is sent again */
    uint32_t sends_max;       /* maximum number of sends of one status to one daemon */
    bool take_older;          /* TEST ONLY: accept every status, whatever its age (mutation) */
};

/* Output: send `status` to the daemon `to`. */
struct dissemination_send {
    uint64_t to;
    struct group_status status;
};

/* The status of all groups at one daemon. Used by one thread only, the control thread. */
struct dissemination;

void dissemination_options_default(struct dissemination_options *options);

struct dissemination *dissemination_new(const struct dissemination_options *options,
                                        uint64_t self_id);
void dissemination_free(struct dissemination *dissemination);

/* Sets whether this daemon owns a group, and the other owners if it does (otherwise count is 0).
 * The group's forwarders are removed when this daemon is no longer owner. */
void dissemination_set_owners(struct dissemination *dissemination, uint32_t group, bool owned_here,
                              const uint64_t *owners, size_t count);

/* Records that a daemon forwarded work on the group to this owner. It gets updates for
 * `forwarder_expiry`. */
void dissemination_note_forwarder(struct dissemination *dissemination, uint32_t group,
                                  uint64_t daemon, time_ns now);

/* Publishes a status found by this daemon's own monitoring. True if it is newer than the known one;
 * then appends struct dissemination_send to `sends`. */
bool dissemination_publish(struct dissemination *dissemination, const struct group_status *status,
                           time_ns now, GArray *sends);

/* Handles a status from another daemon: acknowledges it, and passes it on if it is newer and this
 * daemon owns the group. True if it is newer than the known one. */
bool dissemination_receive(struct dissemination *dissemination, const struct group_status *status,
                           time_ns now, GArray *sends);

void dissemination_tick(struct dissemination *dissemination, time_ns now, GArray *sends);
time_ns dissemination_next_wakeup(const struct dissemination *dissemination);

/* The newest known status of a group. False if none is known. */
bool dissemination_status(const struct dissemination *dissemination, uint32_t group,
                          struct group_status *out);

/* Number of forwarders over all groups; memory in use in bytes. */
size_t dissemination_forwarders(const struct dissemination *dissemination);
size_t dissemination_memory(const struct dissemination *dissemination);

#endif
