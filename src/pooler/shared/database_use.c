/* Time that a group's databases spend on requests, by reason; see the header. */
#include "pooler/shared/database_use.h"

#include <inttypes.h>

static const char *const use_names[DATABASE_USE_COUNT] = {
    [DATABASE_USE_WRITE] = "write",
    [DATABASE_USE_TRANSACTION] = "transaction",
    [DATABASE_USE_STRICT_READ] = "strict_read",
    [DATABASE_USE_READ] = "read",
    [DATABASE_USE_BEGIN] = "begin",
    [DATABASE_USE_OPENING] = "opening",
    [DATABASE_USE_REFUSED] = "refused",
    [DATABASE_USE_STATUS] = "status",
};

void
database_use_count(database_uses_t *uses, bool at_primary, database_use_t use, time_ns spent)
{
    atomic_fetch_add_explicit(&uses->spent_us[at_primary][use], spent / NANOSECONDS_PER_MICROSECOND,
                              memory_order_relaxed);
    atomic_fetch_add_explicit(&uses->times[at_primary][use], 1, memory_order_relaxed);
}

static void
print_use(const database_uses_t *uses, int role, int use, const char *service, GString *out)
{
    uint64_t times = atomic_load_explicit(&uses->times[role][use], memory_order_relaxed);
    uint64_t spent = atomic_load_explicit(&uses->spent_us[role][use], memory_order_relaxed);
    if (times == 0) {
        return;
    }
    g_autofree char *labels = g_strdup_printf("service=\"%s\",role=\"%s\",use=\"%s\"", service,
                                              role == 0 ? "replica" : "primary", use_names[use]);
    g_string_append_printf(out, "swiftworks_database_use_seconds_total{%s} %g\n", labels,
                           (double)spent / 1e6);
    g_string_append_printf(out, "swiftworks_database_uses_total{%s} %" PRIu64 "\n", labels, times);
}

void
database_use_print(const database_uses_t *uses, const char *service, GString *out)
{
    for (int role = 0; role < 2; role++) {
        for (int use = 0; use < DATABASE_USE_COUNT; use++) {
            print_use(uses, role, use, service, out);
        }
    }
}
