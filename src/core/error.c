/* The error domain, registered with GLib. */
#include "core/error.h"

GQuark sw_error_quark(void)
{
    return g_quark_from_static_string("swiftworks-error");
}
