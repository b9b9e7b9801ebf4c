/* The GError domain of swiftworks. Codes are `enum error_kind` of src/generated/errors.h. */
#ifndef SW_CORE_ERROR_H
#define SW_CORE_ERROR_H

#include <glib.h>

#define SW_ERROR (sw_error_quark())

/* The domain of all errors raised by this project's code. */
GQuark sw_error_quark(void);

#endif
