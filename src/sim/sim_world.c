/* The event loop on virtual time. */
#include "sim/sim_world.h"

#include <stdarg.h>
#include <string.h>

struct sim_event {
    time_ns at;
    uint64_t sequence;
    struct sim_node *node;
    uint64_t incarnation;
    sim_handler handler;
    void *object;
    char payload[];
};

struct sim_world *sim_world_new(uint64_t seed, bool with_journal)
{
    struct sim_world *world = g_new0(struct sim_world, 1);
    const guint32 seeds[2] = {(guint32)seed, (guint32)(seed >> 32)};

    world->now = SIM_SECOND;
    world->random = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
    world->heap = g_ptr_array_new();
    world->memory = g_ptr_array_new_with_free_func(g_free);
    if (with_journal) {
        world->journal = g_string_new(NULL);
    }
    return world;
}

void sim_world_free(struct sim_world *world)
{
    g_rand_free(world->random);
    g_ptr_array_set_free_func(world->heap, g_free);
    g_ptr_array_unref(world->heap);
    g_ptr_array_unref(world->memory);
    if (world->journal != NULL) {
        g_string_free(world->journal, TRUE);
    }
    g_free(world);
}

void *sim_world_allocate(struct sim_world *world, size_t size)
{
    void *block = g_malloc0(size);

    g_ptr_array_add(world->memory, block);
    return block;
}

uint64_t sim_world_next_id(struct sim_world *world)
{
    world->last_id += 1;
    return world->last_id;
}

static bool event_before(const struct sim_event *first, const struct sim_event *second)
{
    if (first->at != second->at) {
        return first->at < second->at;
    }
    return first->sequence < second->sequence;
}

static void swap_events(GPtrArray *heap, guint first, guint second)
{
    gpointer event = heap->pdata[first];

    heap->pdata[first] = heap->pdata[second];
    heap->pdata[second] = event;
}

static void push_event(GPtrArray *heap, struct sim_event *event)
{
    guint index = heap->len;

    g_ptr_array_add(heap, event);
    while (index > 0) {
        guint parent = (index - 1) / 2;

        if (!event_before(heap->pdata[index], heap->pdata[parent])) {
            return;
        }
        swap_events(heap, index, parent);
        index = parent;
    }
}

static struct sim_event *pop_event(GPtrArray *heap)
{
    struct sim_event *first = heap->pdata[0];
    guint index = 0;

    heap->pdata[0] = heap->pdata[heap->len - 1];
    g_ptr_array_set_size(heap, (gint)heap->len - 1);
    for (;;) {
        guint least = index;

        for (guint child = 2 * index + 1; child <= 2 * index + 2 && child < heap->len; child++) {
            if (event_before(heap->pdata[child], heap->pdata[least])) {
                least = child;
            }
        }
        if (least == index) {
            return first;
        }
        swap_events(heap, index, least);
        index = least;
    }
}

/* Defers an event until its node runs again; deferred events keep their order. */
static void postpone_event(struct sim_world *world, struct sim_event *event)
{
    world->event_sequence += 1;
    event->sequence = world->event_sequence;
    event->at = event->node->paused_until;
    push_event(world->heap, event);
}

static void handle_event(struct sim_world *world, struct sim_event *event)
{
    struct sim_node *node = event->node;

    if (!node->alive || node->incarnation != event->incarnation) {
        g_free(event);
        return;
    }
    if (node->paused_until > world->now) {
        postpone_event(world, event);
        return;
    }
    world->event_count += 1;
    event->handler(event->object, event->payload);
    g_free(event);
}

void sim_world_run(struct sim_world *world, time_ns until)
{
    while (world->heap->len > 0) {
        struct sim_event *first = world->heap->pdata[0];

        if (first->at > until) {
            break;
        }
        pop_event(world->heap);
        if (first->at > world->now) {
            world->now = first->at;
        }
        handle_event(world, first);
    }
    world->now = until;
}

void sim_node_schedule_for(struct sim_node *node, uint64_t incarnation, time_ns at,
                           sim_handler handler, void *object, const void *payload,
                           size_t payload_size)
{
    struct sim_world *world = node->world;
    struct sim_event *event = g_malloc0(sizeof(*event) + payload_size);

    world->event_sequence += 1;
    event->at = at;
    event->sequence = world->event_sequence;
    event->node = node;
    event->incarnation = incarnation;
    event->handler = handler;
    event->object = object;
    if (payload_size > 0) {
        memcpy(event->payload, payload, payload_size);
    }
    push_event(world->heap, event);
}

void sim_node_schedule(struct sim_node *node, time_ns at, sim_handler handler, void *object,
                       const void *payload, size_t payload_size)
{
    sim_node_schedule_for(node, node->incarnation, at, handler, object, payload, payload_size);
}

void sim_node_init(struct sim_node *node, struct sim_world *world, uint32_t zone)
{
    node->world = world;
    node->zone = zone;
    node->alive = true;
    node->incarnation = 1;
    node->paused_until = 0;
}

void sim_node_kill(struct sim_node *node)
{
    node->alive = false;
    node->paused_until = 0;
}

void sim_node_start(struct sim_node *node)
{
    node->alive = true;
    node->incarnation += 1;
}

void sim_node_pause(struct sim_node *node, time_ns until)
{
    if (until > node->paused_until) {
        node->paused_until = until;
    }
}

uint64_t sim_random_below(struct sim_world *world, uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    return (uint64_t)(g_rand_double(world->random) * (double)bound);
}

bool sim_random_chance(struct sim_world *world, double probability)
{
    if (probability <= 0) {
        return false;
    }
    return g_rand_double(world->random) < probability;
}

void sim_journal(struct sim_world *world, const char *format, ...)
{
    va_list arguments;

    if (world->journal == NULL) {
        return;
    }
    g_string_append_printf(world->journal, "%10.3f ", (double)world->now / 1e6 - 1000.0);
    va_start(arguments, format);
    g_string_append_vprintf(world->journal, format, arguments);
    va_end(arguments);
    g_string_append_c(world->journal, '\n');
}
