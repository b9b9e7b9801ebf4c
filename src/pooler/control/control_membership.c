/* Records of the groups' members in the store. The directory shows only the databases that have a
 * row now. A coordinator that starts after others have ended must also know of databases that may
 * have confirmed commits and have left since, and which one was the primary: otherwise it could
 * promote a replica without these commits. The record of a group is written, under the lease, each
 * time that its members change.
 *
 * That a record is missing says nothing: the store may have refused it, or lost it as it was
 * restored. A record that was written without knowing an earlier one is therefore not complete,
 * until the group's replicas are known to hold all commits. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/control_internal.h"

#include <string.h>

#define MEMBERSHIP_PREFIX "members/"

/* Prefix of a row that an operator writes to give up the commits of databases that are lost for
 * good. Its value is the version of the record that names them, in decimal digits. It has no effect
 * on a later record, which may name others. */
#define GIVEN_UP_PREFIX "give-up/"

/* Maximum number of records in one write, and minimum interval between two writes. */
#define RECORDS_PER_WRITE 64
#define WRITE_EVERY_NS    (500 * MS)

/* A failed write is tried again after this time. */
#define WRITE_AGAIN_NS (500 * MS)

/* Maximum number of members in a record, as in the schema. */
#define RECORDED_MEMBERS_MAX 256

/* The record of one group in a write in progress. */
typedef struct written_record {
    struct controlled_group *group;
    char *key;
    GBytes *value;
    uint64_t revision; /* of the members that it contains */
} written_record_t;

typedef struct membership_write {
    struct control *control;
    uint64_t era; /* store era in which it was sent */
    GPtrArray *records;
} membership_write_t;

static void
free_written_record(gpointer data)
{
    written_record_t *record = data;
    control_group_unref(record->group);
    g_bytes_unref(record->value);
    g_free(record->key);
    g_free(record);
}

char *
control_membership_key(const struct controlled_group *group)
{
    return g_strconcat(MEMBERSHIP_PREFIX, group->failover->service, NULL);
}

const char *
control_membership_service(const char *key)
{
    return g_str_has_prefix(key, MEMBERSHIP_PREFIX) ? key + strlen(MEMBERSHIP_PREFIX) : NULL;
}

static void
fill_member(struct recorded_member *out, const char *id, uint64_t endpoint, uint64_t born_ms,
            bool absent, const struct confirmed_log *confirmed)
{
    *out = (struct recorded_member){
        .id = g_strdup(id), .endpoint = endpoint, .born_ms = born_ms, .absent = absent};
    if (absent) {
        out->term = confirmed->position.term;
        out->offset = confirmed->position.offset;
        out->final = confirmed->final;
    }
}

static int
compare_ids(const void *a, const void *b)
{
    return strcmp(((const struct recorded_member *)a)->id, ((const struct recorded_member *)b)->id);
}

/* Fills in one of the members, of which those that have departed come last. False if it has no
 * name. */
static bool
fill_nth(const struct failover *failover, guint index, struct recorded_member *out)
{
    guint present = failover->members->len;
    if (index < present) {
        const struct failover_member *member = g_ptr_array_index(failover->members, index);
        fill_member(out, member->id, member->endpoint, member->born_ms, member->absent_since != 0,
                    &member->confirmed);
        return true;
    }
    const struct departed_member *member = g_ptr_array_index(failover->departed, index - present);
    if (!member->unrecorded) {
        fill_member(out, member->id, member->endpoint, member->born_ms, true, &member->confirmed);
    }
    return !member->unrecorded;
}

/* Members are sorted, so that equal memberships have equal records. The members that no record
 * names are not among them: the record is incomplete instead. */
static GBytes *
encode_membership(const struct failover *failover, uint64_t era)
{
    const char *primary = failover_last_primary(failover);
    struct membership_record record;
    guint all = failover->members->len + failover->departed->len;
    membership_record_init(&record);
    record.service = g_strdup(failover->service);
    record.primary = g_strdup(primary == NULL ? "" : primary);
    record.members = g_new0(struct recorded_member, MIN(all, RECORDED_MEMBERS_MAX));
    record.replicas = failover->replicas_led;
    record.era = era;
    record.complete = failover_members_are_known(failover) && all <= RECORDED_MEMBERS_MAX;
    for (guint i = 0; i < all && record.members_count < RECORDED_MEMBERS_MAX; i++) {
        record.members_count += fill_nth(failover, i, &record.members[record.members_count]);
    }
    qsort(record.members, record.members_count, sizeof record.members[0], compare_ids);
    GBytes *bytes = g_byte_array_free_to_bytes(membership_record_encode(&record));
    membership_record_clear(&record);
    return bytes;
}

static uint64_t
recorded_start(const struct membership_record *record, const char *id)
{
    for (size_t i = 0; i < record->members_count; i++) {
        if (g_strcmp0(record->members[i].id, id) == 0) {
            return record->members[i].born_ms;
        }
    }
    return 0;
}

static void
apply_record(struct controlled_group *group, const struct membership_record *record, time_ns now)
{
    struct failover *failover = group->failover;
    /* An empty text is decoded as NULL. */
    if (failover->recorded_primary == NULL && record->primary != NULL) {
        failover_note_recorded_primary(failover, record->primary,
                                       recorded_start(record, record->primary), now);
    }
    if (failover->replicas_led == 0) {
        failover->replicas_led = record->replicas;
    }
    for (size_t i = 0; i < record->members_count; i++) {
        const struct recorded_member *member = &record->members[i];
        if (member->id == NULL) {
            continue;
        }
        const struct confirmed_log confirmed = {{member->term, member->offset}, member->final};
        control_group_note_start(group, member->id, member->born_ms, now);
        failover_note_recorded_member(failover, member->id, member->endpoint, member->born_ms,
                                      confirmed, now);
    }
}

/* True if an operator has given up the commits of the databases that this record names. */
static bool
is_given_up(const struct controlled_group *group, const struct known_row *record)
{
    const struct feed *rows = &group->control->feeds[STORE_TABLE_CONTROL];
    g_autofree char *key = g_strconcat(GIVEN_UP_PREFIX, group->failover->service, NULL);
    const struct known_row *row = g_hash_table_lookup(rows->rows, key);
    if (row == NULL || row->gone) {
        return false;
    }
    gsize length = 0;
    const char *data = g_bytes_get_data(row->value, &length);
    g_autofree char *text = g_strndup(data, length);
    guint64 version = 0;
    return store_era(row->version) == store_era(record->version) &&
           g_ascii_string_to_unsigned(g_strstrip(text), 10, 0, G_MAXUINT64, &version, NULL) &&
           version == store_number(record->version);
}

/* Applies a value of the group's record. False if it is malformed or incomplete. */
static bool
apply_value(struct controlled_group *group, GBytes *value, time_ns now)
{
    g_autoptr(GError) error = NULL;
    struct membership_record record;
    membership_record_init(&record);
    gsize length = 0;
    const uint8_t *data = g_bytes_get_data(value, &length);
    bool valid = membership_record_decode(data, length, &record, &error);
    if (valid) {
        apply_record(group, &record, now);
    } else {
        g_warning("Group %s: the record of its members is malformed: %s.", group->failover->service,
                  error->message);
    }
    /* A record of an earlier era is as old as the copy that the store was restored from. */
    bool complete = valid && record.complete && record.era == group->control->store_era;
    membership_record_clear(&record);
    return complete;
}

/* Applies the group's record, the lease row's if that has a newer one. False if there is none, or
 * it is malformed or incomplete. */
static bool
apply_stored(struct controlled_group *group, time_ns now)
{
    const struct control *control = group->control;
    const struct feed *records = &control->feeds[STORE_TABLE_CONTROL];
    g_autofree char *key = control_membership_key(group);
    const struct known_row *row = g_hash_table_lookup(records->rows, key);
    bool exists = row != NULL && !row->gone;
    g_autoptr(GBytes) newer = control_unwritten_find(control, key, exists ? row->version : 0);
    if (newer != NULL) {
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", group->failover->service,
                         "MESSAGE",
                         "Group %s: the newest record of its members is in the lease row.",
                         group->failover->service);
        return apply_value(group, newer, now);
    }
    if (!exists) {
        return false;
    }
    bool complete = apply_value(group, row->value, now);
    g_clear_pointer(&group->membership, g_bytes_unref);
    group->membership = g_bytes_ref(row->value);
    group->membership_era = store_era(row->version);
    if (is_given_up(group, row)) {
        failover_give_up_departed(group->failover);
        return true;
    }
    return complete;
}

/* Token of the first lease that the store ever had. */
#define FIRST_TOKEN 1

/* True if the group starts for the first time, with its primary in sight: there has been no
 * coordinator whose record could be missing. */
static bool
is_first_start(const struct controlled_group *group)
{
    const struct control *control = group->control;
    g_autofree char *key = control_membership_key(group);
    return control->lease.token == FIRST_TOKEN &&
           g_hash_table_lookup(control->feeds[STORE_TABLE_CONTROL].rows, key) == NULL &&
           directory_leader(&control->directory, group->failover->service) != NULL;
}

void
control_membership_apply(struct controlled_group *group, time_ns now)
{
    struct failover *failover = group->failover;
    if (group->membership_applied) {
        return;
    }
    group->membership_applied = group->control->records_read;
    /* Where the lease row had no room for all records, each one may be out of date. */
    bool omitted = group->control->lease.record.unwritten_omitted;
    bool read = group->control->records_read;
    bool complete = read && (apply_stored(group, now) || is_first_start(group));
    if (complete && !omitted) {
        failover_note_members_recorded(failover);
    } else {
        failover_note_members_unrecorded(failover, now);
    }
}

static void
on_written(void *user, const struct store_answer *answer)
{
    membership_write_t *write = user;
    struct control *control = write->control;
    bool done = answer->outcome == STORE_DONE;
    control->membership_calling = false;
    control_counts_answer(&control->counts, STORE_TABLE_CONTROL, CALL_RECORD, answer->bytes);
    if (answer->outcome == STORE_CONFLICT) {
        /* Our own renewal may have changed the row. The answer has it, and names its holder. */
        control_lease_apply_answer(control, answer);
    }
    if (!done) {
        control->membership_due_at = backend_now() + WRITE_AGAIN_NS;
    }
    for (guint i = 0; i < write->records->len; i++) {
        written_record_t *record = g_ptr_array_index(write->records, i);
        struct controlled_group *group = record->group;
        if (done) {
            g_clear_pointer(&group->membership, g_bytes_unref);
            group->membership = g_bytes_ref(record->value);
            group->membership_era = write->era;
            group->membership_revision = record->revision;
        }
    }
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_OUTCOME",
                     store_outcome_name(answer->outcome), "MESSAGE",
                     "The members of %u groups were recorded, first %s: %s.", write->records->len,
                     ((written_record_t *)g_ptr_array_index(write->records, 0))->key,
                     store_outcome_name(answer->outcome));
    g_ptr_array_unref(write->records);
    g_free(write);
}

GBytes *
control_membership_pending(struct controlled_group *group)
{
    const struct failover *failover = group->failover;
    bool same_era = group->membership_era == group->control->store_era;
    if (same_era && group->membership_revision == failover->membership_revision) {
        return NULL;
    }
    GBytes *value = encode_membership(failover, group->control->store_era);
    if (same_era && group->membership != NULL && g_bytes_equal(group->membership, value)) {
        group->membership_revision = failover->membership_revision;
        g_bytes_unref(value);
        return NULL;
    }
    return value;
}

/* The group's record, if the store does not have it; NULL if it does. */
static written_record_t *
pending_record(struct controlled_group *group)
{
    GBytes *value = control_membership_pending(group);
    if (value == NULL) {
        return NULL;
    }
    written_record_t *record = g_new0(written_record_t, 1);
    record->group = g_rc_box_acquire(group);
    record->key = control_membership_key(group);
    record->value = value;
    record->revision = group->failover->membership_revision;
    return record;
}

static GPtrArray *
pending_records(struct control *control)
{
    GPtrArray *records = g_ptr_array_new_with_free_func(free_written_record);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->controlled);
    while (records->len < RECORDS_PER_WRITE && g_hash_table_iter_next(&iterator, NULL, &value)) {
        written_record_t *record = pending_record(value);
        if (record != NULL) {
            g_ptr_array_add(records, record);
        }
    }
    return records;
}

/* Without the records of earlier coordinators, a write could drop members that only these know. A
 * renewal in progress changes the lease row that the write is conditional on. */
static bool
may_write(const struct control *control, time_ns now)
{
    return control->records_read && !control->membership_calling && !control->lease.calling &&
           now >= control->membership_due_at;
}

void
control_membership_write(struct control *control, time_ns now)
{
    if (!may_write(control, now)) {
        return;
    }
    GPtrArray *records = pending_records(control);
    if (records->len == 0) {
        g_ptr_array_unref(records);
        return;
    }
    struct store_put puts[RECORDS_PER_WRITE];
    for (guint i = 0; i < records->len; i++) {
        const written_record_t *record = g_ptr_array_index(records, i);
        gsize length = 0;
        const void *data = g_bytes_get_data(record->value, &length);
        puts[i] = (struct store_put){record->key, data, length};
    }
    membership_write_t *write = g_new0(membership_write_t, 1);
    write->control = control;
    write->era = control->store_era;
    write->records = records;
    control->membership_calling = true;
    control->membership_due_at = now + WRITE_EVERY_NS;
    control_counts_call(&control->counts, STORE_TABLE_CONTROL, CALL_RECORD);
    g_autofree char *lease_key = control_lease_key(control);
    store_write(control->store, lease_key, control->lease.row_version, puts, records->len,
                on_written, write);
}
