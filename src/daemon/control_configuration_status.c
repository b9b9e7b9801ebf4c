/* State of the configuration for operators and request threads; see the headers. */
#include <string.h>

#include "daemon/control_configuration_internal.h"

void configuration_write_reason(const struct control_configuration *self, char *reason)
{
    uint64_t applied = currency_applied(self->currency).version;
    uint64_t newest = currency_newest(self->currency).version;
    if (!self->joined && self->search_from > 1) {
        g_snprintf(reason, CONFIGURATION_REASON_SIZE,
                   "no usable configuration: version %" G_GUINT64_FORMAT
                   " does not parse or lacks zone \"%s\"",
                   self->search_from - 1, self->control->daemon->settings.daemon.zone);
    } else if (!self->joined) {
        g_snprintf(reason, CONFIGURATION_REASON_SIZE,
                   "no configuration: neither other daemons nor the store returned one%s%s",
                   self->failure[0] != '\0' ? ": " : "", self->failure);
    } else if (newest > applied) {
        g_snprintf(reason, CONFIGURATION_REASON_SIZE,
                   "version %" G_GUINT64_FORMAT
                   " is the newest, but only version %" G_GUINT64_FORMAT " could be fetched",
                   newest, applied);
    } else {
        g_snprintf(reason, CONFIGURATION_REASON_SIZE,
                   "neither the store nor a majority of the daemons confirms that version "
                   "%" G_GUINT64_FORMAT " is the newest",
                   applied);
    }
}

void configuration_publish_status(struct control_configuration *self)
{
    struct daemon *daemon = self->control->daemon;
    time_ns bound = daemon->settings.configuration.currency_bound_ms * NANOSECONDS_PER_MILLISECOND;
    bool serving = currency_serving(self->currency);
    time_ns confirmed_at = currency_confirmed_at(self->currency);
    /* Request threads compare with the clock, as the control thread may have been paused with its
     * process. */
    atomic_store(&daemon->serve_until, serving ? confirmed_at + bound : 0);
    pthread_mutex_lock(&self->status_lock);
    struct configuration_status *status = &self->status;
    status->published = true;
    status->serving = serving;
    status->version = currency_applied(self->currency).version;
    status->newest = currency_newest(self->currency).version;
    status->confirmed_at = confirmed_at;
    status->reason[0] = '\0';
    if (!serving) {
        configuration_write_reason(self, status->reason);
    }
    pthread_mutex_unlock(&self->status_lock);
}

void control_configuration_status(struct control *control, struct configuration_status *status)
{
    struct control_configuration *self = control->configuration;
    if (self == NULL) {
        *status = (struct configuration_status){.serving = true};
        return;
    }
    pthread_mutex_lock(&self->status_lock);
    *status = self->status;
    pthread_mutex_unlock(&self->status_lock);
}

/* True if the last message of a member of this zone reported an older configuration. */
static bool is_straggler(const struct member *member, const struct member *self, uint64_t newest)
{
    bool alive = member->state == MEMBER_STATE_ALIVE || member->state == MEMBER_STATE_SUSPECT;
    uint64_t version = member->configuration.version;
    return alive && member->id != self->id && member->zone == self->zone && version > 0 &&
           version < newest;
}

void configuration_find_stragglers(struct control_configuration *self)
{
    struct membership *membership = self->control->membership;
    struct member own = membership_self(membership);
    uint64_t newest = currency_newest(self->currency).version;
    struct configuration_straggler found[CONFIGURATION_STRAGGLERS_MAX] = {0};
    uint32_t count = 0;
    for (size_t i = 0; i < membership_count(membership); i++) {
        struct member member = membership_get(membership, i);
        if (!is_straggler(&member, &own, newest)) {
            continue;
        }
        if (count < CONFIGURATION_STRAGGLERS_MAX) {
            found[count].member = member.id;
            found[count].version = member.configuration.version;
            control_members_format(&member, found[count].address);
        }
        count++;
    }
    pthread_mutex_lock(&self->status_lock);
    self->status.straggler_count = count;
    memcpy(self->status.stragglers, found, sizeof(found));
    pthread_mutex_unlock(&self->status_lock);
}
