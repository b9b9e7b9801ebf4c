/* Assignment of shares of rate limits to poolers; see the header. */
#include "pooler/rate/roster.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

bool
roster_loses_place(bool away, time_ns since, time_ns now)
{
    return away && now >= since + ROSTER_AWAY_NS;
}

bool
roster_may_count(bool entering, time_ns since, time_ns now)
{
    return entering && now >= since + ROSTER_ENTERING_NS;
}

bool
roster_member_is_up_to_date(const roster_member_state_t *state, uint64_t version,
                            time_ns written_at, time_ns now)
{
    bool confirmed =
        written_at != 0 && state->confirmed >= version && state->confirmed_as_of >= written_at;
    return confirmed || (state->away && now >= state->away_since + ROSTER_ENTERING_NS);
}

static void
free_members(gpointer data)
{
    roster_t *roster = data;
    for (size_t i = 0; i < roster->count; i++) {
        g_free(roster->members[i].address);
    }
    g_free(roster->members);
}

roster_t *
roster_new(uint64_t revision, size_t count)
{
    roster_t *roster = g_rc_box_new0(roster_t);
    roster->revision = revision;
    roster->count = count;
    roster->members = g_new0(roster_member_t, count);
    return roster;
}

roster_t *
roster_ref(roster_t *roster)
{
    return g_rc_box_acquire(roster);
}

void
roster_unref(roster_t *roster)
{
    g_rc_box_release_full(roster, free_members);
}

/* Score of weighted rendezvous hashing. The member with the highest score is the home; the chance
 * of that is proportional to the weight. */
static double
score_of(const roster_member_t *member, uint64_t seed)
{
    uint64_t hash = XXH3_64bits_withSeed(member->address, strlen(member->address), seed);
    double uniform = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
    return -(double)member->weight / log(uniform);
}

static size_t
home_of(const roster_t *roster, uint64_t seed)
{
    size_t best = 0;
    double best_score = -1;
    for (size_t i = 0; i < roster->count; i++) {
        double score = score_of(&roster->members[i], seed);
        bool same = score == best_score;
        if (score > best_score ||
            (same && strcmp(roster->members[i].address, roster->members[best].address) < 0)) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

void
roster_homes(const roster_t *roster, const char *tenant, size_t out[ROSTER_SHARES])
{
    uint64_t seed = XXH3_64bits(tenant, strlen(tenant));
    for (unsigned share = 0; share < ROSTER_SHARES && roster->count > 0; share++) {
        out[share] = home_of(roster, seed + share);
    }
}
