/* Counters of store calls and of bytes between poolers. See control_counts.h. */
#include "pooler/control/control_counts.h"

#include <string.h>

/* Estimated bytes of an order, a member and a row in a message beside their texts and values: keys
 * and numbers in CBOR. The rest of a message's true length is counted under the message's own kind.
 */
#define ORDER_FIXED  16
#define MEMBER_FIXED 8
#define ROW_FIXED    12

static const char *const reason_names[CALL_REASON_COUNT] = {"coordinator", "follower",    "start",
                                                            "forgotten",   "missing",     "untold",
                                                            "lease_look",  "lease_write", "record"};

static const char *const kind_names[PEER_BYTES_COUNT] = {"heartbeat", "grant", "hearsay",
                                                         "orders",    "fleet", "rows"};

static const char *const direction_names[PEER_DIRECTIONS] = {"sent", "received"};

static const char *const table_names[STORE_TABLE_COUNT] = {"configuration", "directory", "control"};

void
control_counts_call(control_counts_t *counts, enum store_table table, call_reason_t reason)
{
    counts->calls[table][reason]++;
}

void
control_counts_answer(control_counts_t *counts, enum store_table table, call_reason_t reason,
                      uint64_t bytes)
{
    counts->answered[table][reason] += bytes;
}

static size_t
text_length(const char *text)
{
    return text == NULL ? 0 : strlen(text);
}

static uint64_t
bytes_of_rows(const struct pooler_relay *relay)
{
    uint64_t bytes = 0;
    for (size_t i = 0; i < relay->rows_count; i++) {
        bytes += ROW_FIXED + text_length(relay->rows[i].key) + relay->rows[i].value_length;
    }
    return bytes;
}

static uint64_t
bytes_of_orders(const struct pooler_grant *grant)
{
    uint64_t bytes = grant->news_length;
    for (size_t i = 0; i < grant->groups_count; i++) {
        const struct pooler_group_order *order = &grant->groups[i];
        bytes += ORDER_FIXED + text_length(order->service) + text_length(order->primary);
    }
    return bytes;
}

static uint64_t
bytes_of_fleet(const struct pooler_fleet *fleet)
{
    uint64_t bytes = 0;
    for (size_t i = 0; i < fleet->members_count; i++) {
        const struct pooler_member *member = &fleet->members[i];
        bytes += MEMBER_FIXED + text_length(member->address) + text_length(member->zone);
    }
    return bytes;
}

/* Counts one part of a message, and subtracts it from the message's remaining bytes. */
static void
count_part(control_counts_t *counts, peer_direction_t direction, peer_bytes_t kind, uint64_t bytes,
           uint64_t *left)
{
    uint64_t part = MIN(bytes, *left);
    counts->bytes[direction][kind] += part;
    *left -= part;
}

void
control_counts_grant(control_counts_t *counts, peer_direction_t direction, peer_bytes_t kind,
                     const struct pooler_grant *grant, size_t length)
{
    uint64_t left = length;
    uint64_t rows = bytes_of_rows(&grant->relay) + grant->tables_length;
    count_part(counts, direction, PEER_BYTES_ROWS, rows, &left);
    count_part(counts, direction, PEER_BYTES_ORDERS, bytes_of_orders(grant), &left);
    count_part(counts, direction, PEER_BYTES_FLEET, bytes_of_fleet(&grant->fleet), &left);
    count_part(counts, direction, kind, left, &left);
}

void
control_counts_heartbeat(control_counts_t *counts, peer_direction_t direction,
                         const struct pooler_heartbeat *heartbeat, size_t length)
{
    uint64_t left = length;
    count_part(counts, direction, PEER_BYTES_ROWS, bytes_of_rows(&heartbeat->relay), &left);
    count_part(counts, direction, PEER_BYTES_HEARTBEAT, left, &left);
}

uint64_t
control_counts_sent(const control_counts_t *counts)
{
    uint64_t sum = 0;
    for (int kind = 0; kind < PEER_BYTES_COUNT; kind++) {
        sum += counts->bytes[PEER_SENT][kind];
    }
    return sum;
}

static void
append(GString *text, const char *name, uint64_t count)
{
    if (count > 0) {
        g_string_append_printf(text, "%s%s=%" G_GUINT64_FORMAT, text->len > 0 ? " " : "", name,
                               count);
    }
}

char *
control_counts_print_calls(const control_counts_t *counts)
{
    GString *text = g_string_new(NULL);
    for (int reason = 0; reason < CALL_REASON_COUNT; reason++) {
        uint64_t sum = 0;
        for (int table = 0; table < STORE_TABLE_COUNT; table++) {
            sum += counts->calls[table][reason];
        }
        append(text, reason_names[reason], sum);
    }
    return g_string_free(text, FALSE);
}

char *
control_counts_print_answers(const control_counts_t *counts)
{
    GString *text = g_string_new(NULL);
    for (int table = 0; table < STORE_TABLE_COUNT; table++) {
        for (int reason = 0; reason < CALL_REASON_COUNT; reason++) {
            g_autofree char *name =
                g_strdup_printf("%s.%s", table_names[table], reason_names[reason]);
            append(text, name, counts->answered[table][reason]);
        }
    }
    return g_string_free(text, FALSE);
}

char *
control_counts_print_bytes(const control_counts_t *counts, peer_direction_t direction)
{
    GString *text = g_string_new(NULL);
    for (int kind = 0; kind < PEER_BYTES_COUNT; kind++) {
        append(text, kind_names[kind], counts->bytes[direction][kind]);
    }
    return g_string_free(text, FALSE);
}

static void
print_store(const control_counts_t *counts, GString *out, enum store_table table,
            call_reason_t reason)
{
    if (counts->calls[table][reason] == 0) {
        return;
    }
    g_string_append_printf(
        out, "swiftworks_store_calls_total{table=\"%s\",reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
        table_names[table], reason_names[reason], counts->calls[table][reason]);
    g_string_append_printf(out,
                           "swiftworks_store_bytes_received_total{table=\"%s\",reason=\"%s\"} "
                           "%" G_GUINT64_FORMAT "\n",
                           table_names[table], reason_names[reason],
                           counts->answered[table][reason]);
}

void
control_counts_print_metrics(const control_counts_t *counts, GString *out)
{
    for (int table = 0; table < STORE_TABLE_COUNT; table++) {
        for (int reason = 0; reason < CALL_REASON_COUNT; reason++) {
            print_store(counts, out, (enum store_table)table, (call_reason_t)reason);
        }
    }
    g_string_append_printf(out,
                           "swiftworks_tables_sent_total %" G_GUINT64_FORMAT
                           "\nswiftworks_tables_received_total %" G_GUINT64_FORMAT "\n",
                           counts->tables_sent, counts->tables_received);
    g_string_append_printf(out, "swiftworks_records_unusable_total %" G_GUINT64_FORMAT "\n",
                           counts->records_unusable);
    for (int direction = 0; direction < PEER_DIRECTIONS; direction++) {
        for (int kind = 0; kind < PEER_BYTES_COUNT; kind++) {
            g_string_append_printf(
                out, "swiftworks_peer_bytes_%s_total{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
                direction_names[direction], kind_names[kind], counts->bytes[direction][kind]);
        }
    }
}
