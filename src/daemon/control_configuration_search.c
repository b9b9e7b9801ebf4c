/* The search for the first configuration. Gossip identifies zones by number, and only a
 * configuration maps the name of this daemon's zone to its number. A daemon therefore joins the
 * membership once it has found one. */
#include <string.h>

#include "backend/clock.h"
#include "daemon/control_configuration_internal.h"

/* Interval at which sources are tried, and its jitter in both directions. */
#define SEARCH_INTERVAL_MS 1000
#define SEARCH_JITTER_MS   250

static bool is_own_address(const struct control_configuration *self, const char *address)
{
    return strcmp(address, peer_server_address(self->control->daemon->peer_server)) == 0;
}

/* Sends a request to the next daemon that the settings list as a seed, if any is left in this
 * round. */
static void request_from_next_seed(struct control_configuration *self)
{
    const struct address_list *peers = &self->control->daemon->settings.daemon.peers;
    struct configuration_mark wanted = {.version = self->search_from};
    while (self->seeds_left > 0) {
        const char *address = peers->items[self->next_seed];
        self->next_seed = (self->next_seed + 1) % peers->count;
        self->seeds_left--;
        if (!is_own_address(self, address)) {
            configuration_submit_fetch(self, FETCH_SOURCE_PEER, wanted, address);
            return;
        }
    }
}

void configuration_search(struct control_configuration *self, time_ns now)
{
    if (now < self->next_search_at) {
        return;
    }
    uint32_t pause_ms =
        SEARCH_INTERVAL_MS + (uint32_t)g_random_int_range(-SEARCH_JITTER_MS, SEARCH_JITTER_MS);
    struct configuration_mark wanted = {.version = self->search_from};
    self->next_search_at = now + pause_ms * NANOSECONDS_PER_MILLISECOND;
    configuration_submit_fetch(self, FETCH_SOURCE_STORE, wanted, NULL);
    if (self->seeds_left == 0) {
        self->seeds_left = self->control->daemon->settings.daemon.peers.count;
        request_from_next_seed(self);
    }
}

/* This daemon's zone if gossip can carry its number; otherwise NULL. */
static const struct zone_configuration *own_zone(struct control_configuration *self,
                                                 const struct configuration *configuration)
{
    const struct zone_configuration *zone =
        configuration_find_zone_by_name(configuration, self->control->daemon->settings.daemon.zone);
    return zone != NULL && zone->id < MEMBERSHIP_ZONES_MAX ? zone : NULL;
}

/* Records that a version is not usable, so that only later ones are requested. */
static void reject_version(struct control_configuration *self, uint64_t version, const char *why)
{
    if (version < self->search_from) {
        return;
    }
    g_autofree char *text = g_strdup_printf("version=%" G_GUINT64_FORMAT " %s", version, why);
    configuration_record(self, "configuration_refused", text);
    self->search_from = version + 1;
    configuration_publish_status(self);
}

/* Joins the membership if the result's configuration has this daemon's zone. */
static bool join_with(struct control_configuration *self, const struct fetch_result *result)
{
    const struct zone_configuration *zone =
        own_zone(self, published_configuration_content(result->published));
    if (zone == NULL) {
        reject_version(self, published_configuration_mark(result->published).version,
                       "does not contain this daemon's zone");
        return false;
    }
    atomic_store(&self->control->daemon->zone, zone->id);
    control_members_join(self->control);
    self->joined = true;
    return true;
}

bool configuration_try_join(struct control_configuration *self, const struct fetch_result *result)
{
    if (configuration_is_from_store(&result->request)) {
        configuration_log_store(self, result);
        configuration_publish_status(self);
    }
    if (result->outcome == FETCH_OUTCOME_FOUND && join_with(self, result)) {
        return true;
    }
    if (result->outcome == FETCH_OUTCOME_REFUSED && result->unparsable) {
        reject_version(self, result->refused.version, result->text);
    }
    if (result->request.source == FETCH_SOURCE_PEER) {
        request_from_next_seed(self);
    }
    return false;
}
