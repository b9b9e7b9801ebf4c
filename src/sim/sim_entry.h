/* Log entries of the simulated databases. An entry is immutable and points to its predecessor, so
 * that it represents the whole log up to it. Logs that diverged form a tree. */
#ifndef SW_SIM_ENTRY_H
#define SW_SIM_ENTRY_H

#include "sim/sim_world.h"

enum sim_entry_kind {
    SIM_ENTRY_TERM_START, /* first entry of a new primary */
    SIM_ENTRY_WRITE,
    SIM_ENTRY_CLOSE_KEY,
};

/* One write that a client requests, shared by its attempts. */
struct sim_operation {
    uint64_t id;
    uint64_t key;              /* idempotency key; 0 if none */
    uint64_t fingerprint;      /* of the body */
    struct sim_entry *entries; /* all log entries of it, newest first */
};

struct sim_entry {
    struct log_position position;
    struct sim_entry *parent; /* NULL for the first entry */
    struct sim_entry *jump;   /* an older entry; shortens the search for ancestors */
    enum sim_entry_kind kind;
    uint64_t key;
    uint64_t fingerprint;
    struct sim_operation *operation; /* of WRITE */
    struct sim_entry *next_of_operation;
    struct sim_entry *next_of_key;
    bool on_final_log; /* set by the checker */
};

/* Appends to the log that ends in `parent` (NULL: empty log). */
struct sim_entry *sim_entry_append(struct sim_world *world, struct sim_entry *parent, uint64_t term,
                                   enum sim_entry_kind kind);

/* Position of the log that ends in `entry`, which may be NULL. */
struct log_position sim_entry_position(const struct sim_entry *entry);

/* True if the log that ends in `log` (may be NULL) contains `entry`. */
bool sim_entry_contains(const struct sim_entry *log, const struct sim_entry *entry);

/* The last entry of the log up to an offset, or NULL. */
struct sim_entry *sim_entry_up_to(struct sim_entry *log, uint64_t offset);

/* The last entry that both logs contain, or NULL. */
struct sim_entry *sim_entry_common(struct sim_entry *first, struct sim_entry *second);

#endif
