/**
 * @file
 * @brief The lease by which one pooler at a time is the coordinator.
 *
 * The lease is a row of the store with the holder's name, its fencing token and the expiry time by
 * the store's monotonic clock. It is acquired and renewed by a conditional write: the row must be
 * unchanged. The holder counts the lease's length by its own clock from before the write was sent,
 * so that the lease expires at the holder before it expires in the store.
 *
 * A store that is restored from an older copy of itself may have lost a running lease and tokens
 * that were assigned. Each store era therefore has its own row, which is written only after all
 * leases of earlier eras have expired, and its own tokens, above all earlier ones. A delayed write
 * that was meant for an earlier era goes to that era's row, and can't overwrite the current lease
 * by matching a version number that the restored store has assigned again.
 */
#define G_LOG_DOMAIN "lease"
#include "pooler/control/control_internal.h"
#include "pooler/control/compression.h"

#include <inttypes.h>
#include <string.h>

#define LEASE_NS       (2200 * MS)
#define RENEW_EVERY_NS (600 * MS)
#define RETRY_NS       (250 * MS)

/* Time between the answer to a renewal and the next renewal, for writes that are conditional on the
 * row: the next renewal changes it, and a store whose answers take as long as RENEW_EVERY_NS would
 * else accept none of them. */
#define RENEW_GAP_NS (100 * MS)

/* A pooler without a grant from a coordinator for COORDINATOR_TIMEOUT_NS reads the lease row, and
 * reads it again about every READ_EVERY_NS. */
#define COORDINATOR_TIMEOUT_NS (900 * MS)
#define READ_EVERY_NS          (450 * MS)

/* Poolers read the row of a running lease again when it expires. Those that follow the store do so
 * at a random time within this after the expiry: less than a tenth of the lease, to replace a
 * failed coordinator soon, and longer than a store call takes, so that most of them find it already
 * taken. */
#define ACQUIRE_SPREAD_MS 60

/* All other poolers spread their reads over a time that grows with the fleet: about one read in 8
 * ms, a few times the length of a store call, until the new holder is announced to them. */
#define ACQUIRE_SPREAD_OTHERS_MS     180
#define ACQUIRE_SPREAD_PER_POOLER_MS 8

/* If the renewal is overdue by this, without an answer or refused each time, the holder can't reach
 * the store and hands the lease over. Two calls have been refused by then, and a third of the lease
 * is left for the handover. */
#define FAILING_NS (700 * MS)

/* A weak machine does not take a free lease for this time, so that a stronger one can: the
 * coordinator processes the heartbeats of all poolers, and a fleet of 300 is too much for a tenth
 * of a core. Several times the length of a store call and ACQUIRE_SPREAD_MS. */
#define WEAK_DEFERS_NS (400 * MS)

/* Safety margin at the end of the lease, in which the holder no longer acts under it. */
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

/* True if the current era has a lease row, of a running or an expired lease. */
static bool
has_row(const struct control *control)
{
    return store_number(control->lease.row_version) != 0;
}

bool
control_lease_predecessor_expired(const struct control *control)
{
    const struct lease *lease = &control->lease;
    uint64_t expires_ms = lease->record.expires_ms;
    return lease->record.holder == NULL || (expires_ms != 0 && expires_ms <= lease->clock_ms);
}

bool
control_lease_holds(const struct control *control, time_ns now, time_ns margin)
{
    return control_lease_remaining(control, now) > margin;
}

time_ns
control_lease_remaining(const struct control *control, time_ns now)
{
    const struct lease *lease = &control->lease;
    time_ns end = now + MARGIN_NS;
    bool valid = lease->held && !control_era_is_over(control, lease->row_version);
    return valid && end < lease->until ? lease->until - end : 0;
}

/* In a new store era, drops what is known of the earlier era's row. */
static void
enter_era(struct control *control)
{
    struct lease *lease = &control->lease;
    if (!control_era_is_over(control, lease->row_version)) {
        return;
    }
    control_lease_end(control, "the store was restored");
    lease->row_version = store_version(control->store_era, 0);
    lease->record.expires_ms = 0;
    lease->clock_ms = 0;
    lease->free_since = 0;
    lease->next_at = 0;
}

/* Applies the answer's store era. False if the call was about the row of an earlier era: the answer
 * says nothing about the current lease. */
static bool
apply_era(struct control *control, const struct store_answer *answer)
{
    control_era_note(control, answer->era, 0);
    enter_era(control);
    return control->lease.call_era == control->store_era;
}

/* When all leases of earlier eras have expired. */
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

/* Decompresses the record's fleet, if it is compressed. False with `error` if it is malformed. */
static bool
decompress_fleet(struct lease_record *record, GError **error)
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
    return lease_record_decode(data, length, out, error) && decompress_fleet(out, error);
}

static void
apply_record(struct lease *lease, const struct store_row *row)
{
    gsize length = 0;
    const uint8_t *data = g_bytes_get_data(row->value, &length);
    struct lease_record record = {0};
    g_autoptr(GError) error = NULL;
    if (!control_lease_decode(data, length, &record, &error)) {
        g_warning("The lease row is malformed and was ignored: %s.", error->message);
        lease_record_clear(&record);
        return;
    }
    control_unwritten_note_version(&record, row->version);
    lease_record_clear(&lease->record);
    lease->record = record;
    lease->row_version = row->version;
}

/* Applies the time in the row since which its era has been known. */
static void
apply_era_age(struct control *control, const struct store_answer *answer)
{
    uint64_t since = control->lease.record.era_since_ms;
    if (since != 0 && since < answer->clock_ms) {
        control_era_note(control, control->store_era, (answer->clock_ms - since) * MS);
    }
}

/* When the store era became known, by the store's clock; 0: the store was never restored. */
static uint64_t
era_since_by_store(const struct control *control, time_ns now, uint64_t store_now)
{
    uint64_t age = control_era_age(control, now) / MS;
    return control->store_era == 0 || age >= store_now ? 0 : store_now - age;
}

/* Applies the lease row of the answer, and keeps all its rows, for the records of promotions. */
static void
apply_rows(struct control *control, const struct store_answer *answer)
{
    g_autofree char *key = control_lease_key(control);
    for (guint i = 0; i < answer->rows->len; i++) {
        const struct store_row *row = g_ptr_array_index(answer->rows, i);
        if (!row->gone && g_str_equal(row->key, key)) {
            apply_record(&control->lease, row);
            const struct lease_record *record = &control->lease.record;
            apply_era_age(control, answer);
            control_fleet_take(control, &record->fleet);
            control_mirrors_take(control, record->mirrors, record->mirrors_count);
            control->view_dirty = true; /* the size of the fleet may have changed */
        }
        control_take_row(control, STORE_TABLE_CONTROL, row->key, row->version,
                         row->gone ? NULL : row->value);
    }
}

void
control_lease_end(struct control *control, const char *reason)
{
    if (!control->lease.held) {
        return;
    }
    g_message("No longer the coordinator: %s.", reason);
    control->lease.held = false;
    control_coordinator_end(control);
}

/* True if the row names this process as the holder. */
static bool
is_own_row(const struct control *control)
{
    const struct lease_record *record = &control->lease.record;
    return record->holder != NULL && g_str_equal(record->holder, control->settings->pooler.name) &&
           record->incarnation == control->incarnation;
}

void
control_lease_apply_answer(struct control *control, const struct store_answer *answer)
{
    apply_era(control, answer);
    apply_rows(control, answer);
    if (control->lease.held && !is_own_row(control)) {
        control_lease_end(control, "another pooler holds the lease");
    }
}

static void on_written(void *user, const struct store_answer *answer);
static void log_answer(const struct control *control, const char *call,
                       const struct store_answer *answer, time_ns now);
static void try_acquire(struct control *control, time_ns now);

/* Maximum size of the row: in base64 it fits into the 65,536 bytes that the store accepts for a
 * row. If the fleet makes the row larger, it is left out, and starting poolers learn it from other
 * poolers. */
#define LEASE_ROW_MAX ((guint)40 * 1024)

/* The fleet is compressed in rows of at least this size. */
#define LEASE_COMPRESS_FROM ((guint)4 * 1024)

static void
clear_fleet(struct lease_record *record)
{
    pooler_fleet_clear(&record->fleet);
    pooler_fleet_init(&record->fleet);
}

static void
compress_fleet(struct lease_record *record)
{
    g_autoptr(GBytes) content = g_byte_array_free_to_bytes(pooler_fleet_encode(&record->fleet));
    g_autoptr(GBytes) compressed = compression_compress(content);
    clear_fleet(record);
    if (compressed != NULL) {
        gsize size = 0;
        gconstpointer data = g_bytes_get_data(compressed, &size);
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
    if (bytes->len < LEASE_COMPRESS_FROM) {
        return bytes;
    }
    compress_fleet(record);
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

/* Acquires, renews or gives up (`give_up`) the lease, if the row is unchanged since it was last
 * read. */
static void
write_row(struct control *control, uint64_t token, bool give_up, time_ns now)
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
    control_unwritten_fill(control, &record);
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

/* The write succeeded. The lease's end by the local clock: the expiry in the row was computed from
 * the store's clock, which was read at some time between the sending and the answer of an earlier
 * call, so the lease may expire earlier by that duration. */
static void
become_holder(struct control *control, time_ns proposed_at, time_ns now)
{
    struct lease *lease = &control->lease;
    bool renewed = lease->held;
    time_ns uncertainty = lease->clock_received - lease->clock_sent;
    time_ns length = LEASE_NS > uncertainty ? LEASE_NS - uncertainty : 0;
    lease->until = proposed_at + length;
    lease->renewed_at = now;
    lease->held = true;
    lease->token = lease->proposed_token;
    lease->next_at = MAX(proposed_at + RENEW_EVERY_NS, now + RENEW_GAP_NS);
    if (!renewed) {
        g_autofree char *token = g_strdup_printf("%" PRIu64, lease->token);
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_TOKEN", token, "MESSAGE",
                         "Holds the coordinator lease with token %s.", token);
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
    if (!apply_era(control, answer)) {
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
        /* The row is our own if an earlier write was done whose answer got lost. */
        note_clock(control, answer, now);
        control_lease_apply_answer(control, answer);
        lease->next_at = now;
        if (!lease->held && !lease->releasing) {
            /* The answer has the row as it is now, while a read may be outdated. */
            try_acquire(control, now);
        }
        break;
    default:
        break;
    }
    control_wake_soon(control);
}

/* True if the row names this pooler: an earlier process of it, which has ended, or this process,
 * which no longer holds the lease. */
static bool
names_this_pooler(const struct control *control)
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
    return weaker && now < lease->free_since + WEAK_DEFERS_NS;
}

/* The time over which reads of an expired lease are spread. Poolers that follow the store come
 * first, the others if none of those has taken it. */
static time_ns
acquisition_spread(const struct control *control)
{
    if (control->follows_store) {
        return ACQUIRE_SPREAD_MS * MS;
    }
    uint32_t spread = ACQUIRE_SPREAD_PER_POOLER_MS * control_fleet_size(control);
    return MAX(spread, ACQUIRE_SPREAD_OTHERS_MS) * MS;
}

/* Each acquisition raises the token, also by the same pooler: orders of earlier leases must have a
 * lower one. */
static uint64_t
next_token(const struct control *control)
{
    return MAX(control->lease.record.token, control->store_era << TOKEN_ERA_SHIFT) + 1;
}

/* True if this pooler may take the lease before it expires, as it was handed over to this pooler,
 * or as its row names this pooler as the holder. */
static bool
may_acquire_unexpired(const struct control *control)
{
    const struct lease *lease = &control->lease;
    bool handed_over = lease->handover_token != 0 && lease->record.token == lease->handover_token;
    return has_row(control) && (handed_over || names_this_pooler(control));
}

static void
try_acquire(struct control *control, time_ns now)
{
    struct lease *lease = &control->lease;
    const struct lease_record *record = &lease->record;
    bool free = !has_row(control) || record->expires_ms <= lease->clock_ms;
    bool at_once = may_acquire_unexpired(control);
    if (atomic_load(&control->shared.stop_at) != 0) {
        return;
    }
    if (!has_row(control) && backend_now() < earlier_leases_end(control)) {
        gint32 spread = (gint32)(acquisition_spread(control) / MS);
        lease->next_at = earlier_leases_end(control) + (time_ns)g_random_int_range(1, spread) * MS;
        return;
    }
    if (control_lease_defers(control, free, backend_now()) && !at_once) {
        lease->next_at = lease->free_since + WEAK_DEFERS_NS;
        return;
    }
    if (free || at_once) {
        write_row(control, next_token(control), false, now);
        return;
    }
    control_member_set_coordinator(control, record->address);
}

/* Logs the outcome of a call, the lease as of then, and how long the call took. */
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
                     "SW_LEFT_MS", left, "SW_TOOK_MS", took, "MESSAGE",
                     "Lease row %s: %s, holder %s.", call, store_outcome_name(answer->outcome),
                     lease->record.holder == NULL ? "nobody" : lease->record.holder);
}

/* When to read the row again: when the lease expires, if another pooler holds it. */
static time_ns
next_read_at(const struct control *control, const struct store_answer *answer, time_ns now)
{
    const struct lease_record *record = &control->lease.record;
    bool running = answer->outcome == STORE_DONE && record->expires_ms > answer->clock_ms;
    if (running) {
        time_ns left = (record->expires_ms - answer->clock_ms) * MS;
        time_ns spread = acquisition_spread(control);
        return now + MIN(left, LEASE_NS) +
               (time_ns)g_random_int_range(1, (gint32)(spread / MS)) * MS;
    }
    time_ns every = control->follows_store ? READ_EVERY_NS : READ_EVERY_NS * 3;
    return now + every / 2 + (time_ns)g_random_int_range(0, (gint32)(every / MS)) * MS;
}

/* The fleet in the row was the coordinator's newest one lease length before the read: a holder
 * writes the row at least that often, or is no longer the holder. */
static void
use_row_fleet(struct control *control)
{
    const struct lease *lease = &control->lease;
    uint64_t listed_version = lease->record.fleet.version;
    bool current =
        has_row(control) && listed_version != 0 && control_fleet_version(control) == listed_version;
    if (current && lease->call_sent > LEASE_NS) {
        control_fleet_extend_validity(control, lease->call_sent - LEASE_NS);
    }
}

/* The row of an earlier era gives addresses of other poolers to connect to. Nothing else in it is
 * valid. */
static void
apply_earlier_row(struct control *control, const struct store_answer *answer)
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
on_read(void *user, const struct store_answer *answer)
{
    struct control *control = user;
    struct lease *lease = &control->lease;
    time_ns now = backend_now();
    lease->calling = false;
    control_counts_answer(&control->counts, STORE_TABLE_CONTROL, CALL_LEASE_READ, answer->bytes);
    if (!apply_era(control, answer)) {
        apply_earlier_row(control, answer);
        return; /* the next read is of the new era's row */
    }
    if (answer->outcome != STORE_DONE) {
        lease->next_at = next_read_at(control, answer, now);
        log_answer(control, "not read", answer, now);
        return;
    }
    note_clock(control, answer, now);
    apply_rows(control, answer);
    use_row_fleet(control);
    lease->next_at = next_read_at(control, answer, now);
    log_answer(control, "read", answer, now);
    try_acquire(control, now);
}

static void
read_row(struct control *control, time_ns now)
{
    control->lease.calling = true;
    control->lease.check_now = false;
    control->lease.call_sent = now;
    control->lease.call_era = control->store_era;
    control_counts_call(&control->counts, STORE_TABLE_CONTROL, CALL_LEASE_READ);
    g_autofree char *key = control_lease_key(control);
    store_read_row(control->store, STORE_TABLE_CONTROL, key, on_read, control);
}

void
control_lease_tick(struct control *control, time_ns now)
{
    struct lease *lease = &control->lease;
    enter_era(control);
    if (lease->held && now + MARGIN_NS >= lease->until) {
        control_lease_end(control, "the lease could not be renewed in time");
    }
    if (control_lease_is_failing(control, now) && control_coordinator_hand_over(control, false)) {
        control_lease_end(control, "the store does not answer; handed the lease over");
    }
    if (lease->calling || now < lease->next_at || lease->releasing) {
        return;
    }
    bool stopping = atomic_load(&control->shared.stop_at) != 0;
    bool no_coordinator = now > control->granted_at + COORDINATOR_TIMEOUT_NS;
    if (lease->held) {
        write_row(control, lease->token, false, now);
    } else if (no_coordinator && !stopping &&
               (lease->check_now || !control_relayed_covers_lease(control, now))) {
        read_row(control, now);
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
    time_ns due = control->lease.renewed_at + RENEW_EVERY_NS;
    return now > due ? now - due : 0;
}

void
control_lease_check_now(struct control *control)
{
    control->lease.next_at = 0;
    control->lease.check_now = true;
    control_wake_soon(control);
}

void
control_lease_accept_handover(struct control *control, uint64_t token)
{
    g_message("The lease with token %" PRIu64 " was handed over to this pooler.", token);
    control->lease.handover_token = token;
    control->lease.handovers_received++;
    control->granted_at = 0;
    control_lease_check_now(control);
}

void
control_lease_release(struct control *control)
{
    struct lease *lease = &control->lease;
    if (!lease->held) {
        return;
    }
    control_coordinator_hand_over(control, true);
    /* The row of a new era is not ours to release. */
    if (!control_era_is_over(control, lease->row_version)) {
        lease->releasing = true;
        write_row(control, lease->token, true, backend_now());
    }
    control_lease_end(control, "graceful shutdown");
}
