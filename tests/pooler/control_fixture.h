/**
 * @file
 * @brief The state of a control thread without its event loop, workers and sockets, for tests of
 * its decisions and of the messages that it builds.
 */
#ifndef SW_TESTS_POOLER_CONTROL_FIXTURE_H
#define SW_TESTS_POOLER_CONTROL_FIXTURE_H

#include "pooler/control/control_internal.h"

/** @brief Creates the state of a pooler that has just started. `settings` must outlive it. */
struct control *control_fixture_new(const struct pooler_settings *settings);

/** @brief Connects it to the store at this port of 127.0.0.1. The event loop must outlive it. */
void control_fixture_use_store(struct control *control, struct event_base *base, uint16_t port);

/** @brief Creates the state of a pooler that takes part in the lease, with the store and the
 * promotion service at this port of 127.0.0.1.
 *  @param settings filled; must outlive it. */
struct control *control_fixture_pooler_new(struct pooler_settings *settings,
                                           struct event_base *base, uint16_t port, unsigned index);
void control_fixture_pooler_free(struct control *control);

/** @brief Frees the state. */
void control_fixture_free(struct control *control);

/** @brief A store callback that ignores the answer. */
void control_fixture_ignore_answer(void *user, const struct store_answer *answer);

#endif
