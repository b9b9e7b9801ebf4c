/* Exit codes of swiftctl. */
#include "ctl/exit_code.h"

#include "core/error.h"
#include "generated/errors.h"

enum exit_code exit_code_of_error(const GError *error)
{
    if (error->domain == G_OPTION_ERROR) {
        return EXIT_CODE_USAGE;
    }
    if (g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT)) {
        return EXIT_CODE_NOT_FOUND;
    }
    if (error->domain != SW_ERROR) {
        return EXIT_CODE_INTERNAL;
    }
    switch ((enum error_kind)error->code) {
    case ERROR_KIND_BAD_REQUEST:
        return EXIT_CODE_USAGE;
    case ERROR_KIND_INVALID_CONFIGURATION:
        return EXIT_CODE_INVALID;
    case ERROR_KIND_PUBLISH_CONFLICT:
        return EXIT_CODE_CONFLICT;
    case ERROR_KIND_UNKNOWN_TENANT:
        return EXIT_CODE_NOT_FOUND;
    case ERROR_KIND_STORE_UNAVAILABLE:
    case ERROR_KIND_PEER_UNREACHABLE:
        return EXIT_CODE_UNAVAILABLE;
    case ERROR_KIND_OUTCOME_UNKNOWN:
        return EXIT_CODE_UNKNOWN;
    case ERROR_KIND_UNAUTHORIZED_ADMIN:
    case ERROR_KIND_STOPPING:
    case ERROR_KIND_NOT_READY:
        return EXIT_CODE_REFUSED;
    default:
        return EXIT_CODE_INTERNAL;
    }
}
