/**
 * @file
 * @brief The control thread's part in the fleet: the coordinator decides which poolers are members,
 * by their heartbeats, and all poolers pass the list on (fleet.h computes the owners from it).
 *
 * Every pooler keeps the newest list that it received, so that the loss of a coordinator changes
 * nothing. A new coordinator continues with the list that it received as a pooler. Versions contain
 * the lease's token, so that they rise from one coordinator to the next. After a change of token
 * the complete list is sent, as an earlier coordinator may have announced changes that never
 * reached the new one.
 */
#define G_LOG_DOMAIN "fleet"
#include "pooler/control/control_internal.h"
#include "pooler/rate/roster.h"
#include "wire/address.h"

#include <inttypes.h>
#include <string.h>

#define DECIDE_INTERVAL_NS (250 * MS)

/** A pooler without a heartbeat for this long owns nothing. */
#define OWNER_CONTACT_NS (1200 * MS)

/** A member that has never connected to a new coordinator is kept for this long, the time for which
 * the coordinator remembers a disconnected pooler. */
#define UNSEEN_KEPT_NS (4000 * MS)

/** If more than one in MISSING_SHARE members are missing, they are kept for MANY_MISSING_KEPT_NS.
 * Machines came back from partitions and power failures after 2 to 12 s. */
#define MISSING_SHARE        4
#define MANY_MISSING_KEPT_NS (15000 * MS)

/** A new coordinator waits until as many poolers have connected as its predecessor had, but no
 * longer than this: briefly if groups without owners can't be served, longer if they have owners or
 * all poolers can serve them directly. */
#define GATHER_IDLE_NS   (400 * MS)
#define GATHER_SERVED_NS (1500 * MS)

/** The number of poolers by which connections are divided falls only once the fleet has lost more
 * than one in this many. Otherwise a fleet that loses and regains a few poolers would alternate
 * between direct connections and owners. */
#define COUNTED_SLACK 8

const fleet_owners_t *
control_fleet_owners(const struct control *control, const struct service *service)
{
    return fleet_owners(control->fleet, service->name, service->max_connections);
}

static uint64_t
token_of(uint64_t version)
{
    return version >> EPOCH_SHIFT;
}

uint64_t
control_fleet_version(const struct control *control)
{
    uint64_t minimum = control->lease.held ? control->lease.token << EPOCH_SHIFT : 0;
    return fleet_size(control->fleet) == 0 ? 0 : MAX(fleet_version(control->fleet), minimum);
}

static void
add_member(struct pooler_fleet *out, const fleet_member_t *member)
{
    struct pooler_member *added = &out->members[out->members_count++];
    added->address = g_strdup(member->address);
    added->zone = g_strdup(member->zone);
    added->workers = member->workers;
    added->weight = member->weight;
    added->gone = member->gone;
    added->away = member->away;
    added->entering = member->entering;
}

uint64_t
control_fleet_fill(const struct control *control, uint64_t known, struct pooler_fleet *out)
{
    uint64_t version = control_fleet_version(control);
    GHashTable *members = fleet_members(control->fleet);
    GHashTableIter iterator;
    gpointer value = NULL;
    if (known >= version) {
        return known;
    }
    out->version = version;
    out->base = token_of(known) == token_of(version) ? known : 0;
    out->counted = fleet_counted(control->fleet);
    out->members = g_new0(struct pooler_member, g_hash_table_size(members) + 1);
    g_hash_table_iter_init(&iterator, members);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const fleet_member_t *member = value;
        bool listed = !member->gone || member->away;
        if (out->base == 0 ? listed : member->version > out->base) {
            add_member(out, member);
        }
    }
    return version;
}

void
control_fleet_take(struct control *control, const struct pooler_fleet *received)
{
    fleet_t *fleet = control->fleet;
    uint64_t known = control_fleet_version(control);
    bool complete = received->base == 0 || known >= received->base;
    if (received->version <= known || !complete) {
        return;
    }
    for (size_t i = 0; i < received->members_count; i++) {
        const struct pooler_member *member = &received->members[i];
        if (member->gone) {
            fleet_leave(fleet, member->address, received->version);
        } else {
            fleet_join(fleet, member->address, member->zone, member->workers, member->weight,
                       received->version);
        }
        fleet_set_counting(fleet, member->address, member->away, member->entering,
                           received->version);
    }
    if (received->base == 0) {
        fleet_leave_older(fleet, received->version);
    }
    fleet_set_counted(fleet, received->counted, received->version);
    fleet_note_version(fleet, received->version);
    control->view_dirty = true;
}

void
control_fleet_extend_validity(struct control *control, time_ns moment)
{
    control->roster_valid_until = MAX(control->roster_valid_until, moment + ROSTER_VALID_NS);
}

static bool
is_listed(const fleet_member_t *member)
{
    return !member->gone || member->away;
}

static size_t
count_listed(const struct control *control)
{
    size_t count = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        count += is_listed(value);
    }
    return count;
}

static void
fill_roster_member(const struct control *control, const fleet_member_t *member,
                   roster_member_t *out)
{
    if (!parse_address(member->address, &out->socket_address)) {
        g_warning("Invalid pooler address: %s.", member->address);
    }
    out->address = g_strdup(member->address);
    out->weight = member->weight;
    out->same_zone = g_str_equal(member->zone, control->settings->pooler.zone);
    out->self = g_str_equal(member->address, control->forward_address);
    out->away = member->gone;
    out->entering = member->entering;
}

static roster_t *
make_roster(const struct control *control)
{
    roster_t *roster = roster_new(fleet_generation(control->fleet), count_listed(control));
    size_t place = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (is_listed(value)) {
            fill_roster_member(control, value, &roster->members[place++]);
        }
    }
    return roster;
}

roster_t *
control_fleet_roster(struct control *control)
{
    uint64_t generation = fleet_generation(control->fleet);
    if (generation != 0 && (control->roster == NULL || control->roster->revision != generation)) {
        g_clear_pointer(&control->roster, roster_unref);
        control->roster = make_roster(control);
        if (control->shared.counting != NULL) {
            counting_set_roster(control->shared.counting, control->roster, backend_now());
        }
    }
    return control->roster;
}

/** @brief The poolers as this coordinator sees them, by forward address. */
typedef struct contacts {
    GHashTable *recent; /* heartbeat within OWNER_CONTACT_NS */
    GHashTable *ended;  /* stopping, or the process has ended */
    GHashTable *known;  /* connected to this coordinator at any time and remembered; address ->
                           struct pooler_peer */
    bool many_missing;  /* many members have no recent heartbeat and are not known to have ended */
} contacts_t;

static void
contacts_init(contacts_t *contacts)
{
    contacts->recent = g_hash_table_new(g_str_hash, g_str_equal);
    contacts->ended = g_hash_table_new(g_str_hash, g_str_equal);
    contacts->known = g_hash_table_new(g_str_hash, g_str_equal);
    contacts->many_missing = false;
}

static void
contacts_clear(contacts_t *contacts)
{
    g_hash_table_unref(contacts->recent);
    g_hash_table_unref(contacts->ended);
    g_hash_table_unref(contacts->known);
}

static void
classify_pooler(contacts_t *contacts, const struct pooler_peer *pooler, time_ns now)
{
    if (pooler->forward_address == NULL || pooler->forward_address[0] == '\0') {
        return;
    }
    g_hash_table_insert(contacts->known, pooler->forward_address, (gpointer)pooler);
    if (pooler->stopping || (pooler->peer == NULL && pooler->process_ended)) {
        g_hash_table_add(contacts->ended, pooler->forward_address);
    } else if (pooler->peer != NULL && now < pooler->contact.last_heartbeat_at + OWNER_CONTACT_NS) {
        g_hash_table_add(contacts->recent, pooler->forward_address);
    }
}

static uint32_t
join_recent(struct control *control, uint64_t version, contacts_t *contacts, time_ns now)
{
    uint32_t joined = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct pooler_peer *pooler = value;
        classify_pooler(contacts, pooler, now);
        if (pooler->forward_address != NULL &&
            g_hash_table_contains(contacts->recent, pooler->forward_address)) {
            joined += fleet_join(control->fleet, pooler->forward_address, pooler->zone,
                                 pooler->workers, pooler->millicores, version);
        }
    }
    return joined;
}

static bool
is_missing(const contacts_t *contacts, const fleet_member_t *member)
{
    return !member->gone && !g_hash_table_contains(contacts->recent, member->address) &&
           !g_hash_table_contains(contacts->ended, member->address);
}

/* Notes whether many members are missing, and since when. */
static void
note_many_missing(struct control *control, contacts_t *contacts, time_ns now)
{
    uint32_t missing = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        missing += is_missing(contacts, value);
    }
    contacts->many_missing = missing > fleet_size(control->fleet) / MISSING_SHARE;
    if (!contacts->many_missing) {
        control->many_missing_since = 0;
    } else if (control->many_missing_since == 0) {
        control->many_missing_since = now;
    }
}

/* An owner that has left costs little, as forwarding skips owners that don't respond; a fleet
 * reduced to the few poolers that reach the coordinator cannot serve. So if many members are
 * missing, the cause is assumed to be this coordinator, slow or partitioned, and they are kept. A
 * member that has never connected to it gets time to do so. */
static bool
is_kept(const struct control *control, const contacts_t *contacts, const fleet_member_t *member,
        time_ns now)
{
    if (!is_missing(contacts, member)) {
        return g_hash_table_contains(contacts->recent, member->address);
    }
    if (contacts->many_missing) {
        return now < control->many_missing_since + MANY_MISSING_KEPT_NS;
    }
    return !g_hash_table_contains(contacts->known, member->address) &&
           now < control->coordinator_since + UNSEEN_KEPT_NS;
}

static uint32_t
leave_missing(struct control *control, uint64_t version, const contacts_t *contacts, time_ns now)
{
    uint32_t left = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const fleet_member_t *member = value;
        if (!member->gone && !is_kept(control, contacts, member, now)) {
            left += fleet_leave(control->fleet, member->address, version);
        }
    }
    return left;
}

/* Since when the member has had its state, as far as this coordinator knows. */
static time_ns
settled_since(struct control *control, fleet_member_t *member, time_ns now)
{
    if (member->seen_version != member->version) {
        member->seen_version = member->version;
        member->seen_at = now;
        member->row_stored_at = 0;
    }
    return MAX(member->seen_at, control->coordinator_since);
}

void
control_fleet_note_stored(struct control *control, uint64_t version, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        fleet_member_t *member = value;
        bool seen = member->seen_version == member->version;
        if (seen && member->row_stored_at == 0 && member->version <= version) {
            member->row_stored_at = now;
        }
    }
}

void
control_fleet_forget_stored(struct control *control)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((fleet_member_t *)value)->row_stored_at = 0;
    }
}

static roster_member_state_t
member_state(struct control *control, const contacts_t *contacts, fleet_member_t *member,
             time_ns now)
{
    const struct pooler_peer *pooler = g_hash_table_lookup(contacts->known, member->address);
    roster_member_state_t state = {.away = member->gone,
                                   .away_since = settled_since(control, member, now)};
    if (pooler != NULL) {
        state.confirmed = pooler->fleet_reported;
        state.confirmed_as_of = pooler->fleet_reported_as_of;
    }
    return state;
}

/* True if no other member still counts the shares that this member has taken over: all of them have
 * confirmed the version of the list that names it, or have stopped. */
static bool
all_have_confirmed(struct control *control, const contacts_t *contacts,
                   const fleet_member_t *entering, time_ns now)
{
    uint64_t version = MAX(entering->version, control->lease.token << EPOCH_SHIFT);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        fleet_member_t *member = value;
        const roster_member_state_t state = member_state(control, contacts, member, now);
        if (is_listed(member) &&
            !roster_member_is_up_to_date(&state, version, entering->row_stored_at, now)) {
            return false;
        }
    }
    return true;
}

static bool
starts_counting(struct control *control, const contacts_t *contacts, const fleet_member_t *member,
                time_ns since, time_ns now)
{
    if (member->gone || !member->entering) {
        return false;
    }
    bool confirmed = all_have_confirmed(control, contacts, member, now);
    bool starts = confirmed || roster_may_count(true, since, now);
    if (starts) {
        g_info("The pooler at %s starts counting operations, %" PRIu64 " ms after it joined%s.",
               member->address, (now - since) / MS, confirmed ? ": confirmed by all others" : "");
    }
    return starts;
}

/* A member that has been absent for long loses its place in counting operations. A member that has
 * entered starts to count once the previous holder of its shares is certain to have stopped. */
static uint32_t
settle_counting(struct control *control, const contacts_t *contacts, uint64_t version, time_ns now)
{
    uint32_t changed = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fleet_members(control->fleet));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        fleet_member_t *member = value;
        time_ns since = settled_since(control, member, now);
        bool lost = roster_loses_place(member->away, since, now);
        bool entered = starts_counting(control, contacts, member, since, now);
        if (lost || entered) {
            changed += fleet_set_counting(control->fleet, member->address, member->away && !lost,
                                          member->entering && !entered, version);
        }
    }
    return changed;
}

/* Rises at once with the size of the fleet, and falls only if the fleet is clearly smaller. */
static uint32_t
count_damped(uint32_t counted, uint32_t size)
{
    bool smaller = size < counted - counted / COUNTED_SLACK;
    return size > counted || smaller ? size : counted;
}

bool
control_fleet_decide(struct control *control, time_ns now)
{
    contacts_t contacts;
    contacts_init(&contacts);
    uint64_t version = MAX(control_fleet_version(control), control->lease.token << EPOCH_SHIFT) + 1;
    uint32_t joined = join_recent(control, version, &contacts, now);
    note_many_missing(control, &contacts, now);
    uint32_t left = leave_missing(control, version, &contacts, now);
    uint32_t settled = settle_counting(control, &contacts, version, now);
    contacts_clear(&contacts);
    uint32_t size = fleet_size(control->fleet);
    uint32_t counted = count_damped(fleet_counted(control->fleet), size);
    bool changed = joined + left + settled > 0 || counted != fleet_counted(control->fleet);
    fleet_set_counted(control->fleet, counted, version);
    if (changed) {
        g_info("The fleet has %u poolers, counted as %u: %u joined, %u left.", size, counted,
               joined, left);
        control->view_dirty = true;
    }
    return changed;
}

/* True if every group has owners, or poolers that share its connections. */
static bool
is_served(const struct control *control)
{
    GPtrArray *services = control->configuration->services;
    for (guint i = 0; i < services->len; i++) {
        const struct service *service = g_ptr_array_index(services, i);
        bool served = control_fleet_owners(control, service) != NULL ||
                      control_direct_share(control, service) > 0;
        if (!served) {
            return false;
        }
    }
    return true;
}

bool
control_fleet_is_gathering(const struct control *control, time_ns now)
{
    bool complete = control->members_before > 0 &&
                    g_hash_table_size(control->poolers) >= control->members_before;
    time_ns gather = is_served(control) ? GATHER_SERVED_NS : GATHER_IDLE_NS;
    return !complete && now < control->coordinator_since + gather;
}

void
control_fleet_tick(struct control *control, time_ns now)
{
    if (control->configuration == NULL || now < control->fleet_at ||
        control_fleet_is_gathering(control, now)) {
        return;
    }
    control->fleet_at = now + DECIDE_INTERVAL_NS;
    if (control_fleet_decide(control, now)) {
        control_coordinator_push(control);
    }
}
