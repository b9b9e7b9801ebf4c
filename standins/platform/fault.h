/* Faults that tests inject into the platform stand-in. */
#ifndef SW_STANDINS_PLATFORM_FAULT_H
#define SW_STANDINS_PLATFORM_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum platform_service {
    PLATFORM_SERVICE_TABLE,
    PLATFORM_SERVICE_OBJECT,
    PLATFORM_SERVICE_BOTH, /* in faults only */
};

enum platform_fault_kind {
    PLATFORM_FAULT_DOWN,        /* closes the connection; the request has no effect */
    PLATFORM_FAULT_SLOW,        /* waits before the request takes effect */
    PLATFORM_FAULT_ANSWER_LOST, /* the request takes effect, then the connection is closed */
    PLATFORM_FAULT_THROTTLE,    /* answers with the error for an exceeded rate limit */
};

/* One injected fault. */
struct platform_fault {
    enum platform_fault_kind kind;
    enum platform_service service;
    uint32_t after;    /* number of requests to the service that pass before it */
    uint32_t count;    /* requests that it affects; 0: all until it is removed */
    uint32_t delay_ms; /* of PLATFORM_FAULT_SLOW */
};

/* The combined effect of all faults on one request. */
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

/* Counts one request to a service against the faults (GArray of struct platform_fault), removes
 * those that are used up, and returns the effect on the request. */
struct platform_fault_effect platform_faults_take(GArray *faults, enum platform_service service);

#endif
