/* The control of one group; see the header. */
#define G_LOG_DOMAIN "failover"
#include "pooler/failover.h"

#include <inttypes.h>
#include <string.h>

#define MS NANOSECONDS_PER_MILLISECOND

/* Time between two commands to one database. */
#define ASK_EVERY_NS     (120 * MS)
#define SEARCH_EVERY_NS  (400 * MS)
#define CONFIRM_EVERY_NS (40 * MS)
#define CONFIRM_FIRST_NS (150 * MS)

/* Longest time that open work has before a planned change closes the primary. */
#define DRAIN_MAX_NS (900 * MS)

/* A primary that some poolers can't reach, while most can, is replaced after this. */
#define MINORITY_MAX_NS (900 * MS)

/* Least time between two changes for want of acknowledgements; doubles with each. */
#define STALL_WAIT_MIN_NS (4000 * MS)
#define STALL_WAIT_MAX_NS (60000 * MS)

/* Search without anybody leading, before another database is promoted. */
#define SEARCH_MAX_NS (600 * MS)

/* An ordered promotion that has no effect is ordered again after this. */
#define ORDER_AGAIN_NS    (1500 * MS)
#define ORDER_RETRY_NS    (50 * MS)
#define CANDIDATE_DEAD_NS (1200 * MS)
#define EXCLUDED_NS       (1500 * MS)

/* A report older than this says nothing of now. */
#define REPORT_FRESH_NS (400 * MS)

static const char *const state_names[] = {"searching", "watching",  "draining",  "fencing",
                                          "recording", "promoting", "confirming"};

const char *failover_state_name(enum failover_state state)
{
    return state_names[state];
}

static void free_member(gpointer data)
{
    struct failover_member *member = data;
    g_free(member->id);
    g_free(member);
}

struct failover *failover_new(const char *service, const struct failover_actions *actions)
{
    struct failover *failover = g_new0(struct failover, 1);
    failover->service = g_strdup(service);
    failover->actions = actions;
    failover->members = g_ptr_array_new_with_free_func(free_member);
    failover->phase = GROUP_PHASE_UNKNOWN;
    return failover;
}

void failover_free(struct failover *failover)
{
    g_ptr_array_unref(failover->members);
    g_free(failover->service);
    g_free(failover->primary);
    g_free(failover->candidate);
    g_free(failover);
}

static struct failover_member *member_at(const struct failover *failover, guint index)
{
    return g_ptr_array_index(failover->members, index);
}

struct failover_member *failover_find(const struct failover *failover, const char *id)
{
    for (guint i = 0; id != NULL && i < failover->members->len; i++) {
        if (strcmp(member_at(failover, i)->id, id) == 0) {
            return member_at(failover, i);
        }
    }
    return NULL;
}

void failover_set_member(struct failover *failover, const char *id, bool takes_work,
                         bool says_leads)
{
    struct failover_member *member = failover_find(failover, id);
    if (member == NULL) {
        member = g_new0(struct failover_member, 1);
        member->id = g_strdup(id);
        g_ptr_array_add(failover->members, member);
    }
    member->listed = true;
    member->takes_work = takes_work;
    member->says_leads = says_leads;
}

void failover_remove_member(struct failover *failover, const char *id)
{
    struct failover_member *member = failover_find(failover, id);
    if (member != NULL) {
        g_ptr_array_remove(failover->members, member);
    }
}

static bool is_primary(const struct failover *failover, const struct failover_member *member)
{
    return failover->primary != NULL && strcmp(failover->primary, member->id) == 0;
}

static void set_state(struct failover *failover, enum failover_state state, time_ns now)
{
    if (failover->state != state) {
        g_autofree char *epoch = g_strdup_printf("%" PRIu64, failover->epoch);
        g_autofree char *term = g_strdup_printf("%" PRIu64, failover->term);
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_SERVICE", failover->service,
                         "SW_EPOCH", epoch, "SW_TERM", term, "SW_PRIMARY",
                         failover->primary == NULL ? "" : failover->primary, "SW_CANDIDATE",
                         failover->candidate == NULL ? "" : failover->candidate, "MESSAGE",
                         "Group %s: %s, before %s.", failover->service, state_names[state],
                         state_names[failover->state]);
    }
    failover->state = state;
    failover->since = now;
}

static void publish(struct failover *failover, enum group_phase phase)
{
    failover->phase = phase;
    failover->epoch++;
    failover->actions->publish(failover->actions->user, failover);
}

static void ask(struct failover *failover, struct failover_member *member,
                enum database_command command, uint64_t term, time_ns now)
{
    member->asking = true;
    member->asked_at = now;
    failover->actions->ask(failover->actions->user, failover, member->id, command, term);
}

/* Asks unless a command is under way or was sent too lately. */
static void ask_every(struct failover *failover, struct failover_member *member,
                      enum database_command command, uint64_t term, time_ns every, time_ns now)
{
    if (!member->asking && now >= member->asked_at + every) {
        ask(failover, member, command, term, now);
    }
}

static void note_term(struct failover *failover, const struct database_report *report)
{
    failover->term = MAX(failover->term, report->term);
    failover->term = MAX(failover->term, report->received.term);
}

static void open_primary(struct failover *failover, struct failover_member *member, time_ns now)
{
    bool same = is_primary(failover, member);
    if (!same) {
        g_free(failover->primary);
        failover->primary = g_strdup(member->id);
    }
    failover->minority_since = 0;
    set_state(failover, FAILOVER_WATCHING, now);
    g_clear_pointer(&failover->candidate, g_free);
    publish(failover, GROUP_PHASE_OPEN);
}

/* The one that leads in the newest term by a fresh report; NULL if there is none. */
static struct failover_member *find_leader(const struct failover *failover, time_ns now)
{
    struct failover_member *leader = NULL;
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = member_at(failover, i);
        bool leads = member->has_report && member->answered && member->report.leads &&
                     member->report.term >= failover->term &&
                     now < member->reported_at + REPORT_FRESH_NS;
        if (leads && (leader == NULL || member->report.term > leader->report.term)) {
            leader = member;
        }
    }
    return leader;
}

static uint32_t members_count(const struct failover *failover)
{
    return failover->members->len;
}

/* So many replicas must be paused where the old primary can't be asked. Only one replica is counted
 * on to hold a commit, whatever more a service asks for: no database tells how many it waited for.
 */
static uint32_t pauses_needed(const struct failover *failover)
{
    uint32_t count = members_count(failover);
    return failover->sync_replicas == 0 || count <= 1 ? 1 : count - 1;
}

static void start_fencing(struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        member_at(failover, i)->fenced = false;
        member_at(failover, i)->asked_at = 0;
    }
    failover->fence_term = failover->term + 1;
    set_state(failover, FAILOVER_FENCING, now);
    publish(failover, GROUP_PHASE_CLOSED);
}

static void begin_change(struct failover *failover, bool planned, const char *why, time_ns now)
{
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_SERVICE", failover->service,
                     "SW_PRIMARY", failover->primary == NULL ? "" : failover->primary, "MESSAGE",
                     "Group %s changes its primary: %s.", failover->service, why);
    failover->minority_since = 0;
    if (planned) {
        set_state(failover, FAILOVER_DRAINING, now);
        publish(failover, GROUP_PHASE_DRAINING);
    } else {
        start_fencing(failover, now);
    }
}

void failover_continue(struct failover *failover, const char *candidate, uint64_t term,
                       uint64_t epoch, time_ns now)
{
    failover->term = MAX(failover->term, term);
    failover->epoch = MAX(failover->epoch, epoch);
    if (candidate == NULL) {
        return;
    }
    g_free(failover->candidate);
    failover->candidate = g_strdup(candidate);
    failover->fence_term = term;
    set_state(failover, FAILOVER_RECORDING, now);
    publish(failover, GROUP_PHASE_CLOSED);
    failover->actions->record(failover->actions->user, failover, false);
}

void failover_answered(struct failover *failover, const char *database,
                       const struct database_report *report, time_ns now)
{
    struct failover_member *member = failover_find(failover, database);
    if (member == NULL) {
        return;
    }
    member->asking = false;
    member->answered = report != NULL;
    if (report == NULL) {
        if (member->failing_since == 0) {
            member->failing_since = now;
        }
        return;
    }
    member->failing_since = 0;
    member->has_report = true;
    member->report = *report;
    member->reported_at = now;
    note_term(failover, report);
    if (failover->state == FAILOVER_FENCING) {
        bool paused = !report->leads && report->paused_term >= failover->fence_term;
        bool stepped_down = is_primary(failover, member) && !report->leads;
        member->fenced = paused || stepped_down;
    }
}

/* ---- searching ---- */

static bool all_reported(const struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = member_at(failover, i);
        bool heard =
            member->has_report && member->answered && now < member->reported_at + SEARCH_EVERY_NS;
        if (!heard && member->failing_since == 0) {
            return false;
        }
    }
    return failover->members->len > 0;
}

static bool enough_answer(const struct failover *failover)
{
    uint32_t answering = 0;
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = member_at(failover, i);
        answering += member->answered && !is_primary(failover, member);
    }
    return answering >= pauses_needed(failover);
}

static void search(struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        ask_every(failover, member_at(failover, i), DATABASE_COMMAND_STATUS, 0, SEARCH_EVERY_NS,
                  now);
    }
    struct failover_member *leader = find_leader(failover, now);
    if (leader != NULL && all_reported(failover, now)) {
        open_primary(failover, leader, now);
        return;
    }
    bool nobody = leader == NULL && all_reported(failover, now) && enough_answer(failover);
    if (nobody && now > failover->since + SEARCH_MAX_NS) {
        begin_change(failover, false, "nobody leads", now);
    }
}

/* ---- watching ---- */

static struct failover_member *primary_of(const struct failover *failover)
{
    return failover_find(failover, failover->primary);
}

/* Members that were paused and left so, as by an earlier coordinator or during a partition, receive
 * again, and one that was replaced and still leads steps down. Each is asked once after the primary
 * was opened, however late it can be reached. */
static void settle_members(struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = member_at(failover, i);
        bool heard = member->has_report && member->reported_at >= failover->since;
        if (is_primary(failover, member)) {
            continue;
        }
        bool paused = member->has_report && member->report.paused_term != 0;
        bool replaced = heard && member->report.leads && member->report.term < failover->term;
        if (replaced) {
            ask_every(failover, member, DATABASE_COMMAND_STEP_DOWN, failover->term, ASK_EVERY_NS,
                      now);
        } else if (paused) {
            ask_every(failover, member, DATABASE_COMMAND_RESUME, 0, ASK_EVERY_NS, now);
        } else if (!heard) {
            ask_every(failover, member, DATABASE_COMMAND_STATUS, 0, SEARCH_EVERY_NS, now);
        }
    }
}

static bool has_ready_replica(const struct failover *failover)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = member_at(failover, i);
        if (member->takes_work && !is_primary(failover, member)) {
            return true;
        }
    }
    return false;
}

/* Asks the primary, and the others, so that no change begins that can't be carried out. */
static void examine(struct failover *failover, time_ns now)
{
    for (guint i = 0; i < failover->members->len; i++) {
        ask_every(failover, member_at(failover, i), DATABASE_COMMAND_STATUS, 0, ASK_EVERY_NS, now);
    }
}

static bool replicas_answer(const struct failover *failover, time_ns now)
{
    uint32_t answering = 0;
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = member_at(failover, i);
        answering += !is_primary(failover, member) && member->answered && member->has_report &&
                     now < member->reported_at + REPORT_FRESH_NS;
    }
    return answering >= pauses_needed(failover);
}

static bool check_leaving(struct failover *failover, time_ns now)
{
    const struct failover_member *primary = primary_of(failover);
    if (primary == NULL) {
        begin_change(failover, false, "the primary has left", now);
        return true;
    }
    if (!primary->takes_work && has_ready_replica(failover)) {
        begin_change(failover, true, "the primary is leaving", now);
        return true;
    }
    return false;
}

static void check_faults(struct failover *failover, const struct failover_opinion *opinion,
                         time_ns now)
{
    struct failover_member *primary = primary_of(failover);
    bool doubted = opinion->unreachable + opinion->stalled + opinion->refusing > 0;
    if (!doubted) {
        failover->minority_since = 0;
        return;
    }
    examine(failover, now);
    bool fresh =
        primary->has_report && primary->answered && now < primary->reported_at + REPORT_FRESH_NS;
    if (fresh && !primary->report.leads) {
        set_state(failover, FAILOVER_SEARCHING, now);
        publish(failover, GROUP_PHASE_CLOSED);
        return;
    }
    if (!replicas_answer(failover, now)) {
        return;
    }
    bool lost = !primary->answered && primary->failing_since != 0 &&
                opinion->unreachable * 2 >= opinion->poolers;
    if (lost) {
        begin_change(failover, false, "the primary does not answer", now);
        return;
    }
    if (opinion->stalled > 0 && fresh && now >= failover->stall_again_at) {
        /* Where replicas receive nothing whoever leads, changes would never end. */
        failover->stall_wait =
            MIN(MAX(failover->stall_wait * 2, STALL_WAIT_MIN_NS), STALL_WAIT_MAX_NS);
        failover->stall_again_at = now + failover->stall_wait;
        begin_change(failover, false, "the primary's writes are not acknowledged", now);
        return;
    }
    if (failover->minority_since == 0) {
        failover->minority_since = now;
    }
    if (opinion->unreachable > 0 && now > failover->minority_since + MINORITY_MAX_NS) {
        begin_change(failover, true, "some poolers can't reach the primary", now);
    }
}

static void watch(struct failover *failover, const struct failover_opinion *opinion, time_ns now)
{
    settle_members(failover, now);
    if (!check_leaving(failover, now)) {
        check_faults(failover, opinion, now);
    }
}

/* ---- changing ---- */

static void drain(struct failover *failover, time_ns now)
{
    bool drained = failover->actions->drained(failover->actions->user, failover);
    if (drained || now > failover->since + DRAIN_MAX_NS) {
        start_fencing(failover, now);
    }
}

/* True if a replica that may lead has all that the primary has; only then it steps down, as it
 * passes nothing on afterwards. */
static bool replica_caught_up(const struct failover *failover,
                              const struct failover_member *primary)
{
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = member_at(failover, i);
        if (member != primary && member->takes_work && member->has_report &&
            member->reported_at > failover->since &&
            log_position_covers(member->report.received, primary->report.received)) {
            return true;
        }
    }
    return false;
}

/* How long a primary that answers may pass on what its replicas lack. */
#define CATCH_UP_NS (250 * MS)

static void fence(struct failover *failover, time_ns now)
{
    struct failover_member *primary = primary_of(failover);
    bool primary_answers = primary != NULL && primary->answered && primary->has_report;
    bool catching_up =
        primary_answers && primary->report.leads && now < failover->since + CATCH_UP_NS &&
        !(primary->reported_at > failover->since && replica_caught_up(failover, primary));
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = member_at(failover, i);
        if (catching_up) {
            ask_every(failover, member, DATABASE_COMMAND_STATUS, 0, ASK_EVERY_NS / 4, now);
        } else if (member->fenced) {
            continue;
        } else if (member == primary) {
            ask_every(failover, member, DATABASE_COMMAND_STEP_DOWN, failover->fence_term,
                      ASK_EVERY_NS, now);
        } else {
            ask_every(failover, member, DATABASE_COMMAND_PAUSE, failover->fence_term, ASK_EVERY_NS,
                      now);
        }
    }
}

/* Without another candidate for so long, the old primary may lead again. */
#define PRIMARY_AGAIN_NS (1000 * MS)

/* Counts fenced replicas, and finds the most advanced log among them. */
static uint32_t count_fenced(const struct failover *failover, struct log_position *highest)
{
    uint32_t fenced = 0;
    *highest = (struct log_position){0};
    for (guint i = 0; i < failover->members->len; i++) {
        const struct failover_member *member = member_at(failover, i);
        if (!member->fenced || is_primary(failover, member)) {
            continue;
        }
        fenced++;
        if (log_position_compare(member->report.received, *highest) > 0) {
            *highest = member->report.received;
        }
    }
    return fenced;
}

/* A member that may lead and holds at least `need`; the most advanced one that stays. The old
 * primary only after a while: most often there is a reason why it is to be replaced. */
static struct failover_member *choose(const struct failover *failover, struct log_position need,
                                      time_ns now)
{
    bool primary_too = now > failover->since + PRIMARY_AGAIN_NS;
    struct failover_member *best = NULL;
    for (guint i = 0; i < failover->members->len; i++) {
        struct failover_member *member = member_at(failover, i);
        bool good = member->fenced && member->answered && now >= member->excluded_until &&
                    (primary_too || !is_primary(failover, member)) &&
                    log_position_covers(member->report.received, need);
        if (!good) {
            continue;
        }
        bool better = best == NULL || (member->takes_work && !best->takes_work) ||
                      (member->takes_work == best->takes_work &&
                       log_position_compare(member->report.received, best->report.received) > 0);
        if (better) {
            best = member;
        }
    }
    return best;
}

/* The member to promote; NULL as long as no log is known to be whole. */
static struct failover_member *find_candidate(const struct failover *failover, time_ns now)
{
    struct log_position highest;
    const struct failover_member *primary = primary_of(failover);
    uint32_t fenced = count_fenced(failover, &highest);
    struct failover_member *candidate = NULL;
    if (primary != NULL && primary->fenced) {
        candidate = choose(failover, primary->report.received, now);
    }
    if (candidate == NULL && fenced >= pauses_needed(failover)) {
        candidate = choose(failover, highest, now);
    }
    return candidate;
}

/* Somebody else was promoted meanwhile, or the primary leads in a newer term. */
static bool newer_leader(struct failover *failover, time_ns now)
{
    struct failover_member *leader = find_leader(failover, now);
    if (leader == NULL || leader->report.term < failover->fence_term) {
        return false;
    }
    open_primary(failover, leader, now);
    return true;
}

static void fence_and_choose(struct failover *failover, time_ns now)
{
    if (newer_leader(failover, now)) {
        return;
    }
    if (failover->term > failover->fence_term) {
        start_fencing(failover, now); /* a newer term showed up */
        return;
    }
    fence(failover, now);
    if (!failover->actions->closed(failover->actions->user, failover)) {
        return;
    }
    struct failover_member *candidate = find_candidate(failover, now);
    if (candidate == NULL) {
        return;
    }
    g_free(failover->candidate);
    failover->candidate = g_strdup(candidate->id);
    set_state(failover, FAILOVER_RECORDING, now);
    failover->actions->record(failover->actions->user, failover, false);
}

void failover_recorded(struct failover *failover, bool good, time_ns now)
{
    if (failover->state != FAILOVER_RECORDING) {
        return;
    }
    if (!good) {
        failover->ordered_at = now;
        return; /* tried again by the tick */
    }
    set_state(failover, FAILOVER_PROMOTING, now);
    failover->ordered_at = now;
    failover->actions->promote(failover->actions->user, failover, failover->candidate);
}

void failover_ordered(struct failover *failover, enum failover_order end, time_ns now)
{
    if (failover->state != FAILOVER_PROMOTING) {
        return;
    }
    struct failover_member *candidate = failover_find(failover, failover->candidate);
    switch (end) {
    case FAILOVER_ORDER_ACCEPTED:
        set_state(failover, FAILOVER_CONFIRMING, now);
        break;
    case FAILOVER_ORDER_REFUSED:
        if (candidate != NULL) {
            candidate->excluded_until = now + EXCLUDED_NS;
        }
        start_fencing(failover, now);
        break;
    case FAILOVER_ORDER_OPEN:
        failover->ordered_at = now; /* ordered again by the tick */
        break;
    }
}

static void confirm(struct failover *failover, time_ns now)
{
    struct failover_member *candidate = failover_find(failover, failover->candidate);
    if (candidate == NULL) {
        start_fencing(failover, now);
        return;
    }
    bool leads = candidate->has_report && candidate->answered && candidate->report.leads &&
                 candidate->reported_at > failover->since;
    if (leads) {
        open_primary(failover, candidate, now);
        failover->actions->record(failover->actions->user, failover, true);
        settle_members(failover, now);
        return;
    }
    if (candidate->failing_since != 0 && now > candidate->failing_since + CANDIDATE_DEAD_NS) {
        candidate->excluded_until = now + EXCLUDED_NS;
        start_fencing(failover, now);
        return;
    }
    if (now > failover->since + CONFIRM_FIRST_NS) {
        ask_every(failover, candidate, DATABASE_COMMAND_STATUS, 0, CONFIRM_EVERY_NS, now);
    }
    if (now > failover->since + ORDER_AGAIN_NS) {
        set_state(failover, FAILOVER_PROMOTING, now);
        failover->actions->promote(failover->actions->user, failover, failover->candidate);
    }
}

static void retry(struct failover *failover, time_ns now)
{
    if (now < failover->ordered_at + ORDER_RETRY_NS || now < failover->since + ORDER_RETRY_NS) {
        return;
    }
    failover->ordered_at = now + ORDER_AGAIN_NS;
    if (failover->state == FAILOVER_RECORDING) {
        failover->actions->record(failover->actions->user, failover, false);
    } else {
        failover->actions->promote(failover->actions->user, failover, failover->candidate);
    }
}

void failover_tick(struct failover *failover, const struct failover_opinion *opinion, time_ns now)
{
    switch (failover->state) {
    case FAILOVER_SEARCHING:
        search(failover, now);
        break;
    case FAILOVER_WATCHING:
        watch(failover, opinion, now);
        break;
    case FAILOVER_DRAINING:
        drain(failover, now);
        break;
    case FAILOVER_FENCING:
        fence_and_choose(failover, now);
        break;
    case FAILOVER_RECORDING:
    case FAILOVER_PROMOTING:
        retry(failover, now);
        break;
    case FAILOVER_CONFIRMING:
        confirm(failover, now);
        break;
    }
}
