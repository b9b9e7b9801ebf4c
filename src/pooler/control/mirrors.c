/* Which poolers are mirrors, and when a pooler requests the tables; see the header. */
#include "pooler/control/mirrors.h"

#include <string.h>

/* A fleet that has grown by more than one in this many since the previous choice is still
 * connecting. */
#define GROWTH_SLACK 8

/* Time-out of the open request. */
static time_ns
request_timeout(const mirror_requests_t *requests, const mirror_inputs_t *inputs)
{
    time_ns wait = requests->acknowledged ? MIRROR_ANSWER_TIMEOUT_NS : MIRROR_ACK_TIMEOUT_NS;
    return inputs->starts
               ? wait
               : MIN(wait, (time_ns)((double)inputs->bound * MIRROR_CHANGE_TIMEOUT_PART));
}

static bool
has_tried_enough(const mirror_requests_t *requests, const mirror_inputs_t *inputs, time_ns now)
{
    if (!inputs->starts) {
        return requests->sent > 0;
    }
    return requests->sent >= MIRROR_REQUESTS_MIN &&
           now >= requests->first_sent_at + MIRROR_TRY_MIN_NS;
}

mirror_step_t
mirror_next_step(const mirror_requests_t *requests, const mirror_inputs_t *inputs, time_ns now)
{
    if (inputs->reads_store) {
        return MIRROR_STEP_STORE;
    }
    if (requests->sent_at != 0 && now < requests->sent_at + request_timeout(requests, inputs)) {
        return MIRROR_STEP_WAIT;
    }
    if (inputs->mirrors == 0) {
        bool list_expected = inputs->starts && inputs->may_learn_mirrors &&
                             now < inputs->missing_since + MIRROR_NAMES_WAIT_NS;
        return list_expected ? MIRROR_STEP_WAIT : MIRROR_STEP_STORE;
    }
    if (has_tried_enough(requests, inputs, now)) {
        return MIRROR_STEP_STORE;
    }
    bool rests = requests->failed_at != 0 && now < requests->failed_at + MIRROR_RETRY_NS;
    return rests ? MIRROR_STEP_WAIT : MIRROR_STEP_REQUEST;
}

static void
free_mirror(gpointer data)
{
    struct pooler_mirror *mirror = data;
    pooler_mirror_clear(mirror);
    g_free(mirror);
}

GPtrArray *
mirrors_new(void)
{
    return g_ptr_array_new_with_free_func(free_mirror);
}

void
mirrors_add(GPtrArray *mirrors, const char *address, const char *zone)
{
    struct pooler_mirror *mirror = g_new0(struct pooler_mirror, 1);
    mirror->address = g_strdup(address == NULL ? "" : address);
    mirror->zone = g_strdup(zone == NULL ? "" : zone);
    g_ptr_array_add(mirrors, mirror);
}

/* Strong machines first; among equals by hash, so that the choice is stable as poolers come and go.
 */
static int
compare(const void *a, const void *b)
{
    const mirror_candidate_t *first = a;
    const mirror_candidate_t *second = b;
    if (first->millicores != second->millicores) {
        return first->millicores > second->millicores ? -1 : 1;
    }
    guint first_hash = g_str_hash(first->address);
    guint second_hash = g_str_hash(second->address);
    if (first_hash != second_hash) {
        return first_hash < second_hash ? -1 : 1;
    }
    return strcmp(first->address, second->address);
}

/* Number of candidates in each zone. */
static GHashTable *
count_zones(const mirror_candidate_t *candidates, size_t count)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < count; i++) {
        guint known = GPOINTER_TO_UINT(g_hash_table_lookup(zones, candidates[i].zone));
        g_hash_table_insert(zones, (gpointer)candidates[i].zone, GUINT_TO_POINTER(known + 1));
    }
    return zones;
}

static unsigned
count_in_zone(const GPtrArray *mirrors, const char *zone)
{
    unsigned count = 0;
    for (guint i = 0; i < mirrors->len; i++) {
        count += g_str_equal(((const struct pooler_mirror *)mirrors->pdata[i])->zone, zone);
    }
    return count;
}

/* Poolers per mirror, such that MIRRORS_MAX is kept although each zone rounds its number up. */
static size_t
poolers_for_each(size_t count, guint zones)
{
    size_t most = MIRRORS_MAX > zones ? MIRRORS_MAX - zones : 1;
    return MAX(POOLERS_PER_MIRROR, (count + most - 1) / most);
}

GPtrArray *
mirrors_choose(mirror_candidate_t *candidates, size_t count)
{
    GPtrArray *mirrors = mirrors_new();
    g_autoptr(GHashTable) zones = count_zones(candidates, count);
    size_t each = poolers_for_each(count, g_hash_table_size(zones));
    qsort(candidates, count, sizeof *candidates, compare);
    for (size_t i = 0; i < count; i++) {
        guint poolers = GPOINTER_TO_UINT(g_hash_table_lookup(zones, candidates[i].zone));
        size_t most = (poolers + each - 1) / each;
        bool fits = mirrors->len < MIRRORS_MAX;
        if (fits && count_in_zone(mirrors, candidates[i].zone) < most) {
            mirrors_add(mirrors, candidates[i].address, candidates[i].zone);
        }
    }
    return mirrors;
}

bool
mirrors_choice_is_settled(const mirror_choice_t *choice, time_ns now)
{
    if (now >= choice->since + MIRRORS_KEEP_NS) {
        return true;
    }
    if (choice->known > 0) {
        return choice->chosen >= choice->known;
    }
    return choice->candidates * GROWTH_SLACK <= choice->candidates_before * (GROWTH_SLACK + 1);
}

bool
mirrors_equal(const GPtrArray *a, const GPtrArray *b)
{
    if (a->len != b->len) {
        return false;
    }
    for (guint i = 0; i < a->len; i++) {
        const struct pooler_mirror *first = a->pdata[i];
        const struct pooler_mirror *second = b->pdata[i];
        if (!g_str_equal(first->address, second->address)) {
            return false;
        }
    }
    return true;
}

/* Counts the mirrors without this pooler in one zone (`same`) or in all others, and sets `out` to
 * the address of number `place` among them. */
static unsigned
pick(const GPtrArray *mirrors, const char *zone, bool same, const char *own, unsigned place,
     const char **out)
{
    unsigned count = 0;
    for (guint i = 0; i < mirrors->len; i++) {
        const struct pooler_mirror *mirror = mirrors->pdata[i];
        if (g_str_equal(mirror->zone, zone) != same || g_str_equal(mirror->address, own)) {
            continue;
        }
        if (count == place) {
            *out = mirror->address;
        }
        count++;
    }
    return count;
}

const char *
mirrors_at(const GPtrArray *mirrors, const char *zone, const char *own, guint seed, unsigned turn)
{
    const char *address = NULL;
    unsigned near = pick(mirrors, zone, true, own, UINT_MAX, &address);
    unsigned far = pick(mirrors, zone, false, own, UINT_MAX, &address);
    unsigned place = near + far == 0 ? 0 : turn % (near + far);
    if (place < near) {
        pick(mirrors, zone, true, own, (seed + place) % near, &address);
    } else if (far > 0) {
        pick(mirrors, zone, false, own, (seed + place) % far, &address);
    }
    return address;
}

unsigned
mirrors_count_others(const GPtrArray *mirrors, const char *own)
{
    unsigned count = mirrors->len;
    for (guint i = 0; i < mirrors->len; i++) {
        count -= g_str_equal(((const struct pooler_mirror *)mirrors->pdata[i])->address, own);
    }
    return count;
}
