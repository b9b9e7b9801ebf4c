/* Client of the object store: a subset of the S3 REST protocol, with typed results. */
#ifndef SW_STORAGE_OBJECT_CLIENT_H
#define SW_STORAGE_OBJECT_CLIENT_H

#include "storage/http_client.h"
#include "storage/result.h"

struct object_client;

struct object_client *object_client_new(const struct platform_settings *settings);

void object_client_free(struct object_client *client);

/* Writes an object; CONDITION_FAILED if the key exists. `key` consists of unreserved URL characters
 * and '/'. Any thread. */
enum platform_result object_client_put_new(struct object_client *client, const char *key,
                                           GBytes *bytes, GError **error);

/* Reads an object of at most `bytes_max` bytes. OK: the caller owns `bytes`. Any thread. */
enum platform_result object_client_get(struct object_client *client, const char *key,
                                       gsize bytes_max, GBytes **bytes, GError **error);

#endif
