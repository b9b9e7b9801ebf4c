/**
 * @file
 * @brief Validity of relayed state: how long a pooler uses rows that others sent in place of
 * reading the store itself.
 *
 * Relayed rows are as old as they were at the sender, plus the round trip: their age counts from
 * the time at which the request for them was sent. It counts only if everything that the sender
 * knows is known here, too. So ages can be passed on from pooler to pooler: a late message, or a
 * process that was stopped for a while, never makes rows look newer than they are.
 */
#define G_LOG_DOMAIN "reliance"
#include "pooler/control/control_internal.h"

/** Relayed state is valid for this part of the time within which a configuration must be in force,
 * from the time at which it was proven to be the store's newest. Then this pooler reads the store
 * itself, which may take up to three tenths more if many poolers do (DIRECT_POLL_BOUND_PART). With
 * half, a pooler would read the store although its coordinator is healthy, as a healthy
 * coordinator's rows are up to 1.3 s old: its own poll interval of the store, 1 s, and a
 * heartbeat's interval. */
#define RELAYED_VALID_PART 0.6

/** While relayed state is newer than this, its senders follow the store and watch the lease: the
 * 1.3 s that rows of a healthy sender are old at most, and one more message. */
#define LEASE_COVERED_NS (1500 * MS)

/** The store counts as not answering a pooler after this many consecutive failures. */
#define STORE_FAILURES_MIN 2

/** When another pooler has answered, the first call at the store waits this much longer, as the
 * coordinator will send the tables: three round trips between slow machines. This happens only
 * once, as the pooler that answered may have no coordinator either. */
#define START_EXTENSION_NS (150 * MS)

/* When the rows known here were the store's newest, by the reported age; 0: the report is of more
 * than is known here, or of another era, in which the store may have lost rows that are missing
 * here. */
static time_ns
reported_moment(const struct feed *feed, uint64_t reported, uint32_t age_ms, time_ns requested_at)
{
    bool comparable = feed->version >= reported && store_era(feed->version) == store_era(reported);
    return requested_at != 0 && comparable ? proof_from_age(requested_at, age_ms) : 0;
}

time_ns
control_relayed_accept_proofs(struct control *control, const struct pooler_relay *relay,
                              time_ns requested_at)
{
    struct feed *configuration = &control->feeds[STORE_TABLE_CONFIGURATION];
    struct feed *directory = &control->feeds[STORE_TABLE_DIRECTORY];
    time_ns configuration_at = reported_moment(configuration, relay->configuration_row,
                                               relay->configuration_age_ms, requested_at);
    time_ns directory_at =
        reported_moment(directory, relay->directory_row, relay->directory_age_ms, requested_at);
    control_feed_prove(configuration, configuration_at);
    control_feed_prove(directory, directory_at);
    return MIN(configuration_at, directory_at);
}

/* The next heartbeats need not contain what the sender of this message has. */
static void
note_coordinator_rows(struct control *control, const struct pooler_relay *relay)
{
    row_versions_t known = control_relay_versions(control); /* lower, if a row could not be read */
    control->coordinator_rows = (row_versions_t){MIN(relay->configuration_row, known.configuration),
                                                 MIN(relay->directory_row, known.directory)};
}

/* An incomplete message means missing rows only if the sender knew this pooler's version. If it
 * assumed a lower one, its next message will be right. */
static void
note_missing_of(struct feed *feed, uint64_t reported, bool incomplete)
{
    bool newly_missing = incomplete && feed->version <= reported;
    feed->missing = newly_missing || (feed->missing && feed->version < reported);
}

/* Notes which tables must be read at the store, as their rows were too large to be sent or
 * unreadable. */
static void
note_missing(struct control *control, const struct pooler_relay *relay)
{
    note_missing_of(&control->feeds[STORE_TABLE_CONFIGURATION], relay->configuration_row,
                    relay->configuration_incomplete);
    note_missing_of(&control->feeds[STORE_TABLE_DIRECTORY], relay->directory_row,
                    relay->directory_incomplete);
}

void
control_relayed_accept(struct control *control, const struct pooler_relay *relay,
                       time_ns requested_at)
{
    control_relayed_accept_tables(control, relay, requested_at);
    note_coordinator_rows(control, relay);
}

void
control_relayed_accept_tables(struct control *control, const struct pooler_relay *relay,
                              time_ns requested_at)
{
    time_ns known_at = control_relayed_accept_proofs(control, relay, requested_at);
    note_missing(control, relay);
    if (known_at != 0) {
        control->relayed_as_of = MAX(control->relayed_as_of, known_at);
        double bound = (double)(control->settings->store.apply_ms * MS);
        time_ns until = known_at + (time_ns)(bound * RELAYED_VALID_PART);
        control->relayed_valid_until = MAX(control->relayed_valid_until, until);
    }
}

bool
control_relayed_is_recent(const struct control *control, time_ns now)
{
    return !control->lease.held && control->relayed_as_of != 0 &&
           now < control->relayed_as_of + LEASE_COVERED_NS;
}

bool
control_relayed_is_valid(const struct control *control, time_ns now)
{
    return !control->lease.held && !control->follows_store && now <= control->relayed_valid_until;
}

bool
control_relayed_covers_lease(const struct control *control, time_ns now)
{
    return !control->follows_store && control_relayed_is_recent(control, now);
}

bool
control_relayed_needs_store(const struct control *control, enum store_table table, time_ns now)
{
    bool needed = !control_relayed_is_valid(control, now) || control->feeds[table].missing;
    return needed && !control->mirrors.expected;
}

bool
control_relayed_store_fails(const struct control *control)
{
    return control->feeds[STORE_TABLE_CONFIGURATION].failures >= STORE_FAILURES_MIN ||
           control->feeds[STORE_TABLE_DIRECTORY].failures >= STORE_FAILURES_MIN;
}

static uint32_t
last_answer_age_ms(const struct feed *feed, time_ns now)
{
    return feed->last_answer_at == 0
               ? UINT32_MAX
               : (uint32_t)MIN((now - feed->last_answer_at) / MS, UINT32_MAX - 1);
}

uint32_t
control_relayed_store_age_ms(const struct control *control, time_ns now)
{
    return MIN(last_answer_age_ms(&control->feeds[STORE_TABLE_CONFIGURATION], now),
               last_answer_age_ms(&control->feeds[STORE_TABLE_DIRECTORY], now));
}

static bool
is_configured_address(const struct control *control)
{
    const struct address_list *peers = &control->settings->pooler.peers;
    for (size_t i = 0; i < peers->count; i++) {
        if (g_str_equal(peers->items[i], control->address)) {
            return true;
        }
    }
    return peers->count == 0;
}

void
control_relayed_start(struct control *control)
{
    time_ns now = backend_now();
    /* A live pooler answers within a few milliseconds, also from another zone. After the loss of
     * all poolers none does, and each further millisecond of waiting is one without service. */
    gint32 longest = (gint32)control->settings->pooler.start_wait_ms;
    time_ns wait = (time_ns)g_random_int_range(longest / 2, longest) * MS;
    control->relayed_valid_until = is_configured_address(control) ? 0 : now + wait;
    control->lease.next_at = control->relayed_valid_until;
}

void
control_relayed_peer_answered(struct control *control, time_ns now)
{
    bool starting = control->granted_at == 0 && control->relayed_valid_until > now;
    if (starting && !control->start_answered) {
        control->start_answered = true;
        control->relayed_valid_until = MAX(control->relayed_valid_until, now + START_EXTENSION_NS);
        control->lease.next_at = control->relayed_valid_until;
    }
}
