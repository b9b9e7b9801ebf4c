/* Messages from other deployments; see the header. */
#define G_LOG_DOMAIN "members"
#include "daemon/foreign_traffic.h"

#include <glib.h>

#include "backend/clock.h"
#include "daemon/daemon.h"
#include "daemon/daemon_metrics.h"
#include "wire/address.h"

/* Minimum time between two log lines. */
#define LOG_INTERVAL_MS 60000

/* True for one thread at a time, at most once per interval. */
static bool may_log(struct daemon *daemon)
{
    time_ns now = backend_now();
    time_ns until = atomic_load(&daemon->foreign_logged_until);
    time_ns next = now + LOG_INTERVAL_MS * NANOSECONDS_PER_MILLISECOND;
    return now >= until &&
           atomic_compare_exchange_strong(&daemon->foreign_logged_until, &until, next);
}

void foreign_traffic_record(struct daemon *daemon, enum foreign_traffic traffic,
                            const struct sockaddr_in *from)
{
    atomic_fetch_add(&daemon->foreign_messages, 1);
    daemon_metrics_foreign(daemon->metrics, traffic);
    if (!may_log(daemon)) {
        return;
    }
    g_autofree char *address = from != NULL ? format_address(from) : NULL;
    g_warning("Dropped messages from another deployment%s%s.",
              address != NULL ? ", the last from " : "", address != NULL ? address : "");
}
