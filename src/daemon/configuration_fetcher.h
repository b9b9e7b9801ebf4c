/* The threads that get configurations: one for the platform's store and one for other daemons, so
 * that a store that hangs does not delay what a neighbour could give at once. */
#ifndef SW_DAEMON_CONFIGURATION_FETCHER_H
#define SW_DAEMON_CONFIGURATION_FETCHER_H

#include <glib.h>

#include "daemon/configuration_fetch.h"
#include "storage/http_client.h"

struct configuration_fetcher;

/* Takes a result, which it owns; on a thread of the fetcher. */
typedef void (*fetch_done_function)(void *user, struct fetch_result *result);

struct configuration_fetcher_options {
    struct platform_settings platform; /* strings are copied */
    struct peer_pool *peers;           /* outlives the fetcher */
    struct configuration_share *share; /* likewise */
    fetch_done_function done;
    void *user;
};

/* Starts the threads. */
struct configuration_fetcher *
configuration_fetcher_new(const struct configuration_fetcher_options *options);

/* Lets the calls under way end, which their time-outs bound, and frees. */
void configuration_fetcher_free(struct configuration_fetcher *fetcher);

/* Queues an order and takes over what it owns; it goes in place of one of the same source that has
 * not begun, which gets no result. Of two that publishers handed over, the lower version is the one
 * that goes. Any thread. */
void configuration_fetcher_submit(struct configuration_fetcher *fetcher,
                                  const struct fetch_order *order);

/* Reads "ACCESS-KEY-ID SECRET" from a file that only its owner may use; both empty if the path is.
 * The caller frees them. Errors do not quote the file. */
bool configuration_fetcher_read_keys(const char *path, char **access_key, char **secret_key,
                                     GError **error);

#endif
