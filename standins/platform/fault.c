/* Faults that tests inject into the platform stand-in. */
#include "standins/platform/fault.h"

#include <string.h>

static const char *const kind_names[] = {
    [PLATFORM_FAULT_DOWN] = "down",
    [PLATFORM_FAULT_SLOW] = "slow",
    [PLATFORM_FAULT_ANSWER_LOST] = "answer_lost",
    [PLATFORM_FAULT_THROTTLE] = "throttle",
};

static const char *const service_names[] = {
    [PLATFORM_SERVICE_TABLE] = "table",
    [PLATFORM_SERVICE_OBJECT] = "object",
    [PLATFORM_SERVICE_BOTH] = "both",
};

bool platform_fault_kind_find(const char *name, enum platform_fault_kind *kind)
{
    for (guint i = 0; i < G_N_ELEMENTS(kind_names); i++) {
        if (g_strcmp0(kind_names[i], name) == 0) {
            *kind = (enum platform_fault_kind)i;
            return true;
        }
    }
    return false;
}

bool platform_service_find(const char *name, enum platform_service *service)
{
    for (guint i = 0; i < G_N_ELEMENTS(service_names); i++) {
        if (g_strcmp0(service_names[i], name) == 0) {
            *service = (enum platform_service)i;
            return true;
        }
    }
    return false;
}

static void add_effect(const struct platform_fault *fault, struct platform_fault_effect *effect)
{
    switch (fault->kind) {
    case PLATFORM_FAULT_DOWN:
        effect->down = true;
        break;
    case PLATFORM_FAULT_SLOW:
        effect->delay_ms = MAX(effect->delay_ms, fault->delay_ms);
        break;
    case PLATFORM_FAULT_ANSWER_LOST:
        effect->answer_lost = true;
        break;
    case PLATFORM_FAULT_THROTTLE:
        effect->throttled = true;
        break;
    }
}

/* Applies a fault to a request. True if this used up the fault's count. */
static bool apply_fault(struct platform_fault *fault, struct platform_fault_effect *effect)
{
    if (fault->after > 0) {
        fault->after--;
        return false;
    }
    add_effect(fault, effect);
    if (fault->count == 0) {
        return false;
    }
    fault->count--;
    return fault->count == 0;
}

struct platform_fault_effect platform_faults_take(GArray *faults, enum platform_service service)
{
    struct platform_fault_effect effect = {0};
    guint i = 0;

    while (i < faults->len) {
        struct platform_fault *fault = &g_array_index(faults, struct platform_fault, i);
        bool affected = fault->service == PLATFORM_SERVICE_BOTH || fault->service == service;
        if (affected && apply_fault(fault, &effect)) {
            g_array_remove_index(faults, i);
        } else {
            i++;
        }
    }
    return effect;
}
