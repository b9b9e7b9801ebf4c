/* Follows the store's tables: the operators' configuration by a watch that waits in the store for
 * the next change, the databases' directory by polling for changes. */
#define G_LOG_DOMAIN "store"
#include "pooler/control/control_internal.h"

#include <inttypes.h>

/* How long a watch for a new configuration waits in the store. */
#define CONFIGURATION_WAIT_MS 1000

/* Interval of polls of the directory. Changes of the primary come from the coordinator, and a
 * draining database may take work for seconds, so this need not be short. */
#define DIRECTORY_POLL_NS (900 * MS)

/* A directory that was proven to be the newest within this time is current. */
#define CURRENT_NS (2000 * MS)

/* Share of the store's read calls that all poolers without relayed state may use together, at two
 * tables each. With the 16,000 calls a second of a fleet of 300, each pooler polls each table once
 * in 2 s. Half of the share would exceed the bound below; twice the share would cost twice the
 * calls for changes that arrive 1 s sooner. */
#define DIRECT_POLL_SHARE  0.01
#define DIRECT_POLL_TABLES 2

/* Each of them polls at least at this part of the time within which a change must be in force:
 * three fifths of it may have passed under relayed state, and a tenth is left for the call. */
#define DIRECT_POLL_BOUND_PART 0.3

/* A pooler whose table was last proven current this long ago may have missed several changes. If a
 * row has at least LARGE_ROW bytes, it lists the table, rather than read several versions of the
 * row. */
#define BEHIND_NS (2000 * MS)
#define LARGE_ROW ((gsize)32 * 1024)

/* Interval of polls of a standby follower. Less than the time after which it is replaced
 * (FOLLOWER_FAILING_MS), with the second that a call may take. */
#define STANDBY_POLL_NS (1500 * MS)

#define RETRY_MIN_NS (150 * MS)
#define RETRY_MAX_NS (1200 * MS)

void
control_feed_prove(struct feed *feed, time_ns moment)
{
    struct control *control = feed->control;
    feed->as_of = MAX(feed->as_of, moment);
    bool read = control->configuration != NULL && !control->configuration_unread;
    bool proves = read && control_era_proves(control, moment);
    if (feed->table == STORE_TABLE_CONFIGURATION && proves) {
        control->proven_at = MAX(control->proven_at, moment);
    }
}

/* Poll interval of a table at which all poolers together would keep to their share of the store's
 * calls, if none of them had relayed state. */
static time_ns
shared_poll_interval(const struct control *control)
{
    double calls_per_s = control->settings->store.reads_per_s * DIRECT_POLL_SHARE;
    double every_s = control_fleet_size(control) * DIRECT_POLL_TABLES / calls_per_s;
    return (time_ns)(every_s * (double)NANOSECONDS_PER_SECOND);
}

/* The same, bounded by the time within which a change must be in force. */
static time_ns
direct_poll_interval(const struct control *control)
{
    double bound = (double)(control->settings->store.apply_ms * MS);
    return MIN(shared_poll_interval(control), (time_ns)(bound * DIRECT_POLL_BOUND_PART));
}

/* True if this pooler has to limit its calls to that share. With few poolers there is no need to.
 */
static bool
must_limit_polling(const struct control *control)
{
    return !control->lease.held && !control->follows_store &&
           shared_poll_interval(control) > DIRECTORY_POLL_NS;
}

/* True of a follower that has recent relayed state from the coordinator. It polls at a longer
 * interval, just often enough to show that it reaches the store, and as often as the coordinator
 * once the relayed state is no longer recent. */
static bool
is_standby(const struct control *control, time_ns now)
{
    return control->follows_store && control_relayed_is_recent(control, now);
}

void
control_feed_answered(struct feed *feed, time_ns now)
{
    if (feed->failures > 0) {
        g_message("The store answers again for table %d after %u failed calls.", (int)feed->table,
                  feed->failures);
    }
    feed->failures = 0;
    feed->missing = false; /* else the table would be listed again until the next message */
    feed->last_answer_at = now;
    feed->next_at = feed->table == STORE_TABLE_DIRECTORY ? now + DIRECTORY_POLL_NS : now;
    feed->standby_until = 0;
    if (must_limit_polling(feed->control)) {
        feed->next_at = now + direct_poll_interval(feed->control);
    } else if (is_standby(feed->control, now)) {
        feed->standby_until = now + STANDBY_POLL_NS;
    }
}

/* Exponential backoff; the second half of the delay is random. */
static time_ns
retry_delay(uint32_t attempts)
{
    time_ns wait = MIN(RETRY_MIN_NS << MIN(attempts, 4), RETRY_MAX_NS);
    return wait / 2 + (time_ns)g_random_int_range(0, (gint32)(wait / 2000)) * 1000;
}

static void
note_failure(struct feed *feed, enum store_outcome outcome, time_ns now)
{
    if (feed->failures == 0) {
        g_message("A call at the store for table %d failed: %s.", (int)feed->table,
                  store_outcome_name(outcome));
    }
    feed->next_at = now + retry_delay(feed->failures);
    feed->failures++;
}

/* The store has no history since the known version: the next call lists the table. It is made at
 * once, but with backoff if the last listing did not help. The known version stays: when it was
 * reset, other poolers could not send the changes after it, and the pooler received no rows for as
 * long as its connection lasted. */
static void
note_history_gone(struct feed *feed, time_ns now)
{
    if (!control_era_is_over(feed->control, feed->version)) {
        g_message(
            "The store has no history since the known version of table %d; listing the table.",
            (int)feed->table);
    }
    feed->history_gone = true;
    feed->next_at = feed->history_failures == 0 ? now : now + retry_delay(feed->history_failures);
    feed->history_failures++;
}

/* Ends the call in progress. An answer from before a restore of the store that this pooler knows of
 * counts as none.
 * @return the outcome of the call. */
static enum store_outcome
end_call(struct feed *feed, const struct store_answer *answer)
{
    struct control *control = feed->control;
    feed->calling = false;
    control_era_note(control, answer->era, 0);
    control_counts_answer(&control->counts, feed->table, feed->reason, answer->bytes);
    return answer->era < control->store_era ? STORE_UNKNOWN : answer->outcome;
}

static void
on_listing(void *user, const struct store_answer *answer)
{
    struct feed *feed = user;
    time_ns now = backend_now();
    enum store_outcome outcome = end_call(feed, answer);
    if (outcome != STORE_DONE) {
        note_failure(feed, outcome, now);
        return;
    }
    control_rows_take(feed, answer);
    control_rows_drop_missing(feed, answer);
    feed->version = MAX(feed->version, answer->version);
    feed->history_gone = false;
    if (feed->call_sent >= feed->list_at) {
        feed->list_at = 0;
    }
    control_feed_answered(feed, now);
    control_feed_prove(feed, feed->call_sent); /* as of its first page */
    control_wake_soon(feed->control);
}

/* A watch waits in the store, so its answer is as of the store's clock reading in it. */
static void
note_proof(struct feed *feed, const struct store_answer *answer, time_ns now)
{
    store_clock_t *clock = &feed->control->store_clock;
    store_clock_note(clock, feed->call_sent, now, answer->clock_ms);
    control_feed_prove(feed, store_clock_moment(clock, feed->call_sent, now, answer->clock_ms));
}

static void
on_changes(void *user, const struct store_answer *answer)
{
    struct feed *feed = user;
    time_ns now = backend_now();
    enum store_outcome outcome = end_call(feed, answer);
    if (outcome == STORE_HISTORY_GONE) {
        note_history_gone(feed, now);
    } else if (outcome != STORE_DONE) {
        note_failure(feed, outcome, now);
        return;
    } else {
        control_rows_take(feed, answer);
        feed->version = MAX(feed->version, answer->version);
        feed->history_failures = 0;
        control_feed_answered(feed, now);
        note_proof(feed, answer, now);
    }
    control_wake_soon(feed->control);
}

/* Changes are sent one by one, each with its complete row. If several may have been missed and a
 * row is large, a listing of the table is smaller: a pooler that was behind by four configurations
 * of 200 KB read them all over a link of 2 Mbit/s. */
bool
control_feed_needs_listing(const struct feed *feed, time_ns now)
{
    if (feed->list_at != 0 && now >= feed->list_at) {
        return true;
    }
    time_ns interval = must_limit_polling(feed->control) ? direct_poll_interval(feed->control) : 0;
    bool behind = feed->missing || now > feed->as_of + interval + BEHIND_NS;
    return feed->table == STORE_TABLE_CONFIGURATION && behind && feed->largest >= LARGE_ROW;
}

static call_reason_t
reason_of(const struct feed *feed)
{
    const struct control *control = feed->control;
    if (control->lease.held) {
        return CALL_COORDINATOR;
    }
    if (control->follows_store) {
        return CALL_FOLLOWER;
    }
    if (feed->version == 0) {
        return CALL_START;
    }
    if (feed->history_gone) {
        return CALL_HISTORY_GONE;
    }
    return feed->missing ? CALL_MISSING : CALL_NOT_RELAYED;
}

static void
call(struct feed *feed)
{
    struct control *control = feed->control;
    feed->calling = true;
    feed->call_sent = backend_now();
    feed->reason = reason_of(feed);
    control_counts_call(&control->counts, feed->table, feed->reason);
    bool unknown = feed->version == 0 || control_era_is_over(control, feed->version);
    if (unknown || feed->history_gone || control_feed_needs_listing(feed, backend_now())) {
        store_read(control->store, feed->table, on_listing, feed);
        return;
    }
    bool waits = feed->table == STORE_TABLE_CONFIGURATION && !must_limit_polling(control);
    uint32_t wait_ms = waits ? CONFIGURATION_WAIT_MS : 0;
    store_watch(control->store, feed->table, feed->version, wait_ms, on_changes, feed);
}

/* Databases renew their records at each heartbeat. A store that was down may have dropped records,
 * so after a start the directory counts as complete only some heartbeats after the store answers.
 */
static void
settle_directory(struct control *control, time_ns now)
{
    const struct feed *feed = &control->feeds[STORE_TABLE_DIRECTORY];
    bool followed = feed->as_of != 0 && now < feed->as_of + CURRENT_NS &&
                    !control_era_is_over(control, feed->version);
    time_ns wait = control->settings->store.heartbeat_ms * MS * DIRECTORY_SETTLED_HEARTBEATS;
    if (control->directory_settled) {
        return;
    }
    if (!followed) {
        control->directory_known_since = 0;
    } else if (control->directory_known_since == 0) {
        control->directory_known_since = now;
    } else if (now > control->directory_known_since + wait) {
        control->directory_settled = true;
        g_message("The directory is complete: %u databases.",
                  g_hash_table_size(control->directory.entries));
    }
}

/* Logs whether relayed state or own reads are used from now on, and what is known at this time. */
static void
log_relayed(const struct control *control, bool relayed, time_ns now)
{
    const struct feed *feed = &control->feeds[STORE_TABLE_CONFIGURATION];
    uint64_t version = control->configuration == NULL ? 0 : control->configuration->version;
    g_autofree char *configuration = g_strdup_printf("%" PRIu64, version);
    g_autofree char *known_to = g_strdup_printf("%" PRIu64, feed->version);
    g_autofree char *age = g_strdup_printf("%" PRIu32, proof_age_ms(feed->as_of, now));
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_CONFIGURATION", configuration,
                     "SW_KNOWN_TO", known_to, "SW_AGE_MS", age, "SW_TELLER",
                     control->coordinator_address == NULL ? "" : control->coordinator_address,
                     "MESSAGE", "%s; configuration %s, proven current %s ms ago.",
                     relayed ? "Using rows relayed by other poolers" : "Reading the store directly",
                     configuration, age);
}

/* When relayed state expires, this pooler reads the store itself. Hundreds of others may do so at
 * the same time, so the first call is delayed by a random time. */
static void
note_relayed(struct control *control, time_ns now)
{
    bool relayed = control_relayed_is_valid(control, now);
    bool lost = control->relayed && must_limit_polling(control);
    if (relayed != control->relayed && control->feeds[STORE_TABLE_CONFIGURATION].version != 0) {
        log_relayed(control, relayed, now);
    }
    control->relayed = relayed;
    if (relayed || !lost) {
        return;
    }
    gint32 spread = (gint32)(direct_poll_interval(control) / MS);
    for (int table = 0; table < STORE_TABLE_CONTROL; table++) {
        struct feed *feed = &control->feeds[table];
        if (feed->version !=
            0) { /* otherwise it has just started and can't serve without the table */
            feed->next_at = now + (time_ns)g_random_int_range(0, spread) * MS;
        }
    }
}

void
control_feed_read_soon(struct feed *feed, time_ns now)
{
    if (feed->failures == 0) {
        feed->next_at = MIN(feed->next_at, now);
        control_wake_soon(feed->control);
    }
}

/* Heartbeats after which a database whose row is deleted is dropped. */
#define FORGET_HEARTBEATS 16

time_ns
control_directory_forget_age(const struct control *control)
{
    return control->settings->store.heartbeat_ms * MS * FORGET_HEARTBEATS;
}

void
control_feeds_tick(struct control *control, time_ns now)
{
    time_ns heartbeat = control->settings->store.heartbeat_ms * MS;
    settle_directory(control, now);
    note_relayed(control, now);
    for (int table = 0; table < STORE_TABLE_CONTROL; table++) {
        struct feed *feed = &control->feeds[table];
        bool needed = control_relayed_needs_store(control, feed->table, now);
        bool deferred = now < feed->standby_until && is_standby(control, now);
        if (needed && !deferred && !feed->calling && now >= feed->next_at) {
            call(feed);
        }
    }
    directory_note_departed(&control->directory, control->feeds[STORE_TABLE_DIRECTORY].as_of,
                            heartbeat);
    if (directory_forget(&control->directory, now, control_directory_forget_age(control))) {
        control->view_dirty = true;
    }
}
