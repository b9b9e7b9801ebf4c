/* The object store's calls: a subset of S3 REST with path-style names, /BUCKET/KEY. */
#ifndef SW_STANDINS_PLATFORM_OBJECT_API_H
#define SW_STANDINS_PLATFORM_OBJECT_API_H

#include <glib.h>

/* One reply. The caller releases the body with g_bytes_unref. */
struct object_api_answer {
    unsigned status;
    const char *content_type;
    GBytes *body;
};

/* Runs PUT, GET or HEAD. `objects` maps paths to GBytes; `if_none_match` is the header or NULL.
 * The caller holds the lock. */
struct object_api_answer object_api_call(GHashTable *objects, const char *method, const char *path,
                                         const char *if_none_match, const GByteArray *body);

/* An error in the service's format. */
struct object_api_answer object_api_error(unsigned status, const char *code, const char *message);

#endif
