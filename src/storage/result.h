/* Result of a call to the platform, classified by what the caller may do next. Only after UNKNOWN
 * may a write have taken effect without confirmation. */
#ifndef SW_STORAGE_RESULT_H
#define SW_STORAGE_RESULT_H

#include "generated/errors.h"

enum platform_result {
    PLATFORM_RESULT_OK,
    PLATFORM_RESULT_NOT_FOUND,        /* no such item or object */
    PLATFORM_RESULT_CONDITION_FAILED, /* no effect: the condition was false */
    PLATFORM_RESULT_THROTTLED,   /* no effect: a rate limit or a conflicting request; retry later */
    PLATFORM_RESULT_UNAVAILABLE, /* no effect: the request was not sent */
    PLATFORM_RESULT_UNKNOWN,     /* sent, but no valid answer: may take effect, even later */
    PLATFORM_RESULT_REFUSED,     /* no effect: the platform rejects the request as invalid */
};

/* Short name for logs, such as "throttled". */
const char *platform_result_name(enum platform_result result);

/* The error kind of a result that is not OK. */
enum error_kind platform_result_kind(enum platform_result result);

#endif
