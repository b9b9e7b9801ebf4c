/* Event queue (a binary heap) and paths of the simulated fleet's network. */
#include "sim/scale_network.h"

struct scale_network {
    struct scale_network_options options;
    GRand *random;
    GArray *heap; /* struct scale_event, the earliest first */
    time_ns now;
    uint64_t next_order;
    bool cut[SCALE_ZONES_MAX][SCALE_ZONES_MAX];
};

void scale_network_options_default(struct scale_network_options *options)
{
    *options = (struct scale_network_options){
        .zones = 9,
        .zones_per_region = 3,
        .in_zone = {250 * 1000, 100 * 1000, 0.001},
        .in_region = {1500 * 1000, 500 * 1000, 0.001},
        .between_regions = {30 * NANOSECONDS_PER_MILLISECOND, 5 * NANOSECONDS_PER_MILLISECOND,
                            0.005},
        .seed = 1,
    };
}

struct scale_network *scale_network_new(const struct scale_network_options *options)
{
    struct scale_network *network = g_new0(struct scale_network, 1);
    network->options = *options;
    network->random = g_rand_new_with_seed(options->seed);
    network->heap = g_array_new(FALSE, FALSE, sizeof(struct scale_event));
    network->now = NANOSECONDS_PER_SECOND;
    return network;
}

static struct scale_event *heap_at(const struct scale_network *network, guint index)
{
    return &g_array_index(network->heap, struct scale_event, index);
}

void scale_network_free(struct scale_network *network, GDestroyNotify payload_free)
{
    for (guint i = 0; i < network->heap->len; i++) {
        g_clear_pointer(&heap_at(network, i)->payload, payload_free);
    }
    g_array_free(network->heap, TRUE);
    g_rand_free(network->random);
    g_free(network);
}

time_ns scale_network_now(const struct scale_network *network)
{
    return network->now;
}

static bool is_earlier(const struct scale_event *a, const struct scale_event *b)
{
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void heap_swap(struct scale_network *network, guint a, guint b)
{
    struct scale_event event = *heap_at(network, a);
    *heap_at(network, a) = *heap_at(network, b);
    *heap_at(network, b) = event;
}

void scale_network_add(struct scale_network *network, const struct scale_event *event)
{
    g_array_append_val(network->heap, *event);
    guint place = network->heap->len - 1;
    heap_at(network, place)->order = network->next_order;
    network->next_order++;
    while (place > 0) {
        guint parent = (place - 1) / 2;
        if (!is_earlier(heap_at(network, place), heap_at(network, parent))) {
            return;
        }
        heap_swap(network, place, parent);
        place = parent;
    }
}

/* Removes the root of the heap. */
static void heap_pop(struct scale_network *network)
{
    guint last = network->heap->len - 1;
    heap_swap(network, 0, last);
    g_array_set_size(network->heap, last);
    guint place = 0;
    for (;;) {
        guint least = place;
        for (guint child = 2 * place + 1; child <= 2 * place + 2 && child < last; child++) {
            if (is_earlier(heap_at(network, child), heap_at(network, least))) {
                least = child;
            }
        }
        if (least == place) {
            return;
        }
        heap_swap(network, place, least);
        place = least;
    }
}

bool scale_network_next(struct scale_network *network, time_ns until, struct scale_event *event)
{
    if (network->heap->len == 0 || heap_at(network, 0)->at > until) {
        network->now = MAX(network->now, until);
        return false;
    }
    *event = *heap_at(network, 0);
    heap_pop(network);
    network->now = MAX(network->now, event->at);
    return true;
}

uint16_t scale_network_region(const struct scale_network *network, uint16_t zone)
{
    return (uint16_t)(zone / network->options.zones_per_region);
}

uint32_t scale_network_random(struct scale_network *network, uint32_t bound)
{
    return (uint32_t)g_rand_int_range(network->random, 0, (gint32)bound);
}

static const struct scale_path *path_between(const struct scale_network *network, uint16_t from,
                                             uint16_t to)
{
    if (from == to) {
        return &network->options.in_zone;
    }
    if (scale_network_region(network, from) == scale_network_region(network, to)) {
        return &network->options.in_region;
    }
    return &network->options.between_regions;
}

bool scale_network_arrival(struct scale_network *network, uint16_t from_zone, uint16_t to_zone,
                           bool reliable, time_ns *at)
{
    const struct scale_path *path = path_between(network, from_zone, to_zone);
    bool lost = !reliable && g_rand_double(network->random) < path->loss;
    if (lost || network->cut[from_zone][to_zone]) {
        return false;
    }
    double jitter = g_rand_double(network->random) * (double)path->jitter;
    *at = network->now + path->latency + (time_ns)jitter;
    return true;
}

void scale_network_set_cut(struct scale_network *network, uint16_t from_zone, uint16_t to_zone,
                           bool cut)
{
    network->cut[from_zone][to_zone] = cut;
}

bool scale_network_is_cut(const struct scale_network *network, uint16_t from_zone, uint16_t to_zone)
{
    return network->cut[from_zone][to_zone];
}
