/* Limit on the running requests of one tenant: counted per tenant, released at the end, and
 * unlimited if zero. */
#include "daemon/tenant_gate.h"

#include <glib.h>

static void test_limit_is_per_tenant(void)
{
    struct tenant_gate *gate = tenant_gate_new();
    g_assert_true(tenant_gate_enter(gate, "hut", 2));
    g_assert_true(tenant_gate_enter(gate, "hut", 2));
    g_assert_false(tenant_gate_enter(gate, "hut", 2));
    g_assert_true(tenant_gate_enter(gate, "guide", 2));
    tenant_gate_leave(gate, "hut");
    g_assert_true(tenant_gate_enter(gate, "hut", 2));
    tenant_gate_leave(gate, "hut");
    tenant_gate_leave(gate, "hut");
    tenant_gate_leave(gate, "guide");
    tenant_gate_free(gate);
}

static void test_zero_is_no_limit(void)
{
    struct tenant_gate *gate = tenant_gate_new();
    for (int i = 0; i < 1000; i++) {
        g_assert_true(tenant_gate_enter(gate, "hut", 0));
    }
    for (int i = 0; i < 1000; i++) {
        tenant_gate_leave(gate, "hut");
    }
    tenant_gate_free(gate);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemon/tenant_gate/limit", test_limit_is_per_tenant);
    g_test_add_func("/daemon/tenant_gate/no_limit", test_zero_is_no_limit);
    return g_test_run();
}
