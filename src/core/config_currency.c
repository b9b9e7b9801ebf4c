/* The state machine behind config_currency.h: which configuration is the newest, where to fetch it,
 * and whether to serve. */
#include "core/config_currency.h"

/* Interval of the checks for confirmation. */
#define CHECK_INTERVAL (500 * NANOSECONDS_PER_MILLISECOND)

/* Number of members tried for one configuration before the store is queried. */
#define PEER_ATTEMPTS 3

struct currency {
    struct currency_options options;
    struct configuration_mark applied;
    struct configuration_mark newest; /* newest known, at least as new as applied */
    time_ns behind_since; /* when a version newer than applied first became known; 0: none is */
    time_ns started_at;
    time_ns confirmed_at;
    bool serving;

    bool fetching;
    bool from_store; /* the fetch in progress is from the store */
    time_ns fetch_until;
    uint32_t peer_attempts;                 /* attempts for the newest */
    uint64_t holders[CURRENCY_HOLDERS_MAX]; /* of the newest, the most recent first */
    time_ns try_store_at;

    time_ns next_head;
    time_ns next_check;
};

void currency_options_default(struct currency_options *options)
{
    *options = (struct currency_options){
        .bound = 10 * NANOSECONDS_PER_SECOND,
        .fetch_wait = 2 * NANOSECONDS_PER_SECOND,
        .holder_wait = 1 * NANOSECONDS_PER_SECOND,
        .head_interval = 2 * NANOSECONDS_PER_SECOND,
        .head_interval_unconfirmed = 1 * NANOSECONDS_PER_SECOND,
    };
}

struct currency *currency_new(const struct currency_options *options, time_ns now)
{
    struct currency *currency = g_new0(struct currency, 1);
    currency->options = *options;
    currency->started_at = now;
    currency->next_head = now;
    currency->next_check = now;
    return currency;
}

void currency_free(struct currency *currency)
{
    g_free(currency);
}

static struct currency_action *add_action(GArray *actions, enum currency_action_kind kind,
                                          struct configuration_mark mark)
{
    g_array_set_size(actions, actions->len + 1);
    struct currency_action *action =
        &g_array_index(actions, struct currency_action, actions->len - 1);
    *action = (struct currency_action){.kind = kind, .mark = mark};
    return action;
}

static bool is_behind(const struct currency *currency)
{
    return currency->newest.version > currency->applied.version;
}

/* Adds a holder as the first of the list, which contains each holder once. */
static void add_holder(struct currency *currency, uint64_t holder)
{
    uint32_t place = 0;
    while (place < CURRENCY_HOLDERS_MAX - 1 && currency->holders[place] != holder) {
        place++;
    }
    for (uint32_t i = place; i > 0; i--) {
        currency->holders[i] = currency->holders[i - 1];
    }
    currency->holders[0] = holder;
}

/* Removes and returns the most recent holder; 0 if there is none. */
static uint64_t take_holder(struct currency *currency)
{
    uint64_t holder = currency->holders[0];
    for (uint32_t i = 0; i + 1 < CURRENCY_HOLDERS_MAX; i++) {
        currency->holders[i] = currency->holders[i + 1];
    }
    currency->holders[CURRENCY_HOLDERS_MAX - 1] = 0;
    return holder;
}

static void start_fetch(struct currency *currency, uint64_t peer, time_ns now, GArray *actions)
{
    currency->fetching = true;
    currency->from_store = peer == 0;
    currency->fetch_until = now + currency->options.fetch_wait;
    enum currency_action_kind kind =
        peer == 0 ? CURRENCY_ACTION_FETCH_STORE : CURRENCY_ACTION_FETCH_PEER;
    add_action(actions, kind, currency->newest)->peer = peer;
}

/* Starts the next fetch if one is needed and has a source: holders first, then the store. */
static void fetch_next(struct currency *currency, time_ns now, GArray *actions)
{
    if (!is_behind(currency) || currency->fetching) {
        return;
    }
    if (currency->holders[0] != 0 && currency->peer_attempts < PEER_ATTEMPTS) {
        currency->peer_attempts++;
        start_fetch(currency, take_holder(currency), now, actions);
        return;
    }
    if (now >= currency->try_store_at) {
        currency->try_store_at = now + currency->options.holder_wait;
        currency->peer_attempts = 0;
        start_fetch(currency, 0, now, actions);
    }
}

void currency_announced(struct currency *currency, struct configuration_mark mark, uint64_t holder,
                        time_ns now, GArray *actions)
{
    if (mark.version > currency->newest.version) {
        currency->newest = mark;
        currency->peer_attempts = 0;
        currency->try_store_at = now + currency->options.holder_wait;
        for (uint32_t i = 0; i < CURRENCY_HOLDERS_MAX; i++) {
            currency->holders[i] = 0;
        }
    }
    if (is_behind(currency) && currency->behind_since == 0) {
        currency->behind_since = now;
    }
    if (holder != 0 && mark.version == currency->newest.version) {
        add_holder(currency, holder);
    }
    fetch_next(currency, now, actions);
}

void currency_head_read(struct currency *currency, struct configuration_mark head, time_ns now,
                        GArray *actions)
{
    currency->next_head = now + currency->options.head_interval;
    if (head.version > currency->newest.version) {
        currency_announced(currency, head, 0, now, actions);
        currency->try_store_at = now;
        fetch_next(currency, now, actions);
    }
}

void currency_head_failed(struct currency *currency, time_ns now)
{
    currency->next_head = now + currency->options.head_interval;
}

/* Puts a configuration in force unless an equal or newer one is in force or a newer one is
 * known. */
static void apply(struct currency *currency, struct configuration_mark mark, time_ns now,
                  GArray *actions)
{
    bool older =
        mark.version <= currency->applied.version || mark.version < currency->newest.version;
    if (older && !currency->options.apply_older) {
        return;
    }
    currency->applied = mark;
    if (mark.version > currency->newest.version) {
        currency->newest = mark;
    }
    currency->behind_since = is_behind(currency) ? now : 0;
    add_action(actions, CURRENCY_ACTION_APPLY, mark);
}

void currency_fetched(struct currency *currency, struct configuration_mark mark, time_ns now,
                      GArray *actions)
{
    currency->fetching = false;
    apply(currency, mark, now, actions);
    fetch_next(currency, now, actions);
}

void currency_fetch_failed(struct currency *currency, time_ns now, GArray *actions)
{
    currency->fetching = false;
    fetch_next(currency, now, actions);
}

/* Updates the time up to which the configuration in force is confirmed. A confirmation counts only
 * while no newer version is known, since only then does it concern the configuration in force.
 * Confirmations from before this daemon's start, by others, do not count. */
static void apply_evidence(struct currency *currency, const struct currency_evidence *evidence)
{
    if (is_behind(currency)) {
        return;
    }
    time_ns confirmed_at = evidence->store_confirmed_at;
    if (evidence->synced) {
        confirmed_at = MAX(confirmed_at, evidence->peers_confirmed_at);
    }
    if (confirmed_at > currency->started_at) {
        currency->confirmed_at = MAX(currency->confirmed_at, confirmed_at);
    }
}

static bool may_serve(const struct currency *currency, time_ns now)
{
    if (currency->applied.version == 0) {
        return false;
    }
    if (currency->options.ignore_bound) {
        return true;
    }
    if (currency->confirmed_at == 0) {
        return false;
    }
    time_ns since = currency->confirmed_at;
    if (currency->behind_since != 0) {
        since = MIN(since, currency->behind_since);
    }
    return now <= since + currency->options.bound;
}

static void set_serving(struct currency *currency, bool serving, GArray *actions)
{
    if (serving == currency->serving) {
        return;
    }
    currency->serving = serving;
    add_action(actions, serving ? CURRENCY_ACTION_SERVE : CURRENCY_ACTION_STOP, currency->applied);
}

/* True if this daemon should read the store's head itself: for its zone, or because it has no other
 * recent confirmation. */
static bool should_read_head(const struct currency *currency,
                             const struct currency_evidence *evidence, time_ns now)
{
    if (now < currency->next_head) {
        return false;
    }
    bool unconfirmed =
        currency->confirmed_at == 0 || now > currency->confirmed_at + currency->options.bound / 2;
    return evidence->queries_store || unconfirmed;
}

void currency_tick(struct currency *currency, const struct currency_evidence *evidence, time_ns now,
                   GArray *actions)
{
    currency->next_check = now + CHECK_INTERVAL;
    if (currency->fetching && now >= currency->fetch_until) {
        currency->fetching = false;
    }
    apply_evidence(currency, evidence);
    fetch_next(currency, now, actions);
    if (should_read_head(currency, evidence, now)) {
        currency->next_head = now + currency->options.head_interval_unconfirmed;
        add_action(actions, CURRENCY_ACTION_READ_HEAD, currency->newest);
    }
    set_serving(currency, may_serve(currency, now), actions);
}

time_ns currency_next_wakeup(const struct currency *currency)
{
    return currency->next_check;
}

struct configuration_mark currency_applied(const struct currency *currency)
{
    return currency->applied;
}

struct configuration_mark currency_newest(const struct currency *currency)
{
    return currency->newest;
}

bool currency_serving(const struct currency *currency)
{
    return currency->serving;
}

time_ns currency_confirmed_at(const struct currency *currency)
{
    return currency->confirmed_at;
}

size_t currency_memory(const struct currency *currency)
{
    return sizeof(*currency);
}
