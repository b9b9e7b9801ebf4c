/**
 * @file
 * @brief Interface to the store, an external service that persists versioned rows. The adapter to a
 * platform implements it.
 *
 * All functions are for the control thread. Callbacks run on its event loop.
 */
#ifndef SW_POOLER_STORE_H
#define SW_POOLER_STORE_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** @brief The tables of the store. */
enum store_table {
    STORE_TABLE_CONFIGURATION, /* written by operators */
    STORE_TABLE_DIRECTORY,     /* written by databases */
    STORE_TABLE_CONTROL,       /* written by the poolers */
    STORE_TABLE_COUNT,
};

/* Each write raises the version of a row. A store that was restored from an older copy of itself
 * assigns numbers again that it had assigned before the restore. It therefore counts its restores
 * in an era, and a version has the era in its high bits and the store's number in its low bits. */
#define STORE_ERA_SHIFT 40

static inline uint64_t
store_version(uint64_t era, uint64_t number)
{
    return era << STORE_ERA_SHIFT | number;
}

static inline uint64_t
store_era(uint64_t version)
{
    return version >> STORE_ERA_SHIFT;
}

/* The number that the store itself assigned. */
static inline uint64_t
store_number(uint64_t version)
{
    return version & ((UINT64_C(1) << STORE_ERA_SHIFT) - 1);
}

/** @brief Key of the configuration in its table. */
extern const char *const store_configuration_key;

/** @return the zone whose evacuation a row with this key of the configuration table requests; NULL
 *  if the key is of another kind. */
const char *store_evacuated_zone(const char *key);

enum store_outcome {
    STORE_DONE,
    STORE_CONFLICT,     /* the condition of a write did not hold; nothing was written */
    STORE_REFUSED,      /* nothing was done; try again later */
    STORE_HISTORY_GONE, /* the store no longer has the changes since that version, or the version is
                           of another era */
    STORE_UNKNOWN, /* no answer, or one of another era: a write may have been done, or may still be
                      done */
};

/** @return the outcome's name for the log. */
const char *store_outcome_name(enum store_outcome outcome);

struct store_row {
    char *key;
    uint64_t version;
    bool gone;     /* it was deleted */
    GBytes *value; /* NULL if it was deleted */
};

struct store_answer {
    enum store_outcome outcome;
    GPtrArray *rows;   /* of struct store_row, owned by the answer */
    uint64_t version;  /* newest version in the store; 0: not in the answer */
    uint64_t clock_ms; /* the store's monotonic clock; 0: not in the answer */
    uint64_t era; /* how often the store was restored from an older copy; 0: never, or no answer */
    uint64_t bytes; /* length of the answer */
};

/** @param answer valid during the call only. */
typedef void store_callback(void *user, const struct store_answer *answer);

struct store;

/** @brief Creates a client of the store at this address. */
struct store *store_new(struct event_base *base, const struct sockaddr_in *address);
void store_free(struct store *store);

/** @brief Reads all rows of a table, as one consistent snapshot. */
void store_read(struct store *store, enum store_table table, store_callback *callback, void *user);

/** @brief Reads the row with this key, and the store's version, clock and era at the same moment.
 * The answer has no row if the key does not exist. */
void store_read_row(struct store *store, enum store_table table, const char *key,
                    store_callback *callback, void *user);

/** @brief Reads the changes of a table after a version. The store waits for the first change for up
 *  to `wait_ms`. Only one such call per table may be in progress. */
void store_watch(struct store *store, enum store_table table, uint64_t after, uint32_t wait_ms,
                 store_callback *callback, void *user);

/** @brief A row to write. */
struct store_put {
    const char *key;
    const void *value;
    size_t length;
};

/** @brief Writes rows of the control table if the row `condition_key` has the version
 *  `condition_version` (of number 0: if it does not exist). If the store answers with another era
 *  than that of the version, the outcome is unknown. A write of the condition's own row does not
 *  wait for the answers of other writes. */
void store_write(struct store *store, const char *condition_key, uint64_t condition_version,
                 const struct store_put *puts, size_t count, store_callback *callback, void *user);

#endif
