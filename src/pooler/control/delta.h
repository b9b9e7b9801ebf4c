/**
 * @file
 * @brief Deltas between two versions of a text, for receivers that have the earlier one. A change
 * of an operators' configuration of 600 KB becomes some hundred bytes, so that hundreds of poolers
 * need not read the complete text over links of a few megabits a second.
 *
 * Texts are compared in pieces that end with '}', as JSON objects do: objects that have moved, or
 * that are between changed ones, are still found.
 */
#ifndef SW_POOLER_DELTA_H
#define SW_POOLER_DELTA_H

#include <glib.h>
#include <stdint.h>

/** @return a delta that turns `from` into `to`, never NULL. It may be longer than `to` if they have
 * little in common. */
GBytes *delta_make(GBytes *from, GBytes *to);

/** @brief Applies a delta to `from`.
 * @param hash of the expected result, by delta_hash().
 * @return the result; NULL with `error` (SW_ERROR, ERROR_KIND_BAD_REQUEST) if the delta is
 * malformed or the result has another hash. */
GBytes *delta_apply(GBytes *from, GBytes *delta, uint64_t hash, GError **error);

/** @return a hash of the text, to verify the result of delta_apply(). */
uint64_t delta_hash(GBytes *text);

#endif
