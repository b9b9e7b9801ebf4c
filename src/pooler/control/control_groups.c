/* The groups that this coordinator controls. Passes the directory, the poolers' reports and the
 * databases' answers to each group's failover, and executes its commands. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/control_internal.h"
#include "wire/address.h"

#include <arpa/inet.h>
#include <inttypes.h>

#define RECORD_PREFIX "group/"

/* Idle control connections are closed after this time. */
#define CONNECTION_KEPT_NS (1500 * MS)

/* A new coordinator waits up to RECORDS_WAIT_NS, several store calls, for the records of
 * promotions. After that it queries the databases which of them leads. */
#define RECORDS_WAIT_NS  (300 * MS)
#define RECORDS_AGAIN_NS (100 * MS)

/* Interval of reading them after that. Until they are read, a primary is replaced only if it
 * reports that it stepped down. */
#define RECORDS_LATE_NS (500 * MS)

/* Maximum number of groups with low-priority status queries at a time: which database leads, or
 * whether replicas were left paused. Each group takes up to three connections and slots. With more
 * groups, on a machine of half a core, the answers of a thousand groups come so late that the
 * databases count as unresponsive. */
#define QUERYING_GROUPS_MAX 32

/* Length of a group's query slot, the time of two commands, and minimum time between the starts of
 * two slots of one group, twice that. Groups with unresponsive databases must not keep other groups
 * from sending their queries. */
#define QUERY_SLOT_NS       (600 * MS)
#define QUERY_SLOT_EVERY_NS (1200 * MS)

/* Interval of processing all groups. Active ones are processed on every tick. */
#define CHECK_EVERY_NS (100 * MS)

static struct controlled_group *
group_of(struct control *control, const struct failover *failover)
{
    return g_hash_table_lookup(control->controlled, failover->service);
}

static void
on_command_answered(void *user, const char *service, const char *database,
                    const struct database_report *report, bool refused)
{
    struct controlled_group *group = user;
    group->active = true;
    if (refused) {
        failover_refused(group->failover, database, backend_now());
    } else {
        failover_answered(group->failover, database, report, backend_now());
    }
    control_wake_soon(group->control);
}

static struct database_control *
connection_of(struct controlled_group *group, const char *database)
{
    struct database_control *connection = g_hash_table_lookup(group->connections, database);
    if (connection == NULL) {
        connection = database_control_new(group->control->base, group->failover->service, database,
                                          on_command_answered, group);
        g_hash_table_insert(group->connections, g_strdup(database), connection);
    }
    return connection;
}

static void
send_command(void *user, struct failover *failover, const char *database,
             enum database_command command, uint64_t term)
{
    struct control *control = user;
    struct controlled_group *group = group_of(control, failover);
    const struct directory_entry *entry = g_hash_table_lookup(control->directory.entries, database);
    if (entry == NULL) {
        failover_find(failover, database)->command_pending = false;
        return;
    }
    database_control_send(connection_of(group, database), &entry->address, command, term);
}

static void
on_recorded(void *user, const struct store_answer *answer)
{
    struct controlled_group *group = user;
    if (answer->outcome == STORE_CONFLICT) {
        /* Our own renewal may have changed the row. The answer has it, and names its holder. */
        control_lease_apply_answer(group->control, answer);
    }
    if (!group->recording_done && !group->retired) {
        failover_recorded(group->failover, answer->outcome == STORE_DONE, backend_now());
    }
    control_wake_soon(group->control);
    control_group_unref(group);
}

/* The call keeps a reference to the group, as the answer may come after the lease has ended. */
static void
record(void *user, struct failover *failover, bool done)
{
    struct control *control = user;
    struct controlled_group *group = group_of(control, failover);
    struct promotion_record record = {
        .service = failover->service,
        .candidate = done ? failover->primary : failover->candidate,
        .term = done ? failover->term : failover->fence_term,
        .token = control->lease.token,
        .done = done,
    };
    const struct failover_member *member = failover_find(failover, record.candidate);
    record.born_ms = member == NULL ? 0 : member->born_ms;
    if (control->lease.calling && !done) {
        /* A renewal is in progress, and changes the lease row that this write is conditional on. */
        failover_recorded(failover, false, backend_now());
        return;
    }
    GByteArray *bytes = promotion_record_encode(&record);
    g_autofree char *key = g_strconcat(RECORD_PREFIX, failover->service, NULL);
    struct store_put put = {key, bytes->data, bytes->len};
    group->recording_done = done;
    control_counts_call(&control->counts, STORE_TABLE_CONTROL, CALL_RECORD);
    g_autofree char *lease_key = control_lease_key(control);
    store_write(control->store, lease_key, control->lease.row_version, &put, 1, on_recorded,
                g_rc_box_acquire(group));
    g_byte_array_unref(bytes);
}

static void
promote(void *user, struct failover *failover, const char *candidate)
{
    control_orders_add(group_of(user, failover), candidate);
}

static void
publish(void *user, struct failover *failover)
{
    struct control *control = user;
    struct controlled_group *group = group_of(control, failover);
    group->active = true;
    group->orders_version = ++control->orders_version;
    control_coordinator_push(control);
    control_coordinator_wake(control);
}

static bool
closed(void *user, struct failover *failover)
{
    const struct control *control = user;
    const struct controlled_group *group = group_of(user, failover);
    return backend_now() > control->predecessor_permits_until &&
           control->orders_followed_with_permit >= group->orders_version;
}

static bool
drained(void *user, struct failover *failover)
{
    const struct control *control = user;
    const struct controlled_group *group = group_of(user, failover);
    return control->orders_followed_by_all >= group->orders_version && group->in_flight == 0;
}

static void
free_connection(gpointer data)
{
    database_control_free(data);
}

static void
clear_group(gpointer data)
{
    struct controlled_group *group = data;
    g_hash_table_unref(group->connections);
    g_clear_pointer(&group->membership, g_bytes_unref);
    failover_free(group->failover);
}

void
control_group_unref(struct controlled_group *group)
{
    g_rc_box_release_full(group, clear_group);
}

static void
release_group(gpointer data)
{
    control_group_unref(data);
}

/* Reads the group's newest record of a promotion. False if there is none, or if it is malformed,
 * which sets `unreadable`. */
static bool
read_record(const struct controlled_group *group, struct promotion_record *out, bool *unreadable)
{
    const struct feed *records = &group->control->feeds[STORE_TABLE_CONTROL];
    g_autofree char *key = g_strconcat(RECORD_PREFIX, group->failover->service, NULL);
    const struct known_row *row = g_hash_table_lookup(records->rows, key);
    g_autoptr(GError) error = NULL;
    promotion_record_init(out);
    *unreadable = false;
    if (row == NULL || row->gone) {
        return false;
    }
    gsize length = 0;
    const uint8_t *data = g_bytes_get_data(row->value, &length);
    if (!promotion_record_decode(data, length, out, &error)) {
        g_warning("Group %s: the record of its last promotion is malformed: %s.",
                  group->failover->service, error->message);
        *unreadable = true;
        return false;
    }
    return true;
}

/* True if the database of the record has not restarted since, as far as is known. */
static bool
is_same_start(const struct control *control, const struct promotion_record *record)
{
    const struct directory_entry *entry =
        g_hash_table_lookup(control->directory.entries, record->candidate);
    return record->born_ms == 0 || entry == NULL || entry->born_ms == record->born_ms;
}

/* True if the store certainly has the group's last promotion. A store that was restored from an
 * older copy may have lost records of earlier eras. Then a record counts as the last one only if it
 * is of the current era, and a group without a record may have had a promotion. */
static bool
is_last_record(const struct control *control, const struct promotion_record *record, bool recorded)
{
    bool current = recorded && record->token >> TOKEN_ERA_SHIFT == control->store_era;
    return control->store_era == 0 || current;
}

/* The database that certainly leads, found without a query; NULL if none is certain. Only
 * coordinators promote, each promotion is recorded first, and the records were read after the lease
 * was acquired. Therefore the database that was promoted last leads, or if there was no promotion,
 * the one that has led from the beginning, provided that it is the only one that reports in the
 * directory that it leads. */
static const char *
find_certain_leader(const struct controlled_group *group, const struct promotion_record *record,
                    bool recorded)
{
    const struct control *control = group->control;
    const char *leader = directory_leader(&control->directory, group->failover->service);
    bool agrees =
        !recorded || (g_strcmp0(leader, record->candidate) == 0 && is_same_start(control, record));
    bool certain = control->records_read && is_last_record(control, record, recorded);
    return certain && agrees ? leader : NULL;
}

static void
remove_member(struct controlled_group *group, const char *database)
{
    g_hash_table_remove(group->connections, database);
    failover_remove_member(group->failover, database);
}

void
control_group_note_start(struct controlled_group *group, const char *database, uint64_t born_ms,
                         time_ns now)
{
    if (failover_note_start(group->failover, database, born_ms, now)) {
        g_hash_table_remove(group->connections, database);
    }
}

static void
start_group(struct controlled_group *group, time_ns now)
{
    const struct control *control = group->control;
    struct failover *failover = group->failover;
    struct promotion_record record;
    bool unreadable = false;
    bool recorded = read_record(group, &record, &unreadable);
    bool same_start = recorded && is_same_start(control, &record);
    if (recorded) {
        bool resumes = !record.done && same_start && is_last_record(control, &record, recorded);
        failover_resume_promotion(failover, resumes ? record.candidate : NULL, record.term, now);
        control_group_note_start(group, record.candidate, record.born_ms, now);
    }
    bool unfinished = recorded && !record.done;
    if (recorded && record.done) {
        failover_note_recorded_primary(failover, record.candidate, record.born_ms, now);
    }
    control_membership_apply(group, now);
    const char *leader =
        unfinished || unreadable ? NULL : find_certain_leader(group, &record, recorded);
    if (leader != NULL) {
        failover_adopt_primary(failover, leader, recorded ? record.term : 0, now);
    }
    promotion_record_clear(&record);
}

/* True if the database has left and no longer counts as a member. It can't be paused, and as a
 * member would block every change of primary until its entry is dropped from the directory, sixteen
 * heartbeats later. A database that is only partitioned from the store still answers commands and
 * stays a member. So do the primary, as the number of its replicas depends on it, and a candidate
 * that was ordered to lead. */
static bool
has_left(const struct failover *failover, struct directory_entry *entry)
{
    if (entry->departed && failover_member_has_left(failover, entry->id, entry->deleted_at)) {
        entry->left = true;
    }
    return entry->left;
}

static void
remove_left_member(struct controlled_group *group, const char *database)
{
    struct failover *failover = group->failover;
    if (failover_find(failover, database) == NULL) {
        return;
    }
    remove_member(group, database);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_SERVICE", failover->service, "SW_DATABASE",
                     database, "MESSAGE", "Group %s: %s has left the group; %u members remain.",
                     failover->service, database, failover->members->len);
}

static void
log_joined(const struct controlled_group *group, const struct directory_entry *entry)
{
    g_autofree char *address = format_address(&entry->address);
    g_autofree char *born = g_strdup_printf("%" PRIu64, entry->born_ms);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_SERVICE", group->failover->service,
                     "SW_DATABASE", entry->id, "SW_BORN_MS", born, "MESSAGE",
                     "Group %s: %s at %s is a member, as a %s by its row.",
                     group->failover->service, entry->id, address,
                     entry->leads ? "primary" : "replica");
}

static uint64_t
endpoint_of(const struct directory_entry *entry)
{
    uint64_t address = ntohl(entry->address.sin_addr.s_addr);
    return address << 16 | ntohs(entry->address.sin_port);
}

static void
update_members(struct control *control, struct controlled_group *group, time_ns now)
{
    struct failover *failover = group->failover;
    for (guint i = failover->members->len; i > 0; i--) {
        struct failover_member *member = g_ptr_array_index(failover->members, i - 1);
        if (!g_hash_table_contains(control->directory.entries, member->id)) {
            g_autofree char *id = g_strdup(member->id);
            remove_member(group, id);
        }
    }
    const GPtrArray *entries = directory_group(&control->directory, failover->service);
    for (guint i = 0; i < entries->len; i++) {
        struct directory_entry *entry = g_ptr_array_index(entries, i);
        if (has_left(failover, entry)) {
            remove_left_member(group, entry->id);
            continue;
        }
        bool member = failover_find(failover, entry->id) != NULL;
        if (!member && group->started && entry->deleted_at != 0) {
            continue; /* dropped, as it has restarted under another id */
        }
        if (!member) {
            log_joined(group, entry);
        }
        failover_set_member(failover, entry->id, control_takes_work(control, entry, now),
                            entry->leads);
        failover_note_absent(failover, entry->id, entry->deleted_at);
        failover_note_endpoint(failover, entry->id, endpoint_of(entry));
        control_group_note_start(group, entry->id, entry->born_ms, now);
    }
}

static time_ns
lost_log_wait(const struct control *control)
{
    time_ns wait = control->settings->promotion.lost_log_wait_ms * MS;
    return wait == 0 ? FAILOVER_NO_LIMIT : wait;
}

static struct controlled_group *
add_group(struct control *control, const struct service *service, time_ns now)
{
    struct controlled_group *group = g_rc_box_new0(struct controlled_group);
    group->control = control;
    group->failover = failover_new(service->name, &control->failover_actions);
    group->failover->since = now;
    group->failover->epoch = control->lease.token << EPOCH_SHIFT;
    group->failover->sync_replicas = service->sync_replicas;
    group->failover->queries_deferred = true;
    group->failover->settled = false;
    group->failover->gone_after = control_directory_forget_age(control);
    group->failover->lost_log_wait = lost_log_wait(control);
    group->connections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_connection);
    g_hash_table_insert(control->controlled, group->failover->service, group);
    update_members(control, group, now);
    start_group(group, now);
    group->started = true;
    return group;
}

/* Of a group whose commits have waited for no replica, it is not known which ones hold them. */
static void
set_sync_replicas(struct controlled_group *group, uint32_t sync_replicas, time_ns now)
{
    bool began = group->failover->sync_replicas == 0 && sync_replicas > 0;
    group->failover->sync_replicas = sync_replicas;
    if (began) {
        failover_note_members_unrecorded(group->failover, now);
    }
}

static void
log_added(const struct control *control, unsigned added, unsigned known)
{
    g_autofree char *groups = g_strdup_printf("%u", added);
    g_autofree char *complete = g_strdup_printf("%u", known);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_GROUPS", groups, "SW_COMPLETE",
                     complete, "SW_RECORDS_READ", control->records_read ? "yes" : "no", "MESSAGE",
                     "%u groups added, %u of them with a complete record of their members.", added,
                     known);
}

static void
add_groups(struct control *control, time_ns now)
{
    unsigned added = 0;
    unsigned members_known = 0;
    bool known = control->records_read || now > control->records_until;
    if (control->configuration == NULL || !known) {
        return;
    }
    GPtrArray *services = control->configuration->services;
    for (guint i = 0; i < services->len; i++) {
        const struct service *service = g_ptr_array_index(services, i);
        struct controlled_group *group = g_hash_table_lookup(control->controlled, service->name);
        if (group == NULL) {
            group = add_group(control, service, now);
            added++;
            members_known += failover_members_are_known(group->failover);
        } else {
            set_sync_replicas(group, service->sync_replicas, now);
        }
    }
    if (added > 0) {
        log_added(control, added, members_known);
    }
}

/* Groups that were added without the records learn from them who else may hold commits. */
static void
apply_late_records(struct control *control)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        control_membership_apply(value, backend_now());
    }
}

static void on_records(void *user, const struct store_answer *answer);

/* Reads the records of promotions once more under the lease: an earlier coordinator may have
 * written some after this pooler last read them and before it acquired the lease. No other pooler
 * can write records since then. */
static void
read_records(struct control *control)
{
    control->records_token = control->lease.token;
    control->records_retry_at = 0;
    control_counts_call(&control->counts, STORE_TABLE_CONTROL, CALL_RECORD);
    store_read(control->store, STORE_TABLE_CONTROL, on_records, control);
}

static void
on_records(void *user, const struct store_answer *answer)
{
    struct control *control = user;
    if (!control->lease.held || control->records_token != control->lease.token) {
        return; /* the read was started under an earlier lease */
    }
    if (answer->outcome == STORE_DONE) {
        control_lease_apply_answer(control, answer);
        control->records_read = control->lease.held;
        apply_late_records(control);
    } else {
        time_ns now = backend_now();
        bool late = now > control->records_until;
        control->records_retry_at = now + (late ? RECORDS_LATE_NS : RECORDS_AGAIN_NS);
    }
    control_coordinator_wake(control);
}

void
control_groups_start(struct control *control)
{
    control->failover_actions = (struct failover_actions){
        send_command, record, promote, publish, closed, drained, control,
    };
    if (control->controlled == NULL) {
        control->controlled = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, release_group);
    }
    control->records_read = false;
    control->records_until = backend_now() + RECORDS_WAIT_NS;
    read_records(control);
}

/* Calls in progress keep a reference to the group, and ignore their result once it is retired. */
static gboolean
retire(gpointer key, gpointer value, gpointer user)
{
    struct controlled_group *group = value;
    group->retired = true;
    g_hash_table_remove_all(group->connections);
    return TRUE;
}

void
control_groups_end(struct control *control)
{
    if (control->controlled != NULL) {
        g_hash_table_foreach_remove(control->controlled, retire, NULL);
        control_orders_drop(control);
    }
}

static void
close_unused(struct controlled_group *group, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, group->connections);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        database_control_close_unused(value,
                                      now > CONNECTION_KEPT_NS ? now - CONNECTION_KEPT_NS : 0);
    }
}

/* Ends the query slots of groups that have no more queries or have used up their time. Returns the
 * number of groups whose slot continues. */
static unsigned
end_query_slots(struct control *control, time_ns now)
{
    unsigned querying = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        struct failover *failover = group->failover;
        bool over = now >= group->query_slot_at + QUERY_SLOT_NS || !failover_has_queries(failover);
        failover->queries_deferred = failover->queries_deferred || over;
        querying += !failover->queries_deferred;
        bool changing =
            failover->state != FAILOVER_WATCHING && failover->state != FAILOVER_SEARCHING;
        if (changing) {
            /* Replicas that the change leaves paused are queried at once after it. */
            group->query_slot_at = 0;
        }
    }
    return querying;
}

static unsigned
begin_query_slots(struct control *control, enum failover_state state, unsigned querying,
                  time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->controlled);
    while (querying < QUERYING_GROUPS_MAX && g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        struct failover *failover = group->failover;
        bool eligible =
            group->query_slot_at == 0 || now >= group->query_slot_at + QUERY_SLOT_EVERY_NS;
        if (failover->state == state && failover->queries_deferred && eligible &&
            failover_has_queries(failover)) {
            failover->queries_deferred = false;
            group->query_slot_at = now;
            querying++;
        }
    }
    return querying;
}

/* Lets a limited number of groups send low-priority status queries: first groups without a known
 * primary. */
static void
schedule_queries(struct control *control, time_ns now)
{
    unsigned querying = end_query_slots(control, now);
    querying = begin_query_slots(control, FAILOVER_SEARCHING, querying, now);
    begin_query_slots(control, FAILOVER_WATCHING, querying, now);
}

static void
update_group(struct control *control, struct controlled_group *group, time_ns now)
{
    struct failover *failover = group->failover;
    update_members(control, group, now);
    failover->settled = control->directory_settled && control->records_read;
    failover->members_as_of = control->feeds[STORE_TABLE_DIRECTORY].as_of;
    if (failover->state == FAILOVER_FENCING && failover->members_as_of < failover->since) {
        control_feed_read_soon(&control->feeds[STORE_TABLE_DIRECTORY], now);
    }
    control_reports_count_poolers(control, group, now);
    failover_tick(failover, &group->faults, now);
    close_unused(group, now);
    bool queries = !failover->queries_deferred && failover_has_queries(failover);
    group->active =
        failover->state != FAILOVER_WATCHING || failover->minority_since != 0 || queries;
}

void
control_groups_tick(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    bool all = now >= control->groups_checked_at + CHECK_EVERY_NS;
    if (all) {
        control->groups_checked_at = now;
    }
    if (control->records_retry_at != 0 && now >= control->records_retry_at) {
        read_records(control);
    }
    add_groups(control, now);
    control_reports_aggregate(control, now);
    schedule_queries(control, now);
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        if (all || group->active || group->reporters > 0) {
            update_group(control, group, now);
        }
    }
    control_membership_write(control, now);
}

void
control_groups_print_metrics(const struct control *control, GString *out)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    time_ns now = backend_now();
    if (control->controlled == NULL) {
        return;
    }
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct failover *failover = ((const struct controlled_group *)value)->failover;
        if (failover->blocked_since != 0) {
            g_string_append_printf(
                out, "swiftworks_primary_change_waits_seconds{service=\"%s\"} %.1f\n",
                failover->service,
                (double)(now - failover->blocked_since) / (double)NANOSECONDS_PER_SECOND);
        }
    }
}
