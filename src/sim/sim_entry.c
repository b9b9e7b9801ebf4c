/* The tree of log entries, with jump pointers: each entry points to an older one such that any
 * ancestor is found in a logarithmic number of steps (Myers, "An applicative random-access stack",
 * 1983). */
#include "sim/sim_entry.h"

static uint64_t offset_of(const struct sim_entry *entry)
{
    return entry == NULL ? 0 : entry->position.offset;
}

static struct sim_entry *choose_jump(struct sim_entry *parent)
{
    struct sim_entry *middle;
    uint64_t near_distance;
    uint64_t far_distance;

    if (parent == NULL || parent->jump == NULL) {
        return parent;
    }
    middle = parent->jump;
    near_distance = offset_of(parent) - offset_of(middle);
    far_distance = offset_of(middle) - offset_of(middle->jump);
    if (near_distance == far_distance) {
        return middle->jump;
    }
    return parent;
}

struct sim_entry *sim_entry_append(struct sim_world *world, struct sim_entry *parent, uint64_t term,
                                   enum sim_entry_kind kind)
{
    struct sim_entry *entry = sim_world_allocate(world, sizeof(*entry));

    entry->position.term = term;
    entry->position.offset = offset_of(parent) + 1;
    entry->parent = parent;
    entry->jump = choose_jump(parent);
    entry->kind = kind;
    return entry;
}

struct log_position sim_entry_position(const struct sim_entry *entry)
{
    struct log_position none = {0, 0};

    return entry == NULL ? none : entry->position;
}

struct sim_entry *sim_entry_up_to(struct sim_entry *log, uint64_t offset)
{
    while (log != NULL && log->position.offset > offset) {
        if (log->jump != NULL && log->jump->position.offset >= offset) {
            log = log->jump;
        } else {
            log = log->parent;
        }
    }
    return log;
}

bool sim_entry_contains(const struct sim_entry *log, const struct sim_entry *entry)
{
    /* The cast is safe: the search changes nothing and returns an entry of the log. */
    return sim_entry_up_to((struct sim_entry *)log, entry->position.offset) == entry;
}

struct sim_entry *sim_entry_common(struct sim_entry *first, struct sim_entry *second)
{
    while (first != second) {
        if (offset_of(first) >= offset_of(second)) {
            first = first->parent;
        } else {
            second = second->parent;
        }
    }
    return first;
}
