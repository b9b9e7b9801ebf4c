/* Loans of slots between owners; see the header. */
#include "core/slot_share.h"

#include <string.h>

/* A borrower may use a loan for this time after it sent the request that was granted last. */
#define LEASE_TIME (1 * NANOSECONDS_PER_SECOND)

/* The lender counts a loan for this much longer, so that statements started under it can end. */
#define LEASE_MARGIN (500 * NANOSECONDS_PER_MILLISECOND)

/* Minimum time between requests, or grants without a request, to one owner; for many databases this
 * much for each. */
#define MESSAGE_GAP  (50 * NANOSECONDS_PER_MILLISECOND)
#define DATABASE_GAP (16 * NANOSECONDS_PER_MILLISECOND)

/* A request is repeated after this many gaps, which renews the loan: at the latest when half of the
 * lease is over. */
#define REQUEST_GAPS         5
#define REQUEST_INTERVAL_MAX (LEASE_TIME / 2)

/* The demand is the maximum over the last one to two of these intervals. */
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
    share->request_interval = MIN(REQUEST_GAPS * share->gap, REQUEST_INTERVAL_MAX);
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

/* Home slots that may be used now. A part that grew is used in full only once the other owners know
 * that theirs is smaller; a lost one until its next owner starts to use it in full. */
static uint32_t usable_home(const struct slot_share *share, time_ns now)
{
    if (!share->is_owner) {
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
    if (share->is_owner) {
        return own + borrowed_in_all(share, now);
    }
    /* An owner that lost its position may finish its statements, at last one at a time. */
    return MAX(own, 1);
}

/* Removes peers that are no longer owners and have no loan left. */
static void remove_past_peers(struct slot_share *share, time_ns now)
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

static uint32_t home_of(uint32_t slots, uint32_t count, uint32_t position, uint32_t rotation)
{
    bool has_more = (position + rotation) % count < slots % count;
    return slots / count + (has_more ? 1 : 0);
}

static void lose_position(struct slot_share *share, uint32_t before, time_ns now)
{
    if (share->is_owner) {
        share->home = before;
        share->home_until = now + LEASE_TIME;
    }
    share->is_owner = false;
}

static void take_position(struct slot_share *share, uint32_t home, uint32_t before, time_ns now)
{
    bool grows = home > before && (!share->is_owner || home > share->home);
    if (share->peer_count == 0) {
        /* No other owner has any slots. */
        share->home_from = now;
    } else if (grows) {
        /* One slot may be used at once, so that work continues meanwhile. */
        share->home_before = MAX(before, 1);
        share->home_from = now + LEASE_TIME + LEASE_MARGIN;
    }
    share->home = home;
    share->is_owner = true;
}

void slot_share_set_position(struct slot_share *share, const uint64_t *owners, uint32_t count,
                             int32_t position, uint32_t rotation, time_ns now)
{
    uint32_t before = usable_home(share, now);
    for (uint32_t i = 0; i < share->peer_count; i++) {
        share->peers[i].present = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        if ((int32_t)i != position) {
            add_owner(share, owners[i]);
        }
    }
    remove_past_peers(share, now);
    if (position < 0 || count == 0) {
        lose_position(share, before, now);
    } else {
        take_position(share, home_of(share->slots, count, (uint32_t)position, rotation), before,
                      now);
    }
}

static void update_demand(struct slot_share *share, const struct slot_share_load *load, time_ns now)
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

/* Computes how many statements may still hold slots of a loan that was reduced. */
static void update_borrowed_in_use(struct slot_share *share, const struct slot_share_load *load,
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

static time_ns *request_sent_at(struct slot_share_peer *peer, uint64_t number)
{
    return &peer->request_sent_at[number % SLOT_SHARE_REMEMBERED];
}

static void send_loan_request(const struct slot_share *share, struct slot_share_peer *peer,
                              uint32_t wanted, time_ns now, GArray *actions)
{
    peer->request_number++;
    *request_sent_at(peer, peer->request_number) = now;
    peer->reported_wanted = wanted;
    peer->reported_in_use = peer->borrowed_in_use;
    struct slot_share_message message = {
        .asks = true,
        .number = peer->request_number,
        .answers = peer->last_grant_received,
        .slots = wanted,
        .in_use = peer->borrowed_in_use,
    };
    add_action(actions, share, peer, &message);
}

static bool request_is_due(const struct slot_share *share, struct slot_share_peer *peer,
                           uint32_t wanted, time_ns now)
{
    time_ns last = *request_sent_at(peer, peer->request_number);
    bool concerned = wanted > 0 || peer->reported_wanted > 0 || peer->borrowed_in_use > 0 ||
                     peer->reported_in_use > 0;
    if (!concerned || now < last + share->gap) {
        return false;
    }
    bool needs_more = wanted > peer->reported_wanted;
    bool gives_back = peer->borrowed_in_use < peer->reported_in_use;
    return needs_more || gives_back || now >= last + share->request_interval;
}

/* Keeps as much of the loans as is needed, and requests what is missing from each owner. */
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
        if (!peer->present || !share->is_owner) {
            continue;
        }
        peer->borrowed = MIN(peer->borrowed, wanted[i]);
        if (request_is_due(share, peer, wanted[i] + missing, now)) {
            send_loan_request(share, peer, wanted[i] + missing, now, actions);
        }
    }
}

/* Slots that an owner wants to borrow here, by its last request; 0 if that is too old. */
static uint32_t wanted_now(const struct slot_share_peer *peer, time_ns now)
{
    bool recent = peer->last_request_received > 0 && now < peer->request_received_at + LEASE_TIME;
    return peer->present && recent ? peer->wanted : 0;
}

/* Loan that a borrower should have: an equal part of the slots not needed here, and more if the
 * others want less. */
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

/* Loan that may be granted now: it grows only by free slots. */
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

/* The borrower held `in_use` slots when it sent this request, and may have received any later grant
 * since. */
static uint32_t max_in_use(const struct slot_share_peer *peer,
                           const struct slot_share_message *request)
{
    uint32_t slots = request->in_use;
    for (uint64_t number = request->answers + 1; number <= peer->grant_number; number++) {
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
    peer->lent_until = peer->request_received_at + LEASE_TIME + LEASE_MARGIN;
    struct slot_share_message message = {
        .number = peer->grant_number,
        .answers = peer->last_request_received,
        .slots = loan,
    };
    add_action(actions, share, peer, &message);
}

/* Reduces loans that are needed here, and lends slots that have become free. */
static void lend(struct slot_share *share, const struct slot_share_load *load, time_ns now,
                 GArray *actions)
{
    for (uint32_t i = 0; i < share->peer_count; i++) {
        struct slot_share_peer *peer = &share->peers[i];
        bool known = peer->present && peer->last_request_received > 0 &&
                     now < peer->request_received_at + LEASE_TIME;
        if (!known || now < peer->granted_at + share->gap) {
            continue;
        }
        uint32_t loan = possible_loan(share, peer, load, now);
        if (loan != last_granted(peer)) {
            send_grant(share, peer, loan, now, actions);
        }
    }
}

static void handle_loan_request(struct slot_share *share, struct slot_share_peer *peer,
                                const struct slot_share_message *request,
                                const struct slot_share_load *load, time_ns now, GArray *actions)
{
    if (request->number <= peer->last_request_received) {
        return;
    }
    peer->last_request_received = request->number;
    peer->request_received_at = now;
    peer->wanted = request->slots;
    bool remembered = request->to_incarnation == share->incarnation &&
                      request->answers + SLOT_SHARE_REMEMBERED > peer->grant_number;
    if (remembered) {
        peer->lent = MIN(lent_now(peer, now), max_in_use(peer, request));
    }
    send_grant(share, peer, possible_loan(share, peer, load, now), now, actions);
}

static void handle_loan_grant(struct slot_share_peer *peer, const struct slot_share_message *grant,
                              time_ns now)
{
    bool known = grant->answers + SLOT_SHARE_REMEMBERED > peer->request_number &&
                 grant->answers <= peer->request_number;
    if (grant->number <= peer->last_grant_received || !known) {
        return;
    }
    peer->last_grant_received = grant->number;
    peer->borrowed = grant->slots;
    peer->borrowed_in_use = MAX(peer->borrowed_in_use, grant->slots);
    /* The lender counts these from its grant on, so their return must be reported to it. */
    peer->reported_in_use = MAX(peer->reported_in_use, grant->slots);
    peer->borrowed_until = *request_sent_at(peer, grant->answers) + LEASE_TIME;
}

/* The other owner was restarted under the same id: its loans to this daemon are void. Loans to it
 * end by expiry, since its statements may still run. */
static void reset_peer(struct slot_share_peer *peer, uint64_t incarnation)
{
    peer->incarnation = incarnation;
    peer->last_grant_received = 0;
    peer->borrowed = 0;
    peer->last_request_received = 0;
    peer->wanted = 0;
}

void slot_share_receive(struct slot_share *share, uint64_t from,
                        const struct slot_share_message *message,
                        const struct slot_share_load *load, time_ns now, GArray *actions)
{
    struct slot_share_peer *peer = find_peer(share, from);
    if (peer == NULL || !peer->present || !share->is_owner) {
        return;
    }
    if (message->incarnation != peer->incarnation) {
        reset_peer(peer, message->incarnation);
    }
    update_demand(share, load, now);
    if (message->asks) {
        handle_loan_request(share, peer, message, load, now, actions);
    } else if (message->to_incarnation == share->incarnation) {
        handle_loan_grant(peer, message, now);
    }
    slot_share_tick(share, load, now, actions);
}

void slot_share_tick(struct slot_share *share, const struct slot_share_load *load, time_ns now,
                     GArray *actions)
{
    update_demand(share, load, now);
    update_borrowed_in_use(share, load, now);
    borrow(share, now, actions);
    update_borrowed_in_use(share, load, now);
    lend(share, load, now, actions);
    remove_past_peers(share, now);
}

bool slot_share_is_active(const struct slot_share *share, time_ns now)
{
    bool without_peers = share->peer_count == 0;
    bool needs_more = recent_demand(share) > slot_share_limit(share, now);
    bool changes = now < share->home_from || (!share->is_owner && now < share->home_until);
    bool active = changes || (needs_more && !without_peers);
    for (uint32_t i = 0; i < share->peer_count; i++) {
        const struct slot_share_peer *peer = &share->peers[i];
        active = active || lent_now(peer, now) > 0 || peer->borrowed_in_use > 0 ||
                 wanted_now(peer, now) > 0;
    }
    return active;
}
