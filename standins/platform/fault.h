/* Faults that the platform stand-in shows on demand. */
#ifndef SW_STANDINS_PLATFORM_FAULT_H
#define SW_STANDINS_PLATFORM_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum platform_service {
    PLATFORM_SERVICE_TABLE,
    PLATFORM_SERVICE_OBJECT,
    PLATFORM_SERVICE_BOTH, /* of a fault only */
};

enum platform_fault_kind {
    PLATFORM_FAULT_DOWN,        /* closes the connection; the request has no effect */
    PLATFORM_FAULT_SLOW,        /* waits before the request takes effect */
    PLATFORM_FAULT_ANSWER_LOST, /* the request takes effect, then the connection is closed */
    PLATFORM_FAULT_THROTTLE,    /* answers as over the rate limit */
};

/* One fault. */
struct platform_fault {
    enum platform_fault_kind kind;
    enum platform_service service;
    uint32_t after;    /* requests to the service that pass first */
    uint32_t count;    /* requests that meet the fault; 0 means all until healed */
    uint32_t delay_ms; /* of PLATFORM_FAULT_SLOW */
};

/* What one request meets. */
struct platform_fault_effect {
    bool down;
    bool answer_lost;
    bool throttled;
    uint32_t delay_ms;
};

/* The kind with this name ("down", "slow", "answer_lost", "throttle"); false if there is none. */
bool platform_fault_kind_find(const char *name, enum platform_fault_kind *kind);

/* The service with this name ("table", "object", "both"); false if there is none. */
bool platform_service_find(const char *name, enum platform_service *service);

/* Counts one request to a service against the faults (GArray of struct platform_fault), drops
 * those used up, and returns what the request meets. */
struct platform_fault_effect platform_faults_take(GArray *faults, enum platform_service service);

#endif
