/* The table service's calls: DynamoDB JSON in, DynamoDB JSON out. */
#ifndef SW_STANDINS_PLATFORM_TABLE_API_H
#define SW_STANDINS_PLATFORM_TABLE_API_H

#include <stdint.h>

#include <glib.h>

#define TABLE_API_TARGET_PREFIX "DynamoDB_20120810."

/* One reply. The caller frees the body. */
struct table_api_answer {
    unsigned status;
    char *body;
};

/* Runs one call. `target` is the X-Amz-Target header (NULL if absent), `tables` maps names to
 * struct table, `now_us` is monotonic time in microseconds. The caller holds the lock. */
struct table_api_answer table_api_call(GHashTable *tables, const char *target, const char *body,
                                       gsize length, int64_t now_us);

/* An error in the service's format, with status 400; `type` is its short name. */
struct table_api_answer table_api_error(const char *type, const char *message);

#endif
