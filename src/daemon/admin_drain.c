/* Progress of a drain; see the header. */
#include "daemon/admin_drain.h"

#include <string.h>

#include "backend/clock.h"
#include "daemon/admin_json.h"
#include "daemon/control.h"
#include "daemon/daemon.h"
#include "daemon/transaction.h"

/* Adds one owner's report. Returns true if the owner no longer uses the database. */
static bool add_owner(JsonBuilder *builder, struct group_runtime *group, uint64_t watcher,
                      const char *address, uint32_t database)
{
    bool known = false;
    bool unused = group_uses_is_unused(&group->uses, watcher, database, backend_now(), &known);
    json_builder_begin_object(builder);
    admin_json_text(builder, "address", address);
    admin_json_flag(builder, "known", known);
    admin_json_flag(builder, "unused", unused);
    json_builder_end_object(builder);
    return unused;
}

/* Returns the number of owners that do not use the database. */
static uint32_t add_owners(JsonBuilder *builder, struct daemon *daemon, struct group_runtime *group,
                           const struct owner_list *owners, uint32_t database)
{
    uint32_t unused = 0;
    json_builder_set_member_name(builder, "owners");
    json_builder_begin_array(builder);
    if (owners->self) {
        unused += add_owner(builder, group, owners->self_watcher,
                            daemon->settings.daemon.peer_listen, database);
    }
    for (uint32_t i = 0; i < owners->count; i++) {
        unused += add_owner(builder, group, owners->watchers[i], owners->addresses[i], database);
    }
    json_builder_end_array(builder);
    return unused;
}

/* Index of the database in the group's run time; database_count if it has none of this name. */
static uint32_t find_database(const struct group_runtime *group, const char *name)
{
    uint32_t index = 0;
    while (index < group->database_count &&
           strcmp(group->databases[index].configuration.name, name) != 0) {
        index++;
    }
    return index;
}

bool admin_drain_database(struct daemon *daemon, struct group_runtime *group, const char *name,
                          GString *out)
{
    uint32_t database = find_database(group, name);
    if (database == group->database_count) {
        return false;
    }
    g_autoptr(JsonBuilder) builder = json_builder_new();
    struct database_runtime *runtime = &group->databases[database];
    struct group_view view;
    struct owner_list owners;
    group_runtime_read_view(group, &view);
    control_owners_of(daemon->control, group->group->id, &owners);
    const struct database_status *status = &view.databases[database].status;
    uint32_t count = owners.count + owners.self;
    json_builder_begin_object(builder);
    admin_json_text(builder, "database", runtime->configuration.name);
    admin_json_flag(builder, "leaving", status->leaving);
    admin_json_text(builder, "role", database_role_text(status->role));
    admin_json_number(builder, "slots_in_use", atomic_load(&runtime->in_flight));
    admin_json_number(builder, "connections_in_use", pool_counters(runtime->pool).in_use);
    uint32_t unused = add_owners(builder, daemon, group, &owners, database);
    bool replica = status->role == DATABASE_ROLE_REPLICA;
    admin_json_number(builder, "owners_unused", unused);
    admin_json_number(builder, "owners_count", count);
    admin_json_flag(builder, "safe", owners.self && status->leaving && replica && unused == count);
    json_builder_end_object(builder);
    admin_json_finish(builder, out);
    return true;
}

/* True if this daemon announces itself to the others as leaving. */
static bool is_leaving(struct daemon *daemon)
{
    g_autoptr(GArray) members = control_list_members(daemon->control);
    for (guint i = 0; i < members->len; i++) {
        const struct control_member *member = &g_array_index(members, struct control_member, i);
        if (member->self) {
            return !member->usable;
        }
    }
    return false;
}

void admin_drain_daemon(struct daemon *daemon, GString *out)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    g_autoptr(GPtrArray) groups = daemon_list_groups(daemon);
    uint32_t transactions = transaction_table_count(daemon->transactions);
    bool leaving = is_leaving(daemon);
    bool empty = groups->len == 0 && !control_holds_groups(daemon->control);
    json_builder_begin_object(builder);
    admin_json_text(builder, "daemon", daemon->settings.daemon.name);
    admin_json_flag(builder, "leaving", leaving);
    admin_json_number(builder, "groups", groups->len);
    admin_json_number(builder, "transactions_open", transactions);
    admin_json_number(builder, "tasks_open", atomic_load(&daemon->tasks_open));
    admin_json_flag(builder, "safe", leaving && empty && transactions == 0);
    json_builder_end_object(builder);
    admin_json_finish(builder, out);
}
