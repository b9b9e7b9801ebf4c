/* Evacuation of zones. See evacuation.h. */
#include "pooler/control/evacuation.h"

/* An evacuation ends this long after its request was deleted. A store that was restored from an
 * older copy may not have the request, and operators have written it again by then. */
#define WITHDRAWN_AFTER_NS (1500 * NANOSECONDS_PER_MILLISECOND)

typedef struct evacuation {
    time_ns since;      /* when the request became known */
    time_ns deleted_at; /* when the request was deleted; 0: it is in force */
} evacuation_t;

void
evacuations_init(evacuations_t *evacuations, time_ns bound)
{
    evacuations->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    evacuations->bound = bound;
}

void
evacuations_clear(evacuations_t *evacuations)
{
    g_clear_pointer(&evacuations->zones, g_hash_table_unref);
}

static bool
is_over(const evacuation_t *evacuation, time_ns now)
{
    return evacuation->deleted_at != 0 && now >= evacuation->deleted_at + WITHDRAWN_AFTER_NS;
}

bool
evacuations_set(evacuations_t *evacuations, const char *zone, bool evacuated, time_ns now)
{
    evacuation_t *evacuation = g_hash_table_lookup(evacuations->zones, zone);
    bool requested = evacuation != NULL && evacuation->deleted_at == 0;
    if (evacuated == requested) {
        return false;
    }
    if (!evacuated) {
        evacuation->deleted_at = now;
        return true;
    }
    if (evacuation == NULL) {
        evacuation = g_new0(evacuation_t, 1);
        g_hash_table_insert(evacuations->zones, g_strdup(zone), evacuation);
        evacuation->since = now;
    } else if (is_over(evacuation, now)) {
        evacuation->since = now;
    }
    evacuation->deleted_at = 0;
    return true;
}

evacuation_phase_t
evacuations_phase(const evacuations_t *evacuations, const char *zone, time_ns now)
{
    const evacuation_t *evacuation =
        evacuations->zones == NULL ? NULL : g_hash_table_lookup(evacuations->zones, zone);
    if (evacuation == NULL || is_over(evacuation, now)) {
        return EVACUATION_NONE;
    }
    bool closed = now >= evacuation->since + evacuations->bound / 2;
    return closed ? EVACUATION_CLOSED : EVACUATION_DRAINING;
}
