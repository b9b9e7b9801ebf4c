/* The directory: what each database has last recorded of itself, newest record by the store's
 * version. Owned by the control thread. */
#ifndef SW_POOLER_DIRECTORY_H
#define SW_POOLER_DIRECTORY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/* A record that is gone for this long means that its database is leaving. A store that was down
 * may have dropped the record of a database that is well, which then records itself again. */
#define DIRECTORY_LEAVING_AFTER_HEARTBEATS 2

/* Heartbeats after which every living database has recorded itself at a store that answers. */
#define DIRECTORY_SETTLED_HEARTBEATS 4

struct directory_entry {
    char *id;
    char *service;
    char *zone;
    struct sockaddr_in address;
    uint32_t slots; /* statements that it runs at once; 0: not told */
    bool draining;
    bool leads;            /* it sees itself as primary */
    uint64_t born_ms;      /* when it started, by its own clock, since 1970; 0: not told */
    uint64_t sequence;     /* counts the database's writes since it started */
    uint64_t version;      /* of the row */
    time_ns deleted_at;    /* when the row was seen to be gone; 0 while it stands */
    time_ns present_since; /* when the row was first seen, or seen again after it was gone */
    bool departed;         /* its row stays gone though it could renew it: directory_note_left() */
    bool left;             /* and it does not answer the coordinator: no longer a member */
};

struct directory {
    GHashTable *entries; /* id -> struct directory_entry, owned; gone ones are kept for a while */
    GHashTable *groups;  /* service -> GPtrArray of its struct directory_entry, not owned */
    uint32_t deleted;    /* entries whose row is gone */
};

void directory_init(struct directory *directory);
void directory_clear(struct directory *directory);

/* Takes one row; `entry` (taken over) is NULL if the row is gone, or names no database that can be
 * used. True if anything but the row's version changed. Older rows than the known one are dropped,
 * and what a database wrote before it started again counts as nothing new. */
bool directory_apply_row(struct directory *directory, const char *id, uint64_t version,
                         struct directory_entry *entry, time_ns now);

/**
 * @brief Whether what is known of a database is newer than a record of it, by the database's own
 * count. For records that a restored store has from its copy: within an era, rows have versions.
 *
 * A record that is gone has no count. It stays gone, as the copy may be of before, unless the
 * database has started since; one that lives renews its record.
 */
bool directory_knows_newer(const struct directory *directory, const struct directory_entry *entry);

/* What is known of the database is what the row of this version says, or newer. */
void directory_confirm(struct directory *directory, const char *id, uint64_t version);

/**
 * @brief The databases of one group, those whose row is gone included. To walk over a group costs
 * its own size this way, and not that of the whole deployment.
 *
 * @return array of struct directory_entry, never NULL; valid until the directory changes.
 */
const GPtrArray *directory_group(const struct directory *directory, const char *service);

/**
 * @brief The one database of a group that says of itself that it leads.
 *
 * @return its id; NULL if none or several say so. Valid until the directory changes.
 */
const char *directory_leader(const struct directory *directory, const char *service);

/* True if the database takes no new work by what the directory tells. */
bool directory_entry_leaves(const struct directory_entry *entry, time_ns now, time_ns heartbeat);

/**
 * @brief Notes which databases stay away from the store, though they could reach it.
 *
 * A row that is gone does not prove that its database is: the database may live on cut off from the
 * store, and a store that was down drops rows of databases that are well. Counted as gone, it could
 * still acknowledge commits together with its primary that no counted member holds. So it stays
 * away only if all of this holds:
 * - its last row said that it drains, and not that it leads: the one that led last may hold commits
 *   that nobody else has;
 * - its row has been gone for DIRECTORY_SETTLED_HEARTBEATS;
 * - for as long, another database of its zone has had a row, so the zone reaches the store.
 * Otherwise it counts as living until directory_forget().
 *
 * @param as_of the last moment at which the entries here were known to be the store's newest; 0:
 *        none. Times are counted up to it.
 * @param heartbeat the time between two renewals of a row.
 */
void directory_note_left(struct directory *directory, time_ns as_of, time_ns heartbeat);

/* Forgets entries that are gone for longer than `age`. True if there were any. */
bool directory_forget(struct directory *directory, time_ns now, time_ns age);

void directory_entry_free(struct directory_entry *entry);

/* Decodes a database's record; the adapter implements it. NULL with `error` if it is malformed. */
struct directory_entry *directory_entry_decode(const char *id, const char *content, size_t length,
                                               GError **error);

#endif
