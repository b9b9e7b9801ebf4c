/* A daemon that is none: it gossips what the test says, and answers questions for configurations
 * with what the test says. */
#ifndef SW_TESTS_DAEMON_FAKE_PEER_H
#define SW_TESTS_DAEMON_FAKE_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/membership.h"
#include "daemon/daemon.h"

struct fake_peer;

/* Its answer to those who have nothing, and to those who may be given a difference. Zeroed: not
 * there. */
struct fake_answer {
    uint64_t version;
    const char *hash; /* as the reply tells it */
    uint64_t base_version;
    uint32_t keep_start;
    uint32_t keep_end;
    GBytes *content; /* before compression */
    bool spoilt;     /* not compressed at all */
};

/* Listens on a free port. */
struct fake_peer *fake_peer_start(void);
void fake_peer_stop(struct fake_peer *peer);

/* Sets the answers. Borrowed until the next call. */
void fake_peer_set_answers(struct fake_peer *peer, const struct fake_answer *whole,
                           const struct fake_answer *difference);

/* Questions for configurations so far. */
unsigned fake_peer_questions(struct fake_peer *peer);

/* Tells a daemon that it has a version in force and has heard of another, and waits until that was
 * taken in. */
void fake_peer_gossip(struct fake_peer *peer, const struct daemon *daemon,
                      struct configuration_mark in_force, struct configuration_mark heard);

#endif
