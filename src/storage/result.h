/* What became of a call to the platform. Told apart by what the caller may do next: only UNKNOWN
 * leaves open whether a write took effect. */
#ifndef SW_PLATFORM_RESULT_H
#define SW_PLATFORM_RESULT_H

#include "generated/errors.h"

enum platform_result {
    PLATFORM_RESULT_OK,
    PLATFORM_RESULT_NOT_FOUND,        /* there is no such item or object */
    PLATFORM_RESULT_CONDITION_FAILED, /* no effect: the condition did not hold */
    PLATFORM_RESULT_THROTTLED,        /* no effect: over a rate limit; try later */
    PLATFORM_RESULT_UNAVAILABLE,      /* no effect: the request was not sent */
    PLATFORM_RESULT_UNKNOWN,          /* sent, but no answer: it may take effect, even later */
    PLATFORM_RESULT_REFUSED,          /* no effect: the platform refuses the request as such */
};

/* Short name for logs, such as "throttled". */
const char *platform_result_name(enum platform_result result);

/* The error kind of a result that is not OK. */
enum error_kind platform_result_kind(enum platform_result result);

#endif
