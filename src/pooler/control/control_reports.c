/* Aggregation of the poolers' reports to the coordinator: for each group the reported faults of its
 * primary and the work open there, and for all groups which orders the poolers follow. */
#define G_LOG_DOMAIN "coordinator"
#include "pooler/control/control_internal.h"

static void
count_fault(const struct pooler_fault *fault, struct failover_faults *faults)
{
    switch (fault->kind) {
    case DATABASE_FAULT_UNREACHABLE:
    case DATABASE_FAULT_SILENT:
        faults->unreachable++;
        break;
    case DATABASE_FAULT_STALLED:
        faults->stalled++;
        break;
    case DATABASE_FAULT_REFUSING:
        faults->refusing++;
        break;
    default:
        break;
    }
}

static void
count_report(const struct pooler_group_report *report, const contact_t *contact, time_ns now,
             struct controlled_group *group)
{
    group->in_flight += report->in_flight;
    if (!contact_is_recent(contact, now)) {
        return;
    }
    group->reporters++;
    for (size_t i = 0; i < report->faults_count; i++) {
        const struct pooler_fault *fault = &report->faults[i];
        if (g_strcmp0(fault->database, group->failover->primary) == 0 &&
            fault_report_counts(contact, fault->age_ms, now)) {
            count_fault(fault, &group->faults);
        }
    }
}

static void
aggregate_pooler(struct control *control, const struct pooler_peer *pooler, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    control->orders_followed_by_all = MIN(control->orders_followed_by_all, pooler->orders_followed);
    if (now <= pooler->permit_until) {
        control->orders_followed_with_permit =
            MIN(control->orders_followed_with_permit, pooler->orders_followed);
    }
    g_hash_table_iter_init(&iterator, pooler->reports);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct pooler_group_report *report = value;
        struct controlled_group *group = g_hash_table_lookup(control->controlled, report->service);
        if (group != NULL) {
            count_report(report, &pooler->contact, now, group);
        }
    }
}

static void
collect_responsive(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct pooler_peer *pooler = value;
        if (contact_is_recent(&pooler->contact, now) && pooler->forward_address != NULL) {
            g_hash_table_add(control->responsive_addresses, pooler->forward_address);
        }
    }
}

/* Number of poolers with a recent heartbeat that hold connections to the group's databases. */
static uint32_t
count_connection_owners(struct control *control, const struct controlled_group *group, time_ns now)
{
    const struct service *service =
        configuration_service(control->configuration, group->failover->service);
    const fleet_owners_t *owners = service == NULL ? NULL : control_fleet_owners(control, service);
    uint32_t count = 0;
    if (g_hash_table_size(control->responsive_addresses) == 0) {
        collect_responsive(control, now);
    }
    if (owners == NULL || owners->direct) {
        return g_hash_table_size(control->responsive_addresses);
    }
    for (guint i = 0; i < owners->members->len; i++) {
        const fleet_member_t *owner = g_ptr_array_index(owners->members, i);
        count += g_hash_table_contains(control->responsive_addresses, owner->address);
    }
    return count;
}

/* One pass over the reports of all poolers. Its cost is proportional to the number of reports, and
 * not to the number of poolers times the number of groups. */
void
control_reports_aggregate(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_remove_all(control->responsive_addresses);
    control->orders_followed_with_permit = UINT64_MAX;
    control->orders_followed_by_all = UINT64_MAX;
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        group->faults = (struct failover_faults){0};
        group->reporters = 0;
        group->in_flight = 0;
    }
    g_hash_table_iter_init(&iterator, control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        aggregate_pooler(control, value, now);
    }
}

/* Counts the poolers that own connections of the group, and at least those that report on it:
 * others use it by direct fallback. Only done if there are reports. */
void
control_reports_count_poolers(struct control *control, struct controlled_group *group, time_ns now)
{
    if (group->reporters > 0) {
        group->faults.poolers = MAX(count_connection_owners(control, group, now), group->reporters);
    }
}
