/* Published versions: bundles under their content hash in the object store, the head (the row of
 * the newest version) and the history (a row for each version) in the table service. The head
 * decides which version is in force. */
#ifndef SW_CONFIGURATION_VERSION_STORE_H
#define SW_CONFIGURATION_VERSION_STORE_H

#include "configuration/version_row.h"
#include "storage/http_client.h"
#include "storage/result.h"

struct version_store;

/* A client for the store with these settings. Each request blocks for at most the settings'
 * time-out. Any thread. */
struct version_store *version_store_new(const struct platform_settings *settings);

void version_store_free(struct version_store *store);

/* Reads the head, strongly consistent. OK: the caller frees `row`; NOT_FOUND: nothing was published
 * yet. */
enum platform_result version_store_read_head(struct version_store *store, struct version_row **row,
                                             GError **error);

/* Reads a version from the history. OK: the caller frees `row`. */
enum platform_result version_store_read_version(struct version_store *store, uint64_t version,
                                                struct version_row **row, GError **error);

/* Lists versions below `before` (0: from the newest), newest first, at most `limit`. Adds rows to
 * an array that frees them with version_row_free. */
enum platform_result version_store_list(struct version_store *store, uint64_t before,
                                        uint32_t limit, GPtrArray *rows, GError **error);

/* Writes a bundle under its hash. CONDITION_FAILED: an object of this key exists already. */
enum platform_result version_store_put_bundle(struct version_store *store, const char *hash,
                                              GBytes *canonical, GError **error);

/* Reads the bundle of a hash and checks the hash of its content. OK: the caller owns `canonical`;
 * REFUSED if the hash differs. */
enum platform_result version_store_get_bundle(struct version_store *store, const char *hash,
                                              GBytes **canonical, GError **error);

/* In one transaction, moves the head from version row->version - 1 (0: nothing published) to `row`
 * and adds `row` to the history. CONDITION_FAILED: the head is at another version. */
enum platform_result version_store_move_head(struct version_store *store,
                                             const struct version_row *row, GError **error);

#endif
