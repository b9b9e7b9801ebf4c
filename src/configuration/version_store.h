/* Published versions in the platform: bundles under their content hash in the object store, the
 * head and the history in the table service. The head is what is accepted. */
#ifndef SW_CONFIGURATION_VERSION_STORE_H
#define SW_CONFIGURATION_VERSION_STORE_H

#include "configuration/version_row.h"
#include "storage/http_client.h"
#include "storage/result.h"

struct version_store;

/* A store reached by these settings. Calls block for at most the settings' time-out; any thread. */
struct version_store *version_store_new(const struct platform_settings *settings);

void version_store_free(struct version_store *store);

/* Reads the head, strongly consistent. OK: `row` is the caller's; NOT_FOUND: nothing is published
 * yet. */
enum platform_result version_store_read_head(struct version_store *store, struct version_row **row,
                                             GError **error);

/* Reads a version from the history. OK: `row` is the caller's. */
enum platform_result version_store_read_version(struct version_store *store, uint64_t version,
                                                struct version_row **row, GError **error);

/* Lists versions below `before` (0: from the newest), newest first, at most `limit`. Adds rows to
 * an array that frees them with version_row_free. */
enum platform_result version_store_list(struct version_store *store, uint64_t before,
                                        uint32_t limit, GPtrArray *rows, GError **error);

/* Writes a bundle under its hash. CONDITION_FAILED: it is there already. */
enum platform_result version_store_put_bundle(struct version_store *store, const char *hash,
                                              GBytes *canonical, GError **error);

/* Reads the bundle of a hash; OK only if its content has that hash. `canonical` is the caller's. */
enum platform_result version_store_get_bundle(struct version_store *store, const char *hash,
                                              GBytes **canonical, GError **error);

/* Moves the head from version row->version - 1 (0: nothing published) to `row` and adds it to the
 * history, both or neither. CONDITION_FAILED: the head is elsewhere. */
enum platform_result version_store_move_head(struct version_store *store,
                                             const struct version_row *row, GError **error);

#endif
