/* Loans of slots between owners; see the header. */
#include "core/slot_share.h"

#include <string.h>

/* A borrower may use a loan for so long after it sent the ask that was granted last. */
#define LEASE_TIME (1 * NANOSECONDS_PER_SECOND)

/* The lender counts a loan for so much longer: statements that were begun under it end. */
#define LEASE_MARGIN (500 * NANOSECONDS_PER_MILLISECOND)

/* Asks, and grants that nobody asked for, to one owner are at least so far apart; with many
 * databases so much for each. */
#define MESSAGE_GAP  (50 * NANOSECONDS_PER_MILLISECOND)
#define DATABASE_GAP (16 * NANOSECONDS_PER_MILLISECOND)

/* An ask is repeated after so many gaps, which renews the loan: at the latest when half of it is
 * over. */
#define ASK_GAPS         5
#define ASK_INTERVAL_MAX (LEASE_TIME / 2)

/* What was needed within the last one to two of these counts as needed. */
#define DEMAND_SPAN (20 * NANOSECONDS_PER_MILLISECOND)

void slot_share_init(struct slot_share *share, uint32_t slots, uint64_t incarnation)
{
    memset(share, 0, sizeof(*share));
    share->incarnation = incarnation;
    share->slots = slots;
    slot_share_set_database_count(share, 1);
}

void slot_share_set_database_count(struct slot_share *share, uint32_t databases)
{
    share->gap = MAX(MESSAGE_GAP, databases * DATABASE_GAP);
    share->ask_interval = MIN(ASK_GAPS * share->gap, ASK_INTERVAL_MAX);
}

static struct slot_share_peer *find_peer(struct slot_share *share, uint64_t id)
{
    for (uint32_t i = 0; i < share->peer_count; i++) {
        if (share->peers[i].id == id) {
            return &share->peers[i];
        }
    }
    return NULL;
}

/* Home slots that may be used now: a larger part only once the others know that theirs is smaller,
 * a lost one until its next owner begins to use it in full. */
static uint32_t usable_home(const struct slot_share *share, time_ns now)
{
    if (!share->placed) {
        return now < share->home_until ? share->home : 0;
    }
    return now >= share->home_from ? share->home : MIN(share->home, share->home_before);
}

static uint32_t borrowed_now(const struct slot_share_peer *peer, time_ns now)
{
    return peer->present && now < peer->borrowed_until ? peer->borrowed : 0;
}

static uint32_t lent_now(const struct slot_share_peer *peer, time_ns now)
{
    return now < peer->lent_until ? peer->lent : 0;
}

static uint32_t borrowed_in_all(const struct slot_share *share, time_ns now)
{
    uint32_t slots = 0;
    for (uint32_t i = 0; i < share->peer_count; i++) {
        slots += borrowed_now(&share->peers[i], now);
    }
    return slots;
}

static uint32_t lent_in_all(const struct slot_share *share, time_ns now)
{
    uint32_t slots = 0;
    for (uint32_t i = 0; i < share->peer_count; i++) {
        slots += lent_now(&share->peers[i], now);
    }
    return slots;
}

static uint32_t subtract(uint32_t from, uint32_t slots)
{
    return from > slots ? from - slots : 0;
}

uint32_t slot_share_limit(const struct slot_share *share, time_ns now)
{
    uint32_t own = subtract(usable_home(share, now), lent_in_all(share, now));
    if (share->placed) {
        return own + borrowed_in_all(share, now);
    }
    /* Who has lost its place ends what it has, at last one at a time. */
    return MAX(own, 1);
}

/* Removes the peers that own the group no more and have nothing lent any more. */
static void forget_past_peers(struct slot_share *share, time_ns now)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < share->peer_count; i++) {
        const struct slot_share_peer *peer = &share->peers[i];
        if (peer->present || lent_now(peer, now) > 0) {
            share->peers[kept++] = *peer;
        }
    }
    share->peer_count = kept;
}

static void add_owner(struct slot_share *share, uint64_t id)
{
    struct slot_share_peer *peer = find_peer(share, id);
    if (peer == NULL && share->peer_count < SLOT_SHARE_PEERS_MAX) {
        peer = &share->peers[share->peer_count++];
        memset(peer, 0, sizeof(*peer));
        peer->id = id;
    }
    if (peer != NULL) {
        peer->present = true;
    }
}

static uint32_t home_of(uint32_t slots, uint32_t count, uint32_t place, uint32_t turn)
{
    bool has_more = (place + turn) % count < slots % count;
    return slots / count + (has_more ? 1 : 0);
}

static void lose_place(struct slot_share *share, uint32_t before, time_ns now)
{
    if (share->placed) {
        share->home = before;
        share->home_until = now + LEASE_TIME;
    }
    share->placed = false;
}

static void take_place(struct slot_share *share, uint32_t home, uint32_t before, time_ns now)
{
    bool grows = home > before && (!share->placed || home > share->home);
    if (share->peer_count == 0) {
        /* Nobody else has any. */
        share->home_from = now;
    } else if (grows) {
        /* One slot at once, that nothing stands still meanwhile. */
        share->home_before = MAX(before, 1);
        share->home_from = now + LEASE_TIME + LEASE_MARGIN;
    }
    share->home = home;
    share->placed = true;
}

void slot_share_set_place(struct slot_share *share, const uint64_t *owners, uint32_t count,
                          int32_t place, uint32_t turn, time_ns now)
{
    uint32_t before = usable_home(share, now);
    for (uint32_t i = 0; i < share->peer_count; i++) {
        share->peers[i].present = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        if ((int32_t)i != place) {
            add_owner(share, owners[i]);
        }
    }
    forget_past_peers(share, now);
    if (place < 0 || count == 0) {
        lose_place(share, before, now);
    } else {
        take_place(share, home_of(share->slots, count, (uint32_t)place, turn), before, now);
    }
}

static void note_demand(struct slot_share *share, const struct slot_share_load *load, time_ns now)
{
    if (now >= share->demand_since + DEMAND_SPAN) {
        bool recent = now < share->demand_since + 2 * DEMAND_SPAN;
        share->demand_before = recent ? share->demand : 0;
        share->demand = 0;
        share->demand_since = now;
    }
    share->demand = MAX(share->demand, MAX(load->demand, load->in_flight));
}

static uint32_t recent_demand(const struct slot_share *share)
{
    return MAX(share->demand, share->demand_before);
}

/* Counts how many statements may still hold slots of a loan that has become smaller. */
static void settle_borrowed(struct slot_share *share, const struct slot_share_load *load,
                            time_ns now)
{
    uint32_t excess = subtract(load->in_flight, slot_share_limit(share, now));
    for (uint32_t i = 0; i < share->peer_count; i++) {
        struct slot_share_peer *peer = &share->peers[i];
        uint32_t borrowed = borrowed_now(peer, now);
        peer->borrowed_in_use = MAX(MIN(peer->borrowed_in_use, borrowed + excess), borrowed);
    }
}

static void add_action(GArray *actions, const struct slot_share *share,
                       const struct slot_share_peer *peer, const struct slot_share_message *message)
{
    struct slot_share_action action = {.to = peer->id, .message = *message};
    action.message.incarnation = share->incarnation;
    action.message.to_incarnation = peer->incarnation;
    g_array_append_val(actions, action);
}

static time_ns *asked_at(struct slot_share_peer *peer, uint64_t number)
{
    return &peer->asked_at[number % SLOT_SHARE_REMEMBERED];
}

static void send_ask(const struct slot_share *share, struct slot_share_peer *peer, uint32_t wanted,
                     time_ns now, GArray *actions)
{
    peer->ask_number++;
    *asked_at(peer, peer->ask_number) = now;
    peer->told_wanted = wanted;
    peer->told_in_use = peer->borrowed_in_use;
    struct slot_share_message message = {
        .asks = true,
        .number = peer->ask_number,
        .answers = peer->grant_taken,
        .slots = wanted,
        .in_use = peer->borrowed_in_use,
    };
    add_action(actions, share, peer, &message);
}

static bool ask_is_due(const struct slot_share *share, struct slot_share_peer *peer,
                       uint32_t wanted, time_ns now)
{
    time_ns last = *asked_at(peer, peer->ask_number);
    bool concerned =
        wanted > 0 || peer->told_wanted > 0 || peer->borrowed_in_use > 0 || peer->told_in_use > 0;
    if (!concerned || now < last + share->gap) {
        return false;
    }
    bool needs_more = wanted > peer->told_wanted;
    bool gives_back = peer->borrowed_in_use < peer->told_in_use;
    return needs_more || gives_back || now >= last + share->ask_interval;
}

/* Keeps as many of the loans as are needed, and asks each owner for what is missing. */
static void borrow(struct slot_share *share, time_ns now, GArray *actions)
{
    uint32_t own = subtract(usable_home(share, now), lent_in_all(share, now));
    uint32_t missing = subtract(MIN(recent_demand(share), share->slots), own);
    uint32_t wanted[SLOT_SHARE_PEERS_MAX] = {0};
    for (uint32_t i = 0; i < share->peer_count; i++) {
        wanted[i] = MIN(borrowed_now(&share->peers[i], now), missing);
        missing -= wanted[i];
    }
    for (uint32_t i = 0; i < share->peer_count; i++) {
        struct slot_share_peer *peer = &share->peers[i];
        if (!peer->present || !share->placed) {
            continue;
        }
        peer->borrowed = MIN(peer->borrowed, wanted[i]);
        if (ask_is_due(share, peer, wanted[i] + missing, now)) {
            send_ask(share, peer, wanted[i] + missing, now, actions);
        }
    }
}

/* Slots that an owner wants to borrow here, as far as it is known. */
static uint32_t wanted_now(const struct slot_share_peer *peer, time_ns now)
{
    bool recent = peer->ask_taken > 0 && now < peer->ask_taken_at + LEASE_TIME;
    return peer->present && recent ? peer->wanted : 0;
}

/* What a borrower should have: its fair part of what is not needed here, and more if the others
 * want less. */
static uint32_t fair_loan(const struct slot_share *share, const struct slot_share_peer *peer,
                          time_ns now)
{
    uint32_t spare = subtract(usable_home(share, now), recent_demand(share));
    uint32_t wanted_by_others = 0;
    uint32_t borrowers = 1;
    for (uint32_t i = 0; i < share->peer_count; i++) {
        const struct slot_share_peer *other = &share->peers[i];
        uint32_t wanted = other != peer ? wanted_now(other, now) : 0;
        wanted_by_others += wanted;
        borrowers += wanted > 0 ? 1 : 0;
    }
    uint32_t part = MAX((spare + borrowers - 1) / borrowers, subtract(spare, wanted_by_others));
    return MIN(wanted_now(peer, now), part);
}

/* The loan that may be granted now: more only from slots that are free. */
static uint32_t possible_loan(const struct slot_share *share, const struct slot_share_peer *peer,
                              const struct slot_share_load *load, time_ns now)
{
    uint32_t loan = fair_loan(share, peer, now);
    uint32_t lent = lent_now(peer, now);
    uint32_t running = subtract(load->in_flight, borrowed_in_all(share, now));
    uint32_t taken = running + lent_in_all(share, now);
    uint32_t free_slots = subtract(usable_home(share, now), taken);
    return MIN(loan, lent + free_slots);
}

static uint32_t last_granted(const struct slot_share_peer *peer)
{
    return peer->granted[peer->grant_number % SLOT_SHARE_REMEMBERED];
}

/* The borrower, when it sent this ask, held so many, and may have taken any later grant since. */
static uint32_t may_hold(const struct slot_share_peer *peer, const struct slot_share_message *ask)
{
    uint32_t slots = ask->in_use;
    for (uint64_t number = ask->answers + 1; number <= peer->grant_number; number++) {
        slots = MAX(slots, peer->granted[number % SLOT_SHARE_REMEMBERED]);
    }
    return slots;
}

static void send_grant(const struct slot_share *share, struct slot_share_peer *peer, uint32_t loan,
                       time_ns now, GArray *actions)
{
    peer->grant_number++;
    peer->granted_at = now;
    peer->granted[peer->grant_number % SLOT_SHARE_REMEMBERED] = loan;
    peer->lent = MAX(lent_now(peer, now), loan);
    peer->lent_until = peer->ask_taken_at + LEASE_TIME + LEASE_MARGIN;
    struct slot_share_message message = {
        .number = peer->grant_number,
        .answers = peer->ask_taken,
        .slots = loan,
    };
    add_action(actions, share, peer, &message);
}

/* Calls back what is needed here, and lends what has become free. */
static void lend(struct slot_share *share, const struct slot_share_load *load, time_ns now,
                 GArray *actions)
{
    for (uint32_t i = 0; i < share->peer_count; i++) {
        struct slot_share_peer *peer = &share->peers[i];
        bool known = peer->present && peer->ask_taken > 0 && now < peer->ask_taken_at + LEASE_TIME;
        if (!known || now < peer->granted_at + share->gap) {
            continue;
        }
        uint32_t loan = possible_loan(share, peer, load, now);
        if (loan != last_granted(peer)) {
            send_grant(share, peer, loan, now, actions);
        }
    }
}

static void take_ask(struct slot_share *share, struct slot_share_peer *peer,
                     const struct slot_share_message *ask, const struct slot_share_load *load,
                     time_ns now, GArray *actions)
{
    if (ask->number <= peer->ask_taken) {
        return;
    }
    peer->ask_taken = ask->number;
    peer->ask_taken_at = now;
    peer->wanted = ask->slots;
    bool remembered = ask->to_incarnation == share->incarnation &&
                      ask->answers + SLOT_SHARE_REMEMBERED > peer->grant_number;
    if (remembered) {
        peer->lent = MIN(lent_now(peer, now), may_hold(peer, ask));
    }
    send_grant(share, peer, possible_loan(share, peer, load, now), now, actions);
}

static void take_grant(struct slot_share_peer *peer, const struct slot_share_message *grant,
                       time_ns now)
{
    bool known = grant->answers + SLOT_SHARE_REMEMBERED > peer->ask_number &&
                 grant->answers <= peer->ask_number;
    if (grant->number <= peer->grant_taken || !known) {
        return;
    }
    peer->grant_taken = grant->number;
    peer->borrowed = grant->slots;
    peer->borrowed_in_use = MAX(peer->borrowed_in_use, grant->slots);
    /* The lender counts these from its grant on: when they are given back, it has to be told. */
    peer->told_in_use = MAX(peer->told_in_use, grant->slots);
    peer->borrowed_until = *asked_at(peer, grant->answers) + LEASE_TIME;
}

/* The other owner was replaced under its name: what it lent is gone. What it was lent ends by
 * itself, since its statements may still run. */
static void begin_again(struct slot_share_peer *peer, uint64_t incarnation)
{
    peer->incarnation = incarnation;
    peer->grant_taken = 0;
    peer->borrowed = 0;
    peer->ask_taken = 0;
    peer->wanted = 0;
}

void slot_share_receive(struct slot_share *share, uint64_t from,
                        const struct slot_share_message *message,
                        const struct slot_share_load *load, time_ns now, GArray *actions)
{
    struct slot_share_peer *peer = find_peer(share, from);
    if (peer == NULL || !peer->present || !share->placed) {
        return;
    }
    if (message->incarnation != peer->incarnation) {
        begin_again(peer, message->incarnation);
    }
    note_demand(share, load, now);
    if (message->asks) {
        take_ask(share, peer, message, load, now, actions);
    } else if (message->to_incarnation == share->incarnation) {
        take_grant(peer, message, now);
    }
    slot_share_tick(share, load, now, actions);
}

void slot_share_tick(struct slot_share *share, const struct slot_share_load *load, time_ns now,
                     GArray *actions)
{
    note_demand(share, load, now);
    settle_borrowed(share, load, now);
    borrow(share, now, actions);
    settle_borrowed(share, load, now);
    lend(share, load, now, actions);
    forget_past_peers(share, now);
}

bool slot_share_is_active(const struct slot_share *share, time_ns now)
{
    bool alone = share->peer_count == 0;
    bool needs_more = recent_demand(share) > slot_share_limit(share, now);
    bool changes = now < share->home_from || (!share->placed && now < share->home_until);
    bool active = changes || (needs_more && !alone);
    for (uint32_t i = 0; i < share->peer_count; i++) {
        const struct slot_share_peer *peer = &share->peers[i];
        active = active || lent_now(peer, now) > 0 || peer->borrowed_in_use > 0 ||
                 wanted_now(peer, now) > 0;
    }
    return active;
}
