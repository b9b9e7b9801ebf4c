/* Statements, the ledger, and control commands of a simulated database. Replication is in
 * sim_replication.c. */
#include "sim/sim_database.h"

#include <stdlib.h>
#include <string.h>

#include "core/acknowledge.h"

#include "sim/sim_replication.h"

void sim_database_init(struct sim_database *database, struct sim_network *network, uint32_t index,
                       uint32_t zone, const struct sim_database_options *options)
{
    memset(database, 0, sizeof(*database));
    sim_node_init(&database->node, network->world, zone);
    database->network = network;
    database->options = *options;
    database->index = index;
    database->role = DATABASE_ROLE_REPLICA;
    database->following = -1;
    database->waiters = g_ptr_array_new_with_free_func(g_free);
}

void sim_database_clear(struct sim_database *database)
{
    g_ptr_array_unref(database->waiters);
}

void sim_database_start(struct sim_database *database)
{
    memset(database->slot_free_at, 0, sizeof(database->slot_free_at));
    database->running = 0;
    sim_replication_start(database);
}

void sim_database_kill(struct sim_database *database)
{
    sim_node_kill(&database->node);
    g_ptr_array_set_size(database->waiters, 0);
    database->followers = 0;
}

void sim_database_erase(struct sim_database *database)
{
    database->role = DATABASE_ROLE_REPLICA;
    database->term = 0;
    database->promised_term = 0;
    database->promised_to = 0;
    database->following = -1;
    database->leaving = false;
    database->leaving_order = 0;
    database->head = NULL;
    database->applied = NULL;
    database->synchronized = false;
}

struct database_status sim_database_status(const struct sim_database *database)
{
    struct database_status status = {
        .role = database->role,
        .term = database->term,
        .promised_term = database->promised_term,
        .held = sim_entry_position(database->head),
        .applied = sim_entry_position(database->applied),
        .leaving = database->leaving,
        .leaving_order = database->leaving_order,
    };
    return status;
}

static bool may_write(const struct sim_database *database)
{
    return database->role == DATABASE_ROLE_PRIMARY && database->promised_term == database->term;
}

static void reply(struct sim_database *database, const struct sim_database_request *request,
                  struct sim_database_reply *answer)
{
    answer->database = database->index;
    answer->tag = request->tag;
    answer->request_id = request->request_id;
    answer->status = sim_database_status(database);
    if (request->kind == SIM_REQUEST_STATUS) {
        sim_network_send_datagram(database->network, database->node.zone, request->from,
                                  request->from_incarnation, request->on_reply, request->object,
                                  answer, sizeof(*answer));
        return;
    }
    sim_network_send(database->network, database->node.zone, request->from,
                     request->from_incarnation, request->on_reply, request->object, answer,
                     sizeof(*answer));
}

static void reply_result(struct sim_database *database, const struct sim_database_request *request,
                         enum sim_result result)
{
    struct sim_database_reply answer = {.result = result};

    reply(database, request, &answer);
}

static enum sim_result fence(struct sim_database *database, uint64_t term, uint64_t coordinator)
{
    bool again = term == database->promised_term && coordinator == database->promised_to;

    if (term <= database->promised_term && !again) {
        return SIM_RESULT_REFUSED;
    }
    database->promised_term = term;
    database->promised_to = coordinator;
    sim_replication_notify(database);
    return SIM_RESULT_OK;
}

static enum sim_result promote(struct sim_database *database, uint64_t term, uint64_t coordinator)
{
    if (term != database->promised_term || coordinator != database->promised_to) {
        return SIM_RESULT_REFUSED;
    }
    if (database->role == DATABASE_ROLE_PRIMARY && database->term == term) {
        return SIM_RESULT_OK;
    }
    database->role = DATABASE_ROLE_PRIMARY;
    database->term = term;
    database->following = -1;
    database->followers = 0;
    database->head =
        sim_entry_append(database->node.world, database->head, term, SIM_ENTRY_TERM_START);
    database->applied = database->head;
    sim_journal(database->node.world,
                "database %u leads term %" G_GUINT64_FORMAT " from %" G_GUINT64_FORMAT,
                database->index, term, database->head->position.offset);
    sim_replication_notify(database);
    return SIM_RESULT_OK;
}

static enum sim_result follow(struct sim_database *database,
                              const struct sim_database_request *request)
{
    bool leads = database->role == DATABASE_ROLE_PRIMARY && database->term == request->term;

    if (request->term < database->promised_term || leads) {
        return SIM_RESULT_REFUSED;
    }
    if (database->role == DATABASE_ROLE_REPLICA && database->term == request->term &&
        database->following == (int32_t)request->primary) {
        return SIM_RESULT_OK;
    }
    if (request->term > database->promised_term) {
        database->promised_term = request->term;
        database->promised_to = request->coordinator;
    }
    database->role = DATABASE_ROLE_REPLICA;
    database->term = request->term;
    database->following = (int32_t)request->primary;
    database->synchronized = false;
    sim_journal(database->node.world, "database %u follows %u in term %" G_GUINT64_FORMAT,
                database->index, request->primary, request->term);
    sim_replication_hello(database);
    sim_replication_notify(database);
    return SIM_RESULT_OK;
}

static struct sim_entry *find_key(const struct sim_database *database, uint64_t key)
{
    struct sim_entry *entry = g_hash_table_lookup(database->keys, &key);

    while (entry != NULL && !sim_entry_contains(database->head, entry)) {
        entry = entry->next_of_key;
    }
    return entry;
}

static void add_to_ledger(struct sim_database *database, struct sim_entry *entry,
                          const struct sim_operation *operation)
{
    entry->key = operation->key;
    entry->fingerprint = operation->fingerprint;
    if (operation->key == 0) {
        return;
    }
    entry->next_of_key = g_hash_table_lookup(database->keys, &operation->key);
    g_hash_table_replace(database->keys, &entry->key, entry);
}

/* The ledger's result for the operation's key; OK if it has no row. */
static enum sim_result look_up_ledger(const struct sim_database *database,
                                      const struct sim_operation *operation)
{
    const struct sim_entry *row;

    if (operation->key == 0 || database->no_ledger) {
        return SIM_RESULT_OK;
    }
    row = find_key(database, operation->key);
    if (row == NULL) {
        return SIM_RESULT_OK;
    }
    if (row->kind == SIM_ENTRY_CLOSE_KEY) {
        return SIM_RESULT_KEY_CLOSED;
    }
    if (row->fingerprint != operation->fingerprint) {
        return SIM_RESULT_KEY_REUSED;
    }
    return SIM_RESULT_ALREADY_DONE;
}

static void commit(struct sim_database *database, struct sim_operation *operation,
                   enum sim_entry_kind kind)
{
    struct sim_entry *entry =
        sim_entry_append(database->node.world, database->head, database->term, kind);

    add_to_ledger(database, entry, operation);
    if (kind == SIM_ENTRY_WRITE) {
        entry->operation = operation;
        entry->next_of_operation = operation->entries;
        operation->entries = entry;
    }
    database->head = entry;
    database->applied = entry;
    sim_replication_push(database);
    sim_replication_notify(database);
}

static void write_or_close(struct sim_database *database,
                           const struct sim_database_request *request)
{
    struct sim_database_reply answer = {.result = SIM_RESULT_NOT_PRIMARY};
    /* A fence or another term has rolled the open transaction back. */
    bool rolled_back = request->kind == SIM_REQUEST_COMMIT && request->term != database->term;

    if (may_write(database) && !rolled_back) {
        answer.result = look_up_ledger(database, request->operation);
        if (answer.result == SIM_RESULT_OK) {
            bool closes = request->kind == SIM_REQUEST_CLOSE_KEY;

            commit(database, request->operation, closes ? SIM_ENTRY_CLOSE_KEY : SIM_ENTRY_WRITE);
            answer.result = closes ? SIM_RESULT_KEY_CLOSED : SIM_RESULT_OK;
        }
        answer.position = sim_entry_position(database->head);
    }
    if (sim_random_chance(database->node.world, database->answer_loss)) {
        sim_journal(database->node.world, "database %u: answer lost", database->index);
        return;
    }
    reply(database, request, &answer);
}

static gint compare_offsets(gconstpointer first, gconstpointer second)
{
    const uint64_t *a = first;
    const uint64_t *b = second;

    return *a > *b ? -1 : *a < *b;
}

/* The last entry of a log that a majority of the group holds now. The databases don't know it; the
 * checker needs it. */
static struct sim_entry *durable_part(const struct sim_database *database, struct sim_entry *log)
{
    uint64_t shared[GROUP_DATABASES_MAX] = {0};

    for (uint32_t i = 0; i < database->peer_count; i++) {
        const struct sim_entry *common = sim_entry_common(log, database->peers[i]->head);

        shared[i] = sim_entry_position(common).offset;
    }
    qsort(shared, database->peer_count, sizeof(shared[0]), compare_offsets);
    return sim_entry_up_to(log, shared[majority_of(database->peer_count) - 1]);
}

static void answer_read(struct sim_database *database, const struct sim_database_request *request)
{
    struct sim_database_reply answer = {
        .result = SIM_RESULT_OK,
        .seen = database->applied,
        .durable = durable_part(database, database->applied),
    };

    reply(database, request, &answer);
}

static bool wait_is_over(const struct sim_database *database,
                         const struct sim_database_request *request)
{
    const struct sim_entry *reached =
        request->kind == SIM_REQUEST_READ ? database->applied : database->head;

    if (log_position_covers(sim_entry_position(reached), request->wanted)) {
        return true;
    }
    return request->kind == SIM_REQUEST_WAIT_HELD && database->promised_term > request->wanted.term;
}

static void end_wait(struct sim_database *database, const struct sim_database_request *request)
{
    if (request->kind == SIM_REQUEST_READ) {
        answer_read(database, request);
    } else {
        reply_result(database, request, SIM_RESULT_OK);
    }
}

/* Answers the waits that have ended: all whose condition holds, and the one that expired. */
void sim_database_wake(struct sim_database *database)
{
    time_ns now = database->node.world->now;
    guint i = 0;

    while (i < database->waiters->len) {
        struct sim_database_request *request = g_ptr_array_index(database->waiters, i);

        /* `wait` was replaced by the time of expiry when the wait began. */
        if (!wait_is_over(database, request) && now < request->wait) {
            i += 1;
            continue;
        }
        end_wait(database, request);
        g_ptr_array_remove_index(database->waiters, i);
    }
}

static void on_wait_expired(void *object, const void *payload)
{
    (void)payload;
    sim_database_wake(object);
}

static void begin_wait(struct sim_database *database, const struct sim_database_request *request)
{
    struct sim_database_request *waiter;

    if (wait_is_over(database, request) || request->wait == 0) {
        end_wait(database, request);
        return;
    }
    waiter = g_memdup2(request, sizeof(*request));
    waiter->wait = database->node.world->now + request->wait;
    g_ptr_array_add(database->waiters, waiter);
    sim_node_schedule(&database->node, waiter->wait, on_wait_expired, database, NULL, 0);
}

static void on_statement_done(void *object, const void *payload)
{
    struct sim_database *database = object;
    const struct sim_database_request *request = payload;

    database->running -= 1;
    if (request->kind == SIM_REQUEST_READ) {
        begin_wait(database, request);
        return;
    }
    if (request->kind == SIM_REQUEST_BEGIN) {
        reply_result(database, request,
                     may_write(database) ? SIM_RESULT_OK : SIM_RESULT_NOT_PRIMARY);
        return;
    }
    write_or_close(database, request);
}

static bool is_late(const struct sim_database *database)
{
    return database->drained_at != 0 && database->leaving_bound != 0 &&
           database->node.world->now > database->drained_at + database->leaving_bound;
}

static time_ns service_time(const struct sim_database *database)
{
    double spread = database->options.service_spread;
    double part;

    if (spread == 0) {
        return database->options.service_time;
    }
    part = 1 - spread + 2 * spread * g_rand_double(database->node.world->random);
    return (time_ns)(part * (double)database->options.service_time);
}

/* Queues a statement: it waits for a slot, holds it for the service time, and takes effect at the
 * end of that. */
static void queue_statement(struct sim_database *database,
                            const struct sim_database_request *request)
{
    struct sim_world *world = database->node.world;
    uint32_t slot = 0;
    time_ns start;

    if (is_late(database)) {
        database->late_work += 1;
    }
    if (sim_random_chance(world, database->request_loss)) {
        sim_journal(world, "database %u: request lost", database->index);
        return;
    }
    for (uint32_t i = 1; i < database->options.slots; i++) {
        if (database->slot_free_at[i] < database->slot_free_at[slot]) {
            slot = i;
        }
    }
    start = MAX(world->now, database->slot_free_at[slot]);
    database->slot_free_at[slot] = start + service_time(database);
    database->running += 1;
    database->running_peak = MAX(database->running_peak, database->running);
    sim_node_schedule(&database->node, database->slot_free_at[slot], on_statement_done, database,
                      request, sizeof(*request));
}

static void on_request(void *object, const void *payload)
{
    struct sim_database *database = object;
    const struct sim_database_request *request = payload;

    switch (request->kind) {
    case SIM_REQUEST_STATUS:
    case SIM_REQUEST_OPEN:
        reply_result(database, request, SIM_RESULT_OK);
        break;
    case SIM_REQUEST_FENCE:
        reply_result(database, request, fence(database, request->term, request->coordinator));
        break;
    case SIM_REQUEST_PROMOTE:
        reply_result(database, request, promote(database, request->term, request->coordinator));
        break;
    case SIM_REQUEST_FOLLOW:
        reply_result(database, request, follow(database, request));
        break;
    case SIM_REQUEST_SET_LEAVING:
        if (request->order >= database->leaving_order) {
            database->leaving = request->leaving;
            database->leaving_order = request->order;
        }
        reply_result(database, request, SIM_RESULT_OK);
        break;
    case SIM_REQUEST_WAIT_HELD:
        begin_wait(database, request);
        break;
    case SIM_REQUEST_WRITE:
    case SIM_REQUEST_BEGIN:
    case SIM_REQUEST_COMMIT:
    case SIM_REQUEST_CLOSE_KEY:
    case SIM_REQUEST_READ:
        queue_statement(database, request);
        break;
    }
}

void sim_database_send(struct sim_database *database, const struct sim_database_request *request)
{
    sim_network_send(database->network, request->from->zone, &database->node,
                     database->node.incarnation, on_request, database, request, sizeof(*request));
}

void sim_database_send_datagram(struct sim_database *database,
                                const struct sim_database_request *request)
{
    sim_network_send_datagram(database->network, request->from->zone, &database->node,
                              database->node.incarnation, on_request, database, request,
                              sizeof(*request));
}
