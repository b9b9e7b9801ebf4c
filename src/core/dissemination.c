/* The tables behind dissemination.h: statuses, forwarders of owned groups, and unacknowledged
 * sends. */
#include "core/dissemination.h"

#include <string.h>

/* A daemon that uses an owned group. */
struct forwarder {
    uint64_t daemon;
    time_ns seen_at;
};

/* State of one group. */
struct group_entry {
    struct group_status status; /* term 0: none known */
    bool owned;
    GArray *owners;     /* uint64_t, without this daemon; NULL unless owned */
    GArray *forwarders; /* struct forwarder by daemon; NULL unless owned */
};

/* A status that was sent and not yet acknowledged. */
struct unanswered {
    uint64_t to;
    uint32_t group;
    uint32_t sends;
    time_ns next;
};

struct dissemination {
    struct dissemination_options options;
    uint64_t self_id;
    GHashTable *groups; /* group number -> struct group_entry */
    GArray *unanswered; /* struct unanswered */
};

void dissemination_options_default(struct dissemination_options *options)
{
    *options = (struct dissemination_options){
        .forwarder_expiry = 60 * NANOSECONDS_PER_SECOND,
        .resend = 300 * NANOSECONDS_PER_MILLISECOND,
        .sends_max = 8,
    };
}

static void group_entry_free(gpointer data)
{
    struct group_entry *entry = data;
    g_clear_pointer(&entry->owners, g_array_unref);
    g_clear_pointer(&entry->forwarders, g_array_unref);
    g_free(entry);
}

struct dissemination *dissemination_new(const struct dissemination_options *options,
                                        uint64_t self_id)
{
    struct dissemination *dissemination = g_new0(struct dissemination, 1);
    dissemination->options = *options;
    dissemination->self_id = self_id;
    dissemination->groups =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, group_entry_free);
    dissemination->unanswered = g_array_new(FALSE, FALSE, sizeof(struct unanswered));
    return dissemination;
}

void dissemination_free(struct dissemination *dissemination)
{
    if (dissemination == NULL) {
        return;
    }
    g_hash_table_destroy(dissemination->groups);
    g_array_free(dissemination->unanswered, TRUE);
    g_free(dissemination);
}

static struct group_entry *find_entry(const struct dissemination *dissemination, uint32_t group)
{
    return g_hash_table_lookup(dissemination->groups, GUINT_TO_POINTER(group));
}

static struct group_entry *obtain_entry(struct dissemination *dissemination, uint32_t group)
{
    struct group_entry *entry = find_entry(dissemination, group);
    if (entry == NULL) {
        entry = g_new0(struct group_entry, 1);
        entry->status.group = group;
        g_hash_table_insert(dissemination->groups, GUINT_TO_POINTER(group), entry);
    }
    return entry;
}

void dissemination_set_owners(struct dissemination *dissemination, uint32_t group, bool owned_here,
                              const uint64_t *owners, size_t count)
{
    struct group_entry *entry = obtain_entry(dissemination, group);
    entry->owned = owned_here;
    g_clear_pointer(&entry->owners, g_array_unref);
    if (!owned_here) {
        g_clear_pointer(&entry->forwarders, g_array_unref);
        return;
    }
    entry->owners = g_array_sized_new(FALSE, FALSE, sizeof(uint64_t), (guint)count);
    for (size_t i = 0; i < count; i++) {
        if (owners[i] != dissemination->self_id) {
            g_array_append_val(entry->owners, owners[i]);
        }
    }
    if (entry->forwarders == NULL) {
        entry->forwarders = g_array_new(FALSE, FALSE, sizeof(struct forwarder));
    }
}

/* Index of a daemon among the forwarders, or the index at which to insert it. */
static guint forwarder_index(const GArray *forwarders, uint64_t daemon)
{
    guint low = 0;
    guint high = forwarders->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (g_array_index(forwarders, struct forwarder, middle).daemon < daemon) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

void dissemination_note_forwarder(struct dissemination *dissemination, uint32_t group,
                                  uint64_t daemon, time_ns now)
{
    struct group_entry *entry = find_entry(dissemination, group);
    if (entry == NULL || entry->forwarders == NULL) {
        return;
    }
    guint index = forwarder_index(entry->forwarders, daemon);
    if (index < entry->forwarders->len) {
        struct forwarder *present = &g_array_index(entry->forwarders, struct forwarder, index);
        if (present->daemon == daemon) {
            present->seen_at = now;
            return;
        }
    }
    struct forwarder added = {daemon, now};
    g_array_insert_val(entry->forwarders, index, added);
}

static bool status_is_newer(const struct group_status *a, const struct group_status *b)
{
    if (a->term != b->term) {
        return a->term > b->term;
    }
    return a->revision > b->revision;
}

static void send_status(struct dissemination *dissemination, const struct group_status *status,
                        uint64_t to, bool acknowledge, GArray *sends)
{
    struct dissemination_send send = {.to = to, .status = *status};
    send.status.sender = dissemination->self_id;
    send.status.acknowledge = acknowledge;
    g_array_append_val(sends, send);
}

/* Sends the group's status and tracks it until it is acknowledged. */
static void send_tracked(struct dissemination *dissemination, const struct group_entry *entry,
                         uint64_t to, time_ns now, GArray *sends)
{
    send_status(dissemination, &entry->status, to, false, sends);
    for (guint i = 0; i < dissemination->unanswered->len; i++) {
        struct unanswered *waiting =
            &g_array_index(dissemination->unanswered, struct unanswered, i);
        if (waiting->to == to && waiting->group == entry->status.group) {
            waiting->sends = 1;
            waiting->next = now + dissemination->options.resend;
            return;
        }
    }
    struct unanswered waiting = {to, entry->status.group, 1, now + dissemination->options.resend};
    g_array_append_val(dissemination->unanswered, waiting);
}

static void remove_expired_forwarders(struct dissemination *dissemination, GArray *forwarders,
                                      time_ns now)
{
    guint i = 0;
    while (i < forwarders->len) {
        time_ns seen_at = g_array_index(forwarders, struct forwarder, i).seen_at;
        if (now > seen_at + dissemination->options.forwarder_expiry) {
            g_array_remove_index(forwarders, i);
        } else {
            i++;
        }
    }
}

static bool is_owner(const struct group_entry *entry, uint64_t daemon)
{
    for (guint i = 0; i < entry->owners->len; i++) {
        if (g_array_index(entry->owners, uint64_t, i) == daemon) {
            return true;
        }
    }
    return false;
}

/* Sends the status to the users of an owned group, except to the daemon it came from. */
static void notify_users(struct dissemination *dissemination, struct group_entry *entry,
                         uint64_t sender, bool owners_too, time_ns now, GArray *sends)
{
    if (!entry->owned) {
        return;
    }
    for (guint i = 0; owners_too && i < entry->owners->len; i++) {
        uint64_t owner = g_array_index(entry->owners, uint64_t, i);
        if (owner != sender) {
            send_tracked(dissemination, entry, owner, now, sends);
        }
    }
    remove_expired_forwarders(dissemination, entry->forwarders, now);
    for (guint i = 0; i < entry->forwarders->len; i++) {
        uint64_t daemon = g_array_index(entry->forwarders, struct forwarder, i).daemon;
        if (daemon != sender && !is_owner(entry, daemon)) {
            send_tracked(dissemination, entry, daemon, now, sends);
        }
    }
}

/* Stores a status. True if it is newer than the known one. */
static bool store_status(struct dissemination *dissemination, struct group_entry *entry,
                         const struct group_status *status)
{
    bool newer = status_is_newer(status, &entry->status);
    if (!newer && !dissemination->options.take_older) {
        return false;
    }
    entry->status = *status;
    return newer;
}

bool dissemination_publish(struct dissemination *dissemination, const struct group_status *status,
                           time_ns now, GArray *sends)
{
    struct group_entry *entry = obtain_entry(dissemination, status->group);
    if (!store_status(dissemination, entry, status)) {
        return false;
    }
    notify_users(dissemination, entry, 0, true, now, sends);
    return true;
}

static void remove_unanswered(struct dissemination *dissemination, uint64_t from, uint32_t group)
{
    for (guint i = 0; i < dissemination->unanswered->len; i++) {
        const struct unanswered *waiting =
            &g_array_index(dissemination->unanswered, struct unanswered, i);
        if (waiting->to == from && waiting->group == group) {
            g_array_remove_index_fast(dissemination->unanswered, i);
            return;
        }
    }
}

bool dissemination_receive(struct dissemination *dissemination, const struct group_status *status,
                           time_ns now, GArray *sends)
{
    struct group_entry *entry = obtain_entry(dissemination, status->group);
    bool newer = store_status(dissemination, entry, status);
    bool settled = !status_is_newer(&entry->status, status);
    if (settled) {
        remove_unanswered(dissemination, status->sender, status->group);
    }
    if (!status->acknowledge) {
        send_status(dissemination, &entry->status, status->sender, true, sends);
    }
    if (newer) {
        notify_users(dissemination, entry, status->sender, true, now, sends);
    }
    return newer;
}

void dissemination_tick(struct dissemination *dissemination, time_ns now, GArray *sends)
{
    guint i = 0;
    while (i < dissemination->unanswered->len) {
        struct unanswered *waiting =
            &g_array_index(dissemination->unanswered, struct unanswered, i);
        if (now < waiting->next) {
            i++;
            continue;
        }
        if (waiting->sends >= dissemination->options.sends_max) {
            g_array_remove_index_fast(dissemination->unanswered, i);
            continue;
        }
        waiting->sends++;
        waiting->next = now + dissemination->options.resend;
        const struct group_entry *entry = find_entry(dissemination, waiting->group);
        send_status(dissemination, &entry->status, waiting->to, false, sends);
        i++;
    }
}

time_ns dissemination_next_wakeup(const struct dissemination *dissemination)
{
    time_ns wakeup = UINT64_MAX;
    for (guint i = 0; i < dissemination->unanswered->len; i++) {
        wakeup = MIN(wakeup, g_array_index(dissemination->unanswered, struct unanswered, i).next);
    }
    return wakeup;
}

bool dissemination_status(const struct dissemination *dissemination, uint32_t group,
                          struct group_status *out)
{
    const struct group_entry *entry = find_entry(dissemination, group);
    if (entry == NULL || entry->status.term == 0) {
        return false;
    }
    *out = entry->status;
    return true;
}

size_t dissemination_forwarders(const struct dissemination *dissemination)
{
    size_t count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dissemination->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct group_entry *entry = value;
        count += entry->forwarders == NULL ? 0 : entry->forwarders->len;
    }
    return count;
}

/* Approximate size of a hash table entry: key, value and hash, with half of the table in use. */
#define HASH_ENTRY_BYTES (2 * (sizeof(gpointer) + sizeof(gpointer) + sizeof(guint)))

size_t dissemination_memory(const struct dissemination *dissemination)
{
    size_t groups = g_hash_table_size(dissemination->groups);
    size_t memory = sizeof(*dissemination);
    memory += groups * (sizeof(struct group_entry) + HASH_ENTRY_BYTES);
    memory += dissemination_forwarders(dissemination) * sizeof(struct forwarder);
    memory += dissemination->unanswered->len * sizeof(struct unanswered);
    return memory;
}
