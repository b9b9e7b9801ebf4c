/**
 * @file
 * @brief The directory of databases: the row that each database has last written about itself, by
 * the store's version. Only for the control thread.
 */
#ifndef SW_POOLER_DIRECTORY_H
#define SW_POOLER_DIRECTORY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/* A database counts as leaving when its row has been deleted for this many heartbeats. A store that
 * was down may have dropped the row of a running database, which then writes it again. */
#define DIRECTORY_LEAVING_AFTER_HEARTBEATS 2

/* Number of heartbeats in which every running database has written its row, if the store is up. */
#define DIRECTORY_SETTLED_HEARTBEATS 4

/** @brief One database, by its newest row. */
struct directory_entry {
    char *id;
    char *service;
    char *zone;
    struct sockaddr_in address;
    uint32_t slots; /* statements that it runs concurrently; 0: not known */
    bool draining;
    bool leads;            /* it reports that it is the primary */
    uint64_t born_ms;      /* start time by its own clock, since 1970; 0: not known */
    uint64_t sequence;     /* of this write, counted by the database since its start */
    uint64_t version;      /* of the row */
    time_ns deleted_at;    /* when the row was seen to be deleted; 0: it is present */
    time_ns present_since; /* when the row was first seen, or seen again after a deletion */
    bool departed;         /* the row stays deleted: see directory_note_departed() */
    bool left;             /* departed, and does not answer the coordinator: no longer a member */
};

struct directory {
    GHashTable *entries; /* id -> struct directory_entry, owned; deleted ones for a while */
    GHashTable *groups;  /* service -> GPtrArray of its struct directory_entry, not owned */
    uint32_t deleted;    /* number of entries whose row is deleted */
};

void directory_init(struct directory *directory);
void directory_clear(struct directory *directory);

/**
 * @brief Applies one row. Rows that are not newer than the known one are ignored. A row that the
 * database wrote before its restart only updates the version.
 *
 * @param entry taken over; NULL: the row is deleted, or describes no usable database.
 * @return true if anything but the row's version changed.
 */
bool directory_apply_row(struct directory *directory, const char *id, uint64_t version,
                         struct directory_entry *entry, time_ns now);

/**
 * @brief Whether the known entry of a database is newer than another row of it, by the database's
 * own start time and sequence. For rows of a restored store; within an era, versions are compared.
 *
 * A deletion has no sequence. A deleted entry counts as newer, as the restored copy may be from
 * before the deletion, unless the database has restarted since. A running database writes its row
 * again.
 */
bool directory_knows_newer(const struct directory *directory, const struct directory_entry *entry);

/** @brief Notes that the known entry is at least as new as the row of this version. */
void directory_confirm(struct directory *directory, const char *id, uint64_t version);

/**
 * @brief The databases of one group, including those whose row is deleted. The cost of a walk over
 * a group depends on the size of the group only, and not on that of the directory.
 *
 * @return array of struct directory_entry, never NULL; valid until the directory changes.
 */
const GPtrArray *directory_group(const struct directory *directory, const char *service);

/**
 * @brief The only database of a group whose row reports that it leads.
 *
 * @return its id; NULL if no row or several rows do. Valid until the directory changes.
 */
const char *directory_leader(const struct directory *directory, const char *service);

/** @return true if the database takes no new work, as it is draining or its row stays deleted.
 *  @param heartbeat interval of renewing a row. */
bool directory_entry_leaves(const struct directory_entry *entry, time_ns now, time_ns heartbeat);

/**
 * @brief Sets `departed` of the databases that count as stopped, by the conditions below.
 *
 * A deleted row does not prove that its database has ended: the database may be running,
 * partitioned from the store, and a store that was down drops rows of running databases. If such a
 * database were not counted as a member, it and its primary could still acknowledge commits that no
 * member holds. A database has therefore departed only if all of this holds:
 * - its last row reports that it drains and does not lead: a primary may hold unique commits;
 * - its row has been deleted for DIRECTORY_SETTLED_HEARTBEATS;
 * - for the same time, another database of its zone has had a row, so the zone reaches the store.
 * Otherwise it counts as running until directory_forget().
 *
 * @param as_of the newest moment at which the entries here were known to be the store's newest; 0:
 *        none. Durations are counted up to it.
 * @param heartbeat interval of renewing a row.
 */
void directory_note_departed(struct directory *directory, time_ns as_of, time_ns heartbeat);

/** @brief Drops entries whose row has been deleted for `age`. @return true if there were any. */
bool directory_forget(struct directory *directory, time_ns now, time_ns age);

void directory_entry_free(struct directory_entry *entry);

/** @brief Decodes a database's row. The adapter to a platform implements it.
 *  @return NULL with `error` if it is malformed. */
struct directory_entry *directory_entry_decode(const char *id, const char *content, size_t length,
                                               GError **error);

#endif
