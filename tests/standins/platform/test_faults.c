/* Which requests a fault of the platform stand-in affects. */
#include "standins/platform/fault.h"

static GArray *faults_new(struct platform_fault fault)
{
    GArray *faults = g_array_new(FALSE, FALSE, sizeof(struct platform_fault));

    g_array_append_val(faults, fault);
    return faults;
}

static void test_counted_fault_ends(void)
{
    g_autoptr(GArray) faults =
        faults_new((struct platform_fault){.kind = PLATFORM_FAULT_ANSWER_LOST,
                                           .service = PLATFORM_SERVICE_TABLE,
                                           .after = 1,
                                           .count = 2});

    g_assert_false(platform_faults_take(faults, PLATFORM_SERVICE_TABLE).answer_lost);
    g_assert_false(platform_faults_take(faults, PLATFORM_SERVICE_OBJECT).answer_lost);
    g_assert_true(platform_faults_take(faults, PLATFORM_SERVICE_TABLE).answer_lost);
    g_assert_true(platform_faults_take(faults, PLATFORM_SERVICE_TABLE).answer_lost);
    g_assert_false(platform_faults_take(faults, PLATFORM_SERVICE_TABLE).answer_lost);
    g_assert_cmpuint(faults->len, ==, 0);
}

static void test_uncounted_fault_stays(void)
{
    g_autoptr(GArray) faults = faults_new((struct platform_fault){
        .kind = PLATFORM_FAULT_SLOW, .service = PLATFORM_SERVICE_BOTH, .delay_ms = 30});

    for (guint i = 0; i < 5; i++) {
        g_assert_cmpuint(platform_faults_take(faults, PLATFORM_SERVICE_OBJECT).delay_ms, ==, 30);
    }
    g_assert_cmpuint(faults->len, ==, 1);
}

static void test_names(void)
{
    enum platform_fault_kind kind = PLATFORM_FAULT_DOWN;
    enum platform_service service = PLATFORM_SERVICE_TABLE;

    g_assert_true(platform_fault_kind_find("throttle", &kind));
    g_assert_cmpint(kind, ==, PLATFORM_FAULT_THROTTLE);
    g_assert_false(platform_fault_kind_find("fire", &kind));
    g_assert_false(platform_fault_kind_find(NULL, &kind));
    g_assert_true(platform_service_find("object", &service));
    g_assert_cmpint(service, ==, PLATFORM_SERVICE_OBJECT);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/standin/faults/counted", test_counted_fault_ends);
    g_test_add_func("/standin/faults/uncounted", test_uncounted_fault_stays);
    g_test_add_func("/standin/faults/names", test_names);
    return g_test_run();
}
