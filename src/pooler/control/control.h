/* The pooler's control thread: starts the workers, follows the store, elects and obeys a
 * coordinator, and ends it all in a planned way. */
#ifndef SW_POOLER_CONTROL_H
#define SW_POOLER_CONTROL_H

#include <glib.h>

#include "generated/pooler_settings.h"

struct control;

/* Runs until a planned stop is over. False with `error` if a part could not start. `reload` is
 * called on SIGHUP. The calling thread becomes the control thread. */
bool control_run(const struct pooler_settings *settings, void (*reload)(void), GError **error);

#endif
