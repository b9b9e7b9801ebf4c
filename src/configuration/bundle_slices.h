/* Splits the text of a canonical bundle into slices of tenants. The json-glib tree of a text takes
 * many times the text's size, and tenants are nearly all of a large bundle. Parsing one slice at a
 * time limits the peak memory to the tree of one slice. The text is not validated here, because
 * each part is parsed as JSON later; a text that is not in the expected form is not split. */
#ifndef SW_CONFIGURATION_BUNDLE_SLICES_H
#define SW_CONFIGURATION_BUNDLE_SLICES_H

#include <stdbool.h>

#include <glib.h>

/* Most tenants in one slice. */
#define BUNDLE_SLICE_TENANTS 1000

struct bundle_slices {
    char *rest;        /* the bundle's text with "tenants" emptied */
    GPtrArray *slices; /* char *: texts of JSON objects whose members are tenants, in order */
};

/* Fills `slices`, which the caller clears in either case. False if the text has no "tenants"
 * section of the canonical form. */
bool bundle_slices_split(const char *json, gsize length, struct bundle_slices *slices);

void bundle_slices_clear(struct bundle_slices *slices);

#endif
