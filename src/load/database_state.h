/* Reads the final state directly from a group's databases: the rows that a majority hold
 * identically. A replaced primary may still hold rows that were never acknowledged; it is in the
 * minority. */
#ifndef SW_LOAD_DATABASE_STATE_H
#define SW_LOAD_DATABASE_STATE_H

#include "load/checker.h"

/* Reads all `addresses` ("HOST:PORT") repeatedly until more than half of them, counting those that
 * do not respond, hold the same rows. Fails with SW_ERROR after `timeout_ms`. */
struct final_state *database_state_read(const char *const *addresses, uint32_t timeout_ms,
                                        GError **error);

/* Adds the rows of `from` to `into`, to combine the states of two groups. */
void final_state_merge(struct final_state *into, const struct final_state *from);

/* True if both hold the same rows the same number of times. */
bool final_state_equal(const struct final_state *a, const struct final_state *b);

/* The state that more than half of `count` databases hold, or NULL. Entries of databases that did
 * not respond are NULL. */
const struct final_state *final_state_majority(struct final_state *const *states, size_t count);

#endif
