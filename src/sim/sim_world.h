/* Virtual time, the event queue and the random source of one simulation. Every action is an event
 * bound to a node; the same seed gives the same order of events. */
#ifndef SW_SIM_WORLD_H
#define SW_SIM_WORLD_H

#include <glib.h>

#include "core/types.h"

#define SIM_MICROSECOND UINT64_C(1000)
#define SIM_MILLISECOND NANOSECONDS_PER_MILLISECOND
#define SIM_SECOND      NANOSECONDS_PER_SECOND

struct sim_world;

/* A component that can die, pause and restart: a daemon, a database, a client. Events for an
 * earlier incarnation are dropped; those for a paused node wait. */
struct sim_node {
    struct sim_world *world;
    uint32_t zone;
    bool alive;
    uint64_t incarnation;
    time_ns paused_until; /* 0 if it runs */
};

/* Handles one event. `payload` is the copy made when the event was scheduled. */
typedef void (*sim_handler)(void *object, const void *payload);

/* One simulation. Single-threaded. */
struct sim_world {
    time_ns now;
    GRand *random;
    GString *journal; /* readable record of the run; NULL: not kept */
    uint64_t event_sequence;
    GPtrArray *heap;      /* of struct sim_event, ordered by time, then sequence */
    GPtrArray *memory;    /* blocks freed with the world */
    uint64_t event_count; /* events handled */
    uint64_t last_id;
};

struct sim_world *sim_world_new(uint64_t seed, bool with_journal);
void sim_world_free(struct sim_world *world);

/* Allocates zeroed memory that is freed with the world. */
void *sim_world_allocate(struct sim_world *world, size_t size);

/* A number that is unique in this world. */
uint64_t sim_world_next_id(struct sim_world *world);

/* Runs events until virtual time `until`. */
void sim_world_run(struct sim_world *world, time_ns until);

/* Schedules an event for a node's current incarnation. `payload` may be NULL; it is copied. */
void sim_node_schedule(struct sim_node *node, time_ns at, sim_handler handler, void *object,
                       const void *payload, size_t payload_size);

/* The same for a given incarnation: the event is dropped if the node has another one by then. */
void sim_node_schedule_for(struct sim_node *node, uint64_t incarnation, time_ns at,
                           sim_handler handler, void *object, const void *payload,
                           size_t payload_size);

void sim_node_init(struct sim_node *node, struct sim_world *world, uint32_t zone);
void sim_node_kill(struct sim_node *node);
void sim_node_start(struct sim_node *node);
void sim_node_pause(struct sim_node *node, time_ns until);

/* Uniform random numbers below a bound (0 if the bound is 0), and true with a probability. */
uint64_t sim_random_below(struct sim_world *world, uint64_t bound);
bool sim_random_chance(struct sim_world *world, double probability);

/* Adds a line to the journal, if one is kept. */
void sim_journal(struct sim_world *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
