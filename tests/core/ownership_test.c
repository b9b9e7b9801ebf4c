/* Ownership: the same owners from any order of events, one per zone, few moves, and little
 * computation per change. */
#include "core/ownership.h"

#define ZONES   9
#define GROUPS  63
#define MEMBERS 90

/* Each group has three zones, and each zone the same number of groups. */
#define GROUPS_PER_ZONE (3 * GROUPS / ZONES)

static struct ownership_options options;

static struct member member_number(uint32_t number)
{
    return (struct member){
        .id = 1000003 * (uint64_t)number + 17,
        .zone = (uint16_t)(number % ZONES),
        .state = MEMBER_STATE_ALIVE,
    };
}

static struct ownership_group group_number(uint32_t number)
{
    struct ownership_group group = {.group = number, .zone_count = 3};
    for (uint32_t i = 0; i < 3; i++) {
        group.zones[i] = (uint16_t)((number + i) % ZONES);
    }
    return group;
}

static void set_groups(struct ownership *ownership)
{
    struct ownership_group groups[GROUPS];
    for (uint32_t i = 0; i < GROUPS; i++) {
        groups[i] = group_number(i);
    }
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_settled(ownership, true, changes);
    ownership_set_groups(ownership, groups, GROUPS, changes);
}

static void set_member(struct ownership *ownership, uint32_t number, enum member_state state,
                       bool leaving)
{
    struct member member = member_number(number);
    member.state = state;
    member.leaving = leaving;
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_member(ownership, &member, changes);
}

static void set_absent(struct ownership *ownership, uint32_t number, bool absent)
{
    struct member member = member_number(number);
    member.absent = absent;
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_member(ownership, &member, changes);
}

/* The same members added in another order, before the groups. */
static struct ownership *build_from_scratch(GRand *random, const bool *present)
{
    struct ownership *ownership = ownership_new(&options, member_number(0).id);
    uint32_t first = (uint32_t)g_rand_int_range(random, 0, MEMBERS);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        uint32_t number = (first + i * 7) % MEMBERS;
        if (present[number]) {
            set_member(ownership, number, MEMBER_STATE_ALIVE, false);
        }
    }
    set_groups(ownership);
    return ownership;
}

static void assert_same_owners(const struct ownership *a, const struct ownership *b)
{
    for (uint32_t i = 0; i < GROUPS; i++) {
        uint64_t owners[OWNERSHIP_OWNERS_MAX];
        uint64_t others[OWNERSHIP_OWNERS_MAX];
        size_t count = ownership_owners(a, i, owners);
        size_t other_count = ownership_owners(b, i, others);
        g_assert_cmpmem(owners, count * sizeof(uint64_t), others, other_count * sizeof(uint64_t));
        g_assert_cmpint(ownership_position(a, i), ==, ownership_position(b, i));
    }
}

/* Owners depend on the members only, not on the order of events. */
static void test_owners_do_not_depend_on_order(void)
{
    g_autoptr(GRand) random = g_rand_new_with_seed(7);
    bool present[MEMBERS] = {false};
    struct ownership *ownership = ownership_new(&options, member_number(0).id);
    set_groups(ownership);
    for (uint32_t step = 0; step < 600; step++) {
        uint32_t range = step < 200 ? 12 : MEMBERS;
        uint32_t number = (uint32_t)g_rand_int_range(random, 0, (gint32)range);
        bool leaving = g_rand_int_range(random, 0, 4) == 0;
        bool dead = g_rand_int_range(random, 0, 4) == 0;
        set_member(ownership, number, dead ? MEMBER_STATE_DEAD : MEMBER_STATE_ALIVE, leaving);
        present[number] = !dead && !leaving;
        struct ownership *scratch = build_from_scratch(random, present);
        assert_same_owners(ownership, scratch);
        ownership_free(scratch);
    }
    ownership_free(ownership);
}

/* Counts the groups of each member, by its number. */
static void count_owned(const struct ownership *ownership, uint32_t *owned)
{
    for (uint32_t i = 0; i < GROUPS; i++) {
        uint64_t owners[OWNERSHIP_OWNERS_MAX];
        size_t count = ownership_owners(ownership, i, owners);
        for (size_t j = 0; j < count; j++) {
            owned[(owners[j] - 17) / 1000003]++;
        }
    }
}

/* Twice the mean of a zone, rounded up. */
static uint32_t load_bound(uint32_t zone_members)
{
    return (2 * GROUPS_PER_ZONE + zone_members - 1) / zone_members;
}

/* No member owns more than twice the mean of its zone. */
static void test_load_is_bounded(void)
{
    struct ownership *ownership = ownership_new(&options, 0);
    set_groups(ownership);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
        uint32_t owned[MEMBERS] = {0};
        count_owned(ownership, owned);
        for (uint32_t j = 0; i >= 3 * ZONES && j <= i; j++) {
            uint32_t zone_members = (i - j % ZONES) / ZONES + 1;
            g_assert_cmpuint(owned[j], <=, load_bound(zone_members));
        }
    }
    ownership_free(ownership);
}

static void test_one_owner_in_each_zone(void)
{
    struct ownership *ownership = ownership_new(&options, 0);
    set_groups(ownership);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    for (uint32_t i = 0; i < GROUPS; i++) {
        uint64_t owners[OWNERSHIP_OWNERS_MAX];
        g_assert_cmpuint(ownership_owners(ownership, i, owners), ==, 3);
        for (uint32_t j = 0; j < 3; j++) {
            uint64_t number = (owners[j] - 17) / 1000003;
            g_assert_cmpuint(number % ZONES, ==, (i + j) % ZONES);
        }
    }
    ownership_free(ownership);
}

static void test_few_daemons_own_all(void)
{
    struct ownership *ownership = ownership_new(&options, member_number(2).id);
    set_groups(ownership);
    for (uint32_t i = 0; i < options.all_own_up_to; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    for (uint32_t i = 0; i < GROUPS; i++) {
        uint64_t owners[OWNERSHIP_OWNERS_MAX];
        g_assert_cmpuint(ownership_owners(ownership, i, owners), ==, options.all_own_up_to);
        g_assert_cmpint(ownership_position(ownership, i), >=, 0);
    }
    ownership_free(ownership);
}

/* Apart from the departing member's groups, only groups move that the load bound had assigned to
 * another member than the highest ranked. */
static void test_departure_moves_few_groups(void)
{
    uint32_t moved = 0;
    uint32_t owned_by_departing = 0;
    struct ownership *ownership = ownership_new(&options, 0);
    set_groups(ownership);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    for (uint32_t i = 0; i < MEMBERS; i++) {
        uint32_t owned[MEMBERS] = {0};
        count_owned(ownership, owned);
        struct member departing = member_number(i);
        departing.leaving = true;
        g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
        ownership_set_member(ownership, &departing, changes);
        g_assert_cmpuint(changes->len, >=, owned[i]);
        moved += changes->len;
        owned_by_departing += owned[i];
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    g_assert_cmpuint(owned_by_departing, ==, 3 * GROUPS);
    g_assert_cmpuint(moved, <=, 3 * GROUPS * 5 / 4);
    ownership_free(ownership);
}

/* Members 0 to 3, each the only one in its zone; `missing` and `absent` are applied in the given
 * order. */
static struct ownership *four_members(int32_t missing, int32_t absent, bool absent_first)
{
    struct ownership *ownership = ownership_new(&options, member_number(0).id);
    options.all_own_up_to = options.owners;
    set_groups(ownership);
    for (int32_t i = 0; i < 4; i++) {
        set_member(ownership, (uint32_t)i, MEMBER_STATE_ALIVE, false);
    }
    for (int step = 0; step < 2; step++) {
        if ((step == 0) == absent_first && absent >= 0) {
            set_absent(ownership, (uint32_t)absent, true);
        } else if ((step == 0) != absent_first && missing >= 0) {
            set_member(ownership, (uint32_t)missing, MEMBER_STATE_LEFT, false);
        }
    }
    ownership_options_default(&options);
    return ownership;
}

/* An absent member is replaced like one that left while there are enough others, else it keeps its
 * groups. Once it is back, the owners are as before. */
static void test_absent_member_is_replaced_if_possible(void)
{
    struct ownership *all = four_members(-1, -1, false);
    struct ownership *without = four_members(2, -1, false);
    struct ownership *absent = four_members(-1, 2, false);
    assert_same_owners(absent, without);
    set_absent(absent, 2, false);
    assert_same_owners(absent, all);
    struct ownership *two_left = four_members(3, -1, false);
    struct ownership *absent_last = four_members(3, 2, false);
    struct ownership *absent_first = four_members(3, 2, true);
    assert_same_owners(absent_last, two_left);
    assert_same_owners(absent_first, two_left);
    ownership_free(all);
    ownership_free(without);
    ownership_free(absent);
    ownership_free(two_left);
    ownership_free(absent_last);
    ownership_free(absent_first);
}

/* A new member needs rank computations of its own zone only. */
static void test_join_ranks_one_zone_only(void)
{
    struct ownership *ownership = ownership_new(&options, 0);
    set_groups(ownership);
    for (uint32_t i = 0; i + 1 < MEMBERS; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    uint64_t before = ownership_ranks_computed(ownership);
    set_member(ownership, MEMBERS - 1, MEMBER_STATE_ALIVE, false);
    uint64_t ranks = ownership_ranks_computed(ownership) - before;
    g_assert_cmpuint(ranks, <=, GROUPS_PER_ZONE * MEMBERS / ZONES);
    ownership_free(ownership);
}

static void test_groups_come_and_go(void)
{
    struct member self = member_number(0);
    struct ownership *ownership = ownership_new(&options, self.id);
    set_member(ownership, 0, MEMBER_STATE_ALIVE, false);
    set_groups(ownership);
    g_assert_cmpint(ownership_position(ownership, 5), ==, 0);
    struct ownership_group kept = group_number(5);
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_groups(ownership, &kept, 1, changes);
    g_assert_cmpuint(changes->len, ==, GROUPS - 1);
    g_assert_cmpint(ownership_position(ownership, 5), ==, 0);
    g_assert_cmpint(ownership_position(ownership, 6), ==, -1);
    ownership_free(ownership);
}

/* A new or partitioned daemon gains no group, keeps those that it has, and gives up those that it
 * lost. */
static void test_unsettled_daemon_gains_no_group(void)
{
    struct ownership *ownership = ownership_new(&options, member_number(0).id);
    set_groups(ownership);
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_settled(ownership, false, changes);
    set_member(ownership, 0, MEMBER_STATE_ALIVE, false);
    for (uint32_t i = 0; i < GROUPS; i++) {
        g_assert_cmpint(ownership_position(ownership, i), ==, -1);
    }
    ownership_set_settled(ownership, true, changes);
    g_assert_cmpuint(changes->len, ==, GROUPS);
    ownership_set_settled(ownership, false, changes);
    g_assert_cmpint(ownership_position(ownership, 0), ==, 0);
    for (uint32_t i = 1; i < MEMBERS; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    for (uint32_t i = 0; i < GROUPS; i++) {
        size_t count = ownership_owners(ownership, i, owners);
        bool owned = false;
        for (size_t j = 0; j < count; j++) {
            owned |= owners[j] == member_number(0).id;
        }
        g_assert_cmpint(ownership_position(ownership, i) >= 0, ==, owned);
    }
    ownership_free(ownership);
}

/* Each daemon prefers the owner in its own zone. Where there is none, each owner is preferred by an
 * equal share of the daemons, and always by the same ones. */
static void test_requesters_spread_over_owners(void)
{
    enum { REQUESTERS = 900, OWNERS = 3 };
    struct ownership_member owners[OWNERS];
    uint32_t preferred_by[OWNERS] = {0};
    for (uint32_t i = 0; i < OWNERS; i++) {
        owners[i] = (struct ownership_member){.id = member_number(i).id, .zone = (uint16_t)i};
    }
    for (uint32_t number = OWNERS; number < REQUESTERS + OWNERS; number++) {
        struct ownership_member requester = {.id = member_number(number).id,
                                             .zone = member_number(number).zone};
        uint32_t first = 0;
        for (uint32_t i = 1; i < OWNERS; i++) {
            int order = ownership_compare_for(&requester, &owners[first], &owners[i]);
            g_assert_cmpint(order, !=, 0);
            g_assert_cmpint(ownership_compare_for(&requester, &owners[i], &owners[first]), ==,
                            -order);
            first = order < 0 ? first : i;
        }
        if (requester.zone < OWNERS) {
            g_assert_cmpuint(first, ==, requester.zone);
        }
        preferred_by[first]++;
    }
    for (uint32_t i = 0; i < OWNERS; i++) {
        g_assert_cmpuint(preferred_by[i], >, REQUESTERS / OWNERS * 8 / 10);
        g_assert_cmpuint(preferred_by[i], <, REQUESTERS / OWNERS * 12 / 10);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ownership_options_default(&options);
    g_test_add_func("/ownership/owners-do-not-depend-on-order", test_owners_do_not_depend_on_order);
    g_test_add_func("/ownership/one-owner-in-each-zone", test_one_owner_in_each_zone);
    g_test_add_func("/ownership/few-daemons-own-all", test_few_daemons_own_all);
    g_test_add_func("/ownership/load-is-bounded", test_load_is_bounded);
    g_test_add_func("/ownership/departure-moves-few-groups", test_departure_moves_few_groups);
    g_test_add_func("/ownership/absent-member-is-replaced-if-possible",
                    test_absent_member_is_replaced_if_possible);
    g_test_add_func("/ownership/join-ranks-one-zone-only", test_join_ranks_one_zone_only);
    g_test_add_func("/ownership/groups-come-and-go", test_groups_come_and_go);
    g_test_add_func("/ownership/unsettled-daemon-gains-no-group",
                    test_unsettled_daemon_gains_no_group);
    g_test_add_func("/ownership/requesters-spread-over-owners", test_requesters_spread_over_owners);
    return g_test_run();
}
