/* Limits of tenants: the bucket, who counts which share, and a rig of a few poolers on virtual time
 * that are cut off, killed, restarted and added at random, while one tenant asks for as much as it
 * can. Over any window no more runs than the limit and what it may be exceeded by; with one of the
 * mechanisms off, more does. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "backend/clock.h"
#include "pooler/rate/counting.h"
#include "pooler/rate/home_health.h"

#define MS     NANOSECONDS_PER_MILLISECOND
#define SECOND NANOSECONDS_PER_SECOND

static const rate_bounds_t bounds = {5, 0.1, 20};

/* ---- bucket ---- */

static void
test_bucket(void)
{
    const bucket_limit_t limit = {10, 5};
    bucket_t bucket = {5, SECOND};
    time_ns wait = 0;
    for (unsigned i = 0; i < 5; i++) {
        g_assert_true(bucket_take(&bucket, &limit, 0, SECOND, &wait));
    }
    g_assert_false(bucket_take(&bucket, &limit, 0, SECOND, &wait));
    g_assert_cmpuint(wait, >=, 100 * MS);
    g_assert_cmpuint(wait, <=, 101 * MS);
    g_assert_true(bucket_take(&bucket, &limit, 0, SECOND + wait, &wait));
    g_assert_false(bucket_take(&bucket, &limit, 0, SECOND + 100 * MS, &wait)); /* back in time */
}

static void
test_bucket_that_never_fills(void)
{
    const bucket_limit_t limit = {0, 1};
    bucket_t bucket = {0, SECOND};
    time_ns wait = 7;
    g_assert_false(bucket_take(&bucket, &limit, 0, 9 * SECOND, &wait));
    g_assert_cmpuint(wait, ==, 0);
}

/* A token in months is told as an hour: what is longer may not fit into the numbers of an answer.
 */
static void
test_bucket_that_hardly_fills(void)
{
    const bucket_limit_t limit = {1e-30, 1};
    share_t share;
    time_ns wait = 0;
    share_start(&share, 0, SECOND);
    for (unsigned i = 0; i < 3; i++) {
        g_assert_false(share_take(&share, &limit, 0, SECOND, &wait));
        g_assert_cmpuint(wait, >=, 3600 * SECOND);
        g_assert_cmpuint(wait, <=, 3603 * SECOND);
    }
}

/* ---- a share under load ---- */

/* What one priority asks of a share, and got. */
typedef struct asker {
    uint32_t priority;
    time_ns every;
    time_ns next;
    unsigned asked;
    unsigned given;
} asker_t;

/* Both ask for so long, the one that is due first; who is refused does not come back. */
static void
ask_both(share_t *share, const bucket_limit_t *limit, asker_t askers[2], time_ns seconds)
{
    for (time_ns now = SECOND; now < (1 + seconds) * SECOND; now += MS / 10) {
        for (unsigned i = 0; i < 2; i++) {
            time_ns wait = 0;
            if (now < askers[i].next) {
                continue;
            }
            askers[i].next = now + askers[i].every;
            askers[i].asked++;
            askers[i].given += share_take(share, limit, askers[i].priority, now, &wait);
        }
    }
}

static const bucket_limit_t share_limit = {100, 20};

/* One tenant's reads at five times its limit: its commands, a fifth of the limit, are all served
 * but for some of the first half second, in which they are not known to come; the reads get the
 * rest of the limit, to the last token. */
static void
test_urgent_among_a_flood(void)
{
    share_t share;
    asker_t askers[2] = {{0, 50 * MS, SECOND, 0, 0}, {2, 2 * MS, SECOND + MS, 0, 0}};
    share_start(&share, 20, SECOND);
    ask_both(&share, &share_limit, askers, 20);
    g_assert_cmpuint(askers[0].given, >=, askers[0].asked - 10);
    g_assert_cmpuint(askers[0].given + askers[1].given, <=, 100 * 20 + 20);
    g_assert_cmpuint(askers[0].given + askers[1].given, >=, 100 * 20);
}

/* Commands at five times the limit: reads still get the tenth that is open to all. */
static void
test_urgent_flood(void)
{
    share_t share;
    asker_t askers[2] = {{0, 2 * MS, SECOND, 0, 0}, {2, 20 * MS, SECOND + MS, 0, 0}};
    share_start(&share, 20, SECOND);
    ask_both(&share, &share_limit, askers, 20);
    g_assert_cmpuint(askers[1].given, >=, 100 * 20 / 20);
    g_assert_cmpuint(askers[0].given, >=, 100 * 20 * 8 / 10);
    g_assert_cmpuint(askers[0].given + askers[1].given, <=, 100 * 20 + 20);
}

/* Nothing is kept for urgent operations where none have come lately. */
static void
test_nothing_kept_unused(void)
{
    share_t share;
    asker_t askers[2] = {{2, 2 * MS, SECOND, 0, 0}, {2, 20 * MS, SECOND + MS, 0, 0}};
    time_ns wait = 0;
    share_start(&share, 20, SECOND);
    for (unsigned i = 0; i < 5; i++) {
        g_assert_true(share_take(&share, &share_limit, 0, SECOND, &wait));
    }
    for (unsigned i = 0; i < 15; i++) {
        g_assert_true(share_take(&share, &share_limit, 2, 10 * SECOND, &wait));
    }
    share_start(&share, 20, SECOND);
    ask_both(&share, &share_limit, askers, 20);
    g_assert_cmpuint(askers[0].given + askers[1].given, >=, 100 * 20);
}

/* Those that are refused together are told moments apart, one for each token to come, and none
 * further ahead than most callers have. */
static void
test_told_moments_apart(void)
{
    share_t share;
    time_ns before = 0;
    share_start(&share, 0, SECOND);
    for (unsigned i = 0; i < 100; i++) {
        time_ns wait = 0;
        g_assert_false(share_take(&share, &share_limit, 1, SECOND, &wait));
        g_assert_cmpuint(wait, <=, 1100 * MS);
        g_assert_cmpuint(wait, >=, before + 9 * MS);
        before = wait;
    }
    time_ns wait = 0;
    g_assert_false(share_take(&share, &share_limit, 1, SECOND, &wait));
    g_assert_false(share_take(&share, &share_limit, 1, SECOND, &wait));
    g_assert_cmpuint(wait, <, 100 * MS); /* from the beginning again */
}

/* ---- what is believed of homes ---- */

/* A machine that is cut off for ten seconds is asked a few times only, and not in vain for good;
 * the first sign brings it back at once. */
static void
test_silent_home_is_left_alone(void)
{
    home_health_t belief = {0};
    unsigned asked = 0;
    time_ns now = SECOND;
    for (; now < 11 * SECOND; now += MS) {
        if (!home_health_is_avoided(&belief, now)) {
            asked++;
            home_health_note_timeout(&belief, now + HOME_TIMEOUT_NS);
        }
    }
    g_assert_cmpuint(asked, >=, 4);
    g_assert_cmpuint(asked, <=, 7); /* 40 at a quarter of a second each */
    g_assert_true(home_health_is_unresponsive(&belief, now));
    g_assert_true(home_health_message_received(&belief));
    g_assert_false(home_health_is_avoided(&belief, now));
    g_assert_false(home_health_message_received(&belief));
}

/* Many operations that wait for the same home in one moment are one silence. */
static void
test_many_waiters_are_one_silence(void)
{
    home_health_t belief = {0};
    for (unsigned i = 0; i < 100; i++) {
        home_health_note_timeout(&belief, SECOND + i * MS);
    }
    g_assert_false(home_health_is_avoided(&belief, SECOND + 400 * MS));
}

/* Answers of 2 ms, now and then 6: another home is asked long before one is given up. A home whose
 * answers all take 50 ms is waited for. */
static void
test_patience_is_learned(void)
{
    home_health_t quick = {0};
    home_health_t slow = {0};
    g_assert_cmpuint(home_health_hedge_delay(&quick), <, HOME_TIMEOUT_NS / 2);
    for (unsigned i = 0; i < 100; i++) {
        home_health_answered(&quick, (i % 10 == 0 ? 6 : 2) * MS);
        home_health_answered(&slow, 50 * MS);
    }
    g_assert_cmpuint(home_health_hedge_delay(&quick), >=, 6 * MS);
    g_assert_cmpuint(home_health_hedge_delay(&quick), <=, 20 * MS);
    g_assert_cmpuint(home_health_hedge_delay(&slow), >=, 50 * MS);
    g_assert_cmpuint(home_health_hedge_delay(&slow), <=, HOME_TIMEOUT_NS);
}

/* ---- roster ---- */

static roster_t *
make_roster(uint64_t revision, unsigned count)
{
    roster_t *roster = roster_new(revision, count);
    for (unsigned i = 0; i < count; i++) {
        roster->members[i].address = g_strdup_printf("10.0.0.%u:7440", i + 1);
        roster->members[i].weight = 120;
    }
    return roster;
}

/* A member that comes or goes moves its own shares only. */
static void
test_homes_stay(void)
{
    roster_t *before = make_roster(1, 40);
    roster_t *after = make_roster(2, 41);
    unsigned moved = 0;
    for (unsigned tenant = 0; tenant < 100; tenant++) {
        size_t old_homes[ROSTER_SHARES];
        size_t new_homes[ROSTER_SHARES];
        g_autofree char *name = g_strdup_printf("tenant-%u", tenant);
        roster_homes(before, name, old_homes);
        roster_homes(after, name, new_homes);
        for (unsigned i = 0; i < ROSTER_SHARES; i++) {
            g_assert_true(new_homes[i] == old_homes[i] || new_homes[i] == 40);
            moved += new_homes[i] != old_homes[i];
        }
    }
    g_assert_cmpuint(moved, >, 0);
    g_assert_cmpuint(moved, <, 40); /* 500 / 41 on average */
    roster_unref(before);
    roster_unref(after);
}

/* ---- counting ---- */

static const tenant_t *
make_tenant(double rate, double burst)
{
    static tenant_t tenant;
    tenant = (tenant_t){g_intern_static_string("toubkal"), true, rate, burst};
    return &tenant;
}

static unsigned
take_all(counting_t *counting, const tenant_t *tenant, time_ns now)
{
    unsigned given = 0;
    time_ns wait = 0;
    while (counting_take(counting, tenant, 0, now, &wait) == TOKEN_GRANTED) {
        given++;
    }
    return given;
}

/* Alone, a pooler counts all shares: rate and burst are the tenant's, and one operation more for
 * each share in place of fractions. */
static void
test_counting_alone(void)
{
    const tenant_t *tenant = make_tenant(50, 20);
    counting_t *counting = counting_new(&bounds, SECOND);
    roster_t *roster = make_roster(1, 1);
    time_ns wait = 0;
    roster->members[0].self = true;
    g_assert_cmpint(counting_take(counting, tenant, 0, SECOND, &wait), ==, TOKEN_DECLINED);
    counting_set_roster(counting, roster, SECOND);
    g_assert_cmpint(counting_take(counting, tenant, 0, SECOND, &wait), ==, TOKEN_DECLINED);
    counting_set_valid_until(counting, 100 * SECOND);
    unsigned first = take_all(counting, tenant, SECOND);
    g_assert_cmpuint(first, <=, (unsigned)((50 * 5 + 20) * 0.1 + 20) / 3);
    g_assert_cmpuint(take_all(counting, tenant, 60 * SECOND), ==, 20 + ROSTER_SHARES);
    g_assert_cmpuint(take_all(counting, tenant, 61 * SECOND), ==, 20 + ROSTER_SHARES);
    g_assert_cmpint(counting_take(counting, tenant, 0, 61 * SECOND, &wait), ==, TOKEN_REFUSED);
    g_assert_cmpuint(wait, >, 0);
    g_assert_cmpint(counting_take(counting, tenant, 0, 100 * SECOND, &wait), ==, TOKEN_DECLINED);
    roster_unref(roster);
    counting_free(counting);
}

/* A burst smaller than the number of shares still lets operations through. */
static void
test_small_burst(void)
{
    const tenant_t *tenant = make_tenant(2, 1);
    counting_t *counting = counting_new(&bounds, SECOND);
    roster_t *roster = make_roster(1, 1);
    roster->members[0].self = true;
    counting_set_roster(counting, roster, 0);
    counting_set_valid_until(counting, 100 * SECOND);
    g_assert_cmpuint(take_all(counting, tenant, 10 * SECOND), >, 0);
    roster_unref(roster);
    counting_free(counting);
}

/* After a loss of all, the list of members comes a third of a second after the process began: what
 * its shares fill by in that time is theirs, as nobody else counts them. By a later list it is not:
 * another pooler may have given it. */
static void
test_fills_from_the_start(void)
{
    const tenant_t *tenant = make_tenant(50, 50);
    const time_ns listed = SECOND + 320 * MS;
    unsigned given[2];
    for (unsigned later = 0; later < 2; later++) {
        counting_t *counting = counting_new(&bounds, SECOND);
        roster_t *roster = make_roster(1, 1);
        roster->members[0].self = true;
        counting_set_valid_until(counting, 100 * SECOND);
        if (later) {
            roster->members[0].entering = true;
            counting_set_roster(counting, roster, listed);
            roster->members[0].entering = false;
        }
        counting_set_roster(counting, roster, listed);
        given[later] = take_all(counting, tenant, listed);
        roster_unref(roster);
        counting_free(counting);
    }
    g_assert_cmpuint(given[1], ==, ROSTER_SHARES * (unsigned)rate_start_tokens(&bounds, tenant));
    g_assert_cmpuint(given[0], >=, given[1] + 50 * 3 / 10);
}

static void
test_entering_and_away_do_not_count(void)
{
    const tenant_t *tenant = make_tenant(50, 20);
    counting_t *counting = counting_new(&bounds, SECOND);
    roster_t *roster = make_roster(1, 1);
    time_ns wait = 0;
    roster->members[0].self = true;
    roster->members[0].entering = true;
    counting_set_roster(counting, roster, 0);
    counting_set_valid_until(counting, 100 * SECOND);
    g_assert_cmpint(counting_take(counting, tenant, 0, SECOND, &wait), ==, TOKEN_DECLINED);
    roster->members[0].entering = false;
    roster->members[0].away = true;
    counting_set_roster(counting, roster, 0);
    g_assert_cmpint(counting_take(counting, tenant, 0, SECOND, &wait), ==, TOKEN_DECLINED);
    roster_unref(roster);
    counting_free(counting);
}

/* ---- a rig of a few poolers ---- */

#define MACHINES   5
#define STEP       (20 * MS)
#define LENGTH     (60 * SECOND)
#define HEARTBEAT  (250 * MS)
#define UNHEARD_NS (1200 * MS)
#define ROW_NS     (2200 * MS) /* a lease's length: so old may the store's row be */
#define HISTORIES  400

/* Which mechanism is off. */
typedef enum mutation {
    MUTATION_NONE,
    MUTATION_NOT_CURRENT, /* counts by a list of any age */
    MUTATION_NO_ENTERING, /* counts as soon as it has a place */
    MUTATION_NOT_AWAY,    /* who is not heard loses its places at once */
    MUTATION_FULL_START,  /* buckets begin full */
    MUTATION_UNCONFIRMED, /* who has a place counts once the row tells, whoever has not heard */
    MUTATION_ROW_BEHIND,  /* once all have confirmed, whatever the row tells */
    MUTATION_SILENT_OUT,  /* those that are silent are not waited for */
    MUTATION_COUNT,
} mutation_t;

/* The coordinator's view of a machine. */
typedef struct listed {
    bool present; /* has been heard at any time, and not lost its places */
    bool away;
    bool entering;
    time_ns since; /* away or entering */
    time_ns heard_at;
    uint64_t version;   /* of its last change */
    time_ns written_at; /* the row has told that since then; 0: not yet */
    uint64_t confirmed;
    time_ns confirmed_as_of;
} listed_t;

typedef struct machine {
    bool runs;
    time_ns back_at;   /* starts again then */
    time_ns cut_until; /* hears no coordinator before */
    time_ns beat_at;
    time_ns started_at;
    time_ns reads_row_at; /* 0: it has */
    time_ns granted_at;   /* the coordinator's answer to its last heartbeat */
    counting_t *counting;
    uint64_t revision; /* of the list that it knows */
    listed_t list[MACHINES];
} machine_t;

typedef struct rig {
    GRand *rand;
    mutation_t mutation;
    bool calm;           /* troubles are rare, and strike a fleet that is whole */
    bool adverse;        /* as a pooler begins to count, others are killed, and come back cut off */
    int strikes_all_but; /* this one; -1: not now */
    time_ns now;
    time_ns without_until; /* there is no coordinator before */
    time_ns since;         /* of the coordinator */
    uint64_t revision;
    listed_t list[MACHINES];
    listed_t row[MACHINES]; /* the list as the store has it */
    uint64_t row_revision;
    time_ns row_next_at;
    machine_t machines[MACHINES];
    GArray *given; /* time_ns of each token */
} rig_t;

static const rate_bounds_t generous = {5, 10, 10000};

static void
tell(rig_t *rig, unsigned index, const listed_t *list, uint64_t revision)
{
    machine_t *machine = &rig->machines[index];
    unsigned count = 0;
    if (machine->revision == revision) {
        return;
    }
    machine->revision = revision;
    memcpy(machine->list, list, sizeof machine->list);
    for (unsigned i = 0; i < MACHINES; i++) {
        count += list[i].present;
    }
    roster_t *roster = roster_new(revision, count);
    count = 0;
    for (unsigned i = 0; i < MACHINES; i++) {
        if (list[i].present) {
            roster->members[count++] = (roster_member_t){
                .address = g_strdup_printf("10.0.0.%u:7440", i + 1),
                .weight = 100,
                .self = i == index,
                .away = list[i].away,
                .entering = list[i].entering && rig->mutation != MUTATION_NO_ENTERING,
            };
        }
    }
    counting_set_roster(machine->counting, roster, rig->now);
    roster_unref(roster);
}

static void
rely(rig_t *rig, machine_t *machine, time_ns moment)
{
    bool forever = rig->mutation == MUTATION_NOT_CURRENT;
    counting_set_valid_until(machine->counting,
                             forever ? UINT64_MAX / 2 : moment + ROSTER_VALID_NS);
}

static bool
has_coordinator(const rig_t *rig)
{
    return rig->now >= rig->without_until;
}

static void
heartbeat(rig_t *rig, unsigned index)
{
    machine_t *machine = &rig->machines[index];
    bool heard = machine->runs && has_coordinator(rig) && rig->now >= machine->cut_until;
    if (!heard || rig->now < machine->beat_at) {
        return;
    }
    time_ns sent = rig->now - (time_ns)g_rand_int_range(rig->rand, 0, 20) * MS;
    listed_t *listed = &rig->list[index];
    machine->beat_at = rig->now + HEARTBEAT;
    listed->heard_at = rig->now;
    listed->confirmed = machine->revision;
    listed->confirmed_as_of = machine->granted_at;
    machine->granted_at = rig->now;
    if (!listed->present) {
        listed->present = listed->entering = true;
        listed->since = rig->now;
        listed->version = ++rig->revision;
        listed->written_at = 0;
    } else if (listed->away) {
        listed->away = false;
        listed->since = rig->now;
        rig->revision++;
    }
    tell(rig, index, rig->list, rig->revision);
    rely(rig, machine, sent);
}

static bool
is_heard(const rig_t *rig, const listed_t *listed)
{
    return rig->now < MAX(listed->heard_at, rig->since) + UNHEARD_NS;
}

/* True if all others count by the list in which the member has a place, or not at all. */
static bool
all_have_heard(const rig_t *rig, const listed_t *entering)
{
    if (entering->written_at == 0 && rig->mutation != MUTATION_ROW_BEHIND) {
        return false;
    }
    for (unsigned i = 0; i < MACHINES; i++) {
        const listed_t *listed = &rig->list[i];
        bool heard = is_heard(rig, listed);
        bool out = !listed->present || (!heard && rig->mutation == MUTATION_SILENT_OUT);
        const roster_member_state_t standing = {listed->confirmed, listed->confirmed_as_of,
                                                heard && !listed->away,
                                                MAX(listed->since, rig->since)};
        time_ns written_at = rig->mutation == MUTATION_ROW_BEHIND ? 1 : entering->written_at;
        if (!out && rig->mutation != MUTATION_UNCONFIRMED &&
            !roster_member_is_up_to_date(&standing, entering->version, written_at, rig->now)) {
            return false;
        }
    }
    return true;
}

static void
write_row(rig_t *rig)
{
    rig->row_revision = rig->revision;
    memcpy(rig->row, rig->list, sizeof rig->row);
    for (unsigned i = 0; i < MACHINES; i++) {
        if (rig->list[i].written_at == 0) {
            rig->list[i].written_at = rig->now;
        }
    }
}

static void
coordinate(rig_t *rig)
{
    if (!has_coordinator(rig)) {
        return;
    }
    for (unsigned i = 0; i < MACHINES; i++) {
        listed_t *listed = &rig->list[i];
        time_ns since = MAX(listed->since, rig->since);
        if (!listed->present) {
            continue;
        }
        if (!listed->away && !is_heard(rig, listed)) {
            listed->present = rig->mutation != MUTATION_NOT_AWAY;
            listed->away = true;
            listed->since = rig->now;
            rig->revision++;
        } else if (roster_loses_place(listed->away, since, rig->now)) {
            listed->present = listed->away = false;
            rig->revision++;
        } else if (!listed->away && listed->entering &&
                   (roster_may_count(true, since, rig->now) || all_have_heard(rig, listed))) {
            listed->entering = false;
            rig->revision++;
            rig->strikes_all_but = rig->adverse ? (int)i : -1;
        }
    }
    if (rig->now >= rig->row_next_at) { /* now and then the store is slow to answer */
        bool slow = g_rand_int_range(rig->rand, 0, 3) == 0;
        rig->row_next_at = rig->now + (slow ? 2000 : 600) * MS;
        write_row(rig);
    }
}

static void
start(rig_t *rig, unsigned index)
{
    machine_t *machine = &rig->machines[index];
    const rate_bounds_t *with = rig->mutation == MUTATION_FULL_START ? &generous : &bounds;
    machine->counting = counting_new(with, rig->now);
    machine->runs = true;
    machine->revision = 0;
    machine->granted_at = 0;
    machine->started_at = rig->now;
    machine->beat_at = rig->now;
    machine->reads_row_at = rig->now + (time_ns)g_rand_int_range(rig->rand, 0, 600) * MS;
    if (machine->cut_until < rig->now &&
        g_rand_int_range(rig->rand, 0, 4) == 0) { /* it reaches the store, and no pooler yet */
        machine->cut_until = rig->now + (time_ns)g_rand_int_range(rig->rand, 0, 10000) * MS;
    }
}

/* Only what a process that has heard of no coordinator yet learns. */
static void
read_row(rig_t *rig, unsigned index)
{
    machine_t *machine = &rig->machines[index];
    if (!machine->runs || machine->reads_row_at == 0 || rig->now < machine->reads_row_at) {
        return;
    }
    machine->reads_row_at = 0;
    if (machine->revision == 0 && rig->row_revision != 0) {
        tell(rig, index, rig->row, rig->row_revision);
        rely(rig, machine, rig->now > ROW_NS ? rig->now - ROW_NS : 0);
    }
}

static void
stop(rig_t *rig, unsigned index)
{
    machine_t *machine = &rig->machines[index];
    machine->runs = false;
    g_clear_pointer(&machine->counting, counting_free);
    /* One in four is away for long. */
    int longest = g_rand_int_range(rig->rand, 0, 4) == 0 ? 15000 : 2500;
    machine->back_at = rig->now + (time_ns)g_rand_int_range(rig->rand, 200, longest) * MS;
}

/* Once in `seconds`, for each machine. */
static bool
strikes(rig_t *rig, double seconds)
{
    return g_rand_double(rig->rand) < (double)STEP / (double)SECOND / seconds;
}

static void
trouble(rig_t *rig)
{
    int spared = rig->strikes_all_but;
    rig->strikes_all_but = -1;
    for (unsigned i = 0; i < MACHINES; i++) {
        machine_t *machine = &rig->machines[i];
        bool rested = rig->now > machine->started_at + 2500 * MS;
        if (machine->runs && rested && spared >= 0 && spared != (int)i &&
            g_rand_boolean(rig->rand)) {
            stop(rig, i);
            machine->back_at = rig->now + 200 * MS;
            machine->cut_until = rig->now + 8 * SECOND;
        } else if (machine->runs && rested && strikes(rig, rig->calm ? 60 : 8)) {
            stop(rig, i);
        } else if (!machine->runs && rig->now >= machine->back_at) {
            start(rig, i);
        } else if (machine->runs && strikes(rig, rig->calm ? 30 : 6)) {
            machine->cut_until = rig->now + (time_ns)g_rand_int_range(rig->rand, 500, 25000) * MS;
        }
    }
    if (has_coordinator(rig) && strikes(rig, 10)) {
        rig->without_until = rig->now + (time_ns)g_rand_int_range(rig->rand, 0, 4000) * MS;
        rig->since = rig->without_until;
    }
}

/* Every running machine is asked by somebody for all that it gives. */
static void
ask_all(rig_t *rig, const tenant_t *tenant)
{
    for (unsigned i = 0; i < MACHINES; i++) {
        const machine_t *machine = &rig->machines[i];
        unsigned given = machine->runs ? take_all(machine->counting, tenant, rig->now) : 0;
        for (unsigned k = 0; k < given; k++) {
            g_array_append_val(rig->given, rig->now);
        }
    }
}

/* The most that was given in any window. */
static unsigned
most_in_window(const GArray *given)
{
    unsigned most = 0;
    guint first = 0;
    time_ns window = (time_ns)(bounds.window_s * (double)SECOND);
    for (guint i = 0; i < given->len; i++) {
        while (g_array_index(given, time_ns, first) + window < g_array_index(given, time_ns, i)) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

static unsigned
play(unsigned seed, mutation_t mutation, const tenant_t *tenant)
{
    rig_t rig = {.mutation = mutation,
                 .calm = seed % 2,
                 .adverse = seed % 4 >= 2,
                 .strikes_all_but = -1,
                 .now = 20 * SECOND,
                 .revision = 1};
    rig.rand = g_rand_new_with_seed(seed);
    rig.given = g_array_new(FALSE, FALSE, sizeof(time_ns));
    for (unsigned i = 0; i < MACHINES; i++) {
        start(&rig, i);
    }
    time_ns end = rig.now + LENGTH;
    for (; rig.now < end; rig.now += STEP) {
        trouble(&rig);
        coordinate(&rig);
        for (unsigned i = 0; i < MACHINES; i++) {
            read_row(&rig, i);
            heartbeat(&rig, i);
        }
        ask_all(&rig, tenant);
    }
    unsigned most = most_in_window(rig.given);
    for (unsigned i = 0; i < MACHINES; i++) {
        g_clear_pointer(&rig.machines[i].counting, counting_free);
    }
    g_array_unref(rig.given);
    g_rand_free(rig.rand);
    return most;
}

static unsigned
allowed(const tenant_t *tenant)
{
    double limit = tenant->rate_per_s * bounds.window_s + tenant->burst;
    return (unsigned)(limit * (1 + bounds.overage) + bounds.slack);
}

/* Rates and bursts: small tenants, one whose burst is large, and a large one. */
static void
test_never_over_the_bound(void)
{
    static const double limits[][2] = {{5, 5}, {20, 20}, {20, 200}, {5, 400}, {60, 60}, {199, 199}};
    for (unsigned i = 0; i < G_N_ELEMENTS(limits); i++) {
        unsigned highest = 0;
        for (unsigned seed = 0; seed < HISTORIES; seed++) {
            const tenant_t *tenant = make_tenant(limits[i][0], limits[i][1]);
            unsigned most = play(seed, MUTATION_NONE, tenant);
            if (most > allowed(tenant)) {
                g_test_message("seed %u, %g a second: %u in a window, allowed %u", seed,
                               limits[i][0], most, allowed(tenant));
            }
            g_assert_cmpuint(most, <=, allowed(tenant));
            highest = MAX(highest, most);
        }
        g_test_message("%g a second: at most %u of %u", limits[i][0], highest,
                       allowed(make_tenant(limits[i][0], limits[i][1])));
    }
}

/* Without any one of the mechanisms, some history breaks the bound. */
static void
test_mutations_break_it(void)
{
    for (mutation_t mutation = MUTATION_NONE + 1; mutation < MUTATION_COUNT; mutation++) {
        unsigned broken = 0;
        unsigned most = 0;
        /* A full bucket at each start matters where bursts are large. */
        bool bursts = mutation == MUTATION_FULL_START;
        const tenant_t *tenant = bursts ? make_tenant(20, 200) : make_tenant(199, 199);
        for (unsigned seed = 0; seed < 10 * HISTORIES && broken == 0; seed++) {
            unsigned given = play(seed, mutation, tenant);
            most = MAX(most, given);
            broken += given > allowed(tenant);
        }
        g_test_message("mutation %d: %s, %u in a window, allowed %u", (int)mutation,
                       broken > 0 ? "found" : "not found", most, allowed(tenant));
        g_assert_cmpuint(broken, >, 0);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rate/bucket", test_bucket);
    g_test_add_func("/rate/bucket-never-fills", test_bucket_that_never_fills);
    g_test_add_func("/rate/bucket-hardly-fills", test_bucket_that_hardly_fills);
    g_test_add_func("/rate/urgent-among-a-flood", test_urgent_among_a_flood);
    g_test_add_func("/rate/urgent-flood", test_urgent_flood);
    g_test_add_func("/rate/nothing-kept-unused", test_nothing_kept_unused);
    g_test_add_func("/rate/told-moments-apart", test_told_moments_apart);
    g_test_add_func("/rate/silent-home-is-left-alone", test_silent_home_is_left_alone);
    g_test_add_func("/rate/many-waiters-are-one-silence", test_many_waiters_are_one_silence);
    g_test_add_func("/rate/patience-is-learned", test_patience_is_learned);
    g_test_add_func("/rate/homes-stay", test_homes_stay);
    g_test_add_func("/rate/counting-alone", test_counting_alone);
    g_test_add_func("/rate/fills-from-the-start", test_fills_from_the_start);
    g_test_add_func("/rate/small-burst", test_small_burst);
    g_test_add_func("/rate/entering-and-away", test_entering_and_away_do_not_count);
    g_test_add_func("/rate/never-over-the-bound", test_never_over_the_bound);
    g_test_add_func("/rate/mutations", test_mutations_break_it);
    return g_test_run();
}
