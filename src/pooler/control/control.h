/**
 * @file
 * @brief The pooler's control thread. It starts the workers, follows the store, takes part in the
 * election of the coordinator, applies the coordinator's orders, and runs the graceful shutdown.
 */
#ifndef SW_POOLER_CONTROL_H
#define SW_POOLER_CONTROL_H

#include <glib.h>

#include "generated/pooler_settings.h"

struct control;

/**
 * @brief Runs the pooler until a graceful shutdown (SIGTERM) is complete. The calling thread
 * becomes the control thread.
 *
 * @param reload called on SIGHUP, in the control thread.
 * @return false with `error` if a part could not start.
 */
bool control_run(const struct pooler_settings *settings, void (*reload)(void), GError **error);

#endif
