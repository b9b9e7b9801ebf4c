/* Results of calls to the platform: names and error kinds. */
#include "storage/result.h"

const char *platform_result_name(enum platform_result result)
{
    switch (result) {
    case PLATFORM_RESULT_OK:
        return "ok";
    case PLATFORM_RESULT_NOT_FOUND:
        return "not found";
    case PLATFORM_RESULT_CONDITION_FAILED:
        return "condition failed";
    case PLATFORM_RESULT_THROTTLED:
        return "throttled";
    case PLATFORM_RESULT_UNAVAILABLE:
        return "unavailable";
    case PLATFORM_RESULT_UNKNOWN:
        return "unknown";
    case PLATFORM_RESULT_REFUSED:
        return "refused";
    }
    return "invalid";
}

enum error_kind platform_result_kind(enum platform_result result)
{
    switch (result) {
    case PLATFORM_RESULT_THROTTLED:
    case PLATFORM_RESULT_UNAVAILABLE:
    case PLATFORM_RESULT_UNKNOWN:
        return ERROR_KIND_STORE_UNAVAILABLE;
    case PLATFORM_RESULT_CONDITION_FAILED:
        return ERROR_KIND_CONFLICT;
    default:
        return ERROR_KIND_INTERNAL;
    }
}
