/* The published configuration in force, as this daemon serves it to other daemons: complete, or as
 * the difference from the previous version, since nearly all daemons that request it have that one.
 */
#ifndef SW_DAEMON_CONFIGURATION_SHARE_H
#define SW_DAEMON_CONFIGURATION_SHARE_H

#include <glib.h>

#include "configuration/configuration.h"
#include "core/membership.h"
#include "daemon/configuration_difference.h"
#include "generated/messages.h"

/* One published version. Reference counted; immutable except for encodings that are computed on
 * first use. */
struct published_configuration;

/* Takes a reference to the configuration and ownership of what `difference` owns. The difference
 * leads from version `base` to this one; NULL if there is none. */
struct published_configuration *
published_configuration_new(uint64_t version, struct configuration *configuration,
                            struct configuration_mark base,
                            struct configuration_difference *difference);

/* References, from any thread. unref accepts NULL. */
struct published_configuration *
published_configuration_ref(struct published_configuration *published);
void published_configuration_unref(struct published_configuration *published);

struct configuration_mark
published_configuration_mark(const struct published_configuration *published);

/* Owned by the published configuration. */
struct configuration *
published_configuration_content(const struct published_configuration *published);

/* Holds the version in force. Any thread. */
struct configuration_share;

struct configuration_share *configuration_share_new(void);
void configuration_share_free(struct configuration_share *share);

/* Replaces the version in force; takes a reference. */
void configuration_share_set(struct configuration_share *share,
                             struct published_configuration *published);

/* The version in force with one reference, or NULL. */
struct published_configuration *configuration_share_take(struct configuration_share *share);

/* Fills an empty reply to another daemon's request. Version 0 in the reply means that this daemon
 * can't serve the request. */
void configuration_share_answer(struct configuration_share *share,
                                const struct configuration_request *request,
                                struct configuration_reply *reply);

#endif
