/* Distribution of group status: which daemons get updates, for how long, and that no older status
 * is accepted. */
#include "core/dissemination.h"

#define SECONDS(n) ((n)*NANOSECONDS_PER_SECOND)
#define SELF       1
#define GROUP      9

static struct dissemination *new_owner(const uint64_t *owners, size_t count)
{
    struct dissemination_options options;
    dissemination_options_default(&options);
    struct dissemination *dissemination = dissemination_new(&options, SELF);
    dissemination_set_owners(dissemination, GROUP, count > 0, owners, count);
    return dissemination;
}

static struct group_status status_of(uint64_t term, uint32_t revision, uint64_t sender)
{
    return (struct group_status){
        .group = GROUP,
        .term = term,
        .revision = revision,
        .primary = 1,
        .sender = sender,
    };
}

/* True if a status was sent to this daemon, as update or as acknowledgement. */
static bool sent_to(const GArray *sends, uint64_t to, bool acknowledge)
{
    for (guint i = 0; i < sends->len; i++) {
        const struct dissemination_send *send = &g_array_index(sends, struct dissemination_send, i);
        if (send->to == to && send->status.acknowledge == acknowledge) {
            return true;
        }
    }
    return false;
}

static void test_owners_and_recent_forwarders_get_updates(void)
{
    const uint64_t owners[] = {SELF, 2, 3};
    struct dissemination *dissemination = new_owner(owners, 3);
    dissemination_note_forwarder(dissemination, GROUP, 40, SECONDS(1));
    dissemination_note_forwarder(dissemination, GROUP, 41, SECONDS(50));
    dissemination_note_forwarder(dissemination, GROUP, 2, SECONDS(50));
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    struct group_status status = status_of(5, 1, 0);
    g_assert_true(dissemination_publish(dissemination, &status, SECONDS(70), sends));
    g_assert_cmpuint(sends->len, ==, 3);
    g_assert_true(sent_to(sends, 2, false));
    g_assert_true(sent_to(sends, 3, false));
    g_assert_true(sent_to(sends, 41, false));
    g_assert_cmpuint(dissemination_forwarders(dissemination), ==, 2);
    dissemination_free(dissemination);
}

static void test_repeated_until_acknowledged(void)
{
    const uint64_t owners[] = {SELF, 2, 3};
    struct dissemination *dissemination = new_owner(owners, 3);
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    struct group_status status = status_of(5, 1, 0);
    dissemination_publish(dissemination, &status, SECONDS(1), sends);
    struct group_status answer = status_of(5, 1, 2);
    answer.acknowledge = true;
    g_array_set_size(sends, 0);
    g_assert_false(dissemination_receive(dissemination, &answer, SECONDS(1), sends));
    g_assert_cmpuint(sends->len, ==, 0);
    uint32_t repeats = 0;
    for (int i = 0; i < 30; i++) {
        time_ns wakeup = dissemination_next_wakeup(dissemination);
        if (wakeup == UINT64_MAX) {
            break;
        }
        g_array_set_size(sends, 0);
        dissemination_tick(dissemination, wakeup, sends);
        g_assert_false(sent_to(sends, 2, false));
        repeats += sent_to(sends, 3, false);
    }
    g_assert_cmpuint(repeats, ==, 7);
    g_assert_cmpuint(dissemination_next_wakeup(dissemination), ==, UINT64_MAX);
    dissemination_free(dissemination);
}

static void test_owner_forwards_update_once(void)
{
    const uint64_t owners[] = {SELF, 2, 3};
    struct dissemination *dissemination = new_owner(owners, 3);
    dissemination_note_forwarder(dissemination, GROUP, 40, SECONDS(1));
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    struct group_status status = status_of(5, 1, 2);
    g_assert_true(dissemination_receive(dissemination, &status, SECONDS(2), sends));
    g_assert_true(sent_to(sends, 2, true));
    g_assert_true(sent_to(sends, 3, false));
    g_assert_true(sent_to(sends, 40, false));
    g_assert_false(sent_to(sends, 2, false));
    g_array_set_size(sends, 0);
    g_assert_false(dissemination_receive(dissemination, &status, SECONDS(2), sends));
    g_assert_cmpuint(sends->len, ==, 1);
    dissemination_free(dissemination);
}

/* The sender of an old status gets the current one. */
static void test_older_is_ignored_but_acknowledged(void)
{
    struct dissemination *dissemination = new_owner(NULL, 0);
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    struct group_status newer = status_of(6, 2, 2);
    struct group_status older = status_of(6, 1, 3);
    dissemination_receive(dissemination, &newer, SECONDS(1), sends);
    g_array_set_size(sends, 0);
    g_assert_false(dissemination_receive(dissemination, &older, SECONDS(2), sends));
    const struct dissemination_send *send = &g_array_index(sends, struct dissemination_send, 0);
    g_assert_cmpuint(send->to, ==, 3);
    g_assert_cmpuint(send->status.revision, ==, 2);
    struct group_status known;
    g_assert_true(dissemination_status(dissemination, GROUP, &known));
    g_assert_cmpuint(known.revision, ==, 2);
    dissemination_free(dissemination);
}

/* Statuses in any order: the known one never goes back, unless the check is disabled. Returns how
 * often it did. */
static uint32_t count_reverts(bool take_older)
{
    struct dissemination_options options;
    dissemination_options_default(&options);
    options.take_older = take_older;
    struct dissemination *dissemination = dissemination_new(&options, SELF);
    g_autoptr(GRand) random = g_rand_new_with_seed(5);
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    uint32_t reverts = 0;
    uint64_t highest = 0;
    for (int step = 0; step < 1000; step++) {
        uint64_t term = (uint64_t)g_rand_int_range(random, 1, 50);
        struct group_status status = status_of(term, 1, 2);
        dissemination_receive(dissemination, &status, SECONDS(1), sends);
        struct group_status known;
        g_assert_true(dissemination_status(dissemination, GROUP, &known));
        reverts += known.term < highest;
        highest = MAX(highest, known.term);
    }
    dissemination_free(dissemination);
    return reverts;
}

static void test_never_goes_back(void)
{
    uint32_t reverts = count_reverts(false);
    uint32_t reverts_without_check = count_reverts(true);
    g_assert_cmpuint(reverts, ==, 0);
    g_assert_cmpuint(reverts_without_check, >, 0);
}

/* A former owner sends no updates and keeps no forwarders. */
static void test_former_owner_has_no_list(void)
{
    const uint64_t owners[] = {SELF, 2, 3};
    struct dissemination *dissemination = new_owner(owners, 3);
    dissemination_note_forwarder(dissemination, GROUP, 40, SECONDS(1));
    dissemination_set_owners(dissemination, GROUP, false, NULL, 0);
    dissemination_note_forwarder(dissemination, GROUP, 41, SECONDS(1));
    g_assert_cmpuint(dissemination_forwarders(dissemination), ==, 0);
    g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(struct dissemination_send));
    struct group_status status = status_of(5, 1, 0);
    g_assert_true(dissemination_publish(dissemination, &status, SECONDS(1), sends));
    g_assert_cmpuint(sends->len, ==, 0);
    dissemination_free(dissemination);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/dissemination/owners-and-recent-forwarders-get-updates",
                    test_owners_and_recent_forwarders_get_updates);
    g_test_add_func("/dissemination/repeated-until-acknowledged", test_repeated_until_acknowledged);
    g_test_add_func("/dissemination/owner-forwards-update-once", test_owner_forwards_update_once);
    g_test_add_func("/dissemination/older-is-ignored-but-acknowledged",
                    test_older_is_ignored_but_acknowledged);
    g_test_add_func("/dissemination/never-goes-back", test_never_goes_back);
    g_test_add_func("/dissemination/former-owner-has-no-list", test_former_owner_has_no_list);
    return g_test_run();
}
