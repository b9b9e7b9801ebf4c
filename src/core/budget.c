/* The state machine of one database's connection budget: which numbers to try, keep and release. */
#include "core/budget.h"

/* In each of two views an owner may be replaced by another, so this many daemons per owner may open
 * a connection at the same time. */
#define OPENERS_PER_OWNER 2

/* One part in this many of the limit is reserved for new owners that warm up. */
#define HANDOVER_PART 8

/* A number held by another daemon is tried again after this many times the wait of other
 * numbers. */
#define TAKEN_RETRY_FACTOR 4

/* A handover that is not complete after this part of handover_time, or after retry_wait if that is
 * shorter, may be waiting for another handover. Then fewer numbers of others are kept: first as
 * many as make an owner warm, and at each further interval 1/YIELD_FACTOR of that. */
#define YIELD_PART   8
#define YIELD_FACTOR 2

#define DEFAULT_RETRY_WAIT    (500 * NANOSECONDS_PER_MILLISECOND)
#define DEFAULT_HANDOVER_TIME (10 * NANOSECONDS_PER_SECOND)

#define BUDGET_SLOT_STATES (BUDGET_SLOT_CLOSING + 1)

struct budget_slot {
    enum budget_slot_state state;
    uint32_t refusal; /* value of budget.refusals at its last refusal; 0: none yet */
    time_ns retry_at; /* not tried before this time */
};

struct budget {
    struct budget_options options;
    int32_t position;
    bool handing_over; /* the former owner was alive at the last change of position */
    bool warm_reported;
    bool released_reported;
    time_ns yield_at;  /* when `keep_max` is lowered next */
    uint32_t keep_max; /* maximum number of connections kept while other daemons may wait for their
                          numbers */
    time_ns close_by;  /* end of the handover time after the last change of position */
    time_ns wakeup;
    uint32_t
        refusals; /* number of refusals so far: attempts at numbers held by another connection */
    uint32_t numbers; /* computed from the options */
    uint32_t share;
    uint32_t count[BUDGET_SLOT_STATES]; /* number of slots in each state */
    struct budget_slot slots[BUDGET_CONNECTIONS_MAX];
};

void budget_options_for(struct budget_options *options, uint32_t limit, uint32_t owners)
{
    g_assert(owners > 0);
    options->limit = MIN(limit, BUDGET_CONNECTIONS_MAX);
    options->owners = owners;
    options->opening_reserve = MIN(OPENERS_PER_OWNER * owners, options->limit / 2);
    options->handover = options->limit / HANDOVER_PART;
    options->retry_wait = DEFAULT_RETRY_WAIT;
    options->handover_time = DEFAULT_HANDOVER_TIME;
}

uint32_t budget_numbers(const struct budget_options *options)
{
    return options->limit - options->opening_reserve;
}

uint32_t budget_share(const struct budget_options *options)
{
    return (budget_numbers(options) - options->handover) / options->owners;
}

struct budget *budget_new(const struct budget_options *options)
{
    struct budget *budget = g_new0(struct budget, 1);
    budget->options = *options;
    budget->numbers = budget_numbers(options);
    budget->share = budget_share(options);
    budget->count[BUDGET_SLOT_FREE] = budget->numbers;
    budget->position = -1;
    budget->released_reported = true;
    budget->wakeup = UINT64_MAX;
    return budget;
}

void budget_free(struct budget *budget)
{
    g_free(budget);
}

static void add_action(GArray *actions, enum budget_action_kind kind, uint32_t number)
{
    struct budget_action action = {kind, number};
    g_array_append_val(actions, action);
}

static void set_state(struct budget *budget, uint32_t number, enum budget_slot_state state)
{
    budget->count[budget->slots[number].state]--;
    budget->slots[number].state = state;
    budget->count[state]++;
}

uint32_t budget_held(const struct budget *budget)
{
    return budget->count[BUDGET_SLOT_HELD];
}

uint32_t budget_counted(const struct budget *budget)
{
    return budget->numbers - budget->count[BUDGET_SLOT_FREE];
}

enum budget_slot_state budget_slot(const struct budget *budget, uint32_t number)
{
    return budget->slots[number].state;
}

bool budget_serving(const struct budget *budget)
{
    bool wanted = budget->position >= 0 || budget->handing_over;
    return wanted && budget_held(budget) > 0;
}

/* First number of this daemon's share, and the one after its last. */
static uint32_t share_start(const struct budget *budget)
{
    return (uint32_t)budget->position * budget->share;
}

static uint32_t share_end(const struct budget *budget)
{
    return share_start(budget) + budget->share;
}

static uint32_t handover_start(const struct budget *budget)
{
    return budget->numbers - budget->options.handover;
}

static bool in_share(const struct budget *budget, uint32_t number)
{
    return budget->position >= 0 && number >= share_start(budget) && number < share_end(budget);
}

static uint32_t held_in_share(const struct budget *budget)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < budget->numbers; i++) {
        count += in_share(budget, i) && budget->slots[i].state == BUDGET_SLOT_HELD;
    }
    return count;
}

/* Number of connections with which a new owner can serve. */
static uint32_t warm_count(const struct budget *budget)
{
    return MAX(1, MIN(budget->share, budget->options.handover));
}

/* The free number in a range that may be tried now and whose last refusal is the oldest, or -1. In
 * this order each of them is tried in turn, however many are held by others. */
static int32_t free_number(const struct budget *budget, uint32_t start, uint32_t end, time_ns now)
{
    int32_t best = -1;
    for (uint32_t i = start; i < end; i++) {
        const struct budget_slot *slot = &budget->slots[i];
        bool free = slot->state == BUDGET_SLOT_FREE && slot->retry_at <= now;
        if (free && (best < 0 || slot->refusal < budget->slots[best].refusal)) {
            best = (int32_t)i;
        }
    }
    return best;
}

/* The number to try next, or -1. The share comes first, except while the old owner still holds it.
 * Numbers for handover are used only until this daemon is warm. */
static int32_t next_number(const struct budget *budget, time_ns now)
{
    bool cold = budget_held(budget) < warm_count(budget);
    int32_t spare = -1;
    if (cold) {
        spare = free_number(budget, handover_start(budget), budget->numbers, now);
    }
    if (budget->handing_over && spare >= 0) {
        return spare;
    }
    int32_t own = free_number(budget, share_start(budget), share_end(budget), now);
    return own >= 0 ? own : spare;
}

/* Opens the next connection. Only one at a time: the opening reserve assumes that at most one of
 * this daemon's connections to the database has no number yet. */
static void open_next(struct budget *budget, time_ns now, GArray *actions)
{
    if (budget->position < 0 || budget->count[BUDGET_SLOT_OPENING] > 0) {
        return;
    }
    int32_t number = next_number(budget, now);
    if (number < 0) {
        return;
    }
    set_state(budget, (uint32_t)number, BUDGET_SLOT_OPENING);
    add_action(actions, BUDGET_ACTION_OPEN, (uint32_t)number);
}

static void close_slot(struct budget *budget, uint32_t number, GArray *actions)
{
    if (budget->slots[number].state != BUDGET_SLOT_HELD) {
        return;
    }
    set_state(budget, number, BUDGET_SLOT_CLOSING);
    add_action(actions, BUDGET_ACTION_CLOSE, number);
}

static void close_all(struct budget *budget, GArray *actions)
{
    for (uint32_t i = 0; i < budget->numbers; i++) {
        close_slot(budget, i, actions);
    }
}

static bool in_handover(const struct budget *budget, uint32_t number)
{
    return number >= handover_start(budget);
}

/* Counts connections held on numbers of other owners' shares. */
static uint32_t held_of_others(const struct budget *budget)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < handover_start(budget); i++) {
        count += !in_share(budget, i) && budget->slots[i].state == BUDGET_SLOT_HELD;
    }
    return count;
}

/* Closes connections on numbers of other owners' shares until at most `keep` are held. Without a
 * position all shares are other owners'. */
static void limit_others_numbers(struct budget *budget, uint32_t keep, GArray *actions)
{
    uint32_t held = held_of_others(budget);
    for (uint32_t i = 0; i < handover_start(budget) && held > keep; i++) {
        if (!in_share(budget, i) && budget->slots[i].state == BUDGET_SLOT_HELD) {
            close_slot(budget, i, actions);
            held--;
        }
    }
}

static void limit_handover_numbers(struct budget *budget, uint32_t keep, GArray *actions)
{
    uint32_t held = budget_held(budget) - held_of_others(budget);
    for (uint32_t i = handover_start(budget); i < budget->numbers && held > keep; i++) {
        if (budget->slots[i].state == BUDGET_SLOT_HELD) {
            close_slot(budget, i, actions);
            held--;
        }
    }
}

/* After a change of position, releases the numbers of other owners' shares: all of them once this
 * daemon is warm without them or the handover time ends. Before that, fewer and fewer are kept,
 * since two owners may each wait for the other's numbers. */
static void close_others_numbers(struct budget *budget, time_ns now, GArray *actions)
{
    uint32_t own = budget_held(budget) - held_of_others(budget);
    if (own >= warm_count(budget) || now >= budget->close_by) {
        limit_others_numbers(budget, 0, actions);
    } else {
        limit_others_numbers(budget, budget->keep_max - MIN(own, budget->keep_max), actions);
    }
}

static void close_handover_numbers(struct budget *budget, GArray *actions)
{
    for (uint32_t i = handover_start(budget); i < budget->numbers; i++) {
        close_slot(budget, i, actions);
    }
}

/* A daemon that serves without a position releases what the new owners wait for: the numbers for
 * handover if it holds any others, and an increasing part of the others. New owners that compete
 * for the numbers for handover then become warm through the numbers of their shares. */
static void yield_to_owners(struct budget *budget, GArray *actions)
{
    if (held_of_others(budget) > 0) {
        close_handover_numbers(budget, actions);
    }
    limit_others_numbers(budget, budget->keep_max, actions);
    limit_handover_numbers(budget, budget->keep_max, actions);
}

/* Without a position: serves until the new owner is warm or the handover time ends, then closes. */
static void advance_without_position(struct budget *budget, time_ns now, GArray *actions)
{
    if (!budget->handing_over || now >= budget->close_by) {
        budget->handing_over = false;
        close_all(budget, actions);
    }
    yield_to_owners(budget, actions);
    if (budget_counted(budget) == 0 && !budget->released_reported) {
        budget->released_reported = true;
        add_action(actions, BUDGET_ACTION_RELEASED, 0);
    }
}

/* Delays the next attempt at the numbers of a range: each attempt opens a connection at the
 * database, and where one number is held by another daemon, most of the range is. */
static void delay_numbers(struct budget *budget, uint32_t start, uint32_t end, time_ns now)
{
    time_ns retry_at = now + budget->options.retry_wait;
    for (uint32_t i = start; i < end; i++) {
        budget->slots[i].retry_at = MAX(budget->slots[i].retry_at, retry_at);
    }
}

/* Reports that this daemon can serve. A former owner that is still there needs some time to release
 * its numbers, so those of the share are not tried at once. */
static void report_warm(struct budget *budget, time_ns now, GArray *actions)
{
    budget->warm_reported = true;
    add_action(actions, BUDGET_ACTION_WARM, 0);
    if (budget->handing_over) {
        delay_numbers(budget, share_start(budget), share_end(budget), now);
    }
}

static void advance_with_position(struct budget *budget, time_ns now, GArray *actions)
{
    if (!budget->warm_reported && budget_held(budget) >= warm_count(budget)) {
        report_warm(budget, now, actions);
    }
    close_others_numbers(budget, now, actions);
    if (held_in_share(budget) >= warm_count(budget)) {
        close_handover_numbers(budget, actions);
    }
    open_next(budget, now, actions);
}

/* When the next action without an event is due. */
static time_ns compute_wakeup(const struct budget *budget)
{
    if (budget->position < 0) {
        bool waiting = budget->handing_over && budget_counted(budget) > 0;
        return waiting ? MIN(budget->yield_at, budget->close_by) : UINT64_MAX;
    }
    bool holds_others = held_of_others(budget) > 0;
    time_ns wakeup = holds_others ? MIN(budget->yield_at, budget->close_by) : UINT64_MAX;
    if (budget->count[BUDGET_SLOT_OPENING] > 0) {
        return wakeup;
    }
    for (uint32_t i = share_start(budget); i < share_end(budget); i++) {
        if (budget->slots[i].state == BUDGET_SLOT_FREE) {
            wakeup = MIN(wakeup, budget->slots[i].retry_at);
        }
    }
    return wakeup;
}

static time_ns yield_wait(const struct budget_options *options)
{
    return MIN(options->retry_wait, options->handover_time / YIELD_PART);
}

/* Lowers keep_max over time: first to the number that makes an owner warm, at last to one
 * connection. */
static void lower_keep_max(struct budget *budget, time_ns now)
{
    if (now < budget->yield_at) {
        return;
    }
    bool first = budget->keep_max > warm_count(budget);
    budget->keep_max = first ? warm_count(budget) : MAX(1, budget->keep_max / YIELD_FACTOR);
    budget->yield_at = budget->keep_max > 1 ? now + yield_wait(&budget->options) : UINT64_MAX;
}

static void advance(struct budget *budget, time_ns now, GArray *actions)
{
    lower_keep_max(budget, now);
    if (budget->position < 0) {
        advance_without_position(budget, now, actions);
    } else {
        advance_with_position(budget, now, actions);
    }
    budget->wakeup = compute_wakeup(budget);
}

/* Allows all numbers to be tried at once. */
static void clear_retry_delays(struct budget *budget)
{
    for (uint32_t i = 0; i < BUDGET_CONNECTIONS_MAX; i++) {
        budget->slots[i].retry_at = 0;
    }
}

void budget_set_position(struct budget *budget, int32_t position, bool handing_over, time_ns now,
                         GArray *actions)
{
    g_assert(position < (int32_t)budget->options.owners);
    if (position != budget->position) {
        budget->position = position;
        budget->handing_over = handing_over;
        budget->close_by = now + budget->options.handover_time;
        budget->yield_at = now + yield_wait(&budget->options);
        budget->keep_max = budget->numbers;
        budget->warm_reported = position < 0;
        budget->released_reported = position < 0 && budget_counted(budget) == 0;
        clear_retry_delays(budget);
    }
    advance(budget, now, actions);
}

void budget_peer_warm(struct budget *budget, time_ns now, GArray *actions)
{
    if (budget->position < 0) {
        budget->handing_over = false;
    }
    advance(budget, now, actions);
}

void budget_peer_released(struct budget *budget, time_ns now, GArray *actions)
{
    if (budget->position >= 0) {
        budget->handing_over = false;
    }
    clear_retry_delays(budget);
    advance(budget, now, actions);
}

void budget_opened(struct budget *budget, uint32_t number, time_ns now, GArray *actions)
{
    set_state(budget, number, BUDGET_SLOT_HELD);
    advance(budget, now, actions);
}

/* Sets a number free that may be tried again at `retry_at`. */
static void set_free(struct budget *budget, uint32_t number, time_ns retry_at)
{
    set_state(budget, number, BUDGET_SLOT_FREE);
    budget->slots[number].retry_at = retry_at;
}

void budget_number_taken(struct budget *budget, uint32_t number, time_ns now, GArray *actions)
{
    set_free(budget, number, now + TAKEN_RETRY_FACTOR * budget->options.retry_wait);
    budget->refusals++;
    budget->slots[number].refusal = budget->refusals;
    if (in_handover(budget, number)) {
        delay_numbers(budget, handover_start(budget), budget->numbers, now);
    } else if (in_share(budget, number)) {
        delay_numbers(budget, share_start(budget), share_end(budget), now);
    }
    advance(budget, now, actions);
}

void budget_failed(struct budget *budget, uint32_t number, time_ns now, GArray *actions)
{
    set_free(budget, number, now);
    delay_numbers(budget, 0, budget->numbers, now);
    advance(budget, now, actions);
}

void budget_closed(struct budget *budget, uint32_t number, time_ns now, GArray *actions)
{
    set_free(budget, number, now);
    advance(budget, now, actions);
}

void budget_tick(struct budget *budget, time_ns now, GArray *actions)
{
    advance(budget, now, actions);
}

time_ns budget_next_wakeup(const struct budget *budget)
{
    return budget->wakeup;
}

size_t budget_memory(const struct budget *budget)
{
    return sizeof(*budget);
}
