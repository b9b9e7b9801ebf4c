/* Spread of group status (which primary, writes paused) from those who watch a group to those who
 * use it: its other owners and the daemons that forwarded work to it lately. Not to all: the cost
 * of a change is that of its users, and a user that stops lapses. Sent until answered. Pure. */
#ifndef SW_CORE_DISSEMINATION_H
#define SW_CORE_DISSEMINATION_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

struct dissemination_options {
    time_ns lapse;      /* a forwarder not seen for longer is told no more */
    time_ns resend;     /* before a status without answer is sent again */
    uint32_t sends_max; /* of one status to one daemon */
    bool take_older;    /* TEST ONLY: take what arrives, whatever its age (mutation) */
};

/* Sends `status` to the daemon `to`. */
struct dissemination_send {
    uint64_t to;
    struct group_status status;
};

/* All groups' status at one daemon. One thread only: the control thread. */
struct dissemination;

void dissemination_options_default(struct dissemination_options *options);

struct dissemination *dissemination_new(const struct dissemination_options *options,
                                        uint64_t self_id);
void dissemination_free(struct dissemination *dissemination);

/* Tells who owns a group besides this daemon, if it owns it; count 0 if it does not. Its forwarders
 * are forgotten when it owns it no more. */
void dissemination_set_owners(struct dissemination *dissemination, uint32_t group, bool owned_here,
                              const uint64_t *owners, size_t count);

/* A daemon forwarded work on the group to this owner: it will be told of changes for `lapse`. */
void dissemination_note_forwarder(struct dissemination *dissemination, uint32_t group,
                                  uint64_t daemon, time_ns now);

/* What this daemon's own watch found. Returns true if it is news; then appends struct
 * dissemination_send to `sends`. */
bool dissemination_publish(struct dissemination *dissemination, const struct group_status *status,
                           time_ns now, GArray *sends);

/* Takes a status from another daemon; answers it, and if this daemon owns the group passes news on.
 * Returns true if it was news here. */
bool dissemination_receive(struct dissemination *dissemination, const struct group_status *status,
                           time_ns now, GArray *sends);

void dissemination_tick(struct dissemination *dissemination, time_ns now, GArray *sends);
time_ns dissemination_next_wakeup(const struct dissemination *dissemination);

/* The newest status known of a group. False if none is. */
bool dissemination_status(const struct dissemination *dissemination, uint32_t group,
                          struct group_status *out);

/* Forwarders remembered over all groups; octets of memory held. */
size_t dissemination_forwarders(const struct dissemination *dissemination);
size_t dissemination_memory(const struct dissemination *dissemination);

#endif
