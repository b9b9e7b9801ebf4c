/* The threads that fetch configurations: one for the platform's store and one for other daemons, so
 * that a store that does not respond does not delay a fetch from another daemon. */
#ifndef SW_DAEMON_CONFIGURATION_FETCHER_H
#define SW_DAEMON_CONFIGURATION_FETCHER_H

#include <glib.h>

#include "daemon/configuration_fetch.h"
#include "storage/http_client.h"

struct configuration_fetcher;

/* Receives a result and takes ownership of it. Called on a thread of the fetcher. */
typedef void (*fetch_done_function)(void *user, struct fetch_result *result);

struct configuration_fetcher_options {
    struct platform_settings platform; /* strings are copied */
    struct peer_pool *peers;           /* must outlive the fetcher */
    struct configuration_share *share; /* likewise */
    fetch_done_function done;
    void *user;
};

/* Starts the threads. */
struct configuration_fetcher *
configuration_fetcher_new(const struct configuration_fetcher_options *options);

/* Waits for the calls in progress, which time-outs bound, then frees the fetcher. */
void configuration_fetcher_free(struct configuration_fetcher *fetcher);

/* Queues a request and takes ownership of what it owns. It replaces a queued request of the same
 * source, which then yields no result; of two requests from publishers, the lower version is
 * dropped. Any thread. */
void configuration_fetcher_submit(struct configuration_fetcher *fetcher,
                                  const struct fetch_request *request);

/* Reads "ACCESS-KEY-ID SECRET" from a file that must be accessible to its owner only; both are
 * empty if the path is. The caller frees them. Errors do not quote the file's content. */
bool configuration_fetcher_read_keys(const char *path, char **access_key, char **secret_key,
                                     GError **error);

#endif
