/* Ownership: the same owners from any order of events, one per zone, few moves, cheap changes. */
#include "core/ownership.h"

#define ZONES   9
#define GROUPS  60
#define MEMBERS 90

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

static void assert_same_as_from_scratch(const struct ownership *ownership, const bool *present,
                                        uint32_t count)
{
    struct ownership_member members[MEMBERS];
    size_t member_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (present[i]) {
            struct member member = member_number(i);
            members[member_count] = (struct ownership_member){member.id, member.zone};
            member_count++;
        }
    }
    for (uint32_t i = 0; i < GROUPS; i++) {
        struct ownership_group group = group_number(i);
        uint64_t expected[OWNERSHIP_OWNERS_MAX];
        uint64_t actual[OWNERSHIP_OWNERS_MAX];
        size_t expected_count =
            ownership_owners_of(&options, &group, members, member_count, expected);
        size_t actual_count = ownership_owners(ownership, i, actual);
        g_assert_cmpmem(actual, actual_count * sizeof(uint64_t), expected,
                        expected_count * sizeof(uint64_t));
    }
}

static void test_steps_equal_scratch(void)
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
        assert_same_as_from_scratch(ownership, present, MEMBERS);
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

static void test_a_leaver_moves_only_its_groups(void)
{
    struct ownership *ownership = ownership_new(&options, 0);
    set_groups(ownership);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    struct member leaver = member_number(4);
    size_t owned = 0;
    for (uint32_t i = 0; i < GROUPS; i++) {
        uint64_t owners[OWNERSHIP_OWNERS_MAX];
        size_t count = ownership_owners(ownership, i, owners);
        for (size_t j = 0; j < count; j++) {
            owned += owners[j] == leaver.id;
        }
    }
    leaver.leaving = true;
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(struct ownership_change));
    ownership_set_member(ownership, &leaver, changes);
    g_assert_cmpuint(changes->len, ==, owned);
    ownership_free(ownership);
}

/* A member that joins costs a few ranks per group, not one per group and member. */
static void test_a_join_is_cheap(void)
{
    struct ownership *ownership = ownership_new(&options, 0);
    set_groups(ownership);
    for (uint32_t i = 0; i + 1 < MEMBERS; i++) {
        set_member(ownership, i, MEMBER_STATE_ALIVE, false);
    }
    uint64_t before = ownership_ranks_computed(ownership);
    set_member(ownership, MEMBERS - 1, MEMBER_STATE_ALIVE, false);
    uint64_t ranks = ownership_ranks_computed(ownership) - before;
    g_assert_cmpuint(ranks, <, (uint64_t)GROUPS * MEMBERS / 3);
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

/* A fresh or cut-off daemon takes nothing new, keeps what it has, and gives up what it lost. */
static void test_unsettled_takes_nothing_new(void)
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

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ownership_options_default(&options);
    g_test_add_func("/ownership/steps-equal-scratch", test_steps_equal_scratch);
    g_test_add_func("/ownership/one-owner-in-each-zone", test_one_owner_in_each_zone);
    g_test_add_func("/ownership/few-daemons-own-all", test_few_daemons_own_all);
    g_test_add_func("/ownership/a-leaver-moves-only-its-groups",
                    test_a_leaver_moves_only_its_groups);
    g_test_add_func("/ownership/a-join-is-cheap", test_a_join_is_cheap);
    g_test_add_func("/ownership/groups-come-and-go", test_groups_come_and_go);
    g_test_add_func("/ownership/unsettled-takes-nothing-new", test_unsettled_takes_nothing_new);
    return g_test_run();
}
