/* The lease by which one pooler at a time is the coordinator: a row of the store that names the
 * holder, its fencing token and its end by the store's steady clock. It is renewed under the
 * condition that it is unchanged. The holder counts its lease by its own clock from before the
 * renewal was sent, so that it ends here sooner than there.
 *
 * A store that is restored from an older copy of itself may have lost a lease that runs, and tokens
 * that were given out. So each era of the store has a row of its own, which is written only once
 * all leases of the eras before have ended, and tokens of its own, above all earlier ones. A write
 * that was meant for an earlier era finds that era's row, and can't disturb this one's lease by
 * meeting a version number that is given out again. */
#define G_LOG_DOMAIN "lease"
#include "pooler/control/control_internal.h"
#include "pooler/control/compression.h"

#include <inttypes.h>
#include <string.h>

#define LEASE_NS       (2200 * MS)
#define RENEW_EVERY_NS (600 * MS)
#define RETRY_NS       (250 * MS)

/* Who hears no coordinator for this long looks at the row. */
#define SILENCE_NS    (900 * MS)
#define LOOK_EVERY_NS (450 * MS)

/* A lease that is not renewed is looked at again as it ends, by poolers that follow the store
 * within this after its end: less than a tenth of the lease, so that little is lost, and longer
 * than a call at the store takes, so that most find it taken. */
#define TAKE_SPREAD_MS 60

/* The others look after those, in a spread that grows with the fleet: about a look in 8 ms, a few
 * times the length of a call, until one of them passes on who has taken it. */
#define TAKE_SPREAD_OTHERS_MS     180
#define TAKE_SPREAD_PER_POOLER_MS 8

/* A renewal that is overdue for this long, without an answer or refused each time: the store is
 * lost to the holder. Two calls have been refused by then, and a third of the lease is left to pass
 * it on.
 */
#define FAILING_NS (700 * MS)

/* A free lease is left to stronger machines for so long: the coordinator hears all poolers, and a
 * fleet of 300 is too much for a tenth of a core. Some times a call at the store and the spread of
 * those that follow it. */
#define WEAK_WAITS_NS (400 * MS)

/* Kept free at the end of the lease: nothing is done in it. */
#define MARGIN_NS (150 * MS)

static char *
key_of_era(uint64_t era)
{
    return era == 0 ? g_strdup("lease") : g_strdup_printf("lease/%" PRIu64, era);
}

char *
control_lease_key(const struct control *control)
{
    return key_of_era(control->store_era);
}

/* True if a pooler holds the lease in this era, or has held it. */
static bool
has_row(const struct control *control)
{
    return store_number(control->lease.row_version) != 0;
}

bool
control_lease_holds(const struct control *control, time_ns now, time_ns margin)
{
    return control_lease_left(control, now) > margin;
}

time_ns
control_lease_left(const struct control *control, time_ns now)
{
    const struct lease *lease = &control->lease;
    time_ns end = now + MARGIN_NS;
    bool stands = lease->held && !control_era_is_over(control, lease->row_version);
    return stands && end < lease->until ? lease->until - end : 0;
}

/* In a new era there is no row yet that is known here. */
static void
enter_era(struct control *control)
{
    struct lease *lease = &control->lease;
    if (!control_era_is_over(control, lease->row_version)) {
        return;
    }
    control_lease_lost(control, "the store was restored");
    lease->row_version = store_version(control->store_era, 0);
    lease->record.expires_ms = 0;
    lease->clock_ms = 0;
    lease->free_since = 0;
    lease->next_at = 0;
}

/* Takes the answer's era. False if the call was about the row of an earlier one: it tells nothing.
 */
static bool
take_era(struct control *control, const struct store_answer *answer)
{
    control_era_note(control, answer->era, 0);
    enter_era(control);
    return control->lease.call_era == control->store_era;
}

/* Leases of earlier eras have ended by then. */
static time_ns
earlier_leases_end(const struct control *control)
{
    return control->store_era == 0 ? 0 : control->era_since + LEASE_NS;
}

static void
note_clock(struct control *control, const struct store_answer *answer, time_ns now)
{
    struct lease *lease = &control->lease;
    if (answer->clock_ms != 0) {
        store_clock_note(&control->store_clock, lease->call_sent, now, answer->clock_ms);
        lease->clock_sent = lease->call_sent;
        lease->clock_received = now;
        lease->clock_ms = answer->clock_ms;
    }
}

/* Puts a compressed fleet in its place. @return false with `error` if it can't be read. */
static bool
unpack_fleet(struct lease_record *record, GError **error)
{
    if (record->packed_fleet_unpacked == 0) {
        return true;
    }
    g_autoptr(GBytes) content = compression_decompress(
        record->packed_fleet, record->packed_fleet_length, record->packed_fleet_unpacked, error);
    gsize length = 0;
    const uint8_t *data = content == NULL ? NULL : g_bytes_get_data(content, &length);
    struct pooler_fleet fleet = {0};
    if (data == NULL || !pooler_fleet_decode(data, length, &fleet, error)) {
        return false;
    }
    pooler_fleet_clear(&record->fleet);
    record->fleet = fleet;
    return true;
}

bool
control_lease_decode(const uint8_t *data, gsize length, struct lease_record *out, GError **error)
{
    return lease_record_decode(data, length, out, error) && unpack_fleet(out, error);
}

static void
take_record(struct lease *lease, const struct store_row *row)
{
    gsize length = 0;
    const uint8_t *data = g_bytes_get_data(row->value, &length);
    struct lease_record record = {0};
    g_autoptr(GError) error = NULL;
    if (!control_lease_decode(data, length, &record, &error)) {
        g_warning("The lease can't be read: %s.", error->message);
        lease_record_clear(&record);
        return;
    }
    lease_record_clear(&lease->record);
    lease->record = record;
    lease->row_version = row->version;
}

/* The row tells since when its era has been known. */
static void
take_era_age(struct control *control, const struct store_answer *answer)
{
    uint64_t since = control->lease.record.era_since_ms;
    if (since != 0 && since < answer->clock_ms) {
        control_era_note(control, control->store_era, (answer->clock_ms - since) * MS);
    }
}

/* When the store's era was first heard of, by its clock; 0: there has been but one. */
static uint64_t
era_since_by_store(const struct control *control, time_ns now, uint64_t store_now)
{
    uint64_t age = control_era_age(control, now) / MS;
    return control->store_era == 0 || age >= store_now ? 0 : store_now - age;
}

/* Reads the lease's row out of the control table; keeps the other rows for the groups' records. */
static void
take_rows(struct control *control, const struct store_answer *answer)
{
    g_autofree char *key = control_lease_key(control);
    for (guint i = 0; i < answer->rows->len; i++) {
        const struct store_row *row = g_ptr_array_index(answer->rows, i);
        if (!row->gone && g_str_equal(row->key, key)) {
            take_record(&control->lease, row);
            const struct lease_record *record = &control->lease.record;
            take_era_age(control, answer);
            control_fleet_take(control, &record->fleet);
            control_mirrors_take(control, record->mirrors, record->mirrors_count);
            control->view_dirty = true; /* the size of the fleet may be known only now */
        }
        control_take_row(control, STORE_TABLE_CONTROL, row->key, row->version,
                         row->gone ? NULL : row->value);
    }
}

void
control_lease_lost(struct control *control, const char *why)
{
    if (!control->lease.held) {
        return;
    }
    g_message("No longer the coordinator: %s.", why);
    control->lease.held = false;
    control_coordinator_end(control);
}

/* True if the row names this life of this pooler. */
static bool
is_ours(const struct control *control)
{
    const struct lease_record *record = &control->lease.record;
    return record->holder != NULL && g_str_equal(record->holder, control->settings->pooler.name) &&
           record->incarnation == control->incarnation;
}

void
control_lease_take(struct control *control, const struct store_answer *answer)
{
    take_era(control, answer);
    take_rows(control, answer);
    if (control->lease.held && !is_ours(control)) {
        control_lease_lost(control, "another holds the lease");
    }
}

static void on_written(void *user, const struct store_answer *answer);
static void log_answer(const struct control *control, const char *call,
                       const struct store_answer *answer, time_ns now);
static void consider(struct control *control, time_ns now);

/* The row's size, at most: in base64 it fits into the 65,536 bytes that the store takes for a row.
 * A fleet of so many poolers that it would be larger is left out; poolers that start learn it from
 * others then. */
#define LEASE_ROW_MAX ((guint)40 * 1024)

/* From this size on the fleet is compressed, in bytes of the row. */
#define LEASE_PACKED_FROM ((guint)4 * 1024)

static void
leave_out_fleet(struct lease_record *record)
{
    pooler_fleet_clear(&record->fleet);
    pooler_fleet_init(&record->fleet);
}

static void
pack_fleet(struct lease_record *record)
{
    g_autoptr(GBytes) content = g_byte_array_free_to_bytes(pooler_fleet_encode(&record->fleet));
    g_autoptr(GBytes) packed = compression_compress(content);
    leave_out_fleet(record);
    if (packed != NULL) {
        gsize size = 0;
        gconstpointer data = g_bytes_get_data(packed, &size);
        record->packed_fleet = g_memdup2(data, size);
        record->packed_fleet_length = size;
        record->packed_fleet_unpacked = (uint32_t)g_bytes_get_size(content);
    }
}

GByteArray *
control_lease_encode(const struct control *control, struct lease_record *record)
{
    control_fleet_fill(control, 0, &record->fleet);
    GByteArray *bytes = lease_record_encode(record);
    if (bytes->len < LEASE_PACKED_FROM) {
        return bytes;
    }
    pack_fleet(record);
    g_byte_array_unref(bytes);
    bytes = lease_record_encode(record);
    if (bytes->len <= LEASE_ROW_MAX) {
        return bytes;
    }
    g_clear_pointer(&record->packed_fleet, g_free);
    record->packed_fleet_length = 0;
    record->packed_fleet_unpacked = 0;
    g_byte_array_unref(bytes);
    return lease_record_encode(record);
}

/* Proposes to hold the lease from now on, under the condition that the row is as last seen. */
static void
propose(struct control *control, uint64_t token, bool give_up, time_ns now)
{
    struct lease *lease = &control->lease;
    uint64_t store_now = lease->clock_ms + (now - lease->clock_received) / MS;
    struct lease_record record = {
        .holder = g_strdup(control->settings->pooler.name),
        .address = g_strdup(control->address),
        .incarnation = control->incarnation,
        .token = token,
        .expires_ms = give_up ? 0 : store_now + LEASE_NS / MS,
        .era_since_ms = era_since_by_store(control, now, store_now),
        .poolers = lease->held ? control_coordinator_count(control) : control_fleet_size(control),
    };
    record.mirrors_count = control_mirrors_copy(control, &record.mirrors);
    GByteArray *bytes = control_lease_encode(control, &record);
    lease_record_clear(&record);
    g_autofree char *key = control_lease_key(control);
    struct store_put put = {key, bytes->data, bytes->len};
    lease->calling = true;
    lease->call_sent = now;
    lease->call_era = control->store_era;
    lease->proposed_token = token;
    lease->proposed_fleet = control_fleet_version(control);
    control_counts_call(&control->counts, STORE_TABLE_CONTROL, CALL_LEASE_WRITE);
    store_write(control->store, key, lease->row_version, &put, 1, on_written, control);
    g_byte_array_unref(bytes);
}

/* The row is ours: until when, by our clock? The store's clock was read between the sending and the
 * receipt of an earlier answer, so that the lease may end earlier by that much. */
static void
become_holder(struct control *control, time_ns proposed_at, time_ns now)
{
    struct lease *lease = &control->lease;
    bool renewed = lease->held;
    time_ns uncertainty = lease->clock_received - lease->clock_sent;
    time_ns length = LEASE_NS > uncertainty ? LEASE_NS - uncertainty : 0;
    lease->until = proposed_at + length;
    lease->answered_at = now;
    lease->held = true;
    lease->token = lease->proposed_token;
    lease->next_at = now + RENEW_EVERY_NS;
    if (!renewed) {
        g_autofree char *token = g_strdup_printf("%" PRIu64, lease->token);
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_TOKEN", token, "MESSAGE",
                         "Coordinator under token %s.", token);
        control_coordinator_start(control);
    }
}

static void
on_written(void *user, const struct store_answer *answer)
{
    struct control *control = user;
    struct lease *lease = &control->lease;
    time_ns now = backend_now();
    lease->calling = false;
    control_counts_answer(&control->counts, STORE_TABLE_CONTROL, CALL_LEASE_WRITE, answer->bytes);
    lease->next_at = now + RETRY_NS;
    if (!take_era(control, answer)) {
        return;
    }
    if (!lease->held || answer->outcome != STORE_DONE) {
        log_answer(control, "written", answer, now);
    }
    switch (answer->outcome) {
    case STORE_DONE:
        lease->row_version = answer->version;
        if (!lease->releasing) {
            become_holder(control, lease->call_sent, now);
            control_fleet_note_stored(control, lease->proposed_fleet, now);
        }
        note_clock(control, answer, now);
        break;
    case STORE_CONFLICT:
        /* Ours all the same, if an earlier write without an answer was done. */
        note_clock(control, answer, now);
        control_lease_take(control, answer);
        lease->next_at = now;
        if (!lease->held && !lease->releasing) {
            consider(control, now); /* the answer tells the row as it is, a reading may be behind */
        }
        break;
    default:
        break;
    }
    control_wake_soon(control);
}

/* True if the row names an earlier life of this pooler, which is over, or this one, which has lost
 * the lease meanwhile. */
static bool
is_own_earlier(const struct control *control)
{
    const struct lease_record *record = &control->lease.record;
    return record->holder != NULL && g_str_equal(record->holder, control->settings->pooler.name);
}

bool
control_lease_defers(struct control *control, bool free, time_ns now)
{
    struct lease *lease = &control->lease;
    if (!free) {
        lease->free_since = 0;
        return false;
    }
    if (lease->free_since == 0) {
        lease->free_since = now;
    }
    bool weaker = control_millicores(control) < fleet_max_weight(control->fleet);
    return weaker && now < lease->free_since + WEAK_WAITS_NS;
}

/* Moments at which poolers look at a lease that has ended. Those that follow the store take it
 * first, the others if they do not. */
static time_ns
spread_of(const struct control *control)
{
    if (control->follows_store) {
        return TAKE_SPREAD_MS * MS;
    }
    uint32_t spread = TAKE_SPREAD_PER_POOLER_MS * control_fleet_size(control);
    return MAX(spread, TAKE_SPREAD_OTHERS_MS) * MS;
}

/* Each taking of the lease raises the token, also by the same pooler: what an earlier one ordered
 * must rank below. */
static uint64_t
next_token(const struct control *control)
{
    return MAX(control->lease.record.token, control->store_era << TOKEN_ERA_SHIFT) + 1;
}

/* True if the lease may be taken though it runs, by this pooler alone: it was left to it, or its
 * row names an earlier life of it. */
static bool
may_take_at_once(const struct control *control)
{
    const struct lease *lease = &control->lease;
    bool ceded = lease->ceded_token != 0 && lease->record.token == lease->ceded_token;
    return has_row(control) && (ceded || is_own_earlier(control));
}

static void
consider(struct control *control, time_ns now)
{
    struct lease *lease = &control->lease;
    const struct lease_record *record = &lease->record;
    bool free = !has_row(control) || record->expires_ms <= lease->clock_ms;
    bool at_once = may_take_at_once(control);
    if (atomic_load(&control->shared.stop_at) != 0) {
        return;
    }
    if (!has_row(control) && backend_now() < earlier_leases_end(control)) {
        gint32 spread = (gint32)(spread_of(control) / MS);
        lease->next_at = earlier_leases_end(control) + (time_ns)g_random_int_range(1, spread) * MS;
        return;
    }
    if (control_lease_defers(control, free, backend_now()) && !at_once) {
        lease->next_at = lease->free_since + WEAK_WAITS_NS;
        return;
    }
    if (free || at_once) {
        propose(control, next_token(control), false, now);
        return;
    }
    control_member_set_coordinator(control, record->address);
}

/* What an answer of the store told of the lease, and how old the question was. */
static void
log_answer(const struct control *control, const char *call, const struct store_answer *answer,
           time_ns now)
{
    const struct lease *lease = &control->lease;
    g_autofree char *token = g_strdup_printf("%" PRIu64, lease->record.token);
    g_autofree char *left =
        g_strdup_printf("%" PRId64, (int64_t)lease->record.expires_ms - (int64_t)answer->clock_ms);
    g_autofree char *took = g_strdup_printf("%" PRIu64, (now - lease->call_sent) / MS);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_OUTCOME",
                     store_outcome_name(answer->outcome), "SW_HOLDER",
                     lease->record.holder == NULL ? "" : lease->record.holder, "SW_TOKEN", token,
                     "SW_LEFT_MS", left, "SW_TOOK_MS", took, "MESSAGE", "Lease %s: %s, holder %s.",
                     call, store_outcome_name(answer->outcome),
                     lease->record.holder == NULL ? "nobody" : lease->record.holder);
}

/* When the row is looked at again: as the lease ends, if it is another's. */
static time_ns
next_look(const struct control *control, const struct store_answer *answer, time_ns now)
{
    const struct lease_record *record = &control->lease.record;
    bool runs = answer->outcome == STORE_DONE && record->expires_ms > answer->clock_ms;
    if (runs) {
        time_ns left = (record->expires_ms - answer->clock_ms) * MS;
        time_ns spread = spread_of(control);
        return now + MIN(left, LEASE_NS) +
               (time_ns)g_random_int_range(1, (gint32)(spread / MS)) * MS;
    }
    time_ns every = control->follows_store ? LOOK_EVERY_NS : LOOK_EVERY_NS * 3;
    return now + every / 2 + (time_ns)g_random_int_range(0, (gint32)(every / MS)) * MS;
}

/* The holder has told others of no later change of the fleet than one lease's length before: it
 * wrote the row so often, or it was no longer the holder. */
static void
rely_on_row(struct control *control)
{
    const struct lease *lease = &control->lease;
    uint64_t told = lease->record.fleet.version;
    bool current = has_row(control) && told != 0 && control_fleet_version(control) == told;
    if (current && lease->call_sent > LEASE_NS) {
        control_fleet_extend_validity(control, lease->call_sent - LEASE_NS);
    }
}

/* The row of an earlier era tells where other poolers may be found, and nothing that is relied on.
 */
static void
take_poolers(struct control *control, const struct store_answer *answer)
{
    g_autofree char *key = key_of_era(control->lease.call_era);
    for (guint i = 0; i < answer->rows->len; i++) {
        const struct store_row *row = g_ptr_array_index(answer->rows, i);
        gsize length = 0;
        const uint8_t *data = row->gone ? NULL : g_bytes_get_data(row->value, &length);
        struct lease_record record = {0};
        if (data != NULL && g_str_equal(row->key, key) &&
            control_lease_decode(data, length, &record, NULL)) {
            control_fleet_take(control, &record.fleet);
            control_mirrors_take(control, record.mirrors, record.mirrors_count);
            control->view_dirty = true;
        }
        lease_record_clear(&record);
    }
}

static void
on_looked(void *user, const struct store_answer *answer)
{
    struct control *control = user;
    struct lease *lease = &control->lease;
    time_ns now = backend_now();
    lease->calling = false;
    control_counts_answer(&control->counts, STORE_TABLE_CONTROL, CALL_LEASE_LOOK, answer->bytes);
    if (!take_era(control, answer)) {
        take_poolers(control, answer);
        return; /* the row of the new era is read next */
    }
    if (answer->outcome != STORE_DONE) {
        lease->next_at = next_look(control, answer, now);
        log_answer(control, "not read", answer, now);
        return;
    }
    note_clock(control, answer, now);
    take_rows(control, answer);
    rely_on_row(control);
    lease->next_at = next_look(control, answer, now);
    log_answer(control, "read", answer, now);
    consider(control, now);
}

static void
look(struct control *control, time_ns now)
{
    control->lease.calling = true;
    control->lease.invited = false;
    control->lease.call_sent = now;
    control->lease.call_era = control->store_era;
    control_counts_call(&control->counts, STORE_TABLE_CONTROL, CALL_LEASE_LOOK);
    g_autofree char *key = control_lease_key(control);
    store_read_row(control->store, STORE_TABLE_CONTROL, key, on_looked, control);
}

void
control_lease_tick(struct control *control, time_ns now)
{
    struct lease *lease = &control->lease;
    enter_era(control);
    if (lease->held && now + MARGIN_NS >= lease->until) {
        control_lease_lost(control, "the lease could not be renewed in time");
    }
    if (control_lease_is_failing(control, now) && control_coordinator_cede(control, false)) {
        control_lease_lost(control, "the store does not answer; it is left to another pooler");
    }
    if (lease->calling || now < lease->next_at || lease->releasing) {
        return;
    }
    bool stopping = atomic_load(&control->shared.stop_at) != 0;
    bool silent = now > control->granted_at + SILENCE_NS;
    if (lease->held) {
        propose(control, lease->token, false, now);
    } else if (silent && !stopping &&
               (lease->invited || !control_relayed_covers_lease(control, now))) {
        look(control, now);
    }
}

bool
control_lease_is_failing(const struct control *control, time_ns now)
{
    return control->lease.held && control_lease_overdue(control, now) > FAILING_NS;
}

time_ns
control_lease_overdue(const struct control *control, time_ns now)
{
    time_ns due = control->lease.answered_at + RENEW_EVERY_NS;
    return now > due ? now - due : 0;
}

void
control_lease_invite(struct control *control)
{
    control->lease.next_at = 0;
    control->lease.invited = true;
    control_wake_soon(control);
}

void
control_lease_ceded(struct control *control, uint64_t token)
{
    g_message("The lease under token %" PRIu64 " is left to us.", token);
    control->lease.ceded_token = token;
    control->lease.cessions++;
    control->granted_at = 0;
    control_lease_invite(control);
}

void
control_lease_release(struct control *control)
{
    struct lease *lease = &control->lease;
    if (!lease->held) {
        return;
    }
    control_coordinator_cede(control, true);
    control_lease_lost(control, "a planned stop");
    if (control_era_is_over(control, lease->row_version)) {
        return; /* there is nothing left to give up */
    }
    lease->releasing = true;
    propose(control, lease->token, true, backend_now());
}
