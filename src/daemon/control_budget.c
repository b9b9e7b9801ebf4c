/* Handover of groups between owners; see the header. */
#define G_LOG_DOMAIN "budget"
#include "daemon/control_budget.h"

#include "backend/clock.h"
#include "core/handover.h"
#include "daemon/daemon.h"
#include "wire/datagram.h"

/* Interval at which the new owners are asked whether their pools are warm, and at which the ends of
 * connections are checked. */
#define RELEASE_STEP_MS 25

enum release_state {
    RELEASE_STATE_HANDING_OVER, /* served here until the new owners are warm */
    RELEASE_STATE_DRAINING,     /* only running requests continue */
};

/* A group that this daemon no longer owns but still has connections of. */
struct release {
    uint32_t group;
    enum release_state state;
    struct group_runtime *runtime; /* one reference */
    struct handover handover;
    uint32_t announced; /* bit per database whose release was announced to the owners */
};

struct control_budget {
    struct control *control;
    GPtrArray *releases; /* of struct release; at most one per group is HANDING_OVER */
    time_ns next_step_at;
};

static void free_release(gpointer data)
{
    struct release *release = data;
    group_runtime_unref(release->runtime);
    g_free(release);
}

struct control_budget *control_budget_new(struct control *control)
{
    struct control_budget *budget = g_new0(struct control_budget, 1);
    budget->control = control;
    budget->releases = g_ptr_array_new_with_free_func(free_release);
    return budget;
}

void control_budget_free(struct control_budget *budget)
{
    if (budget == NULL) {
        return;
    }
    g_ptr_array_unref(budget->releases);
    g_free(budget);
}

static uint32_t all_databases(const struct group_runtime *runtime)
{
    return (UINT32_C(1) << runtime->database_count) - 1;
}

/* Bit per database that is reachable from this daemon. */
static uint32_t reachable_databases(struct group_runtime *runtime)
{
    struct group_view view;
    uint32_t mask = 0;
    group_runtime_read_view(runtime, &view);
    for (uint32_t i = 0; i < view.database_count; i++) {
        mask |= (uint32_t)view.databases[i].reachable << i;
    }
    return mask;
}

/* The group's release that is still served here, or NULL. */
static struct release *find_handing_over(struct control_budget *budget, uint32_t group)
{
    for (guint i = 0; i < budget->releases->len; i++) {
        struct release *release = g_ptr_array_index(budget->releases, i);
        if (release->group == group && release->state == RELEASE_STATE_HANDING_OVER) {
            return release;
        }
    }
    return NULL;
}

static void send_notice(struct control_budget *budget, const struct sockaddr_in *to,
                        const struct budget_notice *notice)
{
    struct message message;
    message_init(&message, MESSAGE_KIND_BUDGET_NOTICE);
    message.budget_notice = *notice;
    message.budget_notice.sender = membership_self(budget->control->membership).id;
    message.budget_notice.deployment_hash = budget->control->daemon->deployment;
    control_send(budget->control, to, &message);
    message_clear(&message);
}

/* Copies the owners of a group other than this daemon into `owners` (OWNERS_MAX entries). */
static uint32_t other_owners(struct control_budget *budget, uint32_t group,
                             struct member_entry *owners)
{
    struct member_entry all[OWNERS_MAX];
    uint32_t all_count = 0;
    uint32_t count = 0;
    control_ownership_entries(budget->control, group, all, &all_count);
    for (uint32_t i = 0; i < all_count; i++) {
        if (!all[i].self) {
            owners[count++] = all[i];
        }
    }
    return count;
}

/* Asks an owner about the databases for which it has not yet reported to be warm. */
static void query_owner(struct control_budget *budget, const struct release *release,
                        const struct member_entry *owner, time_ns now)
{
    uint32_t databases = handover_databases_to_query(&release->handover, owner->id, now);
    for (uint32_t i = 0; i < release->runtime->database_count; i++) {
        struct budget_notice notice = {.group = release->group, .database = i, .asks = true};
        if ((databases & (UINT32_C(1) << i)) != 0) {
            send_notice(budget, &owner->address, &notice);
        }
    }
}

/* Asks the new owners and returns the state of the handover. */
static enum handover_state step_handover(struct control_budget *budget, struct release *release,
                                         time_ns now)
{
    struct member_entry owners[OWNERS_MAX];
    uint64_t ids[OWNERS_MAX];
    uint32_t count = other_owners(budget, release->group, owners);
    for (uint32_t i = 0; i < count; i++) {
        ids[i] = owners[i].id;
    }
    handover_set_owners(&release->handover, ids, count);
    handover_set_reachable(&release->handover, reachable_databases(release->runtime), now);
    for (uint32_t i = 0; i < count; i++) {
        query_owner(budget, release, &owners[i], now);
    }
    return handover_state(&release->handover, now);
}

/* From now on new requests go to the new owners. */
static void start_draining(struct control_budget *budget, struct release *release)
{
    release->state = RELEASE_STATE_DRAINING;
    control_groups_end(budget->control, release->group);
}

static void close_pools(struct release *release)
{
    for (uint32_t i = 0; i < release->runtime->database_count; i++) {
        pool_peer_warm(release->runtime->databases[i].pool);
    }
}

/* Announces to the owners of a database that this daemon's connection numbers are free. */
static void announce_released(struct control_budget *budget, const struct release *release,
                              uint32_t database)
{
    struct member_entry owners[OWNERS_MAX];
    uint32_t count = other_owners(budget, release->group, owners);
    struct budget_notice notice = {.group = release->group, .database = database, .released = true};
    for (uint32_t i = 0; i < count; i++) {
        send_notice(budget, &owners[i].address, &notice);
    }
}

static void record_released(struct control_budget *budget, const struct release *release)
{
    struct journal_entry entry = {.group = release->group, .database = -1};
    g_strlcpy(entry.kind, "connections_released", sizeof(entry.kind));
    g_strlcpy(entry.text, "by handover", sizeof(entry.text));
    journal_add(budget->control->journal, &entry);
}

/* Closes connections as the running requests end. Returns true if none is left. */
static bool drain(struct control_budget *budget, struct release *release, time_ns now)
{
    if (!group_runtime_is_shared(release->runtime) || now >= release->handover.until) {
        close_pools(release);
    }
    for (uint32_t i = 0; i < release->runtime->database_count; i++) {
        uint32_t bit = UINT32_C(1) << i;
        if ((release->announced & bit) == 0 &&
            pool_is_released(release->runtime->databases[i].pool)) {
            release->announced |= bit;
            announce_released(budget, release, i);
        }
    }
    return release->announced == all_databases(release->runtime) &&
           !group_runtime_is_shared(release->runtime);
}

/* Returns true if the release is complete. */
static bool step(struct control_budget *budget, struct release *release, time_ns now)
{
    if (release->state == RELEASE_STATE_HANDING_OVER) {
        enum handover_state state = step_handover(budget, release, now);
        if (state == HANDOVER_STATE_WAITING) {
            return false;
        }
        if (state == HANDOVER_STATE_TIMED_OUT) {
            g_message("Handover of group %u timed out: its new owners are not warm.",
                      release->group);
        }
        start_draining(budget, release);
    }
    return drain(budget, release, now);
}

static void step_all(struct control_budget *budget, time_ns now)
{
    for (guint i = budget->releases->len; i > 0; i--) {
        struct release *release = g_ptr_array_index(budget->releases, i - 1);
        if (step(budget, release, now)) {
            record_released(budget, release);
            g_ptr_array_remove_index_fast(budget->releases, i - 1);
        }
    }
    budget->next_step_at = now + RELEASE_STEP_MS * NANOSECONDS_PER_MILLISECOND;
}

static void set_position(struct group_runtime *runtime, int32_t position)
{
    for (uint32_t i = 0; i < runtime->database_count; i++) {
        /* Whether the old owner is alive is not known here. The safe assumption is that it is: then
         * the pool first opens the numbers reserved for handover. */
        pool_set_position(runtime->databases[i].pool, position, true);
    }
}

void control_budget_set_position(struct control_budget *budget, uint32_t group, int32_t position)
{
    struct release *release = find_handing_over(budget, group);
    struct group_runtime *runtime = control_groups_runtime(budget->control, group);
    if (release != NULL) {
        g_ptr_array_remove_fast(budget->releases, release);
    }
    if (runtime != NULL) {
        set_position(runtime, position);
    }
}

/* Maximum time for which a group is served after its loss, and then for which its pools may stay
 * open. */
static time_ns handover_max(const struct control_budget *budget)
{
    const struct settings *settings = &budget->control->daemon->settings;
    return settings->ownership.handover_max_ms * NANOSECONDS_PER_MILLISECOND;
}

void control_budget_release(struct control_budget *budget, uint32_t group)
{
    struct group_runtime *runtime = control_groups_runtime(budget->control, group);
    if (find_handing_over(budget, group) != NULL) {
        return;
    }
    struct release *release = g_new0(struct release, 1);
    release->group = group;
    release->runtime = group_runtime_ref(runtime);
    handover_init(&release->handover, runtime->database_count, handover_max(budget), backend_now());
    g_ptr_array_add(budget->releases, release);
    set_position(runtime, -1);
    budget->next_step_at = 0;
}

void control_budget_replace_runtime(struct control_budget *budget, uint32_t group)
{
    struct release *release = find_handing_over(budget, group);
    if (release != NULL) {
        /* No connections are opened for a group that is about to end. */
        start_draining(budget, release);
        return;
    }
    control_budget_set_position(budget, group,
                                ownership_position(budget->control->ownership, group));
}

/* Answers whether this daemon can serve from a database. */
static void answer(struct control_budget *budget, const struct budget_notice *request,
                   const struct sockaddr_in *from)
{
    struct group_runtime *runtime = control_groups_runtime(budget->control, request->group);
    if (runtime == NULL || request->database >= runtime->database_count) {
        return;
    }
    uint32_t reachable = reachable_databases(runtime);
    bool ready = (reachable & (UINT32_C(1) << request->database)) != 0 &&
                 pool_is_warm(runtime->databases[request->database].pool);
    struct budget_notice notice = {.group = request->group, .database = request->database};
    if (ready) {
        send_notice(budget, from, &notice);
    }
}

static void process_released(struct control_budget *budget, const struct budget_notice *notice)
{
    struct group_runtime *runtime = control_groups_runtime(budget->control, notice->group);
    if (runtime != NULL && notice->database < runtime->database_count) {
        pool_peer_released(runtime->databases[notice->database].pool);
    }
}

static void process_warm(struct control_budget *budget, const struct budget_notice *notice)
{
    struct release *release = find_handing_over(budget, notice->group);
    if (release != NULL) {
        handover_owner_warm(&release->handover, notice->sender, notice->database, backend_now());
        budget->next_step_at = 0;
    }
}

void control_budget_receive(struct control_budget *budget, const struct budget_notice *notice,
                            const struct sockaddr_in *from)
{
    if (notice->asks) {
        answer(budget, notice, from);
    } else if (notice->released) {
        process_released(budget, notice);
    } else {
        process_warm(budget, notice);
    }
}

void control_budget_tick(struct control_budget *budget, time_ns now)
{
    if (budget->releases->len > 0 && now >= budget->next_step_at) {
        step_all(budget, now);
    }
}

time_ns control_budget_next_wakeup(const struct control_budget *budget)
{
    return budget->releases->len > 0 ? budget->next_step_at : UINT64_MAX;
}
