/**
 * @file
 * @brief The control thread's counters of bytes by content, which show an operator what uses the
 * capacity of a link.
 */
#include "pooler/control/control_counts.h"

#include <string.h>

static struct pooler_grant
make_grant(size_t orders, size_t members, size_t row_bytes)
{
    struct pooler_grant grant;
    pooler_grant_init(&grant);
    grant.coordinator = g_strdup("a");
    grant.groups = g_new0(struct pooler_group_order, orders + 1);
    for (; grant.groups_count < orders; grant.groups_count++) {
        grant.groups[grant.groups_count] =
            (struct pooler_group_order){.service = g_strdup("orders-database"),
                                        .epoch = UINT64_C(7) << 32,
                                        .primary = g_strdup("i-0123456789"),
                                        .term = 1};
    }
    grant.fleet.members = g_new0(struct pooler_member, members + 1);
    for (; grant.fleet.members_count < members; grant.fleet.members_count++) {
        grant.fleet.members[grant.fleet.members_count] = (struct pooler_member){
            .address = g_strdup("10.1.2.3:7001"), .zone = g_strdup("north-a"), .workers = 1};
    }
    if (row_bytes > 0) {
        grant.relay.rows = g_new0(struct pooler_row, 1);
        grant.relay.rows_count = 1;
        grant.relay.rows[0] = (struct pooler_row){.key = g_strdup("k"),
                                                  .version = 9,
                                                  .value = g_malloc0(row_bytes),
                                                  .value_length = row_bytes};
    }
    return grant;
}

static uint64_t
count_grant(control_counts_t *counts, size_t orders, size_t members, size_t row_bytes)
{
    struct pooler_grant grant = make_grant(orders, members, row_bytes);
    GByteArray *message = pooler_grant_encode(&grant);
    uint64_t length = message->len;
    control_counts_grant(counts, PEER_SENT, PEER_BYTES_GRANT, &grant, length);
    g_byte_array_unref(message);
    pooler_grant_clear(&grant);
    return length;
}

/* Bytes that this part alone adds to an empty message. */
static uint64_t
encoded_size(size_t orders, size_t members, size_t row_bytes)
{
    control_counts_t scratch = {0};
    return count_grant(&scratch, orders, members, row_bytes) - count_grant(&scratch, 0, 0, 0);
}

static void
assert_within_a_tenth(uint64_t counted, uint64_t real)
{
    g_assert_cmpuint(counted, >=, real - real / 10);
    g_assert_cmpuint(counted, <=, real + real / 10);
}

/* One message to a new pooler with all orders, the fleet and some rows: each part is counted under
 * its kind, within a tenth of its true size, and the sum is the length of the message. */
static void
test_parts_of_a_message(void)
{
    control_counts_t counts = {0};
    uint64_t full = count_grant(&counts, 1000, 300, 20000);
    const uint64_t *sent = counts.bytes[PEER_SENT];
    assert_within_a_tenth(sent[PEER_BYTES_ORDERS], encoded_size(1000, 0, 0));
    assert_within_a_tenth(sent[PEER_BYTES_FLEET], encoded_size(0, 300, 0));
    assert_within_a_tenth(sent[PEER_BYTES_ROWS], encoded_size(0, 0, 20000));
    g_assert_cmpuint(sent[PEER_BYTES_GRANT], <, full / 10);
    g_assert_cmpuint(sent[PEER_BYTES_GRANT] + sent[PEER_BYTES_ORDERS] + sent[PEER_BYTES_FLEET] +
                         sent[PEER_BYTES_ROWS],
                     ==, full);
    g_assert_cmpuint(counts.bytes[PEER_RECEIVED][PEER_BYTES_GRANT], ==, 0);
}

/* Bytes of store answers are counted by table and reason. */
static void
test_answers_of_the_store(void)
{
    control_counts_t counts = {0};
    control_counts_call(&counts, STORE_TABLE_CONFIGURATION, CALL_MISSING);
    control_counts_answer(&counts, STORE_TABLE_CONFIGURATION, CALL_MISSING, 600000);
    control_counts_answer(&counts, STORE_TABLE_CONFIGURATION, CALL_MISSING, 100);
    g_autofree char *text = control_counts_print_answers(&counts);
    g_assert_cmpstr(text, ==, "configuration.missing=600100");
    g_autoptr(GString) out = g_string_new(NULL);
    control_counts_print_metrics(&counts, out);
    g_assert_nonnull(strstr(out->str,
                            "swiftworks_store_bytes_received_total{table=\"configuration\","
                            "reason=\"missing\"} 600100\n"));
    g_assert_nonnull(strstr(out->str, "swiftworks_peer_bytes_received_total{kind=\"fleet\"} 0\n"));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/counts/parts-of-a-message", test_parts_of_a_message);
    g_test_add_func("/pooler/counts/answers-of-the-store", test_answers_of_the_store);
    return g_test_run();
}
