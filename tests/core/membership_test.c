/* Datagrams of membership: bounded in size for any number of members, and dropped if invalid or
 * from another deployment. */
#include "core/membership.h"

#include <string.h>

#include "core/deployment.h"

#define MEMBERS 400

/* The value with the longest encoding. */
#define OWN_DEPLOYMENT UINT32_MAX

/* Adds many members through datagrams as another daemon would send them. */
static void add_members(struct membership *membership, struct membership_actions *actions)
{
    for (uint32_t i = 0; i < MEMBERS; i++) {
        struct gossip_message message;
        gossip_message_init(&message);
        message.kind = GOSSIP_KIND_PING;
        message.deployment = 1;
        message.sequence = i;
        message.sender = (struct gossip_member){
            .member = UINT64_C(0xF000000000000000) + i,
            .start = UINT64_C(1) << 40,
            .incarnation = 70000,
            .address = 0xC0A80000 + i,
            .port = 40000,
            .zone = i % 40,
            .region = 30,
            .configuration_version = UINT64_C(1) << 33,
        };
        message.configuration_hash = UINT64_MAX;
        struct member_address from = {message.sender.address, 40000};
        membership_receive(membership, &message, from, NANOSECONDS_PER_SECOND + i, actions);
    }
}

static void check_sizes(const struct membership_actions *actions)
{
    for (size_t i = 0; i < membership_actions_count(actions); i++) {
        const struct membership_action *action = membership_actions_get(actions, i);
        if (action->kind != MEMBERSHIP_ACTION_SEND) {
            continue;
        }
        struct message message;
        message_init(&message, MESSAGE_KIND_GOSSIP);
        message.gossip = action->message;
        g_autoptr(GByteArray) bytes = message_encode(&message);
        g_assert_cmpuint(bytes->len, <=, MEMBERSHIP_DATAGRAM_MAX);
        struct message decoded;
        g_autoptr(GError) error = NULL;
        g_assert_true(message_decode(bytes->data, bytes->len, &decoded, &error));
        g_assert_cmpuint(decoded.gossip.deployment, ==, MEMBERSHIP_DEPLOYMENT_FIXED);
        g_assert_cmpuint(decoded.gossip.deployment_hash, ==, OWN_DEPLOYMENT);
        g_assert_cmpuint(decoded.gossip.updates_count, ==, action->message.updates_count);
        message_clear(&decoded);
    }
}

static struct membership *new_membership(void)
{
    struct membership_options options;
    membership_options_default(&options);
    options.deployment = OWN_DEPLOYMENT;
    struct membership_self self = {
        .id = membership_id_of_name("one"),
        .start = UINT64_C(1) << 40,
        .address = {0x7F000001, 7946},
        .zone = 3,
        .region = 30,
    };
    return membership_new(&options, &self, NANOSECONDS_PER_SECOND);
}

static void test_datagrams_are_bounded(void)
{
    struct membership *membership = new_membership();
    struct membership_actions *actions = membership_actions_new();
    add_members(membership, actions);
    check_sizes(actions);
    size_t sent = 0;
    for (int i = 0; i < 200; i++) {
        membership_actions_clear(actions);
        membership_tick(membership, membership_next_wakeup(membership), actions);
        check_sizes(actions);
        sent += membership_actions_count(actions);
    }
    g_assert_cmpuint(sent, >, 200);
    membership_actions_free(actions);
    membership_free(membership);
}

/* The reply to a sync from a daemon without members is bounded in datagrams, too. */
static void test_sync_reply_is_bounded(void)
{
    struct membership *membership = new_membership();
    struct membership_actions *actions = membership_actions_new();
    add_members(membership, actions);
    membership_actions_clear(actions);
    struct gossip_message message;
    gossip_message_init(&message);
    message.kind = GOSSIP_KIND_SYNC;
    message.deployment = 1;
    message.sender = (struct gossip_member){.member = 77, .start = 1, .address = 9, .port = 9};
    message.digests = g_new0(uint32_t, 32);
    message.digests_count = 32;
    struct member_address from = {9, 9};
    membership_receive(membership, &message, from, 2 * NANOSECONDS_PER_SECOND, actions);
    struct membership_options options;
    membership_options_default(&options);
    size_t datagrams = 0;
    for (size_t i = 0; i < membership_actions_count(actions); i++) {
        datagrams += membership_actions_get(actions, i)->kind == MEMBERSHIP_ACTION_SEND;
    }
    g_assert_cmpuint(datagrams, ==, options.sync_datagrams);
    check_sizes(actions);
    gossip_message_clear(&message);
    membership_actions_free(actions);
    membership_free(membership);
}

/* Updates with fields out of range, from a foreign or faulty sender, are dropped. */
static void test_invalid_updates_are_dropped(void)
{
    struct membership *membership = new_membership();
    struct membership_actions *actions = membership_actions_new();
    struct gossip_member updates[] = {
        {.member = 0, .start = 1, .address = 1, .port = 1},
        {.member = 5, .start = 1, .address = 1, .port = 70000},
        {.member = 6, .start = 1, .address = 1, .port = 1, .zone = 63},
        {.member = 7, .start = 1, .address = 1, .port = 1, .region = 70000},
    };
    struct gossip_message message;
    gossip_message_init(&message);
    message.kind = GOSSIP_KIND_PUSH;
    message.deployment = 1;
    message.sender = (struct gossip_member){.member = 77, .start = 1, .address = 9, .port = 9};
    message.updates = updates;
    message.updates_count = G_N_ELEMENTS(updates);
    struct member_address from = {9, 9};
    membership_receive(membership, &message, from, 2 * NANOSECONDS_PER_SECOND, actions);
    g_assert_cmpuint(membership_count(membership), ==, 2);
    membership_actions_free(actions);
    membership_free(membership);
}

/* True if a datagram of this deployment is accepted. */
static bool is_accepted(uint32_t deployment)
{
    struct membership *membership = new_membership();
    struct membership_actions *actions = membership_actions_new();
    struct gossip_message message;
    gossip_message_init(&message);
    message.kind = GOSSIP_KIND_PING;
    message.deployment = MEMBERSHIP_DEPLOYMENT_FIXED;
    message.deployment_hash = deployment;
    message.sender = (struct gossip_member){.member = 77, .start = 1, .address = 9, .port = 9};
    struct member_address from = {9, 9};
    membership_receive(membership, &message, from, 2 * NANOSECONDS_PER_SECOND, actions);
    struct member member;
    bool accepted = membership_find(membership, 77, &member);
    g_assert_true(accepted == (membership_actions_count(actions) > 0));
    membership_actions_free(actions);
    membership_free(membership);
    return accepted;
}

/* A daemon of another deployment gets no reply and no entry in the list. One of an older version,
 * without a deployment in its messages, gets both. */
static void test_other_deployment_is_dropped(void)
{
    bool own = is_accepted(OWN_DEPLOYMENT);
    bool unnamed = is_accepted(DEPLOYMENT_UNNAMED);
    bool another = is_accepted(deployment_hash("another"));
    g_assert_true(own);
    g_assert_true(unnamed);
    g_assert_false(another);
}

/* Different names have different hashes; an empty name equals a missing one. */
static void test_deployment_hash(void)
{
    g_assert_cmpuint(deployment_hash(""), ==, DEPLOYMENT_UNNAMED);
    g_assert_cmpuint(deployment_hash("one"), !=, DEPLOYMENT_UNNAMED);
    g_assert_true(deployment_differs(deployment_hash("one"), deployment_hash("two")));
    g_assert_false(deployment_differs(deployment_hash("one"), deployment_hash("one")));
    g_assert_false(deployment_differs(deployment_hash(""), deployment_hash("two")));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/membership/datagrams-are-bounded", test_datagrams_are_bounded);
    g_test_add_func("/membership/sync-reply-is-bounded", test_sync_reply_is_bounded);
    g_test_add_func("/membership/other-deployment-is-dropped", test_other_deployment_is_dropped);
    g_test_add_func("/membership/deployment-hash", test_deployment_hash);
    g_test_add_func("/membership/invalid-updates-are-dropped", test_invalid_updates_are_dropped);
    return g_test_run();
}
