/**
 * @file
 * @brief How far a pooler relies on what others tell it of the store, and when it needed by itself.
 *
 * What another pooler reported is as old as it was there, plus the way: it counts from when it was
 * asked for, and only if everything is here that the teller knew. So an age can be passed on from
 * pooler to pooler, late or through a process that stood still, and never makes anything look newer
 * than it is.
 */
#define G_LOG_DOMAIN "reliance"
#include "pooler/control/control_internal.h"

/** What others reported is relied on for so long after the moment at which it was certainly the
 * store's newest, as a share of the bound within which a configuration must be in force. Then this
 * pooler needed by itself, which takes up to three tenths more where many do
 * (DIRECT_POLL_BOUND_PART). At half of it a pooler would ask beside a healthy coordinator, which
 * tells what is up to 1.3 s old: its own look at the store, 1 s, and a heartbeat's interval. */
#define RELAYED_VALID_PART 0.6

/** While what others reported is newer than this, they follow the store and see to the lease:
 * the 1.3 s that it is old at most from a healthy teller, and one more message. */
#define LEASE_COVERED_NS (1500 * MS)

/** The store does not answer a pooler after so many failures in a row. */
#define STORE_FAILURES_MIN 2

/** Once another pooler has answered, the store is left alone for so much longer, as the coordinator
 *  tells the rest: three rounds of messages, on machines that answer slowly. Only once, as the one
 *  that answered may know no coordinator either. */
#define START_EXTENSION_NS (150 * MS)

/* When what is known here was the newest, by what was reported; 0: that was of more than is here,
 * or of an earlier era, of which the store may have lost what is not known here. */
static time_ns
reported_moment(const struct feed *feed, uint64_t reported, uint32_t age_ms, time_ns asked)
{
    bool comparable = feed->version >= reported && store_era(feed->version) == store_era(reported);
    return asked != 0 && comparable ? evidence_from_age(asked, age_ms) : 0;
}

time_ns
control_relayed_accept_proofs(struct control *control, const struct pooler_relay *relay,
                              time_ns asked)
{
    struct feed *configuration = &control->feeds[STORE_TABLE_CONFIGURATION];
    struct feed *directory = &control->feeds[STORE_TABLE_DIRECTORY];
    time_ns configuration_at = reported_moment(configuration, relay->configuration_row,
                                               relay->configuration_age_ms, asked);
    time_ns directory_at =
        reported_moment(directory, relay->directory_row, relay->directory_age_ms, asked);
    control_feed_prove(configuration, configuration_at);
    control_feed_prove(directory, directory_at);
    return MIN(configuration_at, directory_at);
}

/* What the other side knows need not be reported to it with the next heartbeat. */
static void
note_coordinator_rows(struct control *control, const struct pooler_relay *relay)
{
    row_versions_t known = control_relay_versions(control); /* less, if a row could not be read */
    control->coordinator_rows = (row_versions_t){MIN(relay->configuration_row, known.configuration),
                                                 MIN(relay->directory_row, known.directory)};
}

/* An incomplete answer means that rows are missing only if the sender knew this pooler's version:
 * if more is known here than it assumed, its next answer tells. */
static void
note_missing_of(struct feed *feed, uint64_t reported, bool incomplete)
{
    bool lacks = incomplete && feed->version <= reported;
    feed->missing = lacks || (feed->missing && feed->version < reported);
}

/* What was too large to be reported, or could not be read, is asked for at the store. */
static void
note_missing(struct control *control, const struct pooler_relay *relay)
{
    note_missing_of(&control->feeds[STORE_TABLE_CONFIGURATION], relay->configuration_row,
                    relay->configuration_incomplete);
    note_missing_of(&control->feeds[STORE_TABLE_DIRECTORY], relay->directory_row,
                    relay->directory_incomplete);
}

void
control_relayed_accept(struct control *control, const struct pooler_relay *relay, time_ns asked)
{
    control_relayed_accept_tables(control, relay, asked);
    note_coordinator_rows(control, relay);
}

void
control_relayed_accept_tables(struct control *control, const struct pooler_relay *relay,
                              time_ns asked)
{
    time_ns known_at = control_relayed_accept_proofs(control, relay, asked);
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
    /* A live pooler answers within a few milliseconds, from another zone as well; after the loss of
     * all nobody does, and each millisecond more is one without service. */
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
