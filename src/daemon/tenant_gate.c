/* Limits the running requests of one tenant; see the header. */
#include "daemon/tenant_gate.h"

#include <glib.h>
#include <pthread.h>

struct tenant_gate {
    pthread_mutex_t lock; /* guards running */
    GHashTable *running;  /* tenant -> running requests, as pointer; absent if none */
};

struct tenant_gate *tenant_gate_new(void)
{
    struct tenant_gate *gate = g_new0(struct tenant_gate, 1);
    pthread_mutex_init(&gate->lock, NULL);
    gate->running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return gate;
}

void tenant_gate_free(struct tenant_gate *gate)
{
    g_assert(g_hash_table_size(gate->running) == 0);
    g_hash_table_destroy(gate->running);
    pthread_mutex_destroy(&gate->lock);
    g_free(gate);
}

bool tenant_gate_enter(struct tenant_gate *gate, const char *tenant, uint32_t limit)
{
    pthread_mutex_lock(&gate->lock);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(gate->running, tenant));
    bool accepted = limit == 0 || count < limit;
    if (accepted) {
        g_hash_table_replace(gate->running, g_strdup(tenant), GUINT_TO_POINTER(count + 1));
    }
    pthread_mutex_unlock(&gate->lock);
    return accepted;
}

void tenant_gate_leave(struct tenant_gate *gate, const char *tenant)
{
    pthread_mutex_lock(&gate->lock);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(gate->running, tenant));
    g_assert(count > 0);
    if (count > 1) {
        g_hash_table_replace(gate->running, g_strdup(tenant), GUINT_TO_POINTER(count - 1));
    } else {
        g_hash_table_remove(gate->running, tenant);
    }
    pthread_mutex_unlock(&gate->lock);
}
