/* Cuts the text of a canonical bundle between tenants. A tree of json-glib takes many times the
 * text's size, and nearly all of a large bundle are tenants: read a slice at a time, only one slice
 * of them is a tree at any moment. Nothing is checked here; the parts are parsed as JSON, and a
 * text that is not as expected is not cut. */
#ifndef SW_CONFIGURATION_BUNDLE_SLICES_H
#define SW_CONFIGURATION_BUNDLE_SLICES_H

#include <stdbool.h>

#include <glib.h>

/* Tenants in one slice. */
#define BUNDLE_SLICE_TENANTS 1000

struct bundle_slices {
    char *rest;        /* the bundle's text with an empty "tenants" */
    GPtrArray *slices; /* char *: JSON objects that have the tenants, in the text's order */
};

/* Fills `slices`, which the caller clears; false if there is nothing to cut. */
bool bundle_slices_cut(const char *json, gsize length, struct bundle_slices *slices);

void bundle_slices_clear(struct bundle_slices *slices);

#endif
