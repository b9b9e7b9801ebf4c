/* The platform's list of machines. It may be out of date, so daemons use it only to find addresses
 * for their first contact with each other. */
#ifndef SW_STORAGE_MACHINE_LIST_H
#define SW_STORAGE_MACHINE_LIST_H

#include "storage/table_client.h"

/* One machine of the list. */
struct machine {
    char *id;      /* name of the daemon that runs there */
    char *zone;    /* name of its zone */
    char *address; /* IP:PORT of the daemon's internal listener */
    bool leaving;  /* marked by the platform for removal */
};

/* An array of struct machine that frees its elements. */
GPtrArray *machine_list_new(void);

/* Appends all machines to `machines`. Rows with a missing attribute are skipped. On failure the
 * array is unchanged. */
enum platform_result machine_list_read(struct table_client *client, const char *table,
                                       GPtrArray *machines, GError **error);

/* Writes or replaces a machine's row, as the platform does when it starts a machine or marks it for
 * removal. */
enum platform_result machine_list_write(struct table_client *client, const char *table,
                                        const struct machine *machine, GError **error);

/* Removes a machine's row. */
enum platform_result machine_list_remove(struct table_client *client, const char *table,
                                         const char *id, GError **error);

#endif
