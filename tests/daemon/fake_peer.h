/* A simulated peer daemon that sends gossip and answers requests for configurations as set by the
 * test. */
#ifndef SW_TESTS_DAEMON_FAKE_PEER_H
#define SW_TESTS_DAEMON_FAKE_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/membership.h"
#include "daemon/daemon.h"

struct fake_peer;

/* An answer to a request for a configuration, complete or as a difference. Zeroed: not available.
 */
struct fake_answer {
    uint64_t version;
    const char *hash; /* as sent in the reply */
    uint64_t base_version;
    uint32_t keep_start;
    uint32_t keep_end;
    GBytes *content;  /* before compression */
    bool undecodable; /* sent uncompressed, so that it can't be decoded */
};

/* Listens on a free port. */
struct fake_peer *fake_peer_start(void);
void fake_peer_stop(struct fake_peer *peer);

/* Sets the answers. Borrowed until the next call. */
void fake_peer_set_answers(struct fake_peer *peer, const struct fake_answer *whole,
                           const struct fake_answer *difference);

/* Number of requests for configurations so far. */
unsigned fake_peer_request_count(struct fake_peer *peer);

/* Sends gossip to a daemon that this peer has a version in force and knows another, and waits until
 * it was processed. */
void fake_peer_gossip(struct fake_peer *peer, const struct daemon *daemon,
                      struct configuration_mark in_force, struct configuration_mark heard);

#endif
