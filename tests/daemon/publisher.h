/* The stand-in platform and an operator who publishes to it, apart from the headers of the
 * platform's clients. */
#ifndef SW_TESTS_DAEMON_PUBLISHER_H
#define SW_TESTS_DAEMON_PUBLISHER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Calls may come from several threads. */
struct publisher;

struct publisher *publisher_start(void);
void publisher_stop(struct publisher *publisher);

/* The platform's URL. */
const char *publisher_url(const struct publisher *publisher);

/* Publishes a bundle on top of version `base`. False with SW_ERROR where it was refused. */
bool publisher_publish(struct publisher *publisher, const char *bundle, uint64_t base,
                       GError **error);

/* Content hash and canonical JSON of a bundle. The caller frees them. */
char *publisher_hash(const char *bundle);
GBytes *publisher_canonical(const char *bundle);

/* Makes a content that need not be a bundle the next version, as no publisher of ours would. */
void publisher_force(struct publisher *publisher, const char *content, uint64_t version);

/* The platform fails all requests from now on, or works again. */
void publisher_set_down(struct publisher *publisher, bool down);

/* The platform takes so long for each request from now on. */
void publisher_set_slow(struct publisher *publisher, uint32_t delay_ms);

/* Requests to the object store so far. */
uint64_t publisher_object_requests(struct publisher *publisher);

#endif
