/* The stand-in platform and an operator that publishes to it. Keeps the headers of the platform's
 * clients out of the tests. */
#ifndef SW_TESTS_DAEMON_PUBLISHER_H
#define SW_TESTS_DAEMON_PUBLISHER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Thread-safe. */
struct publisher;

struct publisher *publisher_start(void);
void publisher_stop(struct publisher *publisher);

/* The platform's URL. */
const char *publisher_url(const struct publisher *publisher);

/* Publishes a bundle on top of version `base`. Returns false with SW_ERROR if it was refused. */
bool publisher_publish(struct publisher *publisher, const char *bundle, uint64_t base,
                       GError **error);

/* Content hash and canonical JSON of a bundle. The caller frees them. */
char *publisher_hash(const char *bundle);
GBytes *publisher_canonical(const char *bundle);

/* Publishes any content as the next version, without the publisher's checks. */
void publisher_force(struct publisher *publisher, const char *content, uint64_t version);

/* Makes the platform fail all requests from now on, or work again. */
void publisher_set_down(struct publisher *publisher, bool down);

/* Delays the platform's answer to each request from now on. */
void publisher_set_slow(struct publisher *publisher, uint32_t delay_ms);

/* Number of requests to the object store so far. */
uint64_t publisher_object_requests(struct publisher *publisher);

#endif
