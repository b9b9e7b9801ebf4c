/* Builds and executes one run. */
#include "sim/sim_run.h"

#include "sim/sim_client.h"
#include "sim/sim_daemon.h"
#include "sim/sim_fault.h"

static const char *const MUTATION_NAMES[SIM_MUTATION_COUNT] = {
    [SIM_MUTATION_NONE] = "none",
    [SIM_MUTATION_TRUST_COMMIT] = "trust_commit",
    [SIM_MUTATION_NO_FENCE] = "no_fence",
    [SIM_MUTATION_SINGLE_WATCHER_DEPOSES] = "single_watcher_deposes",
    [SIM_MUTATION_IGNORE_GUARD] = "ignore_guard",
    [SIM_MUTATION_RESEND_UNKEYED] = "resend_unkeyed",
    [SIM_MUTATION_NO_LEDGER] = "no_ledger",
    [SIM_MUTATION_LOST_IS_NOT_SENT] = "lost_is_not_sent",
    [SIM_MUTATION_REUSE_CONNECTION] = "reuse_connection",
    [SIM_MUTATION_IGNORE_LEAVING] = "ignore_leaving",
    [SIM_MUTATION_NO_PAUSE] = "no_pause",
    [SIM_MUTATION_TRUST_FORGETFUL] = "trust_forgetful",
    [SIM_MUTATION_IGNORE_STALLED_REPLICATION] = "ignore_stalled_replication",
};

const char *sim_mutation_name(enum sim_mutation mutation)
{
    return MUTATION_NAMES[mutation];
}

bool sim_mutation_from_name(const char *name, enum sim_mutation *mutation)
{
    for (int i = 0; i < SIM_MUTATION_COUNT; i++) {
        if (g_strcmp0(MUTATION_NAMES[i], name) == 0) {
            *mutation = (enum sim_mutation)i;
            return true;
        }
    }
    return false;
}

static void add_databases(struct sim_run *run)
{
    run->keys = g_hash_table_new(g_int64_hash, g_int64_equal);
    run->database_count = run->scenario->databases;
    for (uint32_t i = 0; i < run->database_count; i++) {
        struct sim_database *database = &run->databases[i];

        sim_database_init(database, &run->network, i, i % run->scenario->zones,
                          &run->scenario->database);
        database->peers = run->database_pointers;
        database->peer_count = run->database_count;
        database->keys = run->keys;
        database->leaving_bound = run->scenario->expect.leaving_bound;
        database->no_ledger = run->mutation == SIM_MUTATION_NO_LEDGER;
        run->database_pointers[i] = database;
    }
    for (uint32_t i = 0; i < run->database_count; i++) {
        sim_database_start(&run->databases[i]);
    }
}

static void add_daemons(struct sim_run *run)
{
    run->daemon_count = run->scenario->daemons;
    for (uint32_t i = 0; i < run->daemon_count; i++) {
        run->daemons[i] = sim_daemon_new(run, i, i % run->scenario->zones);
    }
    for (uint32_t i = 0; i < run->daemon_count; i++) {
        sim_daemon_start(run->daemons[i]);
    }
    sim_daemon_announce_membership(run);
}

/* Adds the clients: first the sessions that move between daemons, then the pinned writers. */
static void add_clients(struct sim_run *run)
{
    const struct sim_scenario *scenario = run->scenario;
    uint32_t writers = scenario->writers ? scenario->daemons : 0;

    run->client_count = scenario->clients + writers;
    run->clients = sim_world_allocate(run->world, run->client_count * sizeof(struct sim_client *));
    for (uint32_t i = 0; i < scenario->clients; i++) {
        run->clients[i] = sim_client_new(run, i, i % scenario->zones, -1);
    }
    for (uint32_t i = 0; i < writers; i++) {
        uint32_t index = scenario->clients + i;

        run->clients[index] = sim_client_new(run, index, i % scenario->zones, (int32_t)i);
    }
}

struct sim_run *sim_run_new(const struct sim_scenario *scenario, uint64_t seed,
                            enum sim_mutation mutation, bool with_journal)
{
    struct sim_run *run = g_new0(struct sim_run, 1);

    run->scenario = scenario;
    run->seed = seed;
    run->mutation = mutation;
    run->world = sim_world_new(seed, with_journal);
    sim_node_init(&run->operator_node, run->world, 0);
    sim_network_init(&run->network, run->world, &scenario->network);
    sim_history_init(&run->history);
    add_databases(run);
    add_clients(run);
    return run;
}

void sim_run_execute(struct sim_run *run)
{
    run->load_starts_at = run->world->now + SIM_BOOTSTRAP_TIME;
    run->clients_stop_at = run->load_starts_at + run->scenario->duration;
    add_daemons(run);
    sim_world_run(run->world, run->load_starts_at);
    sim_fault_start(run);
    for (uint32_t i = 0; i < run->client_count; i++) {
        sim_client_start(run->clients[i]);
    }
    sim_world_run(run->world, run->clients_stop_at);
    sim_fault_end_all(run);
    sim_world_run(run->world, run->clients_stop_at + run->scenario->settle);
}

void sim_run_free(struct sim_run *run)
{
    for (uint32_t i = 0; i < run->daemon_count; i++) {
        sim_daemon_free(run->daemons[i]);
    }
    for (uint32_t i = 0; i < run->database_count; i++) {
        sim_database_clear(&run->databases[i]);
    }
    for (uint32_t i = 0; i < run->client_count; i++) {
        sim_client_clear(run->clients[i]);
    }
    g_hash_table_unref(run->keys);
    sim_history_clear(&run->history);
    sim_world_free(run->world);
    g_free(run);
}

struct sim_database *sim_run_primary(struct sim_run *run)
{
    struct sim_database *primary = NULL;

    for (uint32_t i = 0; i < run->database_count; i++) {
        struct sim_database *database = &run->databases[i];
        bool leads =
            database->role == DATABASE_ROLE_PRIMARY && database->promised_term == database->term;

        if (leads && (primary == NULL || database->term > primary->term)) {
            primary = database;
        }
    }
    return primary;
}
